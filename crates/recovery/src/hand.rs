//! The journal of in-flight writes: writes that were sent to nodes and are not known to have ended.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Digest of a write's data. Comparing it with the blocks read back shows whether the write ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] [u8; 16]);

impl Digest {
    /// Computes the digest of a write's data: the first 16 bytes of its BLAKE3 hash.
    pub fn of(data: &[u8]) -> Digest {
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&blake3::hash(data).as_bytes()[..16]);
        Digest(truncated)
    }
}

/// A range of blocks of a volume on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// First logical block.
    pub slba: u64,
    /// Number of blocks.
    pub blocks: u32,
    /// Shard that stores the blocks.
    pub shard: u32,
}

impl Place {
    /// Whether two ranges overlap.
    pub fn meets(&self, other: &Place) -> bool {
        self.nsid == other.nsid
            && self.slba < other.slba + u64::from(other.blocks)
            && other.slba < self.slba + u64::from(self.blocks)
    }
}

/// An in-flight write: it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InHand {
    /// Number of the write in this gateway's journal; numbers are unique while the journal holds them.
    pub number: u64,
    /// Idempotency token that the client gave the write; 0 if none.
    pub token: u64,
    /// Blocks that it writes.
    pub place: Place,
    /// Digest of its data.
    pub digest: Digest,
    /// Node that it was last sent to.
    pub node: String,
    /// Start of that node according to the node list at that time; compared for equality only.
    pub started: i64,
}

/// A journal record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The write is about to be sent. Must be durable before the first byte is sent.
    Sent(InHand),
    /// The write has ended, with an answer or without effect, and can no longer run. Need not be durable at once.
    Over(u64),
}

/// An encoded journal record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note(pub Vec<u8>);

/// Why a journal cannot be replayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandError {
    /// The record with this number (from 1) cannot be decoded.
    #[error(
        "record {0} of the journal of in-flight writes cannot be decoded; all writes wait as if the journal were missing"
    )]
    Form(usize),
}

/// The in-flight writes, and the state of their journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hand {
    in_flight: BTreeMap<u64, InHand>,
    next_number: u64,
    /// Records in the journal since it was last compacted.
    journal_records: usize,
}

impl Hand {
    /// Replays a journal, oldest record first.
    ///
    /// # Errors
    /// A record cannot be decoded, so the in-flight writes are not known.
    pub fn replay<'a>(records: impl IntoIterator<Item = &'a [u8]>) -> Result<Hand, HandError> {
        let mut hand = Hand::default();
        for (index, bytes) in records.into_iter().enumerate() {
            match rmp_serde::from_slice(bytes).map_err(|_| HandError::Form(index + 1))? {
                Record::Sent(write) => {
                    hand.next_number = hand.next_number.max(write.number + 1);
                    hand.in_flight.insert(write.number, write);
                }
                Record::Over(number) => {
                    hand.in_flight.remove(&number);
                }
            }
            hand.journal_records += 1;
        }
        Ok(hand)
    }

    /// In-flight writes in the order of their numbers.
    pub fn open(&self) -> impl Iterator<Item = &InHand> {
        self.in_flight.values()
    }

    /// Adds a write that is about to be sent, and returns the record that must be durable first. A retry keeps the number of
    /// the first attempt.
    pub fn sent(&mut self, write: InHand) -> Note {
        self.next_number = self.next_number.max(write.number + 1);
        self.in_flight.insert(write.number, write.clone());
        self.encode(&Record::Sent(write))
    }

    /// The number for a new write.
    pub fn number(&self) -> u64 {
        self.next_number
    }

    /// Removes a write that has ended, and returns the record to append; `None` if it was not in flight.
    pub fn over(&mut self, number: u64) -> Option<Note> {
        self.in_flight.remove(&number)?;
        Some(self.encode(&Record::Over(number)))
    }

    /// Whether most records are about writes that have ended, so that the journal should be compacted with [`Hand::anew`].
    pub fn is_long(&self) -> bool {
        self.journal_records > 1024 && self.journal_records > 8 * self.in_flight.len()
    }

    /// Returns the records of a compacted journal, which replace all that it holds.
    pub fn anew(&mut self) -> Vec<Note> {
        self.journal_records = 0;
        let writes: Vec<InHand> = self.in_flight.values().cloned().collect();
        writes.into_iter().map(|write| self.encode(&Record::Sent(write))).collect()
    }

    fn encode(&mut self, record: &Record) -> Note {
        self.journal_records += 1;
        // Writing to a vector does not fail.
        Note(rmp_serde::to_vec_named(record).unwrap_or_default())
    }
}
