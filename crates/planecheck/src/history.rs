//! What the writers wrote: each region's line of versions, and what a replay of it holds.

use std::collections::{BTreeMap, HashMap};

use crate::Micros;
use crate::fact::Cursor;
use crate::verdict::BreakKind;

/// No write.
pub(crate) const NONE: u32 = u32::MAX;
/// A hole in the versions is filled up to this many; a larger one is a number out of place.
const HOLE: u64 = 1 << 20;

/// One change, as its writer wrote it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Write {
    pub(crate) t: Micros,
    pub(crate) at: Cursor,
    pub(crate) key: u32,
    pub(crate) hash: Option<u64>,
    /// The same key's change before this one on the line.
    pub(crate) before: u32,
}

/// Where a cursor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Before the first change.
    Empty,
    /// At this change of the line.
    Line(u32),
    /// At a change that a later epoch has cut off.
    Off(u32),
}

#[derive(Debug, Default)]
struct Region {
    /// Epochs and their first versions.
    opened: Vec<(u64, u64)>,
    /// The change of each version, from 1.
    line: Vec<u32>,
    /// Live keys after each of them.
    live: Vec<u64>,
    /// The first version from which on the count is not known, as versions are missing.
    hole: Option<u64>,
}

impl Region {
    fn last_epoch(&self) -> Option<u64> {
        self.opened.last().map(|(epoch, _)| *epoch)
    }

    /// Whether a later epoch than this one begins at a version or before it.
    fn is_cut(&self, epoch: u64, version: u64) -> bool {
        self.opened.iter().find(|(later, _)| *later > epoch).is_some_and(|(_, first)| *first <= version)
    }
}

/// A break of a writer, in words.
pub(crate) type Found = Option<(BreakKind, String)>;

/// All writes of all regions.
#[derive(Debug, Default)]
pub(crate) struct History {
    writes: Vec<Write>,
    by_stamp: HashMap<(u16, u64, u64), u32>,
    regions: BTreeMap<u16, Region>,
    /// Each key's last change on its region's line.
    last: Vec<u32>,
}

impl History {
    pub(crate) fn len(&self) -> usize {
        self.writes.len()
    }

    pub(crate) fn write(&self, id: u32) -> &Write {
        &self.writes[id as usize]
    }

    /// Whether a change is on its region's line, and not cut off by a later epoch.
    pub(crate) fn is_on_line(&self, id: u32) -> bool {
        let at = self.write(id).at;
        let line = self.regions.get(&at.region).map_or(&[][..], |r| &r.line);
        (at.version as usize).checked_sub(1).and_then(|place| line.get(place)) == Some(&id)
    }

    /// The change of this stamp.
    pub(crate) fn find(&self, region: u16, epoch: u64, version: u64) -> Option<u32> {
        self.by_stamp.get(&(region, epoch, version)).copied()
    }

    /// A key's last change on the line.
    pub(crate) fn last(&self, key: u32) -> u32 {
        self.last.get(key as usize).copied().unwrap_or(NONE)
    }

    /// The latest change of a key at or before a version, from one of its changes back.
    pub(crate) fn back(&self, mut id: u32, version: u64) -> Option<u32> {
        while id != NONE && self.write(id).at.version > version {
            id = self.write(id).before;
        }
        (id != NONE).then_some(id)
    }

