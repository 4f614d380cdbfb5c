//! Several caps that exchange messages, without nodes: allowances, how fast tokens are leased, how often
//! the scheduler is notified, and the states of a shard.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::message::{CapMessage, ShardObservation};
use repeats::shard::{PEER_RESET_WINDOWS, SINGLE_PEER_WINDOWS};
use repeats::{Cap, CapOptions, InjectedFault, Input, Micros, Output, Overrides, ShardState};

const SECOND: Micros = 1_000_000;
const STEP: Micros = 5_000;

fn name(i: usize) -> PeerName {
    PeerName(format!("g{i:02}"))
}

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn options(i: usize, members: usize) -> CapOptions {
    CapOptions { warm_up: 2 * SECOND, ..CapOptions::new(name(i), members, vec![7, 8]) }
}

/// Gateways whose messages take 2 ms, unless a gateway is partitioned.
struct Network {
    now: Micros,
    caps: Vec<Cap>,
    allowed: Vec<BTreeMap<u32, u32>>,
    messages: Vec<(Micros, usize, usize, Vec<u8>)>,
    partitioned: Vec<usize>,
    allowance_counts: Vec<u64>,
    state_changes: Vec<(Micros, usize, ShardState, &'static str)>,
    rejected_messages: Vec<(usize, PeerName, &'static str)>,
    retry_delays: Vec<(usize, Micros)>,
}

impl Network {
    fn new(members: usize, fault: Option<InjectedFault>) -> Self {
        let cap = |i| {
            let overrides = Overrides { fault, ..Overrides::default() };
            Cap::with_overrides(options(i, members), overrides, life(1), 0, 1)
        };
        let mut network = Network {
            now: 0,
            caps: (0..members).map(cap).collect(),
            allowed: vec![BTreeMap::new(); members],
            messages: Vec::new(),
            partitioned: Vec::new(),
            allowance_counts: vec![0; members],
            state_changes: Vec::new(),
            rejected_messages: Vec::new(),
            retry_delays: Vec::new(),
        };
        for i in 0..members {
            network.handle_input(i, Input::PeersChanged((0..members).map(name).collect()));
        }
        network
    }

    fn handle_input(&mut self, i: usize, input: Input) {
        let mut out = Vec::new();
        self.caps[i].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => {
                    let to = (0..self.caps.len()).find(|&j| name(j) == to).expect("a member");
                    if !self.partitioned.contains(&i) && !self.partitioned.contains(&to) {
                        self.messages.push((self.now + 2_000, i, to, body));
                    }
                }
                Output::Allow(a) => {
                    self.allowed[i].insert(a.shard, a.retries);
                    self.allowance_counts[i] += 1;
                    self.retry_delays.push((i, a.retry_after));
                }
                Output::StateChanged { state, reason, .. } => {
                    self.state_changes.push((self.now, i, state, reason))
                }
                Output::MessageRejected { from, reason } => self.rejected_messages.push((i, from, reason)),
            }
        }
    }

    /// Sends as many retries as are allowed, up to `most`; the remainder is rejected. Returns the number
    /// sent.
    fn send_retries(&mut self, i: usize, shard: u32, most: u32) -> u32 {
        let sent = self.allowed[i].get(&shard).copied().unwrap_or(0).min(most);
        for n in 0..most {
            if n < sent {
                *self.allowed[i].entry(shard).or_default() -= 1;
                self.handle_input(i, Input::AttemptSent { shard, is_retry: true });
            } else {
                self.handle_input(i, Input::RetryRejected { shard, worth: 1.0, remaining: SECOND });
            }
        }
        sent
    }

    fn end_attempts(&mut self, i: usize, served: bool, times: usize) {
        for _ in 0..times {
            self.handle_input(i, Input::AttemptEnded { shard: 7, served, refused: !served });
        }
    }

    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let due: Vec<_> = self.messages.extract_if(.., |n| n.0 <= self.now).collect();
            for (_, from, to, body) in due {
                self.handle_input(to, Input::MessageReceived { from: name(from), life: life(1), body });
            }
            for i in 0..self.caps.len() {
                if self.caps[i].next_due() <= self.now {
                    self.handle_input(i, Input::Tick);
                }
            }
        }
    }
}

