//! The admission law: a bound on this host's attempts in flight at each node, updated on every answer
//! (thesis, eq. 6.1). Where more hosts share a node than a fresh bound has places (a large fleet), bounds
//! below one are kept by pacing. Also tells when a node may take the next attempt, and what a volume's fair
//! share of it is.

use crate::interface::*;
use crate::state::*;

/// Gain of the law.
const GAIN: f64 = 0.8;
/// Bound of a node that has not answered yet.
const INITIAL_BOUND: f64 = 4.0;
/// Bound of a fresh node for all hosts together; if there are more hosts than this, they share it by pacing.
pub(crate) const FLEET_INITIAL_BOUND: f64 = 6.0;
/// Time over which a bound below one is kept in the mean.
const PACING_BURST: Micros = 1_000_000;
/// Least bound; a single attempt in flight would starve the measurement.
const MIN_BOUND: f64 = 2.0;
/// Greatest bound.
pub(crate) const MAX_BOUND: f64 = 26.0;
/// Time constant of the smoothed latency ratio, demand and service, in microseconds.
pub(crate) const SMOOTHING: f64 = 1e6;
/// An attempt in flight for more than this many latency targets is hung and does not count as load in the
/// law.
const HUNG_TARGETS: f64 = 3.0;
/// An attempt that this many later ones have overtaken counts as lost: nodes serve in order of arrival.
pub(crate) const LOST_AFTER_OVERTAKEN: u32 = 4;
/// A node with attempts in flight that has not answered for this long is silent.
const SILENT_AFTER: Micros = 1_000_000;
/// Pause between two trial requests to a silent node; the hosts of a large fleet share them.
const TRIAL_INTERVAL: Micros = 400_000;
/// The fraction of a shard's peak service that is divided into shares.
const SHARED_FRACTION: f64 = 0.9;

/// Tiers of a request's units, by what they are worth: within the reserve, within the share, beyond both.
pub(crate) const RESERVE: usize = 0;
pub(crate) const SHARE: usize = 1;
pub(crate) const SPARE: usize = 2;
pub(crate) const TIERS: [usize; 3] = [RESERVE, SHARE, SPARE];

impl Node {
    /// The law's L: smoothed mean of latency over latency target; 1 (in a large fleet, the mean over
    /// all nodes) until the node answers.
    pub(crate) fn latency_ratio(&self, view: &FleetView) -> f64 {
        let (prior_weight, own_weight) = (view.prior_weight, self.latency.weight.value_at(view.now));
        if own_weight + prior_weight > 0.0 {
            (self.latency.ratio.value_at(view.now) + prior_weight * view.prior_latency_ratio)
                / (own_weight + prior_weight)
        } else {
            1.0
        }
    }

    /// Smoothed mean latency, in microseconds.
    pub(crate) fn mean_latency(&self, view: &FleetView) -> f64 {
        let (prior_weight, own_weight) = (view.prior_weight, self.latency.weight.value_at(view.now));
        if own_weight + prior_weight > 0.0 {
            (self.latency.latency.value_at(view.now) + prior_weight * view.prior_latency)
                / (own_weight + prior_weight)
        } else {
            0.0
        }
    }

    /// Attempts in flight that are not lost.
    pub(crate) fn occupied(&self) -> f64 {
        self.in_flight.values().filter(|f| f.overtaken < LOST_AFTER_OVERTAKEN).count() as f64
    }

    /// Attempts in flight that are neither lost nor hung, as a tier counts them: an attempt sent under a
    /// bound below one counts as that fraction.
    pub(crate) fn active(&self, now: Micros, tier: usize) -> f64 {
        let is_active = |f: &&InFlight| {
            f.overtaken < LOST_AFTER_OVERTAKEN
                && (now - f.sent) as f64 <= HUNG_TARGETS * f.latency_target as f64
        };
        self.in_flight.values().filter(is_active).map(|f| f.weights[tier]).sum()
    }

    /// Updates the law with an answer.
    ///
    /// Hung attempts would inflate the count in flight and with it the bound, so attempts far beyond their
    /// latency target are left out. This also covers resets that were not reported. The cost: on a node that
    /// is only very slow the bound falls faster than the law's; it still rises with the first answers.
    pub(crate) fn record_answer(&mut self, now: Micros, ratio: f64, latency: Micros) {
        self.in_flight_at_answer = Some(TIERS.map(|tier| self.active(now, tier)));
        self.last_answer = now;
        self.latency.add(now, ratio, latency as f64);
    }

