//! A stand-in storage node.
//!
//! [`Model`] is pure: cores, a queue with *full*, service times, put-off write work, a cold start with warm-up and
//! falling over; it takes the time and jobs and gives the jobs that are done. [`Node`] is its face: NVMe over TCP on
//! plain threads, blocks kept in memory or on a disk, repeats discarded, faults switched on and off, everything recorded.
//!
//! It is an emulation for tests and demonstrations: it promises no speed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod fault;
mod model;
mod node;
mod store;

pub use disk::{DiskOptions, cut_power};
pub use fault::{Fault, FaultKind};
pub use model::{Arrival, Job, JobId, Model, ModelOptions};
pub use node::{Node, NodeError, NodeOptions, NodeStatus};
pub use store::Store;

/// Time in microseconds.
pub type Micros = i64;
