//! The checker itself: it must catch a breach of every rule.

mod common;
use common::*;
use decisions::*;

fn checker(settings: Settings) -> Checker {
    let mut c = Checker::new(settings, 0);
    let entries = vec![entry(0, 0), entry(1, 1)];
    c.event(0, &Event::Nodes { whole: true, remembered: false, entries });
    c
}

fn send(id: u64) -> Action {
    Action::Send { request: RequestId(id), node: NodeId(0), patience: 0 }
}

fn answer(id: u64, attempt: u32, outcome: Outcome) -> Event {
    Event::Answer(Answer {
        request: RequestId(id),
        attempt,
        node: NodeId(0),
        outcome,
        settled: false,
        latency: 1,
        metered: None,
        elsewhere: 0.0,
    })
}

fn caught(c: &Checker, rule: &str) {
    assert!(c.breaches.iter().any(|b| b.contains(rule)), "{rule} not among {:?}", c.breaches);
}

#[test]
fn a_lost_request_and_a_second_answer() {
    let mut c = checker(settings());
    c.event(0, &Event::Request(request(1)));
    c.overdue(2 * SECOND);
    caught(&c, "1: no final answer");
    c.event(0, &Event::Request(request(2)));
    c.action(0, &Action::Fail { request: RequestId(2) });
    c.action(0, &Action::Fail { request: RequestId(2) });
    caught(&c, "1: a second final");
    c.action(0, &send(2));
    caught(&c, "1: sent after the end");
}

#[test]
fn a_double_effect() {
    let mut set = settings();
    set.classes = vec![class(Repeats::Unsafe)];
    let mut c = checker(set);
    c.event(0, &Event::Request(request(1)));
    c.action(0, &send(1));
    c.action(1, &send(1));
    caught(&c, "2: two attempts");
    c.event(2, &answer(1, 0, Outcome::Error));
    c.action(3, &send(1));
    caught(&c, "2: repeated");
    c.action(4, &Action::Refuse { request: RequestId(1), come_back: 0 });
    caught(&c, "2: refused");
}

#[test]
fn a_send_to_a_drained_node() {
    let mut c = checker(settings());
    let mut gone = entry(0, 0);
    gone.state = NodeState::Draining;
    c.event(0, &Event::Nodes { whole: false, remembered: false, entries: vec![gone] });
    c.event(0, &Event::Request(request(1)));
    c.action(SECOND + 1, &send(1));
    caught(&c, "3:");
}

#[test]
fn a_cold_node_pushed() {
    let mut c = checker(settings());
    let mut cold = entry(0, 0);
    cold.started = Some(0);
    c.event(0, &Event::Nodes { whole: false, remembered: false, entries: vec![cold] });
    for id in 0..11 {
        c.event(0, &Event::Request(request(id)));
        c.action(0, &send(id));
    }
    caught(&c, "4:");
}

#[test]
fn order_not_kept() {
    let mut set = settings();
    set.classes[0].in_order = true;
    let mut c = checker(set);
    for id in 1..4 {
        let mut r = request(id);
        r.key = Some(KeyId(7));
        c.event(0, &Event::Request(r));
    }
    c.action(0, &send(1));
    c.action(0, &send(2));
    caught(&c, "5: out of turn");
    c.event(1, &answer(1, 0, Outcome::TimedOut));
    c.action(1, &Action::Fail { request: RequestId(1) });
    c.event(1, &Event::Withdrawn(RequestId(2)));
    c.event(1, &answer(2, 0, Outcome::Error));
    c.action(2, &send(3));
    caught(&c, "5: the key rests");
}

#[test]
fn budget_and_limit_passed() {
    let mut set = settings();
    set.budget = Some(RetryBudget { window: SECOND, free: 0.0, share: 0.5 });
    set.plans[0].limit = 1.0;
    set.plans[0].limit_burst = 4.0;
    let mut c = checker(set);
    c.event(0, &Event::Request(request(1)));
    c.action(0, &send(1));
    caught(&c, "7:");
    c.event(0, &answer(1, 0, Outcome::Error));
    c.action(0, &send(1));
    caught(&c, "6:");
}
