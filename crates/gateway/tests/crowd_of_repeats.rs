//! The decision module and the retry cap, connected as the engine connects them, under two thousand
//! simultaneous retries.

use std::collections::{BTreeMap, BTreeSet};

use decisions::*;
use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::{Allowances, Cap, CapOptions, Input, Output};

const SECOND: Micros = 1_000_000;
const SLICE: Micros = 62_500;
const LATENCY_TARGET: Micros = 200_000;
const BURST: u64 = 2_000;
/// First number of requests that are not retries.
const FIRST_NON_RETRY: u64 = 1_000_000;
const SHARD: u32 = 0;
const MAX_WAITING: usize = 64;

fn settings() -> Settings {
    let class = Class {
        latency_target: LATENCY_TARGET,
        latency_target_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        idempotency: Idempotency::Safe,
        in_order: false,
        stream: false,
    };
    let plan = Plan {
        rate: 1e4,
        reserve: 1e4,
        limit: 0.0,
        limit_burst: 0.0,
        limit_slack: 0.0,
        weight: 1.0,
        price: 1.0,
    };
    Settings {
        classes: vec![class],
        plans: vec![plan],
        hosts: 1,
        index: 0,
        needs_subscription: false,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        probing: false,
        retry_advice: true,
        max_retry_after: 30 * SECOND,
        cold_units: 30.0,
        cold_window: 2 * SECOND,
        cold_start_fraction: 0.2,
        warm_after: 10 * SECOND,
        drain_grace: SECOND,
        key_pause: 200_000,
        retry_budget: None,
        max_request_units: 8.0,
        mean_request_units: 1.0,
        share_worth: 0.4,
        spare_worth: 0.1,
        waste_cost: 0.03,
    }
}

#[derive(Clone, Copy, Debug)]
struct RequestLog {
    submitted_at: Micros,
    sent: Option<Micros>,
    refused: Option<(Micros, Micros)>,
}

/// One gateway with three nodes of a shard that serve each request within a millisecond.
struct Coupled {
    module: Scheduler,
    cap: Cap,
    allowances: Allowances,
    limits: BTreeMap<u32, u32>,
    /// The module's remaining allowance, tracked as the core does.
    left: u32,
    now: Micros,
    timers: BTreeSet<(Micros, u64)>,
    answers: BTreeSet<(Micros, RequestId, NodeId)>,
    effects: Vec<Action>,
    wanted: u32,
    /// Requests waiting for a retry token as last reported to the cap, and the maximum of that count.
    waiting: usize,
    max_waiting: usize,
    allowances_given: u64,
    requests: BTreeMap<u64, RequestLog>,
    /// Whether the nodes have stopped answering.
    is_silent: bool,
}

impl Coupled {
    fn new(share: f64) -> Self {
        let name = PeerName("g0".into());
        let options =
            CapOptions { share, recovering_share: share / 5.0, ..CapOptions::new(name, 1, vec![SHARD]) };
        let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let mut coupled = Coupled {
            module: Scheduler::new(settings(), 1),
            cap: Cap::new(options, life, 0, 1),
            allowances: Allowances::default(),
            limits: BTreeMap::new(),
            left: 0,
            now: 0,
            timers: BTreeSet::new(),
            answers: BTreeSet::new(),
            effects: Vec::new(),
            wanted: 0,
            waiting: 0,
            max_waiting: 0,
            allowances_given: 0,
            requests: BTreeMap::new(),
            is_silent: false,
        };
        let entry = |n| NodeEntry {
            node: NodeId(n),
            zone: n,
            shard: ShardId(SHARD),
            state: NodeState::On,
            started: None,
        };
        coupled.module_input(Event::Nodes {
            complete: true,
            from_cache: false,
            entries: (0..3).map(entry).collect(),
        });
        coupled.cap_input(Input::Tick);
        coupled.run_actions();
        coupled.run_until(3 * SECOND);
        coupled
    }

    fn module_input(&mut self, event: Event) {
        self.module.handle(self.now, event, &mut self.effects);
    }

