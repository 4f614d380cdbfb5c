//! Draws what an odd host sends on one queue.

use std::collections::VecDeque;

use bytes::Bytes;
use nvme::{Digests, Pdu, Sgl, Sqe, TermReason, admin, fabrics, feature, io, property};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::values::{data_length, one_of, wide, word};

/// Opcodes of the subset, on either queue.
const KNOWN_OPCODES: [u8; 14] = [
    io::FLUSH,
    io::WRITE,
    io::READ,
    io::COMPARE,
    io::WRITE_ZEROES,
    io::DATASET_MANAGEMENT,
    admin::GET_LOG_PAGE,
    admin::IDENTIFY,
    admin::ABORT,
    admin::SET_FEATURES,
    admin::GET_FEATURES,
    admin::ASYNC_EVENT_REQUEST,
    admin::KEEP_ALIVE,
    admin::FABRICS,
];
/// SGL descriptor identifiers: the two of the subset, a zeroed one, and others of the specification.
const DESCRIPTORS: [u8; 9] = [0x00, 0x01, 0x5a, 0x10, 0x20, 0x30, 0x40, 0x4f, 0xff];
/// Percentages of what is drawn; the rest are commands.
const PERCENT_STRAY_DATA: u32 = 1;
const PERCENT_UNEXPECTED_PDU: u32 = 1;
const PERCENT_CUT_OFF: u32 = 1;
/// Percentage of the R2Ts that are answered before the next command.
const PERCENT_DATA_AS_ASKED: u32 = 70;

/// The kind of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// The admin queue.
    Admin,
    /// An I/O queue.
    Io,
}

/// What is there to be named by commands, and what must be left alone.
#[derive(Clone, Debug)]
pub struct Scope {
    /// Namespaces 1 to this one exist.
    pub namespaces: u32,
    /// Size of a namespace, in blocks.
    pub blocks: u64,
    /// Bytes of a block.
    pub block_size: u32,
    /// Most blocks of a transfer.
    pub max_blocks: u32,
    /// Most commands out on the queue.
    pub depth: u16,
    /// A namespace that no command writes to, if any.
    pub spared: Option<u32>,
}

/// How the bytes of a PDU are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// By themselves.
    Alone,
    /// Together with those of the next.
    WithNext,
    /// In two pieces, the first of so many bytes at most.
    InPieces(usize),
    /// Only so many of them at most; then the connection ends.
    CutOff(usize),
}

/// A PDU, and how it is sent.
#[derive(Clone, Debug)]
pub struct Step {
    /// What is sent.
    pub pdu: Pdu,
    /// How.
    pub delivery: Delivery,
}

/// Draws the PDUs of one queue. What the controller sent must be handed to [`PduGenerator::heard`], so that data is
/// sent as it was asked for, or nearly.
#[derive(Debug)]
pub struct PduGenerator {
    rng: StdRng,
    kind: QueueKind,
    scope: Scope,
    next_cid: u16,
    /// R2Ts that were not answered yet: command, tag, offset, length.
    requests: VecDeque<(u16, u16, u32, u32)>,
}

