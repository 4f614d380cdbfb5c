//! Many gateways' links, copies and stores in one process, on one loop; without a data path.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use plane::{Conn, Cursor, Input, Micros, Output, Pool, Region};
use records::Clock;

use crate::copy_records::{CopyRecords, Holder};
use crate::error::RunError;
use crate::gateway::{Around, Gateway, Restored, Told};
use crate::net::{Event, Net};
use crate::options::HollowRun;
use crate::status::{self, HollowLine};

/// Gateways begun in one turn of the loop, so that those that run are not kept waiting.
const BEGUN: usize = 8;
/// No timer is finer than this.
const FINEST: Micros = 1_000;
/// Where all copies stand is written down once in this time.
const STANDS: Micros = 60_000_000;
/// The part of the time that goes into keeping copies anew, at most: one in so many.
const KEEPING: Micros = 5;

/// Runs gateways until told to stop.
///
/// Their stores outlive the process. They are not made durable against a loss of power, as hundreds of them share one disk;
/// those of a [`crate::Follower`] are.
///
/// # Errors
/// A gateway's files cannot be used, or the records cannot be written.
pub fn run_hollow(run: HollowRun, stop: Arc<AtomicBool>) -> Result<(), RunError> {
    let mut hollow = Hollow::new(run)?;
    while !stop.load(Ordering::SeqCst) {
        hollow.turn()?;
    }
    hollow.end()
}

/// A gateway and what the loop knows of it.
struct Seat {
    gateway: Gateway,
    holder: Holder,
    /// When it wants to be told the time, as it stands in the order of all.
    due: Micros,
    ready: bool,
    level: bool,
    stuck: bool,
    /// It stands in the line of those whose store is kept anew.
    in_line: bool,
}

struct Hollow {
    run: HollowRun,
    clock: Clock,
    started: Micros,
    net: Net,
    pool: Pool,
    records: CopyRecords,
    seats: Vec<Seat>,
    due: BTreeSet<(Micros, usize)>,
    /// Whose stores were given something in this turn.
    touched: Vec<usize>,
    long: VecDeque<usize>,
    /// Not before this is a store kept anew.
    keeps: Micros,
    restored: Option<Restored>,
    ready: usize,
    level: usize,
    stuck: usize,
    /// Whether the window of stuck gateways is open.
    window: bool,
    says: Micros,
    stands: Micros,
    /// Whether all were ready and level when a line was said last.
    said: (bool, bool),
    out: Vec<Output>,
    told: Vec<Told>,
}

impl Hollow {
    fn new(run: HollowRun) -> Result<Hollow, RunError> {
        let clock = Clock::new();
        let now = clock.now();
        let records = CopyRecords::open(run.records.as_deref(), &format!("inforce-{}.log", run.process))?;
        Ok(Hollow {
            clock,
            started: now,
            net: Net::new().map_err(RunError::Loop)?,
            pool: Pool::default(),
            records,
            seats: Vec::with_capacity(run.names.len()),
            due: BTreeSet::new(),
            touched: Vec::new(),
            long: VecDeque::new(),
            keeps: now,
            restored: None,
            ready: 0,
            level: 0,
            stuck: 0,
            window: false,
            says: now,
            stands: now + STANDS,
            said: (false, false),
            out: Vec::new(),
            told: Vec::new(),
            run,
        })
    }

    fn turn(&mut self) -> Result<(), RunError> {
        self.begin_some()?;
        let now = self.clock.now();
        self.net.poll(now, self.next_due(now)).map_err(RunError::Loop)?;
        while let Some(event) = self.net.next(self.clock.now()) {
            self.on_event(event);
        }
        let now = self.clock.now();
        self.open_or_close_window(now);
        while let Some((_, tag)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.tick(now, tag);
        }
        loop {
            let now = self.clock.now();
            for tag in std::mem::take(&mut self.touched) {
                let seat = &mut self.seats[tag];
                if !seat.gateway.is_touched {
                    continue;
                }
                seat.gateway.settle(now);
                if seat.gateway.is_long() && !seat.in_line {
                    seat.in_line = true;
                    self.long.push_back(tag);
                }
            }
            self.records.flush()?;
            if !self.net.is_due() {
                break;
            }
            while let Some(event) = self.net.flush() {
                self.on_event(event);
            }
        }
        self.keep_anew();
        self.look()
    }

