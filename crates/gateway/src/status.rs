//! What the control socket carries.

mod control;
mod fleet;

use serde::{Deserialize, Serialize};
use storage_core::Micros;

use crate::options::{NodeLine, NodeLineState};

pub use control::{ControlStatus, RegionStatus};
pub use fleet::{FleetStatus, MemberStatus, NodeFactStatus, RepeatsStatus, ShadowStatus};

/// A request on the control socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum ControlRequest {
    /// The state of the gateway.
    Status,
    /// The open requests, oldest first.
    Requests {
        /// At most so many.
        most: usize,
    },
    /// The node list, whole or the lines that changed.
    Nodes {
        /// Nodes left out are gone.
        whole: bool,
        /// The lines.
        lines: Vec<NodeLine>,
    },
    /// What the operators' intents mean: the whole node list, and what is not taken.
    Orders {
        /// The intents' number.
        revision: u64,
        /// The whole list.
        lines: Vec<NodeLine>,
        /// Volumes of which nothing new is taken, by name.
        held: Vec<String>,
        /// Nothing new is taken at all.
        paused: bool,
    },
    /// The last operations that ended unserved.
    Ended,
    /// Wait for peers and cold nodes no longer, or release a key unsettled, by its number.
    Recovery {
        /// Wait no longer.
        #[serde(default)]
        hurry: bool,
        /// The key.
        #[serde(default)]
        release: Option<u64>,
    },
    /// Take nothing new, answer all, and leave.
    Stop,
}

/// An answer on the control socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ControlAnswer {
    /// The state.
    Status(Box<Status>),
    /// The open requests.
    Requests(Vec<RequestStatus>),
    /// Operations that ended unserved, oldest first.
    Ended(Vec<EndedStatus>),
    /// Carried out; the time on the gateway's clock.
    Done(Micros),
}

/// An operation that ended unserved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedStatus {
    /// When.
    pub at: Micros,
    /// Its number.
    pub id: u64,
    /// Volume.
    pub volume: String,
    /// What it was to do.
    pub op: String,
    /// Class.
    pub class: String,
    /// Refused with this advice; none: failed.
    pub refused: Option<Micros>,
    /// How old it was.
    pub age: Micros,
    /// Attempts sent.
    pub attempts: u32,
    /// Why, as far as it shows.
    pub reason: String,
}

/// The state of a gateway. Times are microseconds since the Unix epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its process.
    pub pid: u32,
    /// The intents that it follows.
    pub revision: u64,
    /// Volumes held.
    pub held: Vec<String>,
    /// Nothing new is taken.
    pub paused: bool,
    /// Where it listens.
    pub address: String,
    /// When it started.
    pub started: Micros,
    /// Now.
    pub now: Micros,
    /// It takes nothing new.
    pub stopping: bool,
    /// Client connections.
    pub connections: usize,
    /// Of these, on their way up.
    #[serde(default)]
    pub rising: usize,
    /// Hosts that they belong to.
    #[serde(default)]
    pub hosts: usize,
    /// Commands held for them.
    #[serde(default)]
    pub held_commands: usize,
    /// Bytes held for them.
    #[serde(default)]
    pub held_bytes: u64,
    /// Commands that wait for their host's turn.
    #[serde(default)]
    pub waiting_turn: usize,
    /// What the gateway's own limits turned away, by limit.
    #[serde(default)]
    pub turned_away: std::collections::BTreeMap<String, u64>,
    /// Operations owed an answer.
    pub open: usize,
    /// Attempts out.
    pub out: usize,
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Aborted.
    pub aborted: u64,
    /// Left by their client.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts after a request's first.
    pub further: u64,
    /// Ends that nobody waited for.
    pub late: u64,
    /// What ended unserved, by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
    /// The same by class and cause, as the decision module saw it.
    #[serde(default)]
    pub causes: std::collections::BTreeMap<String, u64>,
    /// How far it has come back; none: it has no peers, and is open at once.
    #[serde(default)]
    pub recovery: Option<recovery::Shown>,
    /// The fleet as it sees it; none: it knows of no other gateway.
    #[serde(default)]
    pub fleet: Option<FleetStatus>,
    /// The cap on repeats as it holds it; none: its own budget alone holds.
    #[serde(default)]
    pub repeats: Option<RepeatsStatus>,
    /// The candidate shard map that is tried; none: there is none.
    #[serde(default)]
    pub shadow: Option<ShadowStatus>,
    /// The control plane's state as it holds it; none: it follows none.
    #[serde(default)]
    pub control: Option<ControlStatus>,
    /// Nodes.
    pub nodes: Vec<NodeStatus>,
    /// Volumes.
    pub volumes: Vec<VolumeStatus>,
}

/// A node as the gateway sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: String,
    /// Where it listens, as listed.
    pub address: String,
    /// Zone.
    pub zone: u32,
    /// Shard.
    pub shard: u32,
    /// As listed.
    pub state: NodeLineState,
    /// Its start, as listed; 0: long ago.
    pub started: Micros,
    /// State of the link.
    pub link: String,
    /// Attempts out.
    pub out: u32,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that ended in any other way.
    pub unserved: u64,
    /// Requests it held, as it said last.
    pub load: Option<u32>,
    /// When it was last heard of; 0: never.
    pub heard: Micros,
    /// Latency of its last answer, in microseconds.
    pub latency: Micros,
    /// The law's bound on attempts out.
    pub bound: f64,
    /// The law's L: smoothed latency over aim.
    pub l: f64,
    /// Requests that wait for its shard.
    pub waiting: usize,
    /// No word from it for too long.
    pub silent: bool,
    /// It warms up.
    pub cold: bool,
}

/// A volume as the gateway sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VolumeStatus {
    /// Its name.
    pub name: String,
    /// Namespace identifier.
    pub nsid: u32,
    /// Operations open.
    pub open: u64,
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Units asked for.
    pub units: f64,
}

/// An open request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Its number.
    pub id: u64,
    /// Volume.
    pub volume: String,
    /// What it does.
    pub op: String,
    /// Class.
    pub class: String,
    /// Age, in microseconds.
    pub age: Micros,
    /// Attempts sent.
    pub attempts: u32,
    /// Nodes at which attempts are out.
    pub nodes: Vec<String>,
}
