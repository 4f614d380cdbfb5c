//! The cost of the cap on the request path, with this many shards: the events of a request that is
//! served at its first attempt, and one call of `is_repeat`.
//!
//!     cargo run --release -p repeats --example cost -- [SHARDS]

use std::hint::black_box;
use std::time::Instant;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::{Cap, CapOptions, Input, Micros, Output};

fn main() {
    let shards: u32 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(30);
    let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
    let mut cap = Cap::new(CapOptions::new("g00".into(), 12, (0..shards).collect()), life, 0, 1);
    let mut out = Vec::new();
    let peers = (0..12).map(|i| PeerName(format!("g{i:02}"))).collect();
    cap.handle(0, Input::PeersChanged(peers), &mut out);
    let (requests, mut outputs) = (1_000_000_u32, 0);
    let began = Instant::now();
    for n in 0..requests {
        // 20,000 requests a second.
        let (now, shard) = (Micros::from(n) * 50, n % shards);
        black_box(cap.is_repeat(now, u64::from(n)));
        cap.handle(now, Input::AttemptSent { shard, is_retry: false }, &mut out);
        cap.handle(now + 20, Input::AttemptEnded { shard, served: true, refused: false }, &mut out);
        outputs += out.iter().filter(|o| matches!(o, Output::Allow(_))).count();
        out.clear();
    }
    let each = began.elapsed().as_nanos() / u128::from(requests);
    println!(
        "{shards} shards: {each} ns for each request of two events and one look-up; {outputs} allowances in 50 s"
    );
}
