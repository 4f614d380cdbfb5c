//! The changes of a usual day, sixty times as fast, at all writers.

use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use plane::{Change, Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::error::DayError;
use crate::state::{Item, State};
use crate::writer::Writer;

/// How many times as fast as on a usual day.
const FASTER: f64 = 60.0;
/// Of a usual day: changes of any entry, nodes that fail and come back, gateways that restart. The latter two are two
/// changes each.
const CHANGES: f64 = 9500.0;
const FAILURES: f64 = 130.0;
const RESTARTS: f64 = 1700.0;
const DAY: f64 = 86_400.0;

/// Changes that come by the clock, one thread for each region, until they are stopped.
pub(crate) struct Traffic {
    threads: Vec<JoinHandle<Result<(), DayError>>>,
    stop: Vec<Sender<()>>,
}

impl Traffic {
    /// Starts. What a writer does not take at once waits, and is offered again.
    pub(crate) fn start(writers: Vec<(u16, Writer)>, state: &Arc<State>, seed: u64) -> Traffic {
        let (mut threads, mut stop) = (Vec::new(), Vec::new());
        let share = FASTER / DAY / writers.len().max(1) as f64;
        for (region, writer) in writers {
            let (sender, stopped) = mpsc::channel();
            let (state, random) = (state.clone(), SmallRng::seed_from_u64(seed ^ (u64::from(region) << 32)));
            stop.push(sender);
            threads.push(std::thread::spawn(move || {
                Source { items: state.of(region), writer, random, share, back: Vec::new() }.run(&stopped)
            }));
        }
        Traffic { threads, stop }
    }

    /// Stops; what was away is back when this returns.
    ///
    /// # Errors
    /// A writer did not take a change.
    pub(crate) fn stop(mut self) -> Result<(), DayError> {
        self.stop.clear();
        let ends: Vec<_> = self.threads.drain(..).map(JoinHandle::join).collect();
        for end in ends {
            end.unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
        }
        Ok(())
    }
}

struct Source<'a> {
    items: &'a [Item],
    writer: Writer,
    random: SmallRng,
    /// Events a second of this region, for each of a usual day.
    share: f64,
    /// Changes that bring back what is away, and when.
    back: Vec<(Instant, Item, Change)>,
}

impl Source<'_> {
    fn run(mut self, stop: &mpsc::Receiver<()>) -> Result<(), DayError> {
        let mut next = Instant::now() + self.pause();
        loop {
            let back = self.back.iter().map(|(at, ..)| *at).min();
            let due = back.map_or(next, |back| back.min(next));
            let wait = due.saturating_duration_since(Instant::now());
            if stop.recv_timeout(wait) != Err(RecvTimeoutError::Timeout) {
                let last: Vec<Change> = self.back.drain(..).map(|(_, _, change)| change).collect();
                return if last.is_empty() { Ok(()) } else { self.writer.propose(last) };
            }
            let now = Instant::now();
            if let Some(at) = self.back.iter().position(|(at, ..)| *at <= now) {
                let (_, _, change) = self.back.swap_remove(at);
                self.writer.propose(vec![change])?;
            }
            if next <= now {
                // By the clock: a writer that takes long does not make the changes fewer.
                next += self.pause();
                self.event()?;
            }
        }
    }

    fn pause(&mut self) -> Duration {
        let rate = (CHANGES + FAILURES + RESTARTS) * self.share;
        let draw: f64 = self.random.random_range(0.0..1.0);
        Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
    }

    fn event(&mut self) -> Result<(), DayError> {
        let draw = self.random.random_range(0.0..CHANGES + FAILURES + RESTARTS);
        let (first, word, away) = if draw < CHANGES {
            (None, "set", None)
        } else if draw < CHANGES + FAILURES {
            (Some(Kind::Node), "failed", Some(500..3000))
        } else {
            (Some(Kind::Member), "leaves", Some(200..2000))
        };
        let Some(item) = self.draw(first) else { return Ok(()) };
        let value = self.random.random();
        let Some(away) = away else { return self.writer.propose(vec![item.put(word, value)]) };
        let millis = self.random.random_range(away);
        let change = if item.kind == Kind::Node { item.delete() } else { item.put(word, value) };
        let back = item.put("up", self.random.random());
        self.back.push((Instant::now() + Duration::from_millis(millis), item, back));
        self.writer.propose(vec![change])
    }

    /// An entry that is there, of a kind or of any.
    fn draw(&mut self, kind: Option<Kind>) -> Option<Item> {
        let fits = |item: &&Item| {
            kind.is_none_or(|kind| item.kind == kind) && !self.back.iter().any(|(_, away, _)| away == *item)
        };
        let fitting: Vec<&Item> = self.items.iter().filter(fits).collect();
        let at = self.random.random_range(0..fitting.len().max(1));
        fitting.get(at).map(|item| (*item).clone())
    }
}
