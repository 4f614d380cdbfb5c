//! Checks a trace of events and actions against the rules, independently of the scheduler.

use std::collections::{BTreeMap, VecDeque};

use decisions::*;

/// A sent attempt.
struct SentAttempt {
    zone: u32,
    shard: ShardId,
    sent: Micros,
    /// How it ended, if it has.
    outcome: Option<Outcome>,
}

/// A request since its arrival.
struct Record {
    request: Request,
    deadline: Micros,
    attempts: Vec<SentAttempt>,
}

/// Checks a trace of events and actions against the seven rules, as far as one host can be held to them.
pub struct Checker {
    settings: Settings,
    started_at: Micros,
    /// Entry of each node, and when its state last changed from on.
    nodes: BTreeMap<NodeId, (NodeEntry, Micros)>,
    records: BTreeMap<RequestId, Record>,
    /// Requests without a final answer, and their deadlines.
    pub open: BTreeMap<RequestId, Micros>,
    /// Attempts in flight: their node, and when they were sent.
    pub in_flight: BTreeMap<(RequestId, u32), (NodeId, Micros)>,
    /// Requests of each key in order of arrival, for classes that keep the order.
    key_orders: BTreeMap<KeyId, VecDeque<RequestId>>,
    paused_until: BTreeMap<KeyId, Micros>,
    request_times: Vec<Micros>,
    retry_times: Vec<Micros>,
    /// Level of each volume's limit, and when it was updated.
    limits: BTreeMap<VolumeId, (f64, Micros)>,
    /// Times and units of what each cold node was sent.
    cold_sends: BTreeMap<NodeId, Vec<(Micros, f64)>>,
    pub breaches: Vec<String>,
}

fn never_ran(outcome: &Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Full | Outcome::Unreachable | Outcome::NotSent))
}