    /// The law (eq. 6.1): count in flight over 1 + gain x (L / target - 1), as of the last answer. Units
    /// beyond the reserve have a lower target. In a large fleet the count decays toward this host's part of a
    /// fresh bound.
    pub(crate) fn bound(&self, tier: usize, view: &FleetView) -> f64 {
        let law =
            |n: f64| n / (1.0 + GAIN * (self.latency_ratio(view) / view.latency_ratio_targets[tier] - 1.0));
        if view.fresh_bound < 1.0 {
            let age = (-((view.now - self.last_answer) as f64) / SMOOTHING).exp();
            let count = self
                .in_flight_at_answer
                .map_or(view.fresh_bound, |c| view.fresh_bound + (c[tier] - view.fresh_bound) * age);
            return law(count).clamp(view.fresh_bound / FLEET_INITIAL_BOUND, MAX_BOUND);
        }
        let Some(count) = self.in_flight_at_answer else { return INITIAL_BOUND };
        let min_bound = if tier == RESERVE { MIN_BOUND } else { 1.0 };
        law(count[tier].max(1.0)).clamp(min_bound, MAX_BOUND)
    }

    /// Pause after an attempt that keeps a bound below one, if attempts go one at a time.
    pub(crate) fn pacing_gap(&self, tier: usize, view: &FleetView) -> Micros {
        (self.mean_latency(view) * (1.0 / self.bound(tier, view) - 1.0)).clamp(0.0, 1e9) as Micros
    }

    /// The earliest time of the next attempt under a bound below one.
    ///
    /// In a large fleet even one attempt of each host overloads a node. A bound below one is kept by pacing:
    /// one attempt, and a pause that makes it that fraction of one in the mean of `PACING_BURST`, so that
    /// short bursts pass. This prevents overload of any cause. The cost: some node time is unused after a
    /// short overload.
    pub(crate) fn paced_at(&self, tier: usize, view: &FleetView) -> Micros {
        if view.fresh_bound < 1.0 {
            (self.last_send + self.pacing_gap(tier, view)).min(self.paced_until[tier] - PACING_BURST)
        } else {
            0
        }
    }

    pub(crate) fn is_silent(&self, now: Micros) -> bool {
        self.unanswered_since.is_some_and(|t| now - t > SILENT_AFTER)
    }

    /// Whether it has capacity beyond its demand: by its load, or, if that is unknown, if nothing is in
    /// flight.
    pub(crate) fn has_spare_capacity(&self, view: &FleetView) -> bool {
        let is_known = view.prior_weight > 0.0 || view.now - self.last_answer < SMOOTHING as Micros;
        let is_light = self.failures == 0
            && !self.is_silent(view.now)
            && self.latency_ratio(view) < view.latency_ratio_targets[SPARE];
        if is_known { is_light } else { self.in_flight.is_empty() }
    }

    /// Whether the node may take an attempt now, as far as its own state tells; if not, from when it may,
    /// with `None` if only an event (such as an answer, or a change of the node list) can change it.
    ///
    /// All requests sent to a node that is silent, unreachable or resets connections are lost with it. It
    /// gets single trial requests until it answers. This covers dead processes and machines, full connection
    /// tables and long stalls. The cost: after a stall the first requests wait for a trial's answer.
    pub(crate) fn check_ready(&self, view: &FleetView) -> Result<(), Option<Micros>> {
        let now = view.now;
        if self.state != NodeState::On {
            return Err(None);
        }
        if now < self.backoff_until {
            return Err(Some(self.backoff_until));
        }
        if self.is_silent(now) {
            let next = self.last_send + (TRIAL_INTERVAL as f64 / view.fresh_bound) as Micros;
            return if now < next { Err(Some(next)) } else { Ok(()) };
        }
        let bound = if self.failures > 0 { 1.0 } else { self.bound(RESERVE, view).max(1.0) };
        if self.occupied() < bound.floor() && (self.in_flight.len() as f64) < MAX_BOUND {
            Ok(())
        } else {
            // By then it counts as silent and may get a trial request.
            Err(self.unanswered_since.map(|t| t + SILENT_AFTER + 1))
        }
    }
}

impl Shard {
    /// The fair share, in units per second for each unit of weight, by max-min fairness: up to this level of
    /// demand the capacity beyond the reserves suffices for all volumes. Without it a few volumes in a surge
    /// fill the shard and starve the rest.
    pub(crate) fn fair_share(&self, now: Micros) -> f64 {
        let mut left = (SHARED_FRACTION * self.peak - self.demand_within_reserve.value_at(now)).max(0.0);
        let mut demands: Vec<(f64, f64)> = self
            .demand_beyond_reserve
            .values()
            .map(|(units, weight)| (units.value_at(now), *weight))
            .collect();
        demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights: f64 = demands.iter().map(|d| d.1).sum();
        for (units, weight) in demands {
            if units / weight >= left / weights {
                return left / weights;
            }
            left -= units;
            weights -= weight;
        }
        f64::INFINITY
    }
}
