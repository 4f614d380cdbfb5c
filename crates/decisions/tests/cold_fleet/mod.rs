//! Simulates a fleet of schedulers and nodes that start cold, in virtual time. What all hosts together send
//! to a node in each window is compared with what the settings allow at that time. The simulation is not
//! calibrated.
#![allow(dead_code, reason = "the test and the example each use a part")]

mod volumes;
mod work;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use decisions::*;

pub use volumes::Volumes;
pub use work::{Summary, Work};

pub const SECOND: Micros = 1_000_000;
/// Until this time hosts learn how their requests are distributed over the shards; from then on nodes are
/// replaced.
const REPLACED_FROM: Micros = 6 * SECOND;
const REPLACED_WITHIN: Micros = 1_500_000;
const END: Micros = REPLACED_FROM + REPLACED_WITHIN + 13 * SECOND;
/// Longest time that a late connection takes.
const MAX_CONNECT_DELAY: Micros = 250_000;

/// A fleet and the load on it.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub seed: u64,
    pub hosts: u32,
    pub nodes: u32,
    /// Requests of mean work that a cold node can take in a window.
    pub requests_per_window: f64,
    /// Volumes for each node; each has one to four shards, and its requests come through one to three hosts.
    pub volumes: u32,
    /// Ratio of the requests of the busiest host to those of the idlest, and of the volumes of the most
    /// popular shard to those of the least popular.
    pub skew: (f64, f64),
    /// Requests, as a fraction of what all nodes can serve when warm.
    pub load: f64,
    /// Of a hundred hosts: how many start during the simulation, and how many are killed and restart at once.
    pub starts: (u64, u64),
    /// All hosts that are killed are killed at the same time, when the first node is replaced.
    pub killed_together: bool,
    /// All requests are of mean work, so that slow-start slots can be used fully.
    pub mean_work: bool,
    /// The fraction of its capacity that a node starts with.
    pub cold_start_fraction: f64,
    /// Longest delay of a node list change.
    pub list_delay: Micros,
    /// Injected fault: the hosts' setting of a cold node's capacity is this multiple of the true one.
    pub cold_units_factor: f64,
}

impl Fleet {
    pub fn new(seed: u64, hosts: u32, requests_per_window: f64) -> Self {
        Fleet {
            seed,
            hosts,
            nodes: 40,
            requests_per_window,
            volumes: 5,
            skew: (5.0, 2.0),
            load: 0.7,
            starts: (10, 20),
            killed_together: false,
            mean_work: false,
            cold_start_fraction: 0.25,
            list_delay: 2 * SECOND,
            cold_units_factor: 1.0,
        }
    }

    /// The settings of a host.
    pub fn settings(&self, index: u32) -> Settings {
        let class = Class {
            latency_target: 250_000,
            latency_target_stretch: 0.0,
            worth: 1.0,
            late_worth: 0.1,
            idempotency: Idempotency::Safe,
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
            needs_subscription: false,
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            probing: false,
            retry_advice: true,
            max_retry_after: SECOND,
            cold_units: self.requests_per_window * 2.0 * self.cold_units_factor,
            cold_window: 2 * SECOND,
            cold_start_fraction: self.cold_start_fraction,
            warm_after: 12 * SECOND,
            drain_grace: SECOND,
            key_pause: 0,
            retry_budget: None,
            max_request_units: 8.0,
            mean_request_units: 2.0,
            share_worth: 0.35,
            spare_worth: 0.08,
            waste_cost: 0.03,
        }
    }

    pub fn run(&self) -> Summary {
        Simulation::new(self).run()
    }
}

/// A random number generator of its own.
pub struct TestRng(u64);

impl TestRng {
    pub fn new(seed: u64) -> Self {
        TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number between 0 and 1, both excluded.
    pub fn unit_interval(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 12) as f64 + 0.5) / (1u64 << 52) as f64
    }

    pub fn below(&mut self, n: u64) -> u64 {
        (self.unit_interval() * n as f64) as u64
    }

    pub fn span(&mut self, from: Micros, to: Micros) -> Micros {
        from + (self.unit_interval() * (to - from) as f64) as Micros
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A new request at a host.
    Request(usize),
    /// The retry of a refused request at a host.
    Retry(usize, u64),
    /// A timer of a host: host, its process number, token.
    Timer(usize, u32, u64),
    /// The end of an attempt: host, its process number, request, attempt.
    Answer(usize, u32, u64, u32),
    /// A host receives the node list up to this number of changes.
    ListChange(usize, usize),
    /// A host process starts.
    Start(usize),
}

