//! Each rule's guard, on short scripts.

mod common;
use common::*;
use decisions::*;

fn keyed(group: Group) -> Repeats {
    Repeats::Keyed { group, window: SECOND / 2 }
}

#[test]
fn a_waiting_request_is_answered_by_its_deadline() {
    let mut h = Host::new(settings());
    h.ask(request(1));
    h.wait(2 * SECOND);
    assert!(h.refused(1).is_some());
    h.checker.assert_clean();
}

#[test]
fn zero_and_negative_patience_are_answered_at_once() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    for (id, patience) in [(1, 0), (2, -5)] {
        let mut r = request(id);
        r.patience = patience;
        h.ask(r);
        assert!(h.refused(id).is_some());
    }
    assert!(h.sent().is_empty());
}

#[test]
fn a_refusal_carries_advice_only_where_allowed() {
    for advice in [true, false] {
        let mut set = settings();
        set.advice = advice;
        let mut h = Host::new(set);
        h.ask(request(1));
        h.wait(2 * SECOND);
        assert_eq!(h.refused(1).is_some_and(|t| t > 0), advice);
    }
}

#[test]
fn an_unsafe_request_is_never_repeated_after_an_error_but_is_after_full() {
    let mut set = settings();
    set.classes = vec![class(Repeats::Unsafe)];
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    h.ask(request(1));
    h.answer(1, 0, Outcome::Error);
    assert!(h.failed(1));
    h.ask(request(2));
    h.answer(2, 0, Outcome::Full);
    h.wait(100_000);
    assert_eq!(h.sent(), [1, 2, 2]);
    h.checker.assert_clean();
}

#[test]
fn a_keyed_repeat_stays_in_its_shard_and_window() {
    let mut set = settings();
    set.classes = vec![class(keyed(Group::Shard))];
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    h.ask(request(1));
    h.wait(100_000);
    h.answer(1, 0, Outcome::Error);
    assert_eq!(h.sent(), [1, 1], "within the window");
    h.wait(450_000);
    h.answer(1, 1, Outcome::Error);
    assert_eq!(h.sent(), [1, 1], "past the window");
    assert!(h.failed(1));
    h.checker.assert_clean();
}

#[test]
fn a_keyed_new_object_does_not_leave_the_group_once_it_may_have_run() {
    let mut set = settings();
    set.classes = vec![class(keyed(Group::Shard))];
    let mut h = Host::with_nodes(set, &[entry(0, 0), entry(1, 1)]);
    let mut r = request(1);
    r.shard = None;
    h.ask(r);
    let (node, _) = h.checker.out[&(RequestId(1), 0)];
    h.nodes(true, &[entry(1 - node.0, 1 - node.0)]);
    h.answer(1, 0, Outcome::Reset);
    h.wait(2 * SECOND);
    assert_eq!(h.sent(), [1]);
    h.checker.assert_clean();
}

#[test]
fn a_draining_or_unlisted_node_gets_nothing_and_its_replacement_does() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    let mut draining = entry(0, 0);
    draining.state = NodeState::Draining;
    h.nodes(false, &[draining]);
    h.ask(request(1));
    assert!(h.sent().is_empty());
    h.nodes(false, &[entry(5, 0)]);
    assert_eq!(h.sent(), [1]);
    h.nodes(true, &[]);
    h.ask(request(2));
    h.wait(2 * SECOND);
    assert_eq!(h.sent(), [1]);
    assert!(h.refused(2).is_some());
    h.checker.assert_clean();
}

#[test]
fn a_failed_list_call_leaves_the_list_and_is_repeated() {
    let mut set = settings();
    set.must_ask = true;
    let mut h = Host::new(set);
    let first = h.nodes(true, &[entry(0, 0)]);
    assert!(first.contains(&Action::Subscribe));
    h.give(Event::NodesFailed);
    let mark = h.log.len();
    h.ask(request(1));
    assert_eq!(h.sent(), [1]);
    h.wait(3 * SECOND);
    assert!(h.log[mark..].iter().any(|(_, a)| *a == Action::Subscribe));
}

