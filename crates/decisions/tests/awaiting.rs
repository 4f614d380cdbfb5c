//! `Event::TokenWaitLimit`: requests that wait for a retry token while their shard has none left.

mod common;

use common::*;
use decisions::*;

const ADVICE: Micros = 700_000;
const LATER_ADVICE: Micros = 900_000;

/// A host without tokens at shard 0, where `limit` requests may wait for one.
fn host_with_limit(limit: u32) -> Host {
    host_of(class(Idempotency::Safe), limit)
}

fn host_of(class: Class, limit: u32) -> Host {
    let mut host_settings = settings();
    host_settings.classes = vec![class];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0), entry(1, 1)]);
    set_limit(&mut host, limit);
    host.set_retry_tokens(0, 0, ADVICE);
    host
}

fn set_limit(host: &mut Host, limit: u32) {
    host.handle(Event::TokenWaitLimit { shard: ShardId(0), max_waiting: limit });
}

fn retry(id: u64) -> Request {
    Request { is_retry: true, ..request(id) }
}

fn waiting(host: &mut Host) -> Vec<(ShardId, u32)> {
    host.scheduler.take_token_shortages().into_iter().map(|s| (s.shard, s.waiting)).collect()
}

/// Guards against refusals just before there are tokens.
#[test]
fn a_retry_without_a_token_waits_and_is_sent_with_the_next_token() {
    let mut host = host_with_limit(4);
    for id in 1..=3 {
        assert!(host.submit(retry(id)).iter().all(|a| matches!(a, Action::SetTimer { .. })));
    }
    assert_eq!(waiting(&mut host), [(ShardId(0), 3)]);
    host.advance(5000);
    assert_eq!(Host::count_sends(&host.set_retry_tokens(0, 2, ADVICE)), 2);
    assert_eq!(host.sent(), [1, 2], "in order of arrival");
    assert_eq!(waiting(&mut host), [(ShardId(0), 1)]);
    assert_eq!(Host::count_sends(&host.set_retry_tokens(0, 1, ADVICE)), 1);
    assert_eq!((host.sent(), waiting(&mut host)), (vec![1, 2, 3], vec![(ShardId(0), 0)]));
    host.checker.assert_no_breach();
}

#[test]
fn a_retry_by_the_host_waits_as_well() {
    let mut host = host_with_limit(4);
    assert_eq!(Host::count_sends(&host.submit(request(1))), 1);
    assert_eq!(Host::count_sends(&host.answer(1, 0, Outcome::Error)), 0);
    assert_eq!((host.refusal_advice(1), waiting(&mut host)), (None, vec![(ShardId(0), 1)]));
    assert_eq!(Host::count_sends(&host.set_retry_tokens(0, 1, ADVICE)), 1);
    host.answer(1, 1, Outcome::Served);
    host.checker.assert_no_breach();
}

#[test]
fn requests_beyond_the_limit_are_refused_at_once() {
    let mut host = host_with_limit(2);
    for id in 1..=2000 {
        host.submit(retry(id));
    }
    let refused = (1..=2000).filter(|&id| host.refusal_advice(id) == Some(ADVICE)).count();
    assert_eq!((refused, host.refusal_advice(1), host.refusal_advice(2)), (1998, None, None));
    assert_eq!(waiting(&mut host), [(ShardId(0), 2)]);
    assert!(host.sent().is_empty());
}

#[test]
fn a_lower_limit_refuses_those_beyond_it_with_the_new_advice() {
    let mut host = host_with_limit(4);
    (1..=4).for_each(|id| _ = host.submit(retry(id)));
    set_limit(&mut host, 1);
    let refuse = |id| Action::Refuse { request: RequestId(id), retry_after: LATER_ADVICE };
    assert_eq!(host.set_retry_tokens(0, 0, LATER_ADVICE), [refuse(4), refuse(3), refuse(2)]);
    assert_eq!(waiting(&mut host), [(ShardId(0), 1)]);
}

