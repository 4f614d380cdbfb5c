//! The counts of requests that ended unserved, by cause.

mod common;

use common::*;
use decisions::*;

fn retry(id: u64) -> Request {
    Request { is_retry: true, ..request(id) }
}

fn host(class: Class, nodes: &[NodeEntry]) -> Host {
    let mut host_settings = settings();
    host_settings.classes = vec![class];
    Host::with_nodes(host_settings, nodes)
}

fn safe_host() -> Host {
    host(class(Idempotency::Safe), &[entry(0, 0)])
}

fn counted(host: &Host) -> Vec<(Cause, u64)> {
    host.scheduler.unserved().iter().map(|((_, cause), count)| (*cause, *count)).collect()
}

#[test]
fn want_of_a_token_is_counted_with_and_without_waiting_for_one() {
    let mut host = safe_host();
    host.set_retry_tokens(0, 0, SECOND);
    host.submit(retry(1));
    assert_eq!(counted(&host), [(Cause::NoRight, 1)]);
    host.handle(Event::TokenWaitLimit { shard: ShardId(0), max_waiting: 1 });
    host.submit(retry(2));
    host.submit(retry(3));
    assert_eq!(counted(&host), [(Cause::NoRight, 2)], "the third is refused, the second waits");
    host.advance(SECOND);
    assert_eq!(counted(&host), [(Cause::NoRight, 3)]);
}

#[test]
fn a_shard_without_a_node_is_distinguished_from_one_with_a_full_node() {
    let mut host = safe_host();
    host.submit(Request { shard: Some(ShardId(5)), ..request(1) });
    host.advance(SECOND);
    assert_eq!(counted(&host), [(Cause::NoNode, 1)]);
    (10..20).for_each(|id| _ = host.submit(request(id)));
    host.advance(SECOND / 4);
    let unsent = 10 - Host::count_sends(&host.log.iter().map(|(_, a)| a.clone()).collect::<Vec<_>>()) as u64;
    assert_eq!(counted(&host), [(Cause::NoNode, 1), (Cause::NotSentInTime, unsent)]);
}

#[test]
fn a_silent_node_is_distinguished_from_one_that_only_fails() {
    let mut host = safe_host();
    host.submit(request(1));
    host.advance(SECOND + 1);
    assert_eq!(counted(&host), [(Cause::TimeUp, 1)]);
    let mut host = safe_host();
    host.submit(request(2));
    for attempt in 0..4 {
        host.answer(2, attempt, Outcome::Error);
    }
    assert_eq!(counted(&host), [(Cause::NoFurtherAttempt, 1)]);
}

#[test]
fn waiting_behind_another_request_of_the_key_is_counted() {
    let mut host = host(Class { in_order: true, ..class(Idempotency::Safe) }, &[entry(0, 0)]);
    let same_key = |r: Request| Request { key: Some(KeyId(5)), ..r };
    host.submit(same_key(request(1)));
    host.submit(same_key(Request { timeout: SECOND / 10, ..request(2) }));
    host.advance(SECOND / 8);
    assert_eq!(counted(&host), [(Cause::BehindItsKey, 1)]);
}

#[test]
fn a_limit_that_can_never_be_met_is_counted() {
    let mut host_settings = settings();
    host_settings.plans = vec![Plan { limit: 1.0, limit_burst: 1.0, ..plan() }];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.submit(Request { units: 5.0, ..request(1) });
    assert_eq!(counted(&host), [(Cause::NoUse, 1)]);
}

#[test]
fn a_late_retry_without_spare_capacity_is_counted() {
    let mut host = safe_host();
    // The node answers at twice the latency target, so that the law admits nothing beyond the shares.
    for id in 1..=8 {
        host.submit(Request { timeout: 3 * SECOND, ..request(id) });
    }
    host.advance(400_000);
    for id in 1..=4 {
        host.answer(id, 0, Outcome::Served);
    }
    host.submit(Request { is_retry: true, ..request(5) });
    let causes = counted(&host);
    assert!(causes.contains(&(Cause::NoSpareRoom, 1)), "{causes:?}");
}
