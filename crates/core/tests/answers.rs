//! Every operation gets exactly one final answer for all of its parts, whatever happens to its attempts.

mod common;

use bytes::Bytes;
use common::*;
use decisions::{DedupScope, Idempotency, NodeId};
use proptest::prelude::*;
use storage_core::*;

/// Drives a core by hand: carries out its effects, ends attempts and moves the clock.
struct Driver {
    core: Core,
    now: Micros,
    in_flight: Vec<OutgoingAttempt>,
    answers: Vec<(OperationId, Answer)>,
}

impl Driver {
    fn new() -> Self {
        Driver { core: core(), now: 1000, in_flight: Vec::new(), answers: Vec::new() }
    }

    /// A driver with bulk writes whose duplicates are discarded by every node.
    fn with_deduplicated_bulk_writes() -> Self {
        let mut settings = settings();
        settings.classes[2].idempotency = Idempotency::Keyed { scope: DedupScope::All, window: 2_000_000 };
        Driver { core: core_of(catalogue_of(settings)), ..Driver::new() }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => self.begin(send),
                Effect::Answer(id, answer) => {
                    assert!(!self.answers.iter().any(|a| a.0 == id), "{id:?} got two final answers");
                    self.answers.push((id, answer));
                }
                Effect::Abandon(attempt, ..) => self.in_flight.retain(|s| s.attempt != attempt),
                _ => {}
            }
        }
    }

    /// Begins the write of an attempt, or ends it as never sent if it is no longer wanted.
    fn begin(&mut self, send: OutgoingAttempt) {
        let mut effects = Vec::new();
        match self.core.begin_write(self.now, send.attempt, &mut effects) {
            Some(permitted) => {
                assert_eq!(*permitted.attempt(), send);
                self.in_flight.push(send);
            }
            None => {
                let end = AttemptEnd::without_data(Outcome::NotSent);
                self.core.attempt_ended(self.now, send.attempt, end, &mut effects);
            }
        }
        self.carry_out(effects);
    }

    fn submit(&mut self, id: u64, opcode: Opcode, slba: u64, blocks: u32) {
        let data = match opcode {
            Opcode::Write => (0..blocks * 4096).map(|n| (n / 4096) as u8).collect(),
            _ => Bytes::new(),
        };
        let mut effects = Vec::new();
        self.core
            .submit(self.now, operation(id, opcode, slba, blocks, data), &mut effects)
            .expect("a valid operation");
        self.carry_out(effects);
    }

    /// Submits a write by a client that sets no token.
    fn submit_without_token(&mut self, id: u64, slba: u64, blocks: u32) {
        let data = Bytes::from(vec![7; blocks as usize * 4096]);
        let mut write = operation(id, Opcode::Write, slba, blocks, data);
        write.token = 0;
        let mut effects = Vec::new();
        self.core.submit(self.now, write, &mut effects).expect("a valid operation");
        self.carry_out(effects);
    }

    /// Ends the attempt in flight at `index`; a served read returns the low byte of each block's number.
    fn end(&mut self, index: usize, outcome: Outcome) {
        let send = self.in_flight.remove(index);
        let data = match (outcome, send.opcode) {
            (Outcome::Served, Opcode::Read) => {
                (0..send.bytes).map(|n| (send.slba + u64::from(n) / 4096) as u8).collect()
            }
            _ => Bytes::new(),
        };
        let mut effects = Vec::new();
        self.core.attempt_ended(
            self.now,
            send.attempt,
            AttemptEnd { outcome, data, load: None },
            &mut effects,
        );
        self.carry_out(effects);
    }

    /// Advances the clock to `end`, handling each due time separately.
    fn advance_to(&mut self, end: Micros) {
        while let Some(at) = self.core.next_due().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            let mut effects = Vec::new();
            self.core.tick(self.now, &mut effects);
            self.carry_out(effects);
        }
        self.now = end;
    }
}

