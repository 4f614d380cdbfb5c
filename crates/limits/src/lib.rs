//! Admission limits of a gateway: which connections it accepts, how many commands and bytes it holds for each
//! host, and which client's command it processes next.
//!
//! The limits apply before a command becomes a request; what happens to requests is decided by the scheduler.
//! This package has no clock, sockets or threads: callers pass in `now` and events.
//!
//! - [`AdmissionControl`]: limits on connections, by address and in total, with a timeout for connections
//!   that are never established; limits on commands and bytes, by host and in total.
//! - [`FairQueue`]: a fair queue of commands, so that a host with 64 queues does not starve a host with one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod fair_queue;

pub use admission::{AdmissionControl, AdmissionLimits, ConnectionId, LimitReached, Micros, OpenResult};
pub use fair_queue::FairQueue;
