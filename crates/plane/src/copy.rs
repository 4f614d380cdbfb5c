//! What a gateway or a control machine holds of the state.

mod terms;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::digest::Digest;
use crate::entry::{Cursor, Entry, Key, Region, Version};
use crate::epochs::Epochs;
use crate::frozen::Frozen;
use crate::message::{Message, WireEntry};
use crate::pool::Pool;
use crate::table::Table;

pub use terms::{Bounds, Refusal, Taken};

/// A whole state on its way.
#[derive(Clone, Debug)]
struct Staging {
    upto: Cursor,
    floor: Version,
    epochs: Epochs,
    count: u64,
    digest: Digest,
    pieces: u32,
    bytes: usize,
    entries: Vec<Arc<Entry>>,
}

/// One region of a copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    pub(crate) cursor: Cursor,
    pub(crate) epochs: Epochs,
    pub(crate) table: Table,
    staging: Option<Staging>,
    /// What is held was found to differ from a sender's: all of it is asked for.
    whole: bool,
}

/// The state as one gateway or machine holds it. It never goes back.
#[derive(Clone, Debug)]
pub struct Copy {
    parts: BTreeMap<Region, Part>,
    bounds: Bounds,
}

impl Copy {
    /// An empty one that follows these regions.
    pub fn new(regions: impl IntoIterator<Item = Region>, bounds: Bounds) -> Copy {
        Copy { parts: regions.into_iter().map(|region| (region, Part::default())).collect(), bounds }
    }

