//! The decision module and the cap on repeats joined as the engine joins them, before two thousand repeats at once.

use std::collections::{BTreeMap, BTreeSet};

use decisions::*;
use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::{Allowances, Cap, CapOptions, Input, Output};

const SECOND: Micros = 1_000_000;
const SLICE: Micros = 62_500;
const AIM: Micros = 200_000;
const CROWD: u64 = 2_000;
/// Numbers of requests that are no repeats.
const FIRST: u64 = 1_000_000;
const SHARD: u32 = 0;
const MOST_WAITING: usize = 64;

fn settings() -> Settings {
    let class = Class {
        aim: AIM,
        aim_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        repeats: Repeats::Safe,
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
        must_ask: false,
        most_attempts: 4,
        second_copies: false,
        cancel: true,
        probes: false,
        advice: true,
        most_advice: 30 * SECOND,
        cold_units: 30.0,
        cold_window: 2 * SECOND,
        cold_from: 0.2,
        warm_after: 10 * SECOND,
        drain_grace: SECOND,
        order_rest: 200_000,
        budget: None,
        most_units: 8.0,
        mean_units: 1.0,
        share_worth: 0.4,
        spare_worth: 0.1,
        waste_price: 0.03,
    }
}

#[derive(Clone, Copy, Debug)]
struct Fate {
    asked: Micros,
    sent: Option<Micros>,
    refused: Option<(Micros, Micros)>,
}

/// One gateway with three nodes of a shard that serve each request within a millisecond.
struct Joined {
    module: Scheduler,
    cap: Cap,
    allowances: Allowances,
    limits: BTreeMap<u32, u32>,
    /// The module's count, as the core keeps it for what is wanted.
    left: u32,
    now: Micros,
    timers: BTreeSet<(Micros, u64)>,
    answers: BTreeSet<(Micros, RequestId, NodeId)>,
    effects: Vec<Action>,
    wanted: u32,
    /// How many wait for a right, as the cap was told, and the most that ever did.
    waiting: usize,
    most_waiting: usize,
    told: u64,
    fates: BTreeMap<u64, Fate>,
    /// The nodes answer nothing any more.
    is_silent: bool,
}

impl Joined {
    fn new(share: f64) -> Self {
        let name = PeerName("g0".into());
        let options =
            CapOptions { share, recovering_share: share / 5.0, ..CapOptions::new(name, 1, vec![SHARD]) };
        let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let mut joined = Joined {
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
            most_waiting: 0,
            told: 0,
            fates: BTreeMap::new(),
            is_silent: false,
        };
        let entry = |n| NodeEntry {
            node: NodeId(n),
            zone: n,
            shard: ShardId(SHARD),
            state: NodeState::On,
            started: None,
        };
        joined.give(Event::Nodes { whole: true, remembered: false, entries: (0..3).map(entry).collect() });
        joined.hand(Input::Tick);
        joined.settle();
        joined.until(3 * SECOND);
        joined
    }

