//! Serving copies: to each what changed behind its cursor, as fast as it takes it and no faster than the machine may send.

mod options;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use crate::Micros;
use crate::copy::Copy;
use crate::entry::{Cursor, Region};
use crate::index::Index;
use crate::io::{Conn, Counts};
use crate::message::{Message, WireEntry};
use crate::planted::{Plant, planted};
use crate::snapshot::{PIECE, Snapshot};

pub use options::FeedOptions;

/// Deltas that are cached for others at the same cursor.
const CACHED_DELTAS: usize = 64;
/// Snapshots of a region that are held for their readers at a time.
const SNAPSHOTS: usize = 2;

/// A subscriber's position in one region.
#[derive(Clone, Debug)]
enum Position {
    /// It has all up to here.
    At(Cursor),
    /// It gets the whole state, and this frame next.
    Whole(Rc<RefCell<Snapshot>>, usize),
    /// It knows more than this machine, as far as is known.
    Ahead(Cursor),
    /// Asked for, and not answered yet.
    Asked(Cursor),
    /// Asked for whole: what it holds up to here is not to be trusted, and it takes nothing that ends before.
    Doubted(Cursor),
}

#[derive(Debug, Default)]
struct Subscriber {
    positions: BTreeMap<Region, Position>,
    unsent: usize,
    /// It is queued for what it gets next.
    is_queued: bool,
    /// Which region comes first next, so that none waits for another.
    turn: usize,
}

/// What a feed serves from: the copy, and its index by version.
pub(crate) struct Source<'a> {
    /// The copy.
    pub(crate) copy: &'a Copy,
    /// Its entries by version.
    pub(crate) indexes: &'a BTreeMap<Region, Index>,
}

/// A delta that was encoded for one subscriber and serves the others at the same cursor.
#[derive(Clone, Debug)]
struct CachedDelta {
    upto: Cursor,
    frame: Arc<[u8]>,
}

/// The copies that a machine serves. It holds for each of them its cursors and nothing that waits.
#[derive(Debug)]
pub struct Feed {
    options: FeedOptions,
    subscribers: BTreeMap<Conn, Subscriber>,
    queue: VecDeque<Conn>,
    deltas: HashMap<(Region, Cursor), CachedDelta>,
    snapshots: BTreeMap<Region, VecDeque<Rc<RefCell<Snapshot>>>>,
    /// Bytes that may go out now, and when that was so.
    tokens: i64,
    filled: Micros,
    counts: Counts,
}

impl Feed {
    /// A feed that serves nobody yet.
    pub fn new(options: FeedOptions, now: Micros) -> Feed {
        Feed {
            options,
            subscribers: BTreeMap::new(),
            queue: VecDeque::new(),
            deltas: HashMap::new(),
            snapshots: BTreeMap::new(),
            tokens: 0,
            filled: now,
            counts: Counts::default(),
        }
    }

    /// How many copies it serves.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether it serves none.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Bytes that wait to be taken by a copy.
    pub fn unsent(&self, conn: Conn) -> usize {
        self.subscribers.get(&conn).map_or(0, |s| s.unsent)
    }

    /// Whether it serves this connection.
    pub fn serves(&self, conn: Conn) -> bool {
        self.subscribers.contains_key(&conn)
    }

    /// A copy asks for regions behind cursors. What it is told if it cannot be served; for a machine of the site there is always
    /// a place, as the others' state comes through it.
    pub fn subscribe(
        &mut self,
        conn: Conn,
        wanted: Vec<(Region, Cursor)>,
        reserved: bool,
    ) -> Option<Message> {
        let full = !reserved && self.subscribers.len() >= self.options.subscribers;
        if !self.subscribers.contains_key(&conn) && full {
            return Some(Message::Busy { pause: self.options.pause });
        }
        let subscriber = self.subscribers.entry(conn).or_default();
        for (region, cursor) in wanted {
            subscriber.positions.insert(region, Position::Asked(cursor));
        }
        self.queue(conn);
        None
    }

    /// A copy does not trust what it holds of regions that it has just asked for: it wants them whole.
    pub fn doubts(&mut self, conn: Conn, regions: &[Region]) {
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        for region in regions {
            if let Some(position) = subscriber.positions.get_mut(region)
                && let Position::Asked(cursor) = *position
            {
                *position = Position::Doubted(cursor);
            }
        }
    }

    /// A copy has taken bytes.
    pub fn taken(&mut self, conn: Conn, bytes: usize) {
        if let Some(subscriber) = self.subscribers.get_mut(&conn) {
            subscriber.unsent = subscriber.unsent.saturating_sub(bytes);
            self.queue(conn);
        }
    }

