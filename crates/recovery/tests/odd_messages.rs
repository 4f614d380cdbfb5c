//! Status messages of a peer that can be decoded and whose contents are odd.

#[path = "../../peer/tests/odd/mod.rs"]
mod odd;

use peer::{Incarnation, Life, Nonce, PeerName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use recovery::{Fact, NodeWord, Phase, Plant, Recovery, RecoveryOptions, Word};

const PEER_WAIT: i64 = 2_000_000;
const MESSAGES: usize = 20_000;

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn status(orders: u64) -> Word {
    let node = |n: u32| NodeWord { name: format!("node{n}"), shard: n, drained: n == 0 };
    Word {
        life: life(9),
        orders,
        nodes: (0..3).map(node).collect(),
        held: vec!["vol1".into()],
        paused: false,
        serves: true,
        served_for: 1_000_000,
    }
}

/// Guards against a time or revision of a peer that is added to unchecked.
#[test]
fn odd_status_messages_of_a_peer_do_no_harm() {
    let mut rng = StdRng::seed_from_u64(68);
    let sound = peer::wire::encode(&status(5));
    let peer = PeerName::from("g1");
    let (mut acts, mut now) = (Vec::new(), 0);
    let mut decoded = 0;
    for n in 0..MESSAGES / 20 {
        let options = RecoveryOptions {
            peers: vec![peer.clone(), PeerName::from("g2")],
            ask_for: PEER_WAIT,
            rest: 5_000_000,
            ask_again: 100_000,
            read_tries: 5,
            plant: Plant::None,
        };
        now += n as i64;
        let mut recovery = Recovery::new(options, life(2), status(3), None, now, &mut acts);
        recovery.learn(now, Fact::PeerUp(peer.clone()), &mut acts);
        for _ in 0..20 {
            now += 1_000;
            if let Some(word) = peer::wire::decode::<Word>(&odd::altered(&mut rng, &sound)) {
                decoded += 1;
                recovery.learn(now, Fact::Said(peer.clone(), word), &mut acts);
            }
            recovery.tick(now, &mut acts);
            acts.clear();
        }
        now += PEER_WAIT;
        recovery.tick(now, &mut acts);
        assert_ne!(recovery.phase(), Phase::Joining, "the wait for the other peer has its end");
    }
    assert!(decoded > MESSAGES / 4, "{decoded} could be decoded");
}