#[test]
fn every_shard_is_reported_at_once_and_a_new_life_is_empty_for_a_window() {
    let mut network = Network::new(3, None);
    assert_eq!(network.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
    network.advance(SECOND);
    assert_eq!(network.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
    network.advance(SECOND / 2);
    assert_eq!(network.allowed[0], BTreeMap::from([(7, 4), (8, 4)]));
    network.handle_input(0, Input::LifeRenewed(life(2)));
    assert_eq!(network.allowed[0], BTreeMap::from([(7, 0), (8, 0)]));
}

#[test]
fn half_of_the_gateways_use_four_fifths_of_the_cap_within_a_second() {
    for members in [4, 12, 40] {
        let mut network = Network::new(members, None);
        network.advance(2 * SECOND);
        let (mut sent, mut served) = (0, 0);
        for step in 0..(SECOND / 10_000) {
            for i in 0..members {
                // Each gateway serves 200 requests a second, a tenth of which is earned.
                network.end_attempts(i, true, 2);
                served += 2;
                if i % 2 == 0 {
                    let most = if step % 2 == 0 { 3 } else { 0 };
                    sent += network.send_retries(i, 7, most);
                }
            }
            network.advance(10_000);
        }
        let cap = options(0, members).free + 0.1 * f64::from(served);
        println!("{members} members: {sent} of {cap}");
        assert!(f64::from(sent) >= 0.8 * cap, "{members} members: {sent} of {cap}");
        assert!(f64::from(sent) <= cap, "{members} members: {sent} of {cap}");
    }
}

#[test]
fn a_partitioned_gateway_has_its_base_tokens_in_every_window() {
    let mut network = Network::new(4, None);
    network.partitioned = vec![1];
    network.advance(2 * SECOND);
    for _ in 0..5 {
        let mut sent = 0;
        for _ in 0..120 {
            sent += network.send_retries(1, 7, 1);
            network.advance(10_000);
        }
        assert!(sent >= 4, "{sent}");
    }
}

#[test]
fn the_rate_of_allowances_is_bounded() {
    let mut network = Network::new(12, None);
    network.advance(2 * SECOND);
    network.allowance_counts = vec![0; 12];
    for _ in 0..200 {
        for i in 0..12 {
            network.end_attempts(i, true, 5);
            network.send_retries(i, 7, 3);
        }
        network.advance(5_000);
    }
    // In a slice: once at its end, and once for each step with an increase; two shards. A lease lowers
    // the allowance once for each request received.
    let most = network.allowance_counts.iter().max().copied().unwrap_or(0);
    assert!(most <= 2 * 16 * 8, "{most} in a window");
    assert!(most >= 16, "{most}: it never changed");
}

#[test]
fn retry_delays_differ_between_gateways_and_slices() {
    let mut network = Network::new(8, None);
    network.handle_input(0, Input::Tick);
    network.retry_delays.clear();
    for _ in 0..100 {
        (0..8).for_each(|i| {
            network.send_retries(i, 7, 5);
        });
        network.advance(10_000);
    }
    let mut all: Vec<Micros> = network.retry_delays.iter().map(|a| a.1).filter(|&a| a != SECOND).collect();
    let count = all.len();
    all.sort_unstable();
    all.dedup();
    assert!(count > 100 && all.len() * 10 > count * 9, "{} of {count} differ", all.len());
    let most = all[all.len() - 1];
    assert!(most > 5 * SECOND && most <= options(0, 8).max_retry_after, "{most}");
}

#[test]
fn a_recovering_shard_widens_as_requests_are_served() {
    let mut network = Network::new(3, None);
    network.advance(2 * SECOND);
    network.handle_input(0, Input::NodeTrouble { shard: 7, present: true });
    assert_eq!(network.caps[0].state(7), ShardState::Recovering);
    network.advance(SECOND / 4);
    assert_eq!(network.caps[1].state(7), ShardState::Recovering, "as reported by a peer");
    assert_eq!(network.caps[1].state(8), ShardState::Normal);
    assert_eq!(network.allowed[0][&7], 1, "a quarter of four");
    network.handle_input(0, Input::NodeTrouble { shard: 7, present: false });
    network.advance(3 * SECOND);
    assert_eq!(network.caps[0].state(7), ShardState::Recovering, "nothing was served yet");
    for _ in 0..60 {
        network.end_attempts(0, true, 5);
        network.advance(50_000);
    }
    assert_eq!(network.caps[0].state(7), ShardState::Normal);
    let states: Vec<_> = network.state_changes.iter().filter(|e| e.1 == 0).map(|e| e.2).collect();
    let widening = [ShardState::Widening; 3];
    assert_eq!(states[0], ShardState::Recovering);
    assert_eq!(states[1..4], widening);
    assert_eq!(states[4..], [ShardState::Normal]);
}

#[test]
fn refused_and_unserved_attempts_cause_recovery_without_flapping() {
    let mut network = Network::new(3, None);
    network.advance(2 * SECOND);
    for _ in 0..100 {
        network.end_attempts(0, false, 4);
        network.end_attempts(0, true, 1);
        network.advance(20_000);
    }
    assert_eq!(network.caps[0].state(7), ShardState::Recovering);
    let changes = network.state_changes.iter().filter(|e| e.1 == 0).count();
    assert!(changes <= 2, "{:?}", network.state_changes);
}

fn fact(shard: u32) -> Vec<u8> {
    let fact = ShardObservation { shard, seen: true, served: 0, bad: 0 };
    peer::wire::encode(&CapMessage { facts: vec![fact], ..CapMessage::default() })
}

/// The part of a minute in which gateway 1 kept the shard in recovering while gateway 0 reported trouble
/// all the time and all others were served well.
fn recovering_part(fault: Option<InjectedFault>) -> f64 {
    let mut network = Network::new(4, fault);
    network.advance(2 * SECOND);
    let (mut recovering_part, steps) = (0, 600);
    for _ in 0..steps {
        for i in 1..4 {
            network.handle_input(i, Input::MessageReceived { from: name(0), life: life(1), body: fact(7) });
            // Few enough that the shard is not considered proven healthy, which would end the recovery.
            network.end_attempts(i, true, 1);
        }
        network.advance(100_000);
        recovering_part += usize::from(network.caps[1].state(7) == ShardState::Recovering);
    }
    recovering_part as f64 / f64::from(steps)
}

#[test]
fn no_single_gateway_keeps_the_fleet_in_recovering() {
    let part = recovering_part(None);
    assert!(part > 0.03, "it is believed for a while: {part}");
    assert!(part < (SINGLE_PEER_WINDOWS + 2) as f64 / 60.0, "{part}");
    const { assert!(PEER_RESET_WINDOWS > SINGLE_PEER_WINDOWS) }
}

#[test]
fn circulating_peer_reports_are_detected() {
    let part = recovering_part(Some(InjectedFault::PeerReportsForwarded));
    assert!(part > 0.5, "{part}");
}

#[test]
fn reports_about_a_shard_that_serves_well_here_are_ignored() {
    let mut network = Network::new(3, None);
    network.advance(2 * SECOND);
    network.handle_input(0, Input::NodeTrouble { shard: 7, present: true });
    for _ in 0..120 {
        network.end_attempts(0, true, 10);
        network.advance(100_000);
    }
    assert_eq!(network.caps[0].state(7), ShardState::Normal);
}

#[test]
fn requests_unserved_at_a_peer_are_recognized() {
    for (fault, known) in [(None, true), (Some(InjectedFault::SketchForgetsEarly), false)] {
        let mut network = Network::new(3, fault);
        network.handle_input(0, Input::RequestUnserved { key: 99 });
        assert!(network.caps[0].is_repeat(network.now, 99));
        network.advance(SECOND / 4);
        assert!(network.caps[1].is_repeat(network.now, 99) && !network.caps[1].is_repeat(network.now, 98));
        network.advance(3 * SECOND / 4 - STEP);
        let at_all = (0..3).all(|i| network.caps[i].is_repeat(network.now, 99));
        assert_eq!(at_all, known, "{fault:?}");
        // A client that returns after the longest retry delay is still recognized.
        let options = options(0, 3);
        network.now += options.max_retry_after;
        assert_eq!((0..3).all(|i| network.caps[i].is_repeat(network.now, 99)), known, "{fault:?}");
        network.now += 2 * options.max_retry_after;
        assert!((0..3).all(|i| !network.caps[i].is_repeat(network.now, 99)));
    }
}

#[test]
fn an_invalid_message_is_reported_once_and_changes_nothing() {
    let mut network = Network::new(3, None);
    network.advance(2 * SECOND);
    let before = network.allowed.clone();
    for _ in 0..5 {
        for body in [vec![1, 2, 3], vec![0; 20_000], fact(99)] {
            network.handle_input(0, Input::MessageReceived { from: name(1), life: life(1), body });
        }
    }
    assert_eq!(network.rejected_messages.len(), 3, "{:?}", network.rejected_messages);
    assert_eq!(network.allowed, before);
}

#[test]
fn a_retry_without_a_token_is_recovered_first() {
    let mut network = Network::new(3, None);
    network.advance(2 * SECOND);
    for _ in 0..7 {
        network.handle_input(0, Input::AttemptSent { shard: 7, is_retry: true });
    }
    network.allowed[0].insert(7, 0);
    network.end_attempts(0, true, 9);
    assert_eq!(network.allowed[0][&7], 0);
    let snapshot = network.caps[0].snapshot(network.now);
    assert_eq!((snapshot[0].shard, snapshot[0].spent), (Some(7), 7.0));
    network.advance(3 * SECOND / 2);
    assert_eq!(network.allowed[0][&7], 4, "a window later it has its base tokens again");
}
