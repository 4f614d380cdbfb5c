//! `Event::Allowance`: what a shard bears beyond first attempts, and what becomes of the rest.

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
    let mut set = settings();
    set.classes = vec![class];
    Host::with_nodes(set, &[entry(0, 0), entry(1, 1)])
}

fn repeat(id: u64) -> Request {
    Request { retry: true, ..request(id) }
}

#[test]
fn a_shard_never_named_is_unlimited() {
    let mut h = host();
    assert_eq!(Host::sends(&h.ask(repeat(1))), 1);
    for attempt in 0..3 {
        assert_eq!(Host::sends(&h.answer(1, attempt, Outcome::Error)), 1);
    }
    h.checker.assert_clean();
}

#[test]
fn without_rights_a_further_attempt_is_refused_at_once_with_the_advice() {
    let mut h = host();
    h.allow(0, 0, ADVICE);
    assert_eq!(Host::sends(&h.ask(request(1))), 1, "a first attempt takes no right");
    assert_eq!(h.answer(1, 0, Outcome::Error), [Action::Refuse { request: RequestId(1), come_back: ADVICE }]);
    assert_eq!(Host::sends(&h.ask(request(2))), 1);
    assert_eq!(Host::sends(&h.answer(2, 0, Outcome::Served)), 0);
    h.checker.assert_clean();
}

#[test]
fn the_advice_is_no_longer_than_clients_follow() {
    let mut h = host();
    h.allow(0, 0, 5 * SECOND);
    h.ask(repeat(1));
    assert_eq!(h.refused(1), Some(SECOND));
    h.allow(0, 0, -1);
    h.ask(repeat(2));
    assert_eq!(h.refused(2), Some(50_000), "a quarter of the aim, as without any advice");
}

#[test]
fn what_may_have_run_fails_and_what_never_ran_is_refused() {
    let mut h = host_of(class(Repeats::Keyed { group: Group::Shard, window: 2 * SECOND }));
    h.allow(0, 0, ADVICE);
    h.ask(request(1));
    h.answer(1, 0, Outcome::Error);
    assert!(h.failed(1));
    h.ask(request(2));
    h.answer(2, 0, Outcome::Full);
    assert_eq!(h.refused(2), Some(ADVICE));
    h.checker.assert_clean();
}

#[test]
fn as_many_go_out_as_were_allowed() {
    let mut h = host();
    h.allow(0, 2, ADVICE);
    for id in 1..=4 {
        assert_eq!(Host::sends(&h.ask(request(id))), 1);
    }
    assert_eq!(Host::sends(&h.answer(1, 0, Outcome::Error)), 1);
    assert_eq!(Host::sends(&h.answer(2, 0, Outcome::Error)), 1);
    for id in [3, 4] {
        assert_eq!(Host::sends(&h.answer(id, 0, Outcome::Error)), 0);
        assert_eq!(h.refused(id), Some(ADVICE));
    }
    assert_eq!((h.refused(1), h.refused(2)), (None, None));
    assert_eq!(h.sent(), [1, 2, 3, 4, 1, 2]);
    h.checker.assert_clean();
}

#[test]
fn the_first_attempt_of_a_marked_repeat_takes_a_right() {
    let mut h = host();
    h.allow(0, 1, ADVICE);
    assert_eq!(Host::sends(&h.ask(repeat(1))), 1);
    assert_eq!(h.ask(repeat(2))[..1], [Action::Refuse { request: RequestId(2), come_back: ADVICE }]);
    assert_eq!(Host::sends(&h.ask(request(3))), 1);
    // More rights: it goes on. What is left of the former number is not added.
    h.allow(0, 2, ADVICE);
    h.allow(0, 1, ADVICE);
    assert_eq!(Host::sends(&h.ask(repeat(4))), 1);
    assert_eq!(Host::sends(&h.ask(repeat(5))), 0);
    assert_eq!(h.refused(5), Some(ADVICE));
    h.checker.assert_clean();
}

