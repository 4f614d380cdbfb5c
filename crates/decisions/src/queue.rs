//! Queueing and dispatch: which waiting request of a shard is sent next, by worth, and then in order of
//! arrival or latest due first.

use std::collections::BTreeMap;

use crate::cold::GOLDEN;
use crate::interface::*;
use crate::law::*;
use crate::scheduler::Scheduler;
use crate::settings::*;
use crate::state::*;
use crate::verdict::Verdict;

/// How many waiting requests are examined for one send.
const MAX_EXAMINED: usize = 24;
/// Multiple of a volume's usual rate that counts as within its share, in a large fleet.
const SHARE_OVERUSE: f64 = 2.0;
/// The fraction of its latency target for which a request may wait before its queue counts as congested.
const PROMPT_FRACTION: f64 = 0.25;
/// Queued requests beyond the number of retry tokens, so that a request that its volume's limit holds back
/// does not hold a token.
const EXTRA_TOKEN_CANDIDATES: usize = 4;

impl Queue {
    /// The waiting requests in the order in which they are considered.
    ///
    /// Under a lasting overload the oldest request can only just be late, so that the latest due goes first.
    /// In a queue that merely never empties, that order skips the oldest requests until they are late,
    /// on a node that could serve them at once. So the order is that of arrival while requests are sent well
    /// within their latency target. The cost: as an overload begins, up to `PROMPT_FRACTION` of the latency
    /// targets is spent.
    fn in_send_order(&self) -> impl Iterator<Item = RequestId> {
        let order = if self.congested { &self.latest_due } else { &self.by_arrival };
        order.iter().map(|(_, id)| *id)
    }
}

impl Shard {
    /// Whether a late retry, whose first latency target is over, may wait here.
    ///
    /// When two thousand clients retry at once, late work displaces requests that could be in time. It is
    /// refused while requests are not sent well within their latency target, and while the law admits nothing
    /// beyond the shares. Once a queue is congested, its
    /// order is latest due first and a late retry in it goes last. The cost: when thousands of late retries
    /// come at once, requests in time wait for up to `PROMPT_FRACTION` of their latency target.
    fn admits_late(&self, rank: i32, nodes: &BTreeMap<NodeId, Node>, view: &FleetView) -> bool {
        let mut queues = self.queues.iter();
        let congested = queues.any(|(r, queue)| queue.is_overdue(view.now) || *r == rank && queue.congested);
        (!congested || self.waiting == 0) && self.nodes.iter().any(|id| nodes[id].has_spare_capacity(view))
    }
}

impl OpenRequest {
    /// Counts the request in its shard's recent demand and, beyond the reserve, assigns the share or the
    /// spare tier.
    fn assign_tier(&mut self, plan: &Plan, shard: &mut Shard, volume: Option<&mut Volume>, view: &FleetView) {
        let now = view.now;
        if self.tier == RESERVE {
            shard.demand_within_reserve.add(now, self.request.units);
            return;
        }
        let weight = if plan.weight > 0.0 { plan.weight } else { 1.0 };
        let (demand, weight) = shard
            .demand_beyond_reserve
            .entry(self.request.volume)
            .or_insert((DecayingSum::new(SMOOTHING), weight));
        demand.add(now, self.request.units);
        let mut within = demand.value_at(now) / *weight <= shard.fair_share(now);
        // A host of a large fleet sees too little of a node to know its capacity. There units also count as
        // within the share while the volume stays near its usual rate, as metered or as seen here. The cost:
        // surges of many volumes at once pass for a while.
        if let (true, Some(volume)) = (view.fresh_bound < 1.0, volume) {
            volume.share_sequence = (volume.share_sequence + GOLDEN) % 1.0;
            let used = volume.metered_use.max(volume.demand.value_at(now) / plan.rate.max(1e-3));
            within |= volume.share_sequence * used < SHARE_OVERUSE;
        }
        self.tier = if within { SHARE } else { SPARE };
    }
}

/// Lowers `earliest` to `at`, if that is a time.
fn note_wake(earliest: &mut Option<Micros>, at: Option<Micros>) {
    *earliest = at.map_or(*earliest, |t| Some(earliest.map_or(t, |w| w.min(t))));
}

