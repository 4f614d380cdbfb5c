//! What a node that has just started bears, and this host's part of it.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::state::*;

/// Windows of the rule on cold nodes that a host's turn lasts.
const TURN: Micros = 4;
/// Least units of a host's turn in a window, in mean requests.
const TURN_UNITS: f64 = 1.0;
/// Deviations that the sum of drawn turns keeps free over its mean: 1.35 in a thousand sums pass them.
const DEVIATIONS: f64 = 3.0;
/// Deals the turns evenly: the golden ratio.
pub(crate) const GOLDEN: f64 = 0.618_033_988_749;

impl Scheduler {
    /// The chance of a turn beyond the even deal of `many` turns, of `calls` requests of mean work in all.
    ///
    /// Danger: most hosts of a crowd have no work for a given node, and turns dealt to them all are lost;
    /// cold nodes stayed nearly idle. As many hosts share a node as this host's own spread over the shards
    /// tells; what it has not seen yet counts in full (Good and Turing: the part of its requests whose shard
    /// it met only once). Each draws for itself, so the sum varies as its mean does (Poisson), and more as
    /// those who share a node come in groups, the hosts of a volume. It passes the 2 x root + 2 that count as
    /// chance by a whole turn more at least: its mean leaves `DEVIATIONS` free to there (by the quantiles of
    /// Cornish and Fisher). Harm: a sixth of what a node bears is not dealt, in groups of three up to a half.
    fn chance(&self, many: f64, calls: f64, group: f64) -> f64 {
        let (asks, hosts) = (self.mem.spread.asks as f64, f64::from(self.set.hosts));
        let (used, shards) = (self.mem.spread.used as f64, self.mem.shards.len().max(1) as f64);
        let seen = (asks - self.mem.spread.once as f64) / asks.max(1.0);
        let sharers = (hosts * used / shards / seen.max(1e-9)).clamp(1.0, hosts);
        let most = ((calls + 2.0 * calls.sqrt() + 2.0) * many / calls).floor() + 0.5;
        let varies = 1.0 + (many / sharers).min(1.0) * (group - 1.0);
        let free = (most / varies + (DEVIATIONS * DEVIATIONS + 2.0) / 12.0).sqrt() - DEVIATIONS / 2.0;
        ((free * free * varies).min(many) / sharers - many / hosts).max(0.0)
    }

    /// When a cold node may take a request, if not now. Danger: a node that has just started falls over for
    /// good when all hosts together push it. What it bears, grown with the slowest warming that is promised,
    /// is dealt out evenly; where a part would be too small for a request, hosts take turns by the node's
    /// age, `TURN` windows each with one of rest after it, so that no window sees two turns. A host that has
    /// just started itself does not know what it sent, and waits one window. Harm: an unused part is lost.
    pub(crate) fn cold(&self, node: &Node, ask: &Request) -> Option<Micros> {
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
            let group = f64::from(ask.hosts.max(1));
            let chance = self.chance(many, bears(age) / self.set.mean_units, group);
            let drawn = (next_random(&mut draw) as f64) < chance * u64::MAX as f64;
            if age % turn >= window * TURN {
                return Some(now + turn - age % turn);
            }
            if place >= many && !drawn {
                return Some(now + window / 8);
            }
        }
        let recent = node.sends.iter().filter(|s| s.0 > now - window);
        let sent: f64 = recent.clone().map(|s| s.1).sum();
        if sent + ask.units <= bears(age) / many {
            return None;
        }
        Some(recent.map(|s| s.0 + window).next().unwrap_or(now + window / 8))
    }
}
