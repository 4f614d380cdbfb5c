//! The keys of a day: clients and troubles.

use std::collections::BTreeSet;

use emulator::FaultKind;
use records::Op;
use serde::{Deserialize, Serialize};

use crate::schema::{Site, Volume};

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
    /// A relay stands on every link between two processes of the day.
    #[serde(default, skip_serializing_if = "is_off")]
    pub relay: bool,
}

fn is_off(on: &bool) -> bool {
    !on
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
    /// A client breaks its connections; a gateway leaves by its own will, for good.
    Leave,
    /// Links between processes carry nothing: what is sent is held until the end.
    Part,
    /// Links between processes carry everything later.
    SlowLink,
    /// Links between processes carry nothing, and carry again, in a rhythm.
    Flap,
    /// A gateway's or a node's process stands still, as one that is not scheduled.
    Freeze,
    /// The power goes for gateways and nodes, for all of them at once; started again they have what was durable.
    Power,
    /// A gateway that is not there at the start comes up.
    Join,
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

    /// Whether it is a trouble of the links between processes, which a relay carries.
    pub fn is_of_links(self) -> bool {
        matches!(self, TroubleKind::Part | TroubleKind::SlowLink | TroubleKind::Flap)
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
    /// Which nodes, gateways or clients. For links `zone:N` stands for all of a zone.
    pub of: Vec<String>,
    /// For links: the other side; left out, all others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<String>,
    /// For links: both ways; else only what `of` sends to `to`.
    #[serde(default = "yes", skip_serializing_if = "is_on")]
    pub both: bool,
    /// How much slower.
    #[serde(default = "four")]
    pub factor: f64,
    /// Of a slow link: each piece comes so much later ...
    #[serde(default, skip_serializing_if = "is_zero")]
    pub delay_ms: u32,
    /// ... and up to so much more, drawn.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub jitter_ms: u32,
    /// Of a link that flaps: it carries so long ...
    #[serde(default, skip_serializing_if = "is_zero")]
    pub up_ms: u32,
    /// ... after it carried nothing so long, which comes first.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub down_ms: u32,
}

impl Trouble {
    /// A trouble with the usual figures of everything else.
    pub fn new(what: TroubleKind, at_s: f64, for_s: f64, of: Vec<String>) -> Self {
        Trouble {
            what,
            at_s,
            for_s,
            of,
            to: Vec::new(),
            both: true,
            factor: four(),
            delay_ms: 0,
            jitter_ms: 0,
            up_ms: 0,
            down_ms: 0,
        }
    }
}

fn four() -> f64 {
    4.0
}
fn yes() -> bool {
    true
}
fn is_on(on: &bool) -> bool {
    *on
}
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl Site {
    /// Whether gateways connect to each other.
    pub fn gateways_talk(&self) -> bool {
        (self.recovery.is_some() || self.fleet.is_some()) && self.gateway.len() > 1
    }

    /// The links between processes of a day: who connects, and to whom.
    pub fn links(&self) -> Vec<(String, String)> {
        let mut links = Vec::new();
        for client in &self.client {
            links.extend(self.gateways_of(client).map(|g| (client.name.clone(), g.to_owned())));
        }
        for gateway in &self.gateway {
            links.extend(self.node.iter().map(|n| (gateway.name.clone(), n.name.clone())));
            let others = self.gateway.iter().filter(|g| self.gateways_talk() && g.name != gateway.name);
            links.extend(others.map(|g| (gateway.name.clone(), g.name.clone())));
        }
        links
    }

    /// Gateways through which all volumes of a client are reached.
    pub fn gateways_of<'a>(&'a self, client: &'a Client) -> impl Iterator<Item = &'a str> {
        let through =
            |name: &str, v: &Volume| v.gateways.as_ref().is_none_or(|names| names.iter().any(|n| n == name));
        let used = move |name: &str| {
            self.volume.iter().filter(|v| client.volumes.contains(&v.name)).all(|v| through(name, v))
        };
        self.gateway.iter().map(|g| g.name.as_str()).filter(move |name| used(name))
    }

    /// The processes that a trouble of links names; `zone:N` stands for all of that zone.
    pub fn processes(&self, names: &[String]) -> BTreeSet<String> {
        let mut all = BTreeSet::new();
        for name in names {
            match zone(name) {
                Some(zone) => {
                    all.extend(self.node.iter().filter(|n| n.zone == zone).map(|n| n.name.clone()));
                    all.extend(self.gateway.iter().filter(|g| g.zone == zone).map(|g| g.name.clone()));
                }
                None => {
                    all.insert(name.clone());
                }
            }
        }
        all
    }

    pub(crate) fn has_zone(&self, zone: u32) -> bool {
        self.node.iter().any(|n| n.zone == zone) || self.gateway.iter().any(|g| g.zone == zone)
    }

    /// Gateways that join in the course of the day.
    pub fn joins(&self) -> BTreeSet<&str> {
        let joins = self.trouble.iter().filter(|t| t.what == TroubleKind::Join);
        joins.flat_map(|t| t.of.iter().map(String::as_str)).collect()
    }
}

/// The zone that a name of a trouble of links stands for.
pub(crate) fn zone(name: &str) -> Option<u32> {
    name.strip_prefix("zone:").and_then(|n| n.parse().ok())
}
