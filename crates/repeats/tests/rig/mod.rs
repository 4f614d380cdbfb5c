//! A fleet in virtual time: clients that retry at other gateways; gateways with their own clocks; nodes
//! that are silent, cold and overloaded; messages that are lost, late and duplicated; network
//! partitions; kills. Arrivals at the nodes are recorded and checked separately.
#![allow(dead_code)]

pub mod check;
mod event;
pub mod gateway;
pub mod node;
pub mod scenario;
pub mod steward;

use std::collections::BTreeMap;

use peer::PeerName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use repeats::{Input, Micros, request_key};

use check::{Arrival, Records};
use event::{Attempt, End, Event, Request};
use gateway::{Gateway, life, name};
use node::{Node, NodeResponse};
use scenario::Scenario;

pub const SECOND: Micros = 1_000_000;
pub const MILLI: Micros = 1_000;
/// How long a gateway waits for a node.
const NODE_TIMEOUT: Micros = 200 * MILLI;
/// Attempts of a gateway for each request it receives.
const ATTEMPTS: u32 = 3;
/// How long a client waits for a gateway, for a request in all, and how often it tries.
const CLIENT_TIMEOUT: Micros = 700 * MILLI;
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
const TRIES: u32 = 8;
const TICK: Micros = 5 * MILLI;

pub struct Rig {
    scenario: Scenario,
    rng: SmallRng,
    now: Micros,
    events: BTreeMap<(Micros, u64), Event>,
    order: u64,
    gateways: Vec<Gateway>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    pub records: Records,
    /// When each request was first sent, its shard, and how long its client waited until it was served.
    pub answers: Vec<(Micros, u32, Option<Micros>)>,
    pub messages: u64,
    pub bytes: u64,
}

impl Rig {
    /// Runs the scenario.
    pub fn run(scenario: Scenario) -> Rig {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let gateways = (0..scenario.gateways).map(|i| {
            // The first clock is fast and the second slow by the full drift, the others are somewhere
            // between.
            let part = [1.0, -1.0].get(i).copied().unwrap_or_else(|| rng.random_range(-1.0..1.0));
            Gateway::new(i, (scenario.drift * part * 1e6) as Micros)
        });
        let gateways = gateways.collect();
        let nodes = (0..scenario.shards as usize * scenario.nodes).map(|i| Node {
            capacity: scenario.capacity,
            wait: 300 * MILLI,
            refusal: 0.3,
            silent: if i < scenario.nodes { scenario.silent } else { None },
            warm_up: scenario.warm_up,
            busy_until: 0,
        });
        let nodes = nodes.collect();
        let (requests, attempts, answers) = (Vec::new(), Vec::new(), Vec::new());
        let events = BTreeMap::new();
        let records = Records::default();
        let mut rig = Rig {
            scenario,
            rng,
            now: 0,
            events,
            order: 0,
            gateways,
            nodes,
            requests,
            attempts,
            records,
            answers,
            messages: 0,
            bytes: 0,
        };
        for gateway in 0..rig.scenario.gateways {
            rig.start(gateway);
        }
        (0..rig.scenario.shards).for_each(|shard| rig.schedule(1, Event::New(shard)));
        rig.schedule(TICK, Event::Tick);
        if let Some(every) = rig.scenario.kills {
            for (n, at) in (SECOND..rig.scenario.end).step_by(every as usize).enumerate() {
                rig.schedule(at, Event::Kill(n % rig.scenario.gateways));
            }
        }
        while let Some(((at, _), event)) = rig.events.pop_first() {
            if at > rig.scenario.end {
                break;
            }
            rig.now = at;
            rig.process(event);
        }
        rig
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn schedule_between(&mut self, from: Micros, to: Micros, event: Event) {
        let at = self.now + self.rng.random_range(from..=to);
        self.schedule(at, event);
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let half = self.scenario.gateways / 2;
        self.scenario.partition.is_some_and(|(from, to)| (from..to).contains(&self.now))
            && (a < half) != (b < half)
    }

    fn handle_input(&mut self, gateway: usize, input: Input) {
        let messages = self.gateways[gateway].handle_input(self.now, input);
        let life = self.gateways[gateway].life;
        for (to, body) in messages {
            let to = (0..self.scenario.gateways).find(|&i| name(i) == to).expect("a member");
            self.messages += 1;
            self.bytes += body.len() as u64;
            if self.is_partitioned(gateway, to) || self.rng.random_bool(self.scenario.lost) {
                continue;
            }
            let late = |rng: &mut SmallRng| rng.random_range(SECOND / 20..10 * SECOND);
            let delay = if self.rng.random_bool(self.scenario.late) {
                if self.rng.random_bool(0.5) { 10 * SECOND } else { late(&mut self.rng) }
            } else {
                self.rng.random_range(MILLI..3 * MILLI)
            };
            if self.rng.random_bool(self.scenario.duplicated) {
                let again = if self.rng.random_bool(0.5) { MILLI } else { late(&mut self.rng) };
                self.schedule(
                    self.now + delay + again,
                    Event::Message { from: gateway, life, to, body: body.clone() },
                );
            }
            self.schedule(self.now + delay, Event::Message { from: gateway, life, to, body });
        }
    }

    fn start(&mut self, gateway: usize) {
        let mut options = self.scenario.options(gateway);
        options.name = name(gateway);
        let (source, fault, seed) = (self.scenario.source, self.scenario.fault, self.scenario.seed);
        self.gateways[gateway].start(self.now, source, fault, options, seed);
        let peers: Vec<PeerName> =
            (0..self.scenario.gateways).filter(|&i| !self.is_partitioned(gateway, i)).map(name).collect();
        self.handle_input(gateway, Input::PeersChanged(peers));
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::New(shard) => self.start_request(shard),
            Event::Try { request, gateway } => self.handle_client_request(request, gateway),
            Event::AtNode { attempt } => self.at_node(attempt),
            Event::End { attempt, outcome } => self.end(attempt, outcome),
            Event::Reply { request, try_number, served, retry_after } => {
                self.handle_reply(request, try_number, served, retry_after)
            }
            Event::TimedOut { request, try_number } => self.handle_reply(request, try_number, false, None),
            Event::Message { from, life: n, to, body } => {
                if self.gateways[to].up {
                    self.handle_input(to, Input::MessageReceived { from: name(from), life: life(n), body });
                }
            }
            Event::Tick => {
                // The membership view changes when a partition begins and when it ends.
                let turned = self.scenario.partition.is_some_and(|(from, to)| {
                    [from, to].iter().any(|t| (self.now - TICK..self.now).contains(t))
                });
                for gateway in 0..self.scenario.gateways {
                    if turned && self.gateways[gateway].up {
                        let peers = (0..self.scenario.gateways)
                            .filter(|&i| !self.is_partitioned(gateway, i))
                            .map(name)
                            .collect();
                        self.handle_input(gateway, Input::PeersChanged(peers));
                    }
                    if self.gateways[gateway].is_due(self.now) {
                        self.handle_input(gateway, Input::Tick);
                    }
                }
                self.schedule(self.now + TICK, Event::Tick);
            }
            Event::Kill(gateway) => {
                self.gateways[gateway].up = false;
                self.schedule(self.now + 200 * MILLI, Event::Start(gateway));
            }
            Event::Start(gateway) => self.start(gateway),
        }
    }