    fn cap_input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            if let Output::Allow(allowance) = output {
                self.allowances_given += 1;
                self.allowances.set(allowance);
            }
        }
    }

    /// Carries out the module's actions and gives it allowances until nothing is left to do.
    fn run_actions(&mut self) {
        while !self.effects.is_empty() || self.give_allowance() {
            for action in std::mem::take(&mut self.effects) {
                self.carry_out(action);
            }
        }
    }

    fn give_allowance(&mut self) -> bool {
        for _ in 0..std::mem::take(&mut self.wanted) {
            self.cap_input(Input::RetryRejected { shard: SHARD, worth: 1.0, remaining: SECOND });
        }
        for TokenShortage { shard, waiting, worth } in self.module.take_token_shortages() {
            self.waiting = waiting as usize;
            self.max_waiting = self.max_waiting.max(self.waiting);
            self.cap_input(Input::RetriesWaiting { shard: shard.0, waiting, worth });
        }
        let Some(allowance) = self.allowances.next_notification() else { return false };
        let most = self.cap.wait_limit(allowance.shard);
        if self.limits.insert(allowance.shard, most) != Some(most) {
            self.module_input(Event::TokenWaitLimit { shard: ShardId(allowance.shard), max_waiting: most });
        }
        self.left = allowance.retries;
        let (shard, further, come_back) =
            (ShardId(allowance.shard), allowance.retries, allowance.retry_after);
        self.module_input(Event::RetryAllowance { shard, tokens: further, retry_after: come_back });
        true
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, token } => _ = self.timers.insert((self.now + after, token)),
            Action::Send { request, node, .. } => {
                let further = request.0 < FIRST_NON_RETRY;
                if further {
                    self.left = self.left.saturating_sub(1);
                    self.allowances.spend(SHARD);
                }
                self.cap_input(Input::AttemptSent { shard: SHARD, is_retry: further });
                self.requests.get_mut(&request.0).unwrap().sent = Some(self.now);
                if !self.is_silent {
                    self.answers.insert((self.now + 1_000, request, node));
                }
            }
            Action::Refuse { request, retry_after: come_back } => {
                self.wanted += u32::from(request.0 < FIRST_NON_RETRY && self.left == 0);
                self.requests.get_mut(&request.0).unwrap().refused = Some((self.now, come_back));
            }
            _ => {}
        }
    }

    fn submit(&mut self, id: u64) {
        let retry = id < FIRST_NON_RETRY;
        self.requests.insert(id, RequestLog { submitted_at: self.now, sent: None, refused: None });
        self.module_input(Event::Request(Request {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(u64::from(retry)),
            key: Some(KeyId(id)),
            shard: Some(ShardId(SHARD)),
            units: 1.0,
            hosts: 1,
            timeout: 2 * SECOND,
            is_retry: retry,
            client: Some(ClientId(id)),
        }));
        self.run_actions();
    }

    fn run_until(&mut self, end: Micros) {
        loop {
            let answer = self.answers.first().map(|a| a.0);
            let timer = self.timers.first().map(|t| t.0);
            let next = [answer, timer, Some(self.cap.next_due())].into_iter().flatten().min().unwrap_or(end);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if timer == Some(next) {
                let (_, token) = self.timers.pop_first().unwrap();
                self.module_input(Event::Timer(token));
            } else if answer == Some(next) {
                let (_, request, node) = self.answers.pop_first().unwrap();
                self.cap_input(Input::AttemptEnded { shard: SHARD, served: true, refused: false });
                self.module_input(Event::Answer(Answer {
                    request,
                    attempt: 0,
                    node,
                    outcome: Outcome::Served,
                    settled: true,
                    latency: 1_000,
                    metered_use: None,
                    units_elsewhere: 0.0,
                }));
            } else {
                self.cap_input(Input::Tick);
            }
            self.run_actions();
        }
        self.now = end;
    }

    fn refused_after(&self, id: u64) -> Option<Micros> {
        let request_log = self.requests[&id];
        request_log.refused.map(|(at, _)| at - request_log.submitted_at)
    }

    /// Of the burst: retries sent, refused at once, refused after a wait; the longest wait; the number of
    /// different advised delays.
    fn burst_summary(&self) -> (usize, usize, usize, Micros, usize) {
        let ids = || 1..=BURST;
        let sent = ids().filter(|id| self.requests[id].sent.is_some()).count();
        let at_once = ids().filter(|id| self.refused_after(*id) == Some(0)).count();
        let waits: Vec<Micros> = ids().filter_map(|id| self.refused_after(id)).filter(|t| *t > 0).collect();
        let advices: BTreeSet<Micros> = ids().filter_map(|id| Some(self.requests[&id].refused?.1)).collect();
        (sent, at_once, waits.len(), waits.iter().copied().max().unwrap_or(0), advices.len())
    }
}

/// Guards against a queue full of retries at a shard that earns no retry tokens.
#[test]
fn a_bounded_number_of_retries_waits_at_a_shard_that_earns_no_tokens() {
    let mut coupled = Coupled::new(0.0);
    (1..=BURST).for_each(|id| coupled.submit(id));
    coupled.run_until(coupled.now + SECOND);
    let (sent, at_once, later, longest, advices) = coupled.burst_summary();
    println!(
        "normal: sent {sent}, at once {at_once}, later {later}, longest {longest} us, advices {advices}, most {}, allowances given {}",
        coupled.max_waiting, coupled.allowances_given
    );
    assert!(coupled.max_waiting <= MAX_WAITING);
    assert_eq!(sent + at_once + later, BURST as usize);
    assert!(sent <= 4 && later <= MAX_WAITING && longest <= SLICE + SLICE / 2, "{sent} {later} {longest}");
}

