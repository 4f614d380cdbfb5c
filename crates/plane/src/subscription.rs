//! A copy's link to the plane: to which machine, and when again or elsewhere.

mod options;

use std::collections::{BTreeMap, BTreeSet};

use peer::PeerName;
use peer::channel::{self, Channel, Word};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::copy::{Copy, Refusal, Taken};
use crate::entry::{Cursor, Region};
use crate::io::{Conn, Counts, Input, Output};
use crate::message::Message;
use crate::pool::Pool;
use crate::{KIND, Micros};

pub use options::{SubscriptionOptions, order};

/// Sources and sorts of what was turned away that are remembered as told.
const TOLD: usize = 64;

#[derive(Debug)]
struct Link {
    at: usize,
    conn: Conn,
    channel: Channel,
    heard: Micros,
    spoke: Micros,
    /// Regions in which the machine knows less, since when.
    behind: BTreeMap<Region, Micros>,
    /// Regions that were at the machine's level once on this link.
    level: BTreeSet<Region>,
}

/// A link to the plane. It owns no copy, so that several links can feed one.
#[derive(Debug)]
pub struct Subscription {
    options: SubscriptionOptions,
    link: Option<Link>,
    dialling: Option<usize>,
    /// Which machine is tried next.
    at: usize,
    /// Not dialled before.
    next: Micros,
    /// Tries in a row that came to nothing.
    failed: u32,
    /// When it looks for its first machine again.
    home: Micros,
    told: BTreeSet<(PeerName, &'static str)>,
    random: SmallRng,
    counts: Counts,
}

impl Subscription {
    /// Begins without a link; the first is dialled at a drawn moment within `spread`.
    pub fn new(options: SubscriptionOptions, now: Micros, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next = now + random.random_range(0..=options.spread.max(0));
        Subscription {
            options,
            link: None,
            dialling: None,
            at: 0,
            next,
            failed: 0,
            home: Micros::MAX,
            told: BTreeSet::new(),
            random,
            counts: Counts::default(),
        }
    }

    /// The machine it is linked with.
    pub fn machine(&self) -> Option<&PeerName> {
        self.link.as_ref().filter(|l| l.channel.is_greeted()).map(|l| &self.options.machines[l.at])
    }

    /// Whether it was at its machine's level in all regions on this link.
    pub fn is_level(&self) -> bool {
        self.link.as_ref().is_some_and(|l| self.options.regions.iter().all(|r| l.level.contains(r)))
    }

    /// Whether the machine has answered for a region on this link: it was level, or knows less.
    pub fn has_heard(&self, region: Region) -> bool {
        self.link.as_ref().is_some_and(|l| l.level.contains(&region) || l.behind.contains_key(&region))
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Its connection.
    pub fn conn(&self) -> Option<Conn> {
        self.link.as_ref().map(|link| link.conn)
    }

    /// Whether this connection is its own.
    pub fn owns(&self, conn: Conn) -> bool {
        self.link.as_ref().is_some_and(|link| link.conn == conn)
    }

    /// Whether it waits for this machine to be dialled.
    pub fn dials(&self, machine: &PeerName) -> bool {
        self.dialling.is_some_and(|at| self.options.machines[at] == *machine)
    }

    /// When it wants to be told the time at the latest.
    pub fn next_due(&self) -> Micros {
        let Some(link) = &self.link else {
            let waits = self.dialling.is_some() || self.options.machines.is_empty();
            return if waits { Micros::MAX } else { self.next };
        };
        let elsewhere = link.behind.values().min().filter(|_| self.options.machines.len() > 1);
        let behind = elsewhere.map_or(Micros::MAX, |since| since + self.patience());
        let home = if self.dialling.is_some() { Micros::MAX } else { self.home };
        (link.heard + self.options.silence).min(link.spoke + self.options.beat).min(behind).min(home)
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input,
        copy: &mut Copy,
        pool: Option<&mut Pool>,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Dialled { machine, conn } if self.dials(&machine) => self.up(now, conn, copy, out),
            // Nobody waits for it any more.
            Input::Dialled { conn, .. } => out.push(Output::Close(conn)),
            Input::NotDialled { machine } if self.dials(&machine) => {
                self.dialling = None;
                if self.link.is_some() {
                    self.settle(now);
                } else {
                    self.elsewhere(now, 0);
                }
            }
            Input::Bytes { conn, bytes } if self.owns(conn) => self.receive(now, &bytes, copy, pool, out),
            Input::Ended { conn } if self.owns(conn) => self.lost(now, 0, copy),
            _ => {}
        }
        self.tick(now, copy, out);
    }