    fn start_request(&mut self, shard: u32) {
        let rate = self.scenario.load * self.scenario.capacity * self.scenario.nodes as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1e6 / rate;
        self.schedule(self.now + gap as Micros + 1, Event::New(shard));
        let key = request_key(shard, self.requests.len() as u64, 0, 8);
        let (is_marked, created) = (!self.rng.random_bool(self.scenario.unmarked), self.now);
        let request = self.requests.len();
        self.answers.push((created, shard, None));
        self.requests.push(Request {
            shard,
            key,
            is_marked,
            created,
            tries: 0,
            gateway: usize::MAX,
            done: false,
        });
        self.send_client_request(request, 0);
    }

    /// A client sends its request, each time to another gateway than the last.
    fn send_client_request(&mut self, request: usize, wait: Micros) {
        let step = if self.scenario.skew { 2 } else { 1 };
        let count = self.scenario.gateways / step;
        let mut gateway = self.rng.random_range(0..count) * step;
        if gateway == self.requests[request].gateway && count > 1 {
            gateway = (gateway + step) % (count * step);
        }
        let r = &mut self.requests[request];
        r.tries += 1;
        r.gateway = gateway;
        let try_number = r.tries;
        self.schedule_between(wait + MILLI, wait + 2 * MILLI, Event::Try { request, gateway });
        self.schedule(self.now + wait + CLIENT_TIMEOUT, Event::TimedOut { request, try_number });
    }

    fn handle_reply(&mut self, request: usize, try_number: u32, served: bool, retry_after: Option<Micros>) {
        let r = &mut self.requests[request];
        if r.done || r.tries != try_number {
            return;
        }
        if served {
            r.done = true;
            self.answers[request].2 = Some(self.now - r.created);
            return;
        }
        let own = if r.is_marked { 100 * MILLI } else { 200 * MILLI };
        let wait = retry_after.unwrap_or(own) + self.rng.random_range(0..50 * MILLI);
        let r = &mut self.requests[request];
        if r.tries >= TRIES || self.now + wait - r.created > REQUEST_TIMEOUT {
            r.done = true;
            return;
        }
        self.send_client_request(request, wait);
    }

