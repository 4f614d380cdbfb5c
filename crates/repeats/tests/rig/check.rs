//! The limit, checked against the arrivals at the nodes and the requests they served. Shares no code
//! with the package.

use std::collections::BTreeSet;

/// An attempt as a node saw it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: i64,
    pub shard: u32,
    pub request: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Records {
    pub arrivals: Vec<Arrival>,
    /// When a node served a request, and for which shard.
    pub served: Vec<(i64, u32)>,
}

/// The limit to check: retries <= free + share x served, in all windows that lie in `within`.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    pub window: i64,
    pub free: f64,
    pub share: f64,
    /// Requests served this long before a window count as well.
    pub before: i64,
    /// The shard; none for all shards together.
    pub shard: Option<u32>,
    pub within: (i64, i64),
}

/// The window with the largest excess.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Retries beyond the limit; negative if some were left.
    pub excess: f64,
    pub retries: usize,
    pub bound: f64,
    pub at: i64,
}

fn is_in(shard: Option<u32>, of: u32) -> bool {
    shard.is_none_or(|s| s == of)
}

impl Records {
    /// Arrival times of the attempts after the first of their request. The first is the one that arrived
    /// first at any node.
    pub fn retries(&self, shard: Option<u32>) -> Vec<i64> {
        let mut seen = BTreeSet::new();
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_by_key(|a| a.at);
        arrivals.retain(|a| !seen.insert(a.request));
        arrivals.iter().filter(|a| is_in(shard, a.shard)).map(|a| a.at).collect()
    }

    /// Checks every window that ends with a retry against the limit.
    pub fn check(&self, limit: &Limit) -> Worst {
        let retries = self.retries(limit.shard);
        let mut served: Vec<i64> =
            self.served.iter().filter(|s| is_in(limit.shard, s.1)).map(|s| s.0).collect();
        served.sort_unstable();
        let between = |list: &[i64], from: i64, to: i64| {
            list.partition_point(|&t| t <= to) - list.partition_point(|&t| t <= from)
        };
        let mut worst = Worst { excess: f64::NEG_INFINITY, ..Worst::default() };
        for &at in &retries {
            if at > limit.within.1 || at - limit.window < limit.within.0 {
                continue;
            }
            let count = between(&retries, at - limit.window, at);
            let bound =
                limit.free + limit.share * between(&served, at - limit.window - limit.before, at) as f64;
            let excess = count as f64 - bound;
            if excess > worst.excess {
                worst = Worst { excess, retries: count, bound, at };
            }
        }
        worst
    }

    /// Attempts per first attempt, in the worst of a series of windows that overlap by half.
    pub fn amplification(&self, shard: u32, window: i64) -> f64 {
        let retries = self.retries(Some(shard));
        let mut worst = 1.0_f64;
        let mut all: Vec<i64> = self.arrivals.iter().filter(|a| a.shard == shard).map(|a| a.at).collect();
        all.sort_unstable();
        let (mut from, last) = (0, all.last().copied().unwrap_or(0));
        while from < last {
            let count = |list: &[i64]| list.iter().filter(|&&t| (from..from + window).contains(&t)).count();
            let (sends, retry_count) = (count(&all), count(&retries));
            if sends > retry_count {
                worst = worst.max(sends as f64 / (sends - retry_count) as f64);
            }
            from += window / 2;
        }
        worst
    }
}
