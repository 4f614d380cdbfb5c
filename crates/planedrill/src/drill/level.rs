//! The end of a schedule: all heals, and all have to come to hold the same.

use plane::{Micros, Writer};

use super::{Drill, Event, WATCH};
use crate::process::Body;

/// From the healing until all hold the same, at most: a link home, rounds over all machines, and a writer started anew.
const MOST: Micros = 300_000_000;

impl Drill {
    /// Looks at all now and then; writers that another epoch stopped are started anew, as an operator would.
    pub(super) fn watch(&mut self) -> Result<(), String> {
        for process in 0..self.plan.all_machines() {
            let writer = self.processes[process].machine().and_then(|machine| machine.writer());
            let stopped = writer.is_some_and(|w| !w.is_open() && !w.is_recovering());
            let before = std::mem::replace(&mut self.processes[process].superseded, stopped);
            if stopped && before {
                self.played.superseded += 1;
                self.kill(process, 1000, None);
            }
        }
        let calm = self.now - self.plan.until;
        if calm >= 0 {
            if calm < WATCH {
                self.heal();
            }
            match self.level() {
                Ok(()) => {
                    self.played.settled = calm;
                    self.done = true;
                    return self.ledger.values().find_map(|line| line.lost()).map_or(Ok(()), Err);
                }
                Err(why) if calm > MOST => return Err(format!("not level after {calm} us: {why}")),
                Err(_) => {}
            }
        }
        self.at(self.now + WATCH, Event::Watch);
        Ok(())
    }

    fn heal(&mut self) {
        self.cut.clear();
        self.net.lag.clear();
        for process in &mut self.processes {
            process.slow = None;
            process.failing = false;
        }
        self.read_on();
    }

    /// Whether all hold the same, and all of what was written.
    fn level(&self) -> Result<(), String> {
        for (region, line) in &self.ledger {
            let writer = &self.processes[self.plan.writer(*region)];
            let machine = writer.machine().ok_or_else(|| format!("{} is down", writer.name))?;
            if !machine.writer().is_some_and(Writer::is_open) {
                let (at, waits) = (machine.copy().cursor(*region), machine.waits_for());
                return Err(format!("{} does not write: {at}, waits for {waits:?}", writer.name));
            }
            for process in &self.processes {
                if let Some(Body::Proposer(proposer)) = &process.body {
                    if !proposer.is_done() {
                        return Err(format!("{} waits for an answer", process.name));
                    }
                    continue;
                }
                let copy = process.copy().ok_or_else(|| format!("{} is down", process.name))?;
                let cursor = copy.cursor(*region);
                if cursor != line.cursor {
                    let (name, ends) = (&process.name, line.cursor);
                    return Err(format!(
                        "{name} holds {cursor} of region {}, which ends at {ends}",
                        region.0
                    ));
                }
                let held = copy.table(*region).map(|table| (table.len(), table.digest()));
                if held != Some((line.live.len(), line.digest)) {
                    return Err(format!(
                        "{} holds at {cursor} other entries than were written",
                        process.name
                    ));
                }
                for (key, entry) in &line.live {
                    if copy.get(key) != Some(entry) {
                        return Err(format!("{} holds another {key}", process.name));
                    }
                }
            }
        }
        for process in &self.processes {
            if let Some(Body::Gateway(link, _)) = &process.body
                && !link.is_level()
            {
                return Err(format!("{} holds all and does not know it", process.name));
            }
        }
        Ok(())
    }

    /// Counts what was written and what became of it.
    pub(super) fn sum_up(&mut self) {
        for line in self.ledger.values() {
            let count = |of: &dyn Fn(&crate::ledger::Write) -> bool| {
                line.writes.iter().filter(|w| of(w)).count() as u64
            };
            self.played.changes += count(&|_| true);
            self.played.answered += count(&|write| write.answered);
            self.played.abandoned += count(&|write| write.abandoned);
            self.played.unreplicated += count(&|write| write.answered && write.abandoned && write.excused);
            self.played.reused += u64::from(line.reused.is_some());
        }
    }
}
