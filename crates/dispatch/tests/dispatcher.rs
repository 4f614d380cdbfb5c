//! One final answer each, whatever the attempts do; and nothing kept of what is over.

use decisions::*;
use dispatch::{AttemptId, Dispatcher, ListedNode, Step, Verdict};
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

fn ask(class: usize, shard: u32) -> Request {
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

fn steps(d: &mut Dispatcher<u64>) -> Vec<Step<u64>> {
    std::iter::from_fn(|| d.step()).collect()
}

fn with_nodes(names: &[&str]) -> Dispatcher<u64> {
    let mut d = Dispatcher::new(settings(), 7);
    let listed: Vec<ListedNode> =
        names.iter().enumerate().map(|(shard, n)| node(n, shard as u32, NodeState::On)).collect();
    d.nodes(0, true, true, &listed);
    steps(&mut d);
    d
}

fn sent(steps: &[Step<u64>]) -> Vec<AttemptId> {
    let attempt = |s: &Step<u64>| match s {
        Step::Send { attempt, .. } => Some(*attempt),
        _ => None,
    };
    steps.iter().filter_map(attempt).collect()
}

#[test]
fn a_served_attempt_is_the_final_answer_and_comes_with_the_payload() {
    let mut d = with_nodes(&["a"]);
    d.take(1000, ask(0, 0), 42);
    let out = sent(&steps(&mut d));
    assert_eq!(out.len(), 1);
    assert_eq!(d.ended(2000, out[0], Outcome::Served, Some(3)), Some(42));
    assert!(sent(&steps(&mut d)).is_empty());
    assert_eq!((d.open(), d.out().count()), (0, 0));
    assert_eq!(
        d.node_views().values().map(|n| (n.out, n.served, n.load)).collect::<Vec<_>>(),
        [(0, 1, Some(3))]
    );
}

#[test]
fn an_allowance_reaches_the_module() {
    let mut d = with_nodes(&["a"]);
    d.allow(500, ShardId(0), 1, 300_000);
    d.take(1000, ask(0, 0), 42);
    let out = sent(&steps(&mut d));
    d.ended(2000, out[0], Outcome::Error, None);
    let again = sent(&steps(&mut d));
    assert_eq!(again.len(), 1);
    d.ended(3000, again[0], Outcome::Error, None);
    let refused = Step::Over(out[0].request, 42, Verdict::Refused { come_back: 300_000 });
    assert!(steps(&mut d).contains(&refused));
}

#[test]
fn a_deadline_ends_the_attempt_and_the_request_at_that_moment() {
    let mut d = with_nodes(&["a"]);
    d.take(1000, ask(1, 0), 42);
    let out = sent(&steps(&mut d));
    let due = 401_000;
    let mut seen = Vec::new();
    while let Some(at) = d.next_due().filter(|&at| at <= due) {
        while d.tick(at) {
            seen.extend(steps(&mut d).into_iter().map(|s| (at, s)));
        }
    }
    let forgot = seen
        .iter()
        .any(|(at, s)| matches!(s, Step::Forget(a, _, Outcome::TimedOut) if *a == out[0]) && *at == due);
    let failed = seen.iter().any(|(at, s)| matches!(s, Step::Over(_, 42, Verdict::Failed)) && *at == due);
    assert!(forgot && failed, "{seen:?}");
    assert_eq!(d.ended(due + 1, out[0], Outcome::Served, None), None);
    assert_eq!((d.counts().late, d.counts().failed), (1, 1));
}

#[test]
fn what_the_module_wanted_to_send_for_a_withdrawn_request_never_goes_out() {
    let mut d = with_nodes(&["a"]);
    let request = d.take(1000, ask(0, 0), 42);
    assert_eq!(d.withdraw(1000, request), Some(42));
    assert!(sent(&steps(&mut d)).is_empty());
    // Nor does the module count it as out: the node still takes as much as before.
    let mut taken = 0;
    for _ in 0..4 {
        d.take(1000, ask(0, 0), 1);
        taken += sent(&steps(&mut d)).len();
    }
    assert_eq!(taken, 4);
}

#[test]
fn a_withdrawn_request_with_an_attempt_out_leaves_nothing_once_that_ends() {
    let mut d = with_nodes(&["a"]);
    let request = d.take(1000, ask(0, 0), 42);
    let out = sent(&steps(&mut d));
    d.withdraw(1500, request);
    assert!(steps(&mut d).iter().all(|s| !matches!(s, Step::Over(..))));
    assert_eq!(d.ended(2000, out[0], Outcome::Cancelled, None), None);
    steps(&mut d);
    assert_eq!((d.open(), d.out().count()), (0, 0));
}

#[test]
fn thousands_of_nodes_come_and_go_and_none_is_kept() {
    let mut d = Dispatcher::new(settings(), 7);
    let mut now = 0;
    for n in 0..3000u32 {
        now += 20_000;
        d.nodes(now, false, false, &[node(&format!("n{n}"), n % 3, NodeState::On)]);
        d.take(now, ask(0, n % 3), u64::from(n));
        for attempt in sent(&steps(&mut d)) {
            d.ended(now + 500, attempt, Outcome::Served, None);
        }
        steps(&mut d);
        if n >= 3 {
            d.nodes(now, false, false, &[node(&format!("n{}", n - 3), n % 3, NodeState::Gone)]);
            steps(&mut d);
        }
        while d.next_due().is_some_and(|at| at <= now) {
            d.tick(now);
            steps(&mut d);
        }
        d.forget_gone();
    }
    // The module keeps those it sent to for some seconds: 20 ms apart, some hundreds at most.
    assert!(d.node_views().len() < 600, "{} nodes are kept", d.node_views().len());
    for _ in 0..20 {
        now += 1_000_000;
        while d.next_due().is_some_and(|at| at <= now) {
            d.tick(now);
            steps(&mut d);
        }
    }
    d.forget_gone();
    assert_eq!(d.node_views().len(), 3);
    assert_eq!((d.open(), d.out().count()), (0, 0));
}

#[derive(Clone, Debug)]
enum Act {
    Take(usize, u32),
    End(usize, usize),
    Withdraw(usize),
    Pass(i64),
    Nodes(u32, usize),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..2usize, 0..3u32).prop_map(|(c, s)| Act::Take(c, s)),
        4 => (0..64usize, 0..5usize).prop_map(|(a, o)| Act::End(a, o)),
        1 => (0..64usize).prop_map(Act::Withdraw),
        2 => (0..200_000i64).prop_map(Act::Pass),
        1 => (0..3u32, 0..3usize).prop_map(|(n, s)| Act::Nodes(n, s)),
    ]
}

