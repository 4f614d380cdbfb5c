//! The latest line of each process, and waiting until they say what is wanted.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use records::Micros;

use crate::line::Line;

/// One process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slot {
    /// Which start of it; lines of earlier ones don't count.
    start: u64,
    /// It was started and nobody has ended it.
    pub(crate) is_wanted: bool,
    /// Its standard output has ended.
    pub(crate) has_ended: bool,
    /// What it said last in this start.
    pub(crate) line: Option<Line>,
    /// When all gateways of the process were ready first in this start, and level.
    pub(crate) ready: Option<Micros>,
    pub(crate) level: Option<Micros>,
}

/// All processes, by number.
#[derive(Debug, Default)]
pub(crate) struct Board {
    slots: Mutex<Vec<Slot>>,
    changed: Condvar,
}

/// A wait that came to nothing.
pub(crate) enum Failed {
    /// This process ended.
    Ended(usize),
    /// This was missing at the end.
    Late(String),
}

impl Board {
    pub(crate) fn new(processes: usize) -> Arc<Board> {
        Arc::new(Board { slots: Mutex::new(vec![Slot::default(); processes]), changed: Condvar::new() })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<Slot>> {
        // A reader that panicked has left a line out and nothing else.
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A process starts; the number of this start, for its reader.
    pub(crate) fn started(&self, process: usize) -> u64 {
        let slot = &mut self.lock()[process];
        *slot = Slot { start: slot.start + 1, is_wanted: true, ..Slot::default() };
        slot.start
    }

    /// It is being ended.
    pub(crate) fn ending(&self, process: usize) {
        self.lock()[process].is_wanted = false;
    }

    /// It said something.
    pub(crate) fn said(&self, process: usize, start: u64, line: Line) {
        let mut slots = self.lock();
        let slot = &mut slots[process];
        if slot.start != start {
            return;
        }
        if let Line::Hollow(line) = &line {
            slot.ready = slot.ready.or((line.ready == line.gateways).then_some(line.t));
            slot.level = slot.level.or((line.level == line.gateways).then_some(line.t));
        }
        slot.line = Some(line);
        drop(slots);
        self.changed.notify_all();
    }

    /// It says nothing more.
    pub(crate) fn ended(&self, process: usize, start: u64) {
        let mut slots = self.lock();
        if slots[process].start == start {
            slots[process].has_ended = true;
        }
        drop(slots);
        self.changed.notify_all();
    }

    /// Waits until nothing is missing. A process that should live and ends is not waited for.
    pub(crate) fn until(
        &self,
        within: Duration,
        mut missing: impl FnMut(&[Slot]) -> Option<String>,
    ) -> Result<(), Failed> {
        let end = Instant::now() + within;
        let mut slots = self.lock();
        loop {
            if let Some(process) = slots.iter().position(|slot| slot.is_wanted && slot.has_ended) {
                return Err(Failed::Ended(process));
            }
            let Some(what) = missing(&slots) else { return Ok(()) };
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Failed::Late(what));
            }
            slots = self.changed.wait_timeout(slots, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
