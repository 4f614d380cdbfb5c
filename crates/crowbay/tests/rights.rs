//! Rights to repeats that a gateway has, and what its clients get of them, in a forced order of events.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::process::LONG;
use common::stage::{self, NODES, Stage};
use gateway::Status;
use load::{Answer, Host, Word};
use relay::{Side, What};
use repeats::{Micros, ShardSnapshot, ShardState};

/// The second is named in the site and never there, so that nothing is lent.
const GATEWAYS: [&str; 2] = ["g1", "g2"];
/// The window of the cap, and the part of it in which what the module was told is not dealt anew.
const WINDOW: Micros = 5_000_000;
const SLICE: Micros = WINDOW / 16;
/// The even part of a gateway: free sends to a shard in a window.
const EVEN: u32 = 4;
/// Commands in hand as a connection ends.
const REPEATS: u64 = 20;
/// Commands that a node is sent at once however late its answers are.
const AT_ONCE: u64 = 2;
/// Commands that a connection takes at once.
const DEPTH: u64 = 32;
/// Reads that earn a right.
const READS: u64 = 10;
/// Rights are there or earned within milliseconds; even ones that are spent come back after a window only.
const SOON: Duration = Duration::from_secs(2);
/// The first of the blocks that were in no hand, as places within the shard.
const OTHERS: u64 = 1_000;

/// One gateway with a small even part, and idle nodes that are warm before it sees them. Aims are so long that no repeat is late.
fn idle() -> Stage {
    let tables = format!(
        "[fleet]\nperiod_ms = 100\n\n[repeats]\nwindow_ms = {}\nfree = {}.0\nfleet_free = {}.0\n",
        WINDOW / 1_000,
        2 * EVEN,
        4 * EVEN,
    );
    let site = stage::site(&GATEWAYS, &tables)
        .replace("aim_ms = 300\npatience_ms = 1000", "aim_ms = 10000\npatience_ms = 10000")
        .replace("warm_after_ms = 5000", "warm_after_ms = 1");
    let mut stage = Stage::dark(&GATEWAYS, &site);
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    stage.gateway("g1");
    stage
}

fn look(status: &Status) -> &ShardSnapshot {
    let repeats = status.repeats.as_ref().expect("it holds the cap");
    repeats.shards.iter().find(|l| l.shard == Some(0)).expect("the shard")
}

/// The block at a place within the first shard.
fn block(place: u64) -> u64 {
    place / 8 * 16 + place % 8
}

fn send(stage: &mut Stage, host: &Host, places: impl IntoIterator<Item = u64>) -> BTreeSet<u64> {
    let one = |place| {
        let token = stage.next_token();
        host.read(1, 1, block(place), 1, 4096, token).expect("it is sent");
        token
    };
    places.into_iter().map(one).collect()
}

fn next(stage: &Stage) -> Answer {
    stage.answers.recv_timeout(LONG).expect("an answer")
}

fn is_served(answer: &Answer) -> bool {
    matches!(answer.word, Word::Served(_))
}

/// Answers to all of these, in the order in which they came.
fn answers(stage: &Stage, mut tokens: BTreeSet<u64>) -> Vec<Answer> {
    let mut all = Vec::new();
    while !tokens.is_empty() {
        all.extend(Some(next(stage)).filter(|answer| tokens.remove(&answer.user)));
    }
    all
}

/// Reads that nobody has asked for before, as many as a connection takes at once, until so many are served.
fn serve(stage: &mut Stage, host: &Host, count: u64) {
    for first in (0..count).step_by(DEPTH as usize) {
        let places = OTHERS + first..OTHERS + count.min(first + DEPTH);
        let tokens = send(stage, host, places);
        let all = answers(stage, tokens);
        assert!(all.iter().all(is_served), "an idle node serves first reads: {all:?}");
    }
}

/// Commands to the first shard that are surely with its node when their connections end, as many at a time as it is
/// sent at once; then only the even part is there.
fn left_in_hand(stage: &mut Stage) {
    stage.until("g1", "its even part is there", |s| look(s).allowed == EVEN);
    for first in (0..REPEATS).step_by(AT_ONCE as usize) {
        stage.order("g1", "node0", What::Hold(Side::Back));
        let host = stage.host("g1");
        let tokens = send(stage, &host, first..first + AT_ONCE);
        stage.until("g1", "all are with the node", |s| u64::from(s.nodes[0].out) == AT_ONCE);
        host.close();
        assert!(answers(stage, tokens).iter().all(|a| a.word == Word::Lost), "none was answered");
        stage.until("g1", "it has seen the end", |s| s.withdrawn == first + AT_ONCE && s.open == 0);
        stage.order("g1", "node0", What::Release(Side::Back));
        stage.until("g1", "their answers have come", |s| s.nodes[0].out == 0);
    }
    stage.until("g1", "what they earned is gone", |s| {
        (look(s).available, look(s).allowed, look(s).state) == (f64::from(EVEN), EVEN, ShardState::Normal)
    });
}

/// All of them are served soon, each with a right; says how many were refused, and what the gateway had and had told.
fn assert_served(stage: &Stage, repeats: &[Answer], (began, before): &(Instant, Status)) {
    let after = stage.status("g1");
    let refused: Vec<&Word> = repeats.iter().filter(|a| !is_served(a)).map(|a| &a.word).collect();
    let of = |s: &Status| format!("{:?}, slice {}", look(s), s.now / SLICE);
    assert!(
        refused.is_empty(),
        "{} of {REPEATS} not served: {refused:?}\nbefore: {}\nafter: {}\nreasons: {:?}",
        refused.len(),
        of(before),
        of(&after),
        after.reasons,
    );
    let longest = repeats.iter().map(|answer| answer.at.duration_since(*began)).max();
    assert!(longest < Some(SOON), "one waited for {longest:?}");
    assert_eq!(look(&after).spent - look(before).spent, REPEATS as f64, "they were taken for repeats");
}

/// Guards against rights that a gateway has and that its module was not told of: what was earned within a slice.
#[test]
fn repeats_of_what_was_in_hand_are_served_with_the_rights_earned_since() {
    let mut stage = idle();
    left_in_hand(&mut stage);
    let host = stage.host("g1");
    stage.until("g1", "a slice begins", |s| s.now % SLICE < SLICE / 8);
    serve(&mut stage, &host, REPEATS * READS);
    stage.until("g1", "rights for all are there", |s| look(s).available >= REPEATS as f64);
    let before = (Instant::now(), stage.status("g1"));
    let repeats = send(&mut stage, &host, 0..REPEATS);
    let repeats = answers(&stage, repeats);
    assert_served(&stage, &repeats, &before);
}

/// Guards against repeats that are refused at once where rights for them are earned within milliseconds.
#[test]
fn repeats_wait_for_the_rights_that_the_reads_beside_them_earn() {
    let mut stage = idle();
    left_in_hand(&mut stage);
    let host = stage.host("g1");
    let before = (Instant::now(), stage.status("g1"));
    let mut waiting = send(&mut stage, &host, 0..REPEATS);
    let mut place = OTHERS..;
    send(&mut stage, &host, place.by_ref().take((DEPTH - REPEATS) as usize));
    let mut repeats = Vec::new();
    while !waiting.is_empty() {
        let answer = next(&stage);
        if waiting.remove(&answer.user) {
            repeats.push(answer);
        } else {
            assert!(is_served(&answer), "an idle node serves first reads: {answer:?}");
        }
        // As many in hand as before.
        send(&mut stage, &host, place.next());
    }
    assert_served(&stage, &repeats, &before);
}
