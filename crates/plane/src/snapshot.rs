//! A region's whole state as it was at one moment, in pieces that are encoded once for all who need them.

use std::sync::Arc;

use crate::digest::Digest;
use crate::entry::{Cursor, Entry, Region, Version};
use crate::epochs::Epochs;
use crate::message::{Message, WireEntry};

/// Bytes of entries in one message, about.
pub(crate) const PIECE: usize = 48 << 10;

/// Bytes of an entry on the wire, no fewer than it takes.
pub(crate) fn weight(entry: &Entry) -> usize {
    40 + entry.key.name.len() + entry.value.as_ref().map_or(0, |value| value.len())
}

/// A snapshot of a region.
#[derive(Debug)]
pub(crate) struct Snapshot {
    region: Region,
    pub(crate) upto: Cursor,
    floor: Version,
    epochs: Epochs,
    digest: Digest,
    entries: Vec<Arc<Entry>>,
    /// First entry of each piece.
    starts: Vec<usize>,
    frames: Vec<Option<Arc<[u8]>>>,
}

impl Snapshot {
    pub(crate) fn new(
        region: Region,
        upto: Cursor,
        floor: Version,
        epochs: Epochs,
        digest: Digest,
        entries: Vec<Arc<Entry>>,
    ) -> Snapshot {
        let (mut starts, mut bytes) = (Vec::new(), PIECE);
        for (at, entry) in entries.iter().enumerate() {
            if bytes >= PIECE {
                starts.push(at);
                bytes = 0;
            }
            bytes += weight(entry);
        }
        let frames = vec![None; starts.len() + 2];
        Snapshot { region, upto, floor, epochs, digest, entries, starts, frames }
    }

    /// How many frames it has.
    pub(crate) fn len(&self) -> usize {
        self.frames.len()
    }

    /// A message of it: its beginning, its pieces, its end.
    pub(crate) fn message(&self, at: usize) -> Message {
        let region = self.region;
        match at.checked_sub(1) {
            None => Message::Begin {
                region,
                upto: self.upto,
                floor: self.floor,
                epochs: self.epochs.clone(),
                count: self.entries.len() as u64,
                digest: self.digest,
            },
            Some(piece) if piece < self.starts.len() => {
                let end = self.starts.get(piece + 1).copied().unwrap_or(self.entries.len());
                let entries = &self.entries[self.starts[piece]..end];
                let entries = entries.iter().map(|entry| WireEntry::from_entry(entry)).collect();
                Message::Piece { region, number: piece as u32, entries }
            }
            Some(_) => Message::End { region },
        }
    }

    /// A message's frame, encoded when it is asked for first.
    pub(crate) fn frame(&mut self, at: usize) -> Option<Arc<[u8]>> {
        if self.frames.get(at)?.is_none() {
            self.frames[at] = self.message(at).frame();
        }
        self.frames[at].clone()
    }
}
