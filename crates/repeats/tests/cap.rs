//! Several caps and the notes between them, without nodes: what is allowed, how fast it is lent, how often it is told, and what
//! a shard's state does.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::message::{Fact, Word};
use repeats::shard::{ALONE, REST};
use repeats::{Cap, CapOptions, Input, Micros, Output, Plant, ShardState, Trial};

const SECOND: Micros = 1_000_000;
const STEP: Micros = 5_000;

fn name(i: usize) -> PeerName {
    PeerName(format!("g{i:02}"))
}

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn options(i: usize, members: usize) -> CapOptions {
    CapOptions { warming: 2 * SECOND, ..CapOptions::new(name(i), members, vec![7, 8]) }
}

/// Gateways whose notes take 2 ms, unless they are cut off.
struct Bus {
    now: Micros,
    caps: Vec<Cap>,
    allowed: Vec<BTreeMap<u32, u32>>,
    notes: Vec<(Micros, usize, usize, Vec<u8>)>,
    cut: Vec<usize>,
    allows: Vec<u64>,
    entered: Vec<(Micros, usize, ShardState, &'static str)>,
    turned: Vec<(usize, PeerName, &'static str)>,
    advice: Vec<(usize, Micros)>,
}

impl Bus {
    fn new(members: usize, plant: Option<Plant>) -> Self {
        let cap = |i| {
            let trial = Trial { plant, ..Trial::default() };
            Cap::tried(options(i, members), trial, life(1), 0, 1)
        };
        let mut bus = Bus {
            now: 0,
            caps: (0..members).map(cap).collect(),
            allowed: vec![BTreeMap::new(); members],
            notes: Vec::new(),
            cut: Vec::new(),
            allows: vec![0; members],
            entered: Vec::new(),
            turned: Vec::new(),
            advice: Vec::new(),
        };
        for i in 0..members {
            bus.hand(i, Input::Peers((0..members).map(name).collect()));
        }
        bus
    }

    fn hand(&mut self, i: usize, input: Input) {
        let mut out = Vec::new();
        self.caps[i].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => {
                    let to = (0..self.caps.len()).find(|&j| name(j) == to).expect("a member");
                    if !self.cut.contains(&i) && !self.cut.contains(&to) {
                        self.notes.push((self.now + 2_000, i, to, body));
                    }
                }
                Output::Allow(a) => {
                    self.allowed[i].insert(a.shard, a.further);
                    self.allows[i] += 1;
                    self.advice.push((i, a.come_back));
                }
                Output::Entered { state, why, .. } => self.entered.push((self.now, i, state, why)),
                Output::TurnedAway { from, why } => self.turned.push((i, from, why)),
            }
        }
    }

    /// As many further sends as it is allowed, up to `most`; the rest is held back.
    fn need(&mut self, i: usize, shard: u32, most: u32) -> u32 {
        let sent = self.allowed[i].get(&shard).copied().unwrap_or(0).min(most);
        for n in 0..most {
            if n < sent {
                *self.allowed[i].entry(shard).or_default() -= 1;
                self.hand(i, Input::Sent { shard, further: true });
            } else {
                self.hand(i, Input::Wanted { shard, worth: 1.0, left: SECOND });
            }
        }
        sent
    }

    fn ends(&mut self, i: usize, served: bool, times: usize) {
        for _ in 0..times {
            self.hand(i, Input::Ended { shard: 7, served, refused: !served });
        }
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let due: Vec<_> = self.notes.extract_if(.., |n| n.0 <= self.now).collect();
            for (_, from, to, body) in due {
                self.hand(to, Input::Heard { from: name(from), life: life(1), body });
            }
            for i in 0..self.caps.len() {
                if self.caps[i].next_due() <= self.now {
                    self.hand(i, Input::Tick);
                }
            }
        }
    }
}

