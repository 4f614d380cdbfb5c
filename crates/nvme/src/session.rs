//! The controller's side of one connection: one queue of one association.

mod admin_commands;
mod exchange;
mod fabrics_commands;
mod io_commands;

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};

use crate::Micros;
pub use exchange::{Completion, IoCommand, Output};

use crate::command::{Cqe, Sqe, admin, fabrics};
use crate::decoder::{Decoder, Side};
use crate::pdu::{Digests, Pdu, TermReason};
use crate::status::{Retry, Status, StatusCode};
use crate::target::{Admission, Target};
use crate::transfer::{
    ADMIN_IN_CAPSULE, DataSource, Refusal, admin_transfer, fabrics_transfer, io_transfer, refuse,
};
use gather::PduSink;

/// Data bytes in one C2HData PDU at most.
const C2H_CHUNK: usize = 128 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Before ICReq.
    Start,
    /// Before Connect.
    Open,
    Bound(Admission),
    Over,
}

/// A command from its capsule to its completion.
#[derive(Debug)]
enum Slot {
    /// Waits for the data that an R2T asked for.
    Receiving { sqe: Sqe, began: Micros, data: BytesMut, length: usize, ttag: u16, intact: bool },
    /// Handed on.
    Running { opcode: u8 },
}

/// The controller's side of a connection.
#[derive(Debug)]
pub struct Session {
    decoder: Decoder,
    offered: Digests,
    digests: Digests,
    phase: Phase,
    queue_entries: u32,
    sq_head: u32,
    flow_control: bool,
    slots: HashMap<u16, Slot>,
    /// Held Asynchronous Event Requests.
    async_requests: VecDeque<u16>,
    next_ttag: u16,
}

/// What a session needs of its owner while it handles bytes.
struct Cx<'a> {
    now: Micros,
    /// When the capsule of the command that is looked at came.
    began: Micros,
    target: &'a mut Target,
    out: &'a mut BytesMut,
    outputs: &'a mut Vec<Output>,
}

impl Session {
    /// A fresh connection. `digests` are those that the controller is ready to use.
    pub fn new(target: &Target, digests: Digests) -> Self {
        let most = target.options.max_h2c_data.max(target.options.in_capsule).max(ADMIN_IN_CAPSULE);
        Session {
            decoder: Decoder::new(Side::Controller, most as usize),
            offered: digests,
            digests: Digests::default(),
            phase: Phase::Start,
            queue_entries: 2,
            sq_head: 0,
            flow_control: true,
            slots: HashMap::new(),
            async_requests: VecDeque::new(),
            next_ttag: 0,
        }
    }

    /// The queue that the connection is, once bound.
    pub fn admission(&self) -> Option<Admission> {
        match self.phase {
            Phase::Bound(admission) => Some(admission),
            _ => None,
        }
    }

    /// Commands taken and not completed.
    pub fn outstanding(&self) -> usize {
        self.slots.len()
    }

    /// Bytes held for commands whose data is still coming, and for a PDU that is not whole.
    pub fn held_bytes(&self) -> usize {
        let slots = self.slots.values().map(|s| match s {
            Slot::Receiving { length, .. } => *length,
            Slot::Running { .. } => 0,
        });
        self.decoder.held() + slots.sum::<usize>()
    }

