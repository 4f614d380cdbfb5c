//! The keys of a site file in general. Spans are in the unit that a key's name ends with.

use serde::{Deserialize, Serialize};

use crate::schema::*;

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
    /// The fleet's view; without it a gateway knows of no other.
    pub fleet: Option<FleetTable>,
    /// The cap on repeats over all gateways; without it each keeps its own budget alone.
    pub repeats: Option<CapTable>,
    /// A candidate shard map, tried in the shadow.
    pub candidate: Option<CandidateTable>,
    /// The control plane; without it nobody follows one.
    pub control: Option<ControlTable>,
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
    /// Largest transfer: 4 KiB times a power of two, at least 8 KiB.
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
