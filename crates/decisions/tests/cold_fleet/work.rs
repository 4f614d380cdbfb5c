//! Records what each cold node received, in requests of mean work.

use std::fmt;
use std::ops::AddAssign;

use super::Fleet;
use decisions::{Micros, Settings};

pub struct Work {
    settings: Settings,
    requests_per_window: f64,
    nodes: u32,
    /// Of each cold node: when it started, and when requests arrived with how much work.
    cold: Vec<(Micros, Vec<(Micros, f64)>)>,
    requested: u64,
    served: u64,
}

/// Totals over all cold nodes of some simulations.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    pub nodes: u64,
    /// Nodes that received more than N + 2 root N + 2 in a window.
    pub over_two_roots: u64,
    /// Nodes that received more than N + 3 root N + 3 in a window.
    pub over_three_roots: u64,
    /// The greatest excess over N, in roots of N.
    pub worst: f64,
    /// What nodes received while they were cold.
    pub received: f64,
    /// What the settings allow over that time.
    pub capacity: f64,
    /// Requests for cold nodes.
    pub requested: u64,
    /// Those of them that were served.
    pub served: u64,
}

impl Default for Summary {
    fn default() -> Self {
        let worst = f64::NEG_INFINITY;
        Summary {
            nodes: 0,
            over_two_roots: 0,
            over_three_roots: 0,
            worst,
            received: 0.0,
            capacity: 0.0,
            requested: 0,
            served: 0,
        }
    }
}

impl Work {
    pub fn new(fleet: &Fleet, listed: &[(Micros, u32)]) -> Self {
        let mut cold = vec![(0, Vec::new()); fleet.nodes as usize];
        listed.iter().for_each(|&(at, n)| cold[n as usize].0 = at);
        let (settings, nodes) = (fleet.settings(0), fleet.nodes);
        Work {
            settings,
            requests_per_window: fleet.requests_per_window,
            nodes,
            cold,
            requested: 0,
            served: 0,
        }
    }

    fn is_cold(&self, now: Micros, shard: u32) -> bool {
        let age = now - self.cold[shard as usize].0;
        (0..=self.settings.warm_after).contains(&age)
    }

    pub fn record_request(&mut self, now: Micros, shard: u32) {
        self.requested += u64::from(self.is_cold(now, shard));
    }

    pub fn record_served(&mut self, now: Micros, shard: u32) {
        self.served += u64::from(self.is_cold(now, shard));
    }

    /// Records a request that arrives at a node, whatever its outcome.
    pub fn record_arrival(&mut self, at: Micros, node: u32, units: f64) {
        if node >= self.nodes {
            let cold = &mut self.cold[(node - self.nodes) as usize];
            cold.1.push((at, units / self.settings.mean_request_units));
        }
    }

    /// What the settings allow a node of this age in a window: N.
    fn capacity(&self, age: Micros) -> f64 {
        let warm = (age as f64 / self.settings.warm_after as f64).clamp(0.0, 1.0);
        self.requests_per_window * (1.0 + (1.0 / self.settings.cold_start_fraction - 1.0) * warm)
    }

    pub fn summary(mut self) -> Summary {
        let mut summary = Summary { requested: self.requested, served: self.served, ..Summary::default() };
        let mut cold = std::mem::take(&mut self.cold);
        for (started, work) in &mut cold {
            work.sort_by_key(|w| w.0);
            let (mut first, mut in_window) = (0, 0.0);
            let (mut over_two_roots, mut over_three_roots) = (false, false);
            for k in 0..work.len() {
                let (at, units) = work[k];
                let age = at - *started;
                in_window += units;
                while work[first].0 <= at - self.settings.cold_window {
                    in_window -= work[first].1;
                    first += 1;
                }
                if age > self.settings.warm_after {
                    break;
                }
                let n = self.capacity(age);
                summary.received += units;
                summary.worst = summary.worst.max((in_window - n) / n.sqrt());
                over_two_roots |= in_window > n + 2.0 * n.sqrt() + 2.0 + 1e-9;
                over_three_roots |= in_window > n + 3.0 * n.sqrt() + 3.0 + 1e-9;
            }
            let mean = (self.capacity(0) + self.capacity(self.settings.warm_after)) / 2.0;
            summary.capacity += mean * self.settings.warm_after as f64 / self.settings.cold_window as f64;
            summary.nodes += 1;
            summary.over_two_roots += u64::from(over_two_roots);
            summary.over_three_roots += u64::from(over_three_roots);
        }
        summary
    }
}

impl AddAssign for Summary {
    fn add_assign(&mut self, other: Summary) {
        self.nodes += other.nodes;
        self.over_two_roots += other.over_two_roots;
        self.over_three_roots += other.over_three_roots;
        self.worst = self.worst.max(other.worst);
        self.received += other.received;
        self.capacity += other.capacity;
        self.requested += other.requested;
        self.served += other.served;
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} nodes, {} over N + 2 root N + 2, {} over N + 3 root N + 3; worst {:+.2} roots of N; \
             received {:.2} of the capacity; served {:.3} of the requests",
            self.nodes,
            self.over_two_roots,
            self.over_three_roots,
            self.worst,
            self.received / self.capacity,
            self.served as f64 / self.requested.max(1) as f64
        )
    }
}
