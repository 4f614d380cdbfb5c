//! Injected faults: the test of each rule detects its absence.

mod model;

use std::collections::BTreeSet;

use model::{Fault, World, life, name};
use peer::{Life, PeerName};
use shadow::{
    Candidate, Digest, Doubt, Input, Lost, Output, Plant, Results, Shadow, ShadowOptions, Tried, TryId,
    VolumeMap, Why,
};

/// Number of reads counted as different for a correct candidate under writes, with an injected fault.
fn different_reads(plant: Plant) -> u64 {
    let mut world = World::new(1, 4, Fault::None, plant);
    world.start_all();
    assert!(world.run(60_000_000, |w| w.compared() >= 5_000));
    world.settle();
    world.verdict(0).results.different
}

#[test]
fn ignored_writes_are_detected() {
    assert!(different_reads(Plant::RaceUnseen) > 0);
}

#[test]
fn missing_queries_to_peers_are_detected() {
    assert!(different_reads(Plant::PeersUnasked) > 0);
}

/// Number of shadow reads sent beyond one per client read, to a node that never answers.
fn repeated_reads(plant: Plant) -> u64 {
    let mut pair = GatewayPair::new(plant, 0);
    let mut ids = Vec::new();
    pair.heartbeat(900_000);
    for at in 0..50 {
        pair.heartbeat(980_000 + at * 100_000);
        ids.extend(pair.read(0, 1_000_000 + at * 100_000, at as u64));
        if let Some(id) = ids.last() {
            let ended = 1_050_000 + at * 100_000;
            let timed_out = Input::Tried { id: *id, ended, outcome: Tried::TimedOut };
            ids.extend(pair.tell(0, ended, timed_out));
        }
    }
    assert!(pair.shadows[0].verdict().sum(|shard| &shard.lost, Lost::TimedOut) >= 50);
    ids.len() as u64 - 50
}

#[test]
fn second_shadow_read_after_a_timeout_is_detected() {
    assert_eq!(repeated_reads(Plant::None), 0);
    assert!(repeated_reads(Plant::SecondTry) > 0);
}

/// The slices of pair gateways, and of one of them in its next life.
fn slices(plant: Plant) -> Vec<BTreeSet<u64>> {
    let mut sets = Vec::new();
    for (of, lived) in [(0, 1), (1, 1), (0, 2)] {
        let options = ShadowOptions { plant, ..options(of) };
        let shadow =
            Shadow::new(options, life(lived), None, 0, model::mix(&[of as u64, lived])).expect("it fits");
        sets.push((0..32).filter(|extent| shadow.wants(1, extent * 10, 1)).collect());
    }
    sets
}

#[test]
fn slice_selected_per_life_is_detected() {
    let sets = slices(Plant::None);
    assert!(sets[0] == sets[1] && sets[0] == sets[2] && sets[0].len() > 5 && sets[0].len() < 27, "{sets:?}");
    let sets = slices(Plant::SlicePerLife);
    assert!(sets[0] != sets[1] && sets[0] != sets[2]);
}

fn options(of: usize) -> ShadowOptions {
    let map =
        |shard: u32| vec![VolumeMap { nsid: 1, blocks: 320, extent_blocks: 10, shards: vec![shard; 32] }];
    let candidate = Candidate { number: 3, slice: 0.5, parts: [].into(), volumes: map(11) };
    let mut options = ShadowOptions::new(name(of), candidate, map(1), 2);
    (options.rest, options.node_rate) = (1_000, 1e6);
    options
}

/// GatewayPair gateways, driven step by step; messages between them arrive at once unless they are held back.
struct GatewayPair {
    shadows: Vec<Shadow>,
    lives: [Life; 2],
    plant: Plant,
    held: Option<Vec<(usize, usize, Vec<u8>)>>,
    block: u64,
}

