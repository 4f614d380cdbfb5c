//! The host's side of one connection: from ICReq to a queue that takes commands.

mod exchange;

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::command::*;
use crate::decoder::{Decoder, Side};
use crate::identify::{CONTROLLER_DATA, ControllerLimits};
use crate::pdu::{Digests, Pdu, TermReason};
use crate::status::{Status, StatusCode};
use gather::PduSink;

pub use exchange::{HostEvent, HostFault, InitiatorOptions, Reply, Submission};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    AwaitIcResp,
    Connect,
    Enable,
    AwaitReady,
    Identify,
    Behavior,
    Ready,
    Over,
}

#[derive(Debug)]
struct Flight {
    user: u64,
    /// Data of a write not in the capsule.
    data: Bytes,
    /// How much of it R2Ts have asked for, in order.
    requested: usize,
    got: Bytes,
    expect: u32,
    intact: bool,
}

/// Data of a read in one PDU is kept as it came; only more of them are copied together.
fn joined(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut both = first.try_into_mut().unwrap_or_else(|first| BytesMut::from(&first[..]));
    both.extend_from_slice(&second);
    both.freeze()
}

/// The host's side of a connection.
#[derive(Debug)]
pub struct Initiator {
    options: InitiatorOptions,
    decoder: Decoder,
    digests: Digests,
    max_h2c_data: usize,
    step: Step,
    cntlid: u16,
    limits: Option<ControllerLimits>,
    flights: Vec<Option<Flight>>,
    free: VecDeque<u16>,
}

impl Initiator {
    /// A connection just opened; writes its ICReq.
    pub fn new(options: InitiatorOptions, out: &mut impl PduSink) -> Self {
        let digests = options.digests;
        Pdu::ICReq { version: 0, hpda: 0, digests, max_r2t: 0 }.encode(Digests::default(), out);
        let depth = options.entries.clamp(2, 0x1_0000) as usize - 1;
        Initiator {
            decoder: Decoder::new(Side::Host, options.max_data.max(CONTROLLER_DATA)),
            digests: Digests::default(),
            max_h2c_data: 4096,
            step: Step::AwaitIcResp,
            cntlid: options.cntlid,
            limits: None,
            flights: (0..depth).map(|_| None).collect(),
            free: (0..depth as u16).collect(),
            options,
        }
    }

    /// Whether commands are taken.
    pub fn is_ready(&self) -> bool {
        self.step == Step::Ready
    }

    /// Commands that may still be submitted now.
    pub fn room(&self) -> usize {
        if self.is_ready() { self.free.len() } else { 0 }
    }

    /// Digests in use, once the controller has answered.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Commands out.
    pub fn outstanding(&self) -> usize {
        self.flights.len() - self.free.len()
    }

    /// Gives up all commands out, as the connection is gone, and names them as submitted.
    pub fn abandon(&mut self) -> Vec<u64> {
        self.step = Step::Over;
        self.flights.iter_mut().filter_map(Option::take).map(|f| f.user).collect()
    }

    /// Sends a command and returns its identifier; `None` where the queue is full or not ready.
    pub fn submit(&mut self, submission: Submission, out: &mut impl PduSink) -> Option<u16> {
        if !self.is_ready() { None } else { self.send(submission, out) }
    }

    fn send(&mut self, submission: Submission, out: &mut impl PduSink) -> Option<u16> {
        // Identifiers go round, so that a late answer is not soon taken for another command's.
        let cid = self.free.pop_front()?;
        let Submission { mut sqe, data, expect, user } = submission;
        sqe.set_cid(cid);
        let fabrics = sqe.opcode() == admin::FABRICS;
        let most = if fabrics || self.options.qid == 0 { 8192 } else { self.options.in_capsule as usize };
        let inline = !data.is_empty() && data.len() <= most;
        if inline {
            sqe.set_sgl(Sgl::InCapsule { offset: 0, length: data.len() as u32 });
        } else if !data.is_empty() || expect > 0 {
            sqe.set_sgl(Sgl::Transport { length: (data.len() as u32).max(expect) });
        }
        let (capsule, later) = if inline { (data, Bytes::new()) } else { (Bytes::new(), data) };
        Pdu::CapsuleCmd { sqe: sqe.0, data: capsule, intact: true }.encode(self.digests, out);
        let flight = Flight { user, data: later, requested: 0, got: Bytes::new(), expect, intact: true };
        self.flights[usize::from(cid)] = Some(flight);
        Some(cid)
    }

