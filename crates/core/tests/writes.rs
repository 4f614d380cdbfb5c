//! Attempts that wait to be written: each is asked about once more at the moment of its write.

mod common;

use std::collections::HashMap;

use bytes::Bytes;
use common::*;
use decisions::{DedupScope, Idempotency, NodeId, ShardId};
use proptest::prelude::*;
use storage_core::*;

/// Time limit of all classes, in microseconds.
const TIMEOUT: Micros = 1_000_000;
/// Time for which nodes remember keyed writes, in microseconds.
const WINDOW: Micros = 600_000;

/// A core whose effects are carried out by hand: attempts wait until they are begun.
struct Gateway {
    core: Core,
    now: Micros,
    waiting: Vec<OutgoingAttempt>,
    answers: HashMap<u64, Answer>,
}

impl Gateway {
    fn new() -> Gateway {
        Gateway::over(catalogue_with_window(), &["a", "b"])
    }

    /// A gateway with one node for each shard.
    fn over(catalogue: Catalogue, names: &[&str]) -> Gateway {
        let mut core = Core::new(catalogue, 7);
        let nodes: Vec<ListedNode> =
            names.iter().zip(0..).map(|(name, shard)| node(name, shard, NodeState::On)).collect();
        core.update_nodes(0, true, false, &nodes, &mut Vec::new());
        Gateway { core, now: 1000, waiting: Vec::new(), answers: HashMap::new() }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => {
                    let mut more = Vec::new();
                    self.core.await_write(self.now, send.attempt, &mut more);
                    self.waiting.push(send);
                    self.carry_out(more);
                }
                Effect::Abandon(attempt, ..) => self.waiting.retain(|w| w.attempt != attempt),
                Effect::Answer(id, answer) => {
                    assert!(self.answers.insert(id.0, answer).is_none(), "{id:?} got two final answers");
                }
                _ => {}
            }
        }
    }

    fn with_core<R>(&mut self, act: impl FnOnce(&mut Core, Micros, &mut Vec<Effect>) -> R) -> R {
        let mut effects = Vec::new();
        let result = act(&mut self.core, self.now, &mut effects);
        self.carry_out(effects);
        result
    }

    fn submit(&mut self, id: u64, opcode: Opcode, slba: u64, blocks: u32) {
        let bytes = if opcode == Opcode::Write { blocks as usize * 4096 } else { 0 };
        let operation = operation(id, opcode, slba, blocks, Bytes::from(vec![7; bytes]));
        self.with_core(|core, now, effects| core.submit(now, operation, effects)).expect("a valid operation");
    }

    /// Lets time pass, with all timers that are due.
    fn advance_to(&mut self, at: Micros) {
        while let Some(due) = self.core.next_due().filter(|due| *due <= at) {
            self.now = self.now.max(due);
            self.with_core(Core::tick);
        }
        self.now = at;
        self.with_core(Core::tick);
    }

    /// Asks whether the attempt that waited longest may be written; one that may not ends as never sent.
    fn begin_first(&mut self) -> Option<PermittedAttempt> {
        let attempt = self.waiting.remove(0).attempt;
        let permitted = self.with_core(|core, now, effects| core.begin_write(now, attempt, effects));
        if permitted.is_none() {
            self.end(attempt, Outcome::NotSent);
        }
        permitted
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let end = AttemptEnd::without_data(outcome);
        self.with_core(|core, now, effects| core.attempt_ended(now, attempt, end, effects));
    }

    fn list(&mut self, listed: ListedNode) {
        self.with_core(|core, now, effects| core.update_nodes(now, false, false, &[listed], effects));
    }

    fn answer(&self, id: u64) -> Option<&Answer> {
        self.answers.get(&id)
    }

    /// A keyed write whose first attempt may have run and whose second waits.
    fn write_again(&mut self, id: u64) {
        self.submit(id, Opcode::Write, 0, 1);
        let first = self.begin_first().expect("it is wanted").attempt().attempt;
        self.now += 100_000;
        self.end(first, Outcome::Reset);
        self.advance_to(self.now + 300_000);
        assert_eq!(self.waiting.len(), 1, "the second attempt waits");
    }
}