#[test]
fn read_across_an_extent_boundary_gets_one_answer_with_all_data() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Read, 6, 4);
    assert_eq!(
        driver.in_flight.iter().map(|s| (s.node, s.slba, s.blocks)).collect::<Vec<_>>(),
        [(NodeId(0), 6, 2), (NodeId(1), 8, 2)]
    );
    driver.end(1, Outcome::Served);
    assert!(driver.answers.is_empty());
    driver.end(0, Outcome::Served);
    let [(OperationId(1), Answer::Served(data))] = &driver.answers[..] else {
        panic!("{:?}", driver.answers)
    };
    let blocks: Vec<u8> = data.chunks(4096).map(|b| b[0]).collect();
    assert_eq!(blocks, [6, 7, 8, 9]);
}

#[test]
fn write_with_a_served_and_a_refused_part_is_failed() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 6, 4);
    driver.end(0, Outcome::Served);
    driver.advance_to(5_000_000);
    assert_eq!(driver.answers, [(OperationId(1), Answer::Failed)]);
    assert_eq!(driver.core.open_operations(), 0);
}

#[test]
fn partly_served_write_is_refused_only_if_the_client_set_a_token() {
    for without_token in [true, false] {
        let mut driver = Driver::with_deduplicated_bulk_writes();
        match without_token {
            true => driver.submit_without_token(1, 6, 4),
            false => driver.submit(1, Opcode::Write, 6, 4),
        }
        driver.end(0, Outcome::Served);
        while !driver.in_flight.is_empty() {
            driver.end(0, Outcome::Full);
            driver.advance_to(driver.now + 500_000);
        }
        driver.advance_to(5_000_000);
        let [(OperationId(1), answer)] = &driver.answers[..] else { panic!("{:?}", driver.answers) };
        assert_eq!(*answer == Answer::Failed, without_token, "{answer:?}");
    }
}

#[test]
fn write_without_token_is_refused_only_if_no_node_can_have_run_it() {
    for (outcome, failed) in [(None, true), (Some(Outcome::Reset), true), (Some(Outcome::Full), false)] {
        let mut driver = Driver::with_deduplicated_bulk_writes();
        driver.submit_without_token(1, 0, 2);
        while let Some(outcome) = outcome.filter(|_| !driver.in_flight.is_empty()) {
            driver.end(0, outcome);
            driver.advance_to(driver.now + 500_000);
        }
        driver.advance_to(5_000_000);
        let [(OperationId(1), answer)] = &driver.answers[..] else { panic!("{:?}", driver.answers) };
        assert_eq!(*answer == Answer::Failed, failed, "{outcome:?}: {answer:?}");
    }
}

#[test]
fn shutdown_fails_sent_writes_without_token_and_refuses_waiting_ones() {
    let mut driver = Driver::with_deduplicated_bulk_writes();
    driver.submit_without_token(1, 0, 2);
    let mut effects = Vec::new();
    driver.core.update_nodes(driver.now, false, false, &[node("b", 1, NodeState::Draining)], &mut effects);
    driver.submit_without_token(2, 8, 2);
    driver.core.answer_all_open(driver.now, &mut effects);
    driver.carry_out(effects);
    assert_eq!(driver.answers[0], (OperationId(1), Answer::Failed));
    assert!(matches!(driver.answers[1], (OperationId(2), Answer::Refused { .. })), "{:?}", driver.answers);
}

#[test]
fn each_part_of_a_write_carries_its_own_data() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 6, 4);
    assert_eq!(
        driver.in_flight.iter().map(|s| (s.data.len(), s.data[0])).collect::<Vec<_>>(),
        [(8192, 0), (8192, 2)]
    );
}

#[test]
fn flush_is_sent_once_to_every_shard_of_its_volume() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Flush, 0, 0);
    assert_eq!(driver.in_flight.len(), 2);
    driver.end(0, Outcome::Served);
    driver.end(0, Outcome::Served);
    assert_eq!(driver.answers, [(OperationId(1), Answer::Served(Bytes::new()))]);
}

