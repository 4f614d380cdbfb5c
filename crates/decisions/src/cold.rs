//! Slow start: how much a node that has just started may get, and this host's part of it.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::state::*;

/// Length of a slow-start slot, in windows of `Settings::cold_window`.
const SLOT_WINDOWS: Micros = 4;
/// Least units of a slow-start slot in a window, in mean requests.
const SLOT_REQUESTS: f64 = 1.0;
/// Standard deviations kept free above the mean of the drawn slots: 1.35 in a thousand sums exceed them.
const DEVIATIONS: f64 = 3.0;
/// The golden ratio: its multiples modulo 1 distribute the slots evenly over the hosts.
pub(crate) const GOLDEN: f64 = 0.618_033_988_749;

impl Scheduler {
    /// When a request may go to a cold node, if not now.
    ///
    /// A node that has just started fails for good when all hosts together overload it. What it can take,
    /// raised with the slowest warming that is promised, is divided evenly. Where a part would be too small
    /// for one request, hosts get slow-start slots by the node's age: `SLOT_WINDOWS` windows each, with one
    /// idle window after, so that no window overlaps two slots. A host that has just started itself does not
    /// know what it sent before and waits one window. The cost: a part that its host does not use is lost.
    pub(crate) fn cold_node_wait(&self, node: &Node, request: &Request) -> Option<Micros> {
        let (now, window) = (self.state.now, self.settings.cold_window);
        let age = now - node.started?;
        if window <= 0 || age >= self.settings.warm_after + window {
            return None;
        }
        let host_started = self.state.started_at.unwrap_or(now);
        if now < host_started + window && host_started > now - age {
            return Some(host_started + window);
        }
        let capacity = self.cold_capacity(age);
        let hosts = f64::from(self.settings.hosts);
        let least = (SLOT_REQUESTS * self.settings.mean_request_units)
            .clamp(1.0, self.settings.max_request_units.max(1.0));
        let slots = (capacity / least).floor().clamp(1.0, hosts);
        if slots < hosts
            && let Some(at) = self.slow_start_slot_wait(node, request, age, slots)
        {
            return Some(at);
        }
        self.cold_window_wait(node, request, capacity / slots)
    }

    /// Units that a cold node of this age can take in a window from all hosts together.
    fn cold_capacity(&self, age: Micros) -> f64 {
        let window = self.settings.cold_window;
        let warm = (age - window).max(0) as f64 / self.settings.warm_after.max(1) as f64;
        let base = if self.settings.cold_units > 0.0 {
            self.settings.cold_units
        } else {
            self.settings.max_request_units
        };
        base * (1.0 + (1.0 / self.settings.cold_start_fraction.clamp(0.01, 1.0) - 1.0) * warm.min(1.0))
    }

    /// When this host may next have one of the `slots` slow-start slots, if it has none now.
    fn slow_start_slot_wait(
        &self,
        node: &Node,
        request: &Request,
        age: Micros,
        slots: f64,
    ) -> Option<Micros> {
        let (now, window) = (self.state.now, self.settings.cold_window);
        let (hosts, period) = (f64::from(self.settings.hosts), window * (SLOT_WINDOWS + 1));
        let number = age / period;
        let first = (number as f64 + f64::from(node.shard.0)) * GOLDEN % 1.0 * hosts;
        let position = (f64::from(self.settings.index) - first.floor()).rem_euclid(hosts);
        let mut seed = u64::from(self.settings.index) << 32 ^ u64::from(node.shard.0) << 16 ^ number as u64;
        let volume_hosts = f64::from(request.hosts.max(1));
        let requests = self.cold_capacity(age) / self.settings.mean_request_units;
        let chance = self.extra_slot_chance(slots, requests, volume_hosts);
        let drawn = (next_random(&mut seed) as f64) < chance * u64::MAX as f64;
        if age % period >= window * SLOT_WINDOWS {
            return Some(now + period - age % period);
        }
        if position >= slots && !drawn {
            return Some(now + window / 8);
        }
        None
    }

    /// The chance of a slot beyond the even distribution of `slots` slots over all hosts. `requests` is what
    /// the node can take in a window, in mean requests; `volume_hosts` is the number of hosts that a volume's
    /// requests come through.
    ///
    /// Most hosts of a large fleet have no work for a given node, and slots given to them all are lost: cold
    /// nodes stayed nearly idle. The number of hosts that share a node is estimated from this host's own use
    /// of the shards, corrected for shards not seen yet by the Good-Turing coverage (1 - the fraction of its
    /// requests whose shard it saw only once). Each host draws for itself, so that the variance of the
    /// sum would equal its mean (Poisson); it is larger because the hosts that share a node come in groups,
    /// the hosts of a volume. For n `requests`, the rule on cold nodes tolerates up to n + 2 sqrt(n) + 2 as
    /// chance. The mean number of slots lies `DEVIATIONS` standard deviations below the first whole slot
    /// beyond that (by the quantiles of Cornish and Fisher). The cost: a sixth of what a node can take is not
    /// given out; with three hosts for each volume, up to a half.
    fn extra_slot_chance(&self, slots: f64, requests: f64, volume_hosts: f64) -> f64 {
        let usage = &self.state.shard_usage;
        let (received, hosts) = (usage.requests as f64, f64::from(self.settings.hosts));
        let (used, shards) = (usage.used as f64, self.state.shards.len().max(1) as f64);
        let coverage = (received - usage.used_once as f64) / received.max(1.0);
        let sharers = (hosts * used / shards / coverage.max(1e-9)).clamp(1.0, hosts);
        let max_slots = ((requests + 2.0 * requests.sqrt() + 2.0) * slots / requests).floor() + 0.5;
        let dispersion = 1.0 + (slots / sharers).min(1.0) * (volume_hosts - 1.0);
        let root_of_mean =
            (max_slots / dispersion + (DEVIATIONS * DEVIATIONS + 2.0) / 12.0).sqrt() - DEVIATIONS / 2.0;
        ((root_of_mean * root_of_mean * dispersion).min(slots) / sharers - slots / hosts).max(0.0)
    }

    /// When a request fits into `allowed` units of the sliding window, if not now.
    fn cold_window_wait(&self, node: &Node, request: &Request, allowed: f64) -> Option<Micros> {
        let (now, window) = (self.state.now, self.settings.cold_window);
        let recent = node.recent_sends.iter().filter(|s| s.0 > now - window);
        let sent: f64 = recent.clone().map(|s| s.1).sum();
        if sent + request.units <= allowed {
            return None;
        }
        Some(recent.map(|s| s.0 + window).next().unwrap_or(now + window / 8))
    }
}
