//! Distribution of the fleet-wide tokens among the shards.

use crate::Micros;
use crate::cap::Cap;
use crate::options::ONE_TOKEN;
use crate::shard_cap::ShardCap;

/// Tokens assigned to a shard beyond its need, so that it seldom has to be assigned more.
const EXTRA_TOKENS: u64 = 4;

impl Cap {
    /// Distributes the whole fleet-wide tokens among the shards, limited by each shard's own tokens:
    /// first one for each, then in proportion to need and aged worth, then to those that need more, the
    /// highest worth first. The sum never exceeds the account. The remainder stays unassigned, for
    /// whichever shard needs it first.
    pub(crate) fn distribute(&mut self) {
        let (now, window) = (self.next_slice, self.options.window);
        let weight = |shard_cap: &ShardCap| 0.1 + shard_cap.need() as f64 * shard_cap.aged_worth(now, window);
        let mut order: Vec<(f64, u32)> =
            self.shard_caps.values().map(|shard_cap| (weight(shard_cap), shard_cap.shard)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.shard_caps.values_mut().for_each(|shard_cap| shard_cap.fleet_quota = 0);
        self.assigned = 0;
        for &(_, shard) in &order {
            self.assign(shard, 1);
        }
        let (remainder, weight_sum) =
            (self.unassigned(), order.iter().map(|(weight, _)| weight).sum::<f64>());
        for &(weight, shard) in &order {
            self.assign(shard, (remainder as f64 * weight / weight_sum).floor() as u64);
        }
        for &(_, shard) in &order {
            self.assign(shard, self.shard_caps.get(&shard).map_or(0, ShardCap::need));
            self.update_lacking_quota(shard);
        }
    }

    /// Whole fleet-wide tokens that are not assigned to any shard.
    fn unassigned(&self) -> u64 {
        (self.fleet.available() / ONE_TOKEN).saturating_sub(self.assigned)
    }

    /// Assigns a shard at most `max_tokens` more tokens.
    fn assign(&mut self, shard: u32, max_tokens: u64) {
        let max_tokens = max_tokens.min(self.unassigned());
        let Some(shard_cap) = self.shard_caps.get_mut(&shard) else { return };
        let more = shard_cap.beyond_quota().min(u32::try_from(max_tokens).unwrap_or(u32::MAX));
        shard_cap.fleet_quota += more;
        self.assigned += u64::from(more);
    }

    /// Records whether a shard has tokens of its own but no fleet-wide ones.
    pub(crate) fn update_lacking_quota(&mut self, shard: u32) {
        match self.shard_caps.get(&shard) {
            Some(shard_cap) if shard_cap.fleet_quota == 0 && shard_cap.own_tokens() > 0 => {
                _ = self.lacking_quota.insert(shard)
            }
            _ => _ = self.lacking_quota.remove(&shard),
        }
    }

    /// Assigns tokens to the shards without fleet-wide ones: from the unassigned tokens, or, where one
    /// of these shards needs some, by redistributing all of them, at most once a step. Returns
    /// `Some` with the shards that received tokens, or `None` if any shard's quota may have changed.
    pub(crate) fn assign_more(&mut self, now: Micros) -> Option<Vec<u32>> {
        let mut changed = Vec::new();
        while self.unassigned() > 0
            && let Some(shard) = self.lacking_quota.pop_first()
        {
            self.assign(shard, EXTRA_TOKENS + self.shard_caps.get(&shard).map_or(0, ShardCap::need));
            changed.push(shard);
        }
        let needs = |shard| self.shard_caps.get(shard).is_some_and(|shard_cap| shard_cap.need() > 0);
        if now < self.next_redistribution || self.assigned == 0 || !self.lacking_quota.iter().any(needs) {
            return Some(changed);
        }
        self.next_redistribution = self.durations.next_step(now);
        self.distribute();
        None
    }
}
