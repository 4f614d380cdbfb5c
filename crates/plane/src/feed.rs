//! Serving copies: to each what changed behind its cursor, as fast as it takes it and no faster than the machine may send.

mod options;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use crate::Micros;
use crate::copy::Copy;
use crate::entry::{Cursor, Region};
use crate::frozen::{Frozen, PIECE};
use crate::index::Index;
use crate::io::{Conn, Counts};
use crate::message::{Message, WireEntry};
use crate::planted::{Plant, planted};

pub use options::FeedOptions;

/// Deltas that are kept for others who stand at the same cursor.
const MADE: usize = 64;
/// Whole states of a region that are held for their readers at a time.
const FROZEN: usize = 2;

/// Where a copy stands in one region.
#[derive(Clone, Debug)]
enum Stand {
    /// It has all up to here.
    At(Cursor),
    /// It gets the whole state, and this frame next.
    Whole(Rc<RefCell<Frozen>>, usize),
    /// It knows more than this machine, as far as is known.
    Ahead(Cursor),
    /// Asked for, and not answered yet.
    Asked(Cursor),
    /// Asked for whole: what it holds up to here is not to be trusted, and it takes nothing that ends before.
    Doubted(Cursor),
}

#[derive(Debug, Default)]
struct Subscriber {
    stands: BTreeMap<Region, Stand>,
    unsent: usize,
    /// In the line of those who get something.
    in_line: bool,
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

/// A delta that was made for one copy and serves the others that stand where it stood.
#[derive(Clone, Debug)]
struct Made {
    upto: Cursor,
    frame: Arc<[u8]>,
}

/// The copies that a machine serves. It holds for each of them its cursors and nothing that waits.
#[derive(Debug)]
pub struct Feed {
    options: FeedOptions,
    subscribers: BTreeMap<Conn, Subscriber>,
    line: VecDeque<Conn>,
    made: HashMap<(Region, Cursor), Made>,
    frozen: BTreeMap<Region, VecDeque<Rc<RefCell<Frozen>>>>,
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
            line: VecDeque::new(),
            made: HashMap::new(),
            frozen: BTreeMap::new(),
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
            subscriber.stands.insert(region, Stand::Asked(cursor));
        }
        self.queue(conn);
        None
    }

    /// A copy does not trust what it holds of regions that it has just asked for: it wants them whole.
    pub fn doubts(&mut self, conn: Conn, regions: &[Region]) {
        let Some(subscriber) = self.subscribers.get_mut(&conn) else { return };
        for region in regions {
            if let Some(stand) = subscriber.stands.get_mut(region)
                && let Stand::Asked(cursor) = *stand
            {
                *stand = Stand::Doubted(cursor);
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
        self.made.retain(|(of, _), _| *of != region);
        let conns: Vec<Conn> = self.subscribers.keys().copied().collect();
        for conn in conns {
            self.queue(conn);
        }
    }

    /// A region was replaced by a whole state: what was made of the one before is no more, and all who stood at its end are told
    /// the digest of this one, so that those who hold other content ask for all of it.
    pub fn replaced(&mut self, region: Region) {
        self.frozen.remove(&region);
        for subscriber in self.subscribers.values_mut() {
            if let Some(stand) = subscriber.stands.get_mut(&region)
                && let Stand::At(cursor) = *stand
            {
                *stand = Stand::Asked(cursor);
            }
        }
        self.advanced(region);
    }

    /// When it wants to send next; none while nobody waits.
    pub fn next_due(&self) -> Option<Micros> {
        if self.line.is_empty() {
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
            let Some(conn) = self.line.pop_front() else { break };
            let Some(mut subscriber) = self.subscribers.remove(&conn) else { continue };
            subscriber.in_line = false;
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
        if let Some(subscriber) = self.subscribers.get_mut(&conn).filter(|s| !s.in_line) {
            subscriber.in_line = true;
            self.line.push_back(conn);
        }
    }

    /// The next message for a copy.
    fn next(&mut self, s: &mut Subscriber, source: &Source, ended: &mut Vec<Conn>) -> Option<Arc<[u8]>> {
        let regions: Vec<Region> = s.stands.keys().copied().collect();
        for n in 0..regions.len() {
            let region = regions[(s.turn + n) % regions.len()];
            let stand = s.stands.get(&region).cloned()?;
            if let Some((next, frame)) = self.step(region, stand, source, ended) {
                s.stands.insert(region, next);
                s.turn = (s.turn + n + 1) % regions.len();
                return Some(frame);
            }
        }
        None
    }

    fn step(
        &mut self,
        region: Region,
        stand: Stand,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<(Stand, Arc<[u8]>)> {
        let at = source.copy.cursor(region);
        let doubted = matches!(stand, Stand::Doubted(_));
        let (cursor, asked) = match stand {
            Stand::At(cursor) => (cursor, false),
            Stand::Ahead(cursor) if cursor > at || at == Cursor::default() => return None,
            Stand::Ahead(cursor) | Stand::Asked(cursor) | Stand::Doubted(cursor) => (cursor, true),
            Stand::Whole(frozen, number) => {
                let frame = frozen.borrow_mut().frame(number)?;
                let upto = frozen.borrow().upto;
                let last = number + 1 == frozen.borrow().len();
                // Then its level, with the digest, as for whoever asks anew.
                return Some((
                    if last { Stand::Asked(upto) } else { Stand::Whole(frozen, number + 1) },
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
                .map(|f| (Stand::Ahead(cursor), f));
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
        if let Some(made) = self.made.get(&(region, cursor)) {
            return Some((Stand::At(made.upto), made.frame.clone()));
        }
        let Some(made) = self.delta(region, cursor, source) else {
            return self.whole(region, cursor, source, ended);
        };
        if self.made.len() >= MADE {
            self.made.clear();
        }
        self.made.insert((region, cursor), made.clone());
        Some((Stand::At(made.upto), made.frame))
    }

    fn whole(
        &mut self,
        region: Region,
        held: Cursor,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<(Stand, Arc<[u8]>)> {
        let frozen = self.freeze(region, held, source, ended)?;
        self.counts.wholes += 1;
        self.step(region, Stand::Whole(frozen, 0), source, ended)
    }

    /// All that changed behind a cursor, if one message holds it.
    ///
    /// Danger: each key comes once, at its latest version. A reader that had a part of it would hold a state that never was, without
    /// the keys whose versions of before are in none of the parts, and would serve it on. Harm: who missed much gets the whole state.
    fn delta(&mut self, region: Region, after: Cursor, source: &Source) -> Option<Made> {
        let (upto, index) = (source.copy.cursor(region), source.indexes.get(&region)?);
        let skipped = usize::from(planted(Plant::ResumeSkips));
        let fitting = index.fitting(after.version)?.into_iter().skip(skipped);
        let entries: Vec<WireEntry> = fitting.map(WireEntry::from_entry).collect();
        self.counts.entries_out += entries.len() as u64;
        let epochs = source.copy.epochs(region).between(after.epoch, upto.epoch);
        let digest = source.copy.table(region).map(|table| table.digest());
        let message = Message::Delta { region, after, upto, epochs, entries, digest };
        Some(Made { upto, frame: message.frame()? })
    }

    /// The whole state as it is now, or as it was a few changes ago but not before what its reader holds.
    fn freeze(
        &mut self,
        region: Region,
        held: Cursor,
        source: &Source,
        ended: &mut Vec<Conn>,
    ) -> Option<Rc<RefCell<Frozen>>> {
        let index = source.indexes.get(&region)?;
        let all = self.frozen.entry(region).or_default();
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
        let frozen = Rc::new(RefCell::new(Frozen::new(region, upto, index.floor(), epochs, digest, entries)));
        all.push_back(frozen.clone());
        // Danger: readers that take nothing would hold one whole state after another. Who is still at the oldest of more than
        // two is ended, and asks anew.
        while all.len() > FROZEN {
            let Some(old) = all.pop_front() else { break };
            let holds = |s: &Subscriber| matches!(s.stands.get(&region), Some(Stand::Whole(f, _)) if Rc::ptr_eq(f, &old));
            ended.extend(self.subscribers.iter().filter(|(_, s)| holds(s)).map(|(conn, _)| *conn));
        }
        Some(frozen)
    }
}