    fn give(&mut self, event: Event) {
        self.module.handle(self.now, event, &mut self.effects);
    }

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            if let Output::Allow(allowance) = output {
                self.told += 1;
                self.allowances.say(allowance);
            }
        }
    }

    /// Carries out the module's actions and tells it what it may send, until there is nothing more.
    fn settle(&mut self) {
        while !self.effects.is_empty() || self.allow() {
            for action in std::mem::take(&mut self.effects) {
                self.carry_out(action);
            }
        }
    }

    fn allow(&mut self) -> bool {
        for _ in 0..std::mem::take(&mut self.wanted) {
            self.hand(Input::RetryRejected { shard: SHARD, worth: 1.0, remaining: SECOND });
        }
        for Shortage { shard, waiting, worth } in self.module.take_shortages() {
            self.waiting = waiting as usize;
            self.most_waiting = self.most_waiting.max(self.waiting);
            self.hand(Input::RetriesWaiting { shard: shard.0, waiting, worth });
        }
        let Some(allowance) = self.allowances.next_untold() else { return false };
        let most = self.cap.may_wait(allowance.shard);
        if self.limits.insert(allowance.shard, most) != Some(most) {
            self.give(Event::AwaitLimit { shard: ShardId(allowance.shard), most });
        }
        self.left = allowance.retries;
        let (shard, further, come_back) =
            (ShardId(allowance.shard), allowance.retries, allowance.retry_after);
        self.give(Event::Allowance { shard, further, come_back });
        true
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, token } => _ = self.timers.insert((self.now + after, token)),
            Action::Send { request, node, .. } => {
                let further = request.0 < FIRST;
                if further {
                    self.left = self.left.saturating_sub(1);
                    self.allowances.spend(SHARD);
                }
                self.hand(Input::AttemptSent { shard: SHARD, is_retry: further });
                self.fates.get_mut(&request.0).unwrap().sent = Some(self.now);
                if !self.is_silent {
                    self.answers.insert((self.now + 1_000, request, node));
                }
            }
            Action::Refuse { request, come_back } => {
                self.wanted += u32::from(request.0 < FIRST && self.left == 0);
                self.fates.get_mut(&request.0).unwrap().refused = Some((self.now, come_back));
            }
            _ => {}
        }
    }

    fn ask(&mut self, id: u64) {
        let retry = id < FIRST;
        self.fates.insert(id, Fate { asked: self.now, sent: None, refused: None });
        self.give(Event::Request(Request {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(u64::from(retry)),
            key: Some(KeyId(id)),
            shard: Some(ShardId(SHARD)),
            units: 1.0,
            hosts: 1,
            patience: 2 * SECOND,
            retry,
            client: Some(ClientId(id)),
        }));
        self.settle();
    }

    fn until(&mut self, end: Micros) {
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
                self.give(Event::Timer(token));
            } else if answer == Some(next) {
                let (_, request, node) = self.answers.pop_first().unwrap();
                self.hand(Input::AttemptEnded { shard: SHARD, served: true, refused: false });
                self.give(Event::Answer(Answer {
                    request,
                    attempt: 0,
                    node,
                    outcome: Outcome::Served,
                    settled: true,
                    latency: 1_000,
                    metered: None,
                    elsewhere: 0.0,
                }));
            } else {
                self.hand(Input::Tick);
            }
            self.settle();
        }
        self.now = end;
    }

    fn refused_after(&self, id: u64) -> Option<Micros> {
        let fate = self.fates[&id];
        fate.refused.map(|(at, _)| at - fate.asked)
    }

    /// Repeats sent, refused at once, refused after a wait; the longest wait; and the different advices.
    fn crowd(&self) -> (usize, usize, usize, Micros, usize) {
        let ids = || 1..=CROWD;
        let sent = ids().filter(|id| self.fates[id].sent.is_some()).count();
        let at_once = ids().filter(|id| self.refused_after(*id) == Some(0)).count();
        let waits: Vec<Micros> = ids().filter_map(|id| self.refused_after(id)).filter(|t| *t > 0).collect();
        let advices: BTreeSet<Micros> = ids().filter_map(|id| Some(self.fates[&id].refused?.1)).collect();
        (sent, at_once, waits.len(), waits.iter().copied().max().unwrap_or(0), advices.len())
    }
}

/// Guards against a queue full of repeats at a shard that earns nothing.
#[test]
fn of_a_crowd_at_a_shard_that_earns_nothing_a_bounded_number_waits_for_a_slice() {
    let mut joined = Joined::new(0.0);
    (1..=CROWD).for_each(|id| joined.ask(id));
    joined.until(joined.now + SECOND);
    let (sent, at_once, later, longest, advices) = joined.crowd();
    println!(
        "normal: sent {sent}, at once {at_once}, later {later}, longest {longest} us, advices {advices}, most {}, told {}",
        joined.most_waiting, joined.told
    );
    assert!(joined.most_waiting <= MOST_WAITING);
    assert_eq!(sent + at_once + later, CROWD as usize);
    assert!(sent <= 4 && later <= MOST_WAITING && longest <= SLICE + SLICE / 2, "{sent} {later} {longest}");
}

/// The same at one that recovers: none waits once the cap has spoken.
#[test]
fn of_a_crowd_at_a_shard_that_recovers_none_waits() {
    let mut joined = Joined::new(0.0);
    joined.hand(Input::NodeTrouble { shard: SHARD, present: true });
    joined.settle();
    (1..=CROWD).for_each(|id| joined.ask(id));
    let waiting = joined.waiting;
    joined.until(joined.now + SECOND);
    let (sent, at_once, later, longest, advices) = joined.crowd();
    println!(
        "recovering: sent {sent}, at once {at_once}, later {later}, longest {longest} us, advices {advices}, most {}",
        joined.most_waiting
    );
    assert_eq!((waiting, later), (0, 0));
    assert!(sent <= 1, "{sent}");
}