#[test]
fn unanswered_attempt_fails_the_operation_at_the_deadline_and_its_late_end_is_ignored() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 0, 1);
    let unanswered = driver.in_flight[0].attempt;
    driver.advance_to(1_001_000);
    assert_eq!(driver.answers, [(OperationId(1), Answer::Failed)]);
    let mut effects = Vec::new();
    driver.core.attempt_ended(1_500_000, unanswered, AttemptEnd::without_data(Outcome::Served), &mut effects);
    driver.carry_out(effects);
    assert_eq!((driver.answers.len(), driver.core.counts().late), (1, 1));
}

#[test]
fn unsafe_write_to_an_unreachable_node_is_refused() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 0, 2);
    while !driver.in_flight.is_empty() && driver.answers.is_empty() {
        driver.end(0, Outcome::Unreachable);
        driver.advance_to(driver.now + 100_000);
    }
    driver.advance_to(3_000_000);
    assert!(matches!(driver.answers[..], [(OperationId(1), Answer::Refused { .. })]), "{:?}", driver.answers);
}

#[test]
fn waiting_operation_can_be_aborted_and_a_sent_one_cannot() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 0, 1);
    driver.submit(2, Opcode::Write, 0, 1); // Waits: operations on one key are sent in order.
    assert_eq!(driver.in_flight.len(), 1);
    let mut effects = Vec::new();
    assert!(!driver.core.abort(driver.now, OperationId(1), &mut effects));
    assert!(driver.core.abort(driver.now, OperationId(2), &mut effects));
    assert!(!driver.core.abort(driver.now, OperationId(2), &mut effects));
    driver.carry_out(effects);
    driver.end(0, Outcome::Served);
    driver.advance_to(5_000_000);
    assert_eq!(driver.answers, [(OperationId(1), Answer::Served(Bytes::new()))]);
    assert!(driver.in_flight.is_empty(), "the aborted operation must not be sent");
}

#[test]
fn withdrawn_write_gets_no_answer_and_still_blocks_its_key_until_it_ends() {
    let mut driver = Driver::new();
    driver.submit(1, Opcode::Write, 0, 1);
    driver.submit(2, Opcode::Write, 0, 1);
    let mut effects = Vec::new();
    driver.core.withdraw(driver.now, OperationId(1), &mut effects);
    driver.carry_out(effects);
    assert_eq!(driver.in_flight.len(), 1, "the second write waits until the first has ended");
    driver.end(0, Outcome::Served);
    assert_eq!(driver.in_flight.len(), 1);
    driver.end(0, Outcome::Served);
    assert_eq!(driver.answers, [(OperationId(2), Answer::Served(Bytes::new()))]);
}

#[test]
fn draining_node_gets_no_new_attempts() {
    let mut driver = Driver::new();
    let mut effects = Vec::new();
    driver.core.update_nodes(driver.now, false, false, &[node("a", 0, NodeState::Draining)], &mut effects);
    driver.carry_out(effects);
    driver.submit(1, Opcode::Read, 0, 1);
    driver.submit(2, Opcode::Read, 8, 1);
    assert_eq!(driver.in_flight.iter().map(|s| s.node).collect::<Vec<_>>(), [NodeId(1)]);
    driver.advance_to(3_000_000);
    assert!(matches!(driver.answers[0], (OperationId(1), Answer::Refused { .. })), "{:?}", driver.answers);
}

