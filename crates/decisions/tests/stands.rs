//! A send that waits for its connection: whether it still stands when it can be begun, and what follows if not.

mod common;

use common::*;
use decisions::*;

fn entry(state: NodeState, started: Option<Micros>) -> NodeEntry {
    NodeEntry { node: NodeId(0), zone: 0, shard: ShardId(0), state, started }
}

fn ask(id: u64, patience: Micros) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: Some(KeyId(7)),
        shard: Some(ShardId(0)),
        units: 1.0,
        hosts: 1,
        patience,
        retry: false,
        client: None,
    }
}

fn end(attempt: u32, outcome: Outcome) -> Event {
    Event::Answer(Answer {
        request: RequestId(1),
        attempt,
        node: NodeId(0),
        outcome,
        settled: false,
        latency: 10_000,
        metered: None,
        elsewhere: 0.0,
    })
}

struct Host {
    module: Scheduler,
    now: Micros,
    timers: Vec<(Micros, u64)>,
}

impl Host {
    /// A host of one node that has taken a request and sent its first attempt at time 10 s.
    fn sent(set: Settings) -> Host {
        let mut host = Host { module: Scheduler::new(set, 1), now: 10 * SECOND, timers: Vec::new() };
        host.list(NodeState::On, None);
        let actions = host.event(Event::Request(ask(1, SECOND)));
        assert!(sends(&actions) == 1, "{actions:?}");
        host
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        actions
    }

    fn list(&mut self, state: NodeState, started: Option<Micros>) -> Vec<Action> {
        let entries = vec![entry(state, started)];
        self.event(Event::Nodes { whole: true, remembered: false, entries })
    }

    fn stands(&self, attempt: u32) -> bool {
        self.module.stands(self.now, RequestId(1), attempt, NodeId(0))
    }
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn over(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
}

#[test]
fn it_stands_until_its_clients_time_is_over() {
    let mut host = Host::sent(settings());
    assert!(host.stands(0));
    host.now += SECOND - 1;
    assert!(host.stands(0));
    host.now += 1;
    assert!(!host.stands(0));
}

#[test]
fn it_falls_when_its_client_goes_or_its_request_is_unknown() {
    let mut host = Host::sent(settings());
    assert!(!host.stands(1), "no such attempt");
    host.event(Event::Withdrawn(RequestId(1)));
    assert!(!host.stands(0));
}

#[test]
fn it_falls_when_its_node_drains_or_is_another_process_and_is_decided_anew() {
    // What never went out takes nothing from the budget for further attempts.
    let budget = Some(RetryBudget { window: 5 * SECOND, free: 0.0, share: 0.0 });
    let mut host = Host::sent(Settings { budget, ..settings() });
    host.list(NodeState::Draining, None);
    assert!(!host.stands(0));
    let actions = host.event(end(0, Outcome::NotSent));
    assert!(sends(&actions) == 0 && !over(&actions), "it waits for a node that takes work: {actions:?}");
    let actions = host.list(NodeState::On, None);
    assert_eq!(sends(&actions), 1, "{actions:?}");
    assert!(host.stands(1));
    host.list(NodeState::On, Some(host.now));
    assert!(!host.stands(1), "another process");
}

#[test]
fn one_that_stood_and_found_no_way_is_answered_at_once_as_before() {
    let mut host = Host::sent(settings());
    let actions = host.event(end(0, Outcome::NotSent));
    assert!(over(&actions) && sends(&actions) == 0, "{actions:?}");
}

#[test]
fn a_further_one_falls_with_the_window_of_the_first() {
    let window = 300_000;
    let mut set = settings();
    set.classes = vec![class(Repeats::Keyed { group: Group::All, window })];
    set.budget = Some(RetryBudget { window: 5 * SECOND, free: 1.0, share: 0.0 });
    let mut host = Host::sent(set);
    host.now += 50_000;
    let actions = host.event(end(0, Outcome::Reset));
    assert_eq!(sends(&actions), 1, "{actions:?}");
    assert!(host.stands(1));
    host.now += window - 60_000;
    assert!(host.stands(1));
    host.now += 10_000;
    assert!(!host.stands(1), "its nodes may have forgotten the key");
    let actions = host.event(end(1, Outcome::NotSent));
    assert!(over(&actions) && sends(&actions) == 0, "{actions:?}");
}

#[test]
fn a_request_that_is_hastened_has_its_answer_by_then() {
    let mut host = Host::sent(settings());
    let actions = host.event(Event::Hastened { request: RequestId(1), patience: 200_000 });
    let mut timers = host.timers.clone();
    assert!(!over(&actions));
    host.now += 200_000;
    assert!(!host.stands(0));
    timers.retain(|&(at, _)| at <= host.now);
    let answered = timers.into_iter().any(|(_, token)| over(&host.event(Event::Timer(token))));
    assert!(answered, "it is still owed");
}