    /// Regions that were written, and their last cursors.
    pub(crate) fn ends(&self) -> impl Iterator<Item = Cursor> + '_ {
        self.regions.iter().map(|(region, r)| Cursor {
            region: *region,
            epoch: r.last_epoch().unwrap_or(0),
            version: r.line.len() as u64,
        })
    }

    /// Where a cursor stands; none if no writer ever stood there.
    pub(crate) fn place(&self, at: Cursor) -> Option<Place> {
        let Some(region) = self.regions.get(&at.region) else {
            return (at.version == 0 && at.epoch == 0).then_some(Place::Empty);
        };
        if at.epoch != 0 && !region.opened.iter().any(|(epoch, _)| *epoch == at.epoch) {
            return None;
        }
        if at.version == 0 {
            return Some(Place::Empty);
        }
        let on_line = region.line.get(at.version as usize - 1).copied().filter(|id| *id != NONE);
        let on_line = on_line.filter(|id| self.write(*id).at.epoch <= at.epoch);
        if let Some(id) = on_line.filter(|_| !region.is_cut(at.epoch, at.version)) {
            return Some(Place::Line(id));
        }
        let mut epochs =
            region.opened.iter().rev().map(|(epoch, _)| *epoch).filter(|epoch| *epoch <= at.epoch);
        epochs.find_map(|epoch| self.find(at.region, epoch, at.version)).map(Place::Off)
    }

    /// How many keys are live at a version of the line; none if versions before it are missing.
    pub(crate) fn live(&self, region: u16, version: u64) -> Option<u64> {
        let region = self.regions.get(&region)?;
        if region.hole.is_some_and(|hole| version >= hole) {
            return None;
        }
        region.live.get((version as usize).checked_sub(1)?).copied()
    }

    /// The last change of each key that changed behind a version.
    pub(crate) fn lasts_behind(&self, region: u16, version: u64) -> impl Iterator<Item = u32> + '_ {
        let line = self.regions.get(&region).map_or(&[][..], |r| &r.line);
        let behind = line.get(version as usize..).unwrap_or_default().iter().copied();
        behind.filter(|id| *id != NONE && self.last(self.write(*id).key) == *id)
    }

    /// An epoch opens. Changes of earlier ones from its first version on are off the line; how many.
    pub(crate) fn open(&mut self, region: u16, epoch: u64, first: u64, set_back: bool) -> (Found, u64) {
        let r = self.regions.entry(region).or_default();
        if let Some(last) = r.last_epoch().filter(|last| epoch <= *last) {
            let what = format!("epoch {epoch} opens after epoch {last} has");
            return (Some((BreakKind::Overtaken, what)), 0);
        }
        let next = r.line.len() as u64 + 1;
        r.opened.push((epoch, first));
        if first > next {
            self.skip(region, first);
            let what = format!("epoch {epoch} opens at {first}, and {next} is the next version");
            return (Some((BreakKind::Gap, what)), 0);
        }
        if first == next {
            return (None, 0);
        }
        let cut = next - first.max(1);
        self.cut(region, first.max(1));
        let what =
            format!("epoch {epoch} opens at {first}, and {cut} versions from there on were written before");
        (if set_back { None } else { Some((BreakKind::WrittenTwice, what)) }, cut)
    }

    /// A change.
    pub(crate) fn wrote(&mut self, mut write: Write) -> Found {
        let at = write.at;
        if self.find(at.region, at.epoch, at.version).is_some() {
            return Some((BreakKind::WrittenTwice, format!("{}.{} is written twice", at.epoch, at.version)));
        }
        let r = self.regions.entry(at.region).or_default();
        let (last, next) = (r.last_epoch(), r.line.len() as u64 + 1);
        let stamp = format!("{}.{}", at.epoch, at.version);
        let mut found = None;
        if last != Some(at.epoch) {
            let latest = last.map_or("none has".to_owned(), |last| format!("{last} is the latest that has"));
            found = Some((
                BreakKind::Overtaken,
                format!("{stamp} is written, and its epoch has not opened: {latest}"),
            ));
            if last.is_none_or(|last| last < at.epoch) {
                r.opened.push((at.epoch, at.version));
            }
        }
        if at.version > next {
            self.skip(at.region, at.version);
            found = found
                .or(Some((BreakKind::Gap, format!("{stamp} is written, and {next} is the next version"))));
        } else if at.version < next && found.is_none() {
            found = Some((
                BreakKind::WrittenTwice,
                format!("{stamp} is written, and {next} is the next version"),
            ));
        }
        let r = self.regions.entry(at.region).or_default();
        let extends = r.last_epoch() == Some(at.epoch) && at.version == r.line.len() as u64 + 1;
        let id = self.writes.len() as u32;
        if self.last.len() <= write.key as usize {
            self.last.resize(write.key as usize + 1, NONE);
        }
        write.before = self.last[write.key as usize];
        if extends {
            let was = write.before != NONE && self.writes[write.before as usize].hash.is_some();
            let live = r.live.last().copied().unwrap_or(0);
            r.live.push(live + u64::from(write.hash.is_some()) - u64::from(was));
            r.line.push(id);
            self.last[write.key as usize] = id;
        }
        self.by_stamp.insert((at.region, at.epoch, at.version), id);
        self.writes.push(write);
        found
    }

    /// Versions up to this one are missing.
    fn skip(&mut self, region: u16, upto: u64) {
        let Some(r) = self.regions.get_mut(&region) else { return };
        let next = r.line.len() as u64 + 1;
        r.hole.get_or_insert(next);
        let live = r.live.last().copied().unwrap_or(0);
        for _ in 0..(upto - next).min(HOLE) {
            r.line.push(NONE);
            r.live.push(live);
        }
    }

    /// Takes versions from here on off the line.
    fn cut(&mut self, region: u16, first: u64) {
        let Some(r) = self.regions.get_mut(&region) else { return };
        while r.line.len() as u64 >= first {
            let Some(id) = r.line.pop() else { return };
            r.live.pop();
            if id != NONE {
                let write = &self.writes[id as usize];
                self.last[write.key as usize] = write.before;
            }
        }
        r.hole = r.hole.filter(|hole| *hole < first);
    }
}
