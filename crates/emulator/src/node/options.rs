//! What a node is given at its start, and what it says of itself.

use std::io;
use std::net::SocketAddr;

use nvme::TargetOptions;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::disk::DiskOptions;
use crate::model::ModelOptions;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Its name.
    pub name: String,
    /// The shard it holds.
    pub shard: u32,
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Its power.
    pub model: ModelOptions,
    /// Subsystem and namespaces.
    pub target: TargetOptions,
    /// It starts cold.
    pub cold: bool,
    /// How long it remembers the tokens of keyed writes.
    pub memory: Micros,
    /// Bytes that count as a unit.
    pub unit_bytes: u64,
    /// The most units of a command.
    pub most_units: f64,
    /// Where it keeps its blocks; without it they are gone with its process.
    pub disk: Option<DiskOptions>,
}

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// It cannot listen, or have its threads.
    #[error("node {0} cannot listen on {1}: {2}")]
    Listen(String, SocketAddr, io::Error),
    /// Its disk cannot be used.
    #[error("node {0}: {1}")]
    Disk(String, filelog::LogError),
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: String,
    /// Lines of its log that could not be written.
    #[serde(default)]
    pub lost_log_lines: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its shard.
    pub shard: u32,
    /// When it last started cold, on the records' clock; 0: it started warm.
    pub started: Micros,
    /// It is up.
    pub up: bool,
    /// It fell over.
    pub fallen: bool,
    /// Jobs that it holds.
    pub held: usize,
    /// Connections.
    pub connections: usize,
    /// Its life by its disk's count; 0: it has none.
    #[serde(default)]
    pub life: u64,
    /// Since when it remembers every token, by its clock; 0: since its disk was new.
    #[serde(default)]
    pub memory_since: Micros,
}
