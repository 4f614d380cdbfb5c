//! Attempt identifiers and the commands that the dispatcher asks its caller to carry out.

use decisions::{Micros, NodeId, Outcome, RequestId};

/// Identifies one attempt to run a request on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub index: u32,
}

/// The final answer of a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Refused: the request never ran, or running it again is harmless.
    Refused {
        /// Delay after which the client should retry, in microseconds; 0 if there is no advice.
        retry_after: Micros,
    },
    /// Failed: the request may or may not have taken effect.
    Failed,
}

/// A command for the caller to carry out. Commands must be carried out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<P> {
    /// Write an attempt as soon as possible, with the permission of
    /// [`Dispatcher::begin_write`](crate::Dispatcher::begin_write), and report its end once. The dispatcher stops
    /// waiting for it at `due`.
    Send {
        /// The attempt to send.
        attempt: AttemptId,
        /// The node to send it to.
        node: NodeId,
        /// Deadline of the attempt.
        due: Micros,
    },
    /// The attempt is abandoned with this outcome: it timed out, was cancelled or was never sent. Its end
    /// need not be reported.
    Abandon(AttemptId, NodeId, Outcome),
    /// The final answer of a request that was not served, with the request's payload.
    EndUnserved(RequestId, P, Verdict),
    /// Subscribe to the node list for the scheduler.
    Subscribe,
    /// Write a line to the operators' log.
    Log(String),
}
