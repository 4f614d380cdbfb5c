//! Requests and answers of the control socket.

mod control_plane;
mod fleet;

use serde::{Deserialize, Serialize};
use storage_core::Micros;

use crate::options::{NodeLine, NodeLineState};

pub use control_plane::{ControlPlaneStatus, RegionStatus};
pub use fleet::{FleetNodeStatus, FleetStatus, MemberStatus, RetryCapStatus, ShadowStatus};

/// A request on the control socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum ControlRequest {
    /// Report the gateway's state.
    Status,
    /// List the open requests, oldest first.
    Requests {
        /// Most requests to list.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Replace the node list, or change some of its lines.
    Nodes {
        /// Whether nodes left out are removed.
        #[serde(rename = "whole")]
        replace_all: bool,
        /// The lines.
        lines: Vec<NodeLine>,
    },
    /// Apply operators' orders: the whole node list, and what is not accepted.
    Orders {
        /// Revision of the operators' intents.
        revision: u64,
        /// The whole node list.
        lines: Vec<NodeLine>,
        /// Names of the volumes on hold, for which no new requests are accepted.
        held: Vec<String>,
        /// Whether to accept no new requests at all.
        paused: bool,
    },
    /// List the last operations that ended unserved.
    Ended,
    /// Override the recovery: stop waiting for peers and cold nodes, or release a key without settling it.
    Recovery {
        /// Whether to stop waiting.
        #[serde(rename = "hurry", default)]
        stop_waiting: bool,
        /// Number of the key to release.
        #[serde(default)]
        release: Option<u64>,
    },
    /// Accept no new requests, answer all open ones, and exit.
    Stop,
}

/// An answer on the control socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ControlAnswer {
    /// The gateway's state.
    Status(Box<Status>),
    /// The open requests.
    Requests(Vec<RequestStatus>),
    /// Operations that ended unserved, oldest first.
    Ended(Vec<EndedStatus>),
    /// The request was carried out at this time on the gateway's clock.
    Done(Micros),
}

/// An operation that ended unserved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedStatus {
    /// When it ended.
    pub at: Micros,
    /// Its number.
    pub id: u64,
    /// Name of its volume.
    pub volume: String,
    /// Its operation.
    pub op: String,
    /// Its class.
    pub class: String,
    /// The retry delay advised with its refusal; `None` if it failed.
    pub refused: Option<Micros>,
    /// Its age at its end.
    pub age: Micros,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Why it ended unserved, as far as known.
    pub reason: String,
}

/// The state of a gateway. Times are microseconds since the Unix epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its process identifier.
    pub pid: u32,
    /// Revision of the operators' intents in force.
    pub revision: u64,
    /// Names of volumes on hold.
    pub held: Vec<String>,
    /// Whether all new requests are refused.
    pub paused: bool,
    /// The address for clients.
    pub address: String,
    /// When it started.
    pub started: Micros,
    /// The current time.
    pub now: Micros,
    /// Whether it is stopping and accepts no new requests.
    pub stopping: bool,
    /// Client connections.
    pub connections: usize,
    /// Client connections whose handshake is in progress.
    #[serde(rename = "rising", default)]
    pub handshakes: usize,
    /// Hosts to which the connections belong.
    #[serde(default)]
    pub hosts: usize,
    /// Commands held for all hosts.
    #[serde(default)]
    pub held_commands: usize,
    /// Bytes held for all hosts.
    #[serde(default)]
    pub held_bytes: u64,
    /// Commands waiting for their host's turn.
    #[serde(rename = "waiting_turn", default)]
    pub queued_commands: usize,
    /// Connections and commands refused by the gateway's own limits, by limit.
    #[serde(rename = "turned_away", default)]
    pub limit_refusals: std::collections::BTreeMap<String, u64>,
    /// Accepted operations that are not answered yet.
    pub open: usize,
    /// Attempts in flight.
    pub out: usize,
    /// Operations accepted.
    pub taken: u64,
    /// Operations served.
    pub served: u64,
    /// Operations refused.
    pub refused: u64,
    /// Operations failed.
    pub failed: u64,
    /// Operations aborted by their client.
    pub aborted: u64,
    /// Operations whose client has gone.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts other than a request's first.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Attempts that ended when they were no longer awaited.
    #[serde(rename = "late")]
    pub late_ends: u64,
    /// Unserved operations by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
    /// Unserved operations by class and cause, as the decision module saw them.
    #[serde(default)]
    pub causes: std::collections::BTreeMap<String, u64>,
    /// Panics that ended one connection, or the following of the control plane, alone; each is a fault of the
    /// program.
    #[serde(default)]
    pub contained_panics: u64,
    /// Lines of the log that could not be written.
    #[serde(default)]
    pub lost_log_lines: u64,
    /// Progress of the recovery; `None` without peers to recover with.
    #[serde(default)]
    pub recovery: Option<recovery::Shown>,
    /// The fleet; `None` if this gateway knows of no other.
    #[serde(default)]
    pub fleet: Option<FleetStatus>,
    /// The retry cap; `None` if only the gateway's own retry budget applies.
    #[serde(default)]
    pub repeats: Option<RetryCapStatus>,
    /// The candidate shard map on trial, if any.
    #[serde(default)]
    pub shadow: Option<ShadowStatus>,
    /// The control plane's state as held here; `None` if the gateway follows none.
    #[serde(default)]
    pub control: Option<ControlPlaneStatus>,
    /// The nodes.
    pub nodes: Vec<NodeStatus>,
    /// The volumes.
    pub volumes: Vec<VolumeStatus>,
}

/// A node as the gateway sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: String,
    /// Its address, as listed.
    pub address: String,
    /// Its zone.
    pub zone: u32,
    /// Its shard.
    pub shard: u32,
    /// Its state, as listed.
    pub state: NodeLineState,
    /// Time of its last start, as listed; 0 means long ago.
    pub started: Micros,
    /// State of the connection to it.
    pub link: String,
    /// Attempts in flight.
    pub out: u32,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that ended in any other way.
    pub unserved: u64,
    /// Requests in progress at the node, as last reported by it.
    pub load: Option<u32>,
    /// Time of its last reply; 0 means never.
    #[serde(rename = "heard")]
    pub last_heard: Micros,
    /// Latency of its last answer, in microseconds.
    pub latency: Micros,
    /// The control law's bound on attempts in flight.
    pub bound: f64,
    /// The control law's L: smoothed latency divided by its target.
    #[serde(rename = "l")]
    pub latency_ratio: f64,
    /// Requests waiting for its shard.
    pub waiting: usize,
    /// Whether it has been silent for too long.
    pub silent: bool,
    /// Whether it is warming up.
    pub cold: bool,
}

/// A volume as the gateway sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VolumeStatus {
    /// Its name.
    pub name: String,
    /// Namespace identifier.
    pub nsid: u32,
    /// Open operations.
    pub open: u64,
    /// Operations accepted.
    pub taken: u64,
    /// Operations served.
    pub served: u64,
    /// Operations refused.
    pub refused: u64,
    /// Operations failed.
    pub failed: u64,
    /// Units of work requested.
    pub units: f64,
}

/// An open request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Its number.
    pub id: u64,
    /// Name of its volume.
    pub volume: String,
    /// Its operation.
    pub op: String,
    /// Its class.
    pub class: String,
    /// Its age, in microseconds.
    pub age: Micros,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Nodes with attempts in flight.
    pub nodes: Vec<String>,
}
