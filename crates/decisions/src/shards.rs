//! The requests that wait at each shard, by worth and by time. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::sums::*;

/// A request's place among those that wait at a shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// What its units are worth, the most valuable first.
    pub(crate) rank: i32,
    /// The end of its aim, negative: the latest first.
    pub(crate) due: Micros,
    pub(crate) id: RequestId,
    /// Until when it waits well within its aim.
    pub(crate) prompt: Micros,
}

impl Place {
    /// Its turn among those that wait for a right: by worth, then in order of arrival.
    pub(crate) fn turn(&self) -> (i32, RequestId) {
        (self.rank, self.id)
    }
}

/// Requests of one worth that wait at a shard, in both orders.
#[derive(Default)]
pub(crate) struct Queue {
    pub(crate) latest_due: BTreeSet<(Micros, RequestId)>,
    pub(crate) by_arrival: BTreeSet<(Micros, RequestId)>,
    /// What waited here was not sent well within its aim.
    pub(crate) behind: bool,
}

impl Queue {
    /// Whether some request has waited for too long.
    pub(crate) fn is_overdue(&self, now: Micros) -> bool {
        self.by_arrival.first().is_some_and(|(prompt, _)| *prompt < now)
    }
}

pub(crate) struct Shard {
    pub(crate) nodes: Vec<NodeId>,
    /// Requests taken for it.
    pub(crate) asks: u64,
    /// Requests that wait, by rank, and how many there are in all.
    pub(crate) queues: BTreeMap<i32, Queue>,
    pub(crate) waiting: usize,
    pub(crate) by_key: BTreeMap<KeyId, BTreeSet<Place>>,
    /// Of those that wait, those whose next attempt takes a right.
    pub(crate) needy: BTreeSet<Place>,
    /// Those that wait for a right, by turn; none of them is in a queue, or counted as waiting.
    pub(crate) awaiting: BTreeMap<(i32, RequestId), Place>,
    pub(crate) last_key: Option<KeyId>,
    /// Units beyond the reserve that each volume asked for lately, and the weight of its plan.
    pub(crate) asked: BTreeMap<VolumeId, (Fading, f64)>,
    pub(crate) reserved: Fading,
    pub(crate) served: Fading,
    /// Best service seen, fading slowly: what the node can do for this host.
    pub(crate) peak: f64,
    pub(crate) peak_at: Micros,
    pub(crate) wake: Option<Micros>,
}

impl Shard {
    pub(crate) fn new(span: f64) -> Self {
        Shard {
            nodes: Vec::new(),
            asks: 0,
            queues: BTreeMap::new(),
            waiting: 0,
            by_key: BTreeMap::new(),
            needy: BTreeSet::new(),
            awaiting: BTreeMap::new(),
            last_key: None,
            asked: BTreeMap::new(),
            reserved: Fading::over(span),
            served: Fading::over(span),
            peak: 0.0,
            peak_at: 0,
            wake: None,
        }
    }
}

impl Shard {
    /// Notes units that a node of it has served; the best service seen fades over the span.
    pub(crate) fn serve(&mut self, now: Micros, units: f64, fade: f64) {
        self.served.add(now, units);
        self.peak *= (-((now - self.peak_at) as f64) / fade).exp();
        self.peak = self.peak.max(self.served.read(now));
        self.peak_at = now;
    }
    pub(crate) fn insert(&mut self, place: Place, key: Option<KeyId>, needy: bool) {
        let queue = self.queues.entry(place.rank).or_default();
        queue.latest_due.insert((place.due, place.id));
        queue.by_arrival.insert((place.prompt, place.id));
        self.waiting += 1;
        if needy {
            self.needy.insert(place);
        }
        if let Some(key) = key {
            self.by_key.entry(key).or_default().insert(place);
        }
    }
    /// Takes a request out of its queue, which is returned.
    pub(crate) fn remove(&mut self, place: Place, key: Option<KeyId>) -> Option<&mut Queue> {
        self.needy.remove(&place);
        if let Some(key) = key
            && let Some(line) = self.by_key.get_mut(&key)
        {
            line.remove(&place);
            if line.is_empty() {
                self.by_key.remove(&key);
            }
        }
        let queue = self.queues.get_mut(&place.rank)?;
        queue.latest_due.remove(&(place.due, place.id));
        queue.by_arrival.remove(&(place.prompt, place.id));
        self.waiting -= 1;
        Some(queue)
    }
}
