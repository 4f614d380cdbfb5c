//! What is counted: ends by class and second, latency from the intended time, and the generator's own lateness.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::behaviour::End;
use crate::scenario::{Class, Micros};

/// Latencies up to an hour. With four digits 5 s are told to half a millisecond, at 2 MiB; three are 4 ms off, at 0.2 MiB.
fn histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, digits).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

/// Percentiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Values.
    pub count: u64,
    /// Half are below.
    pub p50: u64,
    /// 90 of 100 are below.
    pub p90: u64,
    /// 99 of 100.
    pub p99: u64,
    /// 999 of 1,000.
    pub p999: u64,
    /// The longest.
    pub max: u64,
}

impl Latency {
    fn of(h: &Histogram<u64>) -> Latency {
        let at = |q| h.value_at_quantile(q);
        let max = if h.is_empty() { 0 } else { h.max() };
        Latency { count: h.len(), p50: at(0.5), p90: at(0.9), p99: at(0.99), p999: at(0.999), max }
    }
}

/// Sums of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// Its name.
    pub name: String,
    /// Commands wanted.
    pub wanted: u64,
    /// Ends by kind.
    pub ends: BTreeMap<End, u64>,
    /// Of what was served, over all tries, from the intended time.
    pub latency: Latency,
    /// Tries sent.
    pub tries: u64,
    /// Worth due, and earned.
    pub worth_due: f64,
    /// Worth earned.
    pub worth: f64,
}

/// A second of the run, by intended time for what was wanted and by the end's time for the rest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Which, from 0.
    pub second: u64,
    /// Commands wanted.
    pub wanted: u64,
    /// Ends by kind.
    pub ends: BTreeMap<End, u64>,
    /// Of what was served in it.
    pub latency: Latency,
    /// Worth due.
    pub worth_due: f64,
    /// Worth earned by what was wanted in it.
    pub worth: f64,
}

struct OfClass {
    wanted: u64,
    ends: BTreeMap<End, u64>,
    latency: Histogram<u64>,
    tries: u64,
    worth: f64,
}

#[derive(Default)]
struct OfSecond {
    wanted: u64,
    ends: BTreeMap<End, u64>,
    /// Kept small: most seconds need few buckets.
    latency: Option<Box<Histogram<u64>>>,
    worth_due: f64,
    worth: f64,
}

/// The meter of a run.
pub struct Meter {
    classes: Vec<Class>,
    by_class: Vec<OfClass>,
    seconds: Vec<OfSecond>,
    all: Histogram<u64>,
    lateness: Histogram<u64>,
    /// Answers that nobody waited for any more.
    pub(crate) late_answers: u64,
    pub(crate) lost_connections: u64,
    pub(crate) connections: u64,
    pub(crate) blocks_checked: u64,
    pub(crate) torn: u64,
    pub(crate) foreign: u64,
    pub(crate) stale: u64,
}

impl Meter {
    /// A meter for classes.
    pub fn new(classes: Vec<Class>) -> Self {
        let of = |_: &Class| OfClass {
            wanted: 0,
            ends: BTreeMap::new(),
            latency: histogram(4),
            tries: 0,
            worth: 0.0,
        };
        Meter {
            by_class: classes.iter().map(of).collect(),
            classes,
            seconds: Vec::new(),
            all: histogram(4),
            lateness: histogram(3),
            late_answers: 0,
            lost_connections: 0,
            connections: 0,
            blocks_checked: 0,
            torn: 0,
            foreign: 0,
            stale: 0,
        }
    }

