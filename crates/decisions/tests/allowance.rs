//! `Event::RetryAllowance`: retries use the shard's tokens, and those without one are refused.

mod common;
use std::collections::BTreeMap;

use common::*;
use decisions::*;
use proptest::prelude::*;

const ADVICE: Micros = 700_000;

fn host() -> Host {
    Host::with_nodes(settings(), &[entry(0, 0), entry(1, 1)])
}

fn host_of(class: Class) -> Host {
    let mut host_settings = settings();
    host_settings.classes = vec![class];
    Host::with_nodes(host_settings, &[entry(0, 0), entry(1, 1)])
}

fn retry(id: u64) -> Request {
    Request { is_retry: true, ..request(id) }
}

#[test]
fn a_shard_without_an_allowance_is_unlimited() {
    let mut host = host();
    assert_eq!(Host::count_sends(&host.submit(retry(1))), 1);
    for attempt in 0..3 {
        assert_eq!(Host::count_sends(&host.answer(1, attempt, Outcome::Error)), 1);
    }
    host.checker.assert_no_breach();
}

#[test]
fn without_tokens_a_request_is_refused_after_its_first_attempt_fails() {
    let mut host = host();
    host.set_retry_tokens(0, 0, ADVICE);
    assert_eq!(Host::count_sends(&host.submit(request(1))), 1, "a first attempt uses no token");
    assert_eq!(
        host.answer(1, 0, Outcome::Error),
        [Action::Refuse { request: RequestId(1), retry_after: ADVICE }]
    );
    assert_eq!(Host::count_sends(&host.submit(request(2))), 1);
    assert_eq!(Host::count_sends(&host.answer(2, 0, Outcome::Served)), 0);
    host.checker.assert_no_breach();
}

#[test]
fn the_advice_is_capped_by_the_settings() {
    let mut host = host();
    host.set_retry_tokens(0, 0, 5 * SECOND);
    host.submit(retry(1));
    assert_eq!(host.refusal_advice(1), Some(SECOND));
    host.set_retry_tokens(0, 0, -1);
    host.submit(retry(2));
    assert_eq!(
        host.refusal_advice(2),
        Some(50_000),
        "a quarter of the latency target, as without any advice"
    );
}

#[test]
fn a_request_that_may_have_run_fails_and_one_that_never_ran_is_refused() {
    let mut host = host_of(class(Idempotency::Keyed { scope: DedupScope::Shard, window: 2 * SECOND }));
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(request(1));
    host.answer(1, 0, Outcome::Error);
    assert!(host.failed(1));
    host.submit(request(2));
    host.answer(2, 0, Outcome::Full);
    assert_eq!(host.refusal_advice(2), Some(ADVICE));
    host.checker.assert_no_breach();
}

#[test]
fn as_many_retries_are_sent_as_there_are_tokens() {
    let mut host = host();
    host.set_retry_tokens(0, 2, ADVICE);
    for id in 1..=4 {
        assert_eq!(Host::count_sends(&host.submit(request(id))), 1);
    }
    assert_eq!(Host::count_sends(&host.answer(1, 0, Outcome::Error)), 1);
    assert_eq!(Host::count_sends(&host.answer(2, 0, Outcome::Error)), 1);
    for id in [3, 4] {
        assert_eq!(Host::count_sends(&host.answer(id, 0, Outcome::Error)), 0);
        assert_eq!(host.refusal_advice(id), Some(ADVICE));
    }
    assert_eq!((host.refusal_advice(1), host.refusal_advice(2)), (None, None));
    assert_eq!(host.sent(), [1, 2, 3, 4, 1, 2]);
    host.checker.assert_no_breach();
}

#[test]
fn the_first_attempt_of_a_marked_retry_uses_a_token() {
    let mut host = host();
    host.set_retry_tokens(0, 1, ADVICE);
    assert_eq!(Host::count_sends(&host.submit(retry(1))), 1);
    assert_eq!(host.submit(retry(2))[..1], [Action::Refuse { request: RequestId(2), retry_after: ADVICE }]);
    assert_eq!(Host::count_sends(&host.submit(request(3))), 1);
    // New tokens let retries go on. They replace those left and are not added to them.
    host.set_retry_tokens(0, 2, ADVICE);
    host.set_retry_tokens(0, 1, ADVICE);
    assert_eq!(Host::count_sends(&host.submit(retry(4))), 1);
    assert_eq!(Host::count_sends(&host.submit(retry(5))), 0);
    assert_eq!(host.refusal_advice(5), Some(ADVICE));
    host.checker.assert_no_breach();
}

