//! Whether a request may go to a node now: the guards that every send passes.

use crate::interface::*;
use crate::law::*;
use crate::scheduler::Scheduler;
use crate::state::*;

/// A request whose due time is nearer than this part of the node's fresh mean latency is late already.
const FORESIGHT: f64 = 1.0;

pub(crate) enum Verdict {
    Go,
    /// Not now; at the given time, or with the next event at the shard.
    Wait(Option<Micros>),
    /// Never again: it is to be answered.
    Never,
}

impl Open {
    /// Attempts that went out, or are to.
    pub(crate) fn tries(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate != Fate::NotSent).count()
    }

    /// Its next attempt is one of those that an allowance counts: a further one, or a client's repeat.
    pub(crate) fn needs_right(&self) -> bool {
        self.tries() > 0 || self.ask.retry
    }
}

impl Class {
    /// May a request of this class go to `node` although `a` may have run?
    fn repeatable(&self, a: &Attempt, node: &Node, now: Micros) -> bool {
        match self.repeats {
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
        }
    }
}

impl Scheduler {
    /// Whether a send still stands at the moment in which it can be begun; if not, it was never sent.
    ///
    /// Danger: an attempt that waits for its connection is begun late: its node drains by then or is another
    /// process, its client's time is over, or the nodes forget its key. Harm: the request waits anew.
    pub fn stands(&self, now: Micros, id: RequestId, attempt: u32, node: NodeId) -> bool {
        let (Some(open), Some(node)) = (self.mem.requests.get(&id), self.mem.nodes.get(&node)) else {
            return false;
        };
        let (class, n) = (&self.set.classes[open.ask.class], attempt as usize);
        let others = open.attempts.iter().enumerate().filter(|(m, a)| *m != n && a.doubtful());
        open.attempts.get(n).is_some_and(|own| own.started == node.started)
            && !open.finished
            && now < open.deadline
            && node.state == NodeState::On
            && others.map(|(_, a)| a).all(|a| class.repeatable(a, node, now))
    }

    /// May this request go to this node now? Every rule that a send can break is checked here and nowhere
    /// else, for first attempts, retries and second copies alike.
    ///
    /// Danger: every gateway keeps its own budget, and the sum over them, with clients that repeat at the
    /// next one, holds down a shard that comes back. What it bears of repeats is dealt out from outside.
    /// Harm: a further attempt that would have been served waits, or is turned away.
    pub(crate) fn verdict(&self, id: RequestId, node: &Node) -> Verdict {
        let needs_right = self.mem.requests.get(&id).is_some_and(Open::needs_right);
        if needs_right && self.mem.rights.get(&node.shard).is_some_and(|rights| rights.left == 0) {
            return Verdict::Wait(None);
        }
        self.with_a_right(id, node)
    }

    /// The same if its shard had a right for it.
    pub(crate) fn with_a_right(&self, id: RequestId, node: &Node) -> Verdict {
        let now = self.mem.now;
        let Some(open) = self.mem.requests.get(&id) else { return Verdict::Never };
        let class = &self.set.classes[open.ask.class];
        let tries = open.tries();
        let most = self.set.most_attempts as usize;
        if open.finished || open.streaming || now >= open.deadline || open.attempts.len() >= most {
            return Verdict::Never;
        }
        if node.state != NodeState::On {
            return Verdict::Wait(None);
        }
        if open.out() && !self.set.second_copies {
            return Verdict::Never;
        }
        if !open.doubt().all(|a| class.repeatable(a, node, now)) {
            return Verdict::Never;
        }
        if let (true, Some(key)) = (class.in_order, open.ask.key) {
            let mine = self
                .mem
                .turns
                .get(&key)
                .is_some_and(|t| t.line.front() == Some(&id) && (now >= t.rest || tries > 0));
            if !mine {
                return Verdict::Wait(None);
            }
        }
        if tries > 0 && !self.budget_left() {
            return Verdict::Never;
        }
        let volume = self.mem.volumes.get(&open.ask.volume).filter(|_| open.uncharged());
        if let Some((store, kept)) = volume.and_then(|v| v.limit.map(|store| (store, v.kept))) {
            // An even part of the shared store: sums of even parts never pass the whole.
            let slack = self.set.plans[open.ask.plan].limit_slack / f64::from(open.ask.hosts.max(1));
            let short = open.ask.units - slack - store.read(now) + kept;
            if open.ask.units > slack + store.cap {
                return Verdict::Never;
            }
            if short > 0.0 {
                let at = now + (short / store.rate * 1e6).ceil() as Micros;
                return if at >= open.deadline { Verdict::Never } else { Verdict::Wait(Some(at)) };
            }
        }
        if let Some(at) = self.cold(node, &open.ask) {
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
}
