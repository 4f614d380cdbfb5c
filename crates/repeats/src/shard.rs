//! The state of one shard, as seen by one gateway.
//!
//! A shard enters *recovering* by this gateway's own observations or by those that peers made
//! themselves, and leaves it as served requests show that it is back. A peer's report is valid for a
//! window, and contains only what the peer observed itself, so reports cannot circulate. A single peer
//! is believed for [`SINGLE_PEER_WINDOWS`] windows, and then not until it has been silent for
//! [`PEER_RESET_WINDOWS`]: a gateway that is cut off from a node, or reports falsely, cannot hold the
//! others in *recovering* forever. Whatever is reported, a shard that has served requests here without
//! trouble for [`health_period`](ShardHealth::health_period) stays out of *recovering*.

use std::collections::{BTreeMap, VecDeque};

use peer::PeerName;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::message::ShardObservation;
use crate::options::{CapOptions, SLICES_PER_WINDOW};

/// Windows for which the reports of a single peer are believed.
pub const SINGLE_PEER_WINDOWS: Micros = 4;
/// Windows of silence after which a single peer is believed again.
pub const PEER_RESET_WINDOWS: Micros = 8;
/// Steps from the recovering share back to the full one, half a window each.
pub const WIDENING_STEPS: u32 = 4;
/// This many attempts that ended in a quarter of a window, all bad, are an observation of trouble.
const MIN_BAD_IN_QUARTER: u32 = 8;
/// Of this many attempts that ended in a window, three quarters bad are an observation of trouble.
const MIN_ENDED_IN_WINDOW: u32 = 24;
/// A window is healthy with this many served and less than a twentieth as many bad.
const MIN_SERVED_IF_HEALTHY: u32 = 16;
/// Slices in a quarter of a window.
const SLICES_PER_QUARTER: usize = SLICES_PER_WINDOW as usize / 4;

/// How many retries a shard can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardState {
    /// No trouble.
    Normal,
    /// A tenth of what ends is bad, or requests are rejected for lack of tokens; nothing is reduced yet.
    Strained,
    /// A node of the shard is cold, silent or refusing: retries at the recovering share.
    Recovering,
    /// Served requests show that the shard is back; the share rises in steps.
    Widening,
}

/// Counts of one slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SliceCounts {
    /// Attempts that ended served.
    pub served: u32,
    /// Attempts that were refused or ended unserved in another way.
    pub bad: u32,
    /// Retries sent.
    pub retries: u32,
    /// Requests rejected for lack of a token.
    pub rejected: u32,
}

#[derive(Clone, Copy, Debug)]
struct PeerReports {
    first: Micros,
    last: Micros,
}

/// The state of a shard, and the observations that it is based on.
#[derive(Clone, Debug)]
pub struct ShardHealth {
    state: ShardState,
    reason: &'static str,
    since: Micros,
    step: u32,
    /// Whether this gateway sees a node that is cold, silent or refusing.
    sees_trouble: bool,
    peer_reports: BTreeMap<PeerName, PeerReports>,
    /// Since when every window here has been healthy.
    healthy_since: Option<Micros>,
    /// The last window by slices, newest last.
    slices: VecDeque<SliceCounts>,
    window: Micros,
    health_period: Micros,
    max_peers: usize,
}

impl ShardHealth {
    /// Creates the state of a shard of which nothing has been observed.
    pub fn new(options: &CapOptions, now: Micros) -> Self {
        ShardHealth {
            state: ShardState::Normal,
            reason: "no observations yet",
            since: now,
            step: WIDENING_STEPS,
            sees_trouble: false,
            peer_reports: BTreeMap::new(),
            healthy_since: None,
            slices: VecDeque::from([SliceCounts::default()]),
            window: options.window,
            health_period: 2 * options.warm_up + SINGLE_PEER_WINDOWS * options.window,
            max_peers: options.members,
        }
    }

    /// The state, since when, and why.
    pub fn state(&self) -> (ShardState, Micros, &'static str) {
        (self.state, self.since, self.reason)
    }