    /// Takes back a command of which nothing was sent; its data is returned to nobody. It gets no reply.
    pub fn take_back(&mut self, cid: u16) {
        if let Some(flight) = self.flights.get_mut(usize::from(cid))
            && flight.take().is_some()
        {
            self.free.push_front(cid);
        }
    }

    /// Takes bytes off the stream; appends what is to be sent to `out` and what happened to `events`.
    pub fn receive(&mut self, bytes: &[u8], out: &mut impl PduSink, events: &mut Vec<HostEvent>) {
        self.decoder.push(bytes);
        while self.step != Step::Over {
            let handled = match self.decoder.poll() {
                Ok(None) => return,
                Ok(Some(pdu)) => self.pdu(pdu, out, events),
                Err(reason) => Err(HostFault::Protocol(reason)),
            };
            if let Err(fault) = handled {
                if let HostFault::Protocol(reason) = fault {
                    let header = self.decoder.faulty_header();
                    Pdu::TermReq { by_host: true, reason, header }.encode(Digests::default(), out);
                }
                self.step = Step::Over;
                events.push(HostEvent::Fault(fault));
            }
        }
    }

    fn pdu(
        &mut self,
        pdu: Pdu,
        out: &mut impl PduSink,
        events: &mut Vec<HostEvent>,
    ) -> Result<(), HostFault> {
        let broken = |reason| Err(HostFault::Protocol(reason));
        match pdu {
            Pdu::ICResp { version, cpda, digests, max_h2c_data } if self.step == Step::AwaitIcResp => {
                if version != 0 || max_h2c_data < 4096 {
                    return broken(TermReason::UnsupportedParameter(if version != 0 { 8 } else { 12 }));
                }
                if cpda != 0 || digests.both(self.options.digests) != digests {
                    return broken(TermReason::UnsupportedParameter(if cpda != 0 { 10 } else { 11 }));
                }
                self.digests = digests;
                self.decoder.set_digests(digests);
                self.max_h2c_data = max_h2c_data as usize;
                self.connect(out);
                Ok(())
            }
            Pdu::TermReq { reason, .. } => Err(HostFault::Terminated(reason)),
            _ if self.step == Step::AwaitIcResp => broken(TermReason::SequenceError),
            Pdu::CapsuleResp { cqe } => self.ended(Cqe::from_bytes(&cqe), out, events),
            Pdu::R2T { cid, ttag, offset, length } => self.r2t(cid, ttag, offset, length, out),
            Pdu::C2HData { cid, offset, last, success, data, intact } => {
                let Some(Some(flight)) = self.flights.get_mut(usize::from(cid)) else {
                    return broken(TermReason::InvalidHeaderField(8));
                };
                let end = flight.got.len() + data.len();
                if offset as usize != flight.got.len() || end > flight.expect as usize {
                    return broken(TermReason::DataOutOfRange);
                }
                flight.intact &= intact;
                flight.got = joined(std::mem::take(&mut flight.got), data);
                if last && success {
                    let cqe = Cqe { dw0: 0, dw1: 0, sq_head: 0, cid, status: Status::SUCCESS };
                    return self.ended(cqe, out, events);
                }
                Ok(())
            }
            _ => broken(TermReason::SequenceError),
        }
    }

    fn r2t(
        &mut self,
        cid: u16,
        ttag: u16,
        offset: u32,
        length: u32,
        out: &mut impl PduSink,
    ) -> Result<(), HostFault> {
        let Some(Some(flight)) = self.flights.get_mut(usize::from(cid)) else {
            return Err(HostFault::Protocol(TermReason::InvalidHeaderField(8)));
        };
        let (start, end) = (offset as usize, offset as usize + length as usize);
        // In order and each byte once: data that is asked for again would be sent as often as the controller likes.
        if length == 0 || start != flight.requested || end > flight.data.len() {
            return Err(HostFault::Protocol(TermReason::DataOutOfRange));
        }
        flight.requested = end;
        let mut at = start;
        while at < end {
            let next = (at + self.max_h2c_data).min(end);
            let data = flight.data.slice(at..next);
            Pdu::H2CData { cid, ttag, offset: at as u32, last: next == end, data, intact: true }
                .encode(self.digests, out);
            at = next;
        }
        Ok(())
    }

