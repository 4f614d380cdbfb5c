//! One final answer, whole or failed, whatever happens to the parts and the attempts.

mod common;

use bytes::Bytes;
use common::*;
use decisions::{DedupScope, Idempotency, NodeId};
use proptest::prelude::*;
use storage_core::*;

struct Driver {
    core: Core,
    now: Micros,
    out: Vec<Send>,
    answers: Vec<(Ticket, Answer)>,
}

impl Driver {
    fn new() -> Self {
        Driver { core: core(), now: 1000, out: Vec::new(), answers: Vec::new() }
    }

    /// With bulk writes whose repeats every node discards by their token.
    fn known_to_all() -> Self {
        let mut settings = settings();
        settings.classes[2].idempotency = Idempotency::Keyed { scope: DedupScope::All, window: 2_000_000 };
        Driver { core: core_of(catalogue_of(settings)), ..Driver::new() }
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => self.out.push(send),
                Effect::Answer(ticket, answer) => {
                    assert!(!self.answers.iter().any(|a| a.0 == ticket), "{ticket:?} is answered twice");
                    self.answers.push((ticket, answer));
                }
                Effect::Forget(attempt, _) => self.out.retain(|s| s.attempt != attempt),
                _ => {}
            }
        }
    }

    fn submit(&mut self, ticket: u64, opcode: Opcode, slba: u64, blocks: u32) {
        let data = match opcode {
            Opcode::Write => (0..blocks * 4096).map(|n| (n / 4096) as u8).collect(),
            _ => Bytes::new(),
        };
        let mut effects = Vec::new();
        self.core.submit(self.now, operation(ticket, opcode, slba, blocks, data), &mut effects);
        self.take(effects);
    }

    /// A write by a host that sets no token.
    fn submit_foreign(&mut self, ticket: u64, slba: u64, blocks: u32) {
        let data = Bytes::from(vec![7; blocks as usize * 4096]);
        let mut foreign = operation(ticket, Opcode::Write, slba, blocks, data);
        foreign.token = 0;
        let mut effects = Vec::new();
        self.core.submit(self.now, foreign, &mut effects);
        self.take(effects);
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let send = self.out.remove(index);
        let data = match (outcome, send.opcode) {
            (Outcome::Served, Opcode::Read) => {
                (0..send.bytes).map(|n| (send.slba + u64::from(n) / 4096) as u8).collect()
            }
            _ => Bytes::new(),
        };
        let mut effects = Vec::new();
        self.core.ended(self.now, send.attempt, End { outcome, data, load: None }, &mut effects);
        self.take(effects);
    }

    /// Lets time pass, each due moment by itself.
    fn until(&mut self, then: Micros) {
        while let Some(at) = self.core.next_due().filter(|&at| at <= then) {
            self.now = self.now.max(at);
            let mut effects = Vec::new();
            self.core.tick(self.now, &mut effects);
            self.take(effects);
        }
        self.now = then;
    }
}

#[test]
fn a_read_over_an_extents_end_is_answered_once_with_all_its_bytes() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Read, 6, 4);
    assert_eq!(
        d.out.iter().map(|s| (s.node, s.slba, s.blocks)).collect::<Vec<_>>(),
        [(NodeId(0), 6, 2), (NodeId(1), 8, 2)]
    );
    d.end(1, Outcome::Served);
    assert!(d.answers.is_empty());
    d.end(0, Outcome::Served);
    let [(Ticket(1), Answer::Served(data))] = &d.answers[..] else { panic!("{:?}", d.answers) };
    let blocks: Vec<u8> = data.chunks(4096).map(|b| b[0]).collect();
    assert_eq!(blocks, [6, 7, 8, 9]);
}

#[test]
fn a_write_with_one_part_served_and_the_other_refused_is_failed_not_refused() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 6, 4);
    d.end(0, Outcome::Served);
    d.until(5_000_000);
    assert_eq!(d.answers, [(Ticket(1), Answer::Failed)]);
    assert_eq!(d.core.open_operations(), 0);
}

#[test]
fn a_foreign_host_with_a_served_part_and_a_refused_one_is_not_told_that_a_repeat_is_safe() {
    for foreign in [true, false] {
        let mut d = Driver::known_to_all();
        match foreign {
            true => d.submit_foreign(1, 6, 4),
            false => d.submit(1, Opcode::Write, 6, 4),
        }
        d.end(0, Outcome::Served);
        while !d.out.is_empty() {
            d.end(0, Outcome::Full);
            d.until(d.now + 500_000);
        }
        d.until(5_000_000);
        let [(Ticket(1), answer)] = &d.answers[..] else { panic!("{:?}", d.answers) };
        assert_eq!(*answer == Answer::Failed, foreign, "{answer:?}");
    }
}

