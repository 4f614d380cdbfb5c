//! Simulated fleet in virtual time: gateways with a shadow each, clients that read and write at all of them, and a store with
//! two maps.
#![allow(dead_code)]

mod store;

use std::collections::{BTreeMap, BTreeSet};

use peer::{Incarnation, Life, Nonce, PeerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shadow::{Digest, Input, Output, Plant, Shadow, ShadowOptions, Tried, TryId, Verdict};
pub use store::{BAD, EXTENT_BLOCKS, EXTENTS, Fault, Store, VOLUMES, current, mix};

pub const REST: i64 = 200_000;

enum Event {
    Client(usize),
    Read { nsid: u32, slba: u64, blocks: u32, began: i64 },
    Answered(Input),
    Apply { nsid: u32, slba: u64, blocks: u32, stamp: u64 },
    Try { id: TryId, shard: u32, nsid: u32, slba: u64, blocks: u32 },
    Message { from: usize, life: Life, body: Vec<u8> },
    Tick,
    LoseWrites,
}

/// What one instance has actually done, as counted by the model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Truth {
    pub sent: u64,
    pub compared: u64,
    pub sent_when_kept: u64,
}

pub struct Gateway {
    pub shadow: Option<Shadow>,
    pub life: u64,
    pub truth: Vec<Truth>,
    pub kept: Option<Vec<u8>>,
    pub most_held: (usize, usize),
    pub turned_away: Vec<(PeerName, &'static str)>,
    pub ids: BTreeSet<TryId>,
    pub second_tries: u64,
    reads: BTreeSet<(u32, u64, u32, i64)>,
    tick_at: i64,
    clock: i64,
}

pub struct World {
    pub now: i64,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub options: Box<dyn Fn(ShadowOptions) -> ShadowOptions>,
    pub clients: bool,
    pub cut: BTreeSet<(usize, usize)>,
    pub tries: BTreeMap<(u32, i64), u64>,
    pub loss: f64,
    /// Number of messages sent, and their bytes.
    pub notes: (u64, u64),
    rng: SmallRng,
    events: BTreeMap<(i64, u64), (usize, u64, Event)>,
    event_count: u64,
    /// Extents that differed at the time of the fault; later writes may repair them.
    pub differed: BTreeSet<(u32, u64)>,
}

pub fn name(of: usize) -> PeerName {
    PeerName(format!("g{of}"))
}

pub fn life(of: u64) -> Life {
    Life { incarnation: Incarnation(of), nonce: Nonce(mix(&[of])) }
}

impl World {
    pub fn new(seed: u64, gateways: usize, fault: Fault, plant: Plant) -> World {
        let gateway = |of| Gateway {
            shadow: None,
            life: 0,
            truth: Vec::new(),
            kept: None,
            most_held: (0, 0),
            turned_away: Vec::new(),
            ids: BTreeSet::new(),
            second_tries: 0,
            reads: BTreeSet::new(),
            tick_at: i64::MAX,
            clock: 1_000_003 * (of as i64 + 1) * 37,
        };
        let mut world = World {
            now: 0,
            store: Store::new(fault, 0.75),
            gateways: (0..gateways).map(gateway).collect(),
            options: Box::new(move |options| ShadowOptions { plant, ..options }),
            clients: true,
            cut: BTreeSet::new(),
            tries: BTreeMap::new(),
            loss: 0.02,
            notes: (0, 0),
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            differed: BTreeSet::new(),
        };
        if let Fault::Stale(at) = fault {
            world.after(at, 0, Event::LoseWrites);
        }
        world.differed = world.store.differing();
        world
    }

    /// Starts all gateways with their clients.
    pub fn start_all(&mut self) {
        for of in 0..self.gateways.len() {
            self.start(of);
        }
    }

    fn after(&mut self, by: i64, of: usize, event: Event) {
        self.event_count += 1;
        let life = self.gateways[of].life;
        self.events.insert((self.now + by.max(0), self.event_count), (of, life, event));
    }

    pub fn start(&mut self, of: usize) {
        let members = self.gateways.len();
        let g = &mut self.gateways[of];
        g.life += 1;
        g.tick_at = i64::MAX;
        g.reads.clear();
        g.truth.push(Truth::default());
        let mut options = ShadowOptions::new(name(of), self.store.candidate.clone(), current(), members);
        options.node_rate = 1e6;
        (options.rest, options.beat, options.hold, options.keep) = (REST, 50_000, 500_000, 100_000);
        options.patience = 20_000;
        let options = (self.options)(options);
        let (now, seed) = (self.now + g.clock, mix(&[of as u64, g.life]));
        let shadow =
            Shadow::new(options, life(g.life), g.kept.as_deref(), now, seed).expect("the candidate fits");
        g.shadow = Some(shadow);
        let nodes = (1..=3).chain(11..=13).map(|shard| (shard, format!("n{shard}"))).collect();
        self.tell(of, Input::Nodes(nodes));
        self.tell(of, Input::Peers((0..members).map(name).collect()));
        self.after(1, of, Event::Client(of));
    }

