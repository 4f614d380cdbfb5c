//! Requests that wait for a right, and what becomes of a right that the one it was meant for does not use.

mod common;

use common::*;
use decisions::*;

const ADVICE: Micros = 700_000;

fn host_of(class: Class) -> Host {
    let mut set = settings();
    set.classes = vec![class];
    let mut host = Host::with_nodes(set, &[entry(0, 0)]);
    host.give(Event::AwaitLimit { shard: ShardId(0), most: 64 });
    host
}

fn repeat(id: u64) -> Request {
    Request { retry: true, ..request(id) }
}

/// Guards against a right that nobody uses while requests wait for one: the first of two is withdrawn before it is sent.
#[test]
fn a_right_that_is_left_over_goes_to_the_next_that_waits() {
    let mut h = host_of(class(Repeats::Safe));
    h.allow(0, 0, ADVICE);
    (1..=4).for_each(|id| _ = h.ask(request(id)));
    assert_eq!(h.sent().len(), 4, "the node is full");
    h.ask(repeat(11));
    h.ask(repeat(12));
    h.allow(0, 1, ADVICE);
    h.give(Event::Withdrawn(RequestId(11)));
    (1..=4).for_each(|id| _ = h.answer(id, 0, Outcome::Served));
    h.wait(300_000);
    assert_eq!((h.sent().contains(&12), h.refused(12)), (true, None), "one right is left and it waits");
}

/// Guards against a right that lies idle with one whose volume's limit holds it.
#[test]
fn a_right_does_not_wait_with_one_that_its_volume_holds_back() {
    let mut set = settings();
    set.plans = vec![Plan { limit: 1.0, limit_burst: 1.0, ..plan() }, plan()];
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    h.give(Event::AwaitLimit { shard: ShardId(0), most: 64 });
    h.allow(0, 0, ADVICE);
    h.ask(repeat(1));
    h.ask(Request { plan: 1, volume: VolumeId(2), ..repeat(2) });
    h.allow(0, 1, ADVICE);
    h.wait(300_000);
    assert_eq!(
        (h.sent(), h.refused(2)),
        (vec![2], None),
        "the first waits for its volume, the right is there"
    );
}

/// Guards against work that can never go out again and waits for a right.
#[test]
fn what_may_not_be_repeated_does_not_wait_for_a_right() {
    let mut h = host_of(class(Repeats::Unsafe));
    h.allow(0, 0, ADVICE);
    h.ask(request(1));
    h.answer(1, 0, Outcome::Error);
    assert!(h.failed(1), "no right helps it");
}

/// Guards against one that has no end: an answer that had begun breaks off, and the shard never has a right again.
#[test]
fn one_whose_answer_had_begun_does_not_wait_for_ever() {
    let mut h = host_of(Class { stream: true, ..class(Repeats::Safe) });
    h.allow(0, 0, ADVICE);
    h.ask(request(1));
    h.give(Event::Started { request: RequestId(1), attempt: 0, node: NodeId(0), latency: 1000 });
    h.answer(1, 0, Outcome::Reset);
    h.wait(20 * SECOND);
    assert!(h.refused(1).is_some() || h.failed(1), "it has no answer after twenty seconds");
}