#[test]
fn every_shard_is_named_at_once_and_a_new_life_is_empty_for_a_window() {
    let mut bus = Bus::new(3, None);
    assert_eq!(bus.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
    bus.pass(SECOND);
    assert_eq!(bus.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
    bus.pass(SECOND / 2);
    assert_eq!(bus.allowed[0], BTreeMap::from([(7, 4), (8, 4)]));
    bus.hand(0, Input::Renewed(life(2)));
    assert_eq!(bus.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
}

#[test]
fn half_of_the_gateways_use_four_fifths_of_the_cap_within_a_second() {
    for members in [4, 12, 40] {
        let mut bus = Bus::new(members, None);
        bus.pass(2 * SECOND);
        let (mut sent, mut served) = (0, 0);
        for step in 0..(SECOND / 10_000) {
            for i in 0..members {
                // All serve 200 a second: a tenth of that is earned.
                bus.ends(i, true, 2);
                served += 2;
                if i % 2 == 0 {
                    let most = if step % 2 == 0 { 3 } else { 0 };
                    sent += bus.need(i, 7, most);
                }
            }
            bus.pass(10_000);
        }
        let cap = options(0, members).free + 0.1 * f64::from(served);
        println!("{members} members: {sent} of {cap}");
        assert!(f64::from(sent) >= 0.8 * cap, "{members} members: {sent} of {cap}");
        assert!(f64::from(sent) <= cap, "{members} members: {sent} of {cap}");
    }
}

#[test]
fn who_is_cut_off_has_its_even_part_in_every_window() {
    let mut bus = Bus::new(4, None);
    bus.cut = vec![1];
    bus.pass(2 * SECOND);
    for _ in 0..5 {
        let mut sent = 0;
        for _ in 0..120 {
            sent += bus.need(1, 7, 1);
            bus.pass(10_000);
        }
        assert!(sent >= 4, "{sent}");
    }
}

#[test]
fn allowances_are_bounded_in_rate_whatever_happens() {
    let mut bus = Bus::new(12, None);
    bus.pass(2 * SECOND);
    bus.allows = vec![0; 12];
    for _ in 0..200 {
        for i in 0..12 {
            bus.ends(i, true, 5);
            bus.need(i, 7, 3);
        }
        bus.pass(5_000);
    }
    // In a slice: at its end, and once a step for more; two shards. What is lent lowers it once for each want heard.
    let most = bus.allows.iter().max().copied().unwrap_or(0);
    assert!(most <= 2 * 16 * 8, "{most} in a window");
    assert!(most >= 16, "{most}: it never changed");
}

#[test]
fn advice_differs_between_gateways_and_from_slice_to_slice() {
    let mut bus = Bus::new(8, None);
    bus.hand(0, Input::Tick);
    bus.advice.clear();
    for _ in 0..100 {
        (0..8).for_each(|i| {
            bus.need(i, 7, 5);
        });
        bus.pass(10_000);
    }
    let mut all: Vec<Micros> = bus.advice.iter().map(|a| a.1).filter(|&a| a != SECOND).collect();
    let count = all.len();
    all.sort_unstable();
    all.dedup();
    assert!(count > 100 && all.len() * 10 > count * 9, "{} of {count} differ", all.len());
    let most = all[all.len() - 1];
    assert!(most > 5 * SECOND && most <= options(0, 8).most_advice, "{most}");
}

#[test]
fn a_shard_recovers_and_is_widened_as_served_answers_show_it() {
    let mut bus = Bus::new(3, None);
    bus.pass(2 * SECOND);
    bus.hand(0, Input::Recovers { shard: 7, on: true });
    assert_eq!(bus.caps[0].state(7), ShardState::Recovering);
    bus.pass(SECOND / 4);
    assert_eq!(bus.caps[1].state(7), ShardState::Recovering, "by a peer's fact");
    assert_eq!(bus.caps[1].state(8), ShardState::Normal);
    assert_eq!(bus.allowed[0][&7], 1, "a quarter of four");
    bus.hand(0, Input::Recovers { shard: 7, on: false });
    bus.pass(3 * SECOND);
    assert_eq!(bus.caps[0].state(7), ShardState::Recovering, "nothing was served yet");
    for _ in 0..60 {
        bus.ends(0, true, 5);
        bus.pass(50_000);
    }
    assert_eq!(bus.caps[0].state(7), ShardState::Normal);
    let states: Vec<_> = bus.entered.iter().filter(|e| e.1 == 0).map(|e| e.2).collect();
    let widening = [ShardState::Widening; 3];
    assert_eq!(states[0], ShardState::Recovering);
    assert_eq!(states[1..4], widening);
    assert_eq!(states[4..], [ShardState::Normal]);
}

#[test]
fn refused_and_unserved_answers_are_own_sight_and_do_not_flap() {
    let mut bus = Bus::new(3, None);
    bus.pass(2 * SECOND);
    for _ in 0..100 {
        bus.ends(0, false, 4);
        bus.ends(0, true, 1);
        bus.pass(20_000);
    }
    assert_eq!(bus.caps[0].state(7), ShardState::Recovering);
    let changes = bus.entered.iter().filter(|e| e.1 == 0).count();
    assert!(changes <= 2, "{:?}", bus.entered);
}

fn fact(shard: u32) -> Vec<u8> {
    let fact = Fact { shard, seen: true, served: 0, bad: 0 };
    peer::wire::encode(&Word { facts: vec![fact], ..Word::default() })
}

/// Part of a minute in which gateway 1 held the shard in recovering, as gateway 0 said so all the time; both serve well.
fn held(plant: Option<Plant>) -> f64 {
    let mut bus = Bus::new(4, plant);
    bus.pass(2 * SECOND);
    let (mut held, steps) = (0, 600);
    for _ in 0..steps {
        for i in 1..4 {
            bus.hand(i, Input::Heard { from: name(0), life: life(1), body: fact(7) });
            // Few enough that it isn't left alone for its health.
            bus.ends(i, true, 1);
        }
        bus.pass(100_000);
        held += usize::from(bus.caps[1].state(7) == ShardState::Recovering);
    }
    held as f64 / f64::from(steps)
}

#[test]
fn no_gateway_alone_holds_the_fleet_in_recovering() {
    let part = held(None);
    assert!(part > 0.03, "it is believed for a while: {part}");
    assert!(part < (ALONE + 2) as f64 / 60.0, "{part}");
    const { assert!(REST > ALONE) }
}

#[test]
fn a_word_that_goes_round_is_caught() {
    let part = held(Some(Plant::WordPassedOn));
    assert!(part > 0.5, "{part}");
}

#[test]
fn a_shard_that_serves_well_here_is_left_alone_whatever_is_said_of_it() {
    let mut bus = Bus::new(3, None);
    bus.pass(2 * SECOND);
    bus.hand(0, Input::Recovers { shard: 7, on: true });
    for _ in 0..120 {
        bus.ends(0, true, 10);
        bus.pass(100_000);
    }
    assert_eq!(bus.caps[0].state(7), ShardState::Normal);
}

#[test]
fn what_ended_unserved_elsewhere_is_known_here() {
    for (plant, known) in [(None, true), (Some(Plant::SketchForgets), false)] {
        let mut bus = Bus::new(3, plant);
        bus.hand(0, Input::Unserved { key: 99 });
        assert!(bus.caps[0].is_repeat(bus.now, 99));
        bus.pass(SECOND / 4);
        assert!(bus.caps[1].is_repeat(bus.now, 99) && !bus.caps[1].is_repeat(bus.now, 98));
        bus.pass(3 * SECOND / 4 - STEP);
        let at_all = (0..3).all(|i| bus.caps[i].is_repeat(bus.now, 99));
        assert_eq!(at_all, known, "{plant:?}");
        // A client that was told to come back as late as is ever advised is still known.
        let options = options(0, 3);
        bus.now += options.most_advice;
        assert_eq!((0..3).all(|i| bus.caps[i].is_repeat(bus.now, 99)), known, "{plant:?}");
        bus.now += 2 * options.most_advice;
        assert!((0..3).all(|i| !bus.caps[i].is_repeat(bus.now, 99)));
    }
}

#[test]
fn a_note_that_cannot_be_read_is_named_once_and_harms_nothing() {
    let mut bus = Bus::new(3, None);
    bus.pass(2 * SECOND);
    let before = bus.allowed.clone();
    for _ in 0..5 {
        for body in [vec![1, 2, 3], vec![0; 20_000], fact(99)] {
            bus.hand(0, Input::Heard { from: name(1), life: life(1), body });
        }
    }
    assert_eq!(bus.turned.len(), 3, "{:?}", bus.turned);
    assert_eq!(bus.allowed, before);
}

#[test]
fn a_send_without_a_right_is_made_good_first() {
    let mut bus = Bus::new(3, None);
    bus.pass(2 * SECOND);
    for _ in 0..7 {
        bus.hand(0, Input::Sent { shard: 7, further: true });
    }
    bus.allowed[0].insert(7, 0);
    bus.ends(0, true, 9);
    assert_eq!(bus.allowed[0][&7], 0);
    let look = bus.caps[0].look(bus.now);
    assert_eq!((look[0].shard, look[0].spent), (Some(7), 7.0));
    bus.pass(3 * SECOND / 2);
    assert_eq!(bus.allowed[0][&7], 4, "a window later it has its part again");
}
