//! The keys of gateways that act as one fleet. Spans are in the unit that a key's name ends with.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The fleet's view: who is there, by gateways' own words.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTable {
    /// One period of probing; everything else is counted in it.
    pub period_ms: u32,
    /// Peers that gossip goes to in a period.
    pub fanout: usize,
    /// Peers asked to probe in place of this one.
    pub indirect: usize,
    /// Suspicion lasts from the longest to the shortest, in periods, as witnesses add up; left out: by the number of gateways.
    pub suspicion: Option<[u32; 2]>,
    /// Every so many periods a whole view is exchanged with one peer.
    pub exchange: u32,
    /// Nodes of which it is told, at most.
    pub most_nodes: usize,
}

impl Default for FleetTable {
    fn default() -> Self {
        FleetTable { period_ms: 1000, fanout: 3, indirect: 3, suspicion: None, exchange: 10, most_nodes: 256 }
    }
}

/// The cap on repeats over all gateways: sends to a shard beyond the first for each request, in any window.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapTable {
    /// The window of the rule.
    pub window_ms: u32,
    /// Further sends to one shard that the whole fleet has in a window whatever is served; left out: two for each gateway.
    pub free: Option<f64>,
    /// Further sends to a shard for each that it has served.
    pub share: f64,
    /// The same while a node of the shard recovers.
    pub recovering_share: f64,
    /// `free` over all shards together; left out: `free` times the shards, four of them at most.
    pub fleet_free: Option<f64>,
    /// `share` over all shards together.
    pub fleet_share: f64,
    /// Clocks may run apart by this part.
    pub drift: f64,
}

impl Default for CapTable {
    fn default() -> Self {
        CapTable {
            window_ms: 1000,
            free: None,
            share: 0.1,
            recovering_share: 0.02,
            fleet_free: None,
            fleet_share: 0.1,
            drift: 0.01,
        }
    }
}

/// A candidate shard map, tried on a slice of the reads after their clients have their answers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateTable {
    /// Its number, from 1: another map has another number, and draws another slice.
    pub number: u64,
    /// Which part of the extents is tried, 0 to 1.
    pub slice: f64,
    /// Sends a second to one node over the whole fleet.
    #[serde(default = "node_rate")]
    pub node_rate: f64,
    /// The same as `slice` for single volumes, by name.
    #[serde(default)]
    pub parts: BTreeMap<String, f64>,
    /// Each volume of the map in force, once.
    pub volume: Vec<CandidateVolume>,
}

fn node_rate() -> f64 {
    50.0
}

/// A volume of a candidate.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateVolume {
    /// Name of the volume.
    pub name: String,
    /// Blocks in an extent, as in the map in force; a candidate does not change it.
    pub extent_blocks: u64,
    /// Shards of the extents, in turn.
    pub shards: Vec<u32>,
    /// Extents that lie elsewhere than in their turn.
    #[serde(default)]
    pub moved: Vec<Moved>,
}

/// Extents that a candidate puts on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Moved {
    /// The first of them, from 0.
    pub first: u64,
    /// The last of them.
    pub last: u64,
    /// Where they are to lie.
    pub shard: u32,
}