/// A request as its client knows it.
#[derive(Clone, Copy)]
struct ClientRequest {
    volume: usize,
    shard: u32,
    units: f64,
    is_retry: bool,
}

/// An attempt in flight: its node, when it was sent, and how it will end.
type InFlight = (NodeId, Micros, Outcome);

struct Simulation<'a> {
    fleet: &'a Fleet,
    rng: TestRng,
    volumes: Volumes,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Number of events scheduled so far; makes their order unique.
    scheduled: u64,
    now: Micros,
    /// The scheduler of each host, and how many processes it has had.
    hosts: Vec<(Option<Scheduler>, u32)>,
    /// Changes of the node list in order: when the node of a shard is replaced by a cold one.
    replacements: Vec<(Micros, u32)>,
    /// How many of the replacements each host has received.
    received: Vec<usize>,
    requests: HashMap<u64, ClientRequest>,
    attempts: HashMap<(u64, u32), InFlight>,
    /// Attempts sent, by request.
    tries: HashMap<u64, u32>,
    next_id: u64,
    work: Work,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let mut rng = TestRng::new(fleet.seed);
        let volumes = Volumes::distribute(fleet, &mut rng);
        let mut replacements: Vec<(Micros, u32)> =
            (0..fleet.nodes).map(|n| (rng.span(REPLACED_FROM, REPLACED_FROM + REPLACED_WITHIN), n)).collect();
        replacements.sort_unstable();
        let work = Work::new(fleet, &replacements);
        let mut simulation = Simulation {
            fleet,
            rng,
            volumes,
            events: BinaryHeap::new(),
            scheduled: 0,
            now: 0,
            hosts: (0..fleet.hosts).map(|_| (None, 0)).collect(),
            replacements,
            received: vec![0; fleet.hosts as usize],
            requests: HashMap::new(),
            attempts: HashMap::new(),
            tries: HashMap::new(),
            next_id: 0,
            work,
        };
        for h in 0..fleet.hosts as usize {
            let (late, restarted) = fleet.starts;
            let drawn = simulation.rng.below(100);
            let start = if drawn < late { simulation.rng.span(SECOND, END) } else { 0 };
            simulation.schedule(start, SimEvent::Start(h));
            if (late..late + restarted).contains(&drawn) {
                let at = if fleet.killed_together {
                    REPLACED_FROM
                } else {
                    simulation.rng.span(REPLACED_FROM, END)
                };
                simulation.schedule(at, SimEvent::Start(h));
            }
            let first = simulation.rng.span(0, SECOND);
            simulation.schedule(first, SimEvent::Request(h));
            for k in 0..simulation.replacements.len() {
                let at = simulation.replacements[k].0 + simulation.rng.span(0, fleet.list_delay);
                simulation.schedule(at, SimEvent::ListChange(h, k + 1));
            }
        }
        simulation
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn run(mut self) -> Summary {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < END
        {
            self.now = at;
            self.process(event);
        }
        self.work.summary()
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request(h) => {
                let gap = -self.rng.unit_interval().ln() / self.volumes.rates[h];
                self.schedule(self.now + (gap * 1e6) as Micros, SimEvent::Request(h));
                let (volume, shard) = self.volumes.random_request(h, &mut self.rng);
                // One to five units, two in the mean: half of the requests have one, few are large.
                let random_units = [1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 3.0, 5.0][self.rng.below(8) as usize];
                let units = if self.fleet.mean_work { 2.0 } else { random_units };
                self.submit(h, ClientRequest { volume, shard, units, is_retry: false });
            }
            SimEvent::Retry(h, id) => {
                if let Some(&request) = self.requests.get(&id) {
                    self.submit(h, ClientRequest { is_retry: true, ..request });
                }
            }
            SimEvent::Timer(h, process, token) if self.hosts[h].1 == process => {
                self.handle(h, Event::Timer(token))
            }
            SimEvent::Answer(h, process, id, attempt) => {
                let Some((node, sent, outcome)) = self.attempts.remove(&(id, attempt)) else { return };
                if outcome == Outcome::Served {
                    self.work.record_served(self.now, self.requests[&id].shard);
                }
                if self.hosts[h].1 == process {
                    let (request, latency) = (RequestId(id), self.now - sent);
                    let settled = outcome == Outcome::Served;
                    let (metered_use, units_elsewhere) = (None, 0.0);
                    let answer = Answer {
                        request,
                        attempt,
                        node,
                        outcome,
                        settled,
                        latency,
                        metered_use,
                        units_elsewhere,
                    };
                    self.handle(h, Event::Answer(answer));
                }
            }
            SimEvent::ListChange(h, count) => {
                let before = self.received[h];
                self.received[h] = before.max(count);
                let entries = self.entries(before, self.received[h]);
                if self.hosts[h].0.is_some() && !entries.is_empty() {
                    self.handle(h, Event::Nodes { complete: false, from_cache: false, entries });
                }
            }
            SimEvent::Start(h) => {
                let settings = self.fleet.settings(h as u32);
                let process = self.hosts[h].1 + 1;
                self.hosts[h] = (Some(Scheduler::new(settings, u64::from(process))), process);
                let old = (0..self.fleet.nodes).map(|n| entry(n, n, NodeState::On, None));
                let entries: Vec<_> = old.chain(self.entries(0, self.received[h])).collect();
                self.handle(h, Event::Nodes { complete: false, from_cache: false, entries });
            }
            SimEvent::Timer(..) => {}
        }
    }

    /// The entries of a range of replacements: the old node drains, a cold one comes.
    fn entries(&self, from: usize, to: usize) -> Vec<NodeEntry> {
        let change = |&(at, n): &(Micros, u32)| {
            [entry(n, n, NodeState::Draining, None), entry(n + self.fleet.nodes, n, NodeState::On, Some(at))]
        };
        self.replacements[from..to].iter().flat_map(change).collect()
    }

    fn submit(&mut self, h: usize, client_request: ClientRequest) {
        if self.hosts[h].0.is_none() {
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(id, client_request);
        self.work.record_request(self.now, client_request.shard);
        let request = Request {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(client_request.volume as u64),
            key: Some(KeyId(id)),
            shard: Some(ShardId(client_request.shard)),
            units: client_request.units,
            hosts: self.volumes.hosts_of(client_request.volume),
            timeout: SECOND,
            is_retry: client_request.is_retry,
            client: None,
        };
        self.handle(h, Event::Request(request));
    }

    fn handle(&mut self, h: usize, event: Event) {
        let mut actions = Vec::new();
        let (Some(scheduler), process) = &mut self.hosts[h] else { return };
        let process = *process;
        scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, SimEvent::Timer(h, process, token));
                }
                Action::Send { request, node, .. } => self.send(h, process, request.0, node),
                Action::Refuse { request, retry_after } if !self.requests[&request.0].is_retry => {
                    self.schedule(self.now + retry_after.max(1000), SimEvent::Retry(h, request.0));
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt. Some arrive late because of their connection; some are rejected by the node, and
    /// count too.
    fn send(&mut self, h: usize, process: u32, id: u64, node: NodeId) {
        let connect_delay = if self.rng.below(5) == 0 { self.rng.span(0, MAX_CONNECT_DELAY) } else { 0 };
        let outcome = if self.rng.below(10) == 0 { Outcome::Full } else { Outcome::Served };
        let tries = self.tries.entry(id).or_default();
        let attempt = std::mem::replace(tries, *tries + 1);
        let arrives = self.now + 1000 + connect_delay;
        self.attempts.insert((id, attempt), (node, self.now, outcome));
        self.work.record_arrival(arrives, node.0, self.requests[&id].units);
        let answered = arrives + self.rng.span(20_000, 60_000);
        self.schedule(answered, SimEvent::Answer(h, process, id, attempt));
    }
}

fn entry(node: u32, shard: u32, state: NodeState, started: Option<Micros>) -> NodeEntry {
    NodeEntry { node: NodeId(node), zone: 0, shard: ShardId(shard), state, started }
}
