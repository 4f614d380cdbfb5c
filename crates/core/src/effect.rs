//! What the core asks for, and how it is told of an attempt's end.

use bytes::Bytes;
use decisions::{NodeId, Outcome, ShardId};
use dispatch::AttemptId;

use crate::operation::{Answer, Opcode, Ticket};

/// What the caller has to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attempt, and report its end once.
    Send(Send),
    /// Nobody waits for this attempt any more: it timed out here, or was cancelled. Its end need not be reported.
    Forget(AttemptId, NodeId),
    /// The one final answer of an operation.
    Answer(Ticket, Answer),
    /// The module wants the node list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

/// An attempt to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub node: NodeId,
    /// What to do.
    pub opcode: Opcode,
    /// Namespace.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for a flush.
    pub blocks: u32,
    /// Length of the blocks, in bytes.
    pub bytes: u32,
    /// Data of a write.
    pub data: Bytes,
    /// The shard that its blocks lie on.
    pub shard: ShardId,
    /// It is beyond the first of its part, or of an operation known as a repeat: what [`Core::allow`] counts.
    pub further: bool,
    /// Token of the operation.
    pub token: u64,
    /// Nodes are to discard repeats of it by its token.
    pub keyed: bool,
}

/// How an attempt ended, as the link knows it.
#[derive(Clone, Debug)]
pub struct End {
    /// The true outcome: *never ran* only where that is certain.
    pub outcome: Outcome,
    /// Data of a read that was served.
    pub data: Bytes,
    /// Requests that the node holds, as it reports.
    pub load: Option<u32>,
}

impl End {
    /// An end without data or report.
    pub fn of(outcome: Outcome) -> Self {
        End { outcome, data: Bytes::new(), load: None }
    }
}
