//! A controller's session with a core behind it, against what the fuzzer's hosts send.

#[path = "../../core/tests/common/mod.rs"]
mod core_common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};
use load::fuzz::{Delivery, PduGenerator, QueueKind, Scope};
use nvme::{
    Completion, ConnectData, Cqe, Decoder, Digests, IoCommand, Namespace, Output, Pdu, Session, Sgl, Side,
    Sqe, Status, StatusCode, Target, TargetOptions, io, property,
};
use proptest::prelude::*;
use storage_core::{
    Action, Answer, AttemptEnd, Core, Effect, Micros, Opcode, Operation, OperationId, Outcome,
};

const SUBSYSTEM: &str = "nqn.2026-12.example:volumes";
const BLOCKS: u64 = 1 << 20;
const BLOCK_SIZE: u32 = 4096;
const MAX_BLOCKS: u32 = 32;
const QUEUE_ENTRIES: u32 = 129;
/// Asynchronous Event Requests that a session holds without an answer.
const HELD_EVENT_REQUESTS: usize = 4;

fn target() -> Target {
    Target::new(TargetOptions {
        subsystem: SUBSYSTEM.into(),
        serial: "1".into(),
        model: "test".into(),
        namespaces: vec![Namespace { nsid: 1, blocks: BLOCKS, block_size: BLOCK_SIZE, guid: [1; 16] }],
        queue_entries: QUEUE_ENTRIES,
        io_queues: 4,
        associations: 8,
        mdts: 5,
        in_capsule: 8192,
        max_h2c_data: 128 * 1024,
        retry_delays: [1, 5, 20],
        optional: true,
        discovery: vec![],
    })
}

fn scope() -> Scope {
    let (block_size, max_blocks) = (BLOCK_SIZE, MAX_BLOCKS);
    Scope { namespaces: 2, blocks: BLOCKS, block_size, max_blocks, depth: 128, spared: None }
}

/// A queue that a generator sends on, and what of it is still to be answered.
struct Queue {
    session: Session,
    decoder: Decoder,
    generator: PduGenerator,
    is_open: bool,
    /// Commands sent and completions received, by identifier.
    sent: BTreeMap<u16, usize>,
    answered: BTreeMap<u16, usize>,
    /// Codes of the completions.
    statuses: BTreeSet<u16>,
}

impl Queue {
    fn connect(target: &mut Target, seed: u64, kind: QueueKind, cntlid: u16) -> Queue {
        let mut queue = Queue {
            session: Session::new(target, Digests::default()),
            decoder: Decoder::new(Side::Host, 1 << 20),
            generator: PduGenerator::new(seed, kind, scope()),
            is_open: true,
            sent: BTreeMap::new(),
            answered: BTreeMap::new(),
            statuses: BTreeSet::new(),
        };
        let digests = Digests::default();
        let mut bytes = BytesMut::new();
        Pdu::ICReq { version: 0, hpda: 0, digests, max_r2t: 0 }.encode(digests, &mut bytes);
        let qid = u16::from(kind == QueueKind::Io);
        let mut sqe = Sqe::connect(qid, (QUEUE_ENTRIES - 1) as u16, 0, true);
        sqe.set_sgl(Sgl::InCapsule { offset: 0, length: 1024 });
        let data = ConnectData {
            host_id: [1; 16],
            cntlid: if qid == 0 { 0xffff } else { cntlid },
            subsystem: SUBSYSTEM.into(),
            host: "nqn.2026-12.example:h".into(),
        };
        let connect = Pdu::CapsuleCmd { sqe: sqe.0, data: data.to_bytes().into(), intact: true };
        connect.encode(digests, &mut bytes);
        if qid == 0 {
            let enable = Sqe::property_set(property::CC, 1 | 6 << 16 | 4 << 20, false);
            Pdu::CapsuleCmd { sqe: enable.0, data: Bytes::new(), intact: true }.encode(digests, &mut bytes);
        }
        let mut out = BytesMut::new();
        queue.session.receive(&bytes, 0, target, &mut out, &mut Vec::new());
        assert!(queue.session.admission().is_some(), "it is connected");
        queue
    }

