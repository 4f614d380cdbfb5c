//! What a shard bears of repeats, as the core passes it on and tells of it.

mod common;

use bytes::Bytes;
use common::*;
use decisions::ShardId;
use storage_core::*;

const ADVICE: Micros = 700_000;

fn read(ticket: u64, slba: u64, retry: bool) -> Operation {
    Operation { retry, ..operation(ticket, Opcode::Read, slba, 1, Bytes::new()) }
}

/// Submits an operation: the attempts that go out, by shard and whether they are further ones, and the answer.
fn submit(core: &mut Core, operation: Operation) -> (Vec<Send>, Option<Answer>) {
    let mut effects = Vec::new();
    core.submit(1000, operation, &mut effects);
    take(effects)
}

fn take(effects: Vec<Effect>) -> (Vec<Send>, Option<Answer>) {
    let (mut sends, mut last) = (Vec::new(), None);
    for effect in effects {
        match effect {
            Effect::Send(send) => sends.push(send),
            Effect::Answer(_, answer) => last = Some(answer),
            _ => {}
        }
    }
    (sends, last)
}

fn shown(sends: &[Send]) -> Vec<(ShardId, bool)> {
    sends.iter().map(|s| (s.shard, s.further)).collect()
}

#[test]
fn a_send_says_its_shard_and_whether_it_is_a_further_one() {
    let mut core = core();
    let (sends, _) = submit(&mut core, read(1, 0, false));
    assert_eq!(shown(&sends), [(ShardId(0), false)]);
    let mut effects = Vec::new();
    core.ended(2000, sends[0].attempt, End::of(Outcome::Error), &mut effects);
    assert_eq!(shown(&take(effects).0), [(ShardId(0), true)]);
    let (sends, _) = submit(&mut core, read(2, 8, true));
    assert_eq!(shown(&sends), [(ShardId(1), true)], "the first attempt of a known repeat");
}

#[test]
fn without_rights_repeats_are_refused_with_the_advice_and_fresh_operations_go_on() {
    let mut core = core();
    core.allow(0, ShardId(0), 0, ADVICE, &mut Vec::new());
    let refused = Some(Answer::Refused { come_back: ADVICE });
    assert_eq!(submit(&mut core, read(1, 0, true)), (Vec::new(), refused.clone()));
    assert_eq!(shown(&submit(&mut core, read(2, 8, true)).0), [(ShardId(1), true)]);
    let (sends, answer) = submit(&mut core, read(3, 0, false));
    assert_eq!((shown(&sends), answer), (vec![(ShardId(0), false)], None));
    let mut effects = Vec::new();
    core.ended(2000, sends[0].attempt, End::of(Outcome::Error), &mut effects);
    assert_eq!(take(effects), (Vec::new(), refused));
    core.allow(3000, ShardId(0), 1, ADVICE, &mut Vec::new());
    assert_eq!(submit(&mut core, read(4, 0, true)).0.len(), 1);
    assert_eq!(submit(&mut core, read(5, 0, true)).0.len(), 0);
    assert_eq!((core.tally().taken, core.tally().refused, core.open_operations()), (5, 3, 2));
}

#[test]
fn what_was_held_back_for_want_of_rights_is_told_once() {
    let mut core = core();
    submit(&mut core, read(1, 0, true));
    core.allow(1000, ShardId(0), 1, ADVICE, &mut Vec::new());
    submit(&mut core, read(2, 0, true));
    assert!(core.take_wanted().is_empty(), "nothing was refused yet");
    submit(&mut core, read(3, 0, true));
    let (fresh, _) = submit(&mut core, read(4, 0, false));
    core.ended(301_000, fresh[0].attempt, End::of(Outcome::Error), &mut Vec::new());
    let wanted = |left| Wanted { shard: ShardId(0), worth: 1.0, left };
    assert_eq!(core.take_wanted(), [wanted(1_000_000), wanted(700_000)]);
    assert!(core.take_wanted().is_empty());
    // What is out when its client's time is up did not lack a right.
    core.tick(2_000_000, &mut Vec::new());
    assert_eq!((core.open_operations(), core.take_wanted().len()), (0, 0));
}

#[test]
fn wants_that_nobody_fetches_are_bounded() {
    let mut core = core();
    core.allow(0, ShardId(0), 0, ADVICE, &mut Vec::new());
    for ticket in 0..1000 {
        submit(&mut core, read(ticket, 0, true));
    }
    assert_eq!(core.take_wanted().len(), 256);
}
