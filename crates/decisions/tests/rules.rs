//! A short scenario for each rule that sends must keep.

mod common;
use common::*;
use decisions::*;

fn keyed(scope: DedupScope) -> Idempotency {
    Idempotency::Keyed { scope, window: SECOND / 2 }
}

#[test]
fn a_waiting_request_is_answered_by_its_deadline() {
    let mut host = Host::new(settings());
    host.submit(request(1));
    host.advance(2 * SECOND);
    assert!(host.refusal_advice(1).is_some());
    host.checker.assert_no_breach();
}

#[test]
fn requests_without_remaining_time_are_answered_at_once() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    for (id, timeout) in [(1, 0), (2, -5)] {
        let mut r = request(id);
        r.timeout = timeout;
        host.submit(r);
        assert!(host.refusal_advice(id).is_some());
    }
    assert!(host.sent().is_empty());
}

#[test]
fn a_refusal_carries_advice_only_where_allowed() {
    for advice in [true, false] {
        let mut host_settings = settings();
        host_settings.retry_advice = advice;
        let mut host = Host::new(host_settings);
        host.submit(request(1));
        host.advance(2 * SECOND);
        assert_eq!(host.refusal_advice(1).is_some_and(|t| t > 0), advice);
    }
}

#[test]
fn an_unsafe_request_is_retried_after_full_but_never_after_an_error() {
    let mut host_settings = settings();
    host_settings.classes = vec![class(Idempotency::Unsafe)];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.submit(request(1));
    host.answer(1, 0, Outcome::Error);
    assert!(host.failed(1));
    host.submit(request(2));
    host.answer(2, 0, Outcome::Full);
    host.advance(100_000);
    assert_eq!(host.sent(), [1, 2, 2]);
    host.checker.assert_no_breach();
}

#[test]
fn a_keyed_request_is_retried_within_its_shard_and_window_only() {
    let mut host_settings = settings();
    host_settings.classes = vec![class(keyed(DedupScope::Shard))];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.submit(request(1));
    host.advance(100_000);
    host.answer(1, 0, Outcome::Error);
    assert_eq!(host.sent(), [1, 1], "within the window");
    host.advance(450_000);
    host.answer(1, 1, Outcome::Error);
    assert_eq!(host.sent(), [1, 1], "past the window");
    assert!(host.failed(1));
    host.checker.assert_no_breach();
}

#[test]
fn a_keyed_new_object_stays_in_its_group_once_it_may_have_run() {
    let mut host_settings = settings();
    host_settings.classes = vec![class(keyed(DedupScope::Shard))];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0), entry(1, 1)]);
    let mut r = request(1);
    r.shard = None;
    host.submit(r);
    let (node, _) = host.checker.in_flight[&(RequestId(1), 0)];
    host.update_nodes(true, &[entry(1 - node.0, 1 - node.0)]);
    host.answer(1, 0, Outcome::Reset);
    host.advance(2 * SECOND);
    assert_eq!(host.sent(), [1]);
    host.checker.assert_no_breach();
}

#[test]
fn a_draining_or_removed_node_gets_nothing_and_its_replacement_does() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    let mut draining = entry(0, 0);
    draining.state = NodeState::Draining;
    host.update_nodes(false, &[draining]);
    host.submit(request(1));
    assert!(host.sent().is_empty());
    host.update_nodes(false, &[entry(5, 0)]);
    assert_eq!(host.sent(), [1]);
    host.update_nodes(true, &[]);
    host.submit(request(2));
    host.advance(2 * SECOND);
    assert_eq!(host.sent(), [1]);
    assert!(host.refusal_advice(2).is_some());
    host.checker.assert_no_breach();
}

#[test]
fn a_failed_node_list_request_keeps_the_list_and_is_retried() {
    let mut host_settings = settings();
    host_settings.needs_subscription = true;
    let mut host = Host::new(host_settings);
    let first = host.update_nodes(true, &[entry(0, 0)]);
    assert!(first.contains(&Action::Subscribe));
    host.handle(Event::NodeListFailed);
    let before = host.log.len();
    host.submit(request(1));
    assert_eq!(host.sent(), [1]);
    host.advance(3 * SECOND);
    assert!(host.log[before..].iter().any(|(_, a)| *a == Action::Subscribe));
}

