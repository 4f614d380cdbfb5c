//! Settings of a gateway, and the lines of its node list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::peer_network::PeerNetworkOptions;
use limits::AdmissionLimits;
use nvme::{Digests, TargetOptions};
use planelink::FollowOptions;
use serde::{Deserialize, Serialize};
use storage_core::{Catalogue, Micros, NodeState};

/// Whether a node accepts work, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum NodeLineState {
    /// It accepts work.
    #[default]
    On,
    /// It finishes its open work and gets no more.
    Draining,
    /// It has been removed.
    Gone,
}

impl From<NodeLineState> for NodeState {
    fn from(state: NodeLineState) -> Self {
        match state {
            NodeLineState::On => NodeState::On,
            NodeLineState::Draining => NodeState::Draining,
            NodeLineState::Gone => NodeState::Gone,
        }
    }
}

impl From<NodeState> for NodeLineState {
    fn from(state: NodeState) -> Self {
        match state {
            NodeState::On => NodeLineState::On,
            NodeState::Draining => NodeLineState::Draining,
            NodeState::Gone => NodeLineState::Gone,
        }
    }
}

/// A line of the node list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeLine {
    /// Its name, which stays the same across restarts.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: u32,
    /// The shard that it serves.
    pub shard: u32,
    /// Whether it accepts work.
    #[serde(default)]
    pub state: NodeLineState,
    /// Time of its last start, in microseconds since the Unix epoch; 0 means long ago.
    #[serde(default)]
    pub started: Micros,
}

/// Settings of the connections to nodes.
#[derive(Clone, Debug)]
pub struct NodeConnectionOptions {
    /// NQN of the nodes' subsystem.
    pub subsystem: String,
    /// Entries of the I/O queue; at most one fewer attempts are in flight.
    pub entries: u32,
    /// Time limit for a connection and its handshake.
    pub connect_timeout: Duration,
    /// Pause after a failed or lost connection before the next attempt, if no send asks for it earlier.
    pub reconnect_pause: Duration,
    /// If the queue is full and a command has been in flight for longer than this, the connection is
    /// re-established.
    pub command_timeout: Duration,
    /// Keep alive timeout.
    pub keep_alive: Duration,
    /// Digests requested from nodes.
    pub digests: Digests,
}

/// Settings of a gateway that asks its peers for their state when it restarts.
#[derive(Clone, Debug)]
pub struct RecoveryDriverOptions {
    /// How long to wait for peers at most.
    pub peer_timeout: Duration,
    /// The longest time for which anything sent before a crash may still run at a node.
    pub max_execution_time: Duration,
    /// Whether writes are journaled before they are sent, so that after a crash only the keys of journaled
    /// writes stay closed.
    pub journal: bool,
    /// Whether to keep the mark beside the journal that a test rig needs to simulate a power cut.
    pub power_cut_mark: bool,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Its name among the gateways; the last part of its host NQN.
    pub name: String,
    /// The address for clients; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Volumes, classes and the decision module's settings.
    pub catalogue: Catalogue,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// What clients see: subsystem, namespaces, limits.
    pub target: TargetOptions,
    /// Digests to use where a client requests them.
    pub digests: Digests,
    /// Connections to nodes.
    pub node_connection: NodeConnectionOptions,
    /// The gateway's own limits on connections and held commands.
    pub client_limits: AdmissionLimits,
    /// Most bytes buffered for a client connection that does not read.
    pub max_unsent_bytes: usize,
    /// The node list known before the start.
    pub nodes: Vec<NodeLine>,
    /// Whether to accept nothing until the first orders arrive.
    pub await_orders: bool,
    /// Path of the control socket.
    pub control_socket: Option<PathBuf>,
    /// Time after a stop request by which the gateway exits, with every accepted request answered.
    pub stop_timeout: Duration,
    /// The peers; without them the gateway serves from its start and talks to no other gateway.
    pub peer_network: Option<PeerNetworkOptions>,
    /// The control plane; without it only the node list and the operators change the gateway's state.
    pub control_plane: Option<FollowOptions>,
}
