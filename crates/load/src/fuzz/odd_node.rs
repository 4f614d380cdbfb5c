//! Draws what an odd controller, such as a node, sends to a host with commands out.

use bytes::Bytes;
use nvme::{Cqe, Pdu, Status, StatusCode, TermReason};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::values::{data_length, one_of, word};

/// A command that the host has out, as the controller knows it.
#[derive(Clone, Copy, Debug)]
struct OpenCommand {
    cid: u16,
    /// Bytes that a read is to bring.
    expected: u32,
    /// Bytes of a write that did not come in its capsule.
    announced: u32,
    /// Data sent, and asked for, so far.
    sent: u32,
    asked: u32,
}

/// Draws the PDUs of an odd controller: mostly what a sound one would send next, now and then too much, too little,
/// twice, out of order or for nobody.
#[derive(Debug)]
pub struct OddNode {
    rng: StdRng,
    open: Vec<OpenCommand>,
}

impl OddNode {
    /// A controller of which the same seed draws the same, if it hears the same.
    pub fn new(seed: u64) -> Self {
        OddNode { rng: StdRng::seed_from_u64(seed), open: Vec::new() }
    }

    /// Takes note of a command. `expected`: bytes that a read is to bring; `announced`: bytes of a write that did
    /// not come in its capsule.
    pub fn heard(&mut self, cid: u16, expected: u32, announced: u32) {
        self.open.push(OpenCommand { cid, expected, announced, sent: 0, asked: 0 });
    }

    /// Draws the next PDU.
    pub fn draw(&mut self) -> Pdu {
        if self.open.is_empty() || self.rng.random_range(0..50) == 0 {
            return self.stray();
        }
        let index = self.rng.random_range(0..self.open.len());
        let odd = self.rng.random_range(0..4) == 0;
        let command = self.open[index];
        if command.asked < command.announced {
            return self.request(index, odd);
        }
        if command.sent < command.expected && self.rng.random_range(0..10) > 0 {
            return self.data(index, odd);
        }
        self.response(index, odd)
    }

    /// An R2T: for what has not been asked for yet, or beyond it, or again.
    fn request(&mut self, index: usize, odd: bool) -> Pdu {
        let OpenCommand { cid, announced, asked, .. } = self.open[index];
        let (mut offset, mut length) = (asked, self.rng.random_range(1..=announced - asked));
        if odd {
            match self.rng.random_range(0..4) {
                0 => offset = word(&mut self.rng, asked),
                1 => length = word(&mut self.rng, announced),
                2 => return self.response(index, true), // It ends without having had the data.
                _ => (offset, length) = (0, announced),
            }
        }
        self.open[index].asked = asked.saturating_add(length).min(announced);
        Pdu::R2T { cid, ttag: self.rng.random(), offset, length }
    }

    /// Data of a read: the next part, or too much, too little, or in the wrong place.
    fn data(&mut self, index: usize, odd: bool) -> Pdu {
        let OpenCommand { cid, expected, sent, .. } = self.open[index];
        let left = expected - sent;
        let (mut offset, mut length) =
            (sent, if self.rng.random() { left } else { self.rng.random_range(0..=left) });
        let mut last = length == left;
        let mut success = last && self.rng.random();
        if odd {
            match self.rng.random_range(0..4) {
                0 => offset = word(&mut self.rng, sent),
                1 => length = data_length(&mut self.rng) as u32,
                2 => (last, success) = (true, true),
                _ => last = !last,
            }
        }
        success &= last;
        self.open[index].sent = sent.saturating_add(length).min(expected);
        if success && self.rng.random_range(0..5) > 0 {
            self.open.swap_remove(index);
        }
        let data = Bytes::from(vec![7; length as usize]);
        Pdu::C2HData { cid, offset, last, success, data, intact: true }
    }

    /// A completion, after which the command is mostly forgotten; else it comes again.
    fn response(&mut self, index: usize, odd: bool) -> Pdu {
        let cid = self.open[index].cid;
        if !odd || self.rng.random() {
            self.open.swap_remove(index);
        }
        self.completion(cid)
    }

    fn completion(&mut self, cid: u16) -> Pdu {
        let status = match self.rng.random_range(0..4) {
            0 => Status::permanent(StatusCode::InternalError),
            1 => Status::from_field(self.rng.random()),
            _ => Status::SUCCESS,
        };
        let cqe = Cqe { dw0: self.rng.random(), dw1: 0, sq_head: self.rng.random(), cid, status };
        Pdu::CapsuleResp { cqe: cqe.to_bytes() }
    }

    /// A PDU for a command that is not there, or that has no place here.
    fn stray(&mut self) -> Pdu {
        let cid = one_of(&mut self.rng, &[0, 1, 127, 128, u16::MAX]);
        let data = Bytes::from(vec![7; data_length(&mut self.rng)]);
        match self.rng.random_range(0..4) {
            0 => self.completion(cid),
            1 => Pdu::C2HData { cid, offset: 0, last: true, success: self.rng.random(), data, intact: true },
            2 => Pdu::R2T { cid, ttag: 0, offset: 0, length: word(&mut self.rng, 4096) },
            _ => Pdu::TermReq { by_host: false, reason: TermReason::DataOutOfRange, header: Bytes::new() },
        }
    }
}
