//! What copies and machines say to each other, in the frames of `peer`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::Micros;
use crate::digest::Digest;
use crate::entry::{Cursor, Entry, Epoch, Key, Kind, Region, Stamp, Version};
use crate::epochs::Epochs;

/// An entry as it is written; its owner is the region of the message that it stands in unless it says otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEntry(
    /// The owner.
    pub Region,
    /// The kind's number.
    pub u8,
    /// The name.
    pub Box<str>,
    /// Epoch.
    pub Epoch,
    /// Version.
    pub Version,
    /// The value, none for a deletion.
    pub Option<ByteBuf>,
);

impl WireEntry {
    /// As it is written.
    pub fn from_entry(entry: &Entry) -> WireEntry {
        WireEntry(
            entry.key.owner,
            entry.key.kind.number(),
            entry.key.name.clone(),
            entry.stamp.epoch,
            entry.stamp.version,
            entry.value.as_ref().map(|value| ByteBuf::from(value.to_vec())),
        )
    }

    /// As it is held; none if its kind is not known here.
    pub fn into_entry(self) -> Option<Entry> {
        let key = Key { owner: self.0, kind: Kind::of(self.1)?, name: self.2 };
        let stamp = Stamp { epoch: self.3, version: self.4 };
        Some(Entry { key, stamp, value: self.5.map(|value| value.into_vec().into_boxed_slice()) })
    }
}

/// A note of the plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a machine: serve me these regions behind these cursors.
    Subscribe(Vec<(Region, Cursor)>),
    /// To a machine: the same, where some of what is held was found to differ from a sender's and is wanted whole.
    Renew {
        /// Regions, and up to where they are held.
        wanted: Vec<(Region, Cursor)>,
        /// Those of them that are wanted whole, as of that cursor or later.
        doubted: Vec<Region>,
    },
    /// All that changed behind `after` up to `upto`, each key once, in the order of versions.
    Delta {
        /// The region.
        region: Region,
        /// The receiver has all up to here.
        after: Cursor,
        /// And now up to here.
        upto: Cursor,
        /// Epochs that began behind `after`'s.
        epochs: Epochs,
        /// The entries, deletions among them.
        entries: Vec<WireEntry>,
        /// Of the live entries, where `upto` is all that the sender has.
        digest: Option<Digest>,
    },
    /// A whole state begins; it counts at its end and not before.
    Begin {
        /// The region.
        region: Region,
        /// All changes up to here are in it.
        upto: Cursor,
        /// Deletions up to here are not in it.
        floor: Version,
        /// All epochs that are remembered.
        epochs: Epochs,
        /// Entries that come, deletions among them.
        count: u64,
        /// Of the live ones.
        digest: Digest,
    },
    /// A part of a whole state.
    Piece {
        /// The region.
        region: Region,
        /// Counted from 0.
        number: u32,
        /// The entries.
        entries: Vec<WireEntry>,
    },
    /// A whole state is complete.
    End {
        /// The region.
        region: Region,
    },
    /// The sender knows less than the receiver: nothing will come until it has caught up.
    Behind {
        /// The region.
        region: Region,
        /// Up to where the sender has it.
        at: Cursor,
    },
    /// The sender serves as many as it may: come back later or go elsewhere.
    Busy {
        /// Not before this, in microseconds.
        pause: Micros,
    },
}

impl Message {
    /// Bytes of its note as a frame; none if it is too long for one.
    pub fn frame(&self) -> Option<Arc<[u8]>> {
        peer::channel::note(crate::KIND, self.body()).map(Arc::from)
    }

    /// Its body.
    pub fn body(&self) -> Vec<u8> {
        peer::wire::encode(self)
    }

    /// Reads a body; none if it is not one of these.
    pub fn read(body: &[u8]) -> Option<Message> {
        peer::wire::decode(body)
    }
}

/// One key's change, as a client of the writer asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The owner, which has to be the writer's region.
    pub owner: Region,
    /// What it is about.
    pub kind: Kind,
    /// The name.
    pub name: Box<str>,
    /// The value; none deletes the key.
    pub value: Option<ByteBuf>,
}

/// Changes that are taken together or not at all. The body of a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The changes, each key once.
    pub changes: Vec<Change>,
}

/// The answer to a proposal: the stamps of its changes, which are durable at the writer.
pub type Proposed = Result<Vec<Stamp>, ProposalError>;

/// Why a proposal was not taken. Nothing of it has come or will come into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProposalError {
    /// This machine does not write.
    #[error("this machine is not the writer of region {region}; ask {writer}")]
    NotWriter {
        /// The region.
        region: u16,
        /// Its writer's name.
        writer: String,
    },
    /// The writer has not yet heard from all machines of its region what they hold of it.
    #[error("the writer recovers; it still waits for {0}")]
    Recovering(String),
    /// A later epoch of this region was seen: another has written since.
    #[error(
        "a later epoch ({0}) of this region was seen; this writer takes nothing until it is started anew"
    )]
    Superseded(u64),
    /// A change of another region's key.
    #[error("key {key} belongs to region {owner}; ask its writer")]
    Foreign {
        /// The key.
        key: String,
        /// Its owner.
        owner: u16,
    },
    /// A key, a value or all together are too large, or there are none.
    #[error("{what}; make it smaller than {most}")]
    Bound {
        /// What it is.
        what: String,
        /// What is taken.
        most: u64,
    },
    /// A key stands in it twice.
    #[error("key {0} stands in it twice; leave one out")]
    Twice(String),
    /// Too much is on its way to the disk.
    #[error("too many changes wait for the disk; ask again later")]
    Busy,
    /// The disk turned it down; the state stands as before.
    #[error("the change could not be made durable: {0}")]
    Disk(String),
    /// The question could not be read.
    #[error("the proposal cannot be read")]
    Form,
}
