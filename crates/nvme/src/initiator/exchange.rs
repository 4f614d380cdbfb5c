//! What a host's connection is given, and what it says in return.

use bytes::Bytes;

use crate::command::Sqe;
use crate::identify::ControllerLimits;
use crate::pdu::{Digests, TermReason};
use crate::status::Status;

/// Settings of a host's connection.
#[derive(Clone, Debug)]
pub struct InitiatorOptions {
    /// NQN of the host.
    pub host: String,
    /// Host identifier.
    pub host_id: [u8; 16],
    /// NQN of the subsystem.
    pub subsystem: String,
    /// Queue: 0 is the admin queue.
    pub qid: u16,
    /// The controller of an I/O queue, as the admin queue was told; ignored for the admin queue.
    pub cntlid: u16,
    /// Entries of the queue, 2 to 65,536; one fewer commands are out at most.
    pub entries: u32,
    /// Keep alive time-out in milliseconds, for the admin queue; 0: none.
    pub kato: u32,
    /// Digests to ask for.
    pub digests: Digests,
    /// Data bytes that a capsule of the queue may hold, from [`ControllerLimits::in_capsule`].
    pub in_capsule: u32,
    /// Most bytes of a read's data in one PDU.
    pub max_data: usize,
}

/// A command to be sent.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Entry; its identifier and data descriptor are filled in.
    pub sqe: Sqe,
    /// Data of a write.
    pub data: Bytes,
    /// Bytes that a read brings.
    pub expect: u32,
    /// Handed back with the reply.
    pub user: u64,
}

/// The end of a command.
#[derive(Clone, Debug)]
pub struct Reply {
    /// As submitted.
    pub user: u64,
    /// Status.
    pub status: Status,
    /// Dword 0.
    pub dw0: u32,
    /// Dword 1.
    pub dw1: u32,
    /// Data of a read: all of it, or none.
    pub data: Bytes,
}

/// Why a connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostFault {
    /// The controller broke the protocol.
    #[error("the controller broke the protocol: {0}")]
    Protocol(TermReason),
    /// The controller ended the connection.
    #[error("the controller ended the connection: {0}")]
    Terminated(TermReason),
    /// A step of the way up was refused.
    #[error("{step} was refused: {status}, dword 0 {dw0:#x}")]
    Refused {
        /// The step.
        step: &'static str,
        /// Its status.
        status: Status,
        /// Its dword 0.
        dw0: u32,
    },
}

/// What happens on a connection.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// The queue takes commands. For the admin queue, what the controller says of itself.
    Ready {
        /// The controller.
        cntlid: u16,
        /// Its limits, read on the admin queue.
        limits: Option<ControllerLimits>,
    },
    /// A command ended.
    Reply(Reply),
    /// The connection is to be closed, after what is in the output was sent.
    Fault(HostFault),
}
