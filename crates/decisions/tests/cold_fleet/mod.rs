//! A fleet of schedulers around nodes that start cold, in virtual time: what all of them send to each in every window, held
//! against what the settings allow it then. Calibrated against nothing.
#![allow(dead_code, reason = "test and example take their own parts")]

mod volumes;
mod work;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use decisions::*;

pub use volumes::Volumes;
pub use work::{Sum, Work};

pub const SECOND: Micros = 1_000_000;
/// Hosts learn their spread in this time; nodes are replaced between it and a second and a half later.
const FIRST: Micros = 6 * SECOND;
const REPLACED_WITHIN: Micros = 1_500_000;
const END: Micros = FIRST + REPLACED_WITHIN + 13 * SECOND;
/// A way up takes up to this long, where it comes up late.
const LATE: Micros = 250_000;

/// A fleet and its day.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub seed: u64,
    pub hosts: u32,
    pub nodes: u32,
    /// Requests of mean work that a cold node bears in a window.
    pub calls: f64,
    /// Volumes for each node; each lies at one to four shards and comes through one to three hosts.
    pub volumes: u32,
    /// The most asked host gets so many times what the least asked one gets, and the most popular shard holds so many
    /// times as many volumes as the least popular.
    pub skew: (f64, f64),
    /// Requests asked, as a part of what all nodes can do when warm.
    pub load: f64,
    /// Of a hundred hosts: those that start within the day, and those that are killed and start again at once.
    pub starts: (u64, u64),
    /// All hosts that are killed are killed in one moment, as the first node is replaced.
    pub herd: bool,
    /// All requests are of mean work, so that turns can be used to the full.
    pub mean_work: bool,
    /// The part of its power that a node starts with, and how late lists reach hosts at most.
    pub cold_from: f64,
    pub lag: Micros,
    /// Planted: hosts reckon with so many times what a cold node bears.
    pub too_fast: f64,
}

impl Fleet {
    pub fn new(seed: u64, hosts: u32, calls: f64) -> Self {
        Fleet {
            seed,
            hosts,
            nodes: 40,
            calls,
            volumes: 5,
            skew: (5.0, 2.0),
            load: 0.7,
            starts: (10, 20),
            herd: false,
            mean_work: false,
            cold_from: 0.25,
            lag: 2 * SECOND,
            too_fast: 1.0,
        }
    }

    /// What a host is told.
    pub fn settings(&self, index: u32) -> Settings {
        let class = Class {
            aim: 250_000,
            aim_stretch: 0.0,
            worth: 1.0,
            late_worth: 0.1,
            repeats: Repeats::Safe,
            in_order: false,
            stream: false,
        };
        let plan = Plan {
            rate: 10.0,
            reserve: 5.0,
            limit: 0.0,
            limit_burst: 0.0,
            limit_slack: 0.0,
            weight: 1.0,
            price: 1.0,
        };
        Settings {
            classes: vec![class],
            plans: vec![plan],
            hosts: self.hosts,
            index,
            must_ask: false,
            most_attempts: 4,
            second_copies: false,
            cancel: true,
            probes: false,
            advice: true,
            most_advice: SECOND,
            cold_units: self.calls * 2.0 * self.too_fast,
            cold_window: 2 * SECOND,
            cold_from: self.cold_from,
            warm_after: 12 * SECOND,
            drain_grace: SECOND,
            order_rest: 0,
            budget: None,
            most_units: 8.0,
            mean_units: 2.0,
            share_worth: 0.35,
            spare_worth: 0.08,
            waste_price: 0.03,
        }
    }

    pub fn play(&self) -> Sum {
        Day::new(self).play()
    }
}

/// A small generator of its own.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Between 0 and 1, both left out.
    pub fn part(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 12) as f64 + 0.5) / (1u64 << 52) as f64
    }

    pub fn below(&mut self, n: u64) -> u64 {
        (self.part() * n as f64) as u64
    }

    pub fn span(&mut self, from: Micros, to: Micros) -> Micros {
        from + (self.part() * (to - from) as f64) as Micros
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Asks(usize),
    Again(usize, u64),
    Timer(usize, u32, u64),
    Answer(usize, u32, u64, u32),
    Heard(usize, usize),
    Starts(usize),
}

