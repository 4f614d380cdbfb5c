//! Why requests end unserved, as it is counted for operators.

mod common;

use common::*;
use decisions::*;

fn repeat(id: u64) -> Request {
    Request { retry: true, ..request(id) }
}

fn host(class: Class, nodes: &[NodeEntry]) -> Host {
    let mut set = settings();
    set.classes = vec![class];
    Host::with_nodes(set, nodes)
}

fn safe_host() -> Host {
    host(class(Repeats::Safe), &[entry(0, 0)])
}

fn counted(host: &Host) -> Vec<(Cause, u64)> {
    host.scheduler.unserved().iter().map(|((_, cause), count)| (*cause, *count)).collect()
}

#[test]
fn want_of_a_right_is_told_whether_it_was_waited_for_or_not() {
    let mut h = safe_host();
    h.allow(0, 0, SECOND);
    h.ask(repeat(1));
    assert_eq!(counted(&h), [(Cause::NoRight, 1)]);
    h.give(Event::AwaitLimit { shard: ShardId(0), most: 1 });
    h.ask(repeat(2));
    h.ask(repeat(3));
    assert_eq!(counted(&h), [(Cause::NoRight, 2)], "the third is refused, the second waits");
    h.wait(SECOND);
    assert_eq!(counted(&h), [(Cause::NoRight, 3)]);
}

#[test]
fn a_shard_without_a_node_is_told_from_one_whose_node_is_full() {
    let mut h = safe_host();
    h.ask(Request { shard: Some(ShardId(5)), ..request(1) });
    h.wait(SECOND);
    assert_eq!(counted(&h), [(Cause::NoNode, 1)]);
    (10..20).for_each(|id| _ = h.ask(request(id)));
    h.wait(SECOND / 4);
    let held = 10 - Host::sends(&h.log.iter().map(|(_, a)| a.clone()).collect::<Vec<_>>()) as u64;
    assert_eq!(counted(&h), [(Cause::NoNode, 1), (Cause::NotSentInTime, held)]);
}

#[test]
fn a_silent_node_and_one_that_only_fails_are_told_apart() {
    let mut h = safe_host();
    h.ask(request(1));
    h.wait(SECOND + 1);
    assert_eq!(counted(&h), [(Cause::TimeUp, 1)]);
    let mut h = safe_host();
    h.ask(request(2));
    for attempt in 0..4 {
        h.answer(2, attempt, Outcome::Error);
    }
    assert_eq!(counted(&h), [(Cause::NoFurtherAttempt, 1)]);
}

#[test]
fn what_waits_for_the_one_before_it_on_its_key_is_told() {
    let mut h = host(Class { in_order: true, ..class(Repeats::Safe) }, &[entry(0, 0)]);
    let line = |r: Request| Request { key: Some(KeyId(5)), ..r };
    h.ask(line(request(1)));
    h.ask(line(Request { patience: SECOND / 10, ..request(2) }));
    h.wait(SECOND / 8);
    assert_eq!(counted(&h), [(Cause::BehindItsKey, 1)]);
}

#[test]
fn a_limit_that_could_never_be_met_is_told() {
    let mut set = settings();
    set.plans = vec![Plan { limit: 1.0, limit_burst: 1.0, ..plan() }];
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    h.ask(Request { units: 5.0, ..request(1) });
    assert_eq!(counted(&h), [(Cause::NoUse, 1)]);
}

#[test]
fn a_repeat_after_its_aim_that_finds_no_spare_room_is_told() {
    let mut h = safe_host();
    // The node's law gives nothing beyond the shares: what it holds is answered at twice the aim.
    for id in 1..=8 {
        h.ask(Request { patience: 3 * SECOND, ..request(id) });
    }
    h.wait(400_000);
    for id in 1..=4 {
        h.answer(id, 0, Outcome::Served);
    }
    h.ask(Request { retry: true, ..request(5) });
    let causes = counted(&h);
    assert!(causes.contains(&(Cause::NoSpareRoom, 1)), "{causes:?}");
}
