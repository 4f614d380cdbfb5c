//! Request state around the scheduler of `decisions`, without I/O: timers, attempts in flight, deadlines and
//! final answers.
//!
//! A [`Dispatcher`] owns the scheduler. A protocol implementation submits each request with a payload that
//! the dispatcher does not interpret, carries out each [`Command`], and reports how attempts
//! [ended](Dispatcher::attempt_ended). The dispatcher knows no protocol: no blocks, no HTTP, no sockets. It
//! makes no decisions either: the scheduler chooses nodes, send times and the number of attempts, and decides
//! whether a request is refused or failed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod counts;
mod dispatcher;
mod node;
mod write_permit;

pub use attempt::{AttemptId, Command, Verdict};
pub use counts::RequestCounts;
pub use decisions::{Micros, NodeId, NodeSnapshot, NodeState, Outcome, RequestId};
pub use dispatcher::Dispatcher;
pub use node::{ListedNode, NodeView};
pub use write_permit::WritePermit;