#[test]
fn each_shard_has_its_own_tokens() {
    let mut host = host();
    host.set_retry_tokens(0, 0, ADVICE);
    let at_shard_1 = |id| Request { shard: Some(ShardId(1)), ..retry(id) };
    assert_eq!(Host::count_sends(&host.submit(at_shard_1(1))), 1);
    assert_eq!(Host::count_sends(&host.answer(1, 0, Outcome::Error)), 1);
    host.set_retry_tokens(1, 1, ADVICE);
    host.set_retry_tokens(0, 7, ADVICE);
    assert_eq!(Host::count_sends(&host.submit(at_shard_1(2))), 1);
    host.submit(at_shard_1(3));
    assert_eq!(host.refusal_advice(3), Some(ADVICE));
    host.checker.assert_no_breach();
}

#[test]
fn waiting_retries_are_refused_when_the_last_token_is_used() {
    let mut host = host();
    host.set_retry_tokens(0, 3, ADVICE);
    for id in 1..=4 {
        assert_eq!(Host::count_sends(&host.submit(request(id))), 1, "the initial bound is four");
    }
    for id in 5..=7 {
        assert_eq!(Host::count_sends(&host.submit(retry(id))), 0);
    }
    host.submit(request(8));
    assert!(host.set_retry_tokens(0, 1, ADVICE).is_empty(), "one token is left, and the node is full");
    let actions = host.answer(1, 0, Outcome::Served);
    let answers = actions.iter().filter(|a| matches!(a, Action::Refuse { retry_after: ADVICE, .. })).count();
    assert_eq!(answers, 2, "{actions:?}");
    assert_eq!(host.sent(), [1, 2, 3, 4, 5, 8], "the request that needs no token has kept waiting");
    host.checker.assert_no_breach();
}

#[test]
fn waiting_retries_are_refused_when_their_tokens_are_withdrawn() {
    let mut host = host();
    host.set_retry_tokens(0, 3, ADVICE);
    for id in 1..=4 {
        host.submit(request(id));
    }
    host.submit(retry(5));
    host.submit(request(6));
    assert_eq!(
        host.set_retry_tokens(0, 0, ADVICE),
        [Action::Refuse { request: RequestId(5), retry_after: ADVICE }]
    );
    assert_eq!(host.refusal_advice(6), None);
    host.answer(1, 0, Outcome::Served);
    assert_eq!(host.sent(), [1, 2, 3, 4, 6]);
    host.checker.assert_no_breach();
}

#[test]
fn a_key_in_order_continues_after_a_refusal() {
    let mut host = host_of(Class { in_order: true, ..class(Idempotency::Safe) });
    let same_key = |r: Request| Request { key: Some(KeyId(5)), ..r };
    host.set_retry_tokens(0, 0, ADVICE);
    for r in [request(1), request(2), retry(3), request(4)] {
        host.submit(same_key(r));
    }
    assert_eq!(host.sent(), [1]);
    host.answer(1, 0, Outcome::Error);
    assert_eq!((host.refusal_advice(1), host.sent()), (Some(ADVICE), vec![1, 2]));
    host.answer(2, 0, Outcome::Served);
    assert_eq!((host.refusal_advice(3), host.sent()), (Some(ADVICE), vec![1, 2, 4]));
    host.checker.assert_no_breach();
}

/// After each refusal the next request of the key is examined, and refused too. Guards against a stack
/// overflow by recursion, and against requests left without an answer, when thousands of refusals follow one
/// another.
#[test]
fn many_retries_of_one_key_are_all_refused_within_one_event() {
    const RETRIES: u64 = 3000;
    let mut host = host_of(Class { in_order: true, ..class(Idempotency::Safe) });
    let same_key = |r: Request| Request { key: Some(KeyId(5)), ..r };
    host.set_retry_tokens(0, 0, ADVICE);
    host.submit(same_key(request(0)));
    for id in 1..=RETRIES {
        host.submit(same_key(retry(id)));
    }
    let actions = host.answer(0, 0, Outcome::Served);
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert_eq!(refused as u64, RETRIES);
    assert!(host.checker.open.is_empty());
}

/// An allowance (shard and tokens), and how many actions there were before it.
type RecordedAllowance = (usize, ShardId, u32);

