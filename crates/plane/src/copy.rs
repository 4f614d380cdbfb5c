//! What a gateway or a control machine holds of the state.

mod check;
mod terms;
mod whole;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::entry::{Cursor, Entry, Key, Region};
use crate::epochs::Epochs;
use crate::io::Conn;
use crate::message::Message;
use crate::pool::Pool;
use crate::snapshot::Snapshot;
use crate::table::Table;

use check::Came;
use whole::Staging;

pub use terms::{Bounds, Refusal, Taken};

/// Epochs and versions are below this: one that was damaged on its way must not bring a writer to the end of numbers.
const LAST: u64 = 1 << 60;

/// One region of a copy.
#[derive(Clone, Debug, Default)]
struct Part {
    cursor: Cursor,
    epochs: Epochs,
    table: Table,
    /// Whole states on their way, by connection.
    staging: BTreeMap<Conn, Staging>,
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
        let held = regions.iter().filter_map(|region| Some((*region, self.parts.get(region)?)));
        let wanted = held.clone().map(|(region, part)| (region, part.cursor)).collect();
        let doubted: Vec<Region> = held.filter(|(_, part)| part.whole).map(|(region, _)| region).collect();
        if doubted.is_empty() { Message::Subscribe(wanted) } else { Message::Renew { wanted, doubted } }
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
            let snapshot = Snapshot::new(*region, part.cursor, floor, epochs, digest, entries);
            Some((0..snapshot.len()).map(move |at| snapshot.message(at).body()))
        };
        self.parts.iter().filter_map(of).flatten().collect()
    }

    /// Takes a body that was kept, in the order in which they were kept. What is held already is passed over: a disk may have the
    /// changes before a whole state behind it.
    ///
    /// # Errors
    /// It cannot be read, or cannot follow what was restored before it.
    pub fn restore(&mut self, body: &[u8], pool: Option<&mut Pool>) -> Result<Taken, Refusal> {
        let Some(message) = Message::read(body) else { return Err(Refusal::Form) };
        if let Message::Delta { region, upto, .. } = &message
            && *upto <= self.cursor(*region)
        {
            return Ok(Taken::Known);
        }
        self.take(message, Conn(0), pool)
    }

    /// A connection has ended: what it had begun of whole states will not be completed.
    pub fn drop_staging(&mut self, from: Conn) {
        for part in self.parts.values_mut() {
            part.staging.remove(&from);
        }
    }

    /// Takes a message that came over a connection. Copies in one process may share entries through a pool.
    ///
    /// # Errors
    /// It was turned away, and what is held is as before; the connection it came on should end.
    pub fn take(&mut self, message: Message, from: Conn, pool: Option<&mut Pool>) -> Result<Taken, Refusal> {
        match message {
            Message::Delta { region, after, upto, epochs, entries, digest } => {
                self.delta(Came { region, after, upto, epochs, entries, digest }, pool)
            }
            Message::Begin { region, upto, floor, epochs, count, digest } => {
                self.begin(region, from, Staging::new(upto, floor, epochs, count, digest))
            }
            Message::Piece { region, number, entries } => self.piece(region, from, number, entries, pool),
            Message::End { region } => self.end(region, from),
            Message::Behind { region, at } => Ok(Taken::Behind { region, at }),
            Message::Busy { pause } => Ok(Taken::Busy(pause)),
            Message::Subscribe(_) | Message::Renew { .. } => Ok(Taken::Known),
        }
    }

    fn part(&mut self, region: Region) -> Result<&mut Part, Refusal> {
        self.parts.get_mut(&region).ok_or(Refusal::Region(region.0))
    }

    fn delta(&mut self, came: Came, pool: Option<&mut Pool>) -> Result<Taken, Refusal> {
        let (region, after, upto) = (came.region, came.after, came.upto);
        let (bounds, all) = (self.bounds, (self.len(), self.bytes()));
        let part = self.part(region)?;
        let held = part.cursor;
        // Danger: what is held is not to be trusted, and a whole state was asked for; changes behind it would hide that.
        let doubted = part.whole && part.staging.is_empty();
        if doubted || after > held || after.version > held.version {
            return Err(Refusal::Gap { region: region.0, after, held });
        }
        let mut line = part.epochs.clone();
        line.extend(&came.epochs);
        // Danger: a machine whose disk was put back, or whose writer is over, would take gateways back to what was.
        if upto.epoch < held.epoch || !line.holds(held) {
            return Err(Refusal::Backward { region: region.0, upto, held });
        }
        if upto.version < held.version {
            return Ok(Taken::Known);
        }
        let entries = came.check(held, &line, &bounds, pool)?;
        let (mut sum, mut count, mut bytes) = (part.table.digest(), all.0, all.1);
        // Danger: a writer may change a key twice at once. What stood before the second change is the first, not what is held; counted
        // twice, bytes fell below none, and a state well within its bounds was turned away, a machine's own disk among it.
        let mut latest: HashMap<&Key, &Arc<Entry>> = HashMap::with_capacity(entries.len());
        for entry in &entries {
            let before = latest.insert(&entry.key, entry).or_else(|| part.table.get(&entry.key));
            if let Some(before) = before.filter(|before| before.value.is_some()) {
                (sum, count, bytes) = (sum.without(before.digest()), count - 1, bytes - before.size());
            }
            if entry.value.is_some() {
                (sum, count, bytes) = (sum.with(entry.digest()), count + 1, bytes + entry.size());
            }
        }
        // What makes the state smaller is taken also where it is over a bound.
        if count > bounds.entries.max(all.0) {
            return Err(Refusal::Bound { region: region.0, what: "entries", most: bounds.entries });
        }
        if bytes > bounds.bytes.max(all.1) {
            return Err(Refusal::Bound { region: region.0, what: "bytes", most: bounds.bytes });
        }
        // Danger: something that the sender has was never sent here, and nothing later would bring it.
        if came.digest.is_some_and(|digest| digest != sum) {
            part.whole = true;
            return Err(Refusal::Digest { region: region.0, upto });
        }
        for entry in &entries {
            part.table.put(entry.clone());
        }
        (part.cursor, part.epochs) = (upto, line);
        Ok(Taken::Delta { region, upto, changed: entries, level: came.digest.is_some() })
    }
}
