//! What waits, in which order, and what is turned away early.

mod common;
use common::*;
use decisions::*;

#[test]
fn units_inside_the_reserve_go_before_the_rest() {
    let mut set = settings();
    set.plans.push(Plan { reserve: 0.0, ..plan() });
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    let ask = |h: &mut Host, id: u64, plan: usize| {
        let mut r = request(id);
        (r.plan, r.volume) = (plan, VolumeId(plan as u64));
        h.ask(r);
    };
    for id in 0..4 {
        ask(&mut h, id, 0);
    }
    ask(&mut h, 10, 1);
    ask(&mut h, 11, 0);
    h.wait(50_000);
    h.answer(0, 0, Outcome::Served);
    assert_eq!(h.sent()[4], 11);
}

#[test]
fn a_surging_volume_does_not_displace_one_within_its_share() {
    let mut set = settings();
    set.plans[0].reserve = 0.0;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    let mut id = 0;
    // The node serves about twenty units a second, so that its power is known.
    for _ in 0..40 {
        h.ask(request(id));
        h.wait(50_000);
        h.answer(id, 0, Outcome::Served);
        id += 1;
    }
    for _ in 0..60 {
        h.ask(request(id));
        id += 1;
    }
    let mut small = request(1000);
    small.volume = VolumeId(2);
    h.ask(small);
    let first = *h.checker.out.keys().next().expect("something is out");
    h.wait(20_000);
    h.answer(first.0.0, first.1, Outcome::Served);
    assert!(h.sent().contains(&1000));
}

#[test]
fn runs_on_one_key_are_sent_together() {
    let mut set = settings();
    set.plans[0].reserve = 1e6;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    for (id, key) in [(0, 1), (1, 2), (2, 3), (3, 50), (4, 60), (5, 50)] {
        let mut r = request(id);
        r.key = Some(KeyId(key));
        h.ask(r);
    }
    h.wait(50_000);
    h.answer(0, 0, Outcome::Served);
    assert_eq!(h.sent()[4], 5, "the key just sent comes first");
}

#[test]
fn what_is_late_with_others_waiting_is_refused_at_once_with_advice() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    for id in 0..12 {
        h.ask(request(id));
    }
    h.wait(210_000);
    assert!(h.refused(9).is_some_and(|t| t > 0), "its aim of 200 ms is over, its deadline is not");
    h.checker.assert_clean();
}

#[test]
fn a_new_object_goes_where_the_node_answers() {
    let mut set = settings();
    set.plans[0].reserve = 1e6;
    let mut h = Host::with_nodes(set, &[entry(0, 0), entry(1, 1)]);
    for id in 0..2 {
        let mut r = request(id);
        r.shard = Some(ShardId(id as u32));
        h.ask(r);
    }
    h.wait(30_000);
    h.answer(0, 0, Outcome::Served);
    h.answer(1, 0, Outcome::Unreachable);
    for id in 10..13 {
        let mut r = request(id);
        r.shard = None;
        h.ask(r);
        assert_eq!(h.checker.out[&(RequestId(id), 0)].0, NodeId(0));
    }
}

#[test]
fn a_silent_node_gets_single_trials() {
    let mut set = settings();
    set.plans[0].reserve = 1e6;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    for id in 0..400 {
        let mut r = request(id);
        r.patience = 30 * SECOND;
        h.ask(r);
        h.wait(10_000);
    }
    let sent = h.sent().len();
    assert!((6..=12).contains(&sent), "{sent} sent to a node that never answered");
    h.checker.assert_clean();
}

#[test]
fn a_repeat_is_due_when_the_first_try_was() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    for id in 0..4 {
        h.ask(request(id));
    }
    let mut first = request(20);
    (first.key, first.patience) = (Some(KeyId(99)), 150_000);
    h.ask(first);
    h.wait(160_000);
    assert!(h.refused(20).is_some(), "given up on");
    h.wait(100_000);
    let mut again = request(21);
    (again.key, again.retry) = (Some(KeyId(99)), true);
    h.ask(request(5));
    h.ask(again);
    assert!(h.refused(21).is_some(), "its aim was over before it came, and another one waits");
    let mut other = request(22);
    other.key = Some(KeyId(98));
    h.ask(other);
    assert!(h.refused(22).is_none(), "a request of its own has its own aim");
}

#[test]
fn what_the_mean_latency_makes_late_is_refused_at_once_while_the_mean_is_fresh() {
    let mut set = settings();
    set.plans[0].reserve = 1e6;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    h.ask(request(0));
    h.wait(400_000);
    h.answer(0, 0, Outcome::Served);
    h.ask(request(1));
    assert!(h.refused(1).is_some_and(|advice| advice > 0), "the node takes 400 ms, the aim is 200 ms");
    h.wait(2 * SECOND);
    h.ask(request(2));
    assert_eq!(h.sent(), [0, 2], "what was measured two seconds ago bars no trial");
}

#[test]
fn what_is_not_sent_by_half_of_its_clients_time_is_refused_then_and_what_is_sent_is_not() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    // Four fill the fresh bound; the fifth waits. Their clients give them less than the aim.
    for id in 0..5 {
        let mut short = request(id);
        short.patience = 100_000;
        h.ask(short);
    }
    h.wait(43_000);
    assert!(h.refused(4).is_none());
    h.wait(2_000);
    assert!(
        h.refused(4).is_some_and(|advice| advice > 0),
        "its answer is there before half of its time is over"
    );
    assert!((0..4).all(|id| h.refused(id).is_none()));
    h.checker.assert_clean();
}

#[test]
fn what_reached_no_node_by_half_of_its_clients_time_is_refused_then() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    let mut short = request(0);
    short.patience = 100_000;
    h.ask(short);
    h.wait(20_000);
    h.answer(0, 0, Outcome::Unreachable);
    // It waits out the node's pause, and would be sent again after that; nothing of it is at a node.
    h.wait(24_000);
    assert!(h.refused(0).is_some());
    let mut late = request(1);
    late.patience = 100_000;
    h.wait(SECOND);
    h.ask(late);
    h.wait(60_000);
    assert!(h.refused(1).is_none(), "it is on its way");
    h.answer(1, 0, Outcome::Unreachable);
    assert!(h.refused(1).is_some(), "it is not, and half of its time is over");
    h.checker.assert_clean();
}

#[test]
fn one_broken_connection_brings_no_pause_and_two_in_a_row_do() {
    let mut h = Host::with_nodes(settings(), &[entry(0, 0)]);
    h.ask(request(0));
    h.answer(0, 0, Outcome::Reset);
    assert!(h.checker.out.contains_key(&(RequestId(0), 1)), "tried again at once");
    h.answer(0, 1, Outcome::Reset);
    assert!(h.checker.out.is_empty(), "the second one counts against the node");
    // An answer clears it: the next break is the first one again.
    h.wait(110_000);
    h.answer(0, 2, Outcome::Served);
    h.ask(request(1));
    h.answer(1, 0, Outcome::Reset);
    assert!(h.checker.out.contains_key(&(RequestId(1), 1)));
}
