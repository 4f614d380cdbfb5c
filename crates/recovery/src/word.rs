//! What gateways tell each other when they come back.

use peer::Life;
use serde::{Deserialize, Serialize};

/// What a gateway holds of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWord {
    /// Its name.
    pub name: String,
    /// Its shard.
    pub shard: u32,
    /// Operators have it drained.
    pub drained: bool,
}

/// A gateway's word about itself: an answer to a peer's question, and a note when it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Its life.
    pub life: Life,
    /// Number of the operators' orders that it holds; a later number replaces all of an earlier one's.
    #[serde(default)]
    pub orders: u64,
    /// Nodes, as of those orders.
    #[serde(default)]
    pub nodes: Vec<NodeWord>,
    /// Volumes held by those orders.
    #[serde(default)]
    pub held: Vec<String>,
    /// Everything paused by those orders.
    #[serde(default)]
    pub paused: bool,
    /// It takes requests.
    #[serde(default)]
    pub serves: bool,
    /// It has taken them for so long, in microseconds.
    #[serde(default)]
    pub served_for: i64,
}

impl Word {
    /// Whether its orders replace those of another. A version is a version: nothing is concluded from what one does not say.
    pub fn replaces(&self, other: &Word) -> bool {
        self.orders > other.orders
    }
}
