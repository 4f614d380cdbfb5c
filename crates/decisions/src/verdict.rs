//! Whether a request may be sent to a node now: the checks that every send has to pass.

use crate::interface::*;
use crate::law::*;
use crate::records::count_after;
use crate::scheduler::Scheduler;
use crate::settings::*;
use crate::state::*;

/// A request counts as late if it is due within this multiple of the node's recent mean latency.
const LATENCY_MARGIN: f64 = 1.0;

/// The result of the checks for one request and one node.
pub(crate) enum Verdict {
    Send,
    /// Not now; at the given time, or with the next event at the shard.
    Wait(Option<Micros>),
    /// It can never be sent to this node: it is to be refused or failed.
    Never,
}

impl OpenRequest {
    /// Attempts that were sent, or are about to be.
    pub(crate) fn tries(&self) -> usize {
        self.attempts.iter().filter(|a| a.state != AttemptState::NotSent).count()
    }

    /// Its next attempt uses a retry token: it is a retry of this host, or the request is a client's retry.
    pub(crate) fn needs_retry_token(&self) -> bool {
        self.tries() > 0 || self.request.is_retry
    }
}

impl Class {
    /// Whether a request of this class may be sent to `node` although `attempt` may have run.
    fn may_repeat(&self, attempt: &Attempt, node: &Node, now: Micros) -> bool {
        match self.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed { scope, window } => {
                let recognised = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => attempt.zone == node.zone,
                    DedupScope::Shard => attempt.shard == node.shard,
                };
                recognised && now - attempt.sent < window - window / 50
            }
        }
    }
}

impl Scheduler {
    /// Whether an attempt that waited for its connection may still be written to the node; if not, it counts
    /// as never sent.
    ///
    /// An attempt that awaits its connection begins late: by then its node may drain or be another process,
    /// its client's time may be over, or the nodes may have forgotten its key. The cost: the request waits
    /// again.
    pub fn attempt_is_valid(&self, now: Micros, id: RequestId, attempt: u32, node: NodeId) -> bool {
        let (Some(open), Some(node)) = (self.state.requests.get(&id), self.state.nodes.get(&node)) else {
            return false;
        };
        let (class, index) = (&self.settings.classes[open.request.class], attempt as usize);
        let others = open.attempts.iter().enumerate().filter(|(i, a)| *i != index && a.may_have_run());
        open.attempts.get(index).is_some_and(|own| own.node_started == node.started)
            && !open.finished
            && now < open.deadline
            && node.state == NodeState::On
            && others.map(|(_, a)| a).all(|a| class.may_repeat(a, node, now))
    }

    /// Whether a request may be sent to a node that is ready (`Node::check_ready`). All other rules on sends
    /// are checked here, for first attempts, retries and hedges alike; `attempt_is_valid` checks some of them
    /// again when a delayed attempt begins.
    ///
    /// Each gateway keeps its own retry budget, and the sum over them, with clients that retry at the next
    /// gateway, overloads a shard that recovers. The retries that the shard can take are allotted from
    /// outside, as retry tokens. The cost: a retry that would have been served waits, or is refused.
    pub(crate) fn verdict(&self, id: RequestId, node: &Node) -> Verdict {
        let needs_token = self.state.requests.get(&id).is_some_and(OpenRequest::needs_retry_token);
        if needs_token && self.state.retry_tokens.get(&node.shard).is_some_and(|tokens| tokens.left == 0) {
            return Verdict::Wait(None);
        }
        self.verdict_given_token(id, node)
    }

