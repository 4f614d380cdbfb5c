//! NVMe over TCP as pure state machines: the PDU codec, commands and statuses, the controller's side of a
//! connection ([`Session`] under a [`Target`]) and the host's ([`Initiator`]).
//!
//! Written from the public specifications: NVM Express Base 2.0 ("Base"), NVM Command Set 1.0 ("NVM") and
//! NVMe over TCP Transport 1.0 ("TCP"). Sections are cited where a rule is carried out.
//!
//! It is not a driver and not a server: it has no socket, clock, thread or file. Bytes and the time come in,
//! bytes and events go out. It keeps no data of namespaces either; Read, Write and Flush are handed on.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod command;
mod decoder;
mod identify;
mod initiator;
mod pdu;
mod session;
mod status;
mod target;
mod transfer;

pub use command::*;
pub use decoder::{Decoder, Side};
pub use gather::{GatherList, PduSink};
pub use identify::{CONTROLLER_DATA, ControllerLimits, DiscoveryEntry, namespace_size};
pub use initiator::{HostEvent, HostFault, Initiator, InitiatorOptions, Reply, Submission};
pub use pdu::{Digests, Pdu, PduKind, TermReason};
pub use session::{Completion, IoCommand, Output, Session};
pub use status::{Retry, Status, StatusCode};
pub use target::{Admission, Namespace, Target, TargetOptions};

/// Time in microseconds on the caller's monotonic clock.
pub type Micros = i64;

/// NQN of the discovery subsystem (Base 4.5).
pub const DISCOVERY_NQN: &str = "nqn.2014-08.org.nvmexpress.discovery";

pub(crate) fn le16(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([b[at], b[at + 1]])
}

pub(crate) fn le32(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

pub(crate) fn le64(b: &[u8], at: usize) -> u64 {
    u64::from(le32(b, at)) | u64::from(le32(b, at + 4)) << 32
}

pub(crate) fn put(b: &mut [u8], at: usize, bytes: &[u8]) {
    b[at..at + bytes.len()].copy_from_slice(bytes);
}
