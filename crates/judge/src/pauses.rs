//! When processes stood still, and when what one sent to another was kept on its way.

use std::collections::BTreeMap;

use records::{DayLine, Micros};

/// From when to when; to the end of time where it did not end.
pub(crate) type Span = (Micros, Micros);

/// All pauses of a day, as its director wrote them down.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pauses {
    /// By process.
    stalls: BTreeMap<String, Vec<Span>>,
    /// By sender and receiver.
    held: BTreeMap<(String, String), Vec<Span>>,
    /// The same, with how late a piece comes at most.
    late: BTreeMap<(String, String), Vec<(Span, Micros)>>,
}

impl Pauses {
    pub(crate) fn of(lines: &[DayLine]) -> Self {
        let mut pauses = Pauses::default();
        for line in lines {
            match line {
                DayLine::Stall { t, gateway, on: true } => {
                    let here = pauses.stalls.entry(gateway.clone()).or_default();
                    if here.last().is_none_or(|s| s.1 < Micros::MAX) {
                        here.push((*t, Micros::MAX));
                    }
                }
                // A killed one does not go on; another process takes its name.
                DayLine::Stall { t, gateway, on: false } | DayLine::Down { t, gateway, killed: true } => {
                    if let Some(last) = pauses.stalls.get_mut(gateway).and_then(|s| s.last_mut()) {
                        last.1 = last.1.min(*t);
                    }
                }
                DayLine::Way { t, from, to, held, late } => {
                    let ends = || (from.clone(), to.clone());
                    let here = pauses.held.entry(ends()).or_default();
                    match here.last_mut() {
                        Some(last) if last.1 == Micros::MAX && !held => last.1 = *t,
                        Some(last) if last.1 == Micros::MAX => {}
                        _ if *held => here.push((*t, Micros::MAX)),
                        _ => {}
                    }
                    let here = pauses.late.entry(ends()).or_default();
                    if let Some(last) = here.last_mut().filter(|l| l.0.1 == Micros::MAX) {
                        last.0.1 = *t;
                    }
                    if *late > 0 {
                        here.push(((*t, Micros::MAX), *late));
                    }
                }
                _ => {}
            }
        }
        pauses
    }

    /// When a process stood still.
    pub(crate) fn stalls(&self, process: &str) -> &[Span] {
        self.stalls.get(process).map_or(&[], Vec::as_slice)
    }

    /// When what one sent to another was kept.
    pub(crate) fn held(&self, from: &str, to: &str) -> &[Span] {
        self.held.get(&(from.to_owned(), to.to_owned())).map_or(&[], Vec::as_slice)
    }

    /// How late at most what arrives at a time comes from a sender.
    pub(crate) fn late(&self, from: &str, to: &str, at: Micros, slack: Micros) -> Micros {
        let here = self.late.get(&(from.to_owned(), to.to_owned())).into_iter().flatten();
        // What was on its way when it got better still comes late.
        let on = here.filter(|((since, until), late)| {
            *since <= at && at <= until.saturating_add(*late).saturating_add(slack)
        });
        on.map(|(_, late)| *late).max().unwrap_or(0)
    }

    /// The earliest moment at which something may have been sent that was read at one, over one way.
    pub(crate) fn earliest(&self, from: &str, to: &str, read: Micros, slack: Micros) -> Micros {
        let arrived = before(self.stalls(to), read, slack);
        let passed = before(self.held(from, to), arrived, slack);
        let sent = passed - self.late(from, to, passed, slack);
        before(self.stalls(from), before(self.held(from, to), sent, slack), slack)
    }

    /// The latest moment at which something is read that was sent at one, over one way.
    pub(crate) fn latest(&self, from: &str, to: &str, sent: Micros) -> Micros {
        let passed = after(self.held(from, to), sent.saturating_add(self.late(from, to, sent, 0)));
        after(self.stalls(to), passed)
    }

    /// How much of a span a command and its answer may have spent on their way between two, at most.
    pub(crate) fn on_the_way(&self, client: &str, gateway: &str, span: Span, slack: Micros) -> Micros {
        let way = |from: &str, to: &str| {
            let held = self.held(from, to).iter().map(|s| (span.1.min(s.1) - span.0.max(s.0)).max(0));
            let late = self.late(from, to, span.0, slack).max(self.late(from, to, span.1, slack));
            held.sum::<Micros>() + late
        };
        way(client, gateway) + way(gateway, client)
    }

    /// Whether either way between two was cut within a span, and until when at the latest.
    pub(crate) fn cut_until(&self, one: &str, other: &str, from: Micros, to: Micros) -> Option<Micros> {
        let both = self.held(one, other).iter().chain(self.held(other, one));
        both.filter(|s| s.0 <= to && s.1 >= from).map(|s| s.1).max()
    }
}

/// The moment, or the beginning of the pauses that it may have been put off by.
fn before(spans: &[Span], mut at: Micros, slack: Micros) -> Micros {
    for span in spans.iter().rev() {
        if (span.0..=span.1.saturating_add(slack)).contains(&at) {
            at = span.0;
        }
    }
    at
}

/// The moment, or the end of the pauses that it falls into.
fn after(spans: &[Span], mut at: Micros) -> Micros {
    for span in spans {
        if (span.0..span.1).contains(&at) {
            at = span.1;
        }
    }
    at
}