    /// The regions it follows.
    pub fn regions(&self) -> impl Iterator<Item = Region> + '_ {
        self.parts.keys().copied()
    }

    /// Up to where it has a region.
    pub fn cursor(&self, region: Region) -> Cursor {
        self.parts.get(&region).map_or(Cursor::default(), |part| part.cursor)
    }

    /// The epochs of a region.
    pub fn epochs(&self, region: Region) -> Epochs {
        self.parts.get(&region).map(|part| part.epochs.clone()).unwrap_or_default()
    }

    /// The live entries of a region.
    pub fn table(&self, region: Region) -> Option<&Table> {
        self.parts.get(&region).map(|part| &part.table)
    }

    /// A live entry.
    pub fn get(&self, key: &Key) -> Option<&Arc<Entry>> {
        self.parts.get(&key.owner)?.table.get(key)
    }

    /// Live entries over all regions.
    pub fn len(&self) -> usize {
        self.parts.values().map(|part| part.table.len()).sum()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of all live entries.
    pub fn bytes(&self) -> usize {
        self.parts.values().map(|part| part.table.bytes()).sum()
    }

    /// What to ask a machine for: what is missing behind what is held, of these regions.
    pub fn subscribe(&self, regions: &[Region]) -> Message {
        let of = |region: &Region| {
            let part = self.parts.get(region)?;
            Some((*region, if part.whole { Cursor::default() } else { part.cursor }))
        };
        Message::Subscribe(regions.iter().filter_map(of).collect())
    }

    /// Bodies that bring another copy to where this one is, deletions apart.
    pub fn export(&self) -> Vec<Vec<u8>> {
        let of = |(region, part): (&Region, &Part)| {
            if part.cursor == Cursor::default() {
                return None;
            }
            let mut entries: Vec<_> = part.table.iter().cloned().collect();
            entries.sort_unstable_by_key(|entry| entry.stamp.version);
            let (floor, epochs, digest) = (part.cursor.version, part.epochs.clone(), part.table.digest());
            let frozen = Frozen::new(*region, part.cursor, floor, epochs, digest, entries);
            Some((0..frozen.len()).map(move |at| frozen.message(at).body()))
        };
        self.parts.iter().filter_map(of).flatten().collect()
    }

    /// A connection has ended: what it had begun of whole states will not be completed.
    pub fn drop_staging(&mut self, regions: &[Region]) {
        for region in regions {
            if let Some(part) = self.parts.get_mut(region) {
                part.staging = None;
            }
        }
    }

    /// Takes a message. Copies in one process may share entries through a pool.
    ///
    /// # Errors
    /// It was turned away, and what is held is as before; the connection it came on should end.
    pub fn take(&mut self, message: Message, pool: Option<&mut Pool>) -> Result<Taken, Refusal> {
        match message {
            Message::Delta { region, after, upto, epochs, entries, digest } => {
                let came = Came { region, after, upto, epochs, entries, digest };
                self.delta(came, pool)
            }
            Message::Begin { region, upto, floor, epochs, count, digest } => {
                self.begin(region, upto, Staging {
                    upto,
                    floor,
                    epochs,
                    count,
                    digest,
                    pieces: 0,
                    bytes: 0,
                    entries: Vec::new(),
                })
            }
            Message::Piece { region, number, entries } => self.piece(region, number, entries, pool),
            Message::End { region } => self.end(region),
            Message::Behind { region, at } => Ok(Taken::Behind { region, at, diverged: false }),
            Message::Diverged { region, at } => Ok(Taken::Behind { region, at, diverged: true }),
            Message::Busy { pause } => Ok(Taken::Busy(pause)),
            Message::Subscribe(_) => Ok(Taken::Known),
        }
    }

    fn part(&mut self, region: Region) -> Result<&mut Part, Refusal> {
        self.parts.get_mut(&region).ok_or(Refusal::Region(region.0))
    }

    fn delta(&mut self, came: Came, pool: Option<&mut Pool>) -> Result<Taken, Refusal> {
        let (region, upto) = (came.region, came.upto);
        let (bounds, held) = (self.bounds, (self.len(), self.bytes()));
        let part = self.part(region)?;
        // Danger: a whole state was asked for because what is held is not to be trusted; changes behind it would hide that.
        if part.whole && part.staging.is_none() && came.after != Cursor::default() {
            return Err(Refusal::Gap { region: region.0, after: came.after, held: Cursor::default() });
        }
        if came.after > part.cursor {
            return Err(Refusal::Gap { region: region.0, after: came.after, held: part.cursor });
        }
        let mut line = part.epochs.clone();
        line.extend(&came.epochs);
        // Danger: a machine whose disk was put back, or whose writer is over, would take gateways back to what was.
        if upto.epoch < part.cursor.epoch || !line.holds(part.cursor) {
            return Err(Refusal::Backward { region: region.0, upto, held: part.cursor });
        }
        if upto.version < part.cursor.version {
            return Ok(Taken::Known);
        }
        let entries = came.check(part.cursor, &line, &bounds, pool)?;
        let (mut more, mut bytes) = held;
        for entry in &entries {
            more += 1;
            bytes += entry.size();
        }
        if more > bounds.entries && part.table.len() + entries.len() > bounds.entries {
            return Err(Refusal::Bound { region: region.0, what: "entries", most: bounds.entries });
        }
        if bytes > bounds.bytes {
            return Err(Refusal::Bound { region: region.0, what: "bytes", most: bounds.bytes });
        }
        if let Some(digest) = came.digest {
            let mut sum = part.table.digest();
            for entry in &entries {
                let before = part.table.get(&entry.key).map(|before| before.digest());
                sum = before.map_or(sum, |before| sum.without(before));
                sum = if entry.value.is_some() { sum.with(entry.digest()) } else { sum };
            }
            // Danger: something that the sender has was never sent here, and nothing later would bring it.
            if sum != digest {
                part.whole = true;
                return Err(Refusal::Digest { region: region.0, upto });
            }
        }
        for entry in &entries {
            part.table.put(entry.clone());
        }
        (part.cursor, part.epochs) = (upto, line);
        Ok(Taken::Delta { region, upto, changed: entries, level: came.digest.is_some() })
    }

    fn begin(&mut self, region: Region, upto: Cursor, staging: Staging) -> Result<Taken, Refusal> {
        let bounds = self.bounds;
        let part = self.part(region)?;
        if upto < part.cursor || !staging.epochs.holds(part.cursor) {
            return Err(Refusal::Backward { region: region.0, upto, held: part.cursor });
        }
        if !staging.epochs.is_rising() || staging.epochs.last() != Some(upto.epoch) {
            return Err(Refusal::Versions { region: region.0, what: "epochs that do not rise to its own" });
        }
        if staging.count > 2 * bounds.entries as u64 {
            return Err(Refusal::Bound { region: region.0, what: "entries", most: bounds.entries });
        }
        part.staging = Some(staging);
        Ok(Taken::Staged)
    }

    fn piece(
        &mut self,
        region: Region,
        number: u32,
        entries: Vec<WireEntry>,
        mut pool: Option<&mut Pool>,
    ) -> Result<Taken, Refusal> {
        let bounds = self.bounds;
        let part = self.part(region)?;
        let Some(mut staging) = part.staging.take() else { return Err(Refusal::Piece(region.0)) };
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
        }
        part.staging = Some(staging);
        Ok(Taken::Staged)
    }

    fn end(&mut self, region: Region) -> Result<Taken, Refusal> {
        let (bounds, all) = (self.bounds, self.len());
        let part = self.part(region)?;
        let Some(staging) = part.staging.take() else { return Err(Refusal::Piece(region.0)) };
        if staging.entries.len() as u64 != staging.count {
            return Err(Refusal::Piece(region.0));
        }
        // It may have moved on since the whole state began.
        if staging.upto < part.cursor {
            return Ok(Taken::Known);
        }
        let mut table = Table::default();
        for entry in &staging.entries {
            table.put(entry.clone());
        }
        if table.digest() != staging.digest {
            return Err(Refusal::Digest { region: region.0, upto: staging.upto });
        }
        if all - part.table.len() + table.len() > bounds.entries {
            return Err(Refusal::Bound { region: region.0, what: "entries", most: bounds.entries });
        }
        let gone: Vec<_> = part.table.iter().filter(|before| table.get(&before.key).is_none()).cloned().collect();
        let other = |entry: &&Arc<Entry>| part.table.get(&entry.key).is_none_or(|b| b.stamp != entry.stamp);
        let changed = table.iter().filter(other).count();
        part.table = table;
        (part.cursor, part.epochs, part.whole) = (staging.upto, staging.epochs, false);
        Ok(Taken::Whole {
            region,
            upto: staging.upto,
            floor: staging.floor,
            entries: staging.entries,
            gone,
            changed,
        })
    }
}

