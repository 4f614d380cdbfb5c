//! One host's scheduler: its settings, events, node list, requests taken, wakes and what is forgotten.

use crate::interface::*;
use crate::law::*;
use crate::state::*;

/// The law's target beyond the reserve, times the root of what a unit earns there: what earns less stops at a
/// lower latency and leaves the node to the rest.
const TARGET: f64 = 0.38;
/// Answers that the host's mean over all nodes counts as in the L of one, in a crowd.
const PRIOR: f64 = 0.3;
/// A like request within this time of one that ended unserved is its repeat, where clients do not say.
const REPEAT: Micros = 50_000;
/// Interval of forgetting; a marked request within this time of a like one that ended unserved is its repeat.
pub(crate) const SWEEP: Micros = 5_000_000;
/// Pause before asking for the node list again after a failure.
const ASK_AGAIN: Micros = 1_000_000;

/// One host's scheduler: see the [crate documentation](crate) for its use.
pub struct Scheduler {
    pub(crate) set: Settings,
    pub(crate) target: [f64; 3],
    pub(crate) all: Mean,
    pub(crate) mem: Memory,
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
            Event::Waits { request, attempt, waits } => self.mem.waits(request, attempt, waits),
            Event::Hastened { request, patience } => {
                if let Some(open) = self.mem.requests.get_mut(&request) {
                    open.hasten(self.mem.now + patience);
                    self.mem.wakes.extend(open.ends().map(|at| (at, Wake::Request(request))));
                }
            }
            Event::Allowance { shard, further, come_back } => {
                self.mem.rights.insert(shard, Rights { left: further, come_back });
                self.mem.dirty.insert(shard);
            }
            Event::AwaitLimit { shard, most } => _ = self.mem.await_limits.insert(shard, most),
            Event::Timer(token) => {
                if token == self.mem.token {
                    self.mem.armed = None;
                }
            }
        }
        self.wake_due();
        while let Some(shard) = self.mem.dirty.pop_first() {
            self.mem.pumped += 1;
            self.pump(shard);
        }
        self.arm_timer();
        actions.append(&mut self.mem.actions);
    }

    /// Danger: in a crowd a host hears from one node every few seconds only, so that its L is stale. The L of
    /// all its nodes stands in as the answers age, as a mean of logarithms: a few sick nodes do not close the
    /// rest. Shows surges everywhere at once. Harm: a sick node seldom heard of is tried again too soon.
    pub(crate) fn view(&self) -> View {
        let weight = self.all.weight.sum;
        // Of all hosts, those whose volumes lie at a node: as many as this host uses of the shards.
        let used = self.mem.spread.used as f64 / self.mem.shards.len().max(1) as f64;
        let fresh = (ALL / (f64::from(self.set.hosts) * used)).min(1.0);
        let mean = |sum: f64| if weight > 0.0 { (sum / weight).exp() } else { 1.0 };
        let (load, delay) = (mean(self.all.ratio.sum), mean(self.all.delay.sum));
        let prior = if fresh < 1.0 { PRIOR } else { 0.0 };
        View { now: self.mem.now, target: self.target, fresh, prior, load, delay }
    }

    fn on_nodes(&mut self, whole: bool, entries: Vec<NodeEntry>) {
        if whole {
            self.mem.nodes.values_mut().for_each(|n| n.state = NodeState::Gone);
            self.mem.shards.values_mut().for_each(|s| s.nodes.clear());
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
            self.mem.relist(&e, SMOOTHING);
        }
        // Where nothing waits there is nothing to send: a change costs itself and what is open, not the list.
        self.mem.dirty.extend(self.mem.requests.values().filter_map(|o| Some(o.place?.0)));
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
            kept: 0.0,
            phase: 0.0,
            asked: Fading::over(SMOOTHING),
        });
        volume.seen = now;
        volume.asked.add(now, ask.units);
        let in_order = class.in_order && ask.key.is_some();
        let (own_aim, deadline) = (now + class.aim, now + ask.patience);
        // Danger: impatient clients repeat a request many times; all tries share one worth, and its aim runs
        // from the first. A repeat is due when the try before it was, so that it counts as late in time. Also
        // tells plain retries. Harm: where retries are not marked, a like request just after one that was
        // not served is taken for its repeat.
        let span = if ask.retry { SWEEP } else { REPEAT };
        let before = self.mem.unserved.remove(&likeness(&ask)).filter(|u| now - u.ended < span);
        // Danger: a repeat after that aim was refused at once, and so were all behind it, on an idle node. It
        // is late work, with an aim of its own to be sent in. Harm: see `admits_late`.
        let late = before.filter(|u| u.due <= now);
        let first = before.map_or(own_aim, |u| u.due);
        let due = if late.is_some() { own_aim } else { first }.min(deadline);
        let mut open = Open::new(ask, RESERVE, first, due, deadline);
        open.late = late.map(|u| u.ended);
        // Late work leaves half of the reserve to what comes in time.
        let kept = if late.is_some() { volume.reserve.cap / 2.0 } else { 0.0 };
        if plan.reserve > 0.0 && volume.reserve.read(now) >= open.ask.units + kept {
            volume.reserve.add(now, -open.ask.units);
        } else {
            open.step = SHARE;
        }
        // Danger: a client with little time is held for most of it and then turned away, when it could have
        // gone elsewhere. What is not sent in time for its answer to be there by half of its time is answered
        // then: an eighth of that half is for the way back. Harm: a late place is lost.
        open.unsent = due.min(now + open.ask.patience * 7 / 16);
        let (key, patience, ends) = (open.ask.key, open.ask.patience, open.ends());
        self.mem.requests.insert(id, open);
        if patience <= 0 {
            return self.finish(id, 0);
        }
        self.mem.wakes.extend(ends.map(|at| (at, Wake::Request(id))));
        if let (true, Some(key)) = (in_order, key) {
            let turn = self.mem.turns.entry(key).or_default();
            turn.line.push_back(id);
            if turn.line.len() > 1 || now < turn.rest {
                return;
            }
        }
        self.enqueue(id);
    }

    pub(crate) fn on_wake(&mut self, wake: Wake) {
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
}
