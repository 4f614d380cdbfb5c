//! Snapshots and counters of a cap, for operators and tests.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::shard::ShardState;

/// A snapshot of one shard at this gateway. Token counts are in whole tokens with fractions; totals are
/// of this life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardSnapshot {
    /// The shard; none for all shards of the fleet together.
    pub shard: Option<u32>,
    /// Its state; for all shards together, recovering if any shard is, otherwise the first shard's state.
    pub state: ShardState,
    /// How long it has been in that state, microseconds.
    pub since: Micros,
    /// Why it entered that state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Tokens available now.
    #[serde(rename = "left")]
    pub available: f64,
    /// Retries that the scheduler may send now.
    pub allowed: u32,
    /// The retry delay advised to rejected requests, microseconds.
    #[serde(rename = "come_back")]
    pub retry_after: Micros,
    /// Tokens leased to peers.
    pub lent: f64,
    /// Tokens borrowed from peers.
    pub borrowed: f64,
    /// Tokens earned by requests served here.
    pub earned: f64,
    /// Tokens spent on retries.
    pub spent: f64,
    /// Requests rejected for lack of a token.
    #[serde(rename = "held_back")]
    pub rejected: u64,
    /// Rejected requests for which there was a token that the scheduler had not been notified of.
    #[serde(default, rename = "not_told")]
    pub rejected_with_token: u64,
    /// Requests that wait for a token now.
    #[serde(default)]
    pub waiting: u32,
}

/// Counters of this life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Messages sent, counted for each recipient.
    pub notes_out: u64,
    /// Bytes of the messages sent.
    pub bytes_out: u64,
    /// Messages received.
    pub notes_in: u64,
    /// Lease requests sent.
    pub wants: u64,
    /// Lease grants sent.
    pub given: u64,
    /// Lease grants accepted.
    pub taken: u64,
    /// Lease grants that added nothing: late, duplicated, not requested, for another life or an unknown
    /// shard, or granted under normal limits for a shard that has reduced limits here.
    pub untaken: u64,
    /// Allowances issued.
    pub allows: u64,
}