    fn second(&mut self, at: Micros) -> &mut OfSecond {
        let n = (at.max(0) / 1_000_000) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize_with(n + 1, OfSecond::default);
        }
        &mut self.seconds[n]
    }

    /// A command was due, and its first try went out (or could not) at `sent`.
    pub fn wanted(&mut self, class: usize, intended: Micros, sent: Micros) {
        let worth = self.classes[class].worth;
        self.by_class[class].wanted += 1;
        let second = self.second(intended);
        second.wanted += 1;
        second.worth_due += worth;
        let _ = self.lateness.record((sent - intended).max(1) as u64); // Within the bounds of an hour.
    }

    /// A command ended at `now`.
    pub fn ended(
        &mut self,
        now: Micros,
        class: usize,
        intended: Micros,
        end: End,
        latency: Micros,
        tries: u32,
    ) {
        let c = &self.classes[class];
        let in_time = latency <= (c.aim_ms * 1000.0) as Micros;
        let worth = if end != End::Served { 0.0 } else { c.worth * if in_time { 1.0 } else { c.late_worth } };
        let of = &mut self.by_class[class];
        *of.ends.entry(end).or_default() += 1;
        of.tries += u64::from(tries);
        of.worth += worth;
        let value = latency.max(1) as u64;
        if end == End::Served {
            let _ = of.latency.record(value); // Within the bounds of an hour.
            let _ = self.all.record(value);
        }
        self.second(intended).worth += worth;
        let second = self.second(now);
        *second.ends.entry(end).or_default() += 1;
        if end == End::Served {
            let _ = second.latency.get_or_insert_with(|| Box::new(histogram(3))).record(value);
        }
    }

    /// Commands wanted and ends so far.
    pub fn so_far(&self) -> (u64, BTreeMap<End, u64>) {
        let mut ends = BTreeMap::new();
        for c in &self.by_class {
            c.ends.iter().for_each(|(k, n)| *ends.entry(*k).or_default() += n);
        }
        (self.by_class.iter().map(|c| c.wanted).sum(), ends)
    }

    /// The results so far.
    pub fn results(&self, late_ms: f64) -> Results {
        let classes = self.classes.iter().zip(&self.by_class).map(|(c, of)| ClassResult {
            name: c.name.clone(),
            wanted: of.wanted,
            ends: of.ends.clone(),
            latency: Latency::of(&of.latency),
            tries: of.tries,
            worth_due: c.worth * of.wanted as f64,
            worth: of.worth,
        });
        let seconds = self.seconds.iter().enumerate().map(|(n, s)| Second {
            second: n as u64,
            wanted: s.wanted,
            ends: s.ends.clone(),
            latency: s.latency.as_ref().map_or_else(Latency::default, |h| Latency::of(h)),
            worth_due: s.worth_due,
            worth: s.worth,
        });
        let classes: Vec<ClassResult> = classes.collect();
        let due: f64 = classes.iter().map(|c| c.worth_due).sum();
        let worth: f64 = classes.iter().map(|c| c.worth).sum();
        let lateness = Latency::of(&self.lateness);
        let curve = [0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0];
        let (wanted, ends) = self.so_far();
        Results {
            valid: lateness.p99 as f64 <= late_ms * 1000.0,
            wanted,
            ends,
            worth_part: if due > 0.0 { worth / due } else { 0.0 },
            latency: Latency::of(&self.all),
            percentiles: curve.map(|p| (p, self.all.value_at_percentile(p))).to_vec(),
            lateness,
            late_answers: self.late_answers,
            connections: self.connections,
            lost_connections: self.lost_connections,
            blocks_checked: self.blocks_checked,
            torn: self.torn,
            foreign: self.foreign,
            stale: self.stale,
            classes,
            seconds: seconds.collect(),
        }
    }
}

/// What a run came to. Latencies are of what was served, over all tries, from the intended time, in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The generator kept up: 99 of 100 commands went out within `load.late_ms` of their intended time.
    pub valid: bool,
    /// Commands wanted.
    pub wanted: u64,
    /// Ends by kind.
    pub ends: BTreeMap<End, u64>,
    /// Worth earned, as a part of the worth due.
    pub worth_part: f64,
    /// Latency of all classes.
    pub latency: Latency,
    /// The same at more points: percentile and microseconds.
    pub percentiles: Vec<(f64, u64)>,
    /// How late commands went out.
    pub lateness: Latency,
    /// Answers that nobody waited for any more.
    pub late_answers: u64,
    /// Connections made.
    pub connections: u64,
    /// Connections that broke.
    pub lost_connections: u64,
    /// Blocks that were read and checked.
    pub blocks_checked: u64,
    /// Of these, with bytes that do not belong together.
    pub torn: u64,
    /// Of these, from a write that went elsewhere or never ran.
    pub foreign: u64,
    /// Of these, overwritten before the read was sent, or lost.
    pub stale: u64,
    /// By class.
    pub classes: Vec<ClassResult>,
    /// By second.
    pub seconds: Vec<Second>,
}

impl Results {
    /// Every block was what it may be.
    pub fn data_is_right(&self) -> bool {
        self.torn + self.foreign + self.stale == 0
    }
}
