//! A fleet in virtual time: clients that repeat at other gateways, gateways with clocks of their own, nodes that are silent, cold and
//! overloaded, notes that are lost, late and doubled, cuts, kills. What arrives at the nodes is written down and judged apart.
#![allow(dead_code)]

pub mod check;
pub mod day;
pub mod gate;
pub mod node;
pub mod steward;

use std::collections::BTreeMap;

use peer::PeerName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use repeats::{Input, Micros, key_of};

use check::{Arrival, Records};
use day::Day;
use gate::{Gate, life, name};
use node::{Fate, Node};

pub const SECOND: Micros = 1_000_000;
pub const MILLI: Micros = 1_000;
/// A gateway waits so long for a node.
const PATIENCE: Micros = 200 * MILLI;
/// Attempts at one gateway.
const ATTEMPTS: u32 = 3;
/// A client gives a gateway so long, and a request so long in all and so many tries.
const CLIENT_PATIENCE: Micros = 700 * MILLI;
const REQUEST_PATIENCE: Micros = 10 * SECOND;
const TRIES: u32 = 8;
const TICK: Micros = 5 * MILLI;

enum Event {
    New(u32),
    Try { request: usize, gate: usize },
    AtNode { attempt: usize },
    End { attempt: usize, fate: End },
    Reply { request: usize, number: u32, served: bool, come_back: Option<Micros> },
    Waited { request: usize, number: u32 },
    Note { from: usize, life: u64, to: usize, body: Vec<u8> },
    Tick,
    Kill(usize),
    Start(usize),
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Served,
    Refused,
    Mute,
}

struct Request {
    shard: u32,
    key: u64,
    marked: bool,
    born: Micros,
    tries: u32,
    gate: usize,
    done: bool,
}

struct Attempt {
    request: usize,
    number: u32,
    gate: usize,
    life: u64,
    node: usize,
    nth: u32,
    open: bool,
}

pub struct Rig {
    day: Day,
    rng: SmallRng,
    now: Micros,
    events: BTreeMap<(Micros, u64), Event>,
    order: u64,
    gates: Vec<Gate>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    pub records: Records,
    /// When each request was first asked, its shard, and how long its client waited until it was served.
    pub answers: Vec<(Micros, u32, Option<Micros>)>,
    pub notes: u64,
    pub bytes: u64,
}

