//! The decision module: one host's scheduler. Its settings, events, actions and ids are in `interface.rs`.
//!
//! Each node has a bound on this host's attempts out, moved on every answer by the law of the thesis
//! (eq. 6.1); the excess waits here, per shard, by worth and then latest due first. Where more hosts share
//! a node than a fresh bound has places (a crowd), bounds below one are kept in time. Every send passes the
//! guards in [`Scheduler::verdict`]; every final answer leaves through [`Scheduler::finish`].

use crate::interface::*;
use crate::state::*;

/// Gain of the law.
const GAIN: f64 = 0.8;
/// Bound of a node that has not answered yet.
const START: f64 = 4.0;
/// Bound of a fresh node for all hosts together: more hosts than this share it in time.
const ALL: f64 = 6.0;
/// Answers that the host's mean over all nodes counts as in the L of one, in a crowd.
const PRIOR: f64 = 0.3;
/// Time over which a bound below one is kept in the mean.
const CREDIT: Micros = 1_000_000;
/// Least bound; one attempt alone would starve the measurement.
const FLOOR: f64 = 2.0;
/// Greatest bound.
const CEILING: f64 = 26.0;
/// Smoothing time of the latency ratio, of use and of service, in microseconds.
const SMOOTHING: f64 = 1e6;
/// Latency ratio that a node's "full" counts as: the queue was longer than anybody wanted.
const FULL_RATIO: f64 = 2.0;
/// An attempt out for more than this many aims is hung and does not count as load in the law.
const HUNG: f64 = 3.0;
/// So is one that this many later ones have overtaken: nodes serve in turn of arrival.
const OVERTAKEN: u32 = 4;
/// No word from a node for this long, with attempts out, makes it silent.
const SILENT: Micros = 1_000_000;
/// Pause between two trials of a silent node; a crowd shares them.
const TRIAL: Micros = 400_000;
/// First pause after a node could not be reached, broke off or was full; doubled each time.
const BACKOFF: Micros = 50_000;
/// Doublings of that pause at most.
const BACKOFF_STEPS: u32 = 4;
/// The law's target beyond the reserve, times the root of what a unit earns there: what earns less stops at a
/// lower latency and leaves the node to the rest.
const TARGET: f64 = 0.38;
/// A request whose due time is nearer than this part of the node's fresh mean latency is late already.
const FORESIGHT: f64 = 1.0;
/// How many waiting requests are looked at for one send.
const SCAN: usize = 24;
/// Time over which the memory of a node's best service fades, in microseconds.
const PEAK_FADE: f64 = 15e6;
/// The part of a node's service that is dealt out in shares.
const DEALT: f64 = 0.9;
/// Windows of the rule on cold nodes that a host's turn lasts.
const TURN: Micros = 4;
/// Least units of a host's turn in a window, in mean requests.
const TURN_UNITS: f64 = 1.0;
/// Deals the turns evenly: the golden ratio.
const GOLDEN: f64 = 0.618_033_988_749;
/// Multiple of a volume's usual rate that counts as within its share in a crowd.
const OVER: f64 = 2.0;
/// A like request within this time of one that ended unserved is its repeat, where clients do not say.
const REPEAT: Micros = 50_000;
/// Interval of forgetting.
const SWEEP: Micros = 5_000_000;
/// Pause before asking for the node list again after a failure.
const ASK_AGAIN: Micros = 1_000_000;

/// What a unit earns: within the reserve, within the share, beyond both.
const RESERVE: usize = 0;
const SHARE: usize = 1;
const SPARE: usize = 2;
const STEPS: [usize; 3] = [RESERVE, SHARE, SPARE];

impl Node {
    /// The law's L: smoothed mean of latency over aim; 1 until the node answers.
    fn load(&self, v: &View) -> f64 {
        let (prior, sum) = (v.prior, self.own.weight.read(v.now));
        if sum + prior > 0.0 { (self.own.ratio.read(v.now) + prior * v.load) / (sum + prior) } else { 1.0 }
    }

    /// Smoothed mean latency, in microseconds.
    fn delay(&self, v: &View) -> f64 {
        let (prior, sum) = (v.prior, self.own.weight.read(v.now));
        if sum + prior > 0.0 { (self.own.delay.read(v.now) + prior * v.delay) / (sum + prior) } else { 0.0 }
    }

    /// Places taken: attempts out that are not lost.
    fn held(&self) -> f64 {
        self.out.values().filter(|f| f.overtaken < OVERTAKEN).count() as f64
    }

    /// Attempts out that are neither lost nor hung, as a step counts them: one sent under a bound below one
    /// is that part of one.
    fn working(&self, now: Micros, step: usize) -> f64 {
        let works = |f: &&Flight| f.overtaken < OVERTAKEN && (now - f.sent) as f64 <= HUNG * f.aim as f64;
        self.out.values().filter(works).map(|f| f.part[step]).sum()
    }

