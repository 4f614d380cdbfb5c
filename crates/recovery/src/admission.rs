//! Admission control while nodes are cold: highest worth first, with a retry delay for the rest.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;

/// Time constant of the exponential average of demand, in microseconds.
const DEMAND_TIME_CONSTANT: f64 = 1e6;

/// Capacity of a site's nodes while they are cold, and limits of the retry delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Units that a newly started node can process per `cold_window`, from all gateways together.
    pub cold_units: f64,
    /// Window of `cold_units`, in microseconds.
    pub cold_window: Micros,
    /// Smallest fraction of its capacity that a node has at its start.
    pub cold_from: f64,
    /// Time after its start at which a node is warm, in microseconds.
    pub warm_after: Micros,
    /// Number of gateways that share the nodes.
    pub gateways: u32,
    /// Longest retry delay, in microseconds.
    pub most_advice: Micros,
}

/// Result of the admission check of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The request is admitted; the decision module takes over.
    Open,
    /// The request is refused at once, with the delay after which the node is expected to have remaining for it.
    Later {
        /// Delay before the retry, in microseconds from now.
        come_back: Micros,
    },
}

/// Exponentially averaged demand, in units per second.
#[derive(Clone, Copy, Debug, Default)]
struct AverageDemand {
    units_per_second: f64,
    updated_at: Micros,
}

impl AverageDemand {
    fn rate_at(&self, now: Micros) -> f64 {
        self.units_per_second * (-((now - self.updated_at) as f64) / DEMAND_TIME_CONSTANT).exp()
    }

    fn add(&mut self, now: Micros, units: f64) {
        (self.units_per_second, self.updated_at) =
            (self.rate_at(now) + units * 1e6 / DEMAND_TIME_CONSTANT, now);
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    /// When its node was first reachable after the power loss; `None` if it has not been yet.
    reachable_since: Option<Micros>,
    /// Demand by worth bucket; a bucket spans a quarter of a doubling.
    by_worth: BTreeMap<i32, AverageDemand>,
}

/// Admission control of one gateway, per shard.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    shards: BTreeMap<u32, Shard>,
    random: SmallRng,
}

impl Admission {
    /// Creates an admission control that refuses everything, as no node has been reachable yet.
    pub fn new(options: AdmissionOptions, seed: u64) -> Self {
        Admission { options, shards: BTreeMap::new(), random: SmallRng::seed_from_u64(seed) }
    }

    /// Records that a shard's node is reachable. It counts as newly started, as the start times of a node list come from a
    /// clock that is not trusted after a power loss.
    pub fn met(&mut self, now: Micros, shard: u32) {
        self.shards.entry(shard).or_default().reachable_since.get_or_insert(now);
    }

    /// Records that a shard's node is gone or replaced by another: the next reachable one counts as cold.
    pub fn lost(&mut self, shard: u32) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.reachable_since = None;
        }
    }

    /// Whether a shard's node is reachable.
    pub fn is_met(&self, shard: u32) -> bool {
        self.shards.get(&shard).is_some_and(|s| s.reachable_since.is_some())
    }

    /// When the last of the reachable nodes is warm; `None` if no node is reachable.
    pub fn warm_at(&self) -> Option<Micros> {
        self.shards.values().filter_map(|s| s.reachable_since).max().map(|t| t + self.options.warm_after)
    }

    /// Units per second that this gateway may send to a node of age `age`: an equal part of the node's capacity for each
    /// gateway.
    fn capacity_per_gateway(&self, age: Micros) -> f64 {
        let options = &self.options;
        if age >= options.warm_after {
            return f64::INFINITY;
        }
        let growth = 1.0 / options.cold_from.clamp(0.01, 1.0) - 1.0;
        let growth_factor = 1.0 + growth * age.max(0) as f64 / options.warm_after.max(1) as f64;
        options.cold_units * growth_factor * 1e6
            / options.cold_window.max(1) as f64
            / f64::from(options.gateways.max(1))
    }

    /// Age at which a node has the capacity for `units` per second from this gateway.
    fn age_with_capacity(&self, units: f64) -> Micros {
        let options = &self.options;
        let (first, last) = (self.capacity_per_gateway(0), self.capacity_per_gateway(options.warm_after - 1));
        if units >= last || last <= first {
            return options.warm_after;
        }
        ((units - first).max(0.0) / (last - first) * options.warm_after as f64) as Micros
    }

    /// Decides whether a request of `worth` per unit and `units` of work is admitted.
    ///
    /// After a power loss all clients send their delayed requests at once, to nodes that can process only a part of them. If
    /// all were admitted, they would wait for slow-start slots of cold nodes until their deadlines, whatever their worth, and
    /// their clients would retry meanwhile. Requests of higher worth are therefore admitted first, as far as the capacity
    /// goes; the others get the delay after which the node is expected to have the capacity, plus a random part of up to that
    /// delay again. The cost: demand is averaged over a second, so during the first second the demand of higher worth is
    /// underestimated.
    pub fn entry(&mut self, now: Micros, shard: u32, worth: f64, units: f64) -> Entry {
        let longest_delay = self.options.most_advice;
        let bucket = (4.0 * worth.max(1e-6).log2()).round() as i32;
        let demand = self.shards.entry(shard).or_default();
        demand.by_worth.entry(bucket).or_default().add(now, units);
        let Some(reachable_since) = demand.reachable_since else {
            // It is unknown when the node returns: a random delay between half of the longest one and the longest.
            let come_back = self.random.random_range(longest_delay / 2..=longest_delay.max(1));
            return Entry::Later { come_back };
        };
        let age = now - reachable_since;
        if age >= self.options.warm_after {
            return Entry::Open;
        }
        // Capacity goes to all demand of higher worth first; its own bucket gets what remains.
        let higher_demand: f64 = demand.by_worth.range(bucket + 1..).map(|(_, a)| a.rate_at(now)).sum();
        let own_demand = demand.by_worth.get(&bucket).map_or(0.0, |a| a.rate_at(now));
        let remaining = self.capacity_per_gateway(age) - higher_demand;
        if remaining >= own_demand
            || remaining > 0.0 && self.random.random_bool((remaining / own_demand).clamp(0.0, 1.0))
        {
            return Entry::Open;
        }
        let wait = (self.age_with_capacity(higher_demand + own_demand) - age).max(1);
        let spread = self.random.random_range(0..=wait);
        Entry::Later { come_back: (wait + spread).min(longest_delay).max(1) }
    }
}
