//! Tests of the rule checker: it detects a breach of every rule.

mod common;
use common::*;
use decisions::*;

fn checker_for(settings: Settings) -> Checker {
    let mut checker = Checker::new(settings, 0);
    let entries = vec![entry(0, 0), entry(1, 1)];
    checker.event(0, &Event::Nodes { complete: true, from_cache: false, entries });
    checker
}

fn send(id: u64) -> Action {
    Action::Send { request: RequestId(id), node: NodeId(0), timeout: 0 }
}

fn answer(id: u64, attempt: u32, outcome: Outcome) -> Event {
    Event::Answer(Answer {
        request: RequestId(id),
        attempt,
        node: NodeId(0),
        outcome,
        settled: false,
        latency: 1,
        metered_use: None,
        units_elsewhere: 0.0,
    })
}

fn assert_breach(checker: &Checker, rule: &str) {
    assert!(checker.breaches.iter().any(|b| b.contains(rule)), "{rule} not among {:?}", checker.breaches);
}

#[test]
fn lost_requests_and_second_answers_are_detected() {
    let mut checker = checker_for(settings());
    checker.event(0, &Event::Request(request(1)));
    checker.record_overdue(2 * SECOND);
    assert_breach(&checker, "1: no final answer");
    checker.event(0, &Event::Request(request(2)));
    checker.action(0, &Action::Fail { request: RequestId(2) });
    checker.action(0, &Action::Fail { request: RequestId(2) });
    assert_breach(&checker, "1: a second final");
    checker.action(0, &send(2));
    assert_breach(&checker, "1: sent after the final answer");
}

#[test]
fn a_second_run_is_detected() {
    let mut host_settings = settings();
    host_settings.classes = vec![class(Idempotency::Unsafe)];
    let mut checker = checker_for(host_settings);
    checker.event(0, &Event::Request(request(1)));
    checker.action(0, &send(1));
    checker.action(1, &send(1));
    assert_breach(&checker, "2: two attempts");
    checker.event(2, &answer(1, 0, Outcome::Error));
    checker.action(3, &send(1));
    assert_breach(&checker, "2: sent again");
    checker.action(4, &Action::Refuse { request: RequestId(1), retry_after: 0 });
    assert_breach(&checker, "2: refused");
}

#[test]
fn a_send_to_a_draining_node_is_detected() {
    let mut checker = checker_for(settings());
    let mut draining = entry(0, 0);
    draining.state = NodeState::Draining;
    checker.event(0, &Event::Nodes { complete: false, from_cache: false, entries: vec![draining] });
    checker.event(0, &Event::Request(request(1)));
    checker.action(SECOND + 1, &send(1));
    assert_breach(&checker, "3:");
}

#[test]
fn too_much_work_for_a_cold_node_is_detected() {
    let mut checker = checker_for(settings());
    let mut cold = entry(0, 0);
    cold.started = Some(0);
    checker.event(0, &Event::Nodes { complete: false, from_cache: false, entries: vec![cold] });
    for id in 0..11 {
        checker.event(0, &Event::Request(request(id)));
        checker.action(0, &send(id));
    }
    assert_breach(&checker, "4:");
}

#[test]
fn a_breach_of_the_order_is_detected() {
    let mut host_settings = settings();
    host_settings.classes[0].in_order = true;
    let mut checker = checker_for(host_settings);
    for id in 1..4 {
        let mut r = request(id);
        r.key = Some(KeyId(7));
        checker.event(0, &Event::Request(r));
    }
    checker.action(0, &send(1));
    checker.action(0, &send(2));
    assert_breach(&checker, "5: out of order");
    checker.event(1, &answer(1, 0, Outcome::TimedOut));
    checker.action(1, &Action::Fail { request: RequestId(1) });
    checker.event(1, &Event::Withdrawn(RequestId(2)));
    checker.event(1, &answer(2, 0, Outcome::Error));
    checker.action(2, &send(3));
    assert_breach(&checker, "5: the key is paused");
}

#[test]
fn exceeding_the_budget_or_the_limit_is_detected() {
    let mut host_settings = settings();
    host_settings.retry_budget = Some(RetryBudget { window: SECOND, base: 0.0, per_request: 0.5 });
    host_settings.plans[0].limit = 1.0;
    host_settings.plans[0].limit_burst = 4.0;
    let mut checker = checker_for(host_settings);
    checker.event(0, &Event::Request(request(1)));
    checker.action(0, &send(1));
    assert_breach(&checker, "7:");
    checker.event(0, &answer(1, 0, Outcome::Error));
    checker.action(0, &send(1));
    assert_breach(&checker, "6:");
}
