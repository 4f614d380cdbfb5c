//! What the scheduler records about each node.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::sums::*;

/// What a host knows of all its nodes together, as of one moment.
#[derive(Clone, Copy)]
pub(crate) struct FleetView {
    pub(crate) now: Micros,
    /// This host's part of the bound of a node that has not answered; below 1 in a large fleet.
    pub(crate) fresh_bound: f64,
    /// Target of the ratio of latency to latency target, by tier.
    pub(crate) latency_ratio_targets: [f64; 3],
    /// Weight in answers of the means below within the estimate of a single node; 0 outside a large fleet.
    pub(crate) prior_weight: f64,
    /// Geometric mean over all nodes of latency to latency target.
    pub(crate) prior_latency_ratio: f64,
    /// Geometric mean over all nodes of the latency, in microseconds.
    pub(crate) prior_latency: f64,
}

/// An attempt in flight at a node.
#[derive(Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) sent: Micros,
    pub(crate) latency_target: Micros,
    /// What it counts as, by tier: the node's bound when it was sent, at most 1.
    pub(crate) weights: [f64; 3],
    /// Attempts sent later that the node has served meanwhile.
    pub(crate) overtaken: u32,
}

pub(crate) struct Node {
    pub(crate) zone: u32,
    pub(crate) shard: ShardId,
    pub(crate) state: NodeState,
    /// When its process started, if that is known.
    pub(crate) started: Option<Micros>,
    pub(crate) in_flight: BTreeMap<(RequestId, u32), InFlight>,
    pub(crate) latency: LatencyMean,
    /// Attempts in flight at the last answer, by tier and including that one: the law's N.
    pub(crate) in_flight_at_answer: Option<[f64; 3]>,
    /// Times and units of recent sends, for the limit on cold nodes.
    pub(crate) recent_sends: VecDeque<(Micros, f64)>,
    /// First send since the node last answered.
    pub(crate) unanswered_since: Option<Micros>,
    /// Until when, by tier, the attempts sent so far use up a bound below one.
    pub(crate) paced_until: [Micros; 3],
    pub(crate) last_send: Micros,
    pub(crate) last_answer: Micros,
    /// Resets, failed connections and time-outs since it last answered.
    pub(crate) failures: u32,
    /// Nothing is sent to it before this time, after a failure.
    pub(crate) backoff_until: Micros,
}

impl Node {
    pub(crate) fn new(entry: &NodeEntry, time_constant: f64) -> Self {
        const NEVER: Micros = Micros::MIN / 4;
        Node {
            zone: entry.zone,
            shard: entry.shard,
            state: entry.state,
            started: entry.started,
            in_flight: BTreeMap::new(),
            latency: LatencyMean::new(time_constant),
            in_flight_at_answer: None,
            recent_sends: VecDeque::new(),
            unanswered_since: None,
            paced_until: [NEVER; 3],
            last_send: NEVER,
            last_answer: NEVER,
            failures: 0,
            backoff_until: 0,
        }
    }

    /// Records an attempt of `units` that is sent to it.
    pub(crate) fn record_send(&mut self, attempt: (RequestId, u32), in_flight: InFlight, units: f64) {
        self.in_flight.insert(attempt, in_flight);
        self.recent_sends.push_back((in_flight.sent, units));
        self.unanswered_since.get_or_insert(in_flight.sent);
        self.last_send = in_flight.sent;
    }
}
