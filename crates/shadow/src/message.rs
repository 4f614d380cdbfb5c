//! Messages between gateways, and the stored counters: MessagePack with named fields.

use serde::{Deserialize, Serialize};

use crate::merge::{Page, Position};
use crate::writes::Seen;

/// A message between gateways. Each carries the sender's tick, which stands for all that it has written so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Digest of the sender's candidate.
    pub(crate) digest: u64,
    /// Random identifier of the sender's instance: ticks of different instances cannot be compared.
    pub(crate) seat: u64,
    pub(crate) tick: u64,
    /// Whether the sender cannot yet say what it has written; its tick is then not valid.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) blind: bool,
    /// Positions of all the sender's counters; the receiver may send what is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) have: Option<Vec<Position>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pages: Vec<Page>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) asks: Vec<Query>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) said: Vec<QueryAnswer>,
}

/// Query: whether the receiver may have written these blocks after the tick `since`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Query {
    pub(crate) id: u64,
    /// The instance that sent the tick.
    pub(crate) of: u64,
    pub(crate) since: u64,
    pub(crate) nsid: u32,
    pub(crate) slba: u64,
    pub(crate) blocks: u32,
}

/// The answer to a [`Query`] with the same identifier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct QueryAnswer {
    pub(crate) id: u64,
    pub(crate) seen: Seen,
}

/// The durable data: the counters of this gateway's lives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredCounters {
    pub(crate) digest: u64,
    pub(crate) pages: Vec<Page>,
}

/// Maximum number of pages in a message and of cells in a page: 4 x 128 cells are under 32 KiB with their examples.
pub(crate) const MAX_PAGES: usize = 4;
pub(crate) const MAX_CELLS: usize = 128;
/// Maximum number of queries, and of answers, that are processed from one message.
pub(crate) const MAX_QUERIES: usize = 64;
