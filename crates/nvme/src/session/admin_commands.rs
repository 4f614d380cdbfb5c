//! Commands of the admin queue (Base 5).

use super::{Completion, Cx, Output, Session, Slot};
use crate::command::*;
use crate::identify::{self, ASYNC_EVENTS, ControllerIdentity};
use crate::status::{Status, StatusCode};
use crate::target::Target;
use crate::transfer::{Refusal, refuse};

impl Session {
    pub(super) fn admin(
        &mut self,
        sqe: &Sqe,
        data: &[u8],
        cntlid: u16,
        cx: &mut Cx<'_>,
    ) -> Result<Option<Completion>, Refusal> {
        let discovery = cx.target.association(cntlid).is_some_and(|a| a.discovery);
        match sqe.opcode() {
            admin::IDENTIFY => self.identify(sqe, cntlid, discovery, cx.target).map(Some),
            admin::GET_LOG_PAGE => log_page(sqe, discovery, cx.target).map(Some),
            admin::KEEP_ALIVE => Ok(Some(Completion::of(Status::SUCCESS))),
            admin::SET_FEATURES => set_features(sqe, data, cntlid, cx.target).map(Some),
            admin::GET_FEATURES => get_features(sqe, cntlid, cx.target).map(Some),
            admin::ASYNC_EVENT_REQUEST => {
                if self.async_requests.len() >= usize::from(ASYNC_EVENTS) {
                    return Err(refuse(StatusCode::AsyncEventLimitExceeded));
                }
                self.async_requests.push_back(sqe.cid());
                Ok(None)
            }
            admin::ABORT if !discovery => {
                let (sqid, victim) = (sqe.cdw(10) as u16, (sqe.cdw(10) >> 16) as u16);
                if sqid > cx.target.options.io_queues {
                    return Err(refuse(StatusCode::InvalidField));
                }
                if sqid == 0 {
                    return Ok(Some(Completion { dw0: 1, ..Completion::of(Status::SUCCESS) }));
                }
                self.slots.insert(sqe.cid(), Slot::Running { opcode: admin::ABORT });
                cx.outputs.push(Output::Abort { cid: sqe.cid(), sqid, target: victim });
                Ok(None)
            }
            _ => Err(refuse(StatusCode::InvalidOpcode)),
        }
    }

    fn identify(
        &self,
        sqe: &Sqe,
        cntlid: u16,
        discovery: bool,
        target: &Target,
    ) -> Result<Completion, Refusal> {
        let o = &target.options;
        let namespace = || target.namespace(sqe.nsid()).ok_or(refuse(StatusCode::InvalidNamespace));
        let data = match (sqe.cdw(10) as u8, discovery) {
            (0x01, _) => ControllerIdentity {
                cntlid,
                discovery,
                subsystem: if discovery { crate::DISCOVERY_NQN } else { &o.subsystem },
                serial: &o.serial,
                model: &o.model,
                mdts: o.mdts,
                retry_delays: o.retry_delays,
                namespaces: o.namespaces.last().map_or(0, |ns| ns.nsid),
                in_capsule: o.in_capsule,
                optional: o.optional,
                max_commands: o.queue_entries.min(0xffff) as u16,
            }
            .to_bytes(),
            // Base 5.17.2.1: an identifier that is valid but not active gets zeroes.
            (0x00, false) if sqe.nsid() != 0 && sqe.nsid() <= o.namespaces.last().map_or(0, |n| n.nsid) => {
                target
                    .namespace(sqe.nsid())
                    .map_or(vec![0; identify::CONTROLLER_DATA], identify::namespace_data)
            }
            (0x00, false) => return Err(refuse(StatusCode::InvalidNamespace)),
            (0x02, false) if sqe.nsid() >= 0xffff_fffe => return Err(refuse(StatusCode::InvalidNamespace)),
            (0x02, false) => identify::active_list(&o.namespaces, sqe.nsid()),
            (0x03, false) => identify::namespace_descriptors(namespace()?),
            _ => return Err(refuse(StatusCode::InvalidField)),
        };
        read_back(sqe, data)
    }
}