#[test]
fn a_cold_node_gets_no_more_than_an_even_part() {
    let mut h = Host::new(settings());
    h.wait(5 * SECOND);
    let mut cold = entry(0, 0);
    cold.started = Some(h.now);
    h.nodes(true, &[cold]);
    for id in 0..200 {
        h.ask(request(id));
        if let Some(&(sent, attempt)) = h.checker.out.keys().next() {
            h.answer(sent.0, attempt, Outcome::Served);
        }
        h.wait(10_000);
    }
    let sent = h.sent().len();
    assert!((8..=11).contains(&sent), "{sent} sent in two seconds, the part is ten");
    h.checker.assert_clean();
}

#[test]
fn a_host_that_just_started_leaves_a_cold_node_alone_for_a_window() {
    let mut set = settings();
    set.classes[0].aim = 4 * SECOND;
    let mut h = Host::at(set, 50 * SECOND);
    let mut cold = entry(0, 0);
    cold.started = Some(49 * SECOND);
    h.nodes(true, &[cold]);
    let mut r = request(1);
    r.patience = 5 * SECOND;
    h.ask(r);
    h.wait(SECOND);
    assert!(h.sent().is_empty());
    h.wait(2 * SECOND);
    assert_eq!(h.sent(), [1]);
}

#[test]
fn requests_of_one_key_run_in_turn_and_the_key_rests_after_a_time_out() {
    let mut set = settings();
    set.classes[0].in_order = true;
    set.classes[0].aim = 5 * SECOND;
    set.most_attempts = 1;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    for id in 1..4 {
        let mut r = request(id);
        r.key = Some(KeyId(9));
        r.patience = 10 * SECOND;
        h.ask(r);
    }
    assert_eq!(h.sent(), [1]);
    h.answer(1, 0, Outcome::Served);
    assert_eq!(h.sent(), [1, 2]);
    h.answer(2, 0, Outcome::Reset);
    h.wait(190_000);
    assert_eq!(h.sent(), [1, 2]);
    h.wait(400_000);
    assert_eq!(h.sent(), [1, 2, 3]);
    h.checker.assert_clean();
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut set = settings();
    set.budget = Some(RetryBudget { window: 5 * SECOND, free: 2.0, share: 0.0 });
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    for id in 0..5 {
        h.ask(request(id));
        h.answer(id, 0, Outcome::Error);
        if h.checker.out.contains_key(&(RequestId(id), 1)) {
            h.answer(id, 1, Outcome::Served);
        }
    }
    assert_eq!(h.sent().len(), 5 + 2);
    assert!(h.refused(4).is_some(), "answered at once, not held");
    h.checker.assert_clean();
}

#[test]
fn a_limit_is_kept_to_the_even_part_and_starts_empty() {
    let mut set = settings();
    set.plans[0].limit = 30.0;
    set.plans[0].limit_burst = 48.0;
    set.plans[0].limit_slack = 6.0;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    let mut id = 0;
    let mut step = |h: &mut Host, count: usize| {
        for _ in 0..count {
            let mut r = request(id);
            (r.hosts, r.units) = (3, 2.0);
            id += 1;
            h.ask(r);
            while let Some(&(sent, attempt)) = h.checker.out.keys().next() {
                h.answer(sent.0, attempt, Outcome::Served);
            }
        }
        h.sent().len()
    };
    assert_eq!(step(&mut h, 3), 0, "a former life may have spent it all");
    h.wait(10 * SECOND);
    let before = h.sent().len();
    // A full part of 16 and a slack of 2 is nine requests of two units.
    assert_eq!(step(&mut h, 20) - before, 9);
    h.checker.assert_clean();
}

#[test]
fn unknown_requests_classes_plans_and_nodes_do_no_harm() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    h.give(Event::Withdrawn(RequestId(77)));
    h.give(Event::Timer(99));
    h.give(Event::Answer(Answer {
        request: RequestId(5),
        attempt: 3,
        node: NodeId(42),
        outcome: Outcome::Served,
        settled: true,
        latency: 1,
        metered: None,
        elsewhere: 0.0,
    }));
    let mut r = request(1);
    r.class = 9;
    let mut actions = Vec::new();
    h.scheduler.handle(1, Event::Request(r), &mut actions);
    assert!(matches!(actions[0], Action::Refuse { .. }));
}
