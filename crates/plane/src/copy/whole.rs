//! Whole states: they come in pieces, and are in force at their end or not at all.

use std::sync::Arc;

use super::check::{checked, possible, shared};
use super::{Copy, Refusal, Taken};
use crate::digest::Digest;
use crate::entry::{Cursor, Entry, Region, Version};
use crate::epochs::Epochs;
use crate::io::Conn;
use crate::message::WireEntry;
use crate::planted::{Plant, planted};
use crate::pool::Pool;
use crate::table::Table;

/// A whole state on its way.
#[derive(Clone, Debug)]
pub(super) struct Staging {
    upto: Cursor,
    floor: Version,
    epochs: Epochs,
    count: u64,
    digest: Digest,
    pieces: u32,
    bytes: usize,
    entries: Vec<Arc<Entry>>,
}

impl Staging {
    pub(super) fn new(upto: Cursor, floor: Version, epochs: Epochs, count: u64, digest: Digest) -> Staging {
        Staging { upto, floor, epochs, count, digest, pieces: 0, bytes: 0, entries: Vec::new() }
    }

    /// Whether it may come in place of what is held: it has all of that, or a later epoch began before its end.
    ///
    /// Danger: a writer that lost its disk may have lost changes which some have seen, and the region goes on without them. Harm:
    /// those who have seen them would never hear of anything else again if they stayed with them.
    fn follows(&self, held: Cursor) -> bool {
        if planted(Plant::EpochIgnored) {
            return self.upto.version >= held.version;
        }
        if planted(Plant::EmptyBelieved) && self.count == 0 {
            return true;
        }
        self.upto >= held && (self.epochs.holds(held) || self.upto.epoch > held.epoch)
    }
}

impl Copy {
    pub(super) fn begin(&mut self, region: Region, from: Conn, staging: Staging) -> Result<Taken, Refusal> {
        let most = self.bounds.entries;
        let part = self.part(region)?;
        if !staging.follows(part.cursor) {
            return Err(Refusal::Backward { region: region.0, upto: staging.upto, held: part.cursor });
        }
        let believed = planted(Plant::EmptyBelieved) && staging.count == 0;
        if !staging.epochs.is_rising() || staging.epochs.last() != Some(staging.upto.epoch) && !believed {
            return Err(Refusal::Versions { region: region.0, what: "epochs that do not rise to its own" });
        }
        if !possible(staging.upto) || staging.floor > staging.upto.version {
            return Err(Refusal::Versions { region: region.0, what: "a version that no writer reaches" });
        }
        // Deletions come with it.
        if staging.count > 2 * most as u64 {
            return Err(Refusal::Bound { region: region.0, what: "entries", most });
        }
        part.staging.insert(from, staging);
        Ok(Taken::Staged)
    }

    pub(super) fn piece(
        &mut self,
        region: Region,
        from: Conn,
        number: u32,
        entries: Vec<WireEntry>,
        mut pool: Option<&mut Pool>,
    ) -> Result<Taken, Refusal> {
        let bounds = self.bounds;
        let part = self.part(region)?;
        let Some(mut staging) = part.staging.remove(&from) else { return Err(Refusal::Piece(region.0)) };
        if number != staging.pieces || staging.entries.len() + entries.len() > staging.count as usize {
            return Err(Refusal::Piece(region.0));
        }
        staging.pieces += 1;
        let mut last = staging.entries.last().map_or(Version(0), |entry| entry.stamp.version);
        for entry in entries {
            let entry = checked(region, entry, last, staging.upto, &staging.epochs, &bounds)?;
            last = entry.stamp.version;
            staging.bytes += entry.size();
            if staging.bytes > 2 * bounds.bytes {
                return Err(Refusal::Bound { region: region.0, what: "bytes", most: bounds.bytes });
            }
            staging.entries.push(shared(entry, pool.as_deref_mut()));
            if planted(Plant::PiecesInForce) {
                part.table.put(staging.entries[staging.entries.len() - 1].clone());
            }
        }
        part.staging.insert(from, staging);
        Ok(Taken::Staged)
    }

    pub(super) fn end(&mut self, region: Region, from: Conn) -> Result<Taken, Refusal> {
        let (bounds, all) = (self.bounds, (self.len(), self.bytes()));
        let part = self.part(region)?;
        let Some(staging) = part.staging.remove(&from) else { return Err(Refusal::Piece(region.0)) };
        if staging.entries.len() as u64 != staging.count {
            return Err(Refusal::Piece(region.0));
        }
        let (held, upto) = (part.cursor, staging.upto);
        // It may have moved on since the whole state began.
        if upto < held && staging.epochs.holds(held) && !staging.follows(held) {
            return Ok(Taken::Known);
        }
        if !staging.follows(held) {
            return Err(Refusal::Backward { region: region.0, upto, held });
        }
        let mut table = Table::default();
        for entry in &staging.entries {
            table.put(entry.clone());
        }
        if table.digest() != staging.digest {
            return Err(Refusal::Digest { region: region.0, upto });
        }
        let (count, bytes) =
            (all.0 - part.table.len() + table.len(), all.1 - part.table.bytes() + table.bytes());
        if count > bounds.entries.max(all.0) {
            return Err(Refusal::Bound { region: region.0, what: "entries", most: bounds.entries });
        }
        if bytes > bounds.bytes.max(all.1) {
            return Err(Refusal::Bound { region: region.0, what: "bytes", most: bounds.bytes });
        }
        let gone = part.table.iter().filter(|before| table.get(&before.key).is_none()).cloned().collect();
        let other = |entry: &&Arc<Entry>| {
            let is_new = part.table.get(&entry.key).is_none_or(|before| before != *entry);
            entry.value.is_some() && is_new
        };
        let changed = staging.entries.iter().filter(other).cloned().collect();
        let abandoned = !staging.epochs.holds(held);
        part.table = table;
        (part.cursor, part.epochs, part.whole) = (upto, staging.epochs, false);
        let (floor, entries) = (staging.floor, staging.entries);
        Ok(Taken::Whole { region, upto, floor, entries, gone, changed, abandoned })
    }
}
