//! The shards of each volume, and the hosts through which its requests come.

use super::{Fleet, TestRng};

pub struct Volumes {
    /// Shards and number of hosts of each volume.
    volumes: Vec<(Vec<u32>, u32)>,
    /// Volumes of each host.
    by_host: Vec<Vec<usize>>,
    /// Requests a second through each host.
    pub rates: Vec<f64>,
}

impl Volumes {
    pub fn distribute(fleet: &Fleet, rng: &mut TestRng) -> Self {
        let hosts = fleet.hosts as usize;
        let mut by_host = vec![Vec::new(); hosts];
        // Popularity rises linearly to the last shard.
        let shard = |rng: &mut TestRng| {
            let most = fleet.skew.1.max(1.0);
            loop {
                let position = rng.unit_interval();
                if rng.unit_interval() * most < 1.0 + (most - 1.0) * position {
                    return (position * f64::from(fleet.nodes)) as u32;
                }
            }
        };
        let mut volumes = Vec::new();
        for v in 0..(fleet.nodes * fleet.volumes) as usize {
            let shards = (0..=rng.below(4)).map(|_| shard(rng)).collect();
            let first = rng.below(hosts as u64) as usize;
            let more_hosts = (rng.below(3) as usize).min(hosts - 1);
            let stride = 1 + rng.below(hosts.saturating_sub(1).max(1) as u64) as usize / more_hosts.max(1);
            let mut own: Vec<usize> = (0..=more_hosts).map(|k| (first + k * stride) % hosts).collect();
            own.sort_unstable();
            own.dedup();
            own.iter().for_each(|&h| by_host[h].push(v));
            volumes.push((shards, own.len() as u32));
        }
        for (h, own) in by_host.iter_mut().enumerate() {
            if own.is_empty() {
                own.push(h % volumes.len());
            }
        }
        let weight = |h: usize| 1.0 + (fleet.skew.0 - 1.0) * (h * 37 % hosts) as f64 / hosts as f64;
        let sum: f64 = (0..hosts).map(weight).sum();
        // A warm node serves in a window what a cold one can take, divided by the fraction that a node starts
        // with.
        let rate =
            fleet.load * f64::from(fleet.nodes) * fleet.requests_per_window / fleet.cold_start_fraction / 2.0;
        let rates = (0..hosts).map(|h| rate * weight(h) / sum).collect();
        Volumes { volumes, by_host, rates }
    }

    /// Volume and shard of a random request at a host.
    pub fn random_request(&self, host: usize, rng: &mut TestRng) -> (usize, u32) {
        let own = &self.by_host[host];
        let volume = own[rng.below(own.len() as u64) as usize];
        let shards = &self.volumes[volume].0;
        (volume, shards[rng.below(shards.len() as u64) as usize])
    }

    /// Number of hosts through which the volume's requests come.
    pub fn hosts_of(&self, volume: usize) -> u32 {
        self.volumes[volume].1
    }
}