    /// One update of the law. Danger: hung attempts sit in the count out and inflate the bound, so those
    /// far over their aim are left out of it. Also answers resets that nobody told of. Harm: on a node
    /// that is only very slow the bound falls faster than the law's; it still rises with the first answers.
    fn learn(&mut self, now: Micros, ratio: f64, latency: Micros) {
        self.count = Some(STEPS.map(|step| self.working(now, step)));
        self.last_answer = now;
        self.own.add(now, ratio, latency as f64);
    }

    /// The law (eq. 6.1): count out over 1 + gain x (L / target - 1), as of the last answer; units beyond the
    /// reserve see a lower target. In a crowd the count ages toward this host's part of a fresh bound.
    fn bound(&self, step: usize, v: &View) -> f64 {
        let law = |n: f64| n / (1.0 + GAIN * (self.load(v) / v.target[step] - 1.0));
        if v.fresh < 1.0 {
            let age = (-((v.now - self.last_answer) as f64) / SMOOTHING).exp();
            let count = self.count.map_or(v.fresh, |c| v.fresh + (c[step] - v.fresh) * age);
            return law(count).clamp(v.fresh / ALL, CEILING);
        }
        let Some(count) = self.count else { return START };
        let floor = if step == RESERVE { FLOOR } else { 1.0 };
        law(count[step].max(1.0)).clamp(floor, CEILING)
    }

    /// Time between two attempts, one at a time, that keeps a bound below one.
    fn gap(&self, step: usize, v: &View) -> Micros {
        (self.delay(v) * (1.0 / self.bound(step, v) - 1.0)).clamp(0.0, 1e9) as Micros
    }

    /// Danger: in a crowd even one attempt of each host is too much for a node. A bound below one is kept in
    /// time: one attempt, and a pause that makes it that part of one, in the mean of `CREDIT`, so that short
    /// runs pass. Guards against jams of any cause. Harm: some node time passes unused after a short jam.
    fn pace(&self, step: usize, v: &View) -> Micros {
        if v.fresh < 1.0 { (self.last_send + self.gap(step, v)).min(self.paid[step] - CREDIT) } else { 0 }
    }

    fn silent(&self, now: Micros) -> bool {
        self.unheard.is_some_and(|t| now - t > SILENT)
    }

    /// When the node may take the next attempt, as far as its own state tells: `None` on an answer only.
    /// Danger: a node that is silent, unreachable or breaks off takes everything sent to it down with it.
    /// It gets single trials until it answers. Covers dead processes and machines, full connection
    /// tables and long stalls. Harm: after a stall the first requests wait for a trial's answer.
    fn ready(&self, v: &View) -> Result<(), Option<Micros>> {
        let now = v.now;
        if self.state != NodeState::On {
            return Err(None);
        }
        if now < self.hold {
            return Err(Some(self.hold));
        }
        if self.silent(now) {
            let next = self.last_send + (TRIAL as f64 / v.fresh) as Micros;
            return if now < next { Err(Some(next)) } else { Ok(()) };
        }
        let bound = if self.failures > 0 { 1.0 } else { self.bound(RESERVE, v).max(1.0) };
        if self.held() < bound.floor() && (self.out.len() as f64) < CEILING {
            Ok(())
        } else {
            Err(self.unheard.map(|t| t + SILENT + 1))
        }
    }
}

impl Shard {
    /// Danger: a few surging volumes fill the node and starve the rest. The level, in units a second and
    /// weight, up to which what the node can do beyond the reserves goes round among those who ask.
    fn level(&self, now: Micros) -> f64 {
        let mut left = (DEALT * self.peak - self.reserved.read(now)).max(0.0);
        let mut asks: Vec<(f64, f64)> = self.asked.values().map(|(f, w)| (f.read(now), *w)).collect();
        asks.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights: f64 = asks.iter().map(|a| a.1).sum();
        for (asked, weight) in asks {
            if asked / weight >= left / weights {
                return left / weights;
            }
            left -= asked;
            weights -= weight;
        }
        f64::INFINITY
    }
}

enum Verdict {
    Go,
    /// Not now; at the given time, or with the next event at the shard.
    Wait(Option<Micros>),
    /// Never again: it is to be answered.
    Never,
}

/// One host's scheduler: see the [crate documentation](crate) for its use.
pub struct Scheduler {
    set: Settings,
    target: [f64; 3],
    all: Mean,
    mem: Memory,
}

