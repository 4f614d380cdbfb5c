//! One span of a day: what was used in it.

use std::time::Instant;

use planecheck::{Latencies, Note};
use records::Micros;

use crate::child::Child;
use crate::cost::Counters;
use crate::error::DayError;
use crate::report::{Cost, Measure, Row};
use crate::stage::Stage;

/// A span that has begun.
pub(crate) struct Span {
    name: String,
    pub(crate) from: Micros,
    start: Instant,
    machines: Counters,
    hollows: Counters,
    changes: u64,
    tries: u64,
    measures: Vec<Measure>,
}

impl Span {
    /// Adds a figure.
    pub(crate) fn measure(&mut self, what: &str, value: f64, unit: &str) {
        self.measures.push(Measure { what: what.to_owned(), value, unit: unit.to_owned() });
    }

    /// Seconds since its start.
    pub(crate) fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

fn sum<'a>(children: impl Iterator<Item = &'a Child>) -> Counters {
    children.fold(Counters::default(), |sum, child| sum.plus(child.counters()))
}

fn resident<'a>(children: impl Iterator<Item = &'a Child>) -> u64 {
    children.map(Child::resident).sum()
}

fn cost(used: Counters, seconds: f64, resident: u64, parts: usize) -> Cost {
    let parts = parts.max(1) as f64;
    let a_second = |bytes: u64| bytes as f64 / seconds / parts;
    Cost {
        core: used.used.as_secs_f64() / seconds / parts,
        bytes_in: a_second(used.bytes_in),
        bytes_out: a_second(used.bytes_out),
        resident: resident as f64 / parts,
    }
}

impl Stage<'_> {
    /// Begins a span.
    ///
    /// # Errors
    /// A process says nothing.
    pub(crate) fn begin(&self, name: &str) -> Result<Span, DayError> {
        self.until_fresh()?;
        Ok(Span {
            name: name.to_owned(),
            from: self.now(),
            start: Instant::now(),
            machines: sum(self.machines.iter().map(|m| &m.child)),
            hollows: sum(self.hollows.iter().map(|h| &h.child)),
            changes: self.ledger.changes(),
            tries: self.ledger.tries(),
            measures: Vec::new(),
        })
    }

    /// Ends it: a row of the report, and a phase for the checker.
    pub(crate) fn end(&mut self, span: Span) -> Result<(), DayError> {
        self.note(&Note::Phase { from: span.from, to: self.now(), name: span.name.clone() })?;
        self.until_fresh()?;
        let seconds = span.seconds().max(1e-6);
        let machines = sum(self.machines.iter().map(|m| &m.child)).since(span.machines);
        let hollows = sum(self.hollows.iter().map(|h| &h.child)).since(span.hollows);
        let subscribers = self.subscribers();
        let of_machines = resident(self.machines.iter().map(|m| &m.child));
        let of_hollows = resident(self.hollows.iter().map(|h| &h.child));
        let row = Row {
            span: span.name,
            seconds,
            changes: self.ledger.changes() - span.changes,
            tries: self.ledger.tries() - span.tries,
            in_force: Latencies::default(),
            gateway: cost(hollows, seconds, of_hollows, self.options.size.members()),
            machine: cost(machines, seconds, of_machines, self.machines.len()),
            notes_out: machines.notes_out,
            entries_out: machines.entries_out,
            bytes_out: machines.bytes_out,
            links: hollows.links,
            wholes: machines.wholes,
            turned_away: machines.turned_away + hollows.turned_away,
            subscribers: (
                subscribers.iter().copied().min().unwrap_or(0),
                subscribers.iter().copied().max().unwrap_or(0),
            ),
            measures: span.measures,
        };
        tracing::info!(span = row.span, seconds = row.seconds, changes = row.changes, "played");
        self.rows.push(row);
        Ok(())
    }
}
