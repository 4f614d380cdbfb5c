//! What a front hands in, and what it gets back.

use bytes::Bytes;
use decisions::{ClientId, Micros};

/// A front's name for an operation; not reused while the operation is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

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
    /// All of them.
    pub const ALL: [Opcode; 3] = [Opcode::Read, Opcode::Write, Opcode::Flush];

    /// Its word in settings and records.
    pub fn word(self) -> &'static str {
        match self {
            Opcode::Read => "read",
            Opcode::Write => "write",
            Opcode::Flush => "flush",
        }
    }
}

/// An operation on a volume, all its data received.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its name.
    pub ticket: Ticket,
    /// What it does.
    pub opcode: Opcode,
    /// The volume's namespace identifier.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for a flush.
    pub blocks: u32,
    /// Data of a write, as long as its blocks.
    pub data: Bytes,
    /// Names the operation to the nodes, which discard repeats of a keyed write by it. 0: the core gives one.
    pub token: u64,
    /// It is known to be a client's repeat of one that ended unserved, here or at another gateway.
    pub retry: bool,
    /// Whose it is, where that is known.
    pub client: Option<ClientId>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Carried out; with the data of a read.
    Served(Bytes),
    /// Turned away: it never ran, or running it again is harmless.
    Refused {
        /// When the client should come back, in microseconds; 0: no advice.
        come_back: Micros,
    },
    /// Failed: nothing is known about its effect.
    Failed,
}
