//! Settings, a driver that records a trace, and a checker written from the rules alone.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use decisions::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(repeats: Repeats) -> Class {
    Class {
        aim: 200_000,
        aim_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        repeats,
        in_order: false,
        stream: false,
    }
}

pub fn plan() -> Plan {
    Plan {
        rate: 10.0,
        reserve: 10.0,
        limit: 0.0,
        limit_burst: 0.0,
        limit_slack: 0.0,
        weight: 1.0,
        price: 1.0,
    }
}

/// One safe class, one plan without limit, no budget.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Repeats::Safe)],
        plans: vec![plan()],
        hosts: 3,
        index: 0,
        must_ask: false,
        most_attempts: 4,
        second_copies: false,
        cancel: true,
        probes: false,
        advice: true,
        most_advice: SECOND,
        cold_units: 30.0,
        cold_window: 2 * SECOND,
        cold_from: 0.2,
        warm_after: 10 * SECOND,
        drain_grace: SECOND,
        order_rest: 200_000,
        budget: None,
        most_units: 8.0,
        mean_units: 2.0,
        share_worth: 0.4,
        spare_worth: 0.1,
        waste_price: 0.03,
    }
}

pub fn entry(node: u32, shard: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        zone: node % 2,
        shard: ShardId(shard),
        state: NodeState::On,
        started: None,
    }
}

pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: Some(KeyId(id)),
        shard: Some(ShardId(0)),
        units: 1.0,
        hosts: 1,
        patience: SECOND,
        retry: false,
    }
}

/// Drives a scheduler, keeps its timers, and holds every step against the rules.
pub struct Host {
    pub scheduler: Scheduler,
    pub checker: Checker,
    pub now: Micros,
    timers: Vec<(Micros, u64)>,
    pub log: Vec<(Micros, Action)>,
}

impl Host {
    pub fn new(settings: Settings) -> Self {
        Host::at(settings, 0)
    }

    pub fn at(settings: Settings, now: Micros) -> Self {
        Host {
            scheduler: Scheduler::new(settings.clone(), 1),
            checker: Checker::new(settings, now),
            now,
            timers: Vec::new(),
            log: Vec::new(),
        }
    }

    pub fn with_nodes(settings: Settings, nodes: &[NodeEntry]) -> Self {
        let mut host = Host::new(settings);
        host.nodes(true, nodes);
        host
    }

    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.checker.event(self.now, &event);
        self.scheduler.handle(self.now, event, &mut actions);
        for action in &actions {
            self.checker.action(self.now, action);
            if let Action::SetTimer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
            self.log.push((self.now, action.clone()));
        }
        actions
    }

    /// Moves the clock on, with every timer that falls due on the way.
    pub fn until(&mut self, then: Micros) {
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|&t| t <= then).min() {
            let index = self.timers.iter().position(|t| t.0 == at).unwrap();
            let (at, token) = self.timers.swap_remove(index);
            self.now = self.now.max(at);
            self.give(Event::Timer(token));
        }
        self.now = then;
        self.checker.overdue(self.now);
    }

    pub fn wait(&mut self, span: Micros) {
        self.until(self.now + span);
    }

    pub fn timers_pending(&self) -> usize {
        self.timers.len()
    }

    pub fn nodes(&mut self, whole: bool, nodes: &[NodeEntry]) -> Vec<Action> {
        self.give(Event::Nodes { whole, remembered: false, entries: nodes.to_vec() })
    }

    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        self.give(Event::Request(request))
    }

    pub fn answer(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let Some(&(node, sent)) = self.checker.out.get(&(RequestId(id), attempt)) else {
            panic!("attempt {attempt} of {id} is not out");
        };
        let settled = outcome == Outcome::Served || !self.checker.open.contains_key(&RequestId(id));
        self.give(Event::Answer(Answer {
            request: RequestId(id),
            attempt,
            node,
            outcome,
            settled,
            latency: self.now - sent,
            metered: None,
            elsewhere: 0.0,
        }))
    }

    /// Requests sent so far, in order.
    pub fn sent(&self) -> Vec<u64> {
        let sends = self.log.iter().filter_map(|(_, a)| match a {
            Action::Send { request, .. } => Some(request.0),
            _ => None,
        });
        sends.collect()
    }

    pub fn sends(actions: &[Action]) -> usize {
        actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    }

    pub fn refused(&self, id: u64) -> Option<Micros> {
        self.log.iter().find_map(|(_, a)| match a {
            Action::Refuse { request, come_back } if request.0 == id => Some(*come_back),
            _ => None,
        })
    }

    pub fn failed(&self, id: u64) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Fail { request } if request.0 == id))
    }
}

