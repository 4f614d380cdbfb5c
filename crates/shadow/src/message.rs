//! What gateways say to each other, and what is kept: MessagePack with named fields.

use serde::{Deserialize, Serialize};

use crate::merge::{Page, Reach};
use crate::writes::Seen;

/// A note. Each says the sender's tick, which is its word on what it has written so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Note {
    /// Of the sender's candidate.
    pub(crate) digest: u64,
    /// Of the sender's instance, drawn when it started: ticks of two instances have nothing to do with each other.
    pub(crate) seat: u64,
    pub(crate) tick: u64,
    /// The sender cannot say yet what it has written: its tick is no word.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) blind: bool,
    /// How far the sender's books reach, all of them; what it lacks may be sent to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) have: Option<Vec<Reach>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pages: Vec<Page>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) asks: Vec<Ask>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) said: Vec<Said>,
}

/// Asks whether the receiver may have written blocks after it said a tick.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ask {
    pub(crate) id: u64,
    /// The instance that said the tick.
    pub(crate) of: u64,
    pub(crate) since: u64,
    pub(crate) nsid: u32,
    pub(crate) slba: u64,
    pub(crate) blocks: u32,
}

/// The answer to an [`Ask`], by its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Said {
    pub(crate) id: u64,
    pub(crate) seen: Seen,
}

/// What is kept through a loss of power: the books of this gateway's lives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub(crate) digest: u64,
    pub(crate) pages: Vec<Page>,
}

/// Most pages in a note, and cells in a page: 4 x 128 cells are under 32 KiB with their examples.
pub(crate) const MOST_PAGES: usize = 4;
pub(crate) const MOST_CELLS: usize = 128;
/// Most questions that one note asks, or is answered.
pub(crate) const MOST_ASKS: usize = 64;
