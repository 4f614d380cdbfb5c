//! Messages of a peer's cap that can be decoded and whose contents are odd.

#[path = "../../peer/tests/odd/mod.rs"]
mod odd;

use peer::{Incarnation, Life, Nonce, PeerName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use repeats::message::{CapMessage, FilterBits, LeaseGrant, LeaseRequest, ShardObservation};
use repeats::{Cap, CapOptions, Input, Micros, Output};

const MESSAGES: usize = 20_000;
const STEP: Micros = 500;

fn name(i: usize) -> PeerName {
    PeerName(format!("g{i:02}"))
}

fn life() -> Life {
    Life { incarnation: Incarnation(1), nonce: Nonce(1) }
}

/// A message with something of everything. `number`: that of a request which this cap sent, if it sent one.
fn sound_message(number: u64) -> Vec<u8> {
    let life = life();
    let shard = Some(7);
    let observation = ShardObservation { shard: 7, seen: true, served: 10, bad: 5 };
    let bits = FilterBits { size: std::num::NonZeroU32::new(8192), places: true, bytes: vec![1, 0, 7, 0] };
    peer::wire::encode(&CapMessage {
        wants: vec![LeaseRequest { number: 1, shard, amount: 1000, worth: 2.0, life }; 2],
        grants: vec![LeaseGrant {
            number,
            shard,
            parts: vec![(500, 900_000), (250, 400_000)],
            life,
            recovering: true,
        }],
        facts: vec![observation; 2],
        unserved: Some(bits),
    })
}

/// Guards against amounts, times and counts of a peer that are summed unchecked.
#[test]
fn odd_messages_of_a_peer_do_no_harm() {
    let options = CapOptions::new(name(0), 3, vec![7, 8]);
    let mut cap = Cap::new(options, life(), 0, 1);
    let (mut rng, mut out, mut now) = (StdRng::seed_from_u64(68), Vec::new(), 0);
    cap.handle(now, Input::PeersChanged((0..3).map(name).collect()), &mut out);
    let mut number = 1;
    for n in 0..MESSAGES {
        now += STEP;
        // What is served earns tokens, what is rejected asks peers for theirs.
        cap.handle(now, Input::AttemptEnded { shard: 7, served: n % 3 > 0, refused: n % 3 == 0 }, &mut out);
        cap.handle(now, Input::RetryRejected { shard: 7, worth: 2.0, remaining: 1_000_000 }, &mut out);
        cap.handle(now, Input::Tick, &mut out);
        for output in out.drain(..) {
            let Output::Send { body, .. } = output else { continue };
            let message = CapMessage::decode(&body).expect("its own messages can be decoded");
            number = message.wants.last().map_or(number, |request| request.number);
        }
        let body = odd::altered(&mut rng, &sound_message(number));
        cap.handle(now, Input::MessageReceived { from: name(1 + n % 2), life: life(), body }, &mut out);
    }
}

/// Guards against a peer that fills the memory: what it had asked for last was kept for each shard that it named.
#[test]
fn lease_requests_for_unknown_shards_are_rejected() {
    let mut cap = Cap::new(CapOptions::new(name(0), 3, vec![7, 8]), life(), 0, 1);
    let mut out = Vec::new();
    cap.handle(0, Input::PeersChanged((0..3).map(name).collect()), &mut out);
    let request =
        |shard| LeaseRequest { number: 1, shard: Some(shard), amount: 1000, worth: 2.0, life: life() };
    let message = CapMessage { wants: vec![request(7), request(9)], ..CapMessage::default() };
    let body = peer::wire::encode(&message);
    cap.handle(1, Input::MessageReceived { from: name(1), life: life(), body }, &mut out);
    let rejected: Vec<_> = out
        .iter()
        .filter_map(|output| match output {
            Output::MessageRejected { reason, .. } => Some(*reason),
            _ => None,
        })
        .collect();
    assert_eq!(rejected, ["it asks for tokens of a shard that the retry cap does not cover"]);
}
