//! What came to each cold node, in requests of mean work.

use std::fmt;
use std::ops::AddAssign;

use super::Fleet;
use decisions::{Micros, Settings};

pub struct Work {
    set: Settings,
    calls: f64,
    nodes: u32,
    /// Of each cold node: when it started, when requests came, and their work.
    cold: Vec<(Micros, Vec<(Micros, f64)>)>,
    asked: u64,
    served: u64,
}

/// Of all nodes of some days.
#[derive(Clone, Copy, Debug)]
pub struct Sum {
    pub nodes: u64,
    /// Nodes that got over N + 2 root N + 2 in a window, and over N + 3 root N + 3.
    pub passed: u64,
    pub fell: u64,
    /// The greatest excess over N, in roots of N.
    pub worst: f64,
    /// What came and what the settings allow, over the time that nodes were cold.
    pub came: f64,
    pub allowed: f64,
    /// Requests for cold nodes, and those that were served.
    pub asked: u64,
    pub served: u64,
}

impl Default for Sum {
    fn default() -> Self {
        let worst = f64::NEG_INFINITY;
        Sum { nodes: 0, passed: 0, fell: 0, worst, came: 0.0, allowed: 0.0, asked: 0, served: 0 }
    }
}

impl Work {
    pub fn new(fleet: &Fleet, listed: &[(Micros, u32)]) -> Self {
        let mut cold = vec![(0, Vec::new()); fleet.nodes as usize];
        listed.iter().for_each(|&(at, n)| cold[n as usize].0 = at);
        let (set, nodes) = (fleet.settings(0), fleet.nodes);
        Work { set, calls: fleet.calls, nodes, cold, asked: 0, served: 0 }
    }

    fn is_cold(&self, now: Micros, shard: u32) -> bool {
        let age = now - self.cold[shard as usize].0;
        (0..=self.set.warm_after).contains(&age)
    }

    pub fn asked(&mut self, now: Micros, shard: u32) {
        self.asked += u64::from(self.is_cold(now, shard));
    }

    pub fn served(&mut self, now: Micros, shard: u32) {
        self.served += u64::from(self.is_cold(now, shard));
    }

    /// A request comes to a node; what becomes of it is all the same.
    pub fn comes(&mut self, at: Micros, node: u32, units: f64) {
        if node >= self.nodes {
            let cold = &mut self.cold[(node - self.nodes) as usize];
            cold.1.push((at, units / self.set.mean_units));
        }
    }

    /// What the settings allow a node of an age in a window: N.
    fn allowed(&self, age: Micros) -> f64 {
        let warm = (age as f64 / self.set.warm_after as f64).clamp(0.0, 1.0);
        self.calls * (1.0 + (1.0 / self.set.cold_from - 1.0) * warm)
    }

    pub fn sum(mut self) -> Sum {
        let mut sum = Sum { asked: self.asked, served: self.served, ..Sum::default() };
        let mut cold = std::mem::take(&mut self.cold);
        for (started, work) in &mut cold {
            work.sort_by_key(|w| w.0);
            let (mut from, mut inside) = (0, 0.0);
            let (mut passed, mut fell) = (false, false);
            for k in 0..work.len() {
                let (at, units) = work[k];
                let age = at - *started;
                inside += units;
                while work[from].0 <= at - self.set.cold_window {
                    inside -= work[from].1;
                    from += 1;
                }
                if age > self.set.warm_after {
                    break;
                }
                let n = self.allowed(age);
                sum.came += units;
                sum.worst = sum.worst.max((inside - n) / n.sqrt());
                passed |= inside > n + 2.0 * n.sqrt() + 2.0 + 1e-9;
                fell |= inside > n + 3.0 * n.sqrt() + 3.0 + 1e-9;
            }
            let mean = (self.allowed(0) + self.allowed(self.set.warm_after)) / 2.0;
            sum.allowed += mean * self.set.warm_after as f64 / self.set.cold_window as f64;
            sum.nodes += 1;
            sum.passed += u64::from(passed);
            sum.fell += u64::from(fell);
        }
        sum
    }
}

impl AddAssign for Sum {
    fn add_assign(&mut self, other: Sum) {
        self.nodes += other.nodes;
        self.passed += other.passed;
        self.fell += other.fell;
        self.worst = self.worst.max(other.worst);
        self.came += other.came;
        self.allowed += other.allowed;
        self.asked += other.asked;
        self.served += other.served;
    }
}

impl fmt::Display for Sum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} nodes, {} passed N + 2 root N + 2, {} N + 3 root N + 3; worst {:+.2} roots of N; {:.2} of what they may get; \
             served {:.3} of what is asked",
            self.nodes,
            self.passed,
            self.fell,
            self.worst,
            self.came / self.allowed,
            self.served as f64 / self.asked.max(1) as f64
        )
    }
}