#[test]
fn other_shards_keep_what_they_have() {
    let mut h = host();
    h.allow(0, 0, ADVICE);
    let there = |id| Request { shard: Some(ShardId(1)), ..repeat(id) };
    assert_eq!(Host::sends(&h.ask(there(1))), 1);
    assert_eq!(Host::sends(&h.answer(1, 0, Outcome::Error)), 1);
    h.allow(1, 1, ADVICE);
    h.allow(0, 7, ADVICE);
    assert_eq!(Host::sends(&h.ask(there(2))), 1);
    h.ask(there(3));
    assert_eq!(h.refused(3), Some(ADVICE));
    h.checker.assert_clean();
}

#[test]
fn what_waits_for_a_place_is_answered_when_the_last_right_goes() {
    let mut h = host();
    h.allow(0, 3, ADVICE);
    for id in 1..=4 {
        assert_eq!(Host::sends(&h.ask(request(id))), 1, "the bound of a fresh node is four");
    }
    for id in 5..=7 {
        assert_eq!(Host::sends(&h.ask(repeat(id))), 0);
    }
    h.ask(request(8));
    assert!(h.allow(0, 1, ADVICE).is_empty(), "there is one left, and nobody to use it yet");
    let actions = h.answer(1, 0, Outcome::Served);
    let answers = actions.iter().filter(|a| matches!(a, Action::Refuse { come_back: ADVICE, .. })).count();
    assert_eq!(answers, 2, "{actions:?}");
    assert_eq!(h.sent(), [1, 2, 3, 4, 5, 8], "the one that needs none has waited on");
    h.checker.assert_clean();
}

#[test]
fn what_waits_is_answered_when_its_rights_are_taken_away() {
    let mut h = host();
    h.allow(0, 3, ADVICE);
    for id in 1..=4 {
        h.ask(request(id));
    }
    h.ask(repeat(5));
    h.ask(request(6));
    assert_eq!(h.allow(0, 0, ADVICE), [Action::Refuse { request: RequestId(5), come_back: ADVICE }]);
    assert_eq!(h.refused(6), None);
    h.answer(1, 0, Outcome::Served);
    assert_eq!(h.sent(), [1, 2, 3, 4, 6]);
    h.checker.assert_clean();
}

#[test]
fn a_key_in_order_goes_on_after_a_refusal() {
    let mut h = host_of(Class { in_order: true, ..class(Repeats::Safe) });
    let line = |r: Request| Request { key: Some(KeyId(5)), ..r };
    h.allow(0, 0, ADVICE);
    for r in [request(1), request(2), repeat(3), request(4)] {
        h.ask(line(r));
    }
    assert_eq!(h.sent(), [1]);
    h.answer(1, 0, Outcome::Error);
    assert_eq!((h.refused(1), h.sent()), (Some(ADVICE), vec![1, 2]));
    h.answer(2, 0, Outcome::Served);
    assert_eq!((h.refused(3), h.sent()), (Some(ADVICE), vec![1, 2, 4]));
    h.checker.assert_clean();
}

#[test]
fn a_long_line_of_repeats_is_answered_in_one_go() {
    const LINE: u64 = 3000;
    let mut h = host_of(Class { in_order: true, ..class(Repeats::Safe) });
    let line = |r: Request| Request { key: Some(KeyId(5)), ..r };
    h.allow(0, 0, ADVICE);
    h.ask(line(request(0)));
    for id in 1..=LINE {
        h.ask(line(repeat(id)));
    }
    let actions = h.answer(0, 0, Outcome::Served);
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert_eq!(refused as u64, LINE);
    assert!(h.checker.open.is_empty());
}

/// An allowance, and how many actions there were before it.
type Told = (usize, ShardId, u32);