/// Guards against a queue full of repeats where a right is left and no node takes anything.
#[test]
fn of_a_crowd_at_a_shard_that_recovers_and_is_full_none_waits() {
    let mut joined = Joined::new(0.0);
    joined.is_silent = true;
    (0..60).for_each(|n| joined.ask(FIRST + n));
    joined.hand(Input::NodeTrouble { shard: SHARD, present: true });
    joined.settle();
    let left = joined.left;
    (1..=CROWD).for_each(|id| joined.ask(id));
    let open = (1..=CROWD).filter(|id| joined.fates[id].refused.is_none() && joined.fates[id].sent.is_none());
    let open = open.count();
    joined.until(joined.now + SECOND);
    let (sent, at_once, later, longest, _) = joined.crowd();
    println!("full: rights {left}, sent {sent}, at once {at_once}, later {later}, longest {longest} us");
    assert!(open <= MOST_WAITING, "{open} of {CROWD} wait with {left} right left, the longest {longest} us");
}

/// Guards against a crowd that is sent away together to come back together.
#[test]
fn the_advice_to_a_crowd_is_spread() {
    let mut joined = Joined::new(0.0);
    (1..=CROWD).for_each(|id| joined.ask(id));
    joined.until(joined.now + SECOND);
    let mut back: BTreeMap<Micros, u32> = BTreeMap::new();
    for fate in (1..=CROWD).map(|id| joined.fates[&id]) {
        if let Some((at, advice)) = fate.refused {
            *back.entry((at + advice) / SLICE).or_default() += 1;
        }
    }
    let most = back.values().max().copied().unwrap_or(0);
    assert!(most < CROWD as u32 / 2, "{most} of {CROWD} come back within one slice: {back:?}");
}

/// Guards against first requests that a crowd of repeats delays.
#[test]
fn first_requests_are_sent_as_without_the_crowd() {
    let waits = |crowd: u64| {
        let mut joined = Joined::new(0.1);
        let (mut next, began) = (1, joined.now);
        for n in 0..600 {
            joined.ask(FIRST + n);
            (0..crowd / 600).for_each(|_| {
                joined.ask(next);
                next += 1;
            });
            joined.until(began + (n as Micros + 1) * 500);
        }
        joined.until(joined.now + SECOND);
        let sent = (0..600)
            .filter_map(|n| Some(joined.fates[&(FIRST + n)].sent? - joined.fates[&(FIRST + n)].asked));
        let waits: Vec<Micros> = sent.collect();
        println!(
            "crowd {crowd}: {} sent, told {} allowances, most waiting {}",
            waits.len(),
            joined.told,
            joined.most_waiting
        );
        (waits.len(), waits.iter().sum::<Micros>(), waits.iter().copied().max().unwrap_or(0))
    };
    let (without, with) = (waits(0), waits(1_800));
    println!("first requests sent, sum and longest of their waits: {without:?} without, {with:?} with");
    assert_eq!((without.0, with.0), (600, 600));
    assert!(with.2 <= without.2 + 2_000, "{without:?} {with:?}");
}

/// Guards against a send that a copy in the shadow has taken the right of: what the module holds is no more than the account.
#[test]
fn a_copy_in_the_shadow_takes_its_right_from_the_module_too() {
    let mut joined = Joined::new(0.0);
    // The engine's `bears_copy` and `copied`.
    assert_eq!(joined.allowances.left(SHARD), Some(4));
    joined.allowances.take(SHARD);
    joined.hand(Input::AttemptSent { shard: SHARD, is_retry: true });
    joined.settle();
    (1..=8).for_each(|id| joined.ask(id));
    let (sent, ..) =
        (1..=8).fold((0, ()), |(n, ()), id| (n + u32::from(joined.fates[&id].sent.is_some()), ()));
    assert_eq!(sent + 1, 4, "sends with a right, the copy included, of a part of four");
}