impl Scheduler {
    /// A scheduler that knows nothing yet but its settings.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.hosts = settings.hosts.max(settings.index.saturating_add(1));
        let worth = |x: f64| TARGET * x.clamp(0.01, 1.0).sqrt();
        let target = [1.0, worth(settings.share_worth), worth(settings.spare_worth)];
        let mem = Memory { noise: seed, ..Memory::default() };
        Scheduler { set: settings, target, all: Mean::over(SMOOTHING), mem }
    }

    /// Takes one event at the time `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.mem.now = now.max(self.mem.now);
        if self.mem.born.is_none() {
            self.mem.born = Some(self.mem.now);
            self.mem.wakes.insert((self.mem.now + SWEEP, Wake::Sweep));
            if self.set.must_ask {
                self.mem.actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::Nodes { whole, entries, .. } => self.on_nodes(whole, entries),
            Event::NodesFailed => {
                let spread = next_random(&mut self.mem.noise) % ASK_AGAIN as u64;
                self.mem.wakes.insert((self.mem.now + ASK_AGAIN / 2 + spread as Micros, Wake::List));
            }
            Event::Request(ask) => self.on_request(ask),
            Event::Started { request, attempt, node, latency } => {
                self.observe(node, (request, attempt), Outcome::Served, latency, false);
                if let Some(open) = self.mem.requests.get_mut(&request) {
                    open.streaming = true;
                }
            }
            Event::Answer(answer) => self.on_answer(answer),
            Event::Withdrawn(id) => {
                self.remember(id);
                self.close(id);
            }
            Event::Timer(token) => {
                if token == self.mem.token {
                    self.mem.armed = None;
                }
            }
        }
        while let Some(&(at, wake)) = self.mem.wakes.first()
            && at <= self.mem.now
        {
            self.mem.wakes.pop_first();
            self.on_wake(wake);
        }
        while let Some(shard) = self.mem.dirty.pop_first() {
            self.pump(shard);
        }
        if let Some(&(at, _)) = self.mem.wakes.first()
            && self.mem.armed.is_none_or(|armed| at < armed)
        {
            self.mem.armed = Some(at);
            self.mem.token += 1;
            let after = (at - self.mem.now).max(1);
            self.mem.actions.push(Action::SetTimer { after, token: self.mem.token });
        }
        actions.append(&mut self.mem.actions);
    }

    /// What is thought of a node, for operators; nothing follows from it here.
    pub fn look(&self, id: NodeId) -> Option<NodeLook> {
        let (now, v) = (self.mem.now, self.view());
        let node = self.mem.nodes.get(&id)?;
        Some(NodeLook {
            bound: node.bound(RESERVE, &v),
            load: node.load(&v),
            held: node.held() as usize,
            waiting: self.mem.shards.get(&node.shard).map_or(0, |s| s.waiting.len()),
            silent: node.silent(now),
            cold: node.started.is_some_and(|t| now - t < self.set.warm_after),
        })
    }

    /// Danger: in a crowd a host hears from one node every few seconds only, so that its L is stale. The L of
    /// all its nodes stands in as the answers age, as a mean of logarithms: a few sick nodes do not close the
    /// rest. Shows surges everywhere at once. Harm: a sick node seldom heard of is tried again too soon.
    fn view(&self) -> View {
        let weight = self.all.weight.sum;
        // Of all hosts, those whose volumes lie at a node: as many as this host uses of the shards.
        let used = self.mem.used as f64 / self.mem.shards.len().max(1) as f64;
        let fresh = (ALL / (f64::from(self.set.hosts) * used)).min(1.0);
        let mean = |sum: f64| if weight > 0.0 { (sum / weight).exp() } else { 1.0 };
        let (load, delay) = (mean(self.all.ratio.sum), mean(self.all.delay.sum));
        let prior = if fresh < 1.0 { PRIOR } else { 0.0 };
        View { now: self.mem.now, target: self.target, fresh, prior, load, delay }
    }

    fn on_nodes(&mut self, whole: bool, entries: Vec<NodeEntry>) {
        if whole {
            self.mem.nodes.values_mut().for_each(|n| n.state = NodeState::Gone);
        }
        for e in entries {
            let node = self.mem.nodes.entry(e.node).or_insert_with(|| Node::new(&e, SMOOTHING));
            if e.started.is_some() && node.started.is_none_or(|t| Some(t) < e.started) {
                // A new process: nothing held against the old one stands, nor does its measured load.
                node.started = e.started;
                (node.failures, node.hold, node.unheard) = (0, 0, None);
                node.own = Mean::over(SMOOTHING);
                node.count = None;
            }
            (node.zone, node.shard, node.state) = (e.zone, e.shard, e.state);
        }
        self.mem.shards.values_mut().for_each(|s| s.nodes.clear());
        for (&id, node) in &self.mem.nodes {
            if node.state == NodeState::On {
                self.mem.shards.entry(node.shard).or_insert_with(|| Shard::new(SMOOTHING)).nodes.push(id);
            }
        }
        self.mem.dirty.extend(self.mem.shards.keys());
    }

    fn on_request(&mut self, ask: Request) {
        let now = self.mem.now;
        if self.set.budget.is_some() {
            self.mem.taken.push_back(now);
        }
        let id = ask.id;
        let (Some(class), Some(plan)) = (self.set.classes.get(ask.class), self.set.plans.get(ask.plan))
        else {
            self.mem.actions.push(Action::Refuse { request: id, come_back: 0 });
            return;
        };
        let hosts = f64::from(ask.hosts.max(1));
        let born = self.mem.born.unwrap_or(now);
        let volume = self.mem.volumes.entry(ask.volume).or_insert_with(|| Volume {
            // Danger: this host may have been killed and restarted; its former self may have spent all of
            // its part. The store begins empty at the start and has filled since.
            limit: (plan.limit > 0.0).then(|| Store {
                level: -plan.limit_slack / hosts,
                at: born,
                rate: plan.limit / hosts,
                cap: plan.limit_burst / hosts,
            }),
            reserve: Store {
                level: plan.reserve + self.set.most_units,
                at: now,
                rate: plan.reserve / hosts.sqrt(),
                cap: plan.reserve / hosts.sqrt() + self.set.most_units,
            },
            seen: now,
            used: 0.0,
            phase: 0.0,
            asked: Fading::over(SMOOTHING),
        });
        volume.seen = now;
        volume.asked.add(now, ask.units);
        let in_order = class.in_order && ask.key.is_some();
        let (mut first, deadline) = (now + class.aim, now + ask.patience);
        // Danger: impatient clients repeat a request many times; all tries share one worth, and its aim runs
        // from the first. A repeat is due when the try before it was, so that it counts as late in time. Also
        // tells plain retries. Harm: where retries are not marked, a like request just after one that was
        // not served is taken for its repeat.
        if let Some((before, ended)) = self.mem.unserved.remove(&likeness(&ask))
            && (ask.retry || now - ended < REPEAT)
        {
            first = before;
        }
        let due = first.min(deadline);
        let mut open = Open::new(ask, RESERVE, first, due, deadline);
        if plan.reserve > 0.0 && volume.reserve.read(now) >= open.ask.units {
            volume.reserve.add(now, -open.ask.units);
        } else {
            open.step = SHARE;
        }
        // Danger: a client with little time is held for most of it and then turned away, when it could have
        // gone elsewhere. What is not sent in time for its answer to be there by half of its time is answered
        // then: an eighth of that half is for the way back. Harm: a late place is lost.
        open.unsent = due.min(now + open.ask.patience * 7 / 16);
        let (key, patience, unsent) = (open.ask.key, open.ask.patience, open.unsent);
        self.mem.requests.insert(id, open);
        if patience <= 0 {
            self.finish(id, 0);
            return;
        }
        self.mem.wakes.extend([unsent, due, deadline].map(|at| (at, Wake::Request(id))));
        if let (true, Some(key)) = (in_order, key) {
            let turn = self.mem.turns.entry(key).or_default();
            turn.line.push_back(id);
            if turn.line.len() > 1 || now < turn.rest {
                return;
            }
        }
        self.enqueue(id);
    }

    /// The shard that a request is to wait at: its own, that of the nodes which know its key, or, for a
    /// new object, the one whose node is least loaded under its bound.
    fn shard_of(&self, open: &Open) -> Option<ShardId> {
        if let Some(shard) = open.ask.shard.or(open.doubt().next().map(|a| a.shard)) {
            return Some(shard);
        }
        let v = self.view();
        let fill = |n: &Node| {
            let waiting = self.mem.shards.get(&n.shard).map_or(0, |s| s.waiting.len());
            (n.out.len() + waiting + 1) as f64 / n.bound(RESERVE, &v) * n.load(&v).max(0.1)
        };
        let usable = |n: &&Node| {
            n.state == NodeState::On
                && !n.silent(self.mem.now)
                && n.failures == 0
                && self.cold(n, open.ask.units).is_none()
        };
        let best = self.mem.nodes.values().filter(usable).min_by(|a, b| fill(a).total_cmp(&fill(b)));
        best.or(self.mem.nodes.values().find(|n| n.state == NodeState::On)).map(|n| n.shard)
    }

    fn enqueue(&mut self, id: RequestId) {
        let (now, v) = (self.mem.now, self.view());
        let Some(open) = self.mem.requests.get(&id) else { return };
        let Some(shard_id) = self.shard_of(open) else {
            return; // No node is listed at all: it waits for the list or its end.
        };
        let shard = self.mem.shards.entry(shard_id).or_insert_with(|| Shard::new(SMOOTHING));
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        if open.ask.shard.is_some() {
            shard.asks += 1;
            self.mem.asks += 1;
            match shard.asks {
                1 => (self.mem.used, self.mem.once) = (self.mem.used + 1, self.mem.once + 1),
                2 => self.mem.once -= 1,
                _ => {}
            }
        }
        let plan = &self.set.plans[open.ask.plan];
        if open.attempts.is_empty() {
            if open.step == RESERVE {
                shard.reserved.add(now, open.ask.units);
            } else {
                let weight = if plan.weight > 0.0 { plan.weight } else { 1.0 };
                let asked = shard.asked.entry(open.ask.volume).or_insert((Fading::over(SMOOTHING), weight));
                asked.0.add(now, open.ask.units);
                let mut within = asked.0.read(now) / asked.1 <= shard.level(now);
                // Danger: a host of a crowd sees too little of a node to tell its power. There units also
                // count as within the share while the volume keeps near its usual rate, as metered or seen
                // here. Harm: surges of many volumes at once pass for a while.
                if let (true, Some(volume)) = (v.fresh < 1.0, self.mem.volumes.get_mut(&open.ask.volume)) {
                    volume.phase = (volume.phase + GOLDEN) % 1.0;
                    let used = volume.used.max(volume.asked.read(now) / plan.rate.max(1e-3));
                    within |= volume.phase * used < OVER;
                }
                open.step = if within { SHARE } else { SPARE };
            }
        }
        let class = &self.set.classes[open.ask.class];
        let step = match open.step {
            RESERVE => 1.0,
            SHARE => self.set.share_worth,
            _ => self.set.spare_worth,
        };
        let worth = (class.worth * plan.price * step).max(1e-6);
        let place = ((-2.0 * worth.log2()).round() as i32, -open.due, id);
        open.place = Some((shard_id, place));
        shard.insert(place, open.ask.key);
        self.mem.dirty.insert(shard_id);
    }

    fn dequeue(&mut self, id: RequestId) {
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        let Some((shard, place)) = open.place.take() else { return };
        let Some(shard) = self.mem.shards.get_mut(&shard) else { return };
        shard.remove(place, open.ask.key);
    }

    /// The chance of a turn beyond the even deal of `many` turns to all hosts.
    ///
    /// Danger: most hosts of a crowd have no work for a given node, and turns dealt to them all are lost;
    /// cold nodes stayed nearly idle. As many hosts share a node as this host's own spread over the shards
    /// tells; what it has not seen yet counts in full (Good and Turing: the part of its requests whose shard
    /// it met only once). Drawn by each for itself, turns of those who share a node are `many` in the mean.
    /// Harm: by bad luck a node gets more than the least that it bears. What pushes it over is a multiple of
    /// what it can do, and the least is that of the slowest node at its coldest.
    fn chance(&self, many: f64) -> f64 {
        let (asks, hosts) = (self.mem.asks as f64, f64::from(self.set.hosts));
        let (used, shards) = (self.mem.used as f64, self.mem.shards.len().max(1) as f64);
        let seen = (asks - self.mem.once as f64) / asks.max(1.0);
        let sharers = (hosts * used / shards / seen.max(1e-9)).clamp(1.0, hosts);
        (many / sharers - many / hosts).max(0.0)
    }

    /// When a cold node may take `units`, if not now. Danger: a node that has just started falls over for
    /// good when all hosts together push it. What it bears, grown with the slowest warming that is promised,
    /// is dealt out evenly; where a part would be too small for a request, hosts take turns by the node's
    /// age, `TURN` windows each with one of rest after it, so that no window sees two turns. A host that has
    /// just started itself does not know what it sent, and waits one window. Harm: an unused part is lost.
    fn cold(&self, node: &Node, units: f64) -> Option<Micros> {
        let (now, window) = (self.mem.now, self.set.cold_window);
        let age = now - node.started?;
        if window <= 0 || age >= self.set.warm_after + window {
            return None;
        }
        let born = self.mem.born.unwrap_or(now);
        if now < born + window && born > now - age {
            return Some(born + window);
        }
        let bears = |age: Micros| {
            let warm = (age - window).max(0) as f64 / self.set.warm_after.max(1) as f64;
            let base = if self.set.cold_units > 0.0 { self.set.cold_units } else { self.set.most_units };
            base * (1.0 + (1.0 / self.set.cold_from.clamp(0.01, 1.0) - 1.0) * warm.min(1.0))
        };
        let (hosts, turn) = (f64::from(self.set.hosts), window * (TURN + 1));
        let least = (TURN_UNITS * self.set.mean_units).clamp(1.0, self.set.most_units.max(1.0));
        let many = (bears(age) / least).floor().clamp(1.0, hosts);
        if many < hosts {
            let number = age / turn;
            let first = (number as f64 + f64::from(node.shard.0)) * GOLDEN % 1.0 * hosts;
            let place = (f64::from(self.set.index) - first.floor()).rem_euclid(hosts);
            let mut draw = u64::from(self.set.index) << 32 ^ u64::from(node.shard.0) << 16 ^ number as u64;
            let drawn = (next_random(&mut draw) as f64) < self.chance(many) * u64::MAX as f64;
            if age % turn >= window * TURN {
                return Some(now + turn - age % turn);
            }
            if place >= many && !drawn {
                return Some(now + window / 8);
            }
        }
        let recent = node.sends.iter().filter(|s| s.0 > now - window);
        let sent: f64 = recent.clone().map(|s| s.1).sum();
        if sent + units <= bears(age) / many {
            return None;
        }
        Some(recent.map(|s| s.0 + window).next().unwrap_or(now + window / 8))
    }

    /// May this request go to this node now? Every rule that a send can break is checked here and nowhere
    /// else, for first attempts, retries and second copies alike.
    fn verdict(&self, id: RequestId, node: &Node) -> Verdict {
        let now = self.mem.now;
        let Some(open) = self.mem.requests.get(&id) else { return Verdict::Never };
        let class = &self.set.classes[open.ask.class];
        let tries = open.attempts.len();
        if open.finished || open.streaming || now >= open.deadline || tries >= self.set.most_attempts as usize
        {
            return Verdict::Never;
        }
        if node.state != NodeState::On {
            return Verdict::Wait(None);
        }
        if open.out() && !self.set.second_copies {
            return Verdict::Never;
        }
        let repeatable = |a: &Attempt| match class.repeats {
            Repeats::Safe => true,
            Repeats::Unsafe => false,
            Repeats::Keyed { group, window } => {
                let known = match group {
                    Group::All => true,
                    Group::Zone => a.zone == node.zone,
                    Group::Shard => a.shard == node.shard,
                };
                known && now - a.sent < window - window / 50
            }
        };
        if !open.doubt().all(repeatable) {
            return Verdict::Never;
        }
        if let (true, Some(key)) = (class.in_order, open.ask.key) {
            let mine =
                self.mem.turns.get(&key).is_some_and(|t| {
                    t.line.front() == Some(&id) && (now >= t.rest || !open.attempts.is_empty())
                });
            if !mine {
                return Verdict::Wait(None);
            }
        }
        if tries > 0 && !self.budget_left() {
            return Verdict::Never;
        }
        let first = open.attempts.iter().all(|a| a.fate == Fate::NotSent);
        let volume = self.mem.volumes.get(&open.ask.volume);
        if let (true, Some(store)) = (first, volume.and_then(|v| v.limit)) {
            // An even part of the shared store: sums of even parts never pass the whole.
            let slack = self.set.plans[open.ask.plan].limit_slack / f64::from(open.ask.hosts.max(1));
            let short = open.ask.units - slack - store.read(now);
            if open.ask.units > slack + store.cap {
                return Verdict::Never;
            }
            if short > 0.0 {
                let at = now + (short / store.rate * 1e6).ceil() as Micros;
                return if at >= open.deadline { Verdict::Never } else { Verdict::Wait(Some(at)) };
            }
        }
        if let Some(at) = self.cold(node, open.ask.units) {
            return Verdict::Wait(Some(at));
        }
        let v = self.view();
        // Danger: an answer after the aim takes node time from those in time. What the mean latency of the
        // last second makes late is answered now. Harm: a request that would have been lucky is turned away.
        let heard = now - node.last_answer < SMOOTHING as Micros;
        if heard && now + (FORESIGHT * node.delay(&v)) as Micros > open.due {
            return Verdict::Never;
        }
        let step = open.step;
        if node.held() >= node.bound(step, &v).floor() && node.working(now, step) > 0.0 {
            return Verdict::Wait(None);
        }
        let pace = node.pace(step, &v);
        if node.held() < 1.0 && now < pace {
            return Verdict::Wait(Some(pace));
        }
        Verdict::Go
    }

    /// One more attempt beyond a first keeps the budget.
    fn budget_left(&self) -> bool {
        self.set.budget.is_none_or(|b| {
            let taken = self.mem.taken.iter().filter(|&&t| t > self.mem.now - b.window).count();
            let further = self.mem.further.iter().filter(|&&t| t >= self.mem.now - b.window).count();
            (further + 1) as f64 <= b.free + b.share * taken as f64
        })
    }

    fn pump(&mut self, shard_id: ShardId) {
        let now = self.mem.now;
        loop {
            let Some(shard) = self.mem.shards.get(&shard_id) else { return };
            if shard.waiting.is_empty() {
                return;
            }
            let mut wake: Option<Micros> = None;
            let mut later =
                |at: Option<Micros>| wake = at.map_or(wake, |t| Some(wake.map_or(t, |w| w.min(t))));
            let v = self.view();
            let mut best: Option<(f64, NodeId)> = None;
            for &id in &shard.nodes {
                let node = &self.mem.nodes[&id];
                match node.ready(&v) {
                    Err(at) => later(at),
                    Ok(()) => {
                        let fill = node.out.len() as f64 / node.bound(RESERVE, &v);
                        if best.is_none_or(|(f, _)| fill < f) {
                            best = Some((fill, id));
                        }
                    }
                }
            }
            let mut chosen = None;
            let mut doomed = Vec::new();
            if let Some((_, node_id)) = best {
                let node = &self.mem.nodes[&node_id];
                // A request on the data just sent to the node costs it far less: runs stay together.
                let run = shard.last_key.and_then(|k| shard.by_key.get(&k)).and_then(|line| line.first());
                for &(_, _, id) in run.into_iter().chain(shard.waiting.iter()).take(SCAN) {
                    match self.verdict(id, node) {
                        Verdict::Go => {
                            chosen = Some((id, node_id));
                            break;
                        }
                        Verdict::Wait(at) => later(at),
                        Verdict::Never => doomed.push(id),
                    }
                }
            }
            if let Some((id, node)) = chosen {
                self.send(id, node);
            } else if doomed.is_empty() {
                if let Some(at) = wake
                    && let Some(shard) = self.mem.shards.get_mut(&shard_id)
                    && shard.wake.is_none_or(|w| at < w || w <= now)
                {
                    shard.wake = Some(at);
                    self.mem.wakes.insert((at, Wake::Shard(shard_id)));
                }
                return;
            }
            for id in doomed {
                self.finish(id, 0);
            }
        }
    }

    fn send(&mut self, id: RequestId, node_id: NodeId) {
        let (now, v) = (self.mem.now, self.view());
        self.dequeue(id);
        let (Some(open), Some(node)) = (self.mem.requests.get_mut(&id), self.mem.nodes.get_mut(&node_id))
        else {
            return;
        };
        let first = open.attempts.iter().all(|a| a.fate == Fate::NotSent);
        if first
            && let Some(volume) = self.mem.volumes.get_mut(&open.ask.volume)
            && let Some(store) = &mut volume.limit
        {
            store.add(now, -open.ask.units);
        }
        if self.set.budget.is_some() && !open.attempts.is_empty() {
            self.mem.further.push_back(now);
        }
        let aim = self.set.classes[open.ask.class].aim.max(1);
        let part = STEPS.map(|step| node.bound(step, &v).min(1.0));
        node.paid = STEPS.map(|step| node.paid[step].max(now) + node.gap(step, &v));
        node.out.insert((id, open.attempts.len() as u32), Flight { sent: now, aim, part, overtaken: 0 });
        node.sends.push_back((now, open.ask.units));
        node.unheard.get_or_insert(now);
        node.last_send = now;
        let attempt = Attempt { zone: node.zone, shard: node.shard, sent: now, fate: Fate::Out };
        open.attempts.push(attempt);
        if let Some(shard) = self.mem.shards.get_mut(&node.shard) {
            shard.last_key = open.ask.key;
        }
        self.mem.actions.push(Action::Send { request: id, node: node_id, patience: 0 });
    }

    /// Takes what an attempt tells about its node into the law and into the node's health.
    fn observe(&mut self, id: NodeId, at: (RequestId, u32), outcome: Outcome, latency: Micros, ended: bool) {
        let now = self.mem.now;
        let Some(node) = self.mem.nodes.get_mut(&id) else { return };
        let Some(&Flight { sent, aim, overtaken, .. }) = node.out.get(&at) else { return };
        let ratio = latency as f64 / aim as f64;
        if outcome == Outcome::Served {
            self.all.add(now, ratio.max(1e-3).ln(), (latency as f64).max(1.0).ln());
        }
        match outcome {
            Outcome::Served => node.learn(now, ratio, latency),
            // Danger: quick errors pull L down and the bound balloons. An error counts as at target at
            // least. Harm: a few stray errors on a fast node keep its bound a little lower.
            Outcome::Error => node.learn(now, ratio.max(1.0), latency),
            Outcome::Full => node.learn(now, ratio.max(FULL_RATIO), latency),
            Outcome::TimedOut if overtaken > 0 => {}
            Outcome::TimedOut | Outcome::Reset => node.learn(now, ratio.max(1.0), latency),
            Outcome::Unreachable | Outcome::Cancelled | Outcome::NotSent => {}
        }
        match outcome {
            Outcome::Served | Outcome::Error => {
                node.failures = 0;
                node.unheard = None;
            }
            // Danger: single connections break while their node serves others; pauses kept it empty.
            // Only a second failure in a row counts against the node. Harm: a dead one gets one more request.
            Outcome::Reset if node.failures == 0 => node.failures = 1,
            Outcome::Full | Outcome::Unreachable | Outcome::Reset
                if sent >= node.hold || node.failures == 0 =>
            {
                node.hold = now + (BACKOFF << node.failures.min(BACKOFF_STEPS));
                node.failures += 1;
            }
            Outcome::TimedOut if node.silent(now) => node.failures += 1,
            _ => {}
        }
        if ended {
            node.out.remove(&at);
        }
        // Danger: single attempts are lost while their node answers others; each held a place until its
        // client gave up. One that several sent later have overtaken is taken for lost and holds no
        // place. Also catches a process that restarted unseen. Harm: a node that does not serve in turn gets
        // a little more than its bound.
        if outcome == Outcome::Served {
            node.out.values_mut().filter(|f| f.sent < sent).for_each(|f| f.overtaken += 1);
        }
        if node.out.is_empty() {
            node.unheard = None;
        } else if node.unheard.is_none() {
            node.unheard = Some(now);
        }
        self.mem.dirty.insert(node.shard);
    }

    fn on_answer(&mut self, a: Answer) {
        let now = self.mem.now;
        self.observe(a.node, (a.request, a.attempt), a.outcome, a.latency, true);
        let Some(open) = self.mem.requests.get_mut(&a.request) else { return };
        let Some(attempt) = open.attempts.get_mut(a.attempt as usize) else { return };
        if let (Some(used), Some(volume)) = (a.metered, self.mem.volumes.get_mut(&open.ask.volume)) {
            volume.used = used;
        }
        attempt.fate = match a.outcome {
            Outcome::Full => Fate::NeverRan,
            Outcome::Unreachable => Fate::Unreached,
            Outcome::NotSent => Fate::NotSent,
            _ => Fate::MayHaveRun,
        };
        if a.outcome == Outcome::Served
            && let Some(shard) = self.mem.shards.get_mut(&attempt.shard)
        {
            shard.served.add(now, open.ask.units);
            shard.peak *= (-((now - shard.peak_at) as f64) / PEAK_FADE).exp();
            shard.peak = shard.peak.max(shard.served.read(now));
            shard.peak_at = now;
        }
        let class = &self.set.classes[open.ask.class];
        if class.in_order
            && matches!(a.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
            && let Some(turn) = open.ask.key.and_then(|k| self.mem.turns.get_mut(&k))
        {
            turn.rest = turn.rest.max(now + self.set.order_rest);
        }
        if a.settled || open.finished {
            self.close(a.request);
        } else if a.outcome == Outcome::NotSent
            || now >= open.deadline
            || now >= open.unsent && open.unwritten()
        {
            self.finish(a.request, 0);
        } else if !open.out() && open.place.is_none() {
            self.enqueue(a.request);
        }
    }

    /// Gives the one final answer: a refusal where nothing can have run or a repeat is harmless.
    fn finish(&mut self, id: RequestId, come_back: Micros) {
        let Some(open) = self.mem.requests.get(&id).filter(|o| !o.finished) else { return };
        let class = &self.set.classes[open.ask.class];
        let harmless = matches!(class.repeats, Repeats::Safe | Repeats::Keyed { group: Group::All, .. })
            || open.doubt().next().is_none();
        if harmless {
            let advised = come_back.max(class.aim / 4).min(self.set.most_advice);
            let come_back = if self.set.advice { advised } else { 0 };
            self.mem.actions.push(Action::Refuse { request: id, come_back });
        } else {
            self.mem.actions.push(Action::Fail { request: id });
        }
        self.remember(id);
        self.close(id);
    }

    /// Keeps until when a request that ends unserved was due, for its repeat.
    fn remember(&mut self, id: RequestId) {
        if let Some(open) = self.mem.requests.get(&id) {
            self.mem.unserved.insert(likeness(&open.ask), (open.first, self.mem.now));
        }
    }

    /// Ends a request here; it is forgotten once nothing of it is out.
    fn close(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        if !open.finished {
            open.finished = true;
            for at in [open.unsent, open.due, open.deadline] {
                self.mem.wakes.remove(&(at, Wake::Request(id)));
            }
        }
        if open.out() {
            return;
        }
        let Some(open) = self.mem.requests.remove(&id) else { return };
        let Some(key) = open.ask.key.filter(|_| self.set.classes[open.ask.class].in_order) else { return };
        let Some(turn) = self.mem.turns.get_mut(&key) else { return };
        let was_first = turn.line.front() == Some(&id);
        turn.line.retain(|&r| r != id);
        if was_first {
            self.next_turn(key);
        }
    }

    fn next_turn(&mut self, key: KeyId) {
        let Some(turn) = self.mem.turns.get(&key) else { return };
        if self.mem.now < turn.rest {
            self.mem.wakes.insert((turn.rest, Wake::Key(key)));
        } else if let Some(&id) = turn.line.front() {
            if self.mem.requests.get(&id).is_some_and(|o| !o.finished && o.place.is_none() && !o.out()) {
                self.enqueue(id);
            }
        } else {
            self.mem.turns.remove(&key);
        }
    }

    fn on_wake(&mut self, wake: Wake) {
        let now = self.mem.now;
        match wake {
            Wake::Request(id) => {
                let Some(open) = self.mem.requests.get_mut(&id).filter(|o| !o.streaming) else { return };
                if now >= open.deadline {
                    self.finish(id, 0);
                } else if now >= open.due {
                    // Danger: work for late answers crowds out what could still be in time, and a client that
                    // is held back cannot come again. What is due and not out is answered now. Also clears
                    // the queue of a dead node. Harm: what a late answer earns is lost on an idle node.
                    if !open.out() {
                        self.finish(id, 0);
                    }
                } else if open.unwritten() {
                    self.finish(id, 0);
                }
            }
            Wake::Key(key) => self.next_turn(key),
            Wake::Shard(shard) => {
                if let Some(s) = self.mem.shards.get_mut(&shard) {
                    s.wake = None;
                }
                self.mem.dirty.insert(shard);
            }
            Wake::List => self.mem.actions.push(Action::Subscribe),
            Wake::Sweep => self.sweep(),
        }
    }

    /// Forgets what no rule needs any more.
    fn sweep(&mut self) {
        let now = self.mem.now;
        self.mem.wakes.insert((now + SWEEP, Wake::Sweep));
        self.mem.volumes.retain(|_, v| {
            now - v.seen < SWEEP
                || v.limit.is_some_and(|s| s.read(now) < s.cap)
                || v.reserve.read(now) < v.reserve.cap
        });
        self.mem.unserved.retain(|_, (_, ended)| now - *ended < SWEEP);
        self.mem.turns.retain(|_, t| !t.line.is_empty() || now < t.rest);
        let window = self.set.cold_window;
        self.mem.nodes.values_mut().for_each(|n| n.sends.retain(|s| s.0 > now - window));
        let counted = now - self.set.budget.map_or(0, |b| b.window);
        self.mem.taken.retain(|&t| t >= counted);
        self.mem.further.retain(|&t| t >= counted);
        self.mem.nodes.retain(|_, n| {
            n.state != NodeState::Gone || !n.out.is_empty() || now - n.last_send <= window.max(SWEEP)
        });
        for shard in self.mem.shards.values_mut() {
            shard.asked.retain(|_, (f, _)| f.read(now) > 0.01);
        }
    }
}
