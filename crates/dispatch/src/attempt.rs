//! Attempts, and what is to be done about them.

use decisions::{Micros, NodeId, Outcome, RequestId};

/// One attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its attempts count from 0.
    pub n: u32,
}

/// A final answer that is not *served*.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Turned away: it never ran, or running it again is harmless.
    Refused {
        /// When the client should come back, in microseconds; 0: no advice.
        come_back: Micros,
    },
    /// Failed: nothing is known about its effect.
    Failed,
}

/// What the caller has to carry out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<P> {
    /// Send an attempt now, and report its end once. It ends here at `due` at the latest.
    Send {
        /// Names the attempt.
        attempt: AttemptId,
        /// Where to.
        node: NodeId,
        /// When nobody waits for it any more.
        due: Micros,
    },
    /// Nobody waits for this attempt any more: it timed out here, or was cancelled, or never began, which is its outcome. Its end
    /// need not be reported.
    Forget(AttemptId, NodeId, Outcome),
    /// The one final answer of a request that was not served.
    Over(RequestId, P, Verdict),
    /// The module wants the node list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