fn catalogue_with_window() -> Catalogue {
    let mut settings = settings();
    settings.classes[1].idempotency = Idempotency::Keyed { scope: DedupScope::Shard, window: WINDOW };
    settings.classes.iter_mut().for_each(|class| class.latency_target = 900_000);
    catalogue_of(settings)
}

/// Guards against telling a node the time that was left when the attempt was decided on.
#[test]
fn a_node_is_told_the_time_that_is_left_at_the_write() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Read, 0, 1);
    gateway.advance_to(301_000);
    assert_eq!(gateway.begin_first().expect("it is wanted").time_left(), TIMEOUT - 300_000);
}

/// Guards against a second effect: the nodes have forgotten the first attempt of a write that waited for its
/// connection (review/2).
#[test]
fn a_keyed_write_that_waited_past_its_window_is_not_written() {
    let mut gateway = Gateway::new();
    gateway.write_again(1);
    gateway.advance_to(1000 + WINDOW);
    assert!(gateway.begin_first().is_none());
    assert!(gateway.waiting.is_empty(), "it is not tried again either");
    assert_eq!(gateway.answer(1), Some(&Answer::Failed), "the first attempt may have run");
}

#[test]
fn a_keyed_write_that_waited_within_its_window_is_written() {
    let mut gateway = Gateway::new();
    gateway.write_again(1);
    let permitted = gateway.begin_first().expect("the nodes remember the first attempt");
    assert_eq!((permitted.attempt().attempt.index, permitted.attempt().keyed), (1, true));
    assert_eq!((permitted.sent_before(), permitted.attempt().is_retry), (1, true));
}

/// Guards against attempts for clients that left while they waited.
#[test]
fn the_attempts_of_a_withdrawn_operation_are_dropped_at_once() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 1);
    let attempt = gateway.waiting[0].attempt;
    assert!(!gateway.with_core(|core, now, effects| core.withdraw(now, OperationId(1), effects)));
    assert!(gateway.waiting.is_empty(), "its attempt waits no longer");
    assert!(gateway.with_core(|core, now, effects| core.begin_write(now, attempt, effects)).is_none());
}

/// Guards against a command that is told to have been sent although it still waits.
#[test]
fn an_operation_whose_attempt_waits_can_be_aborted() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 1);
    assert!(gateway.with_core(|core, now, effects| core.abort(now, OperationId(1), effects)));
    assert!(gateway.waiting.is_empty(), "its attempt waits no longer");
}

/// Guards against sends to a node that was drained between decision and write.
#[test]
fn an_attempt_that_waits_for_a_node_that_drains_is_not_written_and_its_operation_is_refused() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 1);
    gateway.list(node("a", 0, NodeState::Draining));
    assert!(!gateway.core.is_still_valid(gateway.now, gateway.waiting[0].attempt));
    assert!(gateway.begin_first().is_none());
    gateway.advance_to(TIMEOUT);
    assert!(matches!(gateway.answer(1), Some(Answer::Refused { .. })), "it never ran");
}

/// Guards against sends to another process than the one decided on, as when the journal held the write.
#[test]
fn an_attempt_that_waits_for_a_node_that_was_restarted_is_decided_on_anew() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 1);
    gateway.list(ListedNode { started: Some(500), ..node("a", 0, NodeState::On) });
    assert!(gateway.begin_first().is_none());
    gateway.advance_to(500_000);
    let permitted = gateway.begin_first().expect("the new attempt is wanted");
    assert_eq!(permitted.attempt().attempt.index, 1);
    // Guards against a node, and whoever counts retries, that takes it for a second send.
    assert_eq!((permitted.sent_before(), permitted.attempt().is_retry), (0, false));
}

