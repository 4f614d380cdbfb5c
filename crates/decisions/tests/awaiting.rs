//! `Event::AwaitLimit`: requests that wait for a right while their shard has none left.

mod common;

use common::*;
use decisions::*;

const ADVICE: Micros = 700_000;
const LATER: Micros = 900_000;

/// Nothing is allowed at shard 0, and so many may wait for a right.
fn host_where(most: u32) -> Host {
    host_of(class(Repeats::Safe), most)
}

fn host_of(class: Class, most: u32) -> Host {
    let mut set = settings();
    set.classes = vec![class];
    let mut host = Host::with_nodes(set, &[entry(0, 0), entry(1, 1)]);
    limit(&mut host, most);
    host.allow(0, 0, ADVICE);
    host
}

fn limit(host: &mut Host, most: u32) {
    host.give(Event::AwaitLimit { shard: ShardId(0), most });
}

fn repeat(id: u64) -> Request {
    Request { retry: true, ..request(id) }
}

fn waiting(host: &mut Host) -> Vec<(ShardId, u32)> {
    host.scheduler.take_shortages().into_iter().map(|s| (s.shard, s.waiting)).collect()
}

/// Guards against refusals a moment before there are rights.
#[test]
fn a_repeat_that_finds_no_right_waits_and_goes_out_with_the_next_one() {
    let mut h = host_where(4);
    for id in 1..=3 {
        assert!(h.ask(repeat(id)).iter().all(|a| matches!(a, Action::SetTimer { .. })));
    }
    assert_eq!(waiting(&mut h), [(ShardId(0), 3)]);
    h.wait(5000);
    assert_eq!(Host::sends(&h.allow(0, 2, ADVICE)), 2);
    assert_eq!(h.sent(), [1, 2], "in order of arrival");
    assert_eq!(waiting(&mut h), [(ShardId(0), 1)]);
    assert_eq!(Host::sends(&h.allow(0, 1, ADVICE)), 1);
    assert_eq!((h.sent(), waiting(&mut h)), (vec![1, 2, 3], vec![(ShardId(0), 0)]));
    h.checker.assert_clean();
}

#[test]
fn a_further_attempt_waits_as_well() {
    let mut h = host_where(4);
    assert_eq!(Host::sends(&h.ask(request(1))), 1);
    assert_eq!(Host::sends(&h.answer(1, 0, Outcome::Error)), 0);
    assert_eq!((h.refused(1), waiting(&mut h)), (None, vec![(ShardId(0), 1)]));
    assert_eq!(Host::sends(&h.allow(0, 1, ADVICE)), 1);
    h.answer(1, 1, Outcome::Served);
    h.checker.assert_clean();
}

#[test]
fn no_more_wait_than_may_and_the_rest_is_answered_at_once() {
    let mut h = host_where(2);
    for id in 1..=2000 {
        h.ask(repeat(id));
    }
    let refused = (1..=2000).filter(|&id| h.refused(id) == Some(ADVICE)).count();
    assert_eq!((refused, h.refused(1), h.refused(2)), (1998, None, None));
    assert_eq!(waiting(&mut h), [(ShardId(0), 2)]);
    assert!(h.sent().is_empty());
}

#[test]
fn a_lower_limit_answers_those_beyond_it_with_the_advice_that_comes_with_it() {
    let mut h = host_where(4);
    (1..=4).for_each(|id| _ = h.ask(repeat(id)));
    limit(&mut h, 1);
    let refuse = |id| Action::Refuse { request: RequestId(id), come_back: LATER };
    assert_eq!(h.allow(0, 0, LATER), [refuse(4), refuse(3), refuse(2)]);
    assert_eq!(waiting(&mut h), [(ShardId(0), 1)]);
}

/// Guards against repeats that hold up what needs no right.
#[test]
fn what_needs_no_right_never_waits_behind_those_that_do() {
    let sent = |repeats: u64| {
        let mut h = host_where(200);
        let line = |r: Request| Request { key: Some(KeyId(7)), ..r };
        (1..=repeats).for_each(|id| _ = h.ask(line(repeat(id))));
        // Longer than a queue waits well within the aim.
        h.wait(150_000);
        (1001..=1008).for_each(|id| _ = h.ask(line(request(id))));
        h.wait(1000);
        h.answer(1001, 0, Outcome::Served);
        assert_eq!(h.scheduler.take_shortages().len(), usize::from(repeats > 0));
        h.sent()
    };
    assert_eq!(sent(200), sent(0));
    assert!(sent(0).starts_with(&[1001, 1002, 1003, 1004, 1005]));
}

#[test]
fn what_waits_in_vain_is_answered_in_its_time_with_the_advice() {
    let mut h = host_where(4);
    h.ask(repeat(1));
    h.wait(199_000);
    assert_eq!(h.refused(1), None);
    h.wait(2000);
    assert_eq!(h.refused(1), Some(ADVICE), "its aim is over");
    assert_eq!(waiting(&mut h), [(ShardId(0), 0)]);
    h.ask(Request { patience: 80_000, ..repeat(2) });
    h.wait(36_000);
    assert_eq!(h.refused(2), Some(ADVICE), "nearly half of its client's time is over");
    h.checker.assert_clean();
}

#[test]
fn one_in_order_does_not_wait_as_its_line_would() {
    let mut h = host_of(Class { in_order: true, ..class(Repeats::Safe) }, 4);
    let line = |r: Request| Request { key: Some(KeyId(5)), ..r };
    h.ask(line(repeat(1)));
    assert_eq!(h.refused(1), Some(ADVICE));
    h.ask(line(request(2)));
    assert_eq!(h.sent(), [2]);
}

#[test]
fn one_that_is_withdrawn_waits_no_longer() {
    let mut h = host_where(4);
    h.ask(repeat(1));
    h.ask(repeat(2));
    assert_eq!(waiting(&mut h), [(ShardId(0), 2)]);
    h.give(Event::Withdrawn(RequestId(1)));
    assert_eq!(waiting(&mut h), [(ShardId(0), 1)]);
    h.allow(0, 5, ADVICE);
    assert_eq!(h.sent(), [2]);
}

#[test]
fn what_is_worth_most_goes_first() {
    let mut set = settings();
    set.classes = vec![class(Repeats::Safe), Class { worth: 8.0, ..class(Repeats::Safe) }];
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    limit(&mut h, 3);
    h.allow(0, 0, ADVICE);
    h.ask(repeat(1));
    h.ask(repeat(2));
    h.ask(Request { class: 1, ..repeat(3) });
    h.ask(Request { class: 1, ..repeat(4) });
    assert_eq!(h.refused(2), Some(ADVICE), "it had the last turn");
    let shortage = h.scheduler.take_shortages();
    assert_eq!(shortage, [Shortage { shard: ShardId(0), waiting: 3, worth: 8.0 }]);
    h.allow(0, 2, ADVICE);
    assert_eq!(h.sent(), [3, 4]);
}

#[test]
fn those_that_wait_go_out_by_the_nodes_bound() {
    let mut h = host_where(64);
    (1..=64).for_each(|id| _ = h.ask(repeat(id)));
    h.allow(0, 64, ADVICE);
    assert_eq!(h.sent().len(), 4, "the bound of a fresh node is four");
    h.answer(1, 0, Outcome::Served);
    assert!(h.sent().len() > 4);
    h.checker.assert_clean();
}