    /// Other bytes go to the copy beside this feed's, and are taken with them.
    pub fn spoke(&mut self, conn: Conn, bytes: usize) {
        if let Some(subscriber) = self.subscribers.get_mut(&conn) {
            subscriber.unsent += bytes;
        }
    }

    /// A copy is gone.
    pub fn ended(&mut self, conn: Conn) {
        self.subscribers.remove(&conn);
    }

    /// A region has changed: its copies are told in their turn.
    pub fn advanced(&mut self, region: Region) {
        self.deltas.retain(|(of, _), _| *of != region);
        let conns: Vec<Conn> = self.subscribers.keys().copied().collect();
        for conn in conns {
            self.queue(conn);
        }
    }

    /// A region was replaced by a whole state: what was made of the one before is no more, and all who stood at its end are told
    /// the digest of this one, so that those who hold other content ask for all of it.
    pub fn replaced(&mut self, region: Region) {
        self.snapshots.remove(&region);
        for subscriber in self.subscribers.values_mut() {
            if let Some(position) = subscriber.positions.get_mut(&region)
                && let Position::At(cursor) = *position
            {
                *position = Position::Asked(cursor);
            }
        }
        self.advanced(region);
    }

    /// When it wants to send next; none while nobody waits.
    pub fn next_due(&self) -> Option<Micros> {
        if self.queue.is_empty() {
            return None;
        }
        let lack = (1 - self.tokens).max(0);
        Some(self.filled + lack * 1_000_000 / self.options.rate.max(1) as i64 + 1)
    }

    /// Sends what may go out now, one message to each in turn; connections that hold a whole state for too long are given
    /// back to be ended.
    pub(crate) fn pump(
        &mut self,
        now: Micros,
        source: &Source,
        write: &mut dyn FnMut(Conn, Arc<[u8]>),
    ) -> Vec<Conn> {
        let most = (self.options.rate / 10).max(2 * PIECE as u64) as i64;
        let rate = self.options.rate.max(1) as i64;
        if now - self.filled >= 1_000_000 {
            (self.tokens, self.filled) = (most, now);
        } else if now > self.filled {
            let bytes = (now - self.filled) * rate / 1_000_000;
            // Time that is less than a byte is kept for the next.
            self.filled += bytes * 1_000_000 / rate;
            self.tokens = (self.tokens + bytes).min(most);
        }
        let mut ended = Vec::new();
        while self.tokens > 0 {
            let Some(conn) = self.queue.pop_front() else { break };
            let Some(mut subscriber) = self.subscribers.remove(&conn) else { continue };
            subscriber.is_queued = false;
            // Danger: what waits for a reader that takes nothing would pile up here. It gets its next message when it has taken
            // the last; what changes meanwhile is one cursor.
            let sent = (subscriber.unsent < self.options.unsent || planted(Plant::QueueUnbounded))
                .then(|| self.next(&mut subscriber, source, &mut ended))
                .flatten();
            if let Some(frame) = &sent {
                subscriber.unsent += frame.len();
                self.tokens -= frame.len() as i64;
                self.counts.notes_out += 1;
                self.counts.bytes_out += frame.len() as u64;
                write(conn, frame.clone());
            }
            self.subscribers.insert(conn, subscriber);
            if sent.is_some() {
                self.queue(conn);
            }
        }
        ended
    }

    fn queue(&mut self, conn: Conn) {
        if let Some(subscriber) = self.subscribers.get_mut(&conn).filter(|s| !s.is_queued) {
            subscriber.is_queued = true;
            self.queue.push_back(conn);
        }
    }

    /// The next message for a copy.
    fn next(&mut self, s: &mut Subscriber, source: &Source, ended: &mut Vec<Conn>) -> Option<Arc<[u8]>> {
        let regions: Vec<Region> = s.positions.keys().copied().collect();
        for n in 0..regions.len() {
            let region = regions[(s.turn + n) % regions.len()];
            let position = s.positions.get(&region).cloned()?;
            if let Some((next, frame)) = self.step(region, position, source, ended) {
                s.positions.insert(region, next);
                s.turn = (s.turn + n + 1) % regions.len();
                return Some(frame);
            }
        }
        None
    }