proptest! {
    #[test]
    fn every_request_is_answered_exactly_once(acts in prop::collection::vec(act(), 1..150)) {
        const ENDS: [Outcome; 5] =
            [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::Unreachable, Outcome::Reset];
        const STATES: [NodeState; 3] = [NodeState::On, NodeState::Draining, NodeState::Gone];
        let mut d = with_nodes(&["a", "b", "c"]);
        let (mut now, mut next) = (1000i64, 0u64);
        let mut open: Vec<(u64, RequestId)> = Vec::new();
        let mut out: Vec<AttemptId> = Vec::new();
        let settle = |d: &mut Dispatcher<u64>, open: &mut Vec<(u64, RequestId)>, out: &mut Vec<AttemptId>| {
            for step in steps(d) {
                match step {
                    Step::Send { attempt, .. } => out.push(attempt),
                    Step::Forget(attempt, ..) => out.retain(|a| *a != attempt),
                    Step::Over(_, payload, _) => {
                        assert!(open.iter().any(|(p, _)| *p == payload), "{payload} is answered twice");
                        open.retain(|(p, _)| *p != payload);
                    }
                    Step::Subscribe | Step::Log(_) => {}
                }
            }
        };
        for act in acts {
            match act {
                Act::Take(class, shard) => {
                    let id = d.take(now, ask(class, shard), next);
                    open.push((next, id));
                    next += 1;
                }
                Act::End(which, how) if !out.is_empty() => {
                    let attempt = out.remove(which % out.len());
                    if let Some(payload) = d.ended(now, attempt, ENDS[how], None) {
                        prop_assert!(open.iter().any(|(p, _)| *p == payload));
                        open.retain(|(p, _)| *p != payload);
                    }
                }
                Act::Withdraw(which) if !open.is_empty() => {
                    let (payload, id) = open.remove(which % open.len());
                    prop_assert_eq!(d.withdraw(now, id), Some(payload));
                }
                Act::Pass(span) => {
                    now += span;
                    while d.tick(now) {
                        settle(&mut d, &mut open, &mut out);
                    }
                }
                Act::Nodes(n, state) => {
                    let name = ["a", "b", "c"][n as usize];
                    d.nodes(now, false, false, &[node(name, n, STATES[state])]);
                }
                _ => {}
            }
            settle(&mut d, &mut open, &mut out);
            prop_assert_eq!(d.open(), open.len());
            prop_assert_eq!(d.out().count(), out.len());
        }
        now += 1_000_000;
        while d.tick(now) {
            settle(&mut d, &mut open, &mut out);
        }
        prop_assert!(open.is_empty(), "never answered: {open:?}");
        prop_assert!(out.is_empty());
    }
}
