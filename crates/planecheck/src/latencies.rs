//! How long changes took to come into force.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;
use crate::note::Note;

/// Percentiles of a set of latencies, in microseconds, to three digits; the worst is exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// How many there are.
    pub count: u64,
    /// The median.
    pub median: u64,
    /// 99 in a hundred are not longer.
    pub p99: u64,
    /// The longest.
    pub worst: u64,
}

/// Latencies of changes at holders, each holder for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latencies {
    /// All that were written while the holder had been started once.
    pub all: Summary,
    /// Of holders that lived all the while and were not told apart.
    pub steady: Summary,
    /// Of holders that were away, restarted or stuck in between.
    pub apart: Summary,
}

#[derive(Debug)]
struct Spread {
    histogram: Histogram<u64>,
    worst: u64,
}

impl Spread {
    fn new() -> Spread {
        // Danger: a histogram with a bound would drop what is beyond it; this one grows.
        let histogram = Histogram::new(3).expect("three digits are within what it takes");
        Spread { histogram, worst: 0 }
    }

    fn take(&mut self, micros: u64) {
        self.histogram.record(micros).expect("it grows with its values");
        self.worst = self.worst.max(micros);
    }

    fn summary(&self) -> Summary {
        Summary {
            count: self.histogram.len(),
            median: self.histogram.value_at_quantile(0.5).min(self.worst),
            p99: self.histogram.value_at_quantile(0.99).min(self.worst),
            worst: self.worst,
        }
    }
}

#[derive(Debug)]
struct Phase {
    name: String,
    from: Micros,
    to: Micros,
    all: Spread,
    steady: Spread,
    apart: Spread,
}

/// Latencies by phase.
#[derive(Debug)]
pub(crate) struct Spans {
    phases: Vec<Phase>,
}

impl Spans {
    pub(crate) fn new(notes: &[Note]) -> Spans {
        let named = notes.iter().filter_map(|note| match note {
            Note::Phase { from, to, name } => Some((*from, *to, name.clone())),
            _ => None,
        });
        let phase = |(from, to, name)| {
            let (all, steady, apart) = (Spread::new(), Spread::new(), Spread::new());
            Phase { name, from, to, all, steady, apart }
        };
        let whole = [(Micros::MIN, Micros::MAX, "all".to_owned())];
        Spans { phases: whole.into_iter().chain(named).map(phase).collect() }
    }

    pub(crate) fn take(&mut self, written: Micros, in_force: Micros, apart: bool) {
        // Clocks of two processes may differ by a little.
        let micros = (in_force - written).max(0) as u64;
        for phase in self.phases.iter_mut().filter(|p| p.from <= written && written < p.to) {
            phase.all.take(micros);
            let other = if apart { &mut phase.apart } else { &mut phase.steady };
            other.take(micros);
        }
    }

    pub(crate) fn summaries(&self) -> BTreeMap<String, Latencies> {
        let of = |p: &Phase| {
            let (all, steady, apart) = (p.all.summary(), p.steady.summary(), p.apart.summary());
            (p.name.clone(), Latencies { all, steady, apart })
        };
        self.phases.iter().map(of).collect()
    }
}