    fn next_due(&self, now: Micros) -> Micros {
        if self.seats.len() < self.run.names.len() {
            return now;
        }
        let keeps = if self.long.is_empty() { Micros::MAX } else { self.keeps };
        let links = self.due.first().map_or(Micros::MAX, |(at, _)| *at);
        links.min(keeps).min(self.says).min(self.stands)
    }

    /// Begins the next gateways.
    fn begin_some(&mut self) -> Result<(), RunError> {
        for _ in 0..BEGUN {
            let tag = self.seats.len();
            let Some(name) = self.run.names.get(tag) else {
                self.restored = None;
                return Ok(());
            };
            let now = self.clock.now();
            let folder = self.run.folder.join(&name.0);
            let seed = self.run.seed.wrapping_add((tag as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let (options, pool) = (&self.run.link, Some(&mut self.pool));
            let gateway = Gateway::begin(tag, name, &folder, options, (now, seed), pool, &mut self.restored)?;
            let mut holder = Holder::new(name.clone(), gateway.life);
            self.records.start(self.clock.now(), &mut holder, &gateway.copy);
            let due = gateway.link.next_due();
            let (ready, stuck) = (gateway.is_ready(), self.window && self.is_stuck(tag));
            self.ready += usize::from(ready);
            self.stuck += usize::from(stuck);
            self.due.insert((due, tag));
            self.seats.push(Seat { gateway, holder, due, ready, level: false, stuck, in_line: false });
        }
        Ok(())
    }

    /// Whether a gateway is one of those that read nothing while the window is open.
    fn is_stuck(&self, tag: usize) -> bool {
        self.run.stuck.is_some_and(|stuck| tag.is_multiple_of(stuck.every.max(1)))
    }

    fn open_or_close_window(&mut self, now: Micros) {
        let since = now - self.started;
        let open = self.run.stuck.is_some_and(|s| since >= s.from && since < s.from.saturating_add(s.span));
        if open == self.window {
            return;
        }
        self.window = open;
        for tag in (0..self.seats.len()).filter(|tag| self.is_stuck(*tag)).collect::<Vec<_>>() {
            let seat = &mut self.seats[tag];
            seat.stuck = open;
            if let Some(conn) = seat.gateway.link.conn() {
                self.net.hold(conn, open);
            }
        }
        self.stuck = self.seats.iter().filter(|seat| seat.stuck).count();
        self.says = now;
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Up { conn, tag } => self.dialled(tag, Some(conn)),
            Event::Failed { tag } => self.dialled(tag, None),
            Event::Bytes { conn, tag, bytes } => self.handle(tag, Input::Bytes { conn, bytes }),
            Event::Ended { conn, tag } => self.handle(tag, Input::Ended { conn }),
            // Nobody connects here, and links don't ask what was taken.
            Event::Accepted { .. } | Event::Taken { .. } => {}
        }
    }

    fn dialled(&mut self, tag: usize, conn: Option<Conn>) {
        let now = self.clock.now();
        let seat = &mut self.seats[tag];
        if let Some(conn) = conn.filter(|_| seat.stuck) {
            self.net.hold(conn, true);
        }
        let mut around = Around {
            net: &mut self.net,
            pool: Some(&mut self.pool),
            out: &mut self.out,
            told: &mut self.told,
        };
        seat.gateway.dialled(now, conn, &self.run.link, &mut around);
        self.after(now, tag);
    }

    fn handle(&mut self, tag: usize, input: Input) {
        let now = self.clock.now();
        let mut around = Around {
            net: &mut self.net,
            pool: Some(&mut self.pool),
            out: &mut self.out,
            told: &mut self.told,
        };
        self.seats[tag].gateway.handle(now, input, &self.run.link, &mut around);
        self.after(now, tag);
    }

    fn tick(&mut self, now: Micros, tag: usize) {
        let seat = &self.seats[tag];
        // A gateway that reads nothing would otherwise take its machine for silent, and leave it.
        let input = match seat.gateway.link.conn().filter(|_| seat.stuck) {
            Some(conn) => Input::Bytes { conn, bytes: Vec::new() },
            None => Input::Tick,
        };
        self.handle(tag, input);
        // A time that is over and stays so would hold the loop.
        let seat = &mut self.seats[tag];
        if seat.due <= now {
            self.due.remove(&(seat.due, tag));
            seat.due = now + FINEST;
            self.due.insert((seat.due, tag));
        }
    }

    /// Writes down what a gateway told, and when it is due next.
    fn after(&mut self, now: Micros, tag: usize) {
        let seat = &mut self.seats[tag];
        for told in self.told.drain(..) {
            match told {
                Told::InForce(taken) => self.records.in_force(now, &mut seat.holder, &taken),
                Told::Level(_) => {}
                Told::TurnedAway { from, why } => {
                    let from = from.map(|name| name.0).unwrap_or_default();
                    tracing::warn!(gateway = %seat.gateway.name, from, why, "turned away");
                }
            }
        }
        if seat.gateway.is_touched {
            self.touched.push(tag);
        }
        let due = seat.gateway.link.next_due();
        if due != seat.due {
            self.due.remove(&(seat.due, tag));
            seat.due = due;
            self.due.insert((due, tag));
        }
        let (ready, level) = (seat.ready || seat.gateway.is_ready(), seat.gateway.link.is_level());
        self.ready += usize::from(ready && !seat.ready);
        self.level = self.level + usize::from(level) - usize::from(seat.level);
        (seat.ready, seat.level) = (ready, level);
    }

    /// Keeps one copy anew whose tail is long. Many get so long in one moment, as they follow the same changes.
    fn keep_anew(&mut self) {
        let now = self.clock.now();
        if now < self.keeps {
            return;
        }
        let Some(tag) = self.long.pop_front() else { return };
        let seat = &mut self.seats[tag];
        seat.in_line = false;
        seat.gateway.compact(now);
        let end = self.clock.now();
        self.keeps = end + (end - now) * (KEEPING - 1);
    }

    /// Says how all stand, and writes it down, when it is time.
    fn look(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        if now >= self.stands {
            self.stands = now + STANDS;
            self.write_stands(now)?;
        }
        let all = (self.ready == self.run.names.len(), self.level == self.run.names.len());
        if now >= self.says || all != self.said {
            (self.says, self.said) = (now + status::EVERY, all);
            self.say(now);
        }
        Ok(())
    }

    fn write_stands(&mut self, now: Micros) -> Result<(), RunError> {
        for seat in &self.seats {
            self.records.stand(now, &seat.holder, &seat.gateway.copy);
        }
        self.records.flush()
    }

    fn say(&mut self, now: Micros) {
        let mut least: BTreeMap<Region, Cursor> = BTreeMap::new();
        let (mut links, mut wholes, mut turned_away) = (0, 0, 0);
        for seat in &self.seats {
            let (copy, counts) = (&seat.gateway.copy, seat.gateway.link.counts());
            for region in copy.regions() {
                let at = copy.cursor(region);
                least.entry(region).and_modify(|least| *least = at.min(*least)).or_insert(at);
            }
            (links, wholes) = (links + counts.links, wholes + counts.wholes);
            turned_away += counts.turned_away;
        }
        let (bytes_in, bytes_out) = self.net.bytes();
        let line = HollowLine {
            t: now,
            process: &self.run.process,
            gateways: self.run.names.len(),
            ready: self.ready,
            level: self.level,
            stuck: self.stuck,
            cursors: status::cursors(least.into_iter()),
            bytes_in,
            bytes_out,
            links,
            wholes,
            turned_away,
        };
        status::say(&mut self.run.tell, &line);
    }

    fn end(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        for seat in &mut self.seats {
            seat.gateway.settle(now);
        }
        self.write_stands(now)?;
        self.say(now);
        Ok(())
    }
}
