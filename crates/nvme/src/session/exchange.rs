//! What a session hands to its owner, and what it is told in return.

use bytes::Bytes;

use crate::Micros;
use crate::pdu::TermReason;
use crate::status::Status;
use crate::target::Admission;

/// A checked command on blocks, all its data received.
#[derive(Clone, Debug)]
pub struct IoCommand {
    /// Names the command in [`crate::Session::complete`].
    pub cid: u16,
    /// [`crate::io::READ`], [`crate::io::WRITE`], [`crate::io::FLUSH`] or [`crate::io::COMPARE`]; Write Zeroes comes as a write of zeroes.
    pub opcode: u8,
    /// Namespace.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for Flush.
    pub blocks: u32,
    /// Data of a write, or what a read is to be compared with.
    pub data: Bytes,
    /// Token of a keyed write; 0: none.
    pub token: u64,
    /// Repeats are to be discarded by the token, on the node's leg.
    pub keyed: bool,
    /// Attempt's number on the node's leg.
    pub attempt: u32,
    /// When its capsule came; data that an R2T asked for comes later.
    pub began: Micros,
}

/// How a command ended.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Status.
    pub status: Status,
    /// Dword 0 of the completion.
    pub dw0: u32,
    /// Dword 1.
    pub dw1: u32,
    /// Data of a read that succeeded.
    pub data: Bytes,
}

impl Completion {
    /// An end without data.
    pub fn of(status: Status) -> Self {
        Completion { status, dw0: 0, dw1: 0, data: Bytes::new() }
    }
}

/// What a session asks of its owner.
#[derive(Clone, Debug)]
pub enum Output {
    /// Carry out a command and call [`crate::Session::complete`], in any order.
    Command(IoCommand),
    /// Abort a command of queue `sqid` if it has not gone out; then [`crate::Session::complete`] this admin command
    /// with dword 0 as 0 (aborted) or 1 (not).
    Abort {
        /// The Abort command itself.
        cid: u16,
        /// Queue of the command to abort.
        sqid: u16,
        /// The command to abort.
        target: u16,
    },
    /// The connection is now this queue of this association.
    Bound(Admission),
    /// The association is over: its other connections are to be closed.
    Ended(u16),
    /// Send what is to be sent, then close. The reason, where it is a fault.
    Close(Option<TermReason>),
}