/// Guards against retries that delay requests which need no token.
#[test]
fn a_request_that_needs_no_token_never_waits_behind_retries() {
    let sent = |retries: u64| {
        let mut host = host_with_limit(200);
        let same_key = |r: Request| Request { key: Some(KeyId(7)), ..r };
        (1..=retries).for_each(|id| _ = host.submit(same_key(retry(id))));
        // Longer than a request may wait before its queue counts as congested.
        host.advance(150_000);
        (1001..=1008).for_each(|id| _ = host.submit(same_key(request(id))));
        host.advance(1000);
        host.answer(1001, 0, Outcome::Served);
        assert_eq!(host.scheduler.take_token_shortages().len(), usize::from(retries > 0));
        host.sent()
    };
    assert_eq!(sent(200), sent(0));
    assert!(sent(0).starts_with(&[1001, 1002, 1003, 1004, 1005]));
}

#[test]
fn a_request_that_waits_in_vain_is_refused_in_time_with_the_advice() {
    let mut host = host_with_limit(4);
    host.submit(retry(1));
    host.advance(199_000);
    assert_eq!(host.refusal_advice(1), None);
    host.advance(2000);
    assert_eq!(host.refusal_advice(1), Some(ADVICE), "its latency target is over");
    assert_eq!(waiting(&mut host), [(ShardId(0), 0)]);
    host.submit(Request { timeout: 80_000, ..retry(2) });
    host.advance(36_000);
    assert_eq!(host.refusal_advice(2), Some(ADVICE), "nearly half of its client's time is over");
    host.checker.assert_no_breach();
}

#[test]
fn a_request_in_order_does_not_wait_as_its_key_would_wait_too() {
    let mut host = host_of(Class { in_order: true, ..class(Idempotency::Safe) }, 4);
    let same_key = |r: Request| Request { key: Some(KeyId(5)), ..r };
    host.submit(same_key(retry(1)));
    assert_eq!(host.refusal_advice(1), Some(ADVICE));
    host.submit(same_key(request(2)));
    assert_eq!(host.sent(), [2]);
}

#[test]
fn a_withdrawn_request_stops_waiting() {
    let mut host = host_with_limit(4);
    host.submit(retry(1));
    host.submit(retry(2));
    assert_eq!(waiting(&mut host), [(ShardId(0), 2)]);
    host.handle(Event::Withdrawn(RequestId(1)));
    assert_eq!(waiting(&mut host), [(ShardId(0), 1)]);
    host.set_retry_tokens(0, 5, ADVICE);
    assert_eq!(host.sent(), [2]);
}

#[test]
fn the_request_of_most_worth_gets_the_first_token() {
    let mut host_settings = settings();
    host_settings.classes = vec![class(Idempotency::Safe), Class { worth: 8.0, ..class(Idempotency::Safe) }];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    set_limit(&mut host, 3);
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(retry(1));
    host.submit(retry(2));
    host.submit(Request { class: 1, ..retry(3) });
    host.submit(Request { class: 1, ..retry(4) });
    assert_eq!(host.refusal_advice(2), Some(ADVICE), "it was last in order");
    let shortage = host.scheduler.take_token_shortages();
    assert_eq!(shortage, [TokenShortage { shard: ShardId(0), waiting: 3, worth: 8.0 }]);
    host.set_retry_tokens(0, 2, ADVICE);
    assert_eq!(host.sent(), [3, 4]);
}

#[test]
fn waiting_requests_are_sent_within_the_bound_of_the_node() {
    let mut host = host_with_limit(64);
    (1..=64).for_each(|id| _ = host.submit(retry(id)));
    host.set_retry_tokens(0, 64, ADVICE);
    assert_eq!(host.sent().len(), 4, "the initial bound is four");
    host.answer(1, 0, Outcome::Served);
    assert!(host.sent().len() > 4);
    host.checker.assert_no_breach();
}
