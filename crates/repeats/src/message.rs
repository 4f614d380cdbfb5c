//! Messages between the caps of two gateways, each the body of a `peer` message of [`KIND`].

use std::num::NonZeroU32;

use peer::{Kind, Life};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The kind of this package's messages.
pub const KIND: Kind = Kind(3);
/// The longest body that is accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// The longest list in a body that is accepted.
pub const MAX_LIST_LEN: usize = 256;

/// A request for a lease of tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Increases within the borrower's life.
    pub number: u64,
    /// The shard; none for fleet-wide tokens.
    #[serde(default)]
    pub shard: Option<u32>,
    /// Requested amount, in thousandths of a token.
    pub amount: u64,
    /// Aged worth of the requests that wait for the tokens; lenders weigh lease requests by it.
    #[serde(default)]
    pub worth: f64,
    /// The borrower's life.
    pub life: Life,
}

/// A lease: tokens that the lender has taken off its account for the borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The number of the lease request.
    pub number: u64,
    /// The shard of the lease request.
    #[serde(default)]
    pub shard: Option<u32>,
    /// Thousandths of a token, and their lifetime in microseconds from the moment of the grant.
    pub parts: Vec<(u64, Micros)>,
    /// The borrower's life, from the lease request.
    pub life: Life,
    /// The lease was granted under the limits that apply while a node of the shard recovers.
    #[serde(default)]
    pub recovering: bool,
}

/// What a gateway has observed of a shard itself; never what a peer reported to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardObservation {
    /// The shard.
    pub shard: u32,
    /// It sees a node of the shard as cold, silent or refusing.
    #[serde(default)]
    pub seen: bool,
    /// Requests served in its last window or quarter of one, if that period shows trouble; 0 otherwise.
    #[serde(default)]
    pub served: u32,
    /// Requests refused or unserved in the same period.
    #[serde(default)]
    pub bad: u32,
}

/// Keys of requests that ended unserved at the sender recently, as the bits of a Bloom filter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FilterBits {
    /// Size of the filter in bits; a filter of another size is ignored.
    pub size: Option<NonZeroU32>,
    /// If set, `bytes` lists the positions of the set bits, two bytes each (little endian), which is
    /// used while it is shorter; otherwise `bytes` is the whole filter.
    #[serde(default)]
    pub places: bool,
    /// The positions, or the whole filter.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A message to a peer's cap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapMessage {
    /// Lease requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<LeaseRequest>,
    /// Leases granted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<LeaseGrant>,
    /// Observations of the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub facts: Vec<ShardObservation>,
    /// Requests that ended unserved at the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unserved: Option<FilterBits>,
}

impl CapMessage {
    /// Decodes a body; returns the reason if it is rejected.
    pub fn decode(body: &[u8]) -> Result<CapMessage, &'static str> {
        if body.len() > MAX_BODY_BYTES {
            return Err("retry cap message exceeds the size limit");
        }
        let message: CapMessage = peer::wire::decode(body).ok_or("retry cap message cannot be decoded")?;
        let grants = message.grants.iter().map(|g| g.parts.len()).max().unwrap_or(0);
        if [message.wants.len(), message.grants.len(), message.facts.len(), grants]
            .into_iter()
            .any(|n| n > MAX_LIST_LEN)
        {
            return Err("retry cap message has a list that is too long");
        }
        Ok(message)
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        *self == CapMessage::default()
    }
}
