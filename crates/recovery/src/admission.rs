//! What is open while nodes are cold: dearest first, and when the rest should come again.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;

/// Time over which what is asked for is measured, in microseconds.
const SMOOTHING: f64 = 1e6;

/// What all nodes of a site promise to bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Units that a node which has just started bears within the window, from all gateways together.
    pub cold_units: f64,
    /// That window, in microseconds.
    pub cold_window: Micros,
    /// Part of its capacity that a node starts with at least.
    pub cold_from: f64,
    /// It is warm after this long.
    pub warm_after: Micros,
    /// Gateways that share the nodes.
    pub gateways: u32,
    /// The longest advice.
    pub most_advice: Micros,
}

/// Whether a request may come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may: the module decides from here on.
    Open,
    /// Not now; it is refused at once, with advice that is true.
    Later {
        /// When to come again, in microseconds from now.
        come_back: Micros,
    },
}

/// What was asked for, smoothed, in units a second.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    sum: f64,
    at: Micros,
}

impl Asked {
    fn read(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at) as f64) / SMOOTHING).exp()
    }

    fn add(&mut self, now: Micros, units: f64) {
        (self.sum, self.at) = (self.read(now) + units * 1e6 / SMOOTHING, now);
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    /// When its node was first met after the cut; none: not yet.
    met: Option<Micros>,
    /// By worth, in steps of a quarter of a doubling.
    asked: BTreeMap<i32, Asked>,
}

/// Admission at one gateway, shard by shard.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    shards: BTreeMap<u32, Shard>,
    random: SmallRng,
}

impl Admission {
    /// Nothing is open: no node has been met.
    pub fn new(options: AdmissionOptions, seed: u64) -> Self {
        Admission { options, shards: BTreeMap::new(), random: SmallRng::seed_from_u64(seed) }
    }

    /// A shard's node is there. It is taken for one that has just started: what a list says of earlier starts was on a clock
    /// that is not believed.
    pub fn met(&mut self, now: Micros, shard: u32) {
        self.shards.entry(shard).or_default().met.get_or_insert(now);
    }

    /// A shard's node has gone, or another has taken its place: the next one met is cold.
    pub fn lost(&mut self, shard: u32) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.met = None;
        }
    }

    /// Whether a shard's node has been met.
    pub fn is_met(&self, shard: u32) -> bool {
        self.shards.get(&shard).is_some_and(|s| s.met.is_some())
    }

    /// When the last of the nodes met is warm; none: none has been met.
    pub fn warm_at(&self) -> Option<Micros> {
        self.shards.values().filter_map(|s| s.met).max().map(|t| t + self.options.warm_after)
    }

    /// Units a second that this gateway may ask of a node at an age, so that all gateways' parts are what it bears.
    fn bears(&self, age: Micros) -> f64 {
        let o = &self.options;
        if age >= o.warm_after {
            return f64::INFINITY;
        }
        let full = 1.0 / o.cold_from.clamp(0.01, 1.0) - 1.0;
        let grown = 1.0 + full * age.max(0) as f64 / o.warm_after.max(1) as f64;
        o.cold_units * grown * 1e6 / o.cold_window.max(1) as f64 / f64::from(o.gateways.max(1))
    }

    /// The age at which a node bears so much of this gateway.
    fn age_for(&self, units: f64) -> Micros {
        let o = &self.options;
        let (first, last) = (self.bears(0), self.bears(o.warm_after - 1));
        if units >= last || last <= first {
            return o.warm_after;
        }
        ((units - first).max(0.0) / (last - first) * o.warm_after as f64) as Micros
    }

    /// Whether a request of so much worth for its units may come in.
    ///
    /// Danger: after a loss of power everything that was held back comes at once, at nodes that bear a part of it. Let in, it
    /// waits for turns at cold nodes until its time is up, cheap and dear alike, and its clients come again meanwhile. So what is
    /// dearer goes first as far as the nodes bear it, and the rest is told when they will bear it, spread over as long again.
    /// Harm: demand is measured over a second; for the first of it the dear are taken to ask for nothing.
    pub fn entry(&mut self, now: Micros, shard: u32, worth: f64, units: f64) -> Entry {
        let most = self.options.most_advice;
        let step = (4.0 * worth.max(1e-6).log2()).round() as i32;
        let slot = self.shards.entry(shard).or_default();
        slot.asked.entry(step).or_default().add(now, units);
        let Some(met) = slot.met else {
            // Nobody knows when the node is back: the longest advice, spread.
            let come_back = self.random.random_range(most / 2..=most.max(1));
            return Entry::Later { come_back };
        };
        let age = now - met;
        if age >= self.options.warm_after {
            return Entry::Open;
        }
        // All that is dearer, and of its own worth what fits.
        let dearer: f64 = slot.asked.range(step + 1..).map(|(_, a)| a.read(now)).sum();
        let own = slot.asked.get(&step).map_or(0.0, |a| a.read(now));
        let room = self.bears(age) - dearer;
        if room >= own || room > 0.0 && self.random.random_bool((room / own).clamp(0.0, 1.0)) {
            return Entry::Open;
        }
        let wait = (self.age_for(dearer + own) - age).max(1);
        let spread = self.random.random_range(0..=wait);
        Entry::Later { come_back: (wait + spread).min(most).max(1) }
    }
}
