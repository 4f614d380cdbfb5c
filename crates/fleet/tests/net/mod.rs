//! Deterministic network simulation in virtual time: message loss, duplicates, delays, one-way link failures, flapping
//! links, and members that pause, fail and restart. Shared by tests and examples.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fleet::{
    Counts, Fleet, FleetOptions, Input, Life, Micros, NodeSight, Output, PeerName, Plant, Standing, View,
};
use peer::{Incarnation, Nonce};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const PERIOD: Micros = 1_000_000;
pub const MS: Micros = 1_000;
pub const SITE: u64 = 77;

pub fn name(at: usize) -> PeerName {
    PeerName(format!("gw-{at:03}"))
}

pub fn life(number: u64) -> Life {
    Life { incarnation: Incarnation(number), nonce: Nonce(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)) }
}

pub fn members(count: usize) -> Vec<(PeerName, u32)> {
    (0..count).map(|at| (name(at), at as u32 % 3)).collect()
}

/// A flapping link: alternately up and down for these times, in both directions.
#[derive(Clone, Copy, Debug)]
pub struct Flap {
    pub up: Micros,
    pub down: Micros,
}

pub struct Host {
    /// None while it is not running.
    pub fleet: Option<Fleet>,
    pub life: u64,
    pub frozen_until: Option<Micros>,
    due: Micros,
    backlog: Vec<(usize, Life, Vec<u8>)>,
    /// Counters of former lives.
    former_counts: Vec<Counts>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlightMessage {
    at: Micros,
    number: u64,
    from: usize,
    to: usize,
    life: u64,
    body: Vec<u8>,
}

pub struct SimulatedNetwork {
    pub now: Micros,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    in_flight: BinaryHeap<Reverse<InFlightMessage>>,
    number: u64,
    /// Probability of loss, in thousandths.
    pub loss_permille: u32,
    pub duplicate_permille: u32,
    pub delay: (Micros, Micros),
    /// Failed links, each in one direction.
    pub cuts: BTreeSet<(usize, usize)>,
    pub flaps: BTreeMap<(usize, usize), Flap>,
    /// Extra delay of all messages from or to a host.
    pub extra_delay: BTreeMap<usize, Micros>,
    /// Hosts that must not declare each other unreachable.
    pub protected: BTreeSet<usize>,
    /// Violations: viewer, member and time.
    pub expelled: Vec<(usize, usize, Micros)>,
    pub rejections: Vec<(usize, PeerName, &'static str)>,
    pub adjust_options: fn(&mut FleetOptions),
    pub injected_fault: Plant,
    /// Maximum messages that a host sent within one period.
    pub max_messages_per_period: u64,
    /// The longest message body.
    pub max_body_seen: usize,
    sent: BTreeMap<(usize, Micros), u64>,
}

impl SimulatedNetwork {
    pub fn new(count: usize, seed: u64) -> SimulatedNetwork {
        let host = || Host {
            fleet: None,
            life: 0,
            frozen_until: None,
            due: 0,
            backlog: Vec::new(),
            former_counts: Vec::new(),
        };
        SimulatedNetwork {
            now: 5 * PERIOD,
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..count).map(|_| host()).collect(),
            in_flight: BinaryHeap::new(),
            number: 0,
            loss_permille: 0,
            duplicate_permille: 0,
            delay: (MS / 5, 2 * MS),
            cuts: BTreeSet::new(),
            flaps: BTreeMap::new(),
            extra_delay: BTreeMap::new(),
            protected: BTreeSet::new(),
            expelled: Vec::new(),
            rejections: Vec::new(),
            adjust_options: |_| {},
            injected_fault: Plant::None,
            max_messages_per_period: 0,
            max_body_seen: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Creates a network and starts all hosts at once.
    pub fn started(count: usize, seed: u64) -> SimulatedNetwork {
        let mut net = SimulatedNetwork::new(count, seed);
        net.start_all();
        net
    }

    pub fn start_all(&mut self) {
        (0..self.hosts.len()).for_each(|at| self.start(at));
    }

    pub fn options(&self, at: usize) -> FleetOptions {
        let all = members(self.hosts.len());
        let mut options = FleetOptions::new(name(at), all[at].1, SITE, all);
        options.period = PERIOD;
        options.plant = self.injected_fault;
        (self.adjust_options)(&mut options);
        options
    }

    pub fn start(&mut self, at: usize) {
        self.hosts[at].life += 1;
        let options = self.options(at);
        let seed = self.rng.random();
        let fleet = Fleet::new(options, life(self.hosts[at].life), self.now, seed);
        self.hosts[at].due = fleet.next_due();
        self.hosts[at].fleet = Some(fleet);
    }

    pub fn kill(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.former_counts.extend(host.fleet.take().map(|f| f.counts()));
        host.frozen_until = None;
        host.backlog.clear();
    }

    pub fn freeze(&mut self, at: usize, time: Micros) {
        self.hosts[at].frozen_until = Some(self.now + time);
    }

    pub fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            self.cuts.extend(to.iter().filter(|b| a != *b).map(|b| (*a, *b)));
        }
    }

    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Ends all link faults and pauses.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.flaps.clear();
        self.extra_delay.clear();
        (self.loss_permille, self.duplicate_permille) = (0, 0);
        for host in &mut self.hosts {
            host.frozen_until = host.frozen_until.map(|_| self.now);
        }
    }

