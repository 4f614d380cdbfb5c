//! The status message that gateways exchange during recovery.

use peer::Life;
use serde::{Deserialize, Serialize};

/// State of one node as a gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWord {
    /// Name of the node.
    pub name: String,
    /// Shard that the node serves.
    pub shard: u32,
    /// Whether an operator has drained the node.
    pub drained: bool,
}

/// A gateway's status, sent as the answer to a peer's query and again whenever it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Life (incarnation and nonce) of the sending gateway.
    pub life: Life,
    /// Revision of the operators' orders that the gateway holds; a higher revision replaces a lower one as a whole.
    #[serde(default)]
    pub orders: u64,
    /// Nodes at that revision.
    #[serde(default)]
    pub nodes: Vec<NodeWord>,
    /// Volumes on hold at that revision.
    #[serde(default)]
    pub held: Vec<String>,
    /// Whether all requests are paused at that revision.
    #[serde(default)]
    pub paused: bool,
    /// Whether the gateway accepts requests.
    #[serde(default)]
    pub serves: bool,
    /// How long the gateway has accepted requests, in microseconds.
    #[serde(default)]
    pub served_for: i64,
}

impl Word {
    /// Whether its orders replace those of `other`. Only the revisions are compared: an entry missing from either message
    /// proves nothing.
    pub fn replaces(&self, other: &Word) -> bool {
        self.orders > other.orders
    }
}