#[test]
fn a_foreign_hosts_write_that_a_node_may_have_run_is_failed_and_one_that_no_node_ran_is_refused() {
    for (outcome, failed) in [(None, true), (Some(Outcome::Reset), true), (Some(Outcome::Full), false)] {
        let mut d = Driver::known_to_all();
        d.submit_foreign(1, 0, 2);
        while let Some(outcome) = outcome.filter(|_| !d.out.is_empty()) {
            d.end(0, outcome);
            d.until(d.now + 500_000);
        }
        d.until(5_000_000);
        let [(Ticket(1), answer)] = &d.answers[..] else { panic!("{:?}", d.answers) };
        assert_eq!(*answer == Answer::Failed, failed, "{outcome:?}: {answer:?}");
    }
}

#[test]
fn leaving_a_foreign_hosts_write_that_is_out_is_failed_and_one_that_waits_is_refused() {
    let mut d = Driver::known_to_all();
    d.submit_foreign(1, 0, 2);
    let mut effects = Vec::new();
    d.core.nodes(d.now, false, false, &[node("b", 1, NodeState::Draining)], &mut effects);
    d.submit_foreign(2, 8, 2);
    d.core.end_all(d.now, &mut effects);
    d.take(effects);
    assert_eq!(d.answers[0], (Ticket(1), Answer::Failed));
    assert!(matches!(d.answers[1], (Ticket(2), Answer::Refused { .. })), "{:?}", d.answers);
}

#[test]
fn parts_of_a_write_carry_their_own_bytes() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 6, 4);
    assert_eq!(d.out.iter().map(|s| (s.data.len(), s.data[0])).collect::<Vec<_>>(), [(8192, 0), (8192, 2)]);
}

#[test]
fn a_flush_goes_to_every_shard_of_its_volume_once() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Flush, 0, 0);
    assert_eq!(d.out.len(), 2);
    d.end(0, Outcome::Served);
    d.end(0, Outcome::Served);
    assert_eq!(d.answers, [(Ticket(1), Answer::Served(Bytes::new()))]);
}

#[test]
fn a_node_that_never_answers_costs_one_answer_at_the_deadline_and_its_late_end_none() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 0, 1);
    let lost = d.out[0].attempt;
    d.until(1_001_000);
    assert_eq!(d.answers, [(Ticket(1), Answer::Failed)]);
    let mut effects = Vec::new();
    d.core.ended(1_500_000, lost, End::of(Outcome::Served), &mut effects);
    d.take(effects);
    assert_eq!((d.answers.len(), d.core.tally().late), (1, 1));
}

#[test]
fn an_unsafe_write_whose_node_is_unreachable_is_refused() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 0, 2);
    while !d.out.is_empty() && d.answers.is_empty() {
        d.end(0, Outcome::Unreachable);
        d.until(d.now + 100_000);
    }
    d.until(3_000_000);
    assert!(matches!(d.answers[..], [(Ticket(1), Answer::Refused { .. })]), "{:?}", d.answers);
}

#[test]
fn a_held_command_is_aborted_and_a_sent_one_is_not() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 0, 1);
    d.submit(2, Opcode::Write, 0, 1); // Waits for its turn on the key.
    assert_eq!(d.out.len(), 1);
    let mut effects = Vec::new();
    assert!(!d.core.abort(d.now, Ticket(1), &mut effects));
    assert!(d.core.abort(d.now, Ticket(2), &mut effects));
    assert!(!d.core.abort(d.now, Ticket(2), &mut effects));
    d.take(effects);
    d.end(0, Outcome::Served);
    d.until(5_000_000);
    assert_eq!(d.answers, [(Ticket(1), Answer::Served(Bytes::new()))]);
    assert!(d.out.is_empty(), "the aborted one never goes out");
}

#[test]
fn a_client_gone_after_the_send_is_owed_nothing_and_the_key_still_waits_for_its_end() {
    let mut d = Driver::new();
    d.submit(1, Opcode::Write, 0, 1);
    d.submit(2, Opcode::Write, 0, 1);
    let mut effects = Vec::new();
    d.core.withdraw(d.now, Ticket(1), &mut effects);
    d.take(effects);
    assert_eq!(d.out.len(), 1, "the second waits for the first one's end");
    d.end(0, Outcome::Served);
    assert_eq!(d.out.len(), 1);
    d.end(0, Outcome::Served);
    assert_eq!(d.answers, [(Ticket(2), Answer::Served(Bytes::new()))]);
}

