//! An attempt that awaits its connection: whether it is still valid when it can begin, and what follows if
//! not.

mod common;

use common::*;
use decisions::*;

fn entry(state: NodeState, started: Option<Micros>) -> NodeEntry {
    NodeEntry { node: NodeId(0), zone: 0, shard: ShardId(0), state, started }
}

fn request_for(id: u64, timeout: Micros) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: Some(KeyId(7)),
        shard: Some(ShardId(0)),
        units: 1.0,
        hosts: 1,
        timeout,
        is_retry: false,
        client: None,
    }
}

fn ended(attempt: u32, outcome: Outcome) -> Event {
    Event::Answer(Answer {
        request: RequestId(1),
        attempt,
        node: NodeId(0),
        outcome,
        settled: false,
        latency: 10_000,
        metered_use: None,
        units_elsewhere: 0.0,
    })
}

struct Host {
    scheduler: Scheduler,
    now: Micros,
    timers: Vec<(Micros, u64)>,
}

impl Host {
    /// A host with one node that has sent the first attempt of a request at time 10 s.
    fn with_attempt(settings: Settings) -> Host {
        let mut host = Host { scheduler: Scheduler::new(settings, 1), now: 10 * SECOND, timers: Vec::new() };
        host.list(NodeState::On, None);
        let actions = host.handle(Event::Request(request_for(1, SECOND)));
        assert!(count_sends(&actions) == 1, "{actions:?}");
        host
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        actions
    }

    fn list(&mut self, state: NodeState, started: Option<Micros>) -> Vec<Action> {
        let entries = vec![entry(state, started)];
        self.handle(Event::Nodes { complete: true, from_cache: false, entries })
    }

    fn is_valid(&self, attempt: u32) -> bool {
        self.scheduler.stands(self.now, RequestId(1), attempt, NodeId(0))
    }
}

fn count_sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn is_answered(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
}

#[test]
fn an_attempt_is_valid_until_its_clients_time_is_over() {
    let mut host = Host::with_attempt(settings());
    assert!(host.is_valid(0));
    host.now += SECOND - 1;
    assert!(host.is_valid(0));
    host.now += 1;
    assert!(!host.is_valid(0));
}

#[test]
fn an_attempt_is_invalid_when_its_request_is_withdrawn_or_unknown() {
    let mut host = Host::with_attempt(settings());
    assert!(!host.is_valid(1), "no such attempt");
    host.handle(Event::Withdrawn(RequestId(1)));
    assert!(!host.is_valid(0));
}

#[test]
fn an_attempt_is_invalid_when_its_node_drains_or_restarts_and_is_sent_again() {
    // An attempt that was never sent uses nothing of the retry budget.
    let budget = Some(RetryBudget { window: 5 * SECOND, base: 0.0, per_request: 0.0 });
    let mut host = Host::with_attempt(Settings { retry_budget: budget, ..settings() });
    host.list(NodeState::Draining, None);
    assert!(!host.is_valid(0));
    let actions = host.handle(ended(0, Outcome::NotSent));
    assert!(
        count_sends(&actions) == 0 && !is_answered(&actions),
        "it waits for a node that accepts work: {actions:?}"
    );
    let actions = host.list(NodeState::On, None);
    assert_eq!(count_sends(&actions), 1, "{actions:?}");
    assert!(host.is_valid(1));
    host.list(NodeState::On, Some(host.now));
    assert!(!host.is_valid(1), "another process");
}

#[test]
fn a_valid_attempt_without_connection_is_answered_at_once() {
    let mut host = Host::with_attempt(settings());
    let actions = host.handle(ended(0, Outcome::NotSent));
    assert!(is_answered(&actions) && count_sends(&actions) == 0, "{actions:?}");
}

#[test]
fn a_keyed_retry_is_invalid_after_the_window_of_the_first_attempt() {
    let window = 300_000;
    let mut host_settings = settings();
    host_settings.classes = vec![class(Idempotency::Keyed { scope: DedupScope::All, window })];
    host_settings.retry_budget = Some(RetryBudget { window: 5 * SECOND, base: 1.0, per_request: 0.0 });
    let mut host = Host::with_attempt(host_settings);
    host.now += 50_000;
    let actions = host.handle(ended(0, Outcome::Reset));
    assert_eq!(count_sends(&actions), 1, "{actions:?}");
    assert!(host.is_valid(1));
    host.now += window - 60_000;
    assert!(host.is_valid(1));
    host.now += 10_000;
    assert!(!host.is_valid(1), "its nodes may have forgotten the key");
    let actions = host.handle(ended(1, Outcome::NotSent));
    assert!(is_answered(&actions) && count_sends(&actions) == 0, "{actions:?}");
}

#[test]
fn a_request_is_answered_by_its_shortened_deadline() {
    let mut host = Host::with_attempt(settings());
    let actions = host.handle(Event::DeadlineShortened { request: RequestId(1), timeout: 200_000 });
    let mut timers = host.timers.clone();
    assert!(!is_answered(&actions));
    host.now += 200_000;
    assert!(!host.is_valid(0));
    timers.retain(|&(at, _)| at <= host.now);
    let answered = timers.into_iter().any(|(_, token)| is_answered(&host.handle(Event::Timer(token))));
    assert!(answered, "it has no answer");
}
