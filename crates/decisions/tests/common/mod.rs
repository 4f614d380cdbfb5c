//! Test settings, a host that drives a scheduler and records its actions, and an independent rule checker.
#![allow(dead_code)]

pub mod checker;
pub mod random_events;

pub use checker::Checker;
use decisions::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_target: 200_000,
        latency_target_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        idempotency,
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

/// One idempotent class, one plan without limit, no retry budget.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Safe)],
        plans: vec![plan()],
        hosts: 3,
        index: 0,
        needs_subscription: false,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        probing: false,
        retry_advice: true,
        max_retry_after: SECOND,
        cold_units: 30.0,
        cold_window: 2 * SECOND,
        cold_start_fraction: 0.2,
        warm_after: 10 * SECOND,
        drain_grace: SECOND,
        key_pause: 200_000,
        retry_budget: None,
        max_request_units: 8.0,
        mean_request_units: 2.0,
        share_worth: 0.4,
        spare_worth: 0.1,
        waste_cost: 0.03,
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
        timeout: SECOND,
        is_retry: false,
        client: None,
    }
}

/// Drives a scheduler, runs its timers and checks every action against the rules.
pub struct Host {
    pub scheduler: Scheduler,
    pub checker: Checker,
    pub now: Micros,
    timers: Vec<(Micros, u64)>,
    /// All actions so far with their times.
    pub log: Vec<(Micros, Action)>,
    /// Number of events handled so far.
    pub events: u64,
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
            events: 0,
        }
    }

    pub fn with_nodes(settings: Settings, nodes: &[NodeEntry]) -> Self {
        let mut host = Host::new(settings);
        host.update_nodes(true, nodes);
        host
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.events += 1;
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

    /// Advances the clock and fires every timer that falls due.
    pub fn advance_to(&mut self, then: Micros) {
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|&t| t <= then).min() {
            let index = self.timers.iter().position(|t| t.0 == at).unwrap();
            let (at, token) = self.timers.swap_remove(index);
            self.now = self.now.max(at);
            self.handle(Event::Timer(token));
        }
        self.now = then;
        self.checker.record_overdue(self.now);
    }

    pub fn advance(&mut self, span: Micros) {
        self.advance_to(self.now + span);
    }

    pub fn timers_pending(&self) -> usize {
        self.timers.len()
    }

    pub fn update_nodes(&mut self, complete: bool, nodes: &[NodeEntry]) -> Vec<Action> {
        self.handle(Event::Nodes { complete, from_cache: false, entries: nodes.to_vec() })
    }

    pub fn set_retry_tokens(&mut self, shard: u32, tokens: u32, retry_after: Micros) -> Vec<Action> {
        self.handle(Event::RetryAllowance { shard: ShardId(shard), tokens, retry_after })
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }

    pub fn answer(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let Some(&(node, sent)) = self.checker.in_flight.get(&(RequestId(id), attempt)) else {
            panic!("attempt {attempt} of request {id} is not in flight");
        };
        let settled = outcome == Outcome::Served || !self.checker.open.contains_key(&RequestId(id));
        self.handle(Event::Answer(Answer {
            request: RequestId(id),
            attempt,
            node,
            outcome,
            settled,
            latency: self.now - sent,
            metered_use: None,
            units_elsewhere: 0.0,
        }))
    }

    /// Ids of the requests sent so far, in order, once for each attempt.
    pub fn sent(&self) -> Vec<u64> {
        let sends = self.log.iter().filter_map(|(_, a)| match a {
            Action::Send { request, .. } => Some(request.0),
            _ => None,
        });
        sends.collect()
    }

    pub fn count_sends(actions: &[Action]) -> usize {
        actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    }

    /// The advice of the refusal of a request, if it was refused.
    pub fn refusal_advice(&self, id: u64) -> Option<Micros> {
        self.log.iter().find_map(|(_, a)| match a {
            Action::Refuse { request, retry_after } if request.0 == id => Some(*retry_after),
            _ => None,
        })
    }

    pub fn failed(&self, id: u64) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Fail { request } if request.0 == id))
    }
}