#[test]
fn a_drained_node_gets_nothing_new() {
    let mut d = Driver::new();
    let mut effects = Vec::new();
    d.core.nodes(d.now, false, false, &[node("a", 0, NodeState::Draining)], &mut effects);
    d.take(effects);
    d.submit(1, Opcode::Read, 0, 1);
    d.submit(2, Opcode::Read, 8, 1);
    assert_eq!(d.out.iter().map(|s| s.node).collect::<Vec<_>>(), [NodeId(1)]);
    d.until(3_000_000);
    assert!(matches!(d.answers[0], (Ticket(1), Answer::Refused { .. })), "{:?}", d.answers);
}

#[test]
fn catalogues_that_do_not_fit_are_turned_down() {
    let rules = catalogue().rules;
    let volume = catalogue().volume(1).cloned().expect("there");
    let make = |rules: Vec<ClassRule>, volumes| Catalogue::new(settings(), rules, 1, volumes).err();
    assert_eq!(make(rules[..3].to_vec(), vec![]), Some(CatalogueError::Uneven { rules: 3, classes: 4 }));
    let mut limited = rules.clone();
    limited[0].max_bytes = Some(1);
    assert_eq!(make(limited, vec![]), Some(CatalogueError::NoClass(Opcode::Read)));
    assert_eq!(make(rules.clone(), vec![volume.clone(), volume.clone()]), Some(CatalogueError::SameNsid(1)));
    let odd = Volume { plan: 5, ..volume };
    assert_eq!(make(rules, vec![odd]), Some(CatalogueError::NoPlan("vol1".into())));
}

#[derive(Clone, Debug)]
enum Step {
    Submit(Opcode, u64, u32),
    End(prop::sample::Index, Outcome),
    Withdraw(prop::sample::Index),
    Abort(prop::sample::Index),
    Drain(bool),
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
        1 => any::<bool>().prop_map(Step::Drain),
        2 => (1..400_000i64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn every_operation_gets_one_answer_in_time_whatever_happens(steps in proptest::collection::vec(step(), 1..120)) {
        let mut d = Driver::new();
        let (mut ticket, mut spared) = (0, std::collections::BTreeSet::new());
        for step in steps {
            match step {
                Step::Submit(opcode, slba, blocks) => {
                    ticket += 1;
                    d.submit(ticket, opcode, slba, if opcode == Opcode::Flush { 0 } else { blocks });
                }
                Step::End(index, outcome) if !d.out.is_empty() => {
                    let index = index.index(d.out.len());
                    d.end(index, outcome);
                }
                Step::Withdraw(index) | Step::Abort(index) if ticket > 0 => {
                    let t = Ticket(index.index(ticket as usize) as u64 + 1);
                    let open = d.core.open_views().iter().any(|v| v.ticket == t);
                    let mut effects = Vec::new();
                    let gone = match step {
                        Step::Abort(_) => d.core.abort(d.now, t, &mut effects),
                        _ => {
                            d.core.withdraw(d.now, t, &mut effects);
                            open
                        }
                    };
                    if gone {
                        spared.insert(t);
                    }
                    d.take(effects);
                }
                Step::Drain(on) => {
                    let state = if on { NodeState::Draining } else { NodeState::On };
                    let mut effects = Vec::new();
                    d.core.nodes(d.now, false, false, &[node("b", 1, state)], &mut effects);
                    d.take(effects);
                }
                Step::Wait(span) => d.until(d.now + span),
                _ => {}
            }
        }
        d.until(d.now + 1_000_000);
        prop_assert_eq!(d.core.open_operations(), 0);
        prop_assert_eq!(d.core.attempts_out(), 0);
        prop_assert!(d.out.is_empty());
        for t in (1..=ticket).map(Ticket) {
            let answers = d.answers.iter().filter(|a| a.0 == t).count();
            prop_assert_eq!(answers, usize::from(!spared.contains(&t)), "{:?}", t);
        }
        let tally = d.core.tally();
        let ends = tally.served + tally.refused + tally.failed + tally.aborted + tally.withdrawn;
        prop_assert_eq!(tally.taken, ends);
    }
}
