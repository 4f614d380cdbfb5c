//! A host's settings: classes of requests, plans of volumes, and the rules that sends keep.

use crate::interface::Micros;

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It is idempotent: any number of runs is harmless.
    Safe,
    /// Nodes of the scope discard repeated runs by key, for `window` after the first send that may have run.
    Keyed {
        /// The nodes that recognise the key.
        scope: DedupScope,
        /// How long they remember it, in microseconds.
        window: Micros,
    },
    /// A second run does damage.
    Unsafe,
}

/// The nodes that recognise the key of a request that may have run already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// The nodes in the zone of the node that it was first sent to.
    Zone,
    /// The nodes of the shard that it was first sent to.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency target in microseconds: an answer within it earns the full worth.
    pub latency_target: Micros,
    /// The target grows by this multiple of the time that the request's own work takes. For information only;
    /// no decision depends on it.
    pub latency_target_stretch: f64,
    /// What a request served in time is worth, in points.
    pub worth: f64,
    /// The fraction of the worth that a late answer earns.
    pub late_worth: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in order of arrival.
    pub in_order: bool,
    /// Answers are streamed: `Event::AnswerStarted` reports their begin.
    pub stream: bool,
}

/// A plan of volumes. Its figures hold for each volume, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Usual rate of a volume, in units a second.
    pub rate: f64,
    /// Units a second that earn the full worth.
    pub reserve: f64,
    /// Refill rate of the limit's token bucket, in units a second; 0 means no limit.
    pub limit: f64,
    /// Capacity of that bucket, in units.
    pub limit_burst: f64,
    /// How far below zero that bucket may go, in units.
    pub limit_slack: f64,
    /// Weight of a volume in the division of a node's capacity beyond the reserves.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
}

/// The budget for retries of one host.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Span over which requests and retries are counted, in microseconds.
    pub window: Micros,
    /// Retries allowed in a window in any case.
    pub base: f64,
    /// Further retries allowed for each request received in the window.
    pub per_request: f64,
}

/// The settings of a host, fixed from its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Number of hosts that share the nodes, this one included.
    pub hosts: u32,
    /// This host's index among them, from 0.
    pub index: u32,
    /// The host gets changes of the node list only after `Action::Subscribe`.
    pub needs_subscription: bool,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Hedging is allowed: several attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Nodes may be probed.
    pub probing: bool,
    /// Refusals advise clients when to retry.
    pub retry_advice: bool,
    /// The longest such advice, in microseconds.
    pub max_retry_after: Micros,
    /// Units that a node that has just started can take within `cold_window` from all hosts together.
    pub cold_units: f64,
    /// Length of the sliding window in which that is counted, in microseconds; 0 turns the rule off.
    pub cold_window: Micros,
    /// The fraction of its full capacity that a node has when it starts, at least.
    pub cold_start_fraction: f64,
    /// Time from its start after which a node has its full capacity, at most, in microseconds.
    pub warm_after: Micros,
    /// How long attempts may still be sent to a draining or removed node, in microseconds.
    pub drain_grace: Micros,
    /// Pause of a key after an attempt that may still run, in microseconds, for classes that keep the order.
    pub key_pause: Micros,
    /// The budget for retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum units of a request.
    pub max_request_units: f64,
    /// Mean units of a request.
    pub mean_request_units: f64,
    /// Worth of units within the share, as a fraction of the full worth.
    pub share_worth: f64,
    /// Worth of units beyond reserve and share, as a fraction of the full worth.
    pub spare_worth: f64,
    /// Points that wasted node work costs, as a fraction of all points.
    pub waste_cost: f64,
}