impl GatewayPair {
    fn new(plant: Plant, now: i64) -> GatewayPair {
        let shadow = |of: usize| {
            let options = ShadowOptions { plant, ..options(of) };
            Shadow::new(options, life(1), None, now, of as u64).expect("it fits")
        };
        let mut pair = GatewayPair {
            shadows: vec![shadow(0), shadow(1)],
            lives: [life(1); 2],
            plant,
            held: None,
            block: 0,
        };
        let extent = (0..32).find(|extent| pair.shadows[0].wants(1, extent * 10, 1)).expect("one is drawn");
        pair.block = extent * 10;
        for of in 0..2 {
            pair.tell(of, now, Input::Peers(vec![name(1 - of)]));
            pair.tell(of, now, Input::Nodes(vec![(1, "old".into()), (11, "new".into())]));
        }
        pair
    }

    fn tell(&mut self, of: usize, now: i64, input: Input) -> Vec<TryId> {
        let mut out = Vec::new();
        self.shadows[of].handle(now, input, &mut out);
        let mut tries = Vec::new();
        for output in out {
            match output {
                Output::Try { id, .. } => tries.push(id),
                Output::Send { to, body } => self.deliver(of, usize::from(to == name(1)), now, body),
                Output::Keep(_) | Output::TurnedAway { .. } => {}
            }
        }
        tries
    }

    fn deliver(&mut self, from: usize, to: usize, now: i64, body: Vec<u8>) {
        match &mut self.held {
            Some(held) => held.push((from, to, body)),
            None => _ = self.tell(to, now, Input::Heard { from: name(from), life: self.lives[from], body }),
        }
    }

    /// Delivers the held messages, with the sender's current life.
    fn release(&mut self, now: i64) {
        for (from, to, body) in self.held.take().unwrap_or_default() {
            self.deliver(from, to, now, body);
        }
    }

    /// Restarts a gateway in its next life.
    fn restart(&mut self, of: usize, now: i64) {
        self.lives[of] = life(2);
        let options = ShadowOptions { plant: self.plant, ..options(of) };
        self.shadows[of] = Shadow::new(options, life(2), None, now, 77).expect("it fits");
        self.tell(of, now, Input::Peers(vec![PeerName(format!("g{}", 1 - of))]));
    }

    fn read(&mut self, of: usize, now: i64, data: u64) -> Vec<TryId> {
        let digest = Digest::of(&data.to_le_bytes());
        let (began, ended, node) = (now - 500, now - 100, "old".to_owned());
        self.tell(of, now, Input::Read { nsid: 1, slba: self.block, blocks: 4, node, began, ended, digest })
    }

    fn heartbeat(&mut self, now: i64) {
        (0..2).for_each(|of| _ = self.tell(of, now, Input::Tick));
    }

    /// A read, begun at `now`, for which the candidate's node returns different data.
    fn differing_read(&mut self, of: usize, now: i64) {
        let outcome = Tried::Data(Digest::of(b"other"));
        for id in self.read(of, now + 500, 1) {
            self.tell(of, now + 900, Input::Tried { id, ended: now + 900, outcome });
        }
    }

    fn results(&self) -> Results {
        self.shadows[0].verdict().results
    }

    fn unjudged(&self) -> u64 {
        self.shadows[0].verdict().sum(|shard| &shard.not_tried, Why::Unjudged)
    }

    fn doubts(&self, doubt: Doubt) -> u64 {
        self.shadows[0].verdict().sum(|shard| &shard.doubts, doubt)
    }
}

fn second() -> impl Iterator<Item = i64> {
    (1..).map(|second| second * 1_000_000)
}

#[test]
fn difference_counts_from_the_second_time_without_a_write() {
    let mut pair = GatewayPair::new(Plant::None, 0);
    for (round, now) in second().take(5).enumerate() {
        pair.heartbeat(now);
        pair.differing_read(0, now + 10_000);
        let different = round as u64;
        assert_eq!((pair.results().different, pair.doubts(Doubt::First)), (different, 1), "round {round}");
    }
    assert_eq!(pair.shadows[0].held(), (0, 0));
}