    fn handle_client_request(&mut self, request: usize, gateway: usize) {
        let (r, now) = (&self.requests[request], self.now);
        if !self.gateways[gateway].up {
            return;
        }
        let (shard, try_number) = (r.shard, r.tries);
        let repeat = r.is_marked && r.tries > 1 || self.gateways[gateway].is_repeat(now, r.key);
        if !repeat {
            return self.send(request, gateway, try_number, 1, false);
        }
        match self.gateways[gateway].try_retry(shard) {
            Ok(()) => self.send(request, gateway, try_number, 1, true),
            Err(retry_after) => self.reject(request, gateway, try_number, retry_after),
        }
    }

    fn reject(&mut self, request: usize, gateway: usize, try_number: u32, retry_after: Option<Micros>) {
        let (shard, remaining) = (self.requests[request].shard, CLIENT_TIMEOUT);
        self.gateways[gateway].rejected += 1;
        self.handle_input(gateway, Input::RetryRejected { shard, worth: 1.0, remaining });
        self.schedule_between(
            MILLI,
            2 * MILLI,
            Event::Reply { request, try_number, served: false, retry_after },
        );
    }

    fn send(&mut self, request: usize, gateway: usize, try_number: u32, attempt_number: u32, is_retry: bool) {
        let shard = self.requests[request].shard;
        let node = shard as usize * self.scenario.nodes + self.rng.random_range(0..self.scenario.nodes);
        let (attempt, life) = (self.attempts.len(), self.gateways[gateway].life);
        self.attempts.push(Attempt { request, try_number, gateway, life, node, attempt_number, open: true });
        self.handle_input(gateway, Input::AttemptSent { shard, is_retry });
        self.schedule_between(MILLI / 2, 2 * MILLI, Event::AtNode { attempt });
        self.schedule(self.now + NODE_TIMEOUT, Event::End { attempt, outcome: End::NoAnswer });
    }

    fn at_node(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (node, request, shard) = (a.node, a.request, self.requests[a.request].shard);
        self.records.arrivals.push(Arrival { at: self.now, shard, request });
        let refuse = self.scenario.refuse > 0.0 && shard == 0 && self.rng.random_bool(self.scenario.refuse);
        match self.nodes[node].receive(self.now, refuse) {
            NodeResponse::Served(at) => {
                self.records.served.push((at, shard));
                let reply_at = at + self.rng.random_range(MILLI / 2..2 * MILLI);
                self.schedule(reply_at, Event::End { attempt, outcome: End::Served });
            }
            NodeResponse::Refused => {
                self.schedule_between(MILLI / 2, 2 * MILLI, Event::End { attempt, outcome: End::Refused })
            }
            NodeResponse::Lost => {}
        }
    }

    fn end(&mut self, attempt: usize, outcome: End) {
        let a = &mut self.attempts[attempt];
        if !a.open {
            return;
        }
        a.open = false;
        let (request, gateway, try_number, node, attempt_number) =
            (a.request, a.gateway, a.try_number, a.node, a.attempt_number);
        if !self.gateways[gateway].up || self.gateways[gateway].life != a.life {
            return;
        }
        let (shard, key) = (self.requests[request].shard, self.requests[request].key);
        self.handle_input(
            gateway,
            Input::AttemptEnded { shard, served: outcome == End::Served, refused: outcome == End::Refused },
        );
        let unanswered = self.gateways[gateway].unanswered.entry(node).or_default();
        *unanswered = if outcome == End::NoAnswer { *unanswered + 1 } else { 0 };
        // This gateway's own observation: three attempts in a row without an answer, or a node that
        // started so recently that it is cold.
        let first = shard as usize * self.scenario.nodes;
        let present = (first..first + self.scenario.nodes).any(|n| {
            self.gateways[gateway].unanswered.get(&n).is_some_and(|&m| m >= 3)
                || self.nodes[n].is_cold(self.now)
        });
        self.handle_input(gateway, Input::NodeTrouble { shard, present });
        if outcome == End::Served {
            self.schedule_between(
                MILLI,
                2 * MILLI,
                Event::Reply { request, try_number, served: true, retry_after: None },
            );
            return;
        }
        if attempt_number < ATTEMPTS
            && self.requests[request].tries == try_number
            && !self.requests[request].done
        {
            match self.gateways[gateway].try_retry(shard) {
                Ok(()) => return self.send(request, gateway, try_number, attempt_number + 1, true),
                Err(retry_after) => {
                    self.handle_input(gateway, Input::RequestUnserved { key });
                    return self.reject(request, gateway, try_number, retry_after);
                }
            }
        }
        self.handle_input(gateway, Input::RequestUnserved { key });
        self.schedule_between(
            MILLI,
            2 * MILLI,
            Event::Reply { request, try_number, served: false, retry_after: None },
        );
    }
}