    /// Sends the next PDUs; what the session asks for.
    fn turn(&mut self, target: &mut Target) -> Vec<Output> {
        let (mut bytes, mut out, mut outputs) = (BytesMut::new(), BytesMut::new(), Vec::new());
        let mut pieces = Vec::new();
        let cut_off = loop {
            let step = self.generator.draw();
            let begin = bytes.len();
            step.pdu.encode(Digests::default(), &mut bytes);
            let part = |most: usize| (begin + most).min(bytes.len());
            let cut_off = matches!(step.delivery, Delivery::CutOff(most) if part(most) < bytes.len());
            if let (Pdu::CapsuleCmd { sqe, .. }, false) = (&step.pdu, cut_off) {
                *self.sent.entry(Sqe(*sqe).cid()).or_default() += 1;
            }
            match step.delivery {
                Delivery::WithNext => continue,
                Delivery::Alone => pieces.push(bytes.len()),
                Delivery::InPieces(most) => pieces.extend([part(most), bytes.len()]),
                Delivery::CutOff(most) => pieces.push(part(most)),
            }
            break matches!(step.delivery, Delivery::CutOff(_));
        };
        let mut begin = 0;
        for end in pieces {
            self.session.receive(&bytes[begin..end], 0, target, &mut out, &mut outputs);
            begin = end;
        }
        if cut_off {
            self.session.closed(target, &mut outputs);
        }
        self.hear(&out);
        self.is_open &= !outputs.iter().any(|output| matches!(output, Output::Close(_)));
        outputs
    }

    fn hear(&mut self, out: &[u8]) {
        self.decoder.push(out);
        while let Some(pdu) = self.decoder.poll().expect("the session's PDUs can be read") {
            self.generator.heard(&pdu);
            match &pdu {
                Pdu::CapsuleResp { cqe } => {
                    let cqe = Cqe::from_bytes(cqe);
                    *self.answered.entry(cqe.cid).or_default() += 1;
                    self.statuses.insert(cqe.status.code);
                }
                Pdu::C2HData { cid, success: true, .. } => *self.answered.entry(*cid).or_default() += 1,
                _ => {}
            }
        }
    }

    fn complete(&mut self, cid: u16, completion: Completion) {
        let mut out = BytesMut::new();
        assert!(self.session.complete(cid, completion, &mut out), "command {cid} was handed on");
        self.hear(&out);
    }

    /// Checks that each command has one answer, but for those that are still open.
    fn check(&self, held: usize) -> Result<(), TestCaseError> {
        let total = |counts: &BTreeMap<u16, usize>| counts.values().sum::<usize>();
        for (cid, answered) in &self.answered {
            let sent = self.sent.get(cid).copied().unwrap_or(0);
            prop_assert!(*answered <= sent, "command {}: {} answers for {}", cid, answered, sent);
        }
        if self.is_open {
            let open = total(&self.sent) - total(&self.answered);
            let outstanding = self.session.outstanding();
            let range = outstanding..=outstanding + held;
            prop_assert!(range.contains(&open), "{} open, {} outstanding", open, outstanding);
        }
        Ok(())
    }
}

/// The operation of a command, as a front end makes it.
fn operation(id: u64, command: &IoCommand) -> Operation {
    let (slba, blocks) = (command.slba, command.blocks);
    let action = match command.opcode {
        io::READ | io::COMPARE => Action::Read { slba, blocks },
        io::WRITE => Action::Write { slba, blocks, data: command.data.clone() },
        _ => Action::Flush,
    };
    Operation {
        id: OperationId(id),
        nsid: command.nsid,
        action,
        token: command.token,
        retry: false,
        client: None,
    }
}

/// A core whose attempts are served at once.
struct Backend {
    core: Core,
    now: Micros,
    next_id: u64,
    /// Commands by operation.
    open: BTreeMap<u64, u16>,
}