    fn up(&mut self, now: Micros, conn: Conn, copy: &mut Copy, out: &mut Vec<Output>) {
        let Some(at) = self.dialling.take() else { return };
        if let Some(before) = self.link.take() {
            copy.drop_staging(before.conn);
            out.push(Output::Close(before.conn));
        }
        let channel = Channel::new(self.options.greeting.site);
        let (behind, level) = (BTreeMap::new(), BTreeSet::new());
        self.link = Some(Link { at, conn, channel, heard: now, spoke: now, behind, level });
        self.at = at;
        self.counts.links += 1;
        self.say(now, channel::hello(&self.options.greeting).into(), out);
        if let Some(frame) = copy.subscribe(&self.options.regions).frame() {
            self.say(now, frame, out);
        }
        self.settle(now);
    }

    /// Draws when to look for the first machine again. Danger: all whom a lost machine sent elsewhere would come back in one
    /// moment when it returns.
    fn settle(&mut self, now: Micros) {
        let (least, most) = self.options.home;
        let at_home = self.link.as_ref().is_none_or(|link| link.at == 0);
        self.home =
            if at_home { Micros::MAX } else { now + self.random.random_range(least..=most.max(least)) };
    }

    fn say(&mut self, now: Micros, bytes: std::sync::Arc<[u8]>, out: &mut Vec<Output>) {
        if let Some(link) = &mut self.link {
            link.spoke = now;
            self.counts.bytes_out += bytes.len() as u64;
            self.counts.notes_out += 1;
            out.push(Output::Write(link.conn, bytes));
        }
    }

    fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        copy: &mut Copy,
        mut pool: Option<&mut Pool>,
        out: &mut Vec<Output>,
    ) {
        self.counts.bytes_in += bytes.len() as u64;
        let Some(link) = &mut self.link else { return };
        link.heard = now;
        link.channel.receive(bytes);
        loop {
            let Some(link) = &mut self.link else { return };
            let word = match link.channel.poll() {
                Ok(Some(word)) => word,
                Ok(None) => return,
                Err(error) => {
                    self.turn_away(now, "a frame", error.to_string(), copy, out);
                    return;
                }
            };
            match word {
                Word::Hello(greeting) if greeting.name != self.options.machines[link.at] => {
                    let why = format!("it calls itself {}", greeting.name);
                    self.turn_away(now, "a name", why, copy, out);
                }
                Word::Note { kind: KIND, body } => {
                    self.note(now, body, copy, pool.as_deref_mut(), out);
                }
                Word::Bye(why) => self.turn_away(now, "a last word", why.to_owned(), copy, out),
                _ => {}
            }
        }
    }

    fn note(
        &mut self,
        now: Micros,
        body: Vec<u8>,
        copy: &mut Copy,
        pool: Option<&mut Pool>,
        out: &mut Vec<Output>,
    ) {
        self.counts.notes_in += 1;
        let Some(message) = Message::read(&body) else {
            return self.turn_away(now, "a note", "it cannot be read".into(), copy, out);
        };
        let held = |copy: &Copy, region| copy.cursor(region);
        let before = match &message {
            Message::Delta { region, .. } => held(copy, *region),
            _ => Cursor::default(),
        };
        let Some(conn) = self.conn() else { return };
        let taken = match copy.take(message, conn, pool) {
            Ok(taken) => taken,
            Err(refusal) => return self.turn_away(now, sort(&refusal), refusal.to_string(), copy, out),
        };
        let Some(link) = &mut self.link else { return };
        match &taken {
            Taken::Delta { region, upto, changed, level } => {
                self.counts.entries_in += changed.len() as u64;
                link.behind.remove(region);
                self.failed = 0;
                if *level && link.level.insert(*region) {
                    out.push(Output::Level(*region));
                }
                if *upto != before {
                    out.push(Output::Keep { body, sync: false });
                    out.push(Output::InForce(taken));
                }
            }
            Taken::Whole { region, entries, abandoned, upto, .. } => {
                if *abandoned {
                    let from = Some(self.options.machines[link.at].clone());
                    let lost = "some of what was held of region";
                    let why =
                        format!("{lost} {} was lost with its writer's disk; it is at {upto} now", region.0);
                    out.push(Output::TurnedAway { from, why });
                }
                self.counts.entries_in += entries.len() as u64;
                self.counts.wholes += 1;
                link.behind.remove(region);
                self.failed = 0;
                out.push(Output::KeepAll);
                out.push(Output::InForce(taken));
            }
            Taken::Behind { region, .. } => {
                link.behind.entry(*region).or_insert(now);
            }
            Taken::Busy(pause) => {
                let (conn, pause) = (link.conn, (*pause).clamp(0, 600_000_000));
                out.push(Output::Close(conn));
                self.lost(now, pause, copy);
            }
            Taken::Staged | Taken::Known => {}
        }
    }