/// A delta as it came.
struct Came {
    region: Region,
    after: Cursor,
    upto: Cursor,
    epochs: Epochs,
    entries: Vec<WireEntry>,
    digest: Option<Digest>,
}

impl Came {
    /// Its entries behind what is held, each one possible; or why it is none that is taken.
    fn check(
        &self,
        held: Cursor,
        line: &Epochs,
        bounds: &Bounds,
        mut pool: Option<&mut Pool>,
    ) -> Result<Vec<Arc<Entry>>, Refusal> {
        let region = self.region.0;
        let versions = |what| Refusal::Versions { region, what };
        if self.upto < self.after || self.upto.version < self.after.version {
            return Err(versions("it ends before it begins"));
        }
        if !self.epochs.is_rising() || line.last().unwrap_or_default() < self.upto.epoch {
            return Err(versions("epochs that do not rise to its own"));
        }
        if self.entries.len() as u64 > self.upto.version.0 - self.after.version.0 {
            return Err(versions("more entries than versions"));
        }
        let mut last = self.after.version;
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            let entry = checked(self.region, entry.clone(), last, self.upto, line, bounds)?;
            last = entry.stamp.version;
            if entry.stamp.version > held.version {
                entries.push(shared(entry, pool.as_deref_mut()));
            }
        }
        Ok(entries)
    }
}

fn shared(entry: Entry, pool: Option<&mut Pool>) -> Arc<Entry> {
    match pool {
        Some(pool) => pool.share(entry),
        None => Arc::new(entry),
    }
}

/// An entry of a region behind a version and up to a cursor.
fn checked(
    region: Region,
    entry: WireEntry,
    after: Version,
    upto: Cursor,
    line: &Epochs,
    bounds: &Bounds,
) -> Result<Entry, Refusal> {
    let key = || format!("{}/{}/{}", entry.0.0, entry.1, &entry.2[..entry.2.floor_char_boundary(64)]);
    let cannot = |what| Refusal::Entry { region: region.0, key: key(), what };
    if entry.0 != region {
        return Err(cannot("its owner is another region"));
    }
    if entry.2.is_empty() || entry.2.len() > bounds.name {
        return Err(cannot("its name is empty or too long"));
    }
    if entry.5.as_ref().is_some_and(|value| value.len() > bounds.value) {
        return Err(cannot("its value is too long"));
    }
    let stamp = Cursor { epoch: entry.3, version: entry.4 };
    if stamp.version <= after || stamp.version > upto.version {
        return Err(cannot("its version is out of place"));
    }
    if stamp.epoch > upto.epoch || !line.holds(stamp) {
        return Err(cannot("its epoch is out of place"));
    }
    let unknown = cannot("its kind is not known");
    entry.into_entry().ok_or(unknown)
}