#[test]
fn a_cold_node_gets_no_more_than_an_even_part() {
    let mut host = Host::new(settings());
    host.advance(5 * SECOND);
    let mut cold = entry(0, 0);
    cold.started = Some(host.now);
    host.update_nodes(true, &[cold]);
    for id in 0..200 {
        host.submit(request(id));
        if let Some(&(sent, attempt)) = host.checker.in_flight.keys().next() {
            host.answer(sent.0, attempt, Outcome::Served);
        }
        host.advance(10_000);
    }
    let sent = host.sent().len();
    assert!((8..=11).contains(&sent), "{sent} sent in two seconds, this host's part is ten");
    host.checker.assert_no_breach();
}

#[test]
fn a_host_that_just_started_sends_nothing_to_a_cold_node_for_a_window() {
    let mut host_settings = settings();
    host_settings.classes[0].latency_target = 4 * SECOND;
    let mut host = Host::at(host_settings, 50 * SECOND);
    let mut cold = entry(0, 0);
    cold.started = Some(49 * SECOND);
    host.update_nodes(true, &[cold]);
    let mut r = request(1);
    r.timeout = 5 * SECOND;
    host.submit(r);
    host.advance(SECOND);
    assert!(host.sent().is_empty());
    host.advance(2 * SECOND);
    assert_eq!(host.sent(), [1]);
}

#[test]
fn requests_of_one_key_run_in_order_and_the_key_pauses_after_a_reset() {
    let mut host_settings = settings();
    host_settings.classes[0].in_order = true;
    host_settings.classes[0].latency_target = 5 * SECOND;
    host_settings.max_attempts = 1;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for id in 1..4 {
        let mut r = request(id);
        r.key = Some(KeyId(9));
        r.timeout = 10 * SECOND;
        host.submit(r);
    }
    assert_eq!(host.sent(), [1]);
    host.answer(1, 0, Outcome::Served);
    assert_eq!(host.sent(), [1, 2]);
    host.answer(2, 0, Outcome::Reset);
    host.advance(190_000);
    assert_eq!(host.sent(), [1, 2]);
    host.advance(400_000);
    assert_eq!(host.sent(), [1, 2, 3]);
    host.checker.assert_no_breach();
}

#[test]
fn retries_stay_within_the_budget() {
    let mut host_settings = settings();
    host_settings.retry_budget = Some(RetryBudget { window: 5 * SECOND, base: 2.0, per_request: 0.0 });
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for id in 0..5 {
        host.submit(request(id));
        host.answer(id, 0, Outcome::Error);
        if host.checker.in_flight.contains_key(&(RequestId(id), 1)) {
            host.answer(id, 1, Outcome::Served);
        }
    }
    assert_eq!(host.sent().len(), 5 + 2);
    assert!(host.refusal_advice(4).is_some(), "refused at once, not kept waiting");
    host.checker.assert_no_breach();
}

#[test]
fn a_limit_is_divided_evenly_and_starts_empty() {
    let mut host_settings = settings();
    host_settings.plans[0].limit = 30.0;
    host_settings.plans[0].limit_burst = 48.0;
    host_settings.plans[0].limit_slack = 6.0;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    let mut id = 0;
    let mut submit = |host: &mut Host, count: usize| {
        for _ in 0..count {
            let mut r = request(id);
            (r.hosts, r.units) = (3, 2.0);
            id += 1;
            host.submit(r);
            while let Some(&(sent, attempt)) = host.checker.in_flight.keys().next() {
                host.answer(sent.0, attempt, Outcome::Served);
            }
        }
        host.sent().len()
    };
    assert_eq!(submit(&mut host, 3), 0, "the process before may have spent all of it");
    host.advance(10 * SECOND);
    let before = host.sent().len();
    // A full part of 16 units and a slack of 2 allow nine requests of two units.
    assert_eq!(submit(&mut host, 20) - before, 9);
    host.checker.assert_no_breach();
}

#[test]
fn unknown_requests_classes_plans_and_nodes_are_ignored_or_refused() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    host.handle(Event::Withdrawn(RequestId(77)));
    host.handle(Event::Timer(99));
    host.handle(Event::Answer(Answer {
        request: RequestId(5),
        attempt: 3,
        node: NodeId(42),
        outcome: Outcome::Served,
        settled: true,
        latency: 1,
        metered_use: None,
        units_elsewhere: 0.0,
    }));
    let mut r = request(1);
    r.class = 9;
    let mut actions = Vec::new();
    host.scheduler.handle(1, Event::Request(r), &mut actions);
    assert!(matches!(actions[0], Action::Refuse { .. }));
}