    /// Ends a link over which came what cannot be, and tells of it once.
    fn turn_away(
        &mut self,
        now: Micros,
        sort: &'static str,
        why: String,
        copy: &mut Copy,
        out: &mut Vec<Output>,
    ) {
        self.counts.turned_away += 1;
        let Some(link) = &self.link else { return };
        let (from, conn) = (self.options.machines[link.at].clone(), link.conn);
        // A region that is asked for whole comes from the same machine as well as from another.
        if self.told.len() < TOLD && self.told.insert((from.clone(), sort)) {
            out.push(Output::TurnedAway { from: Some(from), why });
        }
        out.push(Output::Close(conn));
        self.lost(now, 0, copy);
    }

    /// The link is gone; another is dialled after a pause at least, at a drawn moment.
    fn lost(&mut self, now: Micros, pause: Micros, copy: &mut Copy) {
        if let Some(link) = self.link.take() {
            copy.drop_staging(link.conn);
        }
        if self.dialling.is_none() {
            self.elsewhere(now, pause);
        }
    }

    fn elsewhere(&mut self, now: Micros, pause: Micros) {
        let o = &self.options;
        let round = self.failed / o.machines.len().max(1) as u32;
        self.failed = self.failed.saturating_add(1);
        self.at = (self.at + 1) % o.machines.len().max(1);
        let within = (o.spread << round.min(16)).min(o.longest).max(pause).max(1);
        self.next = now + pause + self.random.random_range(0..=within);
    }

    /// How long a machine that knows less is borne with; longer after each that did not help.
    fn patience(&self) -> Micros {
        let round = self.failed / self.options.machines.len().max(1) as u32;
        (self.options.behind << round.min(16)).min(self.options.longest.max(self.options.behind))
    }

    fn tick(&mut self, now: Micros, copy: &mut Copy, out: &mut Vec<Output>) {
        if self.options.machines.is_empty() {
            return;
        }
        if let Some(link) = &self.link {
            let (conn, at) = (link.conn, link.at);
            let behind = link.behind.values().min().is_some_and(|since| now >= since + self.patience());
            if now >= link.heard + self.options.silence || behind && self.options.machines.len() > 1 {
                out.push(Output::Close(conn));
                self.at = at;
                self.lost(now, 0, copy);
            } else {
                if now >= link.spoke + self.options.beat {
                    self.say(now, channel::beat().into(), out);
                }
                if now >= self.home && self.dialling.is_none() {
                    self.dial(0, out);
                }
            }
        }
        if self.link.is_none() && self.dialling.is_none() && now >= self.next {
            self.dial(self.at, out);
        }
    }

    fn dial(&mut self, at: usize, out: &mut Vec<Output>) {
        self.dialling = Some(at);
        out.push(Output::Dial(self.options.machines[at].clone()));
    }
}

/// What is told once of each machine.
fn sort(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Form => "a form",
        Refusal::Region(_) => "a region",
        Refusal::Gap { .. } => "a gap",
        Refusal::Backward { .. } => "a way back",
        Refusal::Entry { .. } => "an entry",
        Refusal::Versions { .. } => "versions",
        Refusal::Bound { .. } => "a bound",
        Refusal::Digest { .. } => "a digest",
        Refusal::Piece(_) => "a piece",
    }
}