    /// Power loss: counters that were not stored are lost, and writes in flight at nodes may still run.
    pub fn kill(&mut self, of: usize) {
        self.gateways[of].shadow = None;
    }

    pub fn tell(&mut self, of: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.now + self.gateways[of].clock;
        let Some(shadow) = &mut self.gateways[of].shadow else { return };
        shadow.handle(now, input, &mut out);
        let (due, held) = (shadow.next_due(), shadow.held());
        let g = &mut self.gateways[of];
        g.most_held = (g.most_held.0.max(held.0), g.most_held.1.max(held.1));
        let due = (due - g.clock).max(self.now + 1);
        if due < g.tick_at {
            g.tick_at = due;
            self.after(due - self.now, of, Event::Tick);
        }
        out.into_iter().for_each(|output| self.execute(of, output));
    }

    fn execute(&mut self, of: usize, output: Output) {
        match output {
            Output::Try { id, node, shard, nsid, slba, blocks, patience: _ } => {
                assert_eq!(node, format!("n{shard}"));
                *self.tries.entry((shard, self.now / 1_000_000)).or_default() += 1;
                let g = &mut self.gateways[of];
                g.truth.last_mut().expect("the gateway runs").sent += 1;
                assert!(g.ids.insert(id), "an identifier is reused");
                let took = self.rng.random_range(50..2_000);
                self.after(took, of, Event::Try { id, shard, nsid, slba, blocks });
            }
            Output::Send { to, body } => {
                let to: usize = to.0[1..].parse().expect("a peer");
                let life = life(self.gateways[of].life);
                assert!(body.len() <= 64 << 10, "a message of {} bytes", body.len());
                self.notes = (self.notes.0 + 1, self.notes.1 + body.len() as u64);
                let copies = [(1.0 - self.loss), 0.05].map(|p| self.rng.random_bool(p));
                for _ in copies.iter().filter(|sent| **sent) {
                    let delay = self.rng.random_range(100..10_000);
                    self.event_count += 1;
                    let at = (self.now + delay, self.event_count);
                    // It reaches whichever life of the receiver is running then.
                    self.events.insert(at, (to, 0, Event::Message { from: of, life, body: body.clone() }));
                }
            }
            Output::Keep(bytes) => {
                let g = &mut self.gateways[of];
                g.kept = Some(bytes);
                let truth = g.truth.last_mut().expect("the gateway runs");
                truth.sent_when_kept = truth.sent;
            }
            Output::TurnedAway { from, why } => self.gateways[of].turned_away.push((from, why)),
        }
    }