/// Guards against retries that wait at a recovering shard: once the cap has reported the recovery, none
/// waits.
#[test]
fn no_retry_waits_at_a_recovering_shard() {
    let mut coupled = Coupled::new(0.0);
    coupled.cap_input(Input::NodeTrouble { shard: SHARD, present: true });
    coupled.run_actions();
    (1..=BURST).for_each(|id| coupled.submit(id));
    let waiting = coupled.waiting;
    coupled.run_until(coupled.now + SECOND);
    let (sent, at_once, later, longest, advices) = coupled.burst_summary();
    println!(
        "recovering: sent {sent}, at once {at_once}, later {later}, longest {longest} us, advices {advices}, most {}",
        coupled.max_waiting
    );
    assert_eq!((waiting, later), (0, 0));
    assert!(sent <= 1, "{sent}");
}

/// Guards against a queue full of retries where a token is left but no node accepts anything.
#[test]
fn few_retries_wait_at_a_recovering_shard_whose_nodes_accept_nothing() {
    let mut coupled = Coupled::new(0.0);
    coupled.is_silent = true;
    (0..60).for_each(|n| coupled.submit(FIRST_NON_RETRY + n));
    coupled.cap_input(Input::NodeTrouble { shard: SHARD, present: true });
    coupled.run_actions();
    let left = coupled.left;
    (1..=BURST).for_each(|id| coupled.submit(id));
    let open = (1..=BURST)
        .filter(|id| coupled.requests[id].refused.is_none() && coupled.requests[id].sent.is_none());
    let open = open.count();
    coupled.run_until(coupled.now + SECOND);
    let (sent, at_once, later, longest, _) = coupled.burst_summary();
    println!("full: tokens {left}, sent {sent}, at once {at_once}, later {later}, longest {longest} us");
    assert!(open <= MAX_WAITING, "{open} of {BURST} wait with {left} tokens left, the longest {longest} us");
}

/// Guards against advised delays that make all refused retries return at the same time.
#[test]
fn the_delays_advised_to_a_burst_are_spread() {
    let mut coupled = Coupled::new(0.0);
    (1..=BURST).for_each(|id| coupled.submit(id));
    coupled.run_until(coupled.now + SECOND);
    let mut back: BTreeMap<Micros, u32> = BTreeMap::new();
    for request_log in (1..=BURST).map(|id| coupled.requests[&id]) {
        if let Some((at, advice)) = request_log.refused {
            *back.entry((at + advice) / SLICE).or_default() += 1;
        }
    }
    let most = back.values().max().copied().unwrap_or(0);
    assert!(most < BURST as u32 / 2, "{most} of {BURST} return within one slice: {back:?}");
}

/// Guards against first requests that are delayed by a burst of retries.
#[test]
fn first_requests_are_not_delayed_by_a_burst_of_retries() {
    let waits = |burst: u64| {
        let mut coupled = Coupled::new(0.1);
        let (mut next, began) = (1, coupled.now);
        for n in 0..600 {
            coupled.submit(FIRST_NON_RETRY + n);
            (0..burst / 600).for_each(|_| {
                coupled.submit(next);
                next += 1;
            });
            coupled.run_until(began + (n as Micros + 1) * 500);
        }
        coupled.run_until(coupled.now + SECOND);
        let sent = (0..600).filter_map(|n| {
            Some(
                coupled.requests[&(FIRST_NON_RETRY + n)].sent?
                    - coupled.requests[&(FIRST_NON_RETRY + n)].submitted_at,
            )
        });
        let waits: Vec<Micros> = sent.collect();
        println!(
            "burst {burst}: {} sent, {} allowances given, most waiting {}",
            waits.len(),
            coupled.allowances_given,
            coupled.max_waiting
        );
        (waits.len(), waits.iter().sum::<Micros>(), waits.iter().copied().max().unwrap_or(0))
    };
    let (without, with) = (waits(0), waits(1_800));
    println!("first requests sent, sum and longest of their waits: {without:?} without, {with:?} with");
    assert_eq!((without.0, with.0), (600, 600));
    assert!(with.2 <= without.2 + 2_000, "{without:?} {with:?}");
}

/// Guards against sending more retries than the cap's tokens allow after a shadow copy has used a retry
/// token: the module's allowance must shrink too.
#[test]
fn a_shadow_copy_reduces_the_allowance_of_the_module_too() {
    let mut coupled = Coupled::new(0.0);
    // As `RetryCap::allows_copy` and `RetryCap::copy_sent` do.
    // `CapOptions::new` gives four base tokens per member.
    assert_eq!(coupled.allowances.remaining(SHARD), Some(4));
    coupled.allowances.spend_and_notify(SHARD);
    coupled.cap_input(Input::AttemptSent { shard: SHARD, is_retry: true });
    coupled.run_actions();
    (1..=8).for_each(|id| coupled.submit(id));
    let (sent, ..) =
        (1..=8).fold((0, ()), |(n, ()), id| (n + u32::from(coupled.requests[&id].sent.is_some()), ()));
    assert_eq!(sent + 1, 4, "sends with a token, including the copy, of an allowance of four");
}
