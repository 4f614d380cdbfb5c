//! Every request gets exactly one final answer whatever happens to its attempts, and no state is kept of
//! finished requests and removed nodes.

use decisions::*;
use dispatch::{AttemptId, Command, Dispatcher, ListedNode, Verdict};
use proptest::prelude::*;

fn settings() -> Settings {
    let class = |idempotency| Class {
        latency_target: 100_000,
        latency_target_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        idempotency,
        in_order: false,
        stream: false,
    };
    let plan = Plan {
        rate: 10.0,
        reserve: 50.0,
        limit: 0.0,
        limit_burst: 0.0,
        limit_slack: 0.0,
        weight: 1.0,
        price: 1.0,
    };
    Settings {
        classes: vec![class(Idempotency::Safe), class(Idempotency::Unsafe)],
        plans: vec![plan],
        hosts: 1,
        index: 0,
        needs_subscription: false,
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        probing: false,
        retry_advice: true,
        max_retry_after: 1_000_000,
        cold_units: 100.0,
        cold_window: 1_000_000,
        cold_start_fraction: 0.5,
        warm_after: 1_000_000,
        drain_grace: 500_000,
        key_pause: 0,
        retry_budget: None,
        max_request_units: 8.0,
        mean_request_units: 2.0,
        share_worth: 0.5,
        spare_worth: 0.1,
        waste_cost: 0.0,
    }
}

fn request(class: usize, shard: u32) -> Request {
    Request {
        id: RequestId(0),
        class,
        plan: 0,
        volume: VolumeId(1),
        key: Some(KeyId(2)),
        shard: Some(ShardId(shard)),
        units: 1.0,
        hosts: 1,
        timeout: 400_000,
        is_retry: false,
        client: None,
    }
}

fn node(name: &str, shard: u32, state: NodeState) -> ListedNode {
    ListedNode { name: name.into(), zone: 0, shard, state, started: None }
}

fn drain_commands(dispatcher: &mut Dispatcher<u64>) -> Vec<Command<u64>> {
    std::iter::from_fn(|| dispatcher.next_command()).collect()
}

fn with_nodes(names: &[&str]) -> Dispatcher<u64> {
    let mut dispatcher = Dispatcher::new(settings(), 7);
    let listed: Vec<ListedNode> =
        names.iter().enumerate().map(|(shard, n)| node(n, shard as u32, NodeState::On)).collect();
    dispatcher.update_nodes(0, true, true, &listed);
    drain_commands(&mut dispatcher);
    dispatcher
}

fn sent_attempts(commands: &[Command<u64>]) -> Vec<AttemptId> {
    let attempt = |s: &Command<u64>| match s {
        Command::Send { attempt, .. } => Some(*attempt),
        _ => None,
    };
    commands.iter().filter_map(attempt).collect()
}

#[test]
fn served_attempt_returns_the_payload_and_finishes_the_request() {
    let mut dispatcher = with_nodes(&["a"]);
    dispatcher.submit(1000, request(0, 0), 42);
    let attempts = sent_attempts(&drain_commands(&mut dispatcher));
    assert_eq!(attempts.len(), 1);
    assert_eq!(dispatcher.attempt_ended(2000, attempts[0], Outcome::Served, Some(3)), Some(42));
    assert!(sent_attempts(&drain_commands(&mut dispatcher)).is_empty());
    assert_eq!((dispatcher.open_requests(), dispatcher.attempts_in_flight().count()), (0, 0));
    assert_eq!(
        dispatcher.node_views().values().map(|n| (n.in_flight, n.served, n.load)).collect::<Vec<_>>(),
        [(0, 1, Some(3))]
    );
}

#[test]
fn retry_without_token_is_refused_with_the_allowance_advice() {
    let mut dispatcher = with_nodes(&["a"]);
    dispatcher.set_retry_tokens(500, ShardId(0), 1, 300_000);
    dispatcher.submit(1000, request(0, 0), 42);
    let attempts = sent_attempts(&drain_commands(&mut dispatcher));
    dispatcher.attempt_ended(2000, attempts[0], Outcome::Error, None);
    let retries = sent_attempts(&drain_commands(&mut dispatcher));
    assert_eq!(retries.len(), 1);
    dispatcher.attempt_ended(3000, retries[0], Outcome::Error, None);
    let refused = Command::EndUnserved(attempts[0].request, 42, Verdict::Refused { retry_after: 300_000 });
    assert!(drain_commands(&mut dispatcher).contains(&refused));
}

