//! What a copy takes at most, what becomes of a message, and why one is turned away.

use std::sync::Arc;

use crate::entry::{Cursor, Entry, Region, Version};

/// What a copy takes at most, over all regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Live entries.
    pub entries: usize,
    /// Bytes that they hold.
    pub bytes: usize,
    /// Bytes of a name.
    pub name: usize,
    /// Bytes of a value.
    pub value: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { entries: 200_000, bytes: 48 << 20, name: 128, value: 4096 }
    }
}

/// Why a message was turned away. What was held before is held on, whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It cannot be read.
    #[error("what was kept cannot be read")]
    Form,
    /// It is about a region that is not followed.
    #[error("region {0} is not followed here")]
    Region(u16),
    /// It begins behind what is held: something between would be missing.
    #[error("region {region}: it begins at {after}, and only {held} is held")]
    Gap {
        /// The region.
        region: u16,
        /// Where it begins.
        after: Cursor,
        /// What is held.
        held: Cursor,
    },
    /// It comes from an earlier epoch, or another line of history, than what is held.
    #[error(
        "region {region}: it ends at {upto}, which is before {held} that is held or on another line of history"
    )]
    Backward {
        /// The region.
        region: u16,
        /// Where it ends.
        upto: Cursor,
        /// What is held.
        held: Cursor,
    },
    /// An entry that cannot be: a foreign owner, an unknown kind, a version out of place, a wrong order.
    #[error("region {region}: entry {key} cannot be: {what}")]
    Entry {
        /// The region.
        region: u16,
        /// The entry's key.
        key: String,
        /// What is wrong.
        what: &'static str,
    },
    /// Versions or epochs that cannot be.
    #[error("region {region}: {what}")]
    Versions {
        /// The region.
        region: u16,
        /// What is wrong.
        what: &'static str,
    },
    /// It would pass a bound.
    #[error("region {region}: more than the {most} {what} that are taken")]
    Bound {
        /// The region.
        region: u16,
        /// Of what.
        what: &'static str,
        /// How many.
        most: usize,
    },
    /// What is held then is not what the sender has. The region is asked for whole.
    #[error("region {region}: the digest at {upto} is not the sender's")]
    Digest {
        /// The region.
        region: u16,
        /// Where.
        upto: Cursor,
    },
    /// A piece of a whole state that did not begin, or out of its order.
    #[error("region {0}: a piece of a whole state out of its order")]
    Piece(u16),
}

/// What became of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// In force now.
    Delta {
        /// The region.
        region: Region,
        /// Up to where it is held now.
        upto: Cursor,
        /// Entries that changed, deletions among them, in the order of versions.
        changed: Vec<Arc<Entry>>,
        /// It is all that the sender has.
        level: bool,
    },
    /// A whole state is in force now.
    Whole {
        /// The region.
        region: Region,
        /// Up to where it is held now.
        upto: Cursor,
        /// Deletions up to here are not in it.
        floor: Version,
        /// All its entries, deletions among them, in the order of versions.
        entries: Vec<Arc<Entry>>,
        /// Live entries of before that are no more, as they were.
        gone: Vec<Arc<Entry>>,
        /// The live ones that are other than before, in the order of versions.
        changed: Vec<Arc<Entry>>,
        /// What was held was of an epoch that its writer lost the end of, with its disk: the later epoch goes before it.
        abandoned: bool,
    },
    /// Kept until the rest has come.
    Staged,
    /// It was held already.
    Known,
    /// The sender knows less: nothing changes.
    Behind {
        /// The region.
        region: Region,
        /// What the sender has.
        at: Cursor,
    },
    /// The sender serves as many as it may.
    Busy(crate::Micros),
}
