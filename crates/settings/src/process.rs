//! The keys of gateways and nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
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
    /// Its zone, for `[fleet]`.
    #[serde(default)]
    pub zone: u32,
    /// Where its peers connect, for `[recovery]` and `[fleet]`; port 0 lets the system choose, and peers are then told otherwise.
    pub peer: Option<SocketAddr>,
    /// Its region, for `[control]`; left out: the table's.
    pub region: Option<u16>,
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
