//! Holds a trace of events and actions against the rules; it knows nothing of the scheduler.

use std::collections::{BTreeMap, VecDeque};

use decisions::*;

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

    /// The request was marked as a client's further try.
    pub fn is_marked(&self, id: RequestId) -> bool {
        self.past.get(&id).is_some_and(|p| p.ask.retry)
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