/// A request as its client knows it.
#[derive(Clone, Copy)]
struct Ask {
    volume: usize,
    shard: u32,
    units: f64,
    again: bool,
}

/// An attempt that is out: its node, when it was sent, how it will end.
type Out = (NodeId, Micros, Outcome);

struct Day<'a> {
    fleet: &'a Fleet,
    dice: Dice,
    volumes: Volumes,
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    planned: u64,
    now: Micros,
    /// Schedulers and which life of theirs it is.
    hosts: Vec<(Option<Scheduler>, u32)>,
    /// When each list entry was made: the cold node of a shard, in order.
    listed: Vec<(Micros, u32)>,
    /// How much of `listed` each host has heard.
    heard: Vec<usize>,
    asks: HashMap<u64, Ask>,
    attempts: HashMap<(u64, u32), Out>,
    tries: HashMap<u64, u32>,
    next: u64,
    work: Work,
}

impl<'a> Day<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let mut dice = Dice::new(fleet.seed);
        let volumes = Volumes::deal(fleet, &mut dice);
        let mut listed: Vec<(Micros, u32)> =
            (0..fleet.nodes).map(|n| (dice.span(FIRST, FIRST + REPLACED_WITHIN), n)).collect();
        listed.sort_unstable();
        let work = Work::new(fleet, &listed);
        let mut day = Day {
            fleet,
            dice,
            volumes,
            steps: BinaryHeap::new(),
            planned: 0,
            now: 0,
            hosts: (0..fleet.hosts).map(|_| (None, 0)).collect(),
            listed,
            heard: vec![0; fleet.hosts as usize],
            asks: HashMap::new(),
            attempts: HashMap::new(),
            tries: HashMap::new(),
            next: 0,
            work,
        };
        for h in 0..fleet.hosts as usize {
            let (late, again) = fleet.starts;
            let drawn = day.dice.below(100);
            let start = if drawn < late { day.dice.span(SECOND, END) } else { 0 };
            day.plan(start, Step::Starts(h));
            if (late..late + again).contains(&drawn) {
                let at = if fleet.herd { FIRST } else { day.dice.span(FIRST, END) };
                day.plan(at, Step::Starts(h));
            }
            let first = day.dice.span(0, SECOND);
            day.plan(first, Step::Asks(h));
            for k in 0..day.listed.len() {
                let at = day.listed[k].0 + day.dice.span(0, fleet.lag);
                day.plan(at, Step::Heard(h, k + 1));
            }
        }
        day
    }

    fn plan(&mut self, at: Micros, step: Step) {
        self.planned += 1;
        self.steps.push(Reverse((at, self.planned, step)));
    }

    fn play(mut self) -> Sum {
        while let Some(Reverse((at, _, step))) = self.steps.pop()
            && at < END
        {
            self.now = at;
            self.step(step);
        }
        self.work.sum()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Asks(h) => {
                let gap = -self.dice.part().ln() / self.volumes.rates[h];
                self.plan(self.now + (gap * 1e6) as Micros, Step::Asks(h));
                let (volume, shard) = self.volumes.draw(h, &mut self.dice);
                // One to eight units, two in the mean: half of them one, a few large ones.
                let drawn = [1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 3.0, 5.0][self.dice.below(8) as usize];
                let units = if self.fleet.mean_work { 2.0 } else { drawn };
                self.ask(h, Ask { volume, shard, units, again: false });
            }
            Step::Again(h, id) => {
                if let Some(&ask) = self.asks.get(&id) {
                    self.ask(h, Ask { again: true, ..ask });
                }
            }
            Step::Timer(h, life, token) if self.hosts[h].1 == life => self.give(h, Event::Timer(token)),
            Step::Answer(h, life, id, attempt) => {
                let Some((node, sent, outcome)) = self.attempts.remove(&(id, attempt)) else { return };
                if outcome == Outcome::Served {
                    self.work.served(self.now, self.asks[&id].shard);
                }
                if self.hosts[h].1 == life {
                    let (request, latency) = (RequestId(id), self.now - sent);
                    let settled = outcome == Outcome::Served;
                    let (metered, elsewhere) = (None, 0.0);
                    let answer =
                        Answer { request, attempt, node, outcome, settled, latency, metered, elsewhere };
                    self.give(h, Event::Answer(answer));
                }
            }
            Step::Heard(h, many) => {
                let before = self.heard[h];
                self.heard[h] = before.max(many);
                let entries = self.entries(before, self.heard[h]);
                if self.hosts[h].0.is_some() && !entries.is_empty() {
                    self.give(h, Event::Nodes { whole: false, remembered: false, entries });
                }
            }
            Step::Starts(h) => {
                let settings = self.fleet.settings(h as u32);
                let life = self.hosts[h].1 + 1;
                self.hosts[h] = (Some(Scheduler::new(settings, u64::from(life))), life);
                let old = (0..self.fleet.nodes).map(|n| entry(n, n, NodeState::On, None));
                let entries: Vec<_> = old.chain(self.entries(0, self.heard[h])).collect();
                self.give(h, Event::Nodes { whole: false, remembered: false, entries });
            }
            Step::Timer(..) => {}
        }
    }

    /// The entries of the changes from one to another: the old node goes, a cold one comes.
    fn entries(&self, from: usize, to: usize) -> Vec<NodeEntry> {
        let change = |&(at, n): &(Micros, u32)| {
            [entry(n, n, NodeState::Draining, None), entry(n + self.fleet.nodes, n, NodeState::On, Some(at))]
        };
        self.listed[from..to].iter().flat_map(change).collect()
    }

    fn ask(&mut self, h: usize, ask: Ask) {
        if self.hosts[h].0.is_none() {
            return;
        }
        let id = self.next;
        self.next += 1;
        self.asks.insert(id, ask);
        self.work.asked(self.now, ask.shard);
        let request = Request {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(ask.volume as u64),
            key: Some(KeyId(id)),
            shard: Some(ShardId(ask.shard)),
            units: ask.units,
            hosts: self.volumes.hosts_of(ask.volume),
            patience: SECOND,
            retry: ask.again,
            client: None,
        };
        self.give(h, Event::Request(request));
    }

    fn give(&mut self, h: usize, event: Event) {
        let mut actions = Vec::new();
        let (Some(scheduler), life) = &mut self.hosts[h] else { return };
        let life = *life;
        scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.plan(self.now + after, Step::Timer(h, life, token));
                }
                Action::Send { request, node, .. } => self.send(h, life, request.0, node),
                Action::Refuse { request, come_back } if !self.asks[&request.0].again => {
                    self.plan(self.now + come_back.max(1000), Step::Again(h, request.0));
                }
                _ => {}
            }
        }
    }

    /// An attempt goes out: some come late, as their connection does; some of those that come are turned away, and count too.
    fn send(&mut self, h: usize, life: u32, id: u64, node: NodeId) {
        let late = if self.dice.below(5) == 0 { self.dice.span(0, LATE) } else { 0 };
        let outcome = if self.dice.below(10) == 0 { Outcome::Full } else { Outcome::Served };
        let tries = self.tries.entry(id).or_default();
        let attempt = std::mem::replace(tries, *tries + 1);
        let comes = self.now + 1000 + late;
        self.attempts.insert((id, attempt), (node, self.now, outcome));
        self.work.comes(comes, node.0, self.asks[&id].units);
        let answered = comes + self.dice.span(20_000, 60_000);
        self.plan(answered, Step::Answer(h, life, id, attempt));
    }
}

fn entry(node: u32, shard: u32, state: NodeState, started: Option<Micros>) -> NodeEntry {
    NodeEntry { node: NodeId(node), zone: 0, shard: ShardId(shard), state, started }
}
