//! How requests stop waiting for a retry token, and who gets a token that its first candidate does not use.

mod common;

use common::*;
use decisions::*;

const ADVICE: Micros = 700_000;

fn host_of(class: Class) -> Host {
    let mut host_settings = settings();
    host_settings.classes = vec![class];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.handle(Event::TokenWaitLimit { shard: ShardId(0), max_waiting: 64 });
    host
}

fn retry(id: u64) -> Request {
    Request { is_retry: true, ..request(id) }
}

/// Guards against a token that stays unused while requests wait for one: the first of two is withdrawn before
/// it is sent.
#[test]
fn an_unused_token_goes_to_the_next_waiting_request() {
    let mut host = host_of(class(Idempotency::Safe));
    host.set_retry_tokens(0, 0, ADVICE);
    (1..=4).for_each(|id| _ = host.submit(request(id)));
    assert_eq!(host.sent().len(), 4, "the node is full");
    host.submit(retry(11));
    host.submit(retry(12));
    host.set_retry_tokens(0, 1, ADVICE);
    host.handle(Event::Withdrawn(RequestId(11)));
    (1..=4).for_each(|id| _ = host.answer(id, 0, Outcome::Served));
    host.advance(300_000);
    assert_eq!(
        (host.sent().contains(&12), host.refusal_advice(12)),
        (true, None),
        "request 12 waits and one token is left"
    );
}

/// Guards against a token that is blocked by a request which its volume's limit holds back.
#[test]
fn a_token_does_not_wait_for_a_request_that_its_limit_holds_back() {
    let mut host_settings = settings();
    host_settings.plans = vec![Plan { limit: 1.0, limit_burst: 1.0, ..plan() }, plan()];
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    host.handle(Event::TokenWaitLimit { shard: ShardId(0), max_waiting: 64 });
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(retry(1));
    host.submit(Request { plan: 1, volume: VolumeId(2), ..retry(2) });
    host.set_retry_tokens(0, 1, ADVICE);
    host.advance(300_000);
    assert_eq!(
        (host.sent(), host.refusal_advice(2)),
        (vec![2], None),
        "the first waits for its volume's limit, and the token is there"
    );
}

/// Guards against a request that waits for a token although it can never be sent again.
#[test]
fn a_request_that_must_not_run_twice_does_not_wait_for_a_token() {
    let mut host = host_of(class(Idempotency::Unsafe));
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(request(1));
    host.answer(1, 0, Outcome::Error);
    assert!(host.failed(1), "no token would help it");
}

/// Guards against a request without end: its answer had begun when the connection was lost, and the shard
/// never has a token again.
#[test]
fn a_request_whose_answer_had_begun_does_not_wait_for_ever() {
    let mut host = host_of(Class { stream: true, ..class(Idempotency::Safe) });
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(request(1));
    host.handle(Event::AnswerStarted { request: RequestId(1), attempt: 0, node: NodeId(0), latency: 1000 });
    host.answer(1, 0, Outcome::Reset);
    host.advance(20 * SECOND);
    assert!(host.refusal_advice(1).is_some() || host.failed(1), "it has no answer after twenty seconds");
}