/// Attempts beyond what was allowed, counted from the actions alone.
fn beyond(h: &Host, told: &[Told]) -> Vec<String> {
    let (mut left, mut attempts) = (BTreeMap::new(), BTreeMap::<RequestId, u32>::new());
    let (mut told, mut wrong) = (told.iter().peekable(), Vec::new());
    for (index, (at, action)) in h.log.iter().enumerate() {
        while let Some(&(_, shard, further)) = told.next_if(|t| t.0 <= index) {
            left.insert(shard, further);
        }
        let Action::Send { request, node, .. } = action else { continue };
        let tries = attempts.entry(*request).or_default();
        let counts = *tries > 0 || h.checker.is_marked(*request);
        *tries += 1;
        // Drawn nodes lie on the shard of their number, over five.
        if let (true, Some(left)) = (counts, left.get_mut(&ShardId(node.0 % 5))) {
            match left.checked_sub(1) {
                Some(fewer) => *left = fewer,
                None => wrong.push(format!("at {at}: {request:?} to {node:?}")),
            }
        }
    }
    wrong
}

/// Plays with an allowance drawn every few steps. `tell`: the scheduler learns of it.
fn play_allowed(set: Settings, seed: u64, every: u64, tell: bool) -> (Host, Vec<Told>) {
    let mut dice = drawn::Dice::new(seed ^ 0x5eed);
    let mut told = Vec::new();
    let h = drawn::play(set, seed, 600, |h, _| {
        if dice.roll(every) == 0 {
            let (shard, further) = (dice.roll(6) as u32, dice.roll(5).saturating_sub(1) as u32);
            let come_back = dice.roll(2_000_000) as Micros;
            told.push((h.log.len(), ShardId(shard), further));
            if tell {
                h.allow(shard, further, come_back);
            }
        }
    });
    (h, told)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn no_more_go_out_than_allowed_and_each_request_has_one_answer(
        shape in 0..4usize, seed in 1..1_000_000u64, every in 2..40u64,
    ) {
        let (name, set) = drawn::shapes().swap_remove(shape);
        let (h, told) = play_allowed(set, seed, every, true);
        let wrong = beyond(&h, &told);
        prop_assert!(wrong.is_empty(), "{}: {:#?}", name, wrong);
        prop_assert!(h.checker.open.is_empty(), "{}: still open", name);
        // The checker knows no turns of a crowd at cold nodes; its other rules hold.
        let breaches: Vec<_> = h.checker.breaches.iter().filter(|b| !b.contains(": 4: ")).collect();
        prop_assert!(breaches.is_empty(), "{}: {:#?}", name, breaches);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn no_more_go_out_than_allowed_where_some_wait_for_rights(
        shape in 0..4usize, seed in 1..1_000_000u64, every in 2..40u64,
    ) {
        let (name, set) = drawn::shapes().swap_remove(shape);
        let mut dice = drawn::Dice::new(seed ^ 0xaa17);
        let (mut told, mut waited) = (Vec::new(), 0);
        let h = drawn::play(set, seed, 600, |h, _| {
            if dice.roll(every) == 0 {
                let (shard, further) = (dice.roll(6) as u32, dice.roll(5).saturating_sub(1) as u32);
                h.give(Event::AwaitLimit { shard: ShardId(shard), most: dice.roll(8) as u32 });
                told.push((h.log.len(), ShardId(shard), further));
                h.allow(shard, further, dice.roll(2_000_000) as Micros);
                waited += h.scheduler.take_shortages().iter().map(|s| s.waiting).sum::<u32>();
            }
        });
        let wrong = beyond(&h, &told);
        prop_assert!(wrong.is_empty(), "{}: {:#?}", name, wrong);
        prop_assert!(h.checker.open.is_empty(), "{}: still open", name);
        prop_assert!(waited > 0 || every > 10, "{}: nobody waited", name);
        let breaches: Vec<_> = h.checker.breaches.iter().filter(|b| !b.contains(": 4: ")).collect();
        prop_assert!(breaches.is_empty(), "{}: {:#?}", name, breaches);
    }
}

/// The count above finds a scheduler that heeds nothing.
#[test]
fn the_count_finds_one_that_was_not_told() {
    for (name, set) in drawn::shapes() {
        let (h, told) = play_allowed(set, 11, 5, false);
        assert!(!beyond(&h, &told).is_empty(), "{name}");
    }
}
