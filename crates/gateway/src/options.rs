//! Settings of a gateway, and the lines of its node list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::company::CompanyOptions;
use limits::GateOptions;
use nvme::{Digests, TargetOptions};
use planelink::FollowOptions;
use serde::{Deserialize, Serialize};
use storage_core::{Catalogue, Micros, NodeState};

/// Whether a node takes work, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum NodeLineState {
    /// It does.
    #[default]
    On,
    /// It finishes what it has.
    Draining,
    /// It is gone.
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
    /// Its name, which a restart keeps.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone.
    #[serde(default)]
    pub zone: u32,
    /// The shard it holds.
    pub shard: u32,
    /// Whether it takes work.
    #[serde(default)]
    pub state: NodeLineState,
    /// When it last started, in microseconds since the Unix epoch; 0: long ago.
    #[serde(default)]
    pub started: Micros,
}

/// Settings of the links to nodes.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// NQN of the nodes' subsystem.
    pub subsystem: String,
    /// Entries of a link's queue: one fewer attempts are out at most.
    pub entries: u32,
    /// A connection and its way up take at most this long.
    pub connect_timeout: Duration,
    /// Pause after a connection could not be had or broke, before the next is tried unasked.
    pub reconnect_pause: Duration,
    /// A command that the node has not ended by then, on a queue without room, breaks the link.
    pub command_timeout: Duration,
    /// Keep alive time-out.
    pub keep_alive: Duration,
    /// Digests asked for.
    pub digests: Digests,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Its name among the gateways; the last part of its host NQN.
    pub name: String,
    /// Where clients connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Volumes, classes and the module's settings.
    pub catalogue: Catalogue,
    /// Feeds the module's randomness.
    pub seed: u64,
    /// What clients see: subsystem, namespaces, limits.
    pub target: TargetOptions,
    /// Digests used where a client asks for them.
    pub digests: Digests,
    /// Links.
    pub link: LinkOptions,
    /// What it grants its clients of itself.
    pub gate: GateOptions,
    /// Bytes that wait for one connection that does not read, at most.
    pub spill: usize,
    /// The node list from before the start.
    pub nodes: Vec<NodeLine>,
    /// Nothing is taken until the first orders come.
    pub await_orders: bool,
    /// Control socket.
    pub control: Option<PathBuf>,
    /// Told to stop, it leaves within this, having answered all it took.
    pub stop_within: Duration,
    /// It has peers; without them it is open at once, and talks to nobody.
    pub company: Option<CompanyOptions>,
    /// It follows a control plane; without it, it is told by its list and its operators alone.
    pub plane: Option<FollowOptions>,
}
