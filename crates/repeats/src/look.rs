//! What operators and tests see of a cap.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::shard::ShardState;

/// One shard as this gateway holds it. Rights are in sends, with their fractions; sums are of this life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardLook {
    /// The shard; none: all shards of the fleet together.
    pub shard: Option<u32>,
    /// Its state; for all shards the gravest.
    pub state: ShardState,
    /// How long it has been in it, microseconds.
    pub since: Micros,
    /// Why it entered it.
    pub why: String,
    /// Rights that are left now.
    pub left: f64,
    /// What the decision module may send further now.
    pub allowed: u32,
    /// The advice that goes with it, microseconds.
    pub come_back: Micros,
    /// Rights lent to peers.
    pub lent: f64,
    /// Rights taken over from peers.
    pub borrowed: f64,
    /// Rights earned by what was served here.
    pub earned: f64,
    /// Further sends.
    pub spent: f64,
    /// Requests refused for want of a right.
    pub held_back: u64,
    /// Of these, those for which there was a right that the module had not been told of.
    #[serde(default)]
    pub not_told: u64,
    /// Requests that wait for a right now.
    #[serde(default)]
    pub waiting: u32,
}

/// Totals of a life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Notes sent, each to one peer.
    pub notes_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Notes heard.
    pub notes_in: u64,
    /// Wants sent.
    pub wants: u64,
    /// Grants given.
    pub given: u64,
    /// Grants taken.
    pub taken: u64,
    /// Grants that came too late, twice, unasked or for another life, and added nothing.
    pub untaken: u64,
    /// `Allow` outputs.
    pub allows: u64,
}
