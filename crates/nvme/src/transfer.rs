//! Which data each command of the subset takes or gives, and the check of what a host sent against it.
//!
//! Every command is judged here before anything is done with it. What follows relies on it: a command that
//! takes no data is never carried out with some, and data is never shorter than its blocks.

use crate::command::*;
use crate::status::{Status, StatusCode};
use crate::target::Target;

/// Data bytes that a capsule of the admin queue, or of a Fabrics command, may hold (TCP 3.5: 8,192 bytes).
pub(crate) const ADMIN_IN_CAPSULE: u32 = 8192;
/// Data of a Connect (Base 6.3).
const CONNECT_DATA: u32 = 1024;
/// Data of the feature Host Behavior Support (Base 5.27.1.18).
const HOST_BEHAVIOR_DATA: u32 = 512;
/// Bytes of a range of Dataset Management, and ranges in its data at most (NVM 3.2.3).
const RANGE_BYTES: u32 = 16;
const MAX_RANGES: u32 = 256;

/// How a command is turned down: its status and dword 0.
pub(crate) type Refusal = (Status, u32);

pub(crate) fn refuse(code: StatusCode) -> Refusal {
    (Status::permanent(code), 0)
}

/// The direction and length of a command's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transfer {
    /// The command has no data.
    Nothing,
    /// Data from the host, in the capsule or asked for by an R2T.
    FromHost(Length),
    /// Data from the host, in the capsule alone: Connect's, as no transfer is agreed on before it.
    InCapsule(Length),
    /// Data for the host, by C2HData.
    ToHost(Length),
}

/// How many bytes of data a command has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Length {
    /// As many as this.
    Exactly(u32),
    /// Any number in these bounds.
    Between(u32, u32),
    /// As many as its blocks, which must lie in its namespace.
    Blocks,
}

/// Where the data of a command that passed the check is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DataSource {
    /// All of it came in the capsule, or the command takes none.
    Capsule,
    /// An R2T has to ask for this many bytes.
    Host(usize),
}

/// The data of a Fabrics command.
pub(crate) fn fabrics_transfer(sqe: &Sqe) -> Result<Transfer, Refusal> {
    match sqe.fctype() {
        fabrics::CONNECT => Ok(Transfer::InCapsule(Length::Exactly(CONNECT_DATA))),
        fabrics::PROPERTY_SET | fabrics::PROPERTY_GET | fabrics::DISCONNECT => Ok(Transfer::Nothing),
        _ => Err(refuse(StatusCode::InvalidField)),
    }
}

/// The data of a command on the admin queue.
pub(crate) fn admin_transfer(sqe: &Sqe) -> Result<Transfer, Refusal> {
    let any = Length::Between(1, u32::MAX);
    let is_host_behavior = sqe.cdw(10) as u8 == feature::HOST_BEHAVIOR_SUPPORT;
    match sqe.opcode() {
        admin::IDENTIFY | admin::GET_LOG_PAGE => Ok(Transfer::ToHost(any)),
        admin::GET_FEATURES if is_host_behavior => Ok(Transfer::ToHost(any)),
        admin::SET_FEATURES if is_host_behavior => {
            Ok(Transfer::FromHost(Length::Exactly(HOST_BEHAVIOR_DATA)))
        }
        admin::GET_FEATURES | admin::SET_FEATURES => Ok(Transfer::Nothing),
        admin::ABORT | admin::ASYNC_EVENT_REQUEST | admin::KEEP_ALIVE => Ok(Transfer::Nothing),
        _ => Err(refuse(StatusCode::InvalidOpcode)),
    }
}

/// The data of a command on an I/O queue. `optional`: Compare, Write Zeroes and Dataset Management are served.
pub(crate) fn io_transfer(sqe: &Sqe, optional: bool) -> Result<Transfer, Refusal> {
    match sqe.opcode() {
        io::FLUSH => Ok(Transfer::Nothing),
        io::WRITE => Ok(Transfer::FromHost(Length::Blocks)),
        io::READ => Ok(Transfer::ToHost(Length::Blocks)),
        io::COMPARE if optional => Ok(Transfer::FromHost(Length::Blocks)),
        io::WRITE_ZEROES if optional => Ok(Transfer::Nothing),
        io::DATASET_MANAGEMENT if optional => {
            let ranges = (sqe.cdw(10) & 0xff) + 1;
            Ok(Transfer::FromHost(Length::Between(ranges * RANGE_BYTES, MAX_RANGES * RANGE_BYTES)))
        }
        _ => Err(refuse(StatusCode::InvalidOpcode)),
    }
}

