//! Nodes as the node list describes them, and what was observed of each.

use decisions::{Micros, NodeState};

/// An entry of the node list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Name of the node, which stays the same across restarts.
    pub name: String,
    /// Zone that the node is in.
    pub zone: u32,
    /// Shard that the node holds.
    pub shard: u32,
    /// Whether the node accepts requests.
    pub state: NodeState,
    /// Time of the last start, on the same clock as `now`; `None` if it was long ago.
    pub started: Option<Micros>,
}

/// The dispatcher's observations of one node.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Name of the node.
    pub name: String,
    /// Zone that the node is in.
    pub zone: u32,
    /// Shard that the node holds.
    pub shard: u32,
    /// State according to the latest node list.
    pub state: NodeState,
    /// Time of the last start according to the node list.
    pub started: Option<Micros>,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that ended with any other outcome.
    pub unserved: u64,
    /// Number of requests held by the node, from its latest report.
    pub load: Option<u32>,
    /// Time of the latest response from the node.
    pub last_heard: Option<Micros>,
    /// Latency of the latest served attempt, in microseconds.
    pub latency: Micros,
}

impl NodeView {
    pub(crate) fn new(name: &str) -> Self {
        NodeView {
            name: name.to_owned(),
            zone: 0,
            shard: 0,
            state: NodeState::Gone,
            started: None,
            in_flight: 0,
            sent: 0,
            served: 0,
            unserved: 0,
            load: None,
            last_heard: None,
            latency: 0,
        }
    }
}
