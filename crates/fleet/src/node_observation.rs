//! Observations of nodes: one gateway's input and the merged result.

use peer::PeerName;

use crate::Micros;

/// This gateway's observation of a node. Times are durations, never clock readings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSight {
    /// The node's name.
    pub node: String,
    /// Start time that the node reports; a later one means that it restarted.
    pub started: i64,
    /// Remaining warm-up time.
    pub cold_for: Micros,
    /// How long it has not answered this gateway; 0 if it answers.
    pub silent_for: Micros,
}

/// The merged observations of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFact {
    /// The node's name.
    pub node: String,
    /// The latest start time that any gateway observed.
    pub started: i64,
    /// Remaining warm-up time at the view's `at`: the minimum over all reports of this start.
    pub cold_for: Micros,
    /// Gateways that it does not answer, each by its own report, which the gateway renews.
    pub silent_for: Vec<PeerName>,
}
