//! What gateways say to each other about repeats: one note of `peer`, of [`KIND`].

use std::num::NonZeroU32;

use peer::{Kind, Life};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The kind of this package's notes.
pub const KIND: Kind = Kind(3);
/// The longest body that is read, in bytes.
pub const MOST_BODY: usize = 16 << 10;
/// The longest list in a body that is read.
pub const MOST_LIST: usize = 256;

/// A gateway lacks rights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Rises within the asker's life.
    pub number: u64,
    /// The shard; none: rights over all shards.
    #[serde(default)]
    pub shard: Option<u32>,
    /// Thousandths of a right.
    pub amount: u64,
    /// What waits for them is worth, aged; for the giver to weigh wants with.
    #[serde(default)]
    pub worth: f64,
    /// The asker's life.
    pub life: Life,
}

/// A gateway has taken rights off its account for another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The want's number.
    pub number: u64,
    /// The want's shard.
    #[serde(default)]
    pub shard: Option<u32>,
    /// Thousandths, and the microseconds that they may live from the giving.
    pub parts: Vec<(u64, Micros)>,
    /// The asker's life, from the want.
    pub life: Life,
    /// They were given under what holds while a node of the shard recovers.
    #[serde(default)]
    pub recovering: bool,
}

/// What a gateway has seen itself of a shard; never what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The shard.
    pub shard: u32,
    /// It sees a node of it cold, silent or refusing.
    #[serde(default)]
    pub seen: bool,
    /// Of what ended there in its last window or quarter of one, if that shows trouble: served, and refused or unserved.
    #[serde(default)]
    pub served: u32,
    /// See `served`.
    #[serde(default)]
    pub bad: u32,
}

/// Keys of requests that ended unserved at the sender of late, as a filter's bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bits {
    /// The filter's size in bits; a filter of another size is passed over.
    pub size: Option<NonZeroU32>,
    /// Places of the bits that are set, two bytes each (little endian), while that is shorter; else the whole filter.
    #[serde(default)]
    pub places: bool,
    /// See `places`.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// One note.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Rights asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<Want>,
    /// Rights given.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<Grant>,
    /// What the sender has seen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub facts: Vec<Fact>,
    /// What ended unserved there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unserved: Option<Bits>,
}

impl Word {
    /// Reads a body; says why not.
    pub fn read(body: &[u8]) -> Result<Word, &'static str> {
        if body.len() > MOST_BODY {
            return Err("a note about repeats is longer than is read");
        }
        let word: Word = peer::wire::decode(body).ok_or("a note about repeats cannot be read")?;
        let grants = word.grants.iter().map(|g| g.parts.len()).max().unwrap_or(0);
        if [word.wants.len(), word.grants.len(), word.facts.len(), grants].into_iter().any(|n| n > MOST_LIST)
        {
            return Err("a note about repeats has a list that is too long");
        }
        Ok(word)
    }

    /// Nothing to say.
    pub fn is_empty(&self) -> bool {
        *self == Word::default()
    }
}
