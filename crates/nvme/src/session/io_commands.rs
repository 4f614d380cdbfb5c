//! Commands of the I/O queues (NVM 3).

use bytes::Bytes;

use super::{Completion, Cx, IoCommand, Output, Session, Slot};
use crate::command::*;
use crate::status::{Status, StatusCode};
use crate::target::Target;
use crate::transfer::{Refusal, check_blocks, refuse};

impl Session {
    pub(super) fn io(
        &mut self,
        sqe: &Sqe,
        mut data: Bytes,
        cx: &mut Cx<'_>,
    ) -> Result<Option<Completion>, Refusal> {
        let target = &*cx.target;
        let mut opcode = sqe.opcode();
        let optional = target.options.optional;
        let blocks = match opcode {
            io::FLUSH => {
                if target.namespace(sqe.nsid()).is_none() {
                    return Err(refuse(StatusCode::InvalidNamespace));
                }
                0
            }
            io::WRITE | io::READ => sqe.block_count(),
            io::COMPARE if optional => sqe.block_count(),
            io::WRITE_ZEROES if optional => {
                let ns = target.namespace(sqe.nsid()).ok_or(refuse(StatusCode::InvalidNamespace))?;
                let length = sqe.block_count().saturating_mul(ns.block_size);
                // No data is transferred, yet the write that it becomes is as large as a transfer may be.
                check_blocks(sqe, length, target)?;
                data = Bytes::from(vec![0; length as usize]);
                opcode = io::WRITE;
                sqe.block_count()
            }
            io::DATASET_MANAGEMENT if optional => {
                dataset_management(sqe, &data, target)?;
                return Ok(Some(Completion::of(Status::SUCCESS)));
            }
            _ => return Err(refuse(StatusCode::InvalidOpcode)),
        };
        self.slots.insert(sqe.cid(), Slot::Running { opcode });
        cx.outputs.push(Output::Command(IoCommand {
            cid: sqe.cid(),
            opcode,
            nsid: sqe.nsid(),
            slba: if blocks > 0 { sqe.slba() } else { 0 },
            blocks,
            data,
            token: sqe.token(),
            keyed: sqe.keyed(),
            attempt: sqe.attempt(),
            began: cx.began,
        }));
        Ok(None)
    }
}

/// Dataset Management (NVM 3.2.3): hints, checked and not acted upon. Deallocation is the host's offer, not its demand: the
/// blocks keep their data, which the command allows.
fn dataset_management(sqe: &Sqe, data: &[u8], target: &Target) -> Result<(), Refusal> {
    let ns = target.namespace(sqe.nsid()).ok_or(refuse(StatusCode::InvalidNamespace))?;
    let ranges = (sqe.cdw(10) & 0xff) as usize + 1;
    let Some(data) = data.get(..ranges * 16) else { return Err(refuse(StatusCode::DataSglLengthInvalid)) };
    for range in data.chunks_exact(16) {
        let (blocks, slba) = (u64::from(crate::le32(range, 4)), crate::le64(range, 8));
        if slba.checked_add(blocks).is_none_or(|end| end > ns.blocks) {
            return Err(refuse(StatusCode::LbaOutOfRange));
        }
    }
    Ok(())
}