impl Backend {
    fn submit(&mut self, command: &IoCommand) -> Vec<(u16, Completion)> {
        self.next_id += 1;
        self.now += 1000;
        self.open.insert(self.next_id, command.cid);
        let mut effects = Vec::new();
        let accepted = self.core.submit(self.now, operation(self.next_id, command), &mut effects);
        accepted.expect("the session hands on only what the core accepts");
        let mut answers = Vec::new();
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send(send) => {
                    let length = if send.opcode == Opcode::Read { send.bytes as usize } else { 0 };
                    let data = Bytes::from(vec![7; length]);
                    let end = AttemptEnd { outcome: Outcome::Served, data, load: None };
                    self.core.attempt_ended(self.now + 100, send.attempt, end, &mut effects);
                }
                Effect::Answer(id, answer) => {
                    let cid = self.open.remove(&id.0).expect("one answer for each operation");
                    answers.push((cid, completion(command.opcode, answer)));
                }
                _ => {}
            }
        }
        answers
    }
}

fn completion(opcode: u8, answer: Answer) -> Completion {
    match answer {
        Answer::Served(data) if opcode == io::READ => Completion { data, ..Completion::of(Status::SUCCESS) },
        Answer::Served(_) => Completion::of(Status::SUCCESS),
        _ => Completion::of(Status::passing(StatusCode::CommandInterrupted)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No panic, one answer for each command that was taken, and nothing handed on that the core would turn down.
    #[test]
    fn odd_commands_get_one_answer_each_and_the_core_accepts_what_is_handed_on(seed: u64) {
        let mut target = target();
        let mut admin = Queue::connect(&mut target, seed, QueueKind::Admin, 0);
        let cntlid = admin.session.admission().expect("it is connected").cntlid;
        let mut queue = Queue::connect(&mut target, !seed, QueueKind::Io, cntlid);
        let mut backend = Backend { core: core_common::core(), now: 0, next_id: 0, open: BTreeMap::new() };
        for turn in 0..100 {
            if admin.is_open && turn % 4 == 0 {
                for output in admin.turn(&mut target) {
                    if let (Output::Abort { cid, .. }, true) = (output, admin.is_open) {
                        admin.complete(cid, Completion { dw0: 1, ..Completion::of(Status::SUCCESS) });
                    }
                }
            }
            if !queue.is_open {
                break;
            }
            for output in queue.turn(&mut target) {
                let Output::Command(command) = output else { continue };
                for (cid, completion) in backend.submit(&command) {
                    if queue.is_open {
                        queue.complete(cid, completion);
                    }
                }
            }
            queue.check(0)?;
            admin.check(HELD_EVENT_REQUESTS)?;
        }
    }
}

/// The generator is worth something only if its commands get past the checks, and fail at each of them.
#[test]
fn drawn_commands_reach_every_check_and_every_opcode() {
    let (mut opcodes, mut statuses) = (BTreeSet::new(), BTreeSet::new());
    for seed in 0..200 {
        let mut target = target();
        let admin = Queue::connect(&mut target, seed, QueueKind::Admin, 0);
        let cntlid = admin.session.admission().expect("it is connected").cntlid;
        let mut queue = Queue::connect(&mut target, !seed, QueueKind::Io, cntlid);
        while queue.is_open && queue.answered.len() < 100 {
            for output in queue.turn(&mut target) {
                let Output::Command(command) = output else { continue };
                opcodes.insert(command.opcode);
                if queue.is_open {
                    queue.complete(command.cid, Completion::of(Status::SUCCESS));
                }
            }
        }
        statuses.append(&mut queue.statuses);
    }
    assert_eq!(opcodes, BTreeSet::from([io::FLUSH, io::WRITE, io::READ, io::COMPARE]));
    for code in [
        StatusCode::InvalidOpcode,
        StatusCode::InvalidField,
        StatusCode::CommandIdConflict,
        StatusCode::InvalidNamespace,
        StatusCode::DataSglLengthInvalid,
        StatusCode::SglDescriptorTypeInvalid,
        StatusCode::SglOffsetInvalid,
        StatusCode::LbaOutOfRange,
    ] {
        assert!(statuses.contains(&(code as u16)), "{code:?} never came: {statuses:x?}");
    }
}
