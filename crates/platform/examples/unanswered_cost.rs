//! What the record of requests without an answer costs: the time of a request that is served, and the memory of a full record.
//!
//!     cargo run --release -p platform --example unanswered_cost
//!
//! The machine runs without I/O, in virtual time, on the stage of its tests. The time is that of the whole way through machine and stage:
//! what the record takes of it is the difference to a build without it. Memory is that of many machines behind as many clients that left
//! as a record keeps, less that of the same machines before: here too the record's part is the difference to a build without it.

use std::hint::black_box;
use std::time::Instant;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../src/unanswered.rs"]
#[allow(dead_code)] // What lies outside of an attempt is measured through the machine.
mod unanswered;

/// Where the record looks for it.
mod socket {
    pub(crate) use platform::End;
}

use common::{Stage, look, ok};
use decisions::{NodeId, Outcome};
use platform::{End, SocketId};
use unanswered::AttemptRecords;

/// Requests of one round, rounds that are measured, and rounds before them.
const REQUESTS: usize = 50;
const ROUNDS: usize = 2_001;
const WARM: usize = 200;
/// Machines whose record is filled, and lives that a record keeps.
const MACHINES: usize = 1_000;
const KEPT: usize = 64;

fn main() -> std::io::Result<()> {
    let rounds = served();
    let at = |part: usize| rounds[rounds.len() * part / 100];
    println!(
        "a request that is served: {:.0} ns in the median round of {ROUNDS}, {:.0} in the hundredth",
        at(50),
        at(1)
    );
    println!("the record of its one attempt by itself: {:.0} ns", recorded());
    let before_any = resident()?;
    let mut stages: Vec<Stage> = (0..MACHINES).map(|_| warm()).collect();
    let before = resident()?;
    stages.iter_mut().for_each(|stage| leave(stage, "k"));
    let full = resident()?;
    let each = |bytes: usize| bytes as f64 / MACHINES as f64;
    println!("a machine of the stage: {:.0} bytes", each(before.saturating_sub(before_any)));
    println!(
        "{KEPT} clients that left with one attempt each: {:.0} bytes a machine",
        each(full.saturating_sub(before)),
    );
    black_box(&stages);
    Ok(())
}

/// Nanoseconds of a request that is served at its first attempt, by round, the fastest first.
fn served() -> Vec<f64> {
    let mut stage = Stage::usual();
    let client = stage.client();
    let ids: Vec<String> = (0..REQUESTS).map(|n| look(&format!("{n:016x}"), 0)).collect();
    let answer = ok("body");
    stage.bytes(client, &ids[0]);
    let node = stage.raise();
    stage.bytes(node, &answer);
    let mut rounds: Vec<f64> = (0..WARM + ROUNDS)
        .map(|_| {
            let mut spent = 0;
            for request in &ids {
                // A connection that has just brought an answer rests for a moment.
                stage.cool();
                stage.written.clear();
                let began = Instant::now();
                stage.bytes(client, request);
                stage.bytes(node, &answer);
                spent += began.elapsed().as_nanos();
            }
            assert_eq!(stage.statuses(client), [200], "each is served");
            spent as f64 / REQUESTS as f64
        })
        .skip(WARM)
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds
}

/// Nanoseconds of what is written down of an attempt, from its decision to the end of its request.
fn recorded() -> f64 {
    const CALLS: i64 = 1_000_000;
    let mut rounds: Vec<f64> = (0..11)
        .map(|_| {
            let began = Instant::now();
            for now in 0..CALLS {
                let mut records = AttemptRecords::default();
                records.decided(black_box(now), NodeId(0));
                records.ended(black_box(now + 1), 0, Outcome::Served);
                black_box(&records);
            }
            began.elapsed().as_nanos() as f64 / CALLS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[rounds.len() / 2]
}

/// A stage on which as many clients as a record keeps were served and left; the record is empty and holds no room.
fn warm() -> Stage {
    let mut stage = Stage::usual();
    let answer = ok("body");
    for n in 0..KEPT {
        let client = stage.client();
        stage.bytes(client, look(&format!("w{n:015x}"), 0));
        stage.rising().into_iter().for_each(|node| stage.up(node));
        let node = stage.written.keys().copied().find(|socket| matches!(socket, SocketId::Node(_)));
        stage.bytes(node.expect("its request is out"), &answer);
        stage.ends(client, End::Orderly);
        stage.cool();
        stage.written.clear();
        stage.closed.clear();
    }
    assert!(stage.machine.take_unanswered().is_empty(), "all were served");
    stage
}

/// As many clients as a record keeps leave, each with a request that is out at a node.
fn leave(stage: &mut Stage, name: &str) {
    for n in 0..KEPT {
        let client = stage.client();
        stage.bytes(client, look(&format!("{name}{n:015x}"), 0));
        stage.rising().into_iter().for_each(|node| stage.up(node));
        stage.ends(client, End::Orderly);
        stage.written.clear();
        stage.closed.clear();
    }
}

/// Bytes of this process that are resident.
fn resident() -> std::io::Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kilobytes: usize = line.split_ascii_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Ok(kilobytes << 10)
}