impl Checker {
    pub fn new(settings: Settings, started_at: Micros) -> Self {
        Checker {
            settings,
            started_at,
            nodes: BTreeMap::new(),
            records: BTreeMap::new(),
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            key_orders: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            request_times: Vec::new(),
            retry_times: Vec::new(),
            limits: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    /// Whether the client marked the request as a retry.
    pub fn is_marked(&self, id: RequestId) -> bool {
        self.records.get(&id).is_some_and(|record| record.request.is_retry)
    }

    fn breach(&mut self, now: Micros, what: &str) {
        self.breaches.push(format!("at {now}: {what}"));
    }

    /// The key whose order the request keeps, if its class does.
    fn ordered_key(&self, id: RequestId) -> Option<KeyId> {
        let record = self.records.get(&id)?;
        record.request.key.filter(|_| self.settings.classes[record.request.class].in_order)
    }

    /// Removes a request from the order of its key once it is answered and nothing of it is in flight.
    fn leave_key_order(&mut self, id: RequestId) {
        let over = !self.open.contains_key(&id) && !self.in_flight.keys().any(|o| o.0 == id);
        if let (true, Some(key)) = (over, self.ordered_key(id)) {
            self.key_orders.entry(key).or_default().retain(|&r| r != id);
        }
    }

    pub fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Nodes { complete, entries, .. } => {
                if *complete {
                    for (entry, changed) in self.nodes.values_mut() {
                        if !entries.iter().any(|e| e.node == entry.node) && entry.state != NodeState::Gone {
                            (entry.state, *changed) = (NodeState::Gone, now);
                        }
                    }
                }
                for e in entries {
                    let on_before = self.nodes.get(&e.node).is_none_or(|n| n.0.state == NodeState::On);
                    let changed = if on_before { now } else { self.nodes[&e.node].1 };
                    self.nodes.insert(e.node, (e.clone(), changed));
                }
            }
            Event::Request(request) => {
                self.request_times.push(now);
                self.open.insert(request.id, now + request.timeout);
                let deadline = now + request.timeout;
                let record = Record { request: request.clone(), deadline, attempts: Vec::new() };
                self.records.insert(request.id, record);
                if let Some(key) = self.ordered_key(request.id) {
                    self.key_orders.entry(key).or_default().push_back(request.id);
                }
            }
            Event::Answer(a) => {
                self.in_flight.remove(&(a.request, a.attempt));
                if let Some(attempt) =
                    self.records.get_mut(&a.request).and_then(|r| r.attempts.get_mut(a.attempt as usize))
                {
                    attempt.outcome = Some(a.outcome);
                }
                if a.settled {
                    self.open.remove(&a.request);
                }
                if let (Some(key), Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) =
                    (self.ordered_key(a.request), a.outcome)
                {
                    self.paused_until.insert(key, now + self.settings.key_pause);
                }
                self.leave_key_order(a.request);
            }
            Event::Withdrawn(id) => {
                self.open.remove(id);
                self.leave_key_order(*id);
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
                let record = &self.records[request];
                let harmless = match self.settings.classes[record.request.class].idempotency {
                    Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
                    _ => record.attempts.iter().all(|a| never_ran(&a.outcome)),
                };
                if !harmless {
                    self.breach(now, "2: refused a request that may have run");
                }
                self.leave_key_order(*request);
            }
            Action::Fail { request } => {
                if self.open.remove(request).is_none() {
                    self.breach(now, "1: a second final answer");
                }
                self.leave_key_order(*request);
            }
            _ => {}
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, node: NodeId) {
        if !self.open.contains_key(&id) {
            self.breach(now, "1: sent after the final answer");
        }
        let Some((entry, changed)) = self.nodes.get(&node).cloned() else {
            self.breach(now, "sent to a node that was never listed");
            return;
        };
        let record = &self.records[&id];
        let (request, deadline) = (record.request.clone(), record.deadline);
        let class = self.settings.classes[request.class].clone();
        let mut breaches = Vec::new();
        if now > deadline {
            breaches.push("1: sent past the deadline");
        }
        if request.shard.is_some_and(|s| s != entry.shard) {
            breaches.push("sent to a node without the data");
        }
        if record.attempts.len() >= self.settings.max_attempts as usize {
            breaches.push("sent too often");
        }
        if !self.settings.hedging && record.attempts.iter().any(|a| a.outcome.is_none()) {
            breaches.push("2: two attempts at once");
        }
        for a in record.attempts.iter().filter(|a| !never_ran(&a.outcome)) {
            let harmless = match class.idempotency {
                Idempotency::Safe => true,
                Idempotency::Unsafe => false,
                Idempotency::Keyed { scope, window } => {
                    let recognised = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == entry.zone,
                        DedupScope::Shard => a.shard == entry.shard,
                    };
                    recognised && now - a.sent <= window
                }
            };
            if !harmless {
                breaches.push("2: sent again a request that must not run twice");
            }
        }
        if entry.state != NodeState::On && now > changed + self.settings.drain_grace {
            breaches.push("3: sent to a draining or removed node");
        }
        if let Some(started) = entry.started.filter(|s| now - s < self.settings.warm_after) {
            let sends = self.cold_sends.entry(node).or_default();
            sends.push((now, request.units));
            let window = self.settings.cold_window;
            let sum: f64 = sends.iter().filter(|s| s.0 > now - window).map(|s| s.1).sum();
            let age = (now - started) as f64 / self.settings.warm_after as f64;
            let growth = 1.0 + (1.0 / self.settings.cold_start_fraction - 1.0) * age;
            if sum > self.settings.cold_units / f64::from(self.settings.hosts) * growth + 1e-6 {
                breaches.push("4: more than its part to a cold node");
            }
        }
        if let Some(key) = self.ordered_key(id) {
            let order = self.key_orders.entry(key).or_default();
            if order.front() != Some(&id) {
                breaches.push("5: out of order");
            }
            if record.attempts.is_empty() && self.paused_until.get(&key).is_some_and(|&until| now < until) {
                breaches.push("5: the key is paused");
            }
        }
        if let (Some(budget), false) = (self.settings.retry_budget, record.attempts.is_empty()) {
            self.retry_times.push(now);
            let retries = self.retry_times.iter().filter(|&&t| t > now - budget.window).count();
            let requests = self.request_times.iter().filter(|&&t| t > now - budget.window).count();
            if retries as f64 > budget.base + budget.per_request * requests as f64 {
                breaches.push("6: over the budget");
            }
        }
        let plan = &self.settings.plans[request.plan];
        if plan.limit > 0.0 && record.attempts.iter().all(|a| a.outcome == Some(Outcome::NotSent)) {
            // This host's even part of the shared limit, which the process before it may have spent.
            let part = f64::from(request.hosts.max(1));
            let start = (-plan.limit_slack / part, self.started_at);
            let (level, at) = *self.limits.get(&request.volume).unwrap_or(&start);
            let level = (level + plan.limit / part * (now - at) as f64 / 1e6).min(plan.limit_burst / part);
            if level - request.units < -plan.limit_slack / part - 1e-3 {
                breaches.push("7: over its part of the limit");
            }
            self.limits.insert(request.volume, (level - request.units, now));
        }
        for what in breaches {
            self.breach(now, what);
        }
        let record = self.records.get_mut(&id).expect("known");
        self.in_flight.insert((id, record.attempts.len() as u32), (node, now));
        let (zone, shard) = (entry.zone, entry.shard);
        record.attempts.push(SentAttempt { zone, shard, sent: now, outcome: None });
    }

    /// Records requests that should have had their final answer.
    pub fn record_overdue(&mut self, now: Micros) {
        let late: Vec<RequestId> = self.open.iter().filter(|o| *o.1 + 8_000 < now).map(|o| *o.0).collect();
        for id in late {
            self.open.remove(&id);
            self.breach(now, "1: no final answer in time");
        }
    }

    pub fn assert_no_breach(&self) {
        assert!(self.breaches.is_empty(), "{:#?}", self.breaches);
    }
}
