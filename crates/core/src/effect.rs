//! Effects that the core asks its caller to carry out, and the reported ends of attempts.

use bytes::Bytes;
use decisions::{NodeId, Outcome, ShardId};
use dispatch::{AttemptId, Micros, WritePermit};

use crate::operation::{Answer, Opcode, OperationId};

/// An effect for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write an attempt as soon as possible, with the permission of
    /// [`Core::begin_write`](crate::Core::begin_write), and report its end once.
    Send(OutgoingAttempt),
    /// The attempt is abandoned with this outcome: it timed out, was cancelled or was never sent. Its end need
    /// not be reported.
    Abandon(AttemptId, NodeId, Outcome),
    /// Deliver the final answer to an operation.
    Answer(OperationId, Answer),
    /// Subscribe to the node list for the scheduler.
    Subscribe,
    /// Write a line to the operators' log.
    Log(String),
}

/// An attempt that the scheduler has decided on. Only a [`PermittedAttempt`] is written to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The node to send it to.
    pub node: NodeId,
    /// Kind of operation.
    pub opcode: Opcode,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Number of blocks; 0 for a flush.
    pub blocks: u32,
    /// Length of the blocks, in bytes.
    pub bytes: u32,
    /// Data of a write; empty for other operations.
    pub data: Bytes,
    /// Shard that holds the blocks.
    pub shard: ShardId,
    /// The attempt uses a retry token: it is not the first of its part, or the operation is marked as a
    /// client's retry. See [`Core::set_retry_tokens`](crate::Core::set_retry_tokens).
    pub is_retry: bool,
    /// Idempotency token of the operation.
    pub token: u64,
    /// Nodes must discard duplicates of the attempt by its token.
    pub keyed: bool,
}

/// An attempt that may be written to its node now. What writes to a node takes one by value; it cannot be
/// copied, and is made by [`Core::begin_write`](crate::Core::begin_write) and
/// [`Core::begin_copy`](crate::Core::begin_copy) alone.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct PermittedAttempt {
    permit: WritePermit,
    attempt: OutgoingAttempt,
    sent_before: u32,
}

impl PermittedAttempt {
    pub(crate) fn new(permit: WritePermit, attempt: OutgoingAttempt, sent_before: u32) -> Self {
        PermittedAttempt { permit, attempt, sent_before }
    }

    /// Returns how many attempts of the same part were sent before. Those that were decided on and never sent
    /// do not count, as no node has heard of them.
    pub fn sent_before(&self) -> u32 {
        self.sent_before
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> &OutgoingAttempt {
        &self.attempt
    }

    /// Returns the time that is left until the attempt's deadline, in microseconds.
    pub fn time_left(&self) -> Micros {
        self.permit.time_left()
    }
}

/// The end of an attempt, as reported by the connection to its node.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Outcome of the attempt. One that says that the attempt never ran may be reported only where that is
    /// certain.
    pub outcome: Outcome,
    /// Data of a served read.
    pub data: Bytes,
    /// Number of requests held by the node, if it reported it.
    pub load: Option<u32>,
}

impl AttemptEnd {
    /// Creates an end without data and without a load report.
    pub fn without_data(outcome: Outcome) -> Self {
        AttemptEnd { outcome, data: Bytes::new(), load: None }
    }
}
