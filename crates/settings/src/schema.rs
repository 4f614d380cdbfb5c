//! The keys of a site or day file. Spans are in the unit that a key's name ends with.

use std::net::SocketAddr;

use emulator::FaultKind;
use records::Op;
use serde::{Deserialize, Serialize};

/// A whole file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The site in general.
    pub site: General,
    /// Figures of the rules.
    pub rules: Rules,
    /// Limits towards clients.
    #[serde(default)]
    pub limits: Limits,
    /// Links to nodes.
    #[serde(default)]
    pub link: Link,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Coming back after a loss of power; without it a gateway is open at once and talks to no other.
    pub recovery: Option<Recovery>,
    /// The appliance.
    #[serde(default)]
    pub appliance: Appliance,
    /// Classes, in the order in which they are tried.
    pub class: Vec<Class>,
    /// Plans.
    pub plan: Vec<Plan>,
    /// Volumes.
    pub volume: Vec<Volume>,
    /// Gateways.
    pub gateway: Vec<Gateway>,
    /// Nodes.
    pub node: Vec<Node>,
    /// A day that is played.
    pub day: Option<Day>,
    /// Clients of the day.
    #[serde(default)]
    pub client: Vec<Client>,
    /// Troubles of the day.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

/// The site in general.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct General {
    /// Its name.
    pub name: String,
    /// NQN of the volumes' subsystem, at the gateways and at the nodes.
    pub subsystem: String,
    /// KiB that count as one unit.
    pub unit_kib: u32,
    /// The most units that a request counts.
    pub most_units: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Worth of units beyond the reserve within a volume's share, as a part of the full worth.
    pub share_worth: f64,
    /// Worth of units beyond reserve and share.
    pub spare_worth: f64,
    /// Points that wasted node work costs, as a part of all.
    #[serde(default)]
    pub waste_price: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Most attempts of a request.
    pub most_attempts: u32,
    /// Longest advice.
    pub most_advice_ms: u32,
    /// Nothing new goes to a drained node after this.
    pub drain_grace_ms: u32,
    /// Rest of a block after an attempt that may still run.
    pub order_rest_ms: u32,
    /// Units that a cold node bears within the window from all gateways.
    pub cold_units: f64,
    /// That window.
    pub cold_window_ms: u32,
    /// Part of its capacity that a node starts with at least.
    pub cold_from: f64,
    /// A node is warm after this long.
    pub warm_after_ms: u32,
    /// Sent more than this multiple of its present capacity over the window, a cold node falls over.
    pub fall_multiple: f64,
    /// Window of the budget for further attempts; without it there is no such rule.
    pub budget_window_ms: Option<u32>,
    /// Further attempts allowed in any case.
    #[serde(default)]
    pub budget_free: f64,
    /// And for each request taken.
    #[serde(default)]
    pub budget_share: f64,
}

/// Limits towards clients.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of a gateway.
    pub connections: usize,
    /// Connections from one address.
    pub connections_from_address: usize,
    /// Of these, on their way up at one time.
    pub rising_from_address: usize,
    /// How long a connection's way up may take.
    pub way_up_ms: u32,
    /// Commands held for one host.
    pub host_commands: usize,
    /// Commands held for all.
    pub commands: usize,
    /// Data held for one host.
    pub host_held_mib: u32,
    /// Data held for all.
    pub held_mib: u32,
    /// Associations of a gateway.
    pub associations: usize,
    /// Entries of a queue; one fewer commands are out.
    pub queue_entries: u32,
    /// I/O queues of an association.
    pub io_queues: u16,
    /// Largest transfer: 4 KiB times a power of two.
    pub transfer_kib: u32,
    /// Data in a capsule.
    pub in_capsule_kib: u32,
    /// Data that waits for a connection that does not read.
    pub spill_kib: usize,
    /// Command Retry Delay Times 1 to 3, multiples of 100.
    pub retry_delays_ms: [u32; 3],
    /// Told to stop, a gateway leaves within this.
    pub stop_within_ms: u32,
    /// Header and data digests are used where a client asks.
    pub digests: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 10_000,
            connections_from_address: 10_000,
            rising_from_address: 256,
            way_up_ms: 5000,
            host_commands: 8192,
            commands: 65_536,
            host_held_mib: 256,
            held_mib: 1024,
            associations: 1024,
            queue_entries: 129,
            io_queues: 16,
            transfer_kib: 128,
            in_capsule_kib: 8,
            spill_kib: 32 * 1024,
            retry_delays_ms: [100, 500, 2000],
            stop_within_ms: 5000,
            digests: true,
        }
    }
}

/// The appliance: what its supervisor runs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Appliance {
    /// Stand-in nodes are processes of the site; else they run somewhere else, at their stated addresses.
    pub run_nodes: bool,
    /// They write down what crosses their sockets, into the folder of the state.
    pub records: bool,
}