#[test]
fn inconsistent_catalogues_are_rejected() {
    let rules = catalogue().rules;
    let volume = catalogue().volume(1).cloned().expect("volume 1 exists");
    let catalogue_error =
        |rules: Vec<ClassRule>, volumes| Catalogue::new(settings(), rules, 1, volumes).err();
    assert_eq!(
        catalogue_error(rules[..3].to_vec(), vec![]),
        Some(CatalogueError::RuleCountMismatch { rules: 3, classes: 4 })
    );
    let mut limited = rules.clone();
    limited[0].max_bytes = Some(1);
    assert_eq!(catalogue_error(limited, vec![]), Some(CatalogueError::NoUnlimitedClass(Opcode::Read)));
    assert_eq!(
        catalogue_error(rules.clone(), vec![volume.clone(), volume.clone()]),
        Some(CatalogueError::DuplicateNsid(1))
    );
    let without_plan = Volume { plan: 5, ..volume };
    assert_eq!(catalogue_error(rules, vec![without_plan]), Some(CatalogueError::UnknownPlan("vol1".into())));
}

#[derive(Clone, Debug)]
enum Step {
    Submit(Opcode, u64, u32),
    End(prop::sample::Index, Outcome),
    Withdraw(prop::sample::Index),
    Abort(prop::sample::Index),
    SetDraining(bool),
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let opcode = prop_oneof![Just(Opcode::Read), Just(Opcode::Write), Just(Opcode::Flush)];
    let outcome = prop_oneof![
        5 => Just(Outcome::Served),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Reset),
    ];
    prop_oneof![
        6 => (opcode, 0..24u64, 1..12u32).prop_map(|(o, a, b)| Step::Submit(o, a, b)),
        8 => (any::<prop::sample::Index>(), outcome).prop_map(|(i, o)| Step::End(i, o)),
        1 => any::<prop::sample::Index>().prop_map(Step::Withdraw),
        1 => any::<prop::sample::Index>().prop_map(Step::Abort),
        1 => any::<bool>().prop_map(Step::SetDraining),
        2 => (1..400_000i64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn every_operation_gets_one_answer_in_time(steps in proptest::collection::vec(step(), 1..120)) {
        let mut driver = Driver::new();
        let (mut last_id, mut unanswered) = (0, std::collections::BTreeSet::new());
        for step in steps {
            match step {
                Step::Submit(opcode, slba, blocks) => {
                    last_id += 1;
                    driver.submit(last_id, opcode, slba, if opcode == Opcode::Flush { 0 } else { blocks });
                }
                Step::End(index, outcome) if !driver.in_flight.is_empty() => {
                    let index = index.index(driver.in_flight.len());
                    driver.end(index, outcome);
                }
                Step::Withdraw(index) | Step::Abort(index) if last_id > 0 => {
                    let t = OperationId(index.index(last_id as usize) as u64 + 1);
                    let open = driver.core.open_views().iter().any(|v| v.id == t);
                    let mut effects = Vec::new();
                    let removed = match step {
                        Step::Abort(_) => driver.core.abort(driver.now, t, &mut effects),
                        _ => {
                            driver.core.withdraw(driver.now, t, &mut effects);
                            open
                        }
                    };
                    if removed {
                        unanswered.insert(t);
                    }
                    driver.carry_out(effects);
                }
                Step::SetDraining(draining) => {
                    let state = if draining { NodeState::Draining } else { NodeState::On };
                    let mut effects = Vec::new();
                    driver.core.update_nodes(driver.now, false, false, &[node("b", 1, state)], &mut effects);
                    driver.carry_out(effects);
                }
                Step::Wait(duration) => driver.advance_to(driver.now + duration),
                _ => {}
            }
        }
        driver.advance_to(driver.now + 1_000_000);
        prop_assert_eq!(driver.core.open_operations(), 0);
        prop_assert_eq!(driver.core.attempts_in_flight(), 0);
        prop_assert!(driver.in_flight.is_empty());
        for t in (1..=last_id).map(OperationId) {
            let answers = driver.answers.iter().filter(|a| a.0 == t).count();
            prop_assert_eq!(answers, usize::from(!unanswered.contains(&t)), "{:?}", t);
        }
        let tally = driver.core.counts();
        let ends = tally.served + tally.refused + tally.failed + tally.aborted + tally.withdrawn;
        prop_assert_eq!(tally.accepted, ends);
    }
}