    /// Runs until a condition holds; returns whether it did before the limit.
    pub fn run(&mut self, limit: i64, mut until: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + limit;
        let mut next_check_at = self.now;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                self.now = end;
                return until(self);
            }
            let Some(((at, _), (of, life, event))) = self.events.pop_first() else { break };
            self.now = at;
            if at >= next_check_at {
                if until(self) {
                    // The event has not happened yet.
                    self.event_count += 1;
                    self.events.insert((at, self.event_count), (of, life, event));
                    return true;
                }
                next_check_at = at + 10_000;
            }
            if life == 0 || life == self.gateways[of].life {
                self.process_event(of, event);
            } else if let Event::Apply { .. } = event {
                self.process_event(of, event);
            }
        }
        until(self)
    }

    fn process_event(&mut self, of: usize, event: Event) {
        match event {
            Event::Client(of) => {
                if self.clients && self.gateways[of].shadow.is_some() {
                    self.send_request(of);
                }
                let next = self.rng.random_range(50..600);
                self.after(next, of, Event::Client(of));
            }
            Event::Read { nsid, slba, blocks, began } => {
                let shard = current()[(nsid - 1) as usize].shards[(slba / EXTENT_BLOCKS) as usize];
                let digest = self.store.read(shard, nsid, slba, blocks);
                let ended = self.now + self.rng.random_range(20..1_000);
                let clock = self.gateways[of].clock;
                let (node, began, reported_end) = (format!("n{shard}"), began + clock, ended + clock);
                let read = Input::Read { nsid, slba, blocks, node, began, ended: reported_end, digest };
                self.after(ended - self.now, of, Event::Answered(read));
            }
            Event::Answered(input) => self.tell(of, input),
            Event::Apply { nsid, slba, blocks, stamp } => {
                self.store.write(self.now, nsid, slba, blocks, stamp)
            }
            Event::Try { id, shard, nsid, slba, blocks } => self.answer(of, id, shard, (nsid, slba, blocks)),
            Event::Message { from, life, body } => {
                if !self.cut.contains(&(from, of)) {
                    self.tell(of, Input::Heard { from: name(from), life, body });
                }
            }
            Event::Tick => {
                if self.gateways[of].tick_at <= self.now {
                    self.gateways[of].tick_at = i64::MAX;
                    self.tell(of, Input::Tick);
                }
            }
            Event::LoseWrites => {
                self.store.lose_writes(self.now);
                self.differed = self.store.differing();
            }
        }
    }

    fn send_request(&mut self, of: usize) {
        let nsid = VOLUMES[self.rng.random_range(0..2)];
        let blocks = self.rng.random_range(1..=32);
        let slba = self.rng.random_range(0..EXTENTS) * EXTENT_BLOCKS;
        let slba = slba + self.rng.random_range(0..=EXTENT_BLOCKS - u64::from(blocks));
        // Some requests go to a few hot blocks.
        let is_hot = self.rng.random_bool(0.1);
        let slba = if is_hot { slba % EXTENT_BLOCKS % 64 + EXTENT_BLOCKS * (slba % 4) } else { slba };
        if self.rng.random_bool(0.8) {
            let wait = self.rng.random_range(20..1_000);
            return self.after(wait, of, Event::Read { nsid, slba, blocks, began: self.now });
        }
        let token = self.rng.random();
        self.tell(of, Input::WriteBegan { nsid, slba, blocks, token });
        let took = self.rng.random_range(100..3_000);
        let known = !self.rng.random_bool(0.03);
        // A write of unknown outcome takes effect at any time until its rest period ends, or never.
        let applies = if known {
            Some(self.rng.random_range(0..=took))
        } else {
            self.rng.random_bool(0.7).then(|| self.rng.random_range(0..took + REST))
        };
        if let Some(at) = applies {
            let stamp = self.rng.random();
            self.after(at, of, Event::Apply { nsid, slba, blocks, stamp });
        }
        self.after(took, of, Event::Answered(Input::WriteEnded { token, known }));
    }

    fn answer(&mut self, of: usize, id: TryId, shard: u32, (nsid, slba, blocks): (u32, u64, u32)) {
        let fault = if shard == BAD { self.store.fault } else { Fault::None };
        let data = match fault {
            // The caller enforces the timeout.
            Fault::Stall => return self.answer_late(of, id, Tried::TimedOut),
            Fault::Lie => Digest::of(&self.rng.random::<[u8; 8]>()),
            _ => self.store.read(shard, nsid, slba, blocks),
        };
        let outcome = if self.rng.random_bool(0.001) { Tried::Failed } else { Tried::Data(data) };
        if matches!(outcome, Tried::Data(_)) {
            self.gateways[of].truth.last_mut().expect("the gateway runs").compared += 1;
        }
        let delay = self.rng.random_range(20..1_000);
        let ended = self.now + delay + self.gateways[of].clock;
        let answers = if fault == Fault::Twice { vec![0, 50, 60_000] } else { vec![0] };
        for more in answers {
            self.after(delay + more, of, Event::Answered(Input::Tried { id, ended, outcome }));
        }
    }

    fn answer_late(&mut self, of: usize, id: TryId, outcome: Tried) {
        let ended = self.now + 20_000 + self.gateways[of].clock;
        // Every third end is not reported at all.
        if !id.0.is_multiple_of(3) {
            self.after(20_000, of, Event::Answered(Input::Tried { id, ended, outcome }));
        }
    }

    pub fn verdict(&self, of: usize) -> Verdict {
        self.gateways[of].shadow.as_ref().expect("the gateway runs").verdict()
    }

    /// Shadow reads sent by all lives of all gateways, as counted by the model.
    pub fn sent(&self) -> u64 {
        self.gateways.iter().flat_map(|g| &g.truth).map(|truth| truth.sent).sum()
    }

    pub fn compared(&self) -> u64 {
        self.gateways.iter().flat_map(|g| &g.truth).map(|truth| truth.compared).sum()
    }

    /// Stops the clients and waits until all running gateways have equal verdicts and nothing is pending.
    pub fn settle(&mut self) -> bool {
        self.clients = false;
        let mut next_check_at = 0;
        let settled = move |w: &World| {
            if w.now < next_check_at {
                return false;
            }
            next_check_at = w.now + 200_000;
            let live: Vec<&Shadow> = w.gateways.iter().filter_map(|g| g.shadow.as_ref()).collect();
            live.iter().all(|shadow| shadow.held() == (0, 0))
                && live.windows(2).all(|two| two[0].verdict() == two[1].verdict())
        };
        // Requests in flight end within this time.
        self.run(100_000, |_| false);
        self.run(60_000_000, settled)
    }
}

/// Shadow reads sent, according to a verdict.
pub fn sent(verdict: &Verdict) -> u64 {
    verdict.shards.iter().map(|shard| shard.sent).sum()
}
