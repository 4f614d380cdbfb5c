//! A control machine: holds the state, serves it, follows the other machines, and in one of each region writes it.

mod clients;
mod uplinks;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use peer::PeerName;
use peer::channel::Greeting;

use crate::Micros;
use crate::copy::{Bounds, Copy, Refusal, Taken};
use crate::entry::{Cursor, Region};
use crate::feed::{Feed, FeedOptions, Source};
use crate::index::Index;
use crate::io::{Conn, Counts, Input, Output};
use crate::message::Message;
use crate::snapshot::Snapshot;
use crate::subscription::Subscription;
use crate::writer::Writer;

use clients::Client;

/// A disk that turned something down is not tried again for so long.
const HELD: Micros = 1_000_000;

/// A control machine of the site, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its name.
    pub name: PeerName,
    /// Its region.
    pub region: Region,
    /// It is its region's writer.
    pub writer: bool,
}

/// Settings of a control machine. Times in microseconds.
#[derive(Clone, Debug)]
pub struct MachineOptions {
    /// Who it is, in the life that is on its disk already.
    pub greeting: Greeting,
    /// All machines of the site, itself among them.
    pub machines: Vec<Place>,
    /// What it takes at most.
    pub bounds: Bounds,
    /// How it serves.
    pub feed: FeedOptions,
    /// Whom it serves hears from it at least this often.
    pub beat: Micros,
    /// Who says nothing for so long is let go.
    pub silence: Micros,
    /// Drawn pauses before links to other machines are dialled again.
    pub spread: Micros,
}

impl MachineOptions {
    /// The usual times.
    pub fn new(greeting: Greeting, machines: Vec<Place>) -> Self {
        MachineOptions {
            greeting,
            machines,
            bounds: Bounds::default(),
            feed: FeedOptions::default(),
            beat: 1_000_000,
            silence: 15_000_000,
            spread: 200_000,
        }
    }
}

/// A control machine.
#[derive(Debug)]
pub struct Machine {
    options: MachineOptions,
    region: Region,
    copy: Copy,
    indexes: BTreeMap<Region, Index>,
    feed: Feed,
    writer: Option<Writer>,
    /// Links to other machines that it follows.
    uplinks: Vec<Subscription>,
    /// While its writer recovers: a link to each other machine of the region.
    asking: BTreeMap<PeerName, Subscription>,
    /// Those of them that have said what they hold.
    heard: BTreeSet<PeerName>,
    /// What the writer has given to the disk.
    flying: Option<Message>,
    /// The disk turned something down; nothing is given to it before.
    held: Micros,
    /// No gateway's word has the writer begin another epoch before.
    anew: Micros,
    clients: BTreeMap<Conn, Client>,
    /// What was turned away and told.
    told: BTreeSet<String>,
    /// When its clients are looked through next.
    sweep: Micros,
    now: Micros,
    counts: Counts,
}

impl Machine {
    /// A machine that holds nothing yet; what is on its disk is given by [`Machine::restore`] before anything else.
    pub fn new(options: MachineOptions, now: Micros, seed: u64) -> Machine {
        let own = options.machines.iter().find(|m| m.name == options.greeting.name);
        let (region, writes) = own.map_or((Region(0), false), |own| (own.region, own.writer));
        let regions: BTreeSet<Region> = options.machines.iter().map(|m| m.region).collect();
        let copy = Copy::new(regions.iter().copied(), options.bounds);
        let mut machine = Machine {
            region,
            copy,
            indexes: regions.iter().map(|region| (*region, Index::default())).collect(),
            feed: Feed::new(options.feed, now),
            writer: writes.then(|| Writer::new(region)),
            uplinks: Vec::new(),
            asking: BTreeMap::new(),
            heard: BTreeSet::new(),
            flying: None,
            held: now,
            anew: now,
            clients: BTreeMap::new(),
            told: BTreeSet::new(),
            sweep: now,
            now,
            counts: Counts::default(),
            options,
        };
        machine.link(seed);
        machine
    }

    /// Takes a body that was kept, in the order in which they were kept.
    ///
    /// # Errors
    /// It cannot follow what was restored before it.
    pub fn restore(&mut self, body: &[u8]) -> Result<(), Refusal> {
        let taken = self.copy.restore(body, None)?;
        self.index(&taken);
        Ok(())
    }

    /// Bodies that restore all that it holds, deletions among them.
    pub fn export(&self) -> Vec<Vec<u8>> {
        let of = |region: Region| {
            let (upto, index) = (self.copy.cursor(region), self.indexes.get(&region)?);
            if upto == Cursor::default() {
                return None;
            }
            let entries = index.behind(crate::Version(0)).cloned().collect();
            let (epochs, digest) = (self.copy.epochs(region), self.copy.table(region)?.digest());
            let snapshot = Snapshot::new(region, upto, index.floor(), epochs, digest, entries);
            Some((0..snapshot.len()).map(move |at| snapshot.message(at).body()))
        };
        self.copy.regions().filter_map(of).flatten().collect()
    }

    /// What it holds.
    pub fn copy(&self) -> &Copy {
        &self.copy
    }

    /// Its region.
    pub fn region(&self) -> Region {
        self.region
    }

    /// Its writer, if it has one.
    pub fn writer(&self) -> Option<&Writer> {
        self.writer.as_ref()
    }

    /// Other machines that its writer still waits for.
    pub fn waits_for(&self) -> BTreeSet<String> {
        self.asking.keys().filter(|name| !self.heard.contains(*name)).map(|name| name.0.clone()).collect()
    }