    fn link_is_up(&self, from: usize, to: usize) -> bool {
        if self.cuts.contains(&(from, to)) {
            return false;
        }
        let flap = self.flaps.get(&(from.min(to), from.max(to)));
        flap.is_none_or(|f| self.now % (f.up + f.down) < f.up)
    }

    fn transmit(&mut self, from: usize, to: usize, life: u64, body: Vec<u8>) {
        if !self.link_is_up(from, to) || self.rng.random_range(0..1000) < self.loss_permille {
            return;
        }
        let copies = if self.rng.random_range(0..1000) < self.duplicate_permille { 2 } else { 1 };
        for _ in 0..copies {
            let extra = self.extra_delay.get(&from).unwrap_or(&0) + self.extra_delay.get(&to).unwrap_or(&0);
            let at = self.now + extra + self.rng.random_range(self.delay.0..=self.delay.1);
            self.number += 1;
            self.in_flight.push(Reverse(InFlightMessage {
                at,
                number: self.number,
                from,
                to,
                life,
                body: body.clone(),
            }));
        }
    }

    pub fn input(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        let Some(fleet) = self.hosts[at].fleet.as_mut() else { return };
        fleet.handle(self.now, input, &mut out);
        let (due, life) = (fleet.next_due(), self.hosts[at].life);
        self.hosts[at].due = due;
        for output in out {
            match output {
                Output::Send { to, body } => {
                    self.max_body_seen = self.max_body_seen.max(body.len());
                    let sent = self.sent.entry((at, self.now / PERIOD)).or_default();
                    *sent += 1;
                    self.max_messages_per_period = self.max_messages_per_period.max(*sent);
                    let to = to.0[3..].parse().expect("a name of ours");
                    self.transmit(at, to, life, body);
                }
                Output::Changed(view) => self.record_expulsions(at, &view),
                Output::TurnedAway { from, why } => self.rejections.push((at, from, why)),
            }
        }
    }

    fn record_expulsions(&mut self, at: usize, view: &View) {
        if !self.protected.contains(&at) {
            return;
        }
        for member in &self.protected {
            if view.member(&name(*member)).is_some_and(|m| m.standing == Standing::Unreachable) {
                self.expelled.push((at, *member, self.now));
            }
        }
    }

