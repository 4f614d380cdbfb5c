//! Operations that a protocol front end submits, and their answers.

use bytes::Bytes;
use decisions::{ClientId, Micros};

use crate::catalogue::{Part, Volume};

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

/// What an operation does, and to which blocks. Only a write has data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads blocks.
    Read {
        /// First block.
        slba: u64,
        /// Number of blocks, at least 1.
        blocks: u32,
    },
    /// Writes blocks.
    Write {
        /// First block.
        slba: u64,
        /// Number of blocks, at least 1.
        blocks: u32,
        /// Data, exactly as long as the blocks.
        data: Bytes,
    },
    /// Makes earlier writes to the volume durable, on every shard that holds a part of it.
    Flush,
}

impl Action {
    /// Returns the kind of the action.
    pub fn opcode(&self) -> Opcode {
        match self {
            Action::Read { .. } => Opcode::Read,
            Action::Write { .. } => Opcode::Write,
            Action::Flush => Opcode::Flush,
        }
    }

    /// Returns the first block; 0 for a flush.
    pub fn slba(&self) -> u64 {
        match self {
            Action::Read { slba, .. } | Action::Write { slba, .. } => *slba,
            Action::Flush => 0,
        }
    }

    /// Returns the number of blocks; 0 for a flush.
    pub fn blocks(&self) -> u32 {
        match self {
            Action::Read { blocks, .. } | Action::Write { blocks, .. } => *blocks,
            Action::Flush => 0,
        }
    }

    /// Checks the blocks against a volume's size, and the data of a write against its blocks.
    ///
    /// # Errors
    /// The first that is wrong.
    pub(crate) fn check(&self, volume: &Volume) -> Result<(), InvalidOperation> {
        if *self == Action::Flush {
            return Ok(());
        }
        let (slba, blocks) = (self.slba(), self.blocks());
        if blocks == 0 {
            return Err(InvalidOperation::NoBlocks);
        }
        if slba.checked_add(u64::from(blocks)).is_none_or(|end| end > volume.blocks) {
            return Err(InvalidOperation::OutOfRange { slba, blocks, size: volume.blocks });
        }
        let bytes = u64::from(blocks) * u64::from(volume.block_size);
        match self {
            Action::Write { data, .. } if data.len() as u64 != bytes => {
                Err(InvalidOperation::DataLength { bytes: data.len(), expected: bytes })
            }
            _ => Ok(()),
        }
    }

    /// Returns the data of some of a write's blocks, and no data for anything else. The blocks must lie within
    /// the checked action.
    pub(crate) fn data_of(&self, part: &Part, block_size: u32) -> Bytes {
        let Action::Write { slba, data, .. } = self else { return Bytes::new() };
        let start = (part.slba - slba) as usize * block_size as usize;
        let length = part.blocks as usize * block_size as usize;
        data.slice(start..start + length)
    }
}

/// An operation on a volume.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Identifies the operation to the front end.
    pub id: OperationId,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// What it does.
    pub action: Action,
    /// Idempotency token sent to the nodes, which use it to discard duplicates of a keyed write. If it is 0,
    /// the core generates one.
    pub token: u64,
    /// The operation is known to be a client's retry of one that ended unserved, at this or another gateway.
    pub retry: bool,
    /// The client that submitted it, if known.
    pub client: Option<ClientId>,
}

/// Why an operation is not accepted. It never becomes a request, and has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidOperation {
    /// No volume has the namespace identifier.
    #[error("no volume has the namespace identifier {0}")]
    UnknownVolume(u32),
    /// A read or write of no blocks.
    #[error("a read or write needs at least one block")]
    NoBlocks,
    /// The blocks do not all lie on the volume.
    #[error("blocks {slba} and {blocks} from there do not all lie on a volume of {size} blocks")]
    OutOfRange {
        /// First block.
        slba: u64,
        /// Number of blocks.
        blocks: u32,
        /// Size of the volume, in blocks.
        size: u64,
    },
    /// The data of a write is not as long as its blocks.
    #[error("a write with {bytes} bytes of data for blocks of {expected} bytes")]
    DataLength {
        /// Bytes of data.
        bytes: usize,
        /// Bytes of the blocks.
        expected: u64,
    },
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
