//! The journal of work in hand: writes that went out to nodes and are not known to have ended.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Names the content of a write, so that a block that is read back proves whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] [u8; 16]);

impl Digest {
    /// Of a write's data.
    pub fn of(data: &[u8]) -> Digest {
        let mut half = [0; 16];
        half.copy_from_slice(&blake3::hash(data).as_bytes()[..16]);
        Digest(half)
    }
}

/// Blocks of a volume on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Volume.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks.
    pub blocks: u32,
    /// Shard.
    pub shard: u32,
}

impl Place {
    /// Whether two places share a block.
    pub fn meets(&self, other: &Place) -> bool {
        self.nsid == other.nsid
            && self.slba < other.slba + u64::from(other.blocks)
            && other.slba < self.slba + u64::from(self.blocks)
    }
}

/// A write that may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InHand {
    /// Number of the write in this gateway's journal; it never comes twice.
    pub number: u64,
    /// The client's name for it; 0: none.
    pub token: u64,
    /// Where.
    pub place: Place,
    /// What.
    pub digest: Digest,
    /// The node it was last sent to, and the start that the list told of it then. Compared for sameness only.
    pub node: String,
    /// That start.
    pub started: i64,
}

/// An entry of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// About to be sent: durable before its first byte goes out.
    Sent(InHand),
    /// Has ended, with an answer or without effect: nothing of it can run any more. Need not be durable at once.
    Over(u64),
}

/// A record as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note(pub Vec<u8>);

/// Why a journal cannot be believed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandError {
    /// A record that is none.
    #[error(
        "record {0} of the journal of work in hand cannot be read; all writes rest as if there were no journal"
    )]
    Form(usize),
}

/// Work in hand, and the journal that tells of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hand {
    open: BTreeMap<u64, InHand>,
    next: u64,
    /// Records since the journal was written anew.
    records: usize,
}

impl Hand {
    /// What a journal says, oldest record first.
    ///
    /// # Errors
    /// A record cannot be read: what it told of is not known.
    pub fn replay<'a>(records: impl IntoIterator<Item = &'a [u8]>) -> Result<Hand, HandError> {
        let mut hand = Hand::default();
        for (n, bytes) in records.into_iter().enumerate() {
            match rmp_serde::from_slice(bytes).map_err(|_| HandError::Form(n + 1))? {
                Record::Sent(work) => {
                    hand.next = hand.next.max(work.number + 1);
                    hand.open.insert(work.number, work);
                }
                Record::Over(number) => {
                    hand.open.remove(&number);
                }
            }
            hand.records += 1;
        }
        Ok(hand)
    }

    /// Writes that may have run, by number.
    pub fn open(&self) -> impl Iterator<Item = &InHand> {
        self.open.values()
    }

    /// A write is about to be sent; what the journal has to hold before it is. A repeat keeps the number of its first.
    pub fn sent(&mut self, work: InHand) -> Note {
        self.next = self.next.max(work.number + 1);
        self.open.insert(work.number, work.clone());
        self.note(&Record::Sent(work))
    }

    /// The number for a write that was never sent.
    pub fn number(&self) -> u64 {
        self.next
    }

    /// A write has ended; none if it was not in hand.
    pub fn over(&mut self, number: u64) -> Option<Note> {
        self.open.remove(&number)?;
        Some(self.note(&Record::Over(number)))
    }

    /// Whether most records tell of what is over, so that the journal is to be written anew with [`Hand::anew`].
    pub fn is_long(&self) -> bool {
        self.records > 1024 && self.records > 8 * self.open.len()
    }

    /// All records that the journal needs, in place of those it has.
    pub fn anew(&mut self) -> Vec<Note> {
        self.records = 0;
        let open: Vec<InHand> = self.open.values().cloned().collect();
        open.into_iter().map(|work| self.note(&Record::Sent(work))).collect()
    }

    fn note(&mut self, record: &Record) -> Note {
        self.records += 1;
        // A vector takes all that is written to it.
        Note(rmp_serde::to_vec_named(record).unwrap_or_default())
    }
}