/// Attempts beyond the allowances, counted from the actions alone.
fn attempts_without_token(host: &Host, allowances: &[RecordedAllowance]) -> Vec<String> {
    let (mut left, mut attempts) = (BTreeMap::new(), BTreeMap::<RequestId, u32>::new());
    let (mut allowances, mut wrong) = (allowances.iter().peekable(), Vec::new());
    for (index, (at, action)) in host.log.iter().enumerate() {
        while let Some(&(_, shard, tokens)) = allowances.next_if(|t| t.0 <= index) {
            left.insert(shard, tokens);
        }
        let Action::Send { request, node, .. } = action else { continue };
        let tries = attempts.entry(*request).or_default();
        let counts = *tries > 0 || host.checker.is_marked(*request);
        *tries += 1;
        // The shard of a random node is its id modulo 5.
        if let (true, Some(left)) = (counts, left.get_mut(&ShardId(node.0 % 5))) {
            match left.checked_sub(1) {
                Some(fewer) => *left = fewer,
                None => wrong.push(format!("at {at}: {request:?} to {node:?}")),
            }
        }
    }
    wrong
}

/// Runs random events with a random allowance about every `every` steps, which the scheduler gets if `notify`
/// is set.
fn play_with_allowances(
    settings: Settings,
    seed: u64,
    every: u64,
    notify: bool,
) -> (Host, Vec<RecordedAllowance>) {
    let mut rng = random_events::TestRng::new(seed ^ 0x5eed);
    let mut allowances = Vec::new();
    let host = random_events::run_events(settings, seed, 600, |host, _| {
        if rng.below(every) == 0 {
            let (shard, tokens) = (rng.below(6) as u32, rng.below(5).saturating_sub(1) as u32);
            let retry_after = rng.below(2_000_000) as Micros;
            allowances.push((host.log.len(), ShardId(shard), tokens));
            if notify {
                host.set_retry_tokens(shard, tokens, retry_after);
            }
        }
    });
    (host, allowances)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn retries_stay_within_the_allowance_and_each_request_has_one_answer(
        variant in 0..4usize, seed in 1..1_000_000u64, every in 2..40u64,
    ) {
        let (name, host_settings) = random_events::variants().swap_remove(variant);
        let (host, allowances) = play_with_allowances(host_settings, seed, every, true);
        let wrong = attempts_without_token(&host, &allowances);
        prop_assert!(wrong.is_empty(), "{}: {:#?}", name, wrong);
        prop_assert!(host.checker.open.is_empty(), "{}: still open", name);
        // The checker does not know the slow-start slots of a large fleet; its other rules hold.
        let breaches: Vec<_> = host.checker.breaches.iter().filter(|b| !b.contains(": 4: ")).collect();
        prop_assert!(breaches.is_empty(), "{}: {:#?}", name, breaches);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn retries_stay_within_the_allowance_while_some_wait_for_tokens(
        variant in 0..4usize, seed in 1..1_000_000u64, every in 2..40u64,
    ) {
        let (name, host_settings) = random_events::variants().swap_remove(variant);
        let mut rng = random_events::TestRng::new(seed ^ 0xaa17);
        let (mut allowances, mut waited) = (Vec::new(), 0);
        let host = random_events::run_events(host_settings, seed, 600, |host, _| {
            if rng.below(every) == 0 {
                let (shard, tokens) = (rng.below(6) as u32, rng.below(5).saturating_sub(1) as u32);
                host.handle(Event::TokenWaitLimit { shard: ShardId(shard), max_waiting: rng.below(8) as u32 });
                allowances.push((host.log.len(), ShardId(shard), tokens));
                host.set_retry_tokens(shard, tokens, rng.below(2_000_000) as Micros);
                waited += host.scheduler.take_token_shortages().iter().map(|s| s.waiting).sum::<u32>();
            }
        });
        let wrong = attempts_without_token(&host, &allowances);
        prop_assert!(wrong.is_empty(), "{}: {:#?}", name, wrong);
        prop_assert!(host.checker.open.is_empty(), "{}: still open", name);
        prop_assert!(waited > 0 || every > 10, "{}: no request waited", name);
        let breaches: Vec<_> = host.checker.breaches.iter().filter(|b| !b.contains(": 4: ")).collect();
        prop_assert!(breaches.is_empty(), "{}: {:#?}", name, breaches);
    }
}

/// The count above detects a scheduler that ignores allowances.
#[test]
fn a_scheduler_without_allowances_is_detected() {
    for (name, host_settings) in random_events::variants() {
        let (host, allowances) = play_with_allowances(host_settings, 11, 5, false);
        assert!(!attempts_without_token(&host, &allowances).is_empty(), "{name}");
    }
}