    fn step(
        &mut self,
        region: Region,
        position: Position,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<(Position, Arc<[u8]>)> {
        let at = source.copy.cursor(region);
        let doubted = matches!(position, Position::Doubted(_));
        let (cursor, asked) = match position {
            Position::At(cursor) => (cursor, false),
            Position::Ahead(cursor) if cursor > at || at == Cursor::default() => return None,
            Position::Ahead(cursor) | Position::Asked(cursor) | Position::Doubted(cursor) => (cursor, true),
            Position::Whole(snapshot, number) => {
                let frame = snapshot.borrow_mut().frame(number)?;
                let upto = snapshot.borrow().upto;
                let last = number + 1 == snapshot.borrow().len();
                // Then its level, with the digest, as for whoever asks anew.
                return Some((
                    if last { Position::Asked(upto) } else { Position::Whole(snapshot, number + 1) },
                    frame,
                ));
            }
        };
        let empty = at == Cursor::default() && cursor != at;
        let believed = asked && empty && planted(Plant::EmptyBelieved);
        let earlier = cursor.epoch > at.epoch && cursor.version <= at.version && planted(Plant::EpochIgnored);
        if (cursor > at || at == Cursor::default()) && !believed && !earlier {
            // Danger: a machine that started empty, or from an old disk, would be believed. It says what it knows and sends nothing.
            return asked
                .then(|| Message::Behind { region, at }.frame())
                .flatten()
                .map(|f| (Position::Ahead(cursor), f));
        }
        if cursor == at && !asked {
            return None;
        }
        let index = source.indexes.get(&region)?;
        // Danger: a cursor on a line that was lost with its writer's disk has changes that this region does not have. It gets the
        // region as it is.
        let strayed = !source.copy.epochs(region).holds(cursor) || believed || earlier;
        if cursor == Cursor::default() || cursor.version < index.floor() || strayed || doubted {
            return self.whole(region, cursor, source, ended);
        }
        if let Some(delta) = self.deltas.get(&(region, cursor)) {
            return Some((Position::At(delta.upto), delta.frame.clone()));
        }
        let Some(delta) = self.delta(region, cursor, source) else {
            return self.whole(region, cursor, source, ended);
        };
        if self.deltas.len() >= CACHED_DELTAS {
            self.deltas.clear();
        }
        self.deltas.insert((region, cursor), delta.clone());
        Some((Position::At(delta.upto), delta.frame))
    }

    fn whole(
        &mut self,
        region: Region,
        held: Cursor,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<(Position, Arc<[u8]>)> {
        let snapshot = self.snapshot(region, held, source, ended)?;
        self.counts.wholes += 1;
        self.step(region, Position::Whole(snapshot, 0), source, ended)
    }

    /// All that changed behind a cursor, if one message holds it.
    ///
    /// Danger: each key comes once, at its latest version. A reader that had a part of it would hold a state that never was, without
    /// the keys whose versions of before are in none of the parts, and would serve it on. Harm: who missed much gets the whole state.
    fn delta(&mut self, region: Region, after: Cursor, source: &Source) -> Option<CachedDelta> {
        let (upto, index) = (source.copy.cursor(region), source.indexes.get(&region)?);
        let skipped = usize::from(planted(Plant::ResumeSkips));
        let fitting = index.fitting(after.version)?.into_iter().skip(skipped);
        let entries: Vec<WireEntry> = fitting.map(WireEntry::from_entry).collect();
        self.counts.entries_out += entries.len() as u64;
        let epochs = source.copy.epochs(region).between(after.epoch, upto.epoch);
        let digest = source.copy.table(region).map(|table| table.digest());
        let message = Message::Delta { region, after, upto, epochs, entries, digest };
        Some(CachedDelta { upto, frame: message.frame()? })
    }

    /// The whole state as it is now, or as it was a few changes ago but not before what its reader holds.
    fn snapshot(
        &mut self,
        region: Region,
        held: Cursor,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<Rc<RefCell<Snapshot>>> {
        let index = source.indexes.get(&region)?;
        let all = self.snapshots.entry(region).or_default();
        if let Some(last) = all.back() {
            let upto = last.borrow().upto;
            // What has changed since then has to fit behind it, or its readers would begin again and again; and it must not end
            // before what its reader holds.
            if upto >= held && upto.version >= index.floor() && index.fitting(upto.version).is_some() {
                return Some(last.clone());
            }
        }
        let entries = index.behind(crate::Version(0)).cloned().collect();
        let digest = source.copy.table(region)?.digest();
        let (upto, epochs) = (source.copy.cursor(region), source.copy.epochs(region));
        let snapshot =
            Rc::new(RefCell::new(Snapshot::new(region, upto, index.floor(), epochs, digest, entries)));
        all.push_back(snapshot.clone());
        // Danger: readers that take nothing would hold one whole state after another. Who is still at the oldest of more than
        // two is ended, and asks anew.
        while all.len() > SNAPSHOTS {
            let Some(old) = all.pop_front() else { break };
            let holds = |s: &Subscriber| matches!(s.positions.get(&region), Some(Position::Whole(f, _)) if Rc::ptr_eq(f, &old));
            ended.extend(self.subscribers.iter().filter(|(_, s)| holds(s)).map(|(conn, _)| *conn));
        }
        Some(snapshot)
    }
}