/// Guards against an attempt that is written after its deadline, and against failing what never ran.
#[test]
fn an_attempt_that_waits_past_its_deadline_was_never_sent() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 16);
    let attempts: Vec<AttemptId> = gateway.waiting.iter().map(|w| w.attempt).collect();
    gateway.advance_to(1000 + TIMEOUT);
    assert!(gateway.waiting.is_empty());
    assert!(matches!(gateway.answer(1), Some(Answer::Refused { .. })), "no part of it ran");
    for attempt in attempts {
        assert!(gateway.with_core(|core, now, effects| core.begin_write(now, attempt, effects)).is_none());
    }
}

/// Guards against attempts that outlive the answer of their operation.
#[test]
fn an_attempt_whose_operation_was_answered_meanwhile_is_dropped() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 7, 2);
    assert_eq!(gateway.waiting.len(), 2, "a part on each shard");
    let first = gateway.begin_first().expect("it is wanted").attempt().attempt;
    gateway.end(first, Outcome::Error);
    assert_eq!(gateway.answer(1), Some(&Answer::Failed));
    assert!(gateway.waiting.is_empty(), "the other part waits no longer");
}

/// Guards against an attempt that counts as sent although the socket took nothing of it.
#[test]
fn an_attempt_of_which_nothing_was_accepted_waits_again() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Write, 0, 1);
    let waiting = gateway.waiting[0].clone();
    let _ = gateway.begin_first().expect("it is wanted");
    gateway.with_core(|core, now, effects| core.await_write(now, waiting.attempt, effects));
    gateway.waiting.push(waiting);
    assert!(gateway.begin_first().is_some(), "it is asked about again");
    assert!(gateway.with_core(|core, now, effects| core.withdraw(now, OperationId(1), effects)));
}

#[test]
fn a_copy_is_written_only_to_a_node_that_takes_requests_and_while_it_is_awaited() {
    let mut gateway = Gateway::new();
    gateway.submit(1, Opcode::Read, 0, 1);
    let copy = gateway.waiting[0].clone();
    assert!(gateway.core.begin_copy(copy.clone(), 1).is_some());
    assert!(gateway.core.begin_copy(copy.clone(), 0).is_none(), "its time is up");
    assert!(gateway.core.begin_copy(OutgoingAttempt { node: NodeId(99), ..copy.clone() }, 1).is_none());
    gateway.list(node("a", 0, NodeState::Draining));
    assert!(gateway.core.begin_copy(copy, 1).is_none(), "the node drains");
}

/// Guards against writing, losing or answering twice any of many attempts that waited together.
#[test]
fn of_a_thousand_attempts_every_second_is_overtaken_and_only_the_others_are_written() {
    const SHARDS: u32 = 250;
    const OPERATIONS: u64 = 1000;
    let mut settings = settings();
    settings.plans[0].rate = 1e6;
    settings.plans[0].reserve = 1e6;
    let rules = catalogue_of(settings.clone()).rules;
    let volume = Volume {
        name: "vol1".into(),
        nsid: 1,
        blocks: 1 << 20,
        block_size: 4096,
        plan: 0,
        hosts: 1,
        extent_blocks: 8,
        shards: (0..SHARDS).map(ShardId).collect(),
    };
    let catalogue = Catalogue::new(settings, rules, 4096, vec![volume]).expect("catalogue is valid");
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("n{shard}")).collect();
    let mut gateway = Gateway::over(catalogue, &names.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 0..OPERATIONS {
        gateway.submit(id, Opcode::Read, id * 8, 1);
    }
    assert_eq!(gateway.waiting.len(), OPERATIONS as usize, "all of them wait for their connections");
    for id in (0..OPERATIONS).step_by(2) {
        gateway.with_core(|core, now, effects| core.withdraw(now, OperationId(id), effects));
    }
    let mut begun = Vec::new();
    while !gateway.waiting.is_empty() {
        begun.extend(gateway.begin_first().map(|permitted| permitted.attempt().clone()));
    }
    let tokens: Vec<u64> = begun.iter().map(|attempt| attempt.token).collect();
    assert_eq!(tokens, (1..OPERATIONS).step_by(2).collect::<Vec<_>>());
    begun.into_iter().for_each(|attempt| gateway.end(attempt.attempt, Outcome::Served));
    assert_eq!(gateway.answers.len() as u64, OPERATIONS / 2);
    assert!(gateway.answers.values().all(|answer| matches!(answer, Answer::Served(_))));
    assert!(gateway.core.node_views().values().all(|view| view.in_flight == 0));
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64),
    Pass(Micros),
    Begin,
    Lose,
    Drain(bool),
    Restart,
    Withdraw(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4u64).prop_map(Step::Submit),
        4 => (1_000..250_000i64).prop_map(Step::Pass),
        4 => Just(Step::Begin),
        2 => Just(Step::Lose),
        1 => any::<bool>().prop_map(Step::Drain),
        1 => Just(Step::Restart),
        1 => (0..40u64).prop_map(Step::Withdraw),
    ]
}