impl Rig {
    /// Lives through the day.
    pub fn run(day: Day) -> Rig {
        let mut rng = SmallRng::seed_from_u64(day.seed);
        let gates = (0..day.gateways).map(|i| {
            // The first fast and the second slow by the whole drift, the others somewhere between.
            let part = [1.0, -1.0].get(i).copied().unwrap_or_else(|| rng.random_range(-1.0..1.0));
            Gate::new(i, (day.drift * part * 1e6) as Micros)
        });
        let gates = gates.collect();
        let nodes = (0..day.shards as usize * day.nodes).map(|i| Node {
            capacity: day.capacity,
            wait: 300 * MILLI,
            refusal: 0.3,
            silent: if i < day.nodes { day.silent } else { None },
            warming: day.warming,
            busy_until: 0,
        });
        let nodes = nodes.collect();
        let (requests, attempts, answers) = (Vec::new(), Vec::new(), Vec::new());
        let events = BTreeMap::new();
        let records = Records::default();
        let mut rig = Rig {
            day,
            rng,
            now: 0,
            events,
            order: 0,
            gates,
            nodes,
            requests,
            attempts,
            records,
            answers,
            notes: 0,
            bytes: 0,
        };
        for gate in 0..rig.day.gateways {
            rig.start(gate);
        }
        (0..rig.day.shards).for_each(|shard| rig.at(1, Event::New(shard)));
        rig.at(TICK, Event::Tick);
        if let Some(every) = rig.day.kills {
            for (n, at) in (SECOND..rig.day.end).step_by(every as usize).enumerate() {
                rig.at(at, Event::Kill(n % rig.day.gateways));
            }
        }
        while let Some(((at, _), event)) = rig.events.pop_first() {
            if at > rig.day.end {
                break;
            }
            rig.now = at;
            rig.happen(event);
        }
        rig
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn after(&mut self, from: Micros, to: Micros, event: Event) {
        let at = self.now + self.rng.random_range(from..=to);
        self.at(at, event);
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let half = self.day.gateways / 2;
        self.day.halves.is_some_and(|(from, to)| (from..to).contains(&self.now)) && (a < half) != (b < half)
    }

    fn hand(&mut self, gate: usize, input: Input) {
        let notes = self.gates[gate].hand(self.now, input);
        let life = self.gates[gate].life;
        for (to, body) in notes {
            let to = (0..self.day.gateways).find(|&i| name(i) == to).expect("a member");
            self.notes += 1;
            self.bytes += body.len() as u64;
            if self.is_cut(gate, to) || self.rng.random_bool(self.day.lost) {
                continue;
            }
            let late = |rng: &mut SmallRng| rng.random_range(SECOND / 20..10 * SECOND);
            let delay = if self.rng.random_bool(self.day.late) {
                if self.rng.random_bool(0.5) { 10 * SECOND } else { late(&mut self.rng) }
            } else {
                self.rng.random_range(MILLI..3 * MILLI)
            };
            if self.rng.random_bool(self.day.doubled) {
                let again = if self.rng.random_bool(0.5) { MILLI } else { late(&mut self.rng) };
                self.at(self.now + delay + again, Event::Note { from: gate, life, to, body: body.clone() });
            }
            self.at(self.now + delay, Event::Note { from: gate, life, to, body });
        }
    }

    fn start(&mut self, gate: usize) {
        let mut options = self.day.options(gate);
        options.name = name(gate);
        let (source, plant, seed) = (self.day.source, self.day.plant, self.day.seed);
        self.gates[gate].start(self.now, source, plant, options, seed);
        let peers: Vec<PeerName> =
            (0..self.day.gateways).filter(|&i| !self.is_cut(gate, i)).map(name).collect();
        self.hand(gate, Input::Peers(peers));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::New(shard) => self.begin(shard),
            Event::Try { request, gate } => self.arrive(request, gate),
            Event::AtNode { attempt } => self.at_node(attempt),
            Event::End { attempt, fate } => self.end(attempt, fate),
            Event::Reply { request, number, served, come_back } => {
                self.reply(request, number, served, come_back)
            }
            Event::Waited { request, number } => self.reply(request, number, false, None),
            Event::Note { from, life: n, to, body } => {
                if self.gates[to].up {
                    self.hand(to, Input::Heard { from: name(from), life: life(n), body });
                }
            }
            Event::Tick => {
                // The view follows a cut when it begins and when it ends.
                let turned = self.day.halves.is_some_and(|(from, to)| {
                    [from, to].iter().any(|t| (self.now - TICK..self.now).contains(t))
                });
                for gate in 0..self.day.gateways {
                    if turned && self.gates[gate].up {
                        let peers =
                            (0..self.day.gateways).filter(|&i| !self.is_cut(gate, i)).map(name).collect();
                        self.hand(gate, Input::Peers(peers));
                    }
                    if self.gates[gate].is_due(self.now) {
                        self.hand(gate, Input::Tick);
                    }
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Kill(gate) => {
                self.gates[gate].up = false;
                self.at(self.now + 200 * MILLI, Event::Start(gate));
            }
            Event::Start(gate) => self.start(gate),
        }
    }

    fn begin(&mut self, shard: u32) {
        let rate = self.day.load * self.day.capacity * self.day.nodes as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / rate;
        self.at(self.now + gap as Micros + 1, Event::New(shard));
        let key = key_of(shard, self.requests.len() as u64, 0, 8);
        let (marked, born) = (!self.rng.random_bool(self.day.unmarked), self.now);
        let request = self.requests.len();
        self.answers.push((born, shard, None));
        self.requests.push(Request { shard, key, marked, born, tries: 0, gate: usize::MAX, done: false });
        self.go(request, 0);
    }

    /// A client tries (again), at another gateway than the last.
    fn go(&mut self, request: usize, wait: Micros) {
        let step = if self.day.skew { 2 } else { 1 };
        let count = self.day.gateways / step;
        let mut gate = self.rng.random_range(0..count) * step;
        if gate == self.requests[request].gate && count > 1 {
            gate = (gate + step) % (count * step);
        }
        let r = &mut self.requests[request];
        r.tries += 1;
        r.gate = gate;
        let number = r.tries;
        self.after(wait + MILLI, wait + 2 * MILLI, Event::Try { request, gate });
        self.at(self.now + wait + CLIENT_PATIENCE, Event::Waited { request, number });
    }

    fn reply(&mut self, request: usize, number: u32, served: bool, come_back: Option<Micros>) {
        let r = &mut self.requests[request];
        if r.done || r.tries != number {
            return;
        }
        if served {
            r.done = true;
            self.answers[request].2 = Some(self.now - r.born);
            return;
        }
        let own = if r.marked { 100 * MILLI } else { 200 * MILLI };
        let wait = come_back.unwrap_or(own) + self.rng.random_range(0..50 * MILLI);
        let r = &mut self.requests[request];
        if r.tries >= TRIES || self.now + wait - r.born > REQUEST_PATIENCE {
            r.done = true;
            return;
        }
        self.go(request, wait);
    }

    fn arrive(&mut self, request: usize, gate: usize) {
        let (r, now) = (&self.requests[request], self.now);
        if !self.gates[gate].up {
            return;
        }
        let (shard, number) = (r.shard, r.tries);
        let repeat = r.marked && r.tries > 1 || self.gates[gate].is_repeat(now, r.key);
        if !repeat {
            return self.send(request, gate, number, 1, false);
        }
        match self.gates[gate].may(shard) {
            Ok(()) => self.send(request, gate, number, 1, true),
            Err(come_back) => self.hold_back(request, gate, number, come_back),
        }
    }

    fn hold_back(&mut self, request: usize, gate: usize, number: u32, come_back: Option<Micros>) {
        let (shard, left) = (self.requests[request].shard, CLIENT_PATIENCE);
        self.gates[gate].held_back += 1;
        self.hand(gate, Input::Wanted { shard, worth: 1.0, left });
        self.after(MILLI, 2 * MILLI, Event::Reply { request, number, served: false, come_back });
    }

    fn send(&mut self, request: usize, gate: usize, number: u32, nth: u32, further: bool) {
        let shard = self.requests[request].shard;
        let node = shard as usize * self.day.nodes + self.rng.random_range(0..self.day.nodes);
        let (attempt, life) = (self.attempts.len(), self.gates[gate].life);
        self.attempts.push(Attempt { request, number, gate, life, node, nth, open: true });
        self.hand(gate, Input::Sent { shard, further });
        self.after(MILLI / 2, 2 * MILLI, Event::AtNode { attempt });
        self.at(self.now + PATIENCE, Event::End { attempt, fate: End::Mute });
    }

    fn at_node(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (node, request, shard) = (a.node, a.request, self.requests[a.request].shard);
        self.records.arrivals.push(Arrival { at: self.now, shard, request });
        let refuse = self.day.refuse > 0.0 && shard == 0 && self.rng.random_bool(self.day.refuse);
        match self.nodes[node].takes(self.now, refuse) {
            Fate::Served(at) => {
                self.records.served.push((at, shard));
                let back = at + self.rng.random_range(MILLI / 2..2 * MILLI);
                self.at(back, Event::End { attempt, fate: End::Served });
            }
            Fate::Refused => self.after(MILLI / 2, 2 * MILLI, Event::End { attempt, fate: End::Refused }),
            Fate::Lost => {}
        }
    }

    fn end(&mut self, attempt: usize, fate: End) {
        let a = &mut self.attempts[attempt];
        if !a.open {
            return;
        }
        a.open = false;
        let (request, gate, number, node, nth) = (a.request, a.gate, a.number, a.node, a.nth);
        if !self.gates[gate].up || self.gates[gate].life != a.life {
            return;
        }
        let (shard, key) = (self.requests[request].shard, self.requests[request].key);
        self.hand(gate, Input::Ended { shard, served: fate == End::Served, refused: fate == End::Refused });
        let mute = self.gates[gate].mute.entry(node).or_default();
        *mute = if fate == End::Mute { *mute + 1 } else { 0 };
        // Own sight: three in a row without an answer, or a start so short ago that the node is cold yet.
        let first = shard as usize * self.day.nodes;
        let on = (first..first + self.day.nodes).any(|n| {
            self.gates[gate].mute.get(&n).is_some_and(|&m| m >= 3) || self.nodes[n].is_cold(self.now)
        });
        self.hand(gate, Input::Recovers { shard, on });
        if fate == End::Served {
            self.after(MILLI, 2 * MILLI, Event::Reply { request, number, served: true, come_back: None });
            return;
        }
        if nth < ATTEMPTS && self.requests[request].tries == number && !self.requests[request].done {
            match self.gates[gate].may(shard) {
                Ok(()) => return self.send(request, gate, number, nth + 1, true),
                Err(come_back) => {
                    self.hand(gate, Input::Unserved { key });
                    return self.hold_back(request, gate, number, come_back);
                }
            }
        }
        self.hand(gate, Input::Unserved { key });
        self.after(MILLI, 2 * MILLI, Event::Reply { request, number, served: false, come_back: None });
    }
}
