//! The keys of classes, plans and volumes.

use records::Op;
use serde::{Deserialize, Serialize};

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
