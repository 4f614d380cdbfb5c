//! Accumulators over time: exponentially decaying sums, latency means, token buckets and shard usage.

use crate::interface::Micros;

/// A sum whose terms decay exponentially.
#[derive(Clone, Copy)]
pub(crate) struct DecayingSum {
    /// Time constant of the decay, in microseconds.
    pub(crate) time_constant: f64,
    /// The sum as of `updated_at`.
    pub(crate) sum: f64,
    pub(crate) updated_at: Micros,
}

impl DecayingSum {
    pub(crate) fn new(time_constant: f64) -> Self {
        DecayingSum { time_constant, sum: 0.0, updated_at: 0 }
    }
    pub(crate) fn value_at(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.updated_at) as f64) / self.time_constant).exp()
    }
    pub(crate) fn add(&mut self, now: Micros, x: f64) {
        self.sum = self.value_at(now) + x;
        self.updated_at = now;
    }
}

/// Decaying sums of latencies and of their ratios to the latency target, with the weight of both. For all
/// nodes together the terms are logarithms, for a single node the values themselves.
#[derive(Clone, Copy)]
pub(crate) struct LatencyMean {
    pub(crate) ratio: DecayingSum,
    pub(crate) latency: DecayingSum,
    pub(crate) weight: DecayingSum,
}

impl LatencyMean {
    pub(crate) fn new(time_constant: f64) -> Self {
        LatencyMean {
            ratio: DecayingSum::new(time_constant),
            latency: DecayingSum::new(time_constant),
            weight: DecayingSum::new(time_constant),
        }
    }
    pub(crate) fn add(&mut self, now: Micros, ratio: f64, latency: f64) {
        self.ratio.add(now, ratio);
        self.latency.add(now, latency);
        self.weight.add(now, 1.0);
    }
}

/// A token bucket: units that refill at a constant rate up to a capacity.
#[derive(Clone, Copy)]
pub(crate) struct TokenBucket {
    /// Units as of `updated_at`; may be negative.
    pub(crate) level: f64,
    pub(crate) updated_at: Micros,
    /// Units a second.
    pub(crate) rate: f64,
    pub(crate) capacity: f64,
}

impl TokenBucket {
    pub(crate) fn level_at(&self, now: Micros) -> f64 {
        (self.level + self.rate * (now - self.updated_at) as f64 / 1e6).min(self.capacity)
    }
    pub(crate) fn add(&mut self, now: Micros, units: f64) {
        self.level = (self.level_at(now) + units).min(self.capacity);
        self.updated_at = now;
    }
}

/// How many of the shards this host's requests go to.
#[derive(Default)]
pub(crate) struct ShardUsage {
    /// Shards with at least one request.
    pub(crate) used: usize,
    /// Shards with exactly one request.
    pub(crate) used_once: usize,
    pub(crate) requests: u64,
}

impl ShardUsage {
    /// Counts one more request for a shard; `shard_requests` is that shard's own count.
    pub(crate) fn record(&mut self, shard_requests: &mut u64) {
        *shard_requests += 1;
        self.requests += 1;
        match *shard_requests {
            1 => (self.used, self.used_once) = (self.used + 1, self.used_once + 1),
            2 => self.used_once -= 1,
            _ => {}
        }
    }
}
