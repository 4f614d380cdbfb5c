//! Where volumes lie, and through which hosts their requests come.

use super::{Dice, Fleet};

pub struct Volumes {
    /// Of each volume: its shards, and its hosts.
    all: Vec<(Vec<u32>, u32)>,
    by_host: Vec<Vec<usize>>,
    /// Requests a second through each host.
    pub rates: Vec<f64>,
}

impl Volumes {
    pub fn deal(fleet: &Fleet, dice: &mut Dice) -> Self {
        let hosts = fleet.hosts as usize;
        let mut by_host = vec![Vec::new(); hosts];
        // The last shard is the most popular one; popularity falls evenly.
        let shard = |dice: &mut Dice| {
            let most = fleet.skew.1.max(1.0);
            loop {
                let place = dice.part();
                if dice.part() * most < 1.0 + (most - 1.0) * place {
                    return (place * f64::from(fleet.nodes)) as u32;
                }
            }
        };
        let mut all = Vec::new();
        for v in 0..(fleet.nodes * fleet.volumes) as usize {
            let shards = (0..=dice.below(4)).map(|_| shard(dice)).collect();
            let first = dice.below(hosts as u64) as usize;
            let more = (dice.below(3) as usize).min(hosts - 1);
            let step = 1 + dice.below(hosts.saturating_sub(1).max(1) as u64) as usize / more.max(1);
            let mut own: Vec<usize> = (0..=more).map(|k| (first + k * step) % hosts).collect();
            own.sort_unstable();
            own.dedup();
            own.iter().for_each(|&h| by_host[h].push(v));
            all.push((shards, own.len() as u32));
        }
        for (h, own) in by_host.iter_mut().enumerate() {
            if own.is_empty() {
                own.push(h % all.len());
            }
        }
        let weight = |h: usize| 1.0 + (fleet.skew.0 - 1.0) * (h * 37 % hosts) as f64 / hosts as f64;
        let sum: f64 = (0..hosts).map(weight).sum();
        // A warm node does in a window what a cold one bears, grown by what it has gained.
        let rate = fleet.load * f64::from(fleet.nodes) * fleet.calls / fleet.cold_from / 2.0;
        let rates = (0..hosts).map(|h| rate * weight(h) / sum).collect();
        Volumes { all, by_host, rates }
    }

    /// The volume and shard of a request at a host.
    pub fn draw(&self, host: usize, dice: &mut Dice) -> (usize, u32) {
        let own = &self.by_host[host];
        let volume = own[dice.below(own.len() as u64) as usize];
        let shards = &self.all[volume].0;
        (volume, shards[dice.below(shards.len() as u64) as usize])
    }

    pub fn hosts_of(&self, volume: usize) -> u32 {
        self.all[volume].1
    }
}