/// What a test outside the gateway knows of one write.
#[derive(Default)]
struct Known {
    submitted_at: Micros,
    first_begun_at: Option<Micros>,
    withdrawn: bool,
}

proptest! {
    /// Guards against any write that is begun although something overtook it while it waited.
    #[test]
    fn what_is_begun_is_wanted_in_time_and_remembered(steps in proptest::collection::vec(step(), 1..60)) {
        let mut gateway = Gateway::new();
        let mut known: HashMap<u64, Known> = HashMap::new();
        let mut in_flight: Vec<AttemptId> = Vec::new();
        let (mut is_draining, mut started) = (false, None);
        for step in steps {
            match step {
                Step::Submit(block) => {
                    let id = known.len() as u64 + 1;
                    known.insert(id, Known { submitted_at: gateway.now, ..Known::default() });
                    gateway.submit(id, Opcode::Write, block, 1);
                }
                Step::Pass(time) => gateway.advance_to(gateway.now + time),
                Step::Begin if !gateway.waiting.is_empty() => {
                    if let Some(permitted) = gateway.begin_first() {
                        let id = permitted.attempt().token;
                        let write = known.get_mut(&id).expect("it was submitted");
                        let first = *write.first_begun_at.get_or_insert(gateway.now);
                        prop_assert!(!write.withdrawn && !gateway.answers.contains_key(&id));
                        prop_assert!(!is_draining);
                        prop_assert!(gateway.now - first < WINDOW, "the nodes have forgotten it");
                        let left = write.submitted_at + TIMEOUT - gateway.now;
                        prop_assert!(permitted.time_left() > 0 && permitted.time_left() <= left);
                        in_flight.push(permitted.attempt().attempt);
                    }
                }
                Step::Lose if !in_flight.is_empty() => gateway.end(in_flight.remove(0), Outcome::Reset),
                Step::Drain(on) => {
                    is_draining = on;
                    let state = if on { NodeState::Draining } else { NodeState::On };
                    gateway.list(ListedNode { started, ..node("a", 0, state) });
                }
                Step::Restart => {
                    started = Some(gateway.now);
                    let state = if is_draining { NodeState::Draining } else { NodeState::On };
                    gateway.list(ListedNode { started, ..node("a", 0, state) });
                }
                Step::Withdraw(id) => {
                    if let Some(write) = known.get_mut(&id).filter(|_| !gateway.answers.contains_key(&id)) {
                        write.withdrawn = true;
                        gateway.with_core(|core, now, effects| core.withdraw(now, OperationId(id), effects));
                    }
                }
                Step::Begin | Step::Lose => {}
            }
        }
    }
}