    /// Copies that it serves.
    pub fn subscribers(&self) -> usize {
        self.feed.len()
    }

    /// Entries that it holds by version, deletions among them.
    pub fn indexed(&self) -> usize {
        self.indexes.values().map(Index::len).sum()
    }

    /// The machines that it follows now.
    pub fn follows(&self) -> Vec<PeerName> {
        self.uplinks.iter().filter_map(|link| link.machine().cloned()).collect()
    }

    /// Counts since the start: of what it serves, and of its links to other machines but those of a recovery that is over.
    pub fn counts(&self) -> Counts {
        let (own, feed) = (self.counts, self.feed.counts());
        let mut counts = Counts {
            bytes_out: own.bytes_out + feed.bytes_out,
            notes_out: own.notes_out + feed.notes_out,
            entries_out: feed.entries_out,
            wholes: feed.wholes,
            ..own
        };
        for link in self.uplinks.iter().chain(self.asking.values()).map(Subscription::counts) {
            counts.bytes_in += link.bytes_in;
            counts.bytes_out += link.bytes_out;
            counts.notes_in += link.notes_in;
            counts.notes_out += link.notes_out;
            counts.entries_in += link.entries_in;
            counts.turned_away += link.turned_away;
        }
        counts
    }

    /// When it wants to be told the time at the latest.
    pub fn next_due(&self) -> Micros {
        let links = self.uplinks.iter().chain(self.asking.values()).map(Subscription::next_due);
        links.chain(self.feed.next_due()).chain([self.sweep]).min().unwrap_or(Micros::MAX)
    }

    /// An operator says that the machines which have not answered will not: what they alone held of the region is lost.
    pub fn release(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.hang_up(out);
        self.handle(now, Input::Tick, out);
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::Dialled { .. } | Input::NotDialled { .. } => self.uplink(input, out),
            Input::Bytes { conn, .. } | Input::Ended { conn } if self.is_uplink(conn) => {
                self.uplink(input, out)
            }
            Input::Accepted { conn } => self.accept(conn, out),
            Input::Bytes { conn, bytes } => self.hear(conn, &bytes, out),
            Input::Taken { conn, bytes } => self.taken(conn, bytes),
            Input::Ended { conn } => self.forget(conn),
            Input::Kept => self.kept(out),
            Input::NotKept(why) => {
                self.flying = None;
                // A disk that is full stays so for a while.
                self.held = self.now + HELD;
                let answers = self.writer.as_mut().map(|writer| writer.not_kept(&why)).unwrap_or_default();
                self.answer(answers, out);
            }
            Input::Tick => {}
        }
        self.follow(out);
        self.write(out);
        self.look_through(out);
        self.pump(out);
    }

    /// What the writer gave to the disk is durable, so that it may be said.
    fn kept(&mut self, out: &mut Vec<Output>) {
        let Some(message) = self.flying.take() else { return };
        match self.copy.take(message, Conn(0), None) {
            Ok(taken) => {
                self.in_force(&taken);
                out.push(Output::InForce(taken));
                let answers = self.writer.as_mut().map(Writer::kept).unwrap_or_default();
                self.answer(answers, out);
            }
            Err(refusal) => {
                // Danger: the disk has what the copy turned away, a bound that was passed. It is answered as not taken, and
                // the disk is put in step with the copy.
                let why = refusal.to_string();
                let answers = self.writer.as_mut().map(|writer| writer.not_kept(&why)).unwrap_or_default();
                self.answer(answers, out);
                out.push(Output::TurnedAway { from: None, why });
                out.push(Output::KeepAll);
            }
        }
    }

    /// Gives the writer's next changes to the disk.
    fn write(&mut self, out: &mut Vec<Output>) {
        let Some(writer) = &mut self.writer else { return };
        if self.flying.is_some() || self.now < self.held {
            return;
        }
        let opens = writer.is_recovering() && self.asking.is_empty();
        let message = if opens { writer.open(&self.copy) } else { writer.next(&self.copy) };
        if let Some(message) = message {
            out.push(Output::Keep { body: message.body(), sync: true });
            self.flying = Some(message);
        }
    }

    fn index(&mut self, taken: &Taken) {
        match taken {
            Taken::Delta { region, changed, .. } => {
                if let Some(index) = self.indexes.get_mut(region) {
                    changed.iter().for_each(|entry| index.put(entry.clone()));
                }
            }
            Taken::Whole { region, entries, floor, .. } => {
                self.indexes.insert(*region, Index::whole(entries, *floor));
            }
            _ => {}
        }
    }

    fn in_force(&mut self, taken: &Taken) {
        self.index(taken);
        match taken {
            Taken::Delta { region, .. } => self.feed.advanced(*region),
            Taken::Whole { region, .. } => self.feed.replaced(*region),
            _ => {}
        }
    }

    fn pump(&mut self, out: &mut Vec<Output>) {
        let source = Source { copy: &self.copy, indexes: &self.indexes };
        let (clients, now) = (&mut self.clients, self.now);
        let mut write = |conn: Conn, frame: Arc<[u8]>| {
            if let Some(client) = clients.get_mut(&conn) {
                client.spoke = now;
            }
            out.push(Output::Write(conn, frame));
        };
        for conn in self.feed.pump(now, &source, &mut write) {
            out.push(Output::Close(conn));
            self.forget(conn);
        }
    }
}