    /// How long a shard must serve requests here without trouble before reports of trouble are ignored:
    /// twice the warm-up time and [`SINGLE_PEER_WINDOWS`] windows.
    pub fn health_period(&self) -> Micros {
        self.health_period
    }

    /// The position between the recovering share (0) and the full one (1).
    pub fn width(&self) -> f64 {
        match self.state {
            ShardState::Normal | ShardState::Strained => 1.0,
            ShardState::Recovering => 0.0,
            ShardState::Widening => f64::from(self.step) / f64::from(WIDENING_STEPS),
        }
    }

    /// The counts of the current slice.
    pub fn current_slice(&mut self) -> &mut SliceCounts {
        if self.slices.is_empty() {
            self.slices.push_back(SliceCounts::default());
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Sums over the newest `slices`.
    pub fn sum(&self, slices: usize) -> SliceCounts {
        self.slices.iter().rev().take(slices).fold(SliceCounts::default(), |a, t| SliceCounts {
            served: a.served + t.served,
            bad: a.bad + t.bad,
            retries: a.retries + t.retries,
            rejected: a.rejected + t.rejected,
        })
    }

    /// Sets whether this gateway sees a node that is cold, silent or refusing.
    pub fn set_own_observation(&mut self, on: bool) {
        self.sees_trouble = on;
    }

    /// Records a peer's observation, unless it contains no evidence of trouble.
    pub fn record_peer_observation(&mut self, now: Micros, from: &PeerName, observation: &ShardObservation) {
        if !observation.seen && !shows_trouble(observation.served, observation.bad) {
            return;
        }
        if !self.peer_reports.contains_key(from) && self.peer_reports.len() >= self.max_peers {
            return;
        }
        let reports = self.peer_reports.entry(from.clone()).or_insert(PeerReports { first: now, last: now });
        if now - reports.last > PEER_RESET_WINDOWS * self.window {
            reports.first = now;
        }
        reports.last = now;
    }

    /// The observation to report to peers: only this gateway's own, and only while it sees trouble.
    /// `forward_reports` is an injected fault that includes peers' reports.
    pub fn own_observation(
        &self,
        now: Micros,
        shard: u32,
        forward_reports: bool,
    ) -> Option<ShardObservation> {
        let seen = self.sees_trouble && !self.is_proven_healthy(now)
            || forward_reports && self.peer_reports.values().any(|h| now - h.last <= self.window);
        let SliceCounts { served, bad, .. } = self.trouble_counts().unwrap_or_default();
        (seen || bad > 0).then_some(ShardObservation { shard, seen, served, bad })
    }

    /// Ends as many slices as have passed and evaluates the state; returns true if the state or its step
    /// changed.
    pub fn end_slices(&mut self, now: Micros, passed: usize) -> bool {
        let window_counts = self.sum(SLICES_PER_WINDOW as usize);
        if window_counts.served >= MIN_SERVED_IF_HEALTHY && window_counts.bad * 20 < window_counts.served {
            self.healthy_since.get_or_insert(now);
        } else {
            self.healthy_since = None;
        }
        let changed = self.evaluate(now);
        for _ in 0..passed.min(SLICES_PER_WINDOW as usize) {
            self.slices.push_back(SliceCounts::default());
        }
        while self.slices.len() > SLICES_PER_WINDOW as usize {
            self.slices.pop_front();
        }
        self.peer_reports.retain(|_, h| now - h.last <= PEER_RESET_WINDOWS * self.window);
        changed
    }

    /// Counts of what ended here, if they show trouble.
    fn trouble_counts(&self) -> Option<SliceCounts> {
        [SLICES_PER_QUARTER, SLICES_PER_WINDOW as usize]
            .into_iter()
            .map(|n| self.sum(n))
            .find(|t| shows_trouble(t.served, t.bad))
    }

    fn is_proven_healthy(&self, now: Micros) -> bool {
        self.healthy_since.is_some_and(|since| now - since >= self.health_period)
    }

    /// Why the shard recovers, if it does.
    fn trouble_reason(&self, now: Micros) -> Option<&'static str> {
        // A report of trouble that never ends (from a peer, a membership view, or a connection of our
        // own that is cut in one direction) would reduce the retries of the shard forever. The cost of
        // ignoring it: a shard that only this gateway reaches well gets the full share, of the requests
        // that it serves to this gateway.
        if self.is_proven_healthy(now) {
            return None;
        }
        if self.sees_trouble {
            return Some("a node of it is cold, silent or refuses");
        }
        if self.trouble_counts().is_some() {
            return Some("most attempts from here were refused or unserved");
        }
        let mut reporting_peers = self.peer_reports.values().filter(|h| now - h.last <= self.window);
        match (reporting_peers.next(), reporting_peers.next()) {
            (Some(_), Some(_)) => Some("several peers see trouble"),
            (Some(one), None) if now - one.first < SINGLE_PEER_WINDOWS * self.window => {
                Some("a peer sees trouble")
            }
            _ => None,
        }
    }

    fn evaluate(&mut self, now: Micros) -> bool {
        let (whole, quarter) = (self.sum(SLICES_PER_WINDOW as usize), self.sum(SLICES_PER_QUARTER));
        let trouble = self.trouble_reason(now);
        let serves = quarter.served > 0 && quarter.bad * 10 <= quarter.served;
        match self.state {
            ShardState::Normal | ShardState::Strained if trouble.is_some() => {
                self.enter(now, ShardState::Recovering, 0, trouble.unwrap_or_default())
            }
            ShardState::Normal
                if whole.bad * 10 >= whole.served + whole.bad && whole.bad >= MIN_BAD_IN_QUARTER =>
            {
                self.enter(
                    now,
                    ShardState::Strained,
                    WIDENING_STEPS,
                    "a tenth of the attempts from here were refused or unserved",
                )
            }
            ShardState::Normal if whole.rejected > 0 => self.enter(
                now,
                ShardState::Strained,
                WIDENING_STEPS,
                "retries are rejected for lack of tokens",
            ),
            ShardState::Strained
                if now - self.since >= self.window
                    && whole.rejected == 0
                    && whole.served > 0
                    && whole.bad * 20 <= whole.served =>
            {
                self.enter(
                    now,
                    ShardState::Normal,
                    WIDENING_STEPS,
                    "it has served for a window and no retry was rejected",
                )
            }
            ShardState::Recovering if trouble.is_none() && serves && now - self.since >= self.window => self
                .enter(now, ShardState::Widening, 1, "it serves, and nobody is believed who says otherwise"),
            ShardState::Widening if trouble.is_some() => {
                self.enter(now, ShardState::Recovering, 0, trouble.unwrap_or_default())
            }
            ShardState::Widening if serves && now - self.since >= self.window / 2 => {
                if self.step + 1 >= WIDENING_STEPS {
                    self.enter(now, ShardState::Normal, WIDENING_STEPS, "it served at every step")
                } else {
                    self.enter(now, ShardState::Widening, self.step + 1, "it served at the step before")
                }
            }
            _ => false,
        }
    }

    fn enter(&mut self, now: Micros, state: ShardState, step: u32, reason: &'static str) -> bool {
        (self.state, self.since, self.step, self.reason) = (state, now, step, reason);
        true
    }
}

/// Whether the counts show trouble by themselves: of at least [`MIN_BAD_IN_QUARTER`] that ended in a
/// quarter of a window none was served, or three quarters of at least [`MIN_ENDED_IN_WINDOW`] in a whole
/// window were bad. A node that refuses 3 of 10 at random is thus taken for one in trouble about once in
/// ten minutes at a gateway that sends it 30 in a window.
fn shows_trouble(served: u32, bad: u32) -> bool {
    // A peer's counts may be at the ends of their type.
    let ended = served.saturating_add(bad);
    let mostly_bad = bad >= served.saturating_mul(3);
    served == 0 && bad >= MIN_BAD_IN_QUARTER || ended >= MIN_ENDED_IN_WINDOW && mostly_bad
}
