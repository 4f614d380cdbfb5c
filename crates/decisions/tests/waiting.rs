//! The order in which waiting requests are sent, and which are refused early.

mod common;
use common::*;
use decisions::*;

#[test]
fn units_within_the_reserve_go_first() {
    let mut host_settings = settings();
    host_settings.plans.push(Plan { reserve: 0.0, ..plan() });
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    let ask = |host: &mut Host, id: u64, plan: usize| {
        let mut r = request(id);
        (r.plan, r.volume) = (plan, VolumeId(plan as u64));
        host.submit(r);
    };
    for id in 0..4 {
        ask(&mut host, id, 0);
    }
    ask(&mut host, 10, 1);
    ask(&mut host, 11, 0);
    host.advance(50_000);
    host.answer(0, 0, Outcome::Served);
    assert_eq!(host.sent()[4], 11);
}

#[test]
fn a_surging_volume_does_not_displace_one_within_its_share() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 0.0;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    let mut id = 0;
    // The node serves about twenty units a second, so that its capacity is known.
    for _ in 0..40 {
        host.submit(request(id));
        host.advance(50_000);
        host.answer(id, 0, Outcome::Served);
        id += 1;
    }
    for _ in 0..60 {
        host.submit(request(id));
        id += 1;
    }
    let mut small = request(1000);
    small.volume = VolumeId(2);
    host.submit(small);
    let first = *host.checker.in_flight.keys().next().expect("an attempt is in flight");
    host.advance(20_000);
    host.answer(first.0.0, first.1, Outcome::Served);
    assert!(host.sent().contains(&1000));
}

#[test]
fn requests_for_the_same_key_are_sent_together() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for (id, key) in [(0, 1), (1, 2), (2, 3), (3, 50), (4, 60), (5, 50)] {
        let mut r = request(id);
        r.key = Some(KeyId(key));
        host.submit(r);
    }
    host.advance(50_000);
    host.answer(0, 0, Outcome::Served);
    assert_eq!(host.sent()[4], 5, "the key just sent comes first");
}

#[test]
fn a_waiting_request_is_refused_with_advice_when_its_latency_target_is_over() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    for id in 0..12 {
        host.submit(request(id));
    }
    host.advance(210_000);
    assert!(
        host.refusal_advice(9).is_some_and(|t| t > 0),
        "its latency target of 200 ms is over, its deadline is not"
    );
    host.checker.assert_no_breach();
}

#[test]
fn a_new_object_goes_to_a_node_that_answers() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0), entry(1, 1)]);
    for id in 0..2 {
        let mut r = request(id);
        r.shard = Some(ShardId(id as u32));
        host.submit(r);
    }
    host.advance(30_000);
    host.answer(0, 0, Outcome::Served);
    host.answer(1, 0, Outcome::Unreachable);
    for id in 10..13 {
        let mut r = request(id);
        r.shard = None;
        host.submit(r);
        assert_eq!(host.checker.in_flight[&(RequestId(id), 0)].0, NodeId(0));
    }
}

#[test]
fn a_silent_node_gets_single_trial_requests() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for id in 0..400 {
        let mut r = request(id);
        r.timeout = 30 * SECOND;
        host.submit(r);
        host.advance(10_000);
    }
    let sent = host.sent().len();
    assert!((6..=12).contains(&sent), "{sent} sent to a node that never answered");
    host.checker.assert_no_breach();
}

#[test]
fn a_retry_is_due_when_the_first_try_was() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    for id in 0..4 {
        host.submit(request(id));
    }
    let mut first = request(20);
    (first.key, first.timeout) = (Some(KeyId(99)), 150_000);
    host.submit(first);
    host.advance(160_000);
    assert!(host.refusal_advice(20).is_some(), "half of its client's time is over");
    host.advance(100_000);
    let mut retry = request(21);
    (retry.key, retry.is_retry) = (Some(KeyId(99)), true);
    host.submit(request(5));
    host.submit(retry);
    assert!(
        host.refusal_advice(21).is_some(),
        "its latency target was over before it came, and another request waits"
    );
    let mut other = request(22);
    other.key = Some(KeyId(98));
    host.submit(other);
    assert!(host.refusal_advice(22).is_none(), "a different request has its own latency target");
}

#[test]
fn a_request_that_the_recent_mean_latency_makes_late_is_refused_at_once() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.submit(request(0));
    host.advance(400_000);
    host.answer(0, 0, Outcome::Served);
    host.submit(request(1));
    assert!(
        host.refusal_advice(1).is_some_and(|advice| advice > 0),
        "the node takes 400 ms, the latency target is 200 ms"
    );
    host.advance(2 * SECOND);
    host.submit(request(2));
    assert_eq!(host.sent(), [0, 2], "a latency measured two seconds ago does not prevent a trial");
}

#[test]
fn only_unsent_requests_are_refused_by_half_of_their_clients_time() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    // Four fill the initial bound and the fifth waits. Their clients wait for less than the latency target.
    for id in 0..5 {
        let mut short = request(id);
        short.timeout = 100_000;
        host.submit(short);
    }
    host.advance(43_000);
    assert!(host.refusal_advice(4).is_none());
    host.advance(2_000);
    assert!(
        host.refusal_advice(4).is_some_and(|advice| advice > 0),
        "it is refused before half of its time is over"
    );
    assert!((0..4).all(|id| host.refusal_advice(id).is_none()));
    host.checker.assert_no_breach();
}

#[test]
fn a_request_that_reached_no_node_is_refused_by_half_of_its_clients_time() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    let mut short = request(0);
    short.timeout = 100_000;
    host.submit(short);
    host.advance(20_000);
    host.answer(0, 0, Outcome::Unreachable);
    // It waits for the end of the node's backoff and would be sent again then; nothing of it was written to a
    // node.
    host.advance(24_000);
    assert!(host.refusal_advice(0).is_some());
    let mut late = request(1);
    late.timeout = 100_000;
    host.advance(SECOND);
    host.submit(late);
    host.advance(60_000);
    assert!(host.refusal_advice(1).is_none(), "its attempt is in flight");
    host.answer(1, 0, Outcome::Unreachable);
    assert!(host.refusal_advice(1).is_some(), "no attempt is in flight, and half of its time is over");
    host.checker.assert_no_breach();
}

#[test]
fn one_reset_causes_no_backoff_and_two_in_a_row_do() {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    host.submit(request(0));
    host.answer(0, 0, Outcome::Reset);
    assert!(host.checker.in_flight.contains_key(&(RequestId(0), 1)), "retried at once");
    host.answer(0, 1, Outcome::Reset);
    assert!(host.checker.in_flight.is_empty(), "the second reset counts against the node");
    // An answer clears the count: the next reset is the first again.
    host.advance(110_000);
    host.answer(0, 2, Outcome::Served);
    host.submit(request(1));
    host.answer(1, 0, Outcome::Reset);
    assert!(host.checker.in_flight.contains_key(&(RequestId(1), 1)));
}
