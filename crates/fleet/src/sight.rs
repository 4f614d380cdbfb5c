//! What gateways have seen of nodes, as it goes in and out.

use peer::PeerName;

use crate::Micros;

/// What this gateway sees of a node. Ages, never times of a clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSight {
    /// The node's name.
    pub node: String,
    /// Its start as it tells it: a later one is another life of it.
    pub started: i64,
    /// What is left of its warming.
    pub cold_for: Micros,
    /// How long it has said nothing here; 0 if it answers.
    pub silent_for: Micros,
}

/// What the fleet has seen of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFact {
    /// The node's name.
    pub node: String,
    /// The latest start that anybody has seen.
    pub started: i64,
    /// What is left of its warming as of the view's `at`: the least that anybody says of this start.
    pub cold_for: Micros,
    /// Gateways that it says nothing to, each by its own word that it renews.
    pub silent_for: Vec<PeerName>,
}
