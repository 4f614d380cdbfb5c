//! What answers of nodes tell, and the one final answer of each request.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::state::*;

/// Latency ratio that a node's "full" counts as: the queue was longer than anybody wanted.
const FULL_RATIO: f64 = 2.0;
/// First pause after a node could not be reached, broke off or was full; doubled each time.
const BACKOFF: Micros = 50_000;
/// Doublings of that pause at most.
const BACKOFF_STEPS: u32 = 4;
/// Time over which the memory of a node's best service fades, in microseconds.
const PEAK_FADE: f64 = 15e6;

impl Scheduler {
    /// Takes what an attempt tells about its node into the law and into the node's health.
    pub(crate) fn observe(
        &mut self,
        id: NodeId,
        at: (RequestId, u32),
        outcome: Outcome,
        latency: Micros,
        ended: bool,
    ) {
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

    pub(crate) fn on_answer(&mut self, a: Answer) {
        let now = self.mem.now;
        self.observe(a.node, (a.request, a.attempt), a.outcome, a.latency, true);
        // One that never went out although it stood found no way; another would find none either.
        let no_way = a.outcome == Outcome::NotSent && self.stands(now, a.request, a.attempt, a.node);
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
        if let Some(volume) = self.mem.volumes.get_mut(&open.ask.volume) {
            volume.give_back(attempt, open.ask.units);
        }
        if a.outcome == Outcome::Served
            && let Some(shard) = self.mem.shards.get_mut(&attempt.shard)
        {
            shard.serve(now, open.ask.units, PEAK_FADE);
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
        } else if no_way || now >= open.deadline || now >= open.unsent && open.unwritten() {
            self.finish(a.request, 0);
        } else if !open.out() && open.place.is_none() {
            self.enqueue(a.request);
        }
    }

    /// Gives the one final answer: a refusal where nothing can have run or a repeat is harmless.
    pub(crate) fn finish(&mut self, id: RequestId, come_back: Micros) {
        let Some(open) = self.mem.requests.get(&id).filter(|o| !o.finished) else { return };
        let come_back = self.mem.awaited(open).map_or(come_back, |rights| rights.come_back);
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
        self.mem.count_unserved(id);
        self.remember(id);
        self.close(id);
    }

    /// Keeps until when a request that ends unserved was due, for its repeat.
    ///
    /// Danger: each refusal of a late repeat that renewed what it took over kept its own cause alive. It ends
    /// with the last try that came in time. Harm: a client that repeats for longer gets a new aim.
    pub(crate) fn remember(&mut self, id: RequestId) {
        if let Some(open) = self.mem.requests.get(&id) {
            let unserved = Unserved { due: open.first, ended: open.late.unwrap_or(self.mem.now) };
            self.mem.unserved.insert(likeness(&open.ask), unserved);
        }
    }

    pub(crate) fn next_turn(&mut self, key: KeyId) {
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
}