#[test]
fn deadline_abandons_the_attempt_and_fails_the_request() {
    let mut dispatcher = with_nodes(&["a"]);
    dispatcher.submit(1000, request(1, 0), 42);
    let attempts = sent_attempts(&drain_commands(&mut dispatcher));
    let permit = dispatcher.begin_write(1000, attempts[0]).expect("the attempt is valid");
    let deadline = 401_000;
    assert_eq!((permit.attempt(), permit.time_left()), (attempts[0], deadline - 1000));
    let mut seen_commands = Vec::new();
    while let Some(at) = dispatcher.next_due().filter(|&at| at <= deadline) {
        while dispatcher.tick(at) {
            seen_commands.extend(drain_commands(&mut dispatcher).into_iter().map(|s| (at, s)));
        }
    }
    let abandoned = seen_commands.iter().any(|(at, s)| {
        matches!(s, Command::Abandon(a, _, Outcome::TimedOut) if *a == attempts[0]) && *at == deadline
    });
    let failed = seen_commands
        .iter()
        .any(|(at, s)| matches!(s, Command::EndUnserved(_, 42, Verdict::Failed)) && *at == deadline);
    assert!(abandoned && failed, "{seen_commands:?}");
    assert_eq!(dispatcher.attempt_ended(deadline + 1, attempts[0], Outcome::Served, None), None);
    assert_eq!((dispatcher.counts().late, dispatcher.counts().failed), (1, 1));
}

#[test]
fn no_attempt_is_sent_for_a_withdrawn_request() {
    let mut dispatcher = with_nodes(&["a"]);
    let id = dispatcher.submit(1000, request(0, 0), 42);
    assert_eq!(dispatcher.withdraw(1000, id), Some(42));
    assert!(sent_attempts(&drain_commands(&mut dispatcher)).is_empty());
    // The scheduler must not count the attempt as in flight: the node still accepts as many requests as
    // before.
    let mut sent = 0;
    for _ in 0..4 {
        dispatcher.submit(1000, request(0, 0), 1);
        sent += sent_attempts(&drain_commands(&mut dispatcher)).len();
    }
    assert_eq!(sent, 4);
}

#[test]
fn withdrawn_request_leaves_no_state_after_its_attempt_ends() {
    let mut dispatcher = with_nodes(&["a"]);
    let id = dispatcher.submit(1000, request(0, 0), 42);
    let attempts = sent_attempts(&drain_commands(&mut dispatcher));
    dispatcher.withdraw(1500, id);
    assert!(drain_commands(&mut dispatcher).iter().all(|s| !matches!(s, Command::EndUnserved(..))));
    assert_eq!(dispatcher.attempt_ended(2000, attempts[0], Outcome::Cancelled, None), None);
    drain_commands(&mut dispatcher);
    assert_eq!((dispatcher.open_requests(), dispatcher.attempts_in_flight().count()), (0, 0));
}

#[test]
fn removed_nodes_are_not_kept() {
    let mut dispatcher = Dispatcher::new(settings(), 7);
    let mut now = 0;
    for n in 0..3000u32 {
        now += 20_000;
        dispatcher.update_nodes(now, false, false, &[node(&format!("n{n}"), n % 3, NodeState::On)]);
        dispatcher.submit(now, request(0, n % 3), u64::from(n));
        for attempt in sent_attempts(&drain_commands(&mut dispatcher)) {
            dispatcher.attempt_ended(now + 500, attempt, Outcome::Served, None);
        }
        drain_commands(&mut dispatcher);
        if n >= 3 {
            dispatcher.update_nodes(
                now,
                false,
                false,
                &[node(&format!("n{}", n - 3), n % 3, NodeState::Gone)],
            );
            drain_commands(&mut dispatcher);
        }
        while dispatcher.next_due().is_some_and(|at| at <= now) {
            dispatcher.tick(now);
            drain_commands(&mut dispatcher);
        }
        dispatcher.remove_gone_nodes();
    }
    // The scheduler keeps a node for some seconds after sending to it: at one node per 20 ms, some hundreds
    // at most.
    assert!(dispatcher.node_views().len() < 600, "{} nodes are still kept", dispatcher.node_views().len());
    for _ in 0..20 {
        now += 1_000_000;
        while dispatcher.next_due().is_some_and(|at| at <= now) {
            dispatcher.tick(now);
            drain_commands(&mut dispatcher);
        }
    }
    dispatcher.remove_gone_nodes();
    assert_eq!(dispatcher.node_views().len(), 3);
    assert_eq!((dispatcher.open_requests(), dispatcher.attempts_in_flight().count()), (0, 0));
}

