//! What a console sees.

use gateway::{EndedStatus, RequestStatus, Status};
use serde::{Deserialize, Serialize};
use steering::{Mark, Micros, Note, ProcessView, Source, State};

/// The whole site.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SiteView {
    /// Its name.
    pub name: String,
    /// When this was so.
    pub now: Micros,
    /// Number of the intents.
    pub revision: u64,
    /// Versions of what the operators changed, by subject.
    pub versions: std::collections::BTreeMap<String, steering::Revision>,
    /// It is being stopped.
    pub stopping: bool,
    /// Nothing new is taken.
    pub paused: Option<Mark>,
    /// Processes.
    pub processes: Vec<ProcessView>,
    /// Gateways.
    pub gateways: Vec<GatewayView>,
    /// Nodes, with what the gateways see of them together.
    pub nodes: Vec<NodeView>,
    /// Volumes, with what the gateways see of them together.
    pub volumes: Vec<VolumeView>,
    /// Notes.
    pub notes: Vec<Note>,
    /// What happened last, oldest first.
    pub events: Vec<Event>,
}

/// A gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayView {
    /// Its name.
    pub name: String,
    /// Its state, as it said last; none if it does not answer.
    pub status: Option<Box<Status>>,
    /// The oldest of its open requests.
    pub requests: Vec<RequestStatus>,
    /// Requests that ended unserved lately.
    pub ended: Vec<EndedStatus>,
}

/// A node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Shard.
    pub shard: u32,
    /// As ordered.
    pub state: State,
    /// Who says so.
    pub source: Source,
    /// The operator who drained it.
    pub drained: Option<Mark>,
    /// Attempts out, over all gateways.
    pub out: u32,
    /// The law's bounds, summed.
    pub bound: f64,
    /// The highest L.
    pub l: f64,
    /// Requests that wait for its shard.
    pub waiting: usize,
    /// Attempts sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Ended in any other way.
    pub unserved: u64,
    /// Gateways whose link is up.
    pub links: usize,
    /// A gateway finds it silent.
    pub silent: bool,
    /// It warms up.
    pub cold: bool,
    /// Latency of the last answer.
    pub latency: Micros,
    /// Gateways that follow the order as it stands.
    pub follows: usize,
}

/// A volume.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VolumeView {
    /// Its name.
    pub name: String,
    /// Its plan.
    pub plan: String,
    /// Units a second that it is sized for.
    pub rate: f64,
    /// Reserve of the plan.
    pub reserve: f64,
    /// Limit of the plan; 0: none.
    pub limit: f64,
    /// Operations open.
    pub open: u64,
    /// Taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Units asked for.
    pub units: f64,
    /// The operator who holds it.
    pub held: Option<Mark>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub t: Micros,
    /// What.
    pub what: String,
}