    /// Takes bytes off the stream; appends what is to be sent to `out` and what is to be done to `outputs`.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: Micros,
        target: &mut Target,
        out: &mut BytesMut,
        outputs: &mut Vec<Output>,
    ) {
        let cx = &mut Cx { now, began: now, target, out, outputs };
        self.decoder.push(bytes);
        while self.phase != Phase::Over {
            let handled = match self.decoder.poll() {
                Ok(None) => return,
                Ok(Some(pdu)) => self.pdu(pdu, cx),
                Err(reason) => Err(reason),
            };
            if let Err(reason) = handled {
                let header = self.decoder.faulty_header();
                Pdu::TermReq { by_host: false, reason, header }.encode(Digests::default(), cx.out);
                self.over(cx, Some(reason));
            }
        }
    }

    /// The connection is gone. Commands handed on are the owner's to withdraw; nothing more can be sent.
    pub fn closed(&mut self, target: &mut Target, outputs: &mut Vec<Output>) {
        if self.phase != Phase::Over {
            self.over(&mut Cx { now: 0, began: 0, target, out: &mut BytesMut::new(), outputs }, None);
        }
    }

    fn over(&mut self, cx: &mut Cx<'_>, reason: Option<TermReason>) {
        if let Phase::Bound(Admission { cntlid, qid }) = self.phase {
            if qid == 0 {
                cx.target.end(cntlid);
                cx.outputs.push(Output::Ended(cntlid));
            } else if let Some(a) = cx.target.association(cntlid) {
                a.queues.remove(&qid);
            }
        }
        self.phase = Phase::Over;
        self.slots.clear();
        cx.outputs.push(Output::Close(reason));
    }

    fn pdu(&mut self, pdu: Pdu, cx: &mut Cx<'_>) -> Result<(), TermReason> {
        match (pdu, self.phase) {
            (Pdu::ICReq { version, hpda, digests, .. }, Phase::Start) => {
                if version != 0 {
                    return Err(TermReason::UnsupportedParameter(8));
                }
                if hpda > 31 {
                    return Err(TermReason::InvalidHeaderField(10));
                }
                // Data then starts where any alignment of dwords puts it; larger ones are not kept.
                if hpda != 0 {
                    return Err(TermReason::UnsupportedParameter(10));
                }
                self.digests = self.offered.both(digests);
                let max_h2c_data = cx.target.options.max_h2c_data;
                Pdu::ICResp { version: 0, cpda: 0, digests: self.digests, max_h2c_data }
                    .encode(Digests::default(), cx.out);
                self.decoder.set_digests(self.digests);
                self.phase = Phase::Open;
                Ok(())
            }
            (Pdu::TermReq { reason, .. }, _) => {
                self.over(cx, Some(reason));
                Ok(())
            }
            (Pdu::CapsuleCmd { sqe, data, intact }, Phase::Open | Phase::Bound(_)) => {
                self.capsule(Sqe(sqe), data, intact, cx)
            }
            (chunk @ Pdu::H2CData { .. }, Phase::Bound(_)) => self.data(chunk, cx),
            _ => Err(TermReason::SequenceError),
        }
    }

    fn capsule(&mut self, sqe: Sqe, data: Bytes, intact: bool, cx: &mut Cx<'_>) -> Result<(), TermReason> {
        self.sq_head = (self.sq_head + 1) % self.queue_entries;
        if self.slots.len() + self.async_requests.len() >= cx.target.options.queue_entries as usize {
            return Err(TermReason::SequenceError);
        }
        if let Phase::Bound(admission) = self.phase
            && let Some(a) = cx.target.association(admission.cntlid)
        {
            a.last_heard = cx.now;
        }
        let cid = sqe.cid();
        if self.slots.contains_key(&cid) || self.async_requests.contains(&cid) {
            self.respond(cid, refuse(StatusCode::CommandIdConflict), cx.out);
            return Ok(());
        }
        match self.judge(&sqe, data.len(), cx.target) {
            Err(refusal) => self.respond(cid, refusal, cx.out),
            Ok(DataSource::Host(length)) => {
                let ttag = self.next_ttag;
                self.next_ttag = self.next_ttag.wrapping_add(1);
                // Grown as data comes, so that a host which only announces data holds no memory.
                let slot =
                    Slot::Receiving { sqe, began: cx.now, data: BytesMut::new(), length, ttag, intact: true };
                self.slots.insert(cid, slot);
                Pdu::R2T { cid, ttag, offset: 0, length: length as u32 }.encode(self.digests, cx.out);
            }
            Ok(DataSource::Capsule) if !intact => {
                self.respond(cid, (Status::passing(StatusCode::TransientTransportError), 0), cx.out)
            }
            Ok(DataSource::Capsule) => self.execute(sqe, data, cx),
        }
        Ok(())
    }

    /// Judges a command by its entry and the bytes of data that came with it, before anything is done with it.
    fn judge(&self, sqe: &Sqe, brought: usize, target: &mut Target) -> Result<DataSource, Refusal> {
        if sqe.is_fused() || sqe.has_metadata() {
            return Err(refuse(StatusCode::InvalidField));
        }
        let is_connect = sqe.opcode() == admin::FABRICS && sqe.fctype() == fabrics::CONNECT;
        let (transfer, in_capsule) = match (self.phase, sqe.opcode()) {
            (Phase::Open, _) if !is_connect => return Err(refuse(StatusCode::CommandSequenceError)),
            (_, admin::FABRICS) => (fabrics_transfer(sqe)?, ADMIN_IN_CAPSULE),
            (Phase::Bound(at), _) if !target.is_ready(at.cntlid) => {
                return Err(refuse(StatusCode::CommandSequenceError));
            }
            (Phase::Bound(at), _) if at.qid > 0 => {
                (io_transfer(sqe, target.options.optional)?, target.options.in_capsule)
            }
            _ => (admin_transfer(sqe)?, ADMIN_IN_CAPSULE),
        };
        transfer.check(sqe, in_capsule, brought, target)
    }

    fn data(&mut self, chunk: Pdu, cx: &mut Cx<'_>) -> Result<(), TermReason> {
        let Pdu::H2CData { cid, ttag, offset, last, data, intact: sound } = chunk else {
            return Err(TermReason::SequenceError);
        };
        let Some(Slot::Receiving { data: held, length, ttag: wanted, intact, .. }) = self.slots.get_mut(&cid)
        else {
            return Err(TermReason::InvalidHeaderField(8));
        };
        if *wanted != ttag {
            return Err(TermReason::InvalidHeaderField(10));
        }
        if offset as usize != held.len() || held.len() + data.len() > *length {
            return Err(TermReason::DataOutOfRange);
        }
        if data.len() > cx.target.options.max_h2c_data as usize {
            return Err(TermReason::LimitExceeded);
        }
        held.extend_from_slice(&data);
        *intact &= sound;
        let whole = held.len() == *length;
        if whole != last {
            return Err(TermReason::InvalidHeaderField(1));
        }
        if whole && let Some(Slot::Receiving { sqe, began, data, intact, .. }) = self.slots.remove(&cid) {
            cx.began = began;
            if intact {
                self.execute(sqe, data.freeze(), cx);
            } else {
                self.respond(cid, (Status::passing(StatusCode::TransientTransportError), 0), cx.out);
            }
            cx.began = cx.now;
        }
        Ok(())
    }

    fn execute(&mut self, sqe: Sqe, data: Bytes, cx: &mut Cx<'_>) {
        let cid = sqe.cid();
        let done = match (self.phase, sqe.opcode()) {
            (Phase::Open, admin::FABRICS) if sqe.fctype() == fabrics::CONNECT => {
                self.connect(&sqe, &data, cx)
            }
            (Phase::Bound(a), admin::FABRICS) => self.fabrics(&sqe, a, cx),
            (Phase::Bound(a), _) if !cx.target.is_ready(a.cntlid) => {
                Err(refuse(StatusCode::CommandSequenceError))
            }
            (Phase::Bound(a), _) if a.qid == 0 => self.admin(&sqe, &data, a.cntlid, cx),
            (Phase::Bound(_), _) => self.io(&sqe, data, cx),
            _ => Err(refuse(StatusCode::CommandSequenceError)),
        };
        match done {
            Ok(Some(completion)) => self.finish(cid, sqe.opcode(), completion, cx.out),
            Ok(None) => {}
            Err(refusal) => self.respond(cid, refusal, cx.out),
        }
    }

    /// Ends a command that was handed on. One that is not outstanding is passed over: its connection may have
    /// ended meanwhile. Returns whether an answer was written.
    pub fn complete(&mut self, cid: u16, completion: Completion, out: &mut impl PduSink) -> bool {
        let Some(Slot::Running { opcode }) = self.slots.get(&cid) else { return false };
        let opcode = *opcode;
        self.slots.remove(&cid);
        self.finish(cid, opcode, completion, out);
        true
    }

    fn finish(&mut self, cid: u16, opcode: u8, completion: Completion, out: &mut impl PduSink) {
        let Completion { status, dw0, dw1, data } = completion;
        // SUCCESS spares the CapsuleResp where the host does not need SQHD (TCP 3.3.2, Base 6.3 CATTR).
        let spare =
            !self.flow_control && status.is_success() && (dw0, dw1) == (0, 0) && opcode != admin::FABRICS;
        if status.is_success() && !data.is_empty() {
            let mut offset = 0;
            while offset < data.len() {
                let end = (offset + C2H_CHUNK).min(data.len());
                let last = end == data.len();
                let success = last && spare;
                Pdu::C2HData {
                    cid,
                    offset: offset as u32,
                    last,
                    success,
                    data: data.slice(offset..end),
                    intact: true,
                }
                .encode(self.digests, out);
                offset = end;
            }
            if spare {
                return;
            }
        }
        let cqe = Cqe { dw0, dw1, sq_head: self.sq_head as u16, cid, status };
        Pdu::CapsuleResp { cqe: cqe.to_bytes() }.encode(self.digests, out);
    }

    fn respond(&mut self, cid: u16, (status, dw0): Refusal, out: &mut BytesMut) {
        let cqe = Cqe { dw0, dw1: 0, sq_head: self.sq_head as u16, cid, status };
        Pdu::CapsuleResp { cqe: cqe.to_bytes() }.encode(self.digests, out);
    }

    /// The status as this host may be told it: a retry delay only where it asked for delays (Base 5.27.1.18).
    pub fn allowed(&self, status: Status, target: &mut Target) -> Status {
        let wanted =
            self.admission().and_then(|a| target.association(a.cntlid)).is_some_and(|a| a.delays_wanted);
        match status.retry {
            Retry::Delay(_) if !wanted => Status { retry: Retry::Any, ..status },
            _ => status,
        }
    }

    /// Tells the host that a namespace changed, if an Asynchronous Event Request is held and the event is
    /// configured (Base 5.2.1: Notice, Namespace Attribute Changed). Returns whether it was told.
    pub fn namespace_changed(&mut self, target: &mut Target, out: &mut BytesMut) -> bool {
        let Some(admission) = self.admission() else { return false };
        let wanted = target.association(admission.cntlid).is_some_and(|a| a.async_config & 1 << 8 != 0);
        let Some(cid) = self.async_requests.pop_front().filter(|_| wanted) else { return false };
        let event = 2 | 0x04 << 16;
        self.respond(cid, (Status::SUCCESS, event), out);
        true
    }
}