#[derive(Clone, Debug)]
enum TestAction {
    Submit(usize, u32),
    EndAttempt(usize, usize),
    Withdraw(usize),
    AdvanceClock(i64),
    ChangeNode(u32, usize),
}

fn action() -> impl Strategy<Value = TestAction> {
    prop_oneof![
        4 => (0..2usize, 0..3u32).prop_map(|(c, s)| TestAction::Submit(c, s)),
        4 => (0..64usize, 0..5usize).prop_map(|(a, o)| TestAction::EndAttempt(a, o)),
        1 => (0..64usize).prop_map(TestAction::Withdraw),
        2 => (0..200_000i64).prop_map(TestAction::AdvanceClock),
        1 => (0..3u32, 0..3usize).prop_map(|(n, s)| TestAction::ChangeNode(n, s)),
    ]
}

proptest! {
    #[test]
    fn every_request_gets_exactly_one_final_answer(actions in prop::collection::vec(action(), 1..150)) {
        const OUTCOMES: [Outcome; 5] =
            [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::Unreachable, Outcome::Reset];
        const STATES: [NodeState; 3] = [NodeState::On, NodeState::Draining, NodeState::Gone];
        let mut dispatcher = with_nodes(&["a", "b", "c"]);
        let (mut now, mut next_payload) = (1000i64, 0u64);
        let mut open: Vec<(u64, RequestId)> = Vec::new();
        let mut in_flight: Vec<AttemptId> = Vec::new();
        let carry_out_commands = |dispatcher: &mut Dispatcher<u64>, open: &mut Vec<(u64, RequestId)>, in_flight: &mut Vec<AttemptId>| {
            for command in drain_commands(dispatcher) {
                match command {
                    Command::Send { attempt, .. } => in_flight.push(attempt),
                    Command::Abandon(attempt, ..) => in_flight.retain(|a| *a != attempt),
                    Command::EndUnserved(_, payload, _) => {
                        assert!(open.iter().any(|(p, _)| *p == payload), "request {payload} got two final answers");
                        open.retain(|(p, _)| *p != payload);
                    }
                    Command::Subscribe | Command::Log(_) => {}
                }
            }
        };
        for action in actions {
            match action {
                TestAction::Submit(class, shard) => {
                    let id = dispatcher.submit(now, request(class, shard), next_payload);
                    open.push((next_payload, id));
                    next_payload += 1;
                }
                TestAction::EndAttempt(index, outcome) if !in_flight.is_empty() => {
                    let attempt = in_flight.remove(index % in_flight.len());
                    if let Some(payload) = dispatcher.attempt_ended(now, attempt, OUTCOMES[outcome], None) {
                        prop_assert!(open.iter().any(|(p, _)| *p == payload));
                        open.retain(|(p, _)| *p != payload);
                    }
                }
                TestAction::Withdraw(index) if !open.is_empty() => {
                    let (payload, id) = open.remove(index % open.len());
                    prop_assert_eq!(dispatcher.withdraw(now, id), Some(payload));
                }
                TestAction::AdvanceClock(duration) => {
                    now += duration;
                    while dispatcher.tick(now) {
                        carry_out_commands(&mut dispatcher, &mut open, &mut in_flight);
                    }
                }
                TestAction::ChangeNode(n, state) => {
                    let name = ["a", "b", "c"][n as usize];
                    dispatcher.update_nodes(now, false, false, &[node(name, n, STATES[state])]);
                }
                _ => {}
            }
            carry_out_commands(&mut dispatcher, &mut open, &mut in_flight);
            prop_assert_eq!(dispatcher.open_requests(), open.len());
            prop_assert_eq!(dispatcher.attempts_in_flight().count(), in_flight.len());
        }
        now += 1_000_000;
        while dispatcher.tick(now) {
            carry_out_commands(&mut dispatcher, &mut open, &mut in_flight);
        }
        prop_assert!(open.is_empty(), "requests without a final answer: {open:?}");
        prop_assert!(in_flight.is_empty());
    }
}
