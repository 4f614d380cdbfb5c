//! Limits of the gateway itself: which connections it keeps, how many commands and bytes it holds for each host, and whose
//! command it takes next.
//!
//! Nothing here is about requests: which node, when, how often, refused or failed is the decision module's. This package only
//! decides what may come in, before it becomes a request. It has no clock, socket or thread: it takes `now` and events.
//!
//! - [`Gate`]: connections, by address and in all; those that never complete their way up; commands and bytes, by host and in all.
//! - [`Turns`]: whose command is taken next, so that a host with 64 queues does not starve one with a single queue.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod gate;
mod turns;

pub use gate::{ConnectionId, Gate, GateOptions, Micros, Opened, Over};
pub use turns::Turns;
