//! Fabrics commands (Base 6): Connect, properties and Disconnect.

use super::{Completion, Cx, Output, Phase, Session};
use crate::command::*;
use crate::status::{Status, StatusCode};
use crate::target::Admission;
use crate::transfer::{Refusal, refuse};

impl Session {
    pub(super) fn connect(
        &mut self,
        sqe: &Sqe,
        data: &[u8],
        cx: &mut Cx<'_>,
    ) -> Result<Option<Completion>, Refusal> {
        if sqe.cdw(10) as u16 != 0 {
            return Err(refuse(StatusCode::ConnectIncompatibleFormat));
        }
        let Some(wanted) = ConnectData::from_bytes(data) else {
            return Err(refuse(StatusCode::DataSglLengthInvalid));
        };
        let (qid, sqsize) = ((sqe.cdw(10) >> 16) as u16, sqe.cdw(11) as u16);
        let admission = cx.target.connect(qid, sqsize, sqe.cdw(12), &wanted, cx.now)?;
        self.phase = Phase::Bound(admission);
        self.queue_entries = u32::from(sqsize) + 1;
        self.sq_head = 1 % self.queue_entries;
        self.flow_control = sqe.cdw(11) >> 16 & 4 == 0;
        cx.outputs.push(Output::Bound(admission));
        Ok(Some(Completion { dw0: u32::from(admission.cntlid), ..Completion::of(Status::SUCCESS) }))
    }

    pub(super) fn fabrics(
        &mut self,
        sqe: &Sqe,
        at: Admission,
        cx: &mut Cx<'_>,
    ) -> Result<Option<Completion>, Refusal> {
        let (offset, eight) = (sqe.cdw(11), sqe.0[40] & 7 == 1);
        match sqe.fctype() {
            fabrics::PROPERTY_GET if at.qid == 0 => {
                let value = cx.target.property(at.cntlid, offset, eight);
                let value = value.ok_or(refuse(StatusCode::InvalidField))?;
                let dw1 = (value >> 32) as u32;
                Ok(Some(Completion { dw0: value as u32, dw1, ..Completion::of(Status::SUCCESS) }))
            }
            fabrics::PROPERTY_SET if at.qid == 0 => {
                let value = u64::from(sqe.cdw(12)) | u64::from(sqe.cdw(13)) << 32;
                if !cx.target.set_property(at.cntlid, offset, eight, value) {
                    return Err(refuse(StatusCode::InvalidField));
                }
                Ok(Some(Completion::of(Status::SUCCESS)))
            }
            fabrics::DISCONNECT if at.qid > 0 => {
                self.finish(sqe.cid(), sqe.opcode(), Completion::of(Status::SUCCESS), cx.out);
                self.over(cx, None);
                Ok(None)
            }
            fabrics::CONNECT => Err(refuse(StatusCode::CommandSequenceError)),
            _ => Err(refuse(StatusCode::InvalidField)),
        }
    }
}
