//! The keys of a day: clients and troubles.

use emulator::FaultKind;
use records::Op;
use serde::{Deserialize, Serialize};

/// A day that is played.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Seed of the clients.
    pub seed: u64,
    /// How long load is offered.
    pub seconds: f64,
    /// The node list reaches the gateways this late.
    #[serde(default)]
    pub list_lag_ms: u32,
    /// How far a busy machine may put a record off its moment.
    #[serde(default = "slack")]
    pub clock_slack_ms: u32,
}

fn slack() -> u32 {
    150
}

/// A kind of command of a client.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// What it does.
    pub op: Op,
    /// Its size; 0 for a flush.
    #[serde(default)]
    pub kib: u32,
    /// Its share of the commands.
    pub share: f64,
}

/// A change of a client's rate.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// From then on, in seconds since the start.
    pub from_s: f64,
    /// Multiple of the rate.
    pub factor: f64,
}

/// A client.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Its name.
    pub name: String,
    /// Names of its volumes.
    pub volumes: Vec<String>,
    /// Commands a second.
    pub rate: f64,
    /// Kinds of commands.
    pub mix: Vec<Mix>,
    /// Changes of the rate.
    #[serde(default)]
    pub phases: Vec<Phase>,
    /// Commands out for each queue at most.
    #[serde(default = "depth")]
    pub depth: u32,
    /// I/O queues for each gateway.
    #[serde(default = "queues")]
    pub queues: u16,
    /// Repeats of a refused command, after the advice.
    #[serde(default)]
    pub repeats: u32,
    /// Part of the commands that it asks to abort at once.
    #[serde(default)]
    pub aborts: f64,
    /// It breaks its connections this often; 0: never.
    #[serde(default)]
    pub leaves_s: f64,
    /// It uses this many blocks of each volume, from the first; 0: all.
    #[serde(default)]
    pub blocks: u64,
}

fn depth() -> u32 {
    128
}
fn queues() -> u16 {
    1
}

/// What a trouble is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// A node reads and runs, and answers nothing.
    Silent,
    /// A node stands still.
    Stall,
    /// A node runs `factor` times slower.
    Slow,
    /// A node answers with errors at once.
    Fail,
    /// A node turns everything away.
    Full,
    /// A node's connections break.
    Reset,
    /// A node closes new connections at once.
    Refuse,
    /// A node dies, and comes back cold.
    Die,
    /// A node's data is damaged on the way.
    Corrupt,
    /// A node's answer stops half-way.
    Half,
    /// The node list says that a node drains.
    Drain,
    /// The node list leaves a node out.
    Unlist,
    /// Changes of the node list reach the gateways `factor` seconds later; `of` is ["list"].
    LateList,
    /// A gateway is killed outright, and started again.
    KillGateway,
    /// A gateway is told to leave, and started again.
    StopGateway,
    /// A gateway's process stands still.
    StallGateway,
    /// A client breaks its connections.
    Leave,
}

impl TroubleKind {
    /// The fault of a node, if it is one.
    pub fn fault(self) -> Option<FaultKind> {
        Some(match self {
            TroubleKind::Silent => FaultKind::Silent,
            TroubleKind::Stall => FaultKind::Stall,
            TroubleKind::Slow => FaultKind::Slow,
            TroubleKind::Fail => FaultKind::Fail,
            TroubleKind::Full => FaultKind::Full,
            TroubleKind::Reset => FaultKind::Reset,
            TroubleKind::Refuse => FaultKind::Refuse,
            TroubleKind::Die => FaultKind::Die,
            TroubleKind::Corrupt => FaultKind::Corrupt,
            TroubleKind::Half => FaultKind::Half,
            _ => return None,
        })
    }
}

/// A trouble of the day.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub what: TroubleKind,
    /// When, in seconds since the start.
    pub at_s: f64,
    /// For how long; a trouble of a moment needs none.
    #[serde(default)]
    pub for_s: f64,
    /// Which nodes, gateways or clients.
    pub of: Vec<String>,
    /// How much slower.
    #[serde(default = "four")]
    pub factor: f64,
}

fn four() -> f64 {
    4.0
}