    /// `verdict` without the check for a retry token.
    pub(crate) fn verdict_given_token(&self, id: RequestId, node: &Node) -> Verdict {
        let now = self.state.now;
        let Some(open) = self.state.requests.get(&id) else { return Verdict::Never };
        let class = &self.settings.classes[open.request.class];
        let tries = open.tries();
        let max_attempts = self.settings.max_attempts as usize;
        if open.finished || open.streaming || now >= open.deadline || open.attempts.len() >= max_attempts {
            return Verdict::Never;
        }
        if node.state != NodeState::On {
            return Verdict::Wait(None);
        }
        if open.is_in_flight() && !self.settings.hedging {
            return Verdict::Never;
        }
        if !open.uncertain_attempts().all(|a| class.may_repeat(a, node, now)) {
            return Verdict::Never;
        }
        if !self.is_first_of_key(open, tries) {
            return Verdict::Wait(None);
        }
        if tries > 0 && !self.has_retry_budget() {
            return Verdict::Never;
        }
        if let Err(verdict) = self.check_volume_limit(open) {
            return verdict;
        }
        if let Some(at) = self.cold_node_wait(node, &open.request) {
            return Verdict::Wait(Some(at));
        }
        self.check_node_bound(open, node)
    }

    /// Whether the order of its key lets a request run now; true for classes without order.
    fn is_first_of_key(&self, open: &OpenRequest, tries: usize) -> bool {
        let class = &self.settings.classes[open.request.class];
        let (true, Some(key)) = (class.in_order, open.request.key) else { return true };
        self.state.key_orders.get(&key).is_some_and(|order| {
            order.requests.front() == Some(&open.request.id)
                && (self.state.now >= order.paused_until || tries > 0)
        })
    }

    /// Checks a request that is not charged yet against this host's part of its volume's limit.
    fn check_volume_limit(&self, open: &OpenRequest) -> Result<(), Verdict> {
        let now = self.state.now;
        let volume = self.state.volumes.get(&open.request.volume).filter(|_| open.is_uncharged());
        if let Some((bucket, awaiting_units)) =
            volume.and_then(|v| v.limit.map(|bucket| (bucket, v.awaiting_units)))
        {
            // An even part of the shared limit: the sum of the parts never exceeds the whole.
            let plan = &self.settings.plans[open.request.plan];
            let slack = plan.limit_slack / f64::from(open.request.hosts.max(1));
            let missing = open.request.units - slack - bucket.level_at(now) + awaiting_units;
            if open.request.units > slack + bucket.capacity {
                return Err(Verdict::Never);
            }
            if missing > 0.0 {
                let at = now + (missing / bucket.rate * 1e6).ceil() as Micros;
                return Err(if at >= open.deadline { Verdict::Never } else { Verdict::Wait(Some(at)) });
            }
        }
        Ok(())
    }

    /// Checks a request against the node's latency, bound and pacing.
    ///
    /// An answer after the latency target takes node time from those in time. A request that the mean latency
    /// of the last second would make late is answered now. The cost: a request that would have been faster
    /// than the mean is refused.
    fn check_node_bound(&self, open: &OpenRequest, node: &Node) -> Verdict {
        let (now, view) = (self.state.now, self.fleet_view());
        let answered_recently = now - node.last_answer < SMOOTHING as Micros;
        if answered_recently && now + (LATENCY_MARGIN * node.mean_latency(&view)) as Micros > open.due {
            return Verdict::Never;
        }
        let tier = open.tier;
        if node.occupied() >= node.bound(tier, &view).floor() && node.active(now, tier) > 0.0 {
            return Verdict::Wait(None);
        }
        let paced_at = node.paced_at(tier, &view);
        if node.occupied() < 1.0 && now < paced_at {
            return Verdict::Wait(Some(paced_at));
        }
        Verdict::Send
    }

    /// Whether the retry budget allows one more retry.
    fn has_retry_budget(&self) -> bool {
        self.settings.retry_budget.is_none_or(|budget| {
            let since = self.state.now - budget.window;
            let requests = count_after(&self.state.request_times, since);
            let retries = count_after(&self.state.retry_times, since - 1);
            (retries + 1) as f64 <= budget.base + budget.per_request * requests as f64
        })
    }
}
