//! What a node that has just started bears, and this host's part of it.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::state::*;

/// Windows of the rule on cold nodes that a host's turn lasts.
const TURN: Micros = 4;
/// Least units of a host's turn in a window, in mean requests.
const TURN_UNITS: f64 = 1.0;
/// Deals the turns evenly: the golden ratio.
pub(crate) const GOLDEN: f64 = 0.618_033_988_749;

impl Scheduler {
    /// The chance of a turn beyond the even deal of `many` turns to all hosts.
    ///
    /// Danger: most hosts of a crowd have no work for a given node, and turns dealt to them all are lost;
    /// cold nodes stayed nearly idle. As many hosts share a node as this host's own spread over the shards
    /// tells; what it has not seen yet counts in full (Good and Turing: the part of its requests whose shard
    /// it met only once). Drawn by each for itself, turns of those who share a node are `many` in the mean.
    /// Harm: by bad luck a node gets more than the least that it bears. What pushes it over is a multiple of
    /// what it can do, and the least is that of the slowest node at its coldest.
    fn chance(&self, many: f64) -> f64 {
        let (asks, hosts) = (self.mem.asks as f64, f64::from(self.set.hosts));
        let (used, shards) = (self.mem.used as f64, self.mem.shards.len().max(1) as f64);
        let seen = (asks - self.mem.once as f64) / asks.max(1.0);
        let sharers = (hosts * used / shards / seen.max(1e-9)).clamp(1.0, hosts);
        (many / sharers - many / hosts).max(0.0)
    }

    /// When a cold node may take `units`, if not now. Danger: a node that has just started falls over for
    /// good when all hosts together push it. What it bears, grown with the slowest warming that is promised,
    /// is dealt out evenly; where a part would be too small for a request, hosts take turns by the node's
    /// age, `TURN` windows each with one of rest after it, so that no window sees two turns. A host that has
    /// just started itself does not know what it sent, and waits one window. Harm: an unused part is lost.
    pub(crate) fn cold(&self, node: &Node, units: f64) -> Option<Micros> {
        let (now, window) = (self.mem.now, self.set.cold_window);
        let age = now - node.started?;
        if window <= 0 || age >= self.set.warm_after + window {
            return None;
        }
        let born = self.mem.born.unwrap_or(now);
        if now < born + window && born > now - age {
            return Some(born + window);
        }
        let bears = |age: Micros| {
            let warm = (age - window).max(0) as f64 / self.set.warm_after.max(1) as f64;
            let base = if self.set.cold_units > 0.0 { self.set.cold_units } else { self.set.most_units };
            base * (1.0 + (1.0 / self.set.cold_from.clamp(0.01, 1.0) - 1.0) * warm.min(1.0))
        };
        let (hosts, turn) = (f64::from(self.set.hosts), window * (TURN + 1));
        let least = (TURN_UNITS * self.set.mean_units).clamp(1.0, self.set.most_units.max(1.0));
        let many = (bears(age) / least).floor().clamp(1.0, hosts);
        if many < hosts {
            let number = age / turn;
            let first = (number as f64 + f64::from(node.shard.0)) * GOLDEN % 1.0 * hosts;
            let place = (f64::from(self.set.index) - first.floor()).rem_euclid(hosts);
            let mut draw = u64::from(self.set.index) << 32 ^ u64::from(node.shard.0) << 16 ^ number as u64;
            let drawn = (next_random(&mut draw) as f64) < self.chance(many) * u64::MAX as f64;
            if age % turn >= window * TURN {
                return Some(now + turn - age % turn);
            }
            if place >= many && !drawn {
                return Some(now + window / 8);
            }
        }
        let recent = node.sends.iter().filter(|s| s.0 > now - window);
        let sent: f64 = recent.clone().map(|s| s.1).sum();
        if sent + units <= bears(age) / many {
            return None;
        }
        Some(recent.map(|s| s.0 + window).next().unwrap_or(now + window / 8))
    }
}