impl Scheduler {
    /// The shard at which a request is to wait: its own, the one whose nodes know its key, or, for a new
    /// object, the one whose node is least loaded relative to its bound.
    fn choose_shard(&self, open: &OpenRequest) -> Option<ShardId> {
        if let Some(shard) = open.request.shard.or(open.uncertain_attempts().next().map(|a| a.shard)) {
            return Some(shard);
        }
        let view = self.fleet_view();
        let utilization = |n: &Node| {
            let waiting = self.state.shards.get(&n.shard).map_or(0, |s| s.waiting);
            (n.in_flight.len() + waiting + 1) as f64 / n.bound(RESERVE, &view)
                * n.latency_ratio(&view).max(0.1)
        };
        let usable = |n: &&Node| {
            n.state == NodeState::On
                && !n.is_silent(self.state.now)
                && n.failures == 0
                && self.cold_node_wait(n, &open.request).is_none()
        };
        let usable_nodes = self.state.nodes.values().filter(usable);
        let best = usable_nodes.min_by(|a, b| utilization(a).total_cmp(&utilization(b)));
        best.or(self.state.nodes.values().find(|n| n.state == NodeState::On)).map(|n| n.shard)
    }

    /// Puts a request into a queue of its shard, or refuses it if it is a late retry and the shard does not
    /// admit it.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let (now, view) = (self.state.now, self.fleet_view());
        let Some(open) = self.state.requests.get(&id) else { return };
        let Some(shard_id) = self.choose_shard(open) else {
            return; // No node is listed at all: it waits for the node list or its time limits.
        };
        let shard = self.state.shards.entry(shard_id).or_insert_with(|| Shard::new(SMOOTHING));
        let Some(open) = self.state.requests.get_mut(&id) else { return };
        // Retries count only if they are a shard's first request: else few shards would look like all of
        // them.
        if open.request.shard.is_some() && (shard.requests == 0 || !open.needs_retry_token()) {
            self.state.shard_usage.record(&mut shard.requests);
        }
        let plan = &self.settings.plans[open.request.plan];
        if open.attempts.is_empty() {
            let volume = self.state.volumes.get_mut(&open.request.volume);
            open.assign_tier(plan, shard, volume, &view);
        }
        let rank = rank(&self.settings, open);
        if open.is_late_retry() && !shard.admits_late(rank, &self.state.nodes, &view) {
            return self.finish_unserved(id, 0);
        }
        let negated_due = -open.first_due.min(open.due);
        self.insert_now(shard_id, QueueEntry { rank, negated_due, id, prompt_until: now });
    }

    /// Takes a request out of its queue, or from those that wait for a retry token; `sent`: because it is
    /// sent. Otherwise it has ended or is moved between the two.
    ///
    /// A queue whose oldest request is overdue stays or becomes congested. Else a send clears the mark, and a
    /// request that leaves unsent keeps it, or sets it if that request was overdue itself.
    pub(crate) fn dequeue(&mut self, id: RequestId, sent: bool) {
        let now = self.state.now;
        let Some(open) = self.state.requests.get_mut(&id) else { return };
        let Some((shard_id, entry)) = open.waits_at.take() else { return };
        let Some(shard) = self.state.shards.get_mut(&shard_id) else { return };
        if shard.awaiting_token.remove(&entry.token_order()).is_some() {
            self.state.changed_token_waiters.insert(shard_id);
        } else if let Some(queue) = shard.remove(entry, open.request.key) {
            queue.congested = queue.is_overdue(now) || !sent && (queue.congested || entry.prompt_until < now);
        }
        if !shard.awaiting_token.is_empty() {
            self.state.dirty_shards.insert(shard_id);
        }
    }

    /// Moves one request if the queues hold more or fewer requests that need a retry token than may find one,
    /// or if too many wait for a token; returns whether it did.
    ///
    /// Tokens arrive as requests are served, so that a request refused for want of one could be sent within a
    /// millisecond. As many as the limit allows wait for a token, outside the queues, where they would block
    /// others. The rest is refused at once, so that its clients retry when advised. The cost: a request that
    /// waits in vain is refused that much later.
    fn balance_token_waiters(&mut self, shard_id: ShardId, tokens: RetryTokens) -> bool {
        let Some(shard) = self.state.shards.get(&shard_id) else { return false };
        let allowed = match tokens.left {
            0 => 0,
            left if self.state.token_wait_limits.contains_key(&shard_id) => {
                left as usize + EXTRA_TOKEN_CANDIDATES
            }
            _ => usize::MAX,
        };
        let candidates = shard.needing_token.len();
        if let Some(&entry) = shard.needing_token.last().filter(|_| candidates > allowed) {
            self.refuse_or_await_token(shard_id, entry, tokens);
        } else if let (true, Some(entry)) = (candidates < allowed, self.state.first_awaiting_token(shard_id))
        {
            self.dequeue(entry.id, false);
            self.insert_now(shard_id, entry);
        } else if let Some(id) = self.state.excess_awaiting_token(shard_id) {
            self.finish_unserved(id, tokens.retry_after);
        } else {
            return false;
        }
        true
    }

    /// Moves a request out of its queue until there is a retry token. It is refused instead if no token would
    /// help it, or if its class keeps the order of keys, as the requests behind it would have to wait with
    /// it.
    fn refuse_or_await_token(&mut self, shard_id: ShardId, entry: QueueEntry, tokens: RetryTokens) {
        let (Some(open), Some(shard)) =
            (self.state.requests.get(&entry.id), self.state.shards.get(&shard_id))
        else {
            return;
        };
        let never =
            |n: &NodeId| matches!(self.verdict_given_token(entry.id, &self.state.nodes[n]), Verdict::Never);
        let in_order = self.settings.classes[open.request.class].in_order;
        if in_order || !shard.nodes.is_empty() && shard.nodes.iter().all(never) {
            return self.finish_unserved(entry.id, tokens.retry_after);
        }
        self.dequeue(entry.id, false);
        self.state.insert_awaiting_token(shard_id, entry);
    }

    /// Inserts a request into a queue, with its waiting time counted from now.
    fn insert_now(&mut self, shard_id: ShardId, entry: QueueEntry) {
        let Some(open) = self.state.requests.get(&entry.id) else { return };
        let latency_target = self.settings.classes[open.request.class].latency_target;
        let prompt_until = self.state.now + (PROMPT_FRACTION * latency_target as f64) as Micros;
        self.state.insert_into_queue(shard_id, QueueEntry { prompt_until, ..entry });
        self.state.dirty_shards.insert(shard_id);
    }

    /// Sends what can be sent of a shard's waiting requests, answers those that never can be, and schedules a
    /// wake for the rest.
    pub(crate) fn dispatch(&mut self, shard_id: ShardId) {
        self.mark_overdue_queues(shard_id);
        loop {
            let tokens = self.state.retry_tokens.get(&shard_id).copied();
            if tokens.is_some_and(|tokens| self.balance_token_waiters(shard_id, tokens)) {
                continue;
            }
            let Some(shard) = self.state.shards.get(&shard_id).filter(|s| s.waiting > 0) else { return };
            let mut wake: Option<Micros> = None;
            let best = self.least_utilized_node(shard, &mut wake);
            let (chosen, rejected) = match best {
                Some(node_id) => self.select_request(shard, node_id, &mut wake),
                None => (None, Vec::new()),
            };
            if let (Some(id), Some(node_id)) = (chosen, best) {
                self.send(id, node_id);
            } else if rejected.is_empty() {
                return self.schedule_shard_wake(shard_id, wake);
            }
            for id in rejected {
                self.finish_unserved(id, 0);
            }
        }
    }

    fn mark_overdue_queues(&mut self, shard_id: ShardId) {
        let now = self.state.now;
        if let Some(shard) = self.state.shards.get_mut(&shard_id) {
            shard.queues.values_mut().for_each(|queue| queue.congested |= queue.is_overdue(now));
        }
    }

    /// The shard's ready node with the fewest attempts in flight relative to its bound.
    fn least_utilized_node(&self, shard: &Shard, wake: &mut Option<Micros>) -> Option<NodeId> {
        let view = self.fleet_view();
        let mut best: Option<(f64, NodeId)> = None;
        for &id in &shard.nodes {
            let node = &self.state.nodes[&id];
            match node.check_ready(&view) {
                Err(at) => note_wake(wake, at),
                Ok(()) => {
                    let utilization = node.in_flight.len() as f64 / node.bound(RESERVE, &view);
                    if best.is_none_or(|(least, _)| utilization < least) {
                        best = Some((utilization, id));
                    }
                }
            }
        }
        best.map(|(_, id)| id)
    }

    /// The next request to send to a node, and requests examined before it that can never be sent.
    fn select_request(
        &self,
        shard: &Shard,
        node_id: NodeId,
        wake: &mut Option<Micros>,
    ) -> (Option<RequestId>, Vec<RequestId>) {
        let node = &self.state.nodes[&node_id];
        let mut rejected = Vec::new();
        // A request for the data just sent to the node costs it far less, so that requests for one key go
        // together.
        let same_key = shard.last_key.and_then(|k| shard.by_key.get(&k)).and_then(|entries| entries.first());
        let waiting = shard.queues.values().flat_map(Queue::in_send_order);
        for id in same_key.map(|entry| entry.id).into_iter().chain(waiting).take(MAX_EXAMINED) {
            match self.verdict(id, node) {
                Verdict::Send => return (Some(id), rejected),
                Verdict::Wait(at) => note_wake(wake, at),
                Verdict::Never => rejected.push(id),
            }
        }
        (None, rejected)
    }

    /// Schedules a wake for the shard, unless an earlier one is pending.
    fn schedule_shard_wake(&mut self, shard_id: ShardId, wake: Option<Micros>) {
        let now = self.state.now;
        if let Some(at) = wake
            && let Some(shard) = self.state.shards.get_mut(&shard_id)
            && shard.wake.is_none_or(|pending| at < pending || pending <= now)
        {
            shard.wake = Some(at);
            self.state.wakes.insert((at, Wake::Shard(shard_id)));
        }
    }

    /// Sends an attempt: charges its volume's limit, the retry budget and the retry tokens, and records it
    /// with its node.
    fn send(&mut self, id: RequestId, node_id: NodeId) {
        let (now, view) = (self.state.now, self.fleet_view());
        self.dequeue(id, true);
        let (Some(open), Some(node)) = (self.state.requests.get_mut(&id), self.state.nodes.get_mut(&node_id))
        else {
            return;
        };
        let charged = open.is_uncharged();
        if charged
            && let Some(volume) = self.state.volumes.get_mut(&open.request.volume)
            && let Some(limit) = &mut volume.limit
        {
            limit.add(now, -open.request.units);
        }
        if self.settings.retry_budget.is_some() && open.tries() > 0 {
            self.state.retry_times.push_back(now);
        }
        if let (true, Some(tokens)) = (open.needs_retry_token(), self.state.retry_tokens.get_mut(&node.shard))
        {
            tokens.left = tokens.left.saturating_sub(1);
        }
        let latency_target = self.settings.classes[open.request.class].latency_target.max(1);
        let weights = TIERS.map(|tier| node.bound(tier, &view).min(1.0));
        node.paced_until = TIERS.map(|tier| node.paced_until[tier].max(now) + node.pacing_gap(tier, &view));
        open.attempts.push(Attempt::sent_to(node, now, charged));
        let in_flight = InFlight { sent: now, latency_target, weights, overtaken: 0 };
        node.record_send((id, open.last_attempt()), in_flight, open.request.units);
        if let Some(shard) = self.state.shards.get_mut(&node.shard) {
            shard.last_key = open.request.key;
        }
        self.state.actions.push(Action::Send { request: id, node: node_id, timeout: 0 });
    }
}

/// Rank of a request in its shard's queues: two ranks for each halving of what its units earn.
fn rank(settings: &Settings, open: &OpenRequest) -> i32 {
    let class = &settings.classes[open.request.class];
    let plan = &settings.plans[open.request.plan];
    let tier_worth = match open.tier {
        RESERVE => 1.0,
        SHARE => settings.share_worth,
        _ => settings.spare_worth,
    };
    let worth = (class.worth * plan.price * tier_worth).max(1e-6);
    (-2.0 * worth.log2()).round() as i32
}