impl Transfer {
    /// Checks a command's descriptor and the bytes that came in its capsule. `in_capsule`: data bytes that a
    /// capsule of the queue may hold.
    pub(crate) fn check(
        self,
        sqe: &Sqe,
        in_capsule: u32,
        brought: usize,
        target: &Target,
    ) -> Result<DataSource, Refusal> {
        match (self, sqe.sgl()) {
            (_, Sgl::Unsupported(_)) => Err(refuse(StatusCode::SglDescriptorTypeInvalid)),
            (Transfer::Nothing, Sgl::InCapsule { length, .. } | Sgl::Transport { length }) => {
                check_nothing(length, brought)
            }
            (Transfer::ToHost(_), Sgl::InCapsule { .. }) => Err(refuse(StatusCode::SglDescriptorTypeInvalid)),
            (Transfer::ToHost(wanted), Sgl::Transport { length }) => {
                check_nothing(0, brought)?;
                wanted.check(sqe, length, target)?;
                Ok(DataSource::Capsule)
            }
            (Transfer::FromHost(wanted) | Transfer::InCapsule(wanted), Sgl::InCapsule { offset, length }) => {
                if offset != 0 {
                    return Err(refuse(StatusCode::SglOffsetInvalid));
                }
                if length as usize != brought || length > in_capsule {
                    return Err(refuse(StatusCode::DataSglLengthInvalid));
                }
                wanted.check(sqe, length, target)?;
                Ok(DataSource::Capsule)
            }
            (Transfer::InCapsule(_), Sgl::Transport { .. }) => {
                Err(refuse(StatusCode::SglDescriptorTypeInvalid))
            }
            (Transfer::FromHost(wanted), Sgl::Transport { length }) => {
                check_nothing(0, brought)?;
                if length > target.options().max_transfer() {
                    return Err(refuse(StatusCode::InvalidField));
                }
                // Checked before the data is asked for, so that a bad range moves none.
                wanted.check(sqe, length, target)?;
                Ok(DataSource::Host(length as usize))
            }
        }
    }
}

/// Checks that a descriptor states no data and the capsule brought none.
fn check_nothing(stated: u32, brought: usize) -> Result<DataSource, Refusal> {
    if stated != 0 || brought != 0 {
        return Err(refuse(StatusCode::DataSglLengthInvalid));
    }
    Ok(DataSource::Capsule)
}

impl Length {
    /// Checks the length that a descriptor states.
    fn check(self, sqe: &Sqe, stated: u32, target: &Target) -> Result<(), Refusal> {
        let is_right = match self {
            Length::Exactly(bytes) => stated == bytes,
            Length::Between(least, most) => (least..=most).contains(&stated),
            Length::Blocks => return check_blocks(sqe, stated, target),
        };
        if is_right { Ok(()) } else { Err(refuse(StatusCode::DataSglLengthInvalid)) }
    }
}

/// Checks the range of a command on blocks, and that its data is as long as they are.
pub(crate) fn check_blocks(sqe: &Sqe, length: u32, target: &Target) -> Result<(), Refusal> {
    let ns = target.namespace(sqe.nsid()).ok_or(refuse(StatusCode::InvalidNamespace))?;
    let blocks = sqe.block_count();
    if sqe.slba().checked_add(u64::from(blocks)).is_none_or(|end| end > ns.blocks) {
        return Err(refuse(StatusCode::LbaOutOfRange));
    }
    let bytes = u64::from(blocks) * u64::from(ns.block_size);
    if bytes > u64::from(target.options().max_transfer()) {
        return Err(refuse(StatusCode::InvalidField));
    }
    if bytes != u64::from(length) {
        return Err(refuse(StatusCode::DataSglLengthInvalid));
    }
    Ok(())
}
