//! Bounds what the scheduler remembers of the names that requests bring: volumes and objects.
//!
//! A client can make up names without end, and the records would fill the memory between two sweeps. Beyond
//! the limit the least recently used half is forgotten. The cost: a volume that is forgotten and comes back
//! begins with an empty limit, and its client's retries may count as new requests.

use std::collections::{BTreeSet, VecDeque};

use crate::interface::*;
use crate::scheduler::Scheduler;

/// Limit of records of each kind unless the host sets another one.
pub(crate) const DEFAULT_MAX_RECORDS: usize = 1 << 16;
/// Arrival times of requests that are kept for the retry budget. With more requests in its window the budget
/// is smaller than it could be.
const MAX_REQUEST_TIMES: usize = 1 << 16;

impl Scheduler {
    /// Sets how many volumes, and how many unserved requests, are remembered at most.
    pub fn limit_records(&mut self, max: usize) {
        self.max_records = max.max(2);
    }

    /// Number of records of volumes and of unserved requests; tests use it to find leaks.
    pub fn remembered_records(&self) -> usize {
        let by_shard = self.state.shards.values().map(|s| s.demand_beyond_reserve.len()).max().unwrap_or(0);
        self.state.volumes.len().max(by_shard) + self.state.recent_unserved.len()
    }

    /// Makes room for the record of a volume that is not known yet.
    pub(crate) fn make_room_for_volume(&mut self, volume: VolumeId) {
        let (volumes, requests) = (&mut self.state.volumes, &self.state.requests);
        // Twice the open requests, so that at least half of the volumes can be forgotten.
        if volumes.len() < self.max_records.max(2 * requests.len()) || volumes.contains_key(&volume) {
            return;
        }
        // Without its volume's record, a waiting request would be sent without a limit.
        let in_use: BTreeSet<VolumeId> = requests.values().map(|open| open.request.volume).collect();
        let last_forgotten = newest_of_older_half(volumes.values().map(|v| v.last_request));
        // A forgotten volume may have spent its whole limit just now.
        if volumes.values().any(|v| v.last_request <= last_forgotten && v.limit.is_some()) {
            self.state.limits_forgotten_at = Some(self.state.now);
        }
        volumes.retain(|id, v| v.last_request > last_forgotten || in_use.contains(id));
        for shard in self.state.shards.values_mut() {
            shard.demand_beyond_reserve.retain(|id, _| volumes.contains_key(id));
        }
    }

    /// Makes room for the record of one more unserved request.
    pub(crate) fn make_room_for_unserved(&mut self) {
        let unserved = &mut self.state.recent_unserved;
        if unserved.len() >= self.max_records {
            let last_forgotten = newest_of_older_half(unserved.values().map(|u| u.ended));
            unserved.retain(|_, u| u.ended > last_forgotten);
        }
    }

    /// Records a request's arrival for the retry budget.
    pub(crate) fn record_arrival(&mut self) {
        let Some(budget) = self.settings.retry_budget else { return };
        let window_start = self.state.now - budget.window;
        let times = &mut self.state.request_times;
        while times.len() >= MAX_REQUEST_TIMES || times.front().is_some_and(|&t| t < window_start) {
            times.pop_front();
        }
        times.push_back(self.state.now);
    }
}

/// Number of times after `since`, where the times are in order.
pub(crate) fn count_after(times: &VecDeque<Micros>, since: Micros) -> usize {
    times.len() - times.partition_point(|&t| t <= since)
}

/// The latest of the times that make up the older half.
fn newest_of_older_half(times: impl Iterator<Item = Micros>) -> Micros {
    let mut times: Vec<Micros> = times.collect();
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}