    /// Processes the next event before `until`; returns whether there was one.
    fn step(&mut self, until: Micros) -> bool {
        let mut next: Option<(Micros, usize)> = None;
        for (at, host) in self.hosts.iter().enumerate() {
            if host.fleet.is_none() {
                continue;
            }
            let due = host.frozen_until.unwrap_or(host.due).max(self.now);
            if next.is_none_or(|(least, _)| due < least) {
                next = Some((due, at));
            }
        }
        let message = self.in_flight.peek().map(|f| f.0.at.max(self.now));
        let due = next.map(|(due, _)| due);
        let Some(first) = message.into_iter().chain(due).min().filter(|at| *at < until) else {
            self.now = until;
            return false;
        };
        self.now = first;
        if message == Some(first) {
            let Some(Reverse(message)) = self.in_flight.pop() else { return true };
            let InFlightMessage { from, to, body, .. } = message;
            let host = &mut self.hosts[to];
            if host.frozen_until.is_some() {
                host.backlog.push((from, life(message.life), body));
            } else {
                self.input(to, Input::Heard { from: name(from), life: life(message.life), body });
            }
        } else if let Some((_, at)) = next {
            let stopped = self.hosts[at].frozen_until.take().is_some();
            // The worst order: the clock tick comes before the messages that arrived during the pause.
            self.input(at, Input::Tick);
            if stopped {
                for (from, life, body) in std::mem::take(&mut self.hosts[at].backlog) {
                    self.input(at, Input::Heard { from: name(from), life, body });
                }
            }
        }
        true
    }

    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.step(until) {}
    }

    pub fn view(&self, at: usize) -> Option<std::sync::Arc<View>> {
        Some(self.hosts[at].fleet.as_ref()?.view())
    }

    pub fn counts(&self, at: usize) -> Counts {
        self.hosts[at].fleet.as_ref().map(Fleet::counts).unwrap_or_default()
    }

    /// Sum of a counter over all hosts and all their lives.
    pub fn sum(&self, of: fn(&Counts) -> u64) -> u64 {
        let now = self.hosts.iter().filter_map(|h| h.fleet.as_ref()).map(|f| of(&f.counts()));
        now.sum::<u64>() + self.hosts.iter().flat_map(|h| &h.former_counts).map(of).sum::<u64>()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|at| self.hosts[*at].fleet.is_some()).collect()
    }

    /// Describes why these hosts have not converged. Converged hosts have one digest, see each other as up in their current
    /// lives, and see nobody else as up.
    pub fn convergence_failure(&self, among: &[usize]) -> Option<String> {
        let mut digest = None;
        for at in among {
            let Some(view) = self.view(*at) else { return Some(format!("{at} does not run")) };
            for member in &view.members {
                let other: usize = member.name.0[3..].parse().expect("a name of ours");
                let right = if among.contains(&other) {
                    member.standing == Standing::Up && member.life == Some(life(self.hosts[other].life))
                } else {
                    matches!(member.standing, Standing::Unreachable | Standing::Joining | Standing::Left)
                };
                if !right {
                    return Some(format!(
                        "{at} holds {other} for {:?} in {:?}",
                        member.standing, member.life
                    ));
                }
            }
            if *digest.get_or_insert(view.digest) != view.digest {
                return Some(format!("{at} holds another digest than {}", among[0]));
            }
        }
        None
    }

    /// Runs until these hosts converge. Returns the time in thousandths of a period, or the difference left after `most`
    /// periods.
    pub fn converge(&mut self, among: &[usize], most: u32) -> Result<Micros, String> {
        let began = self.now;
        for _ in 0..most * 10 {
            self.run(PERIOD / 10);
            if self.convergence_failure(among).is_none() {
                return Ok((self.now - began) * 1000 / PERIOD);
            }
        }
        let why = self.convergence_failure(among).unwrap_or_default();
        Err(format!("not settled after {most} periods: {why}"))
    }

    /// Periods within which this fleet converges after its last fault.
    pub fn convergence_bound(&self) -> u32 {
        self.options(0).settling()
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.hosts.len()).collect()
    }

    pub fn observe_node(
        &mut self,
        at: usize,
        node: &str,
        started: i64,
        cold_for: Micros,
        silent_for: Micros,
    ) {
        let sight = NodeSight { node: node.to_owned(), started, cold_for, silent_for };
        self.input(at, Input::Saw(sight));
    }
}
