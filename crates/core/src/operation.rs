//! Operations that a protocol front end submits, and their answers.

use bytes::Bytes;
use decisions::{ClientId, Micros};

/// Identifies an operation. Chosen by the front end, which must not reuse it while the operation is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// What an operation does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Opcode {
    /// Reads blocks.
    Read,
    /// Writes blocks.
    Write,
    /// Makes earlier writes to the volume durable, on every shard that holds a part of it.
    Flush,
}

impl Opcode {
    /// All opcodes.
    pub const ALL: [Opcode; 3] = [Opcode::Read, Opcode::Write, Opcode::Flush];

    /// Returns the name used in settings and records.
    pub fn name(self) -> &'static str {
        match self {
            Opcode::Read => "read",
            Opcode::Write => "write",
            Opcode::Flush => "flush",
        }
    }
}

/// An operation on a volume, with all of its data.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Identifies the operation to the front end.
    pub id: OperationId,
    /// Kind of operation.
    pub opcode: Opcode,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Number of blocks; 0 for a flush.
    pub blocks: u32,
    /// Data of a write, exactly as long as its blocks.
    pub data: Bytes,
    /// Idempotency token sent to the nodes, which use it to discard duplicates of a keyed write. If it is 0,
    /// the core generates one.
    pub token: u64,
    /// The operation is known to be a client's retry of one that ended unserved, at this or another gateway.
    pub retry: bool,
    /// The client that submitted it, if known.
    pub client: Option<ClientId>,
}

/// The final answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The operation was carried out; holds the data of a read.
    Served(Bytes),
    /// Refused: the operation never ran, or running it again is harmless.
    Refused {
        /// Delay after which the client should retry, in microseconds; 0 if there is no advice.
        retry_after: Micros,
    },
    /// Failed: the operation may or may not have taken effect.
    Failed,
}