struct Past {
    ask: Request,
    deadline: Micros,
    /// Of each attempt: zone and shard of the node, when sent, and what is known of it.
    attempts: Vec<(u32, ShardId, Micros, Option<Outcome>)>,
}

/// Holds a trace of events and actions against the seven rules, as one host can.
pub struct Checker {
    set: Settings,
    born: Micros,
    nodes: BTreeMap<NodeId, (NodeEntry, Micros)>,
    past: BTreeMap<RequestId, Past>,
    pub open: BTreeMap<RequestId, Micros>,
    pub out: BTreeMap<(RequestId, u32), (NodeId, Micros)>,
    lines: BTreeMap<KeyId, VecDeque<RequestId>>,
    rests: BTreeMap<KeyId, Micros>,
    taken: Vec<Micros>,
    further: Vec<Micros>,
    stores: BTreeMap<VolumeId, (f64, Micros)>,
    colds: BTreeMap<NodeId, Vec<(Micros, f64)>>,
    pub breaches: Vec<String>,
}

fn never_ran(outcome: &Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Full | Outcome::Unreachable | Outcome::NotSent))
}

impl Checker {
    pub fn new(set: Settings, born: Micros) -> Self {
        Checker {
            set,
            born,
            nodes: BTreeMap::new(),
            past: BTreeMap::new(),
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            lines: BTreeMap::new(),
            rests: BTreeMap::new(),
            taken: Vec::new(),
            further: Vec::new(),
            stores: BTreeMap::new(),
            colds: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    fn breach(&mut self, now: Micros, what: &str) {
        self.breaches.push(format!("at {now}: {what}"));
    }

    fn ordered(&self, id: RequestId) -> Option<KeyId> {
        let past = self.past.get(&id)?;
        past.ask.key.filter(|_| self.set.classes[past.ask.class].in_order)
    }

    fn leave_line(&mut self, id: RequestId) {
        let over = !self.open.contains_key(&id) && !self.out.keys().any(|o| o.0 == id);
        if let (true, Some(key)) = (over, self.ordered(id)) {
            self.lines.entry(key).or_default().retain(|&r| r != id);
        }
    }

    pub fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Nodes { whole, entries, .. } => {
                if *whole {
                    for (entry, told) in self.nodes.values_mut() {
                        if !entries.iter().any(|e| e.node == entry.node) && entry.state != NodeState::Gone {
                            (entry.state, *told) = (NodeState::Gone, now);
                        }
                    }
                }
                for e in entries {
                    let on_before = self.nodes.get(&e.node).is_none_or(|n| n.0.state == NodeState::On);
                    let told = if on_before { now } else { self.nodes[&e.node].1 };
                    self.nodes.insert(e.node, (e.clone(), told));
                }
            }
            Event::Request(ask) => {
                self.taken.push(now);
                self.open.insert(ask.id, now + ask.patience);
                let deadline = now + ask.patience;
                self.past.insert(ask.id, Past { ask: ask.clone(), deadline, attempts: Vec::new() });
                if let Some(key) = self.ordered(ask.id) {
                    self.lines.entry(key).or_default().push_back(ask.id);
                }
            }
            Event::Answer(a) => {
                self.out.remove(&(a.request, a.attempt));
                if let Some(attempt) =
                    self.past.get_mut(&a.request).and_then(|p| p.attempts.get_mut(a.attempt as usize))
                {
                    attempt.3 = Some(a.outcome);
                }
                if a.settled {
                    self.open.remove(&a.request);
                }
                if let (Some(key), Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) =
                    (self.ordered(a.request), a.outcome)
                {
                    self.rests.insert(key, now + self.set.order_rest);
                }
                self.leave_line(a.request);
            }
            Event::Withdrawn(id) => {
                self.open.remove(id);
                self.leave_line(*id);
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send { request, node, .. } => self.send(now, *request, *node),
            Action::Refuse { request, .. } => {
                if self.open.remove(request).is_none() {
                    self.breach(now, "1: a second final answer");
                }
                let past = &self.past[request];
                let free = match self.set.classes[past.ask.class].repeats {
                    Repeats::Safe | Repeats::Keyed { group: Group::All, .. } => true,
                    _ => past.attempts.iter().all(|a| never_ran(&a.3)),
                };
                if !free {
                    self.breach(now, "2: refused what may have run");
                }
                self.leave_line(*request);
            }
            Action::Fail { request } => {
                if self.open.remove(request).is_none() {
                    self.breach(now, "1: a second final answer");
                }
                self.leave_line(*request);
            }
            _ => {}
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, node: NodeId) {
        if !self.open.contains_key(&id) {
            self.breach(now, "1: sent after the end");
        }
        let Some((entry, told)) = self.nodes.get(&node).cloned() else {
            self.breach(now, "sent to a node never listed");
            return;
        };
        let past = &self.past[&id];
        let (ask, deadline) = (past.ask.clone(), past.deadline);
        let class = self.set.classes[ask.class].clone();
        let mut wrong = Vec::new();
        if now > deadline {
            wrong.push("1: sent past the deadline");
        }
        if ask.shard.is_some_and(|s| s != entry.shard) {
            wrong.push("sent to a node without the data");
        }
        if past.attempts.len() >= self.set.most_attempts as usize {
            wrong.push("sent too often");
        }
        if !self.set.second_copies && past.attempts.iter().any(|a| a.3.is_none()) {
            wrong.push("2: two attempts at once");
        }
        for a in past.attempts.iter().filter(|a| !never_ran(&a.3)) {
            let fine = match class.repeats {
                Repeats::Safe => true,
                Repeats::Unsafe => false,
                Repeats::Keyed { group, window } => {
                    let same = match group {
                        Group::All => true,
                        Group::Zone => a.0 == entry.zone,
                        Group::Shard => a.1 == entry.shard,
                    };
                    same && now - a.2 <= window
                }
            };
            if !fine {
                wrong.push("2: repeated what must not be");
            }
        }
        if entry.state != NodeState::On && now > told + self.set.drain_grace {
            wrong.push("3: sent to a draining or gone node");
        }
        if let Some(started) = entry.started.filter(|s| now - s < self.set.warm_after) {
            let log = self.colds.entry(node).or_default();
            log.push((now, ask.units));
            let window = self.set.cold_window;
            let sum: f64 = log.iter().filter(|s| s.0 > now - window).map(|s| s.1).sum();
            let age = (now - started) as f64 / self.set.warm_after as f64;
            let growth = 1.0 + (1.0 / self.set.cold_from - 1.0) * age;
            if sum > self.set.cold_units / f64::from(self.set.hosts) * growth + 1e-6 {
                wrong.push("4: more than its part to a cold node");
            }
        }
        if let Some(key) = self.ordered(id) {
            let line = self.lines.entry(key).or_default();
            if line.front() != Some(&id) {
                wrong.push("5: out of turn");
            }
            if past.attempts.is_empty() && self.rests.get(&key).is_some_and(|&r| now < r) {
                wrong.push("5: the key rests");
            }
        }
        if let (Some(budget), false) = (self.set.budget, past.attempts.is_empty()) {
            self.further.push(now);
            let further = self.further.iter().filter(|&&t| t > now - budget.window).count();
            let taken = self.taken.iter().filter(|&&t| t > now - budget.window).count();
            if further as f64 > budget.free + budget.share * taken as f64 {
                wrong.push("6: over the budget");
            }
        }
        let plan = &self.set.plans[ask.plan];
        if plan.limit > 0.0 && past.attempts.iter().all(|a| a.3 == Some(Outcome::NotSent)) {
            // This host's even part of the shared store, which a former life may have emptied.
            let part = f64::from(ask.hosts.max(1));
            let start = (-plan.limit_slack / part, self.born);
            let (level, at) = *self.stores.get(&ask.volume).unwrap_or(&start);
            let level = (level + plan.limit / part * (now - at) as f64 / 1e6).min(plan.limit_burst / part);
            if level - ask.units < -plan.limit_slack / part - 1e-3 {
                wrong.push("7: over its part of the limit");
            }
            self.stores.insert(ask.volume, (level - ask.units, now));
        }
        for what in wrong {
            self.breach(now, what);
        }
        let past = self.past.get_mut(&id).expect("known");
        self.out.insert((id, past.attempts.len() as u32), (node, now));
        past.attempts.push((entry.zone, entry.shard, now, None));
    }

    /// Notes requests that should have had their answer.
    pub fn overdue(&mut self, now: Micros) {
        let late: Vec<RequestId> = self.open.iter().filter(|o| *o.1 + 8_000 < now).map(|o| *o.0).collect();
        for id in late {
            self.open.remove(&id);
            self.breach(now, "1: no final answer in time");
        }
    }

    pub fn assert_clean(&self) {
        assert!(self.breaches.is_empty(), "{:#?}", self.breaches);
    }
}
