//! The queues of each shard: requests ordered by worth, and then by arrival or by due time.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::sums::*;

/// A request's sort keys in the queues of a shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// Rank by the worth of its units; the lowest rank is worth most and goes first.
    pub(crate) rank: i32,
    /// Its due time, negated, so that the latest due sorts first.
    pub(crate) negated_due: Micros,
    pub(crate) id: RequestId,
    /// The time until which its waiting does not count as congestion of its queue.
    pub(crate) prompt_until: Micros,
}

impl QueueEntry {
    /// Sort key among the requests that wait for a retry token: by worth, then in order of arrival.
    pub(crate) fn token_order(&self) -> (i32, RequestId) {
        (self.rank, self.id)
    }
}

/// The waiting requests of one rank, in both orders.
#[derive(Default)]
pub(crate) struct Queue {
    /// By `negated_due`.
    pub(crate) latest_due: BTreeSet<(Micros, RequestId)>,
    /// By `prompt_until`.
    pub(crate) by_arrival: BTreeSet<(Micros, RequestId)>,
    /// Its requests wait too long to be sent well within their latency target, so that the order of sends is
    /// `latest_due`.
    pub(crate) congested: bool,
}

impl Queue {
    /// Whether its first request has waited beyond its `prompt_until`.
    pub(crate) fn is_overdue(&self, now: Micros) -> bool {
        self.by_arrival.first().is_some_and(|(prompt_until, _)| *prompt_until < now)
    }
}

pub(crate) struct Shard {
    /// Nodes that are on and hold the shard, in order of id.
    pub(crate) nodes: Vec<NodeId>,
    /// Requests received that named this shard; a retry counts only if it is the first of them.
    pub(crate) requests: u64,
    /// Waiting requests by rank.
    pub(crate) queues: BTreeMap<i32, Queue>,
    /// Number of requests in all queues.
    pub(crate) waiting: usize,
    /// Waiting requests by key.
    pub(crate) by_key: BTreeMap<KeyId, BTreeSet<QueueEntry>>,
    /// Queued requests whose next attempt uses a retry token.
    pub(crate) needing_token: BTreeSet<QueueEntry>,
    /// Requests that wait for a retry token. None of them is in a queue or counted in `waiting`.
    pub(crate) awaiting_token: BTreeMap<(i32, RequestId), QueueEntry>,
    /// Key of the request sent last.
    pub(crate) last_key: Option<KeyId>,
    /// Recent demand beyond the reserve in units, and the weight of the plan, by volume.
    pub(crate) demand_beyond_reserve: BTreeMap<VolumeId, (DecayingSum, f64)>,
    /// Recent demand within the reserves, in units.
    pub(crate) demand_within_reserve: DecayingSum,
    /// Units served recently.
    pub(crate) served: DecayingSum,
    /// Highest value of `served`, decaying slowly: an estimate of what the shard can do for this host.
    pub(crate) peak: f64,
    pub(crate) peak_updated_at: Micros,
    /// Time of the earliest pending wake for this shard.
    pub(crate) wake: Option<Micros>,
}

impl Shard {
    /// A shard without requests; recent demand and service decay with `time_constant`, in microseconds.
    pub(crate) fn new(time_constant: f64) -> Self {
        Shard {
            nodes: Vec::new(),
            requests: 0,
            queues: BTreeMap::new(),
            waiting: 0,
            by_key: BTreeMap::new(),
            needing_token: BTreeSet::new(),
            awaiting_token: BTreeMap::new(),
            last_key: None,
            demand_beyond_reserve: BTreeMap::new(),
            demand_within_reserve: DecayingSum::new(time_constant),
            served: DecayingSum::new(time_constant),
            peak: 0.0,
            peak_updated_at: 0,
            wake: None,
        }
    }
}

impl Shard {
    /// Records served units; the peak decays with the time constant `peak_decay`, in microseconds.
    pub(crate) fn record_served(&mut self, now: Micros, units: f64, peak_decay: f64) {
        self.served.add(now, units);
        self.peak *= (-((now - self.peak_updated_at) as f64) / peak_decay).exp();
        self.peak = self.peak.max(self.served.value_at(now));
        self.peak_updated_at = now;
    }
    /// Adds a request to the queue of its rank and to the indexes; see `awaiting_token` for the requests that
    /// wait outside of them.
    pub(crate) fn insert(&mut self, entry: QueueEntry, key: Option<KeyId>, needs_token: bool) {
        let queue = self.queues.entry(entry.rank).or_default();
        queue.latest_due.insert((entry.negated_due, entry.id));
        queue.by_arrival.insert((entry.prompt_until, entry.id));
        self.waiting += 1;
        if needs_token {
            self.needing_token.insert(entry);
        }
        if let Some(key) = key {
            self.by_key.entry(key).or_default().insert(entry);
        }
    }
    /// Removes a request from its queue and returns that queue.
    pub(crate) fn remove(&mut self, entry: QueueEntry, key: Option<KeyId>) -> Option<&mut Queue> {
        self.needing_token.remove(&entry);
        if let Some(key) = key
            && let Some(same_key) = self.by_key.get_mut(&key)
        {
            same_key.remove(&entry);
            if same_key.is_empty() {
                self.by_key.remove(&key);
            }
        }
        let queue = self.queues.get_mut(&entry.rank)?;
        queue.latest_due.remove(&(entry.negated_due, entry.id));
        queue.by_arrival.remove(&(entry.prompt_until, entry.id));
        self.waiting -= 1;
        Some(queue)
    }
}