    fn ended(
        &mut self,
        cqe: Cqe,
        out: &mut impl PduSink,
        events: &mut Vec<HostEvent>,
    ) -> Result<(), HostFault> {
        let Some(flight) = self.flights.get_mut(usize::from(cqe.cid)).and_then(Option::take) else {
            return Err(HostFault::Protocol(TermReason::InvalidHeaderField(8)));
        };
        self.free.push_back(cqe.cid);
        let mut status = cqe.status;
        // Data that does not match its digest, or is short, is no answer (TCP 3.3.1). Neither is the success of a
        // write whose data the controller has not had.
        let is_short = flight.got.len() != flight.expect as usize;
        let is_unwritten = flight.requested != flight.data.len();
        if status.is_success() && (!flight.intact || is_short || is_unwritten) {
            status = Status::passing(StatusCode::TransientTransportError);
        }
        let data = if status.is_success() { flight.got } else { Bytes::new() };
        let reply = Reply { user: flight.user, status, dw0: cqe.dw0, dw1: cqe.dw1, data };
        if self.step == Step::Ready {
            events.push(HostEvent::Reply(reply));
            Ok(())
        } else {
            self.way_up(reply, out, events)
        }
    }

    fn connect(&mut self, out: &mut impl PduSink) {
        let o = &self.options;
        let sqe = Sqe::connect(o.qid, (o.entries.clamp(2, 0x1_0000) - 1) as u16, o.kato, true);
        let data = ConnectData {
            host_id: o.host_id,
            cntlid: if o.qid == 0 { 0xffff } else { o.cntlid },
            subsystem: o.subsystem.clone(),
            host: o.host.clone(),
        };
        self.step = Step::Connect;
        self.send(Submission { sqe, data: data.to_bytes().into(), expect: 0, user: 0 }, out);
    }

    /// The next step of the way up, after the reply to the last.
    fn way_up(
        &mut self,
        reply: Reply,
        out: &mut impl PduSink,
        events: &mut Vec<HostEvent>,
    ) -> Result<(), HostFault> {
        let steps = ["", "Connect", "enabling the controller", "reading its state", "Identify Controller"];
        let step = steps.get(self.step as usize).copied().unwrap_or("Host Behavior Support");
        // A controller without the feature still serves; it only gives no delays.
        if !reply.status.is_success() && self.step != Step::Behavior {
            return Err(HostFault::Refused { step, status: reply.status, dw0: reply.dw0 });
        }
        let ask = |sqe, data: Bytes, expect| Submission { sqe, data, expect, user: 0 };
        let (next, submission) = match self.step {
            Step::Connect => {
                self.cntlid = reply.dw0 as u16;
                if self.options.qid > 0 {
                    (Step::Ready, None)
                } else {
                    let cc = 1 | 6 << 16 | 4 << 20;
                    (Step::Enable, Some(ask(Sqe::property_set(property::CC, cc, false), Bytes::new(), 0)))
                }
            }
            Step::AwaitReady if reply.dw0 & 1 == 1 => {
                let mut sqe = Sqe::new(admin::IDENTIFY);
                sqe.set_cdw(10, 1);
                (Step::Identify, Some(ask(sqe, Bytes::new(), CONTROLLER_DATA as u32)))
            }
            Step::Enable | Step::AwaitReady => {
                (Step::AwaitReady, Some(ask(Sqe::property_get(property::CSTS, false), Bytes::new(), 0)))
            }
            Step::Identify => {
                self.limits = ControllerLimits::from_identify(&reply.data);
                let mut sqe = Sqe::new(admin::SET_FEATURES);
                sqe.set_cdw(10, u32::from(feature::HOST_BEHAVIOR_SUPPORT));
                let mut data = vec![0; 512];
                data[0] = 1;
                (Step::Behavior, Some(ask(sqe, data.into(), 0)))
            }
            _ => (Step::Ready, None),
        };
        self.step = next;
        match submission {
            Some(submission) => {
                self.send(submission, out);
            }
            None => events.push(HostEvent::Ready { cntlid: self.cntlid, limits: self.limits }),
        }
        Ok(())
    }
}