#[test]
fn write_by_a_peer_explains_a_difference_while_it_may_run() {
    let mut pair = GatewayPair::new(Plant::None, 0);
    let block = pair.block;
    let write = move |token| Input::WriteBegan { nsid: 1, slba: block + 3, blocks: 4, token };
    let times: Vec<i64> = second().take(7).collect();
    times[..2].iter().for_each(|now| {
        pair.heartbeat(*now);
        pair.differing_read(0, now + 10_000);
    });
    let results_before = pair.results();
    assert_eq!((results_before.different, results_before.raced), (1, 0));
    // A write that began before the read and is still open; one that ended during it; one of unknown outcome that may run.
    pair.tell(1, times[2], write(1));
    pair.heartbeat(times[2]);
    pair.differing_read(0, times[2] + 10_000);
    pair.tell(1, times[3], Input::WriteEnded { token: 1, known: true });
    pair.differing_read(0, times[2] + 999_999);
    pair.heartbeat(times[3] + 1);
    pair.tell(1, times[3] + 500_000, write(2));
    pair.tell(1, times[3] + 500_001, Input::WriteEnded { token: 2, known: false });
    pair.differing_read(0, times[3] + 500_050);
    assert_eq!(pair.results(), Results { raced: 3, ..results_before });
    // The write can no longer run, and the peer has sent a tick since.
    pair.heartbeat(times[4]);
    pair.heartbeat(times[5]);
    pair.differing_read(0, times[5] + 10);
    assert_eq!(pair.results(), Results { raced: 3, different: 2, ..results_before });
}

#[test]
fn difference_stays_unknown_while_a_peer_is_silent() {
    let mut pair = GatewayPair::new(Plant::None, 0);
    let times: Vec<i64> = second().take(20).collect();
    pair.differing_read(0, 400);
    assert_eq!(pair.unjudged(), 1, "an earlier life may have left writes in flight");
    pair.differing_read(0, 2_000);
    assert_eq!(pair.unjudged(), 2, "the peer has sent no tick since its own rest period");
    pair.heartbeat(times[0]);
    pair.held = Some(Vec::new());
    pair.differing_read(0, times[0] + 10_000);
    assert_eq!(pair.shadows[0].held(), (0, 1), "it waits");
    (1..7).for_each(|at| pair.heartbeat(times[at]));
    assert_eq!((pair.shadows[0].held(), pair.doubts(Doubt::NoWordAfter)), ((0, 0), 1));
    // Answers that arrive too late change nothing.
    pair.release(times[8]);
    assert_eq!(
        (pair.doubts(Doubt::NoWordAfter), pair.results().unknown, pair.results().different),
        (1, 1, 0)
    );
    // A new peer has not sent a tick.
    pair.tell(0, times[9], Input::Peers(vec![name(1), name(2)]));
    pair.differing_read(0, times[9] + 10_000);
    assert_eq!(pair.unjudged(), 3);
    // A removed peer may have left writes in flight that can still run for the rest period.
    pair.tell(0, times[10], Input::Peers(vec![name(1)]));
    pair.differing_read(0, times[10] + 100);
    assert_eq!(pair.unjudged(), 4);
    pair.heartbeat(times[11]);
    pair.differing_read(0, times[11] + 10_000);
    assert_eq!((pair.doubts(Doubt::First), pair.results().different), (1, 0));
}

/// A peer writes after its tick and restarts; its next life is queried about a tick of the first one.
fn tick_of_another_life(plant: Plant) -> (u64, u64) {
    let mut pair = GatewayPair::new(plant, 0);
    let times: Vec<i64> = second().take(8).collect();
    pair.heartbeat(times[0]);
    pair.differing_read(0, times[0] + 10_000);
    pair.heartbeat(times[1]);
    // The first life's write may still run; the next life does not know of it.
    let (nsid, block) = (1, pair.block);
    pair.tell(1, times[1] + 1, Input::WriteBegan { nsid, slba: block, blocks: 4, token: 1 });
    pair.held = Some(Vec::new());
    pair.differing_read(0, times[1] + 10_000);
    pair.restart(1, times[1] + 20_000);
    for token in 0..20 {
        let at = times[1] + 30_000 + token as i64;
        pair.tell(1, at, Input::WriteBegan { nsid, slba: block + 8, blocks: 1, token });
        pair.tell(1, at, Input::WriteEnded { token, known: true });
    }
    pair.release(times[1] + 40_000);
    (pair.results().different, pair.doubts(Doubt::OtherLife))
}

#[test]
fn tick_from_before_a_restart_is_detected() {
    assert_eq!(tick_of_another_life(Plant::None), (0, 1));
    assert_eq!(tick_of_another_life(Plant::OldWord), (1, 0));
}
