//! Which command comes: volume, class, blocks and gateway.

use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Zipf};

use crate::arrivals::rng_of;
use crate::scenario::{Micros, Op, Scenario};

/// A command that is wanted at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// When, since the start.
    pub intended: Micros,
    /// Index of its volume.
    pub volume: usize,
    /// Index of its class.
    pub class: usize,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for a flush.
    pub blocks: u32,
    /// Index of the gateway that its volume goes through now.
    pub gateway: usize,
}

/// Draws commands.
#[derive(Debug)]
pub struct Workload {
    rng: StdRng,
    seed: u64,
    weights: f64,
    shares: f64,
    /// Gateways of each volume.
    gateways: Vec<Vec<usize>>,
}

impl Workload {
    /// A workload by a checked scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let index = |name: &String| scenario.gateway.iter().position(|g| &g.name == name);
        let of = |names: &Vec<String>| -> Vec<usize> {
            if names.is_empty() {
                return (0..scenario.gateway.len()).collect();
            }
            names.iter().filter_map(index).collect()
        };
        Workload {
            rng: rng_of(scenario.load.seed, 2),
            seed: scenario.load.seed,
            weights: scenario.volume.iter().map(|v| v.weight).sum(),
            shares: scenario.class.iter().map(|c| c.share).sum(),
            gateways: scenario.volume.iter().map(|v| of(&v.gateways)).collect(),
        }
    }

    /// The command for an intended time.
    pub fn draw(&mut self, scenario: &Scenario, intended: Micros) -> Wanted {
        let volume = pick(&mut self.rng, self.weights, scenario.volume.iter().map(|v| v.weight));
        let class = pick(&mut self.rng, self.shares, scenario.class.iter().map(|c| c.share));
        let (v, c) = (&scenario.volume[volume], &scenario.class[class]);
        let blocks = if c.op == Op::Flush { 0 } else { c.kib / v.block_kib };
        let places = v.blocks / u64::from(blocks.max(1));
        let place = self.place(places.max(1), v.skew);
        let gateway = self.gateway(scenario, volume, intended);
        Wanted { intended, volume, class, slba: place * u64::from(blocks), blocks, gateway }
    }

    /// A place among `places`; the popular ones are scattered, not side by side.
    fn place(&mut self, places: u64, skew: f64) -> u64 {
        if skew == 0.0 {
            return self.rng.random_range(0..places);
        }
        let rank = Zipf::new(places as f64, skew).map_or(1.0, |z| z.sample(&mut self.rng));
        scatter(rank as u64 - 1, places)
    }

    /// The gateway by which a volume's command goes at a time.
    pub fn gateway(&mut self, scenario: &Scenario, volume: usize, at: Micros) -> usize {
        let (v, own) = (&scenario.volume[volume], &self.gateways[volume]);
        if own.len() < 2 || v.lead <= 0.0 {
            return own[self.rng.random_range(0..own.len())];
        }
        let turn = if v.lead_moves_s > 0.0 { (at as f64 / 1e6 / v.lead_moves_s) as u64 } else { 0 };
        let mut of_turn = rng_of(self.seed, 1 << 40 | (volume as u64) << 32 | turn);
        let lead = of_turn.random_range(0..own.len());
        if self.rng.random::<f64>() < v.lead {
            return own[lead];
        }
        let other = self.rng.random_range(0..own.len() - 1);
        own[if other >= lead { other + 1 } else { other }]
    }
}

fn pick(rng: &mut StdRng, sum: f64, weights: impl Iterator<Item = f64>) -> usize {
    let mut left = rng.random::<f64>() * sum;
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// A one-to-one mapping of the ranks below `n` onto themselves that puts neighbours far apart.
fn scatter(rank: u64, n: u64) -> u64 {
    let mut step = ((n as f64 * 0.618_033_988_749) as u64).max(1);
    while gcd(step, n) != 1 {
        step += 1;
    }
    (u128::from(rank % n) * u128::from(step) % u128::from(n)) as u64
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scattered_ranks_are_all_different() {
        for n in [1, 2, 3, 10, 97, 128, 1000] {
            let places: std::collections::BTreeSet<u64> = (0..n).map(|r| scatter(r, n)).collect();
            assert_eq!(places.len() as u64, n);
        }
    }
}