impl Default for Appliance {
    fn default() -> Self {
        Appliance { run_nodes: true, records: false }
    }
}

/// Links to nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Link {
    /// Entries of a link's queue.
    pub queue_entries: u32,
    /// A connection and its way up take at most this long.
    pub connect_ms: u32,
    /// Pause before a lost connection is tried again unasked.
    pub reconnect_ms: u32,
    /// A command stuck for this long on a full queue breaks the link.
    pub command_ms: u32,
    /// Keep alive time-out.
    pub keep_alive_ms: u32,
    /// Ask the nodes for header and data digests.
    pub digests: bool,
}

impl Default for Link {
    fn default() -> Self {
        Link {
            queue_entries: 129,
            connect_ms: 250,
            reconnect_ms: 200,
            command_ms: 10_000,
            keep_alive_ms: 5000,
            digests: true,
        }
    }
}

/// Logs, on standard error.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Text or JSON lines.
    pub format: LogFormat,
    /// Least level: error, warn, info, debug or trace.
    pub level: LogLevel,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// Form of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum LogFormat {
    Text,
    Json,
}

/// Least level of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// May a request of a class run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// Any number of runs is harmless.
    Safe,
    /// The nodes of a shard discard repeats for a window.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What its requests do.
    pub op: Op,
    /// The largest of them; without it, any size.
    pub most_kib: Option<u32>,
    /// May they run again.
    pub repeats: Repeats,
    /// How long nodes remember a keyed one.
    pub window_ms: Option<u32>,
    /// One at a time for each block, in the order taken.
    #[serde(default)]
    pub in_order: bool,
    /// Wanted within this.
    pub aim_ms: u32,
    /// The client waits this long.
    pub patience_ms: u32,
    /// Worth.
    pub worth: f64,
    /// Part of it for a late answer.
    #[serde(default)]
    pub late_worth: f64,
}

/// A plan; figures for each volume over all gateways and nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second that a volume is sized for.
    pub rate: f64,
    /// Units a second that earn the full worth.
    pub reserve: f64,
    /// Units a second at most; 0: no limit.
    #[serde(default)]
    pub limit: f64,
    /// Units at once at most.
    #[serde(default)]
    pub limit_burst: f64,
    /// Slack of the limit, in units.
    #[serde(default)]
    pub limit_slack: f64,
    /// Share of what is beyond the reserves.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
}

/// A volume.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    /// Its name.
    pub name: String,
    /// Namespace identifier, from 1.
    pub nsid: u32,
    /// Size.
    pub blocks: u64,
    /// Block size in bytes: a power of two, 512 to 65,536.
    #[serde(default = "block_size")]
    pub block_size: u32,
    /// Name of its plan.
    pub plan: String,
    /// Gateways through which its requests come; left out: all.
    pub gateways: Option<Vec<String>>,
    /// Blocks in an extent.
    pub extent_blocks: u64,
    /// Shards of the extents, in turn.
    pub shards: Vec<u32>,
}

fn block_size() -> u32 {
    4096
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Coming back after a loss of power.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Recovery {
    /// Peers are waited for so long at most.
    pub ask_for_ms: u32,
    /// Writes are in a journal on the disk before they are sent, so that after a loss only what was in hand rests.
    pub journal: bool,
}

impl Default for Recovery {
    fn default() -> Self {
        Recovery { ask_for_ms: 2000, journal: true }
    }
}

/// A gateway.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Where clients connect; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Where its peers connect, for `[recovery]`; port 0 lets the system choose, and peers are then told otherwise.
    pub peer: Option<SocketAddr>,
}

/// A node. The power is a stand-in's; for a node that is somewhere else it does not matter.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 lets the system choose, for a stand-in.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// Zone.
    #[serde(default)]
    pub zone: u32,
    /// The shard it holds.
    pub shard: u32,
    /// Requests served at a time.
    #[serde(default = "one")]
    pub cores: u32,
    /// Requests that wait at most.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Work of any request.
    #[serde(default = "base")]
    pub base_us: u32,
    /// Work of each KiB.
    #[serde(default = "per_kib")]
    pub us_per_kib: f64,
    /// Multiple of a write's work.
    #[serde(default = "unit")]
    pub write_factor: f64,
    /// Part of a write's work that is put off.
    #[serde(default)]
    pub put_off: f64,
    /// Put-off work is done this often; 0: never.
    #[serde(default)]
    pub put_off_every_ms: u32,
    /// It stands still this often; 0: never.
    #[serde(default)]
    pub pause_every_ms: u32,
    /// For this long.
    #[serde(default)]
    pub pause_for_ms: u32,
}

fn one() -> u32 {
    1
}
fn unit() -> f64 {
    1.0
}
fn queue() -> usize {
    64
}
fn base() -> u32 {
    1000
}
fn per_kib() -> f64 {
    50.0
}

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
