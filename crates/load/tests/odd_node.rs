//! A host's connection against a controller, such as a node, that sends what it should not.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use bytes::{Bytes, BytesMut};
use load::fuzz::OddNode;
use nvme::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const IN_CAPSULE: u32 = 8192;
const ENTRIES: u32 = 129;

/// A host whose I/O queue takes commands, as a sound controller left it.
fn ready_host() -> Initiator {
    let options = InitiatorOptions {
        host: "nqn.2026-12.example:host".into(),
        host_id: [9; 16],
        subsystem: "nqn.2026-12.example:volumes".into(),
        qid: 1,
        cntlid: 1,
        entries: ENTRIES,
        kato: 0,
        digests: Digests::default(),
        in_capsule: IN_CAPSULE,
        max_data: 1 << 20,
    };
    let (mut sent, mut bytes, mut events) = (BytesMut::new(), BytesMut::new(), Vec::new());
    let mut host = Initiator::new(options, &mut sent);
    let digests = Digests::default();
    Pdu::ICResp { version: 0, cpda: 0, digests, max_h2c_data: 16384 }.encode(digests, &mut bytes);
    let cqe = Cqe { dw0: 1, dw1: 0, sq_head: 1, cid: 0, status: Status::SUCCESS };
    Pdu::CapsuleResp { cqe: cqe.to_bytes() }.encode(digests, &mut bytes);
    host.receive(&bytes, &mut sent, &mut events);
    assert!(host.is_ready(), "{events:?}");
    host
}

/// A command that the host has out.
struct Submitted {
    expected: u32,
    /// Data of a write that did not go in its capsule, and which ranges of it went since.
    announced: usize,
    moved: Vec<Range<usize>>,
}

struct Exchange {
    host: Initiator,
    node: OddNode,
    rng: StdRng,
    open: BTreeMap<u64, Submitted>,
    by_cid: BTreeMap<u16, u64>,
    next_user: u64,
    decoder: Decoder,
    over: bool,
}

impl Exchange {
    fn new(seed: u64) -> Exchange {
        let (host, node) = (ready_host(), OddNode::new(seed));
        let rng = StdRng::seed_from_u64(!seed);
        let decoder = Decoder::new(Side::Controller, 1 << 20);
        let (open, by_cid) = (BTreeMap::new(), BTreeMap::new());
        Exchange { host, node, rng, open, by_cid, next_user: 1, decoder, over: false }
    }

    /// Sends a read, a write in its capsule, a write whose data has to be asked for, or a flush.
    fn submit(&mut self) {
        let (user, blocks) = (self.next_user, self.rng.random_range(1..=16u32));
        let bytes = blocks * 4096;
        let (opcode, data, expected) = match self.rng.random_range(0..3) {
            0 => (io::READ, 0, bytes),
            1 => (io::WRITE, bytes, 0),
            _ => (io::FLUSH, 0, 0),
        };
        let announced = if data > IN_CAPSULE { data } else { 0 };
        let sqe = Sqe::blocks(opcode, 1, 0, blocks);
        let data = Bytes::from(vec![user as u8; data as usize]);
        let mut out = BytesMut::new();
        let Some(cid) = self.host.submit(Submission { sqe, data, expect: expected, user }, &mut out) else {
            return;
        };
        self.next_user += 1;
        self.node.heard(cid, expected, announced);
        let submitted = Submitted { expected, announced: announced as usize, moved: Vec::new() };
        self.open.insert(user, submitted);
        self.by_cid.insert(cid, user);
    }

    /// Hands the host what the node sends next, and checks what comes of it.
    fn turn(&mut self) -> Result<(), TestCaseError> {
        let (mut bytes, mut out, mut events) = (BytesMut::new(), BytesMut::new(), Vec::new());
        self.node.draw().encode(Digests::default(), &mut bytes);
        let cut = self.rng.random_range(0..=bytes.len());
        self.host.receive(&bytes[..cut], &mut out, &mut events);
        self.host.receive(&bytes[cut..], &mut out, &mut events);
        self.check_output(&out)?;
        for event in events {
            prop_assert!(!self.over, "nothing happens after a fault: {:?}", event);
            match event {
                HostEvent::Reply(reply) => self.check_reply(&reply)?,
                HostEvent::Fault(_) => self.over = true,
                HostEvent::Ready { .. } => prop_assert!(false, "it was ready before"),
            }
        }
        Ok(())
    }

    /// All data that goes out is that of an open write, no byte goes twice.
    fn check_output(&mut self, out: &[u8]) -> Result<(), TestCaseError> {
        self.decoder.push(out);
        while let Some(pdu) = self.decoder.poll().expect("the host's PDUs can be read") {
            let Pdu::H2CData { cid, offset, data, .. } = pdu else { continue };
            let user = self.by_cid[&cid];
            let write = self.open.get_mut(&user).expect("an open command");
            prop_assert!(offset as usize + data.len() <= write.announced);
            prop_assert!(data.iter().all(|byte| *byte == user as u8));
            let range = offset as usize..offset as usize + data.len();
            let overlaps = write.moved.iter().any(|m| m.start < range.end && range.start < m.end);
            prop_assert!(!overlaps, "bytes {:?} of command {} went twice", range, cid);
            write.moved.push(range);
        }
        Ok(())
    }

    fn check_reply(&mut self, reply: &Reply) -> Result<(), TestCaseError> {
        let submitted = self.open.remove(&reply.user);
        prop_assert!(submitted.is_some(), "a second reply for {}", reply.user);
        let submitted = submitted.expect("checked");
        if reply.status.is_success() {
            prop_assert_eq!(reply.data.len(), submitted.expected as usize);
            let moved: usize = submitted.moved.iter().map(Range::len).sum();
            prop_assert!(moved == submitted.announced, "{} of {} bytes had gone", moved, submitted.announced);
        } else {
            prop_assert!(reply.data.is_empty());
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// No panic, at most one reply for each command, none after a fault; a success only with all data, both ways.
    #[test]
    fn commands_at_an_odd_node_get_one_reply_each_and_no_success_without_their_data(seed: u64) {
        let mut exchange = Exchange::new(seed);
        for _ in 0..100 {
            if exchange.over {
                break;
            }
            exchange.submit();
            exchange.turn()?;
        }
        let lost: BTreeSet<u64> = exchange.host.abandon().into_iter().collect();
        let open: BTreeSet<u64> = exchange.open.keys().copied().collect();
        prop_assert_eq!(lost, open, "what had no reply is lost with the connection");
    }
}
