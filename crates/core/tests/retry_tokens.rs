//! Retry tokens: the core passes allowances to the scheduler, marks attempts that use a token and reports
//! unmet demand.

mod common;

use bytes::Bytes;
use common::*;
use decisions::ShardId;
use storage_core::*;

const ADVICE: Micros = 700_000;

fn read(id: u64, slba: u64, retry: bool) -> Operation {
    Operation { retry, ..operation(id, Opcode::Read, slba, 1, Bytes::new()) }
}

/// Submits an operation and begins the attempts that are sent; returns them and the final answer, if there is
/// one.
fn submit(core: &mut Core, operation: Operation) -> (Vec<OutgoingAttempt>, Option<Answer>) {
    let mut effects = Vec::new();
    core.submit(1000, operation, &mut effects).expect("a valid operation");
    let (sends, answer) = sends_and_answer(effects);
    for send in &sends {
        let permitted = core.begin_write(1000, send.attempt, &mut Vec::new());
        assert_eq!(permitted.expect("the attempt is wanted").attempt(), send);
    }
    (sends, answer)
}

fn sends_and_answer(effects: Vec<Effect>) -> (Vec<OutgoingAttempt>, Option<Answer>) {
    let (mut sends, mut last_answer) = (Vec::new(), None);
    for effect in effects {
        match effect {
            Effect::Send(send) => sends.push(send),
            Effect::Answer(_, answer) => last_answer = Some(answer),
            _ => {}
        }
    }
    (sends, last_answer)
}

/// The shard of each attempt, and whether the attempt uses a retry token.
fn shards_and_retries(sends: &[OutgoingAttempt]) -> Vec<(ShardId, bool)> {
    sends.iter().map(|s| (s.shard, s.is_retry)).collect()
}

#[test]
fn sends_name_their_shard_and_are_marked_as_retries() {
    let mut core = core();
    let (sends, _) = submit(&mut core, read(1, 0, false));
    assert_eq!(shards_and_retries(&sends), [(ShardId(0), false)]);
    let mut effects = Vec::new();
    core.attempt_ended(2000, sends[0].attempt, AttemptEnd::without_data(Outcome::Error), &mut effects);
    assert_eq!(shards_and_retries(&sends_and_answer(effects).0), [(ShardId(0), true)]);
    let (sends, _) = submit(&mut core, read(2, 8, true));
    assert_eq!(
        shards_and_retries(&sends),
        [(ShardId(1), true)],
        "the first attempt of a client's retry uses a token"
    );
}

#[test]
fn without_tokens_retries_are_refused_and_first_attempts_are_sent() {
    let mut core = core();
    core.set_retry_tokens(0, ShardId(0), 0, ADVICE, &mut Vec::new());
    let refused = Some(Answer::Refused { retry_after: ADVICE });
    assert_eq!(submit(&mut core, read(1, 0, true)), (Vec::new(), refused.clone()));
    assert_eq!(shards_and_retries(&submit(&mut core, read(2, 8, true)).0), [(ShardId(1), true)]);
    let (sends, answer) = submit(&mut core, read(3, 0, false));
    assert_eq!((shards_and_retries(&sends), answer), (vec![(ShardId(0), false)], None));
    let mut effects = Vec::new();
    core.attempt_ended(2000, sends[0].attempt, AttemptEnd::without_data(Outcome::Error), &mut effects);
    assert_eq!(sends_and_answer(effects), (Vec::new(), refused));
    core.set_retry_tokens(3000, ShardId(0), 1, ADVICE, &mut Vec::new());
    assert_eq!(submit(&mut core, read(4, 0, true)).0.len(), 1);
    assert_eq!(submit(&mut core, read(5, 0, true)).0.len(), 0);
    assert_eq!((core.counts().accepted, core.counts().refused, core.open_operations()), (5, 3, 2));
}

#[test]
fn unmet_retry_demand_is_reported_once() {
    let mut core = core();
    submit(&mut core, read(1, 0, true));
    core.set_retry_tokens(1000, ShardId(0), 1, ADVICE, &mut Vec::new());
    submit(&mut core, read(2, 0, true));
    assert!(core.take_retry_demands().is_empty(), "nothing was refused yet");
    submit(&mut core, read(3, 0, true));
    let (first_attempts, _) = submit(&mut core, read(4, 0, false));
    core.attempt_ended(
        301_000,
        first_attempts[0].attempt,
        AttemptEnd::without_data(Outcome::Error),
        &mut Vec::new(),
    );
    let demand = |remaining_time| RetryDemand { shard: ShardId(0), worth: 1.0, remaining_time };
    assert_eq!(core.take_retry_demands(), [demand(1_000_000), demand(700_000)]);
    assert!(core.take_retry_demands().is_empty());
    // A part with an attempt in flight at its deadline did not lack a token.
    core.tick(2_000_000, &mut Vec::new());
    assert_eq!((core.open_operations(), core.take_retry_demands().len()), (0, 0));
}

#[test]
fn pending_retry_demand_is_bounded() {
    let mut core = core();
    core.set_retry_tokens(0, ShardId(0), 0, ADVICE, &mut Vec::new());
    for id in 0..1000 {
        submit(&mut core, read(id, 0, true));
    }
    assert_eq!(core.take_retry_demands().len(), 256);
}