/// Completion with data for a command that reads, cut to what its descriptor takes.
fn read_back(sqe: &Sqe, mut data: Vec<u8>) -> Result<Completion, Refusal> {
    let Sgl::Transport { length } = sqe.sgl() else {
        return Err(refuse(StatusCode::SglDescriptorTypeInvalid));
    };
    if length == 0 {
        return Err(refuse(StatusCode::DataSglLengthInvalid));
    }
    data.truncate(length as usize);
    Ok(Completion { data: data.into(), ..Completion::of(Status::SUCCESS) })
}

fn log_page(sqe: &Sqe, discovery: bool, target: &Target) -> Result<Completion, Refusal> {
    let (id, dwords) = (sqe.cdw(10) as u8, sqe.cdw(10) >> 16 | (sqe.cdw(11) & 0xffff) << 16);
    let offset = u64::from(sqe.cdw(12)) | u64::from(sqe.cdw(13)) << 32;
    let page = match (id, discovery) {
        (0x70, true) => identify::discovery_log(&target.options.discovery),
        (0x01, false) => vec![0; 64],
        (0x02, false) => identify::health_log(),
        (0x03, false) => vec![0; 512],
        _ => return Err(refuse(StatusCode::InvalidLogPage)),
    };
    if offset % 4 != 0 || offset > page.len() as u64 {
        return Err(refuse(StatusCode::InvalidField));
    }
    let length = (u64::from(dwords) + 1) * 4;
    if length > u64::from(target.options.max_transfer()) {
        return Err(refuse(StatusCode::InvalidField));
    }
    let mut data = page[offset as usize..].to_vec();
    data.resize(length as usize, 0);
    read_back(sqe, data)
}

fn set_features(sqe: &Sqe, data: &[u8], cntlid: u16, target: &mut Target) -> Result<Completion, Refusal> {
    let most = u32::from(target.options.io_queues.max(1));
    let Some(a) = target.association(cntlid) else { return Err(refuse(StatusCode::InternalError)) };
    let value = sqe.cdw(11);
    let mut dw0 = 0;
    match sqe.cdw(10) as u8 {
        feature::NUMBER_OF_QUEUES => {
            if value & 0xffff == 0xffff || value >> 16 == 0xffff {
                return Err(refuse(StatusCode::InvalidField));
            }
            if !a.queues.is_empty() {
                return Err(refuse(StatusCode::CommandSequenceError));
            }
            a.queues_asked = true;
            dw0 = (most - 1) | (most - 1) << 16;
        }
        feature::ASYNC_EVENT_CONFIGURATION => a.async_config = value,
        feature::KEEP_ALIVE_TIMER => a.kato = value,
        feature::HOST_BEHAVIOR_SUPPORT => {
            if data.len() != 512 {
                return Err(refuse(StatusCode::DataSglLengthInvalid));
            }
            a.delays_wanted = data[0] == 1;
        }
        _ => return Err(refuse(StatusCode::InvalidField)),
    }
    Ok(Completion { dw0, ..Completion::of(Status::SUCCESS) })
}

fn get_features(sqe: &Sqe, cntlid: u16, target: &mut Target) -> Result<Completion, Refusal> {
    let most = u32::from(target.options.io_queues.max(1));
    let Some(a) = target.association(cntlid) else { return Err(refuse(StatusCode::InternalError)) };
    let dw0 = match sqe.cdw(10) as u8 {
        feature::NUMBER_OF_QUEUES => (most - 1) | (most - 1) << 16,
        feature::ASYNC_EVENT_CONFIGURATION => a.async_config,
        feature::KEEP_ALIVE_TIMER => a.kato,
        feature::HOST_BEHAVIOR_SUPPORT => {
            let mut data = vec![0; 512];
            data[0] = u8::from(a.delays_wanted);
            return read_back(sqe, data);
        }
        _ => return Err(refuse(StatusCode::InvalidField)),
    };
    Ok(Completion { dw0, ..Completion::of(Status::SUCCESS) })
}