impl PduGenerator {
    /// A generator of which the same seed draws the same, if it hears the same.
    pub fn new(seed: u64, kind: QueueKind, scope: Scope) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        PduGenerator { rng, kind, scope, next_cid: 0, requests: VecDeque::new() }
    }

    /// Takes note of what the controller sent.
    pub fn heard(&mut self, pdu: &Pdu) {
        if let Pdu::R2T { cid, ttag, offset, length } = *pdu {
            self.requests.push_back((cid, ttag, offset, length));
        }
    }

    /// Draws the next PDU.
    pub fn draw(&mut self) -> Step {
        let pdu = match self.rng.random_range(0..100) {
            n if n < PERCENT_STRAY_DATA => self.stray_data(),
            n if n < PERCENT_STRAY_DATA + PERCENT_UNEXPECTED_PDU => self.unexpected_pdu(),
            _ if !self.requests.is_empty() && self.rng.random_range(0..100) < PERCENT_DATA_AS_ASKED => {
                self.answer_request()
            }
            _ => self.command(),
        };
        let delivery = match self.rng.random_range(0..100) {
            n if n < PERCENT_CUT_OFF => Delivery::CutOff(self.rng.random_range(1..200)),
            n if n < 20 => Delivery::InPieces(self.rng.random_range(1..200)),
            n if n < 50 => Delivery::WithNext,
            _ => Delivery::Alone,
        };
        Step { pdu, delivery }
    }

    /// A command: sound, sound but for a few fields, or drawn in whole.
    fn command(&mut self) -> Pdu {
        let (mut sqe, mut data) = match (self.rng.random_range(0..10), self.kind) {
            (0..3, _) => self.drawn_command(),
            (_, QueueKind::Io) => self.sound_io_command(),
            (_, QueueKind::Admin) => self.sound_admin_command(),
        };
        self.set_cid(&mut sqe);
        if self.rng.random() {
            for _ in 0..self.rng.random_range(1..4) {
                self.alter(&mut sqe, &mut data);
            }
        }
        self.spare(&mut sqe);
        Pdu::CapsuleCmd { sqe: sqe.0, data, intact: true }
    }

    fn drawn_command(&mut self) -> (Sqe, Bytes) {
        let mut sqe = Sqe([0; 64]);
        self.rng.fill(&mut sqe.0[..]);
        sqe.0[0] = self.opcode();
        sqe.0[1] = one_of(&mut self.rng, &[0x40, 0x40, 0x40, 0x41, 0x80, 0x00]);
        sqe.set_nsid(self.nsid());
        let length = data_length(&mut self.rng);
        let sgl = self.sgl(length);
        sqe.set_sgl(sgl);
        (sqe, Bytes::from(vec![0; length]))
    }

    /// A command that the target carries out, with its data in the capsule or to be asked for.
    fn sound_io_command(&mut self) -> (Sqe, Bytes) {
        let blocks = self.rng.random_range(1..=self.scope.max_blocks.min(4));
        let slba = self.rng.random_range(0..=self.scope.blocks - u64::from(blocks));
        let nsid = self.rng.random_range(1..=self.scope.namespaces);
        let opcode = one_of(
            &mut self.rng,
            &[io::READ, io::WRITE, io::FLUSH, io::COMPARE, io::WRITE_ZEROES, io::DATASET_MANAGEMENT],
        );
        let mut sqe = Sqe::blocks(opcode, nsid, slba, blocks);
        let bytes = blocks * self.scope.block_size;
        match opcode {
            io::READ => self.with_transport(sqe, bytes),
            io::WRITE | io::COMPARE => self.with_data(sqe, bytes),
            io::DATASET_MANAGEMENT => {
                sqe.set_cdw(10, 0);
                sqe.set_cdw(11, 1 << 2);
                self.with_data(sqe, 16)
            }
            _ => (sqe, Bytes::new()),
        }
    }

    fn sound_admin_command(&mut self) -> (Sqe, Bytes) {
        let opcode = one_of(&mut self.rng, &KNOWN_OPCODES[6..]);
        let mut sqe = Sqe::new(opcode);
        match opcode {
            admin::GET_LOG_PAGE => {
                let dwords = one_of(&mut self.rng, &[0, 127, 1023, 0xffff]);
                sqe.set_cdw(10, one_of(&mut self.rng, &[1, 2, 3, 0x70]) | dwords << 16);
                let bytes = word(&mut self.rng, (dwords + 1) * 4);
                self.with_transport(sqe, bytes)
            }
            admin::IDENTIFY => {
                sqe.set_nsid(self.nsid());
                sqe.set_cdw(10, self.rng.random_range(0..4));
                self.with_transport(sqe, 4096)
            }
            admin::SET_FEATURES | admin::GET_FEATURES => {
                let features = [
                    feature::NUMBER_OF_QUEUES,
                    feature::ASYNC_EVENT_CONFIGURATION,
                    feature::HOST_BEHAVIOR_SUPPORT,
                ];
                let identifier = one_of(&mut self.rng, &features);
                sqe.set_cdw(10, u32::from(identifier));
                sqe.set_cdw(11, word(&mut self.rng, 1 << 8));
                match (identifier, opcode) {
                    (feature::HOST_BEHAVIOR_SUPPORT, admin::SET_FEATURES) => self.with_data(sqe, 512),
                    (feature::HOST_BEHAVIOR_SUPPORT, _) => self.with_transport(sqe, 512),
                    _ => (sqe, Bytes::new()),
                }
            }
            admin::ABORT => {
                let (sqid, cid) =
                    (self.rng.random_range(0..3u32), self.rng.random_range(0..self.scope.depth));
                sqe.set_cdw(10, sqid | u32::from(cid) << 16);
                (sqe, Bytes::new())
            }
            admin::FABRICS => (self.fabrics_command(), Bytes::new()),
            _ => (sqe, Bytes::new()),
        }
    }

    /// A Fabrics command; none of them ends an association in order.
    fn fabrics_command(&mut self) -> Sqe {
        let offset = one_of(&mut self.rng, &[property::CAP, property::VS, property::CC, property::CSTS]);
        let offset = word(&mut self.rng, offset);
        match self.rng.random_range(0..4) {
            0 => Sqe::connect(self.rng.random_range(0..4), 31, 0, self.rng.random()),
            1 => Sqe::fabrics(self.rng.random()),
            _ => Sqe::property_get(offset, self.rng.random()),
        }
    }

    fn with_transport(&mut self, mut sqe: Sqe, length: u32) -> (Sqe, Bytes) {
        sqe.set_sgl(Sgl::Transport { length });
        (sqe, Bytes::new())
    }

    fn with_data(&mut self, mut sqe: Sqe, length: u32) -> (Sqe, Bytes) {
        if length > 8192 || self.rng.random() {
            return self.with_transport(sqe, length);
        }
        sqe.set_sgl(Sgl::InCapsule { offset: 0, length });
        (sqe, Bytes::from(vec![0; length as usize]))
    }

    /// Alters one thing of a command.
    fn alter(&mut self, sqe: &mut Sqe, data: &mut Bytes) {
        match self.rng.random_range(0..10) {
            0 => sqe.0[0] = self.opcode(),
            1 => sqe.0[1] = self.rng.random(),
            2 => sqe.set_nsid(self.nsid()),
            3 => self.set_slba(sqe),
            4 => sqe.set_cdw(12, word(&mut self.rng, self.scope.max_blocks)),
            5 => {
                let sgl = self.sgl(data.len());
                sqe.set_sgl(sgl);
            }
            6 | 7 => *data = Bytes::from(vec![0; data_length(&mut self.rng)]),
            8 => self.set_cid(sqe),
            _ => {
                let at = self.rng.random_range(0..sqe.0.len());
                sqe.0[at] = self.rng.random();
            }
        }
    }

    fn set_slba(&mut self, sqe: &mut Sqe) {
        let slba = wide(&mut self.rng, self.scope.blocks);
        sqe.set_cdw(10, slba as u32);
        sqe.set_cdw(11, (slba >> 32) as u32);
    }

    fn sgl(&mut self, brought: usize) -> Sgl {
        let length = word(&mut self.rng, brought as u32);
        match self.rng.random_range(0..4) {
            0 => Sgl::InCapsule { offset: 0, length: brought as u32 },
            1 => Sgl::InCapsule { offset: wide(&mut self.rng, 0), length },
            2 => Sgl::Transport { length },
            _ => Sgl::Unsupported(one_of(&mut self.rng, &DESCRIPTORS)),
        }
    }

    fn opcode(&mut self) -> u8 {
        if self.rng.random() { one_of(&mut self.rng, &KNOWN_OPCODES) } else { self.rng.random() }
    }

    fn nsid(&mut self) -> u32 {
        let namespaces = self.scope.namespaces;
        if self.rng.random() {
            self.rng.random_range(1..=namespaces)
        } else {
            word(&mut self.rng, namespaces)
        }
    }

    /// Sets an identifier: mostly the next, now and then one that may be in use or is at the end of its type.
    fn set_cid(&mut self, sqe: &mut Sqe) {
        self.next_cid = (self.next_cid + 1) % self.scope.depth;
        let cid = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..self.scope.depth),
            1 => one_of(&mut self.rng, &[0, u16::MAX, u16::MAX - 1]),
            _ => self.next_cid,
        };
        sqe.set_cid(cid);
    }

    /// Turns a command that would change the spared namespace to another, and keeps the association: a Disconnect
    /// or a Property Set would end in order what this host is to go on with.
    fn spare(&mut self, sqe: &mut Sqe) {
        let changes = matches!(sqe.opcode(), io::WRITE | io::WRITE_ZEROES | io::DATASET_MANAGEMENT);
        if changes && Some(sqe.nsid()) == self.scope.spared {
            sqe.set_nsid(0);
        }
        let is_ending = matches!(sqe.fctype(), fabrics::PROPERTY_SET | fabrics::DISCONNECT);
        if sqe.opcode() == admin::FABRICS && is_ending && self.rng.random_range(0..50) > 0 {
            sqe.0[4] = fabrics::PROPERTY_GET;
        }
    }

    /// The data that an R2T asked for, or nearly.
    fn answer_request(&mut self) -> Pdu {
        let (mut cid, mut ttag, mut offset, mut length) = self.requests.pop_front().unwrap_or_default();
        let mut last = true;
        match self.rng.random_range(0..100) {
            0 => cid = self.rng.random(),
            1 => ttag = self.rng.random(),
            2 => offset = word(&mut self.rng, offset),
            3 => length = length.saturating_add(self.rng.random_range(0..512)),
            4 => length = self.rng.random_range(0..=length),
            5 => last = false,
            6 => self.requests.push_back((cid, ttag, offset, length)), // It comes a second time.
            n if n < 20 && length > 8 => {
                // In two parts, of which the second comes later, or never.
                let part = length / 2 / 4 * 4;
                self.requests.push_back((cid, ttag, offset + part, length - part));
                (length, last) = (part, false);
            }
            _ => {}
        }
        let length = length.min(128 << 10);
        Pdu::H2CData { cid, ttag, offset, last, data: Bytes::from(vec![0; length as usize]), intact: true }
    }

    /// Data that nobody asked for.
    fn stray_data(&mut self) -> Pdu {
        let data = Bytes::from(vec![0; data_length(&mut self.rng)]);
        let (cid, ttag) = (self.rng.random_range(0..self.scope.depth), self.rng.random_range(0..4));
        Pdu::H2CData {
            cid,
            ttag,
            offset: word(&mut self.rng, 0),
            last: self.rng.random(),
            data,
            intact: true,
        }
    }

    /// A PDU that has no place on a queue that is up.
    fn unexpected_pdu(&mut self) -> Pdu {
        let digests = Digests { header: self.rng.random(), data: self.rng.random() };
        match self.rng.random() {
            true => Pdu::ICReq { version: self.rng.random_range(0..2), hpda: 0, digests, max_r2t: 0 },
            false => {
                let reason = TermReason::InvalidHeaderField(self.rng.random());
                Pdu::TermReq { by_host: true, reason, header: Bytes::from(vec![0; 24]) }
            }
        }
    }
}
