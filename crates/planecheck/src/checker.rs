//! Takes facts one by one and finds what is broken.

use std::collections::HashMap;

use crate::Micros;
use crate::fact::{Cursor, Fact, Sum};
use crate::history::{History, NONE, Place, Write};
use crate::holder::{Holder, Last, Part};
use crate::latencies::Spans;
use crate::lost;
use crate::names::Names;
use crate::note::{Note, Options};
use crate::verdict::{BreakKind, Verdict};

/// Holds facts against what has to be true.
///
/// A holder's facts come in the order in which it wrote them; a writer's change comes before a holder's fact that rests on it,
/// as it does in the order of time.
#[derive(Debug)]
pub struct Checker {
    options: Options,
    keys: Names,
    names: Names,
    pub(crate) holders: Vec<Holder>,
    pub(crate) history: History,
    /// What was said of each place first, and by whom; a place is a region and its last change.
    sums: HashMap<(u16, u32), (Sum, u32)>,
    /// When every holder was away, restarted or stuck.
    apart: Vec<(Micros, Micros)>,
    spans: Spans,
    verdict: Verdict,
}

/// One line of a holder on an entry.
struct Entry<'a> {
    t: Micros,
    holder: u32,
    epoch: u64,
    version: u64,
    key: &'a str,
    hash: Option<u64>,
    whole: bool,
}

/// Checks facts, in the order in which [`Checker`] takes them.
pub fn check<'a>(facts: impl IntoIterator<Item = Fact<'a>>, options: Options) -> Verdict {
    let mut checker = Checker::new(options);
    facts.into_iter().for_each(|fact| checker.take(&fact));
    checker.finish()
}

impl Checker {
    /// A checker that has seen nothing yet.
    pub fn new(options: Options) -> Checker {
        let everyone = |note: &Note| match note {
            Note::Apart { from, to, holder: None } => Some((*from, *to)),
            _ => None,
        };
        Checker {
            apart: options.notes.iter().filter_map(everyone).collect(),
            spans: Spans::new(&options.notes),
            options,
            keys: Names::default(),
            names: Names::default(),
            holders: Vec::new(),
            history: History::default(),
            sums: HashMap::new(),
            verdict: Verdict::default(),
        }
    }

    /// Takes a fact.
    pub fn take(&mut self, fact: &Fact<'_>) {
        match *fact {
            Fact::Written { t, at, key, hash } => self.wrote(t, at, key, hash),
            Fact::Opened { t, region, epoch, first } => {
                let is_back = |note: &Note| match note {
                    Note::WriterSetBack { t: back, region: of } => *of == region && *back <= t,
                    _ => false,
                };
                let set_back = self.options.notes.iter().any(is_back);
                let (found, cut) = self.history.open(region, epoch, first, set_back);
                if set_back {
                    self.verdict.lost_with_disk += cut;
                }
                if let Some((kind, what)) = found {
                    self.verdict.found(kind, t, format!("region {region}"), what);
                }
            }
            Fact::Started { t, holder, life, at, sum } => {
                let holder = self.holder(holder, life, t);
                let off = self.is_off(holder, at.region);
                if let Some(what) = self.holders[holder as usize].starts(at, off) {
                    self.found(BreakKind::Backward, t, holder, what);
                }
                self.holds(t, holder, at);
                self.sum(t, holder, at, sum);
            }
            Fact::InForce { t, holder, life, epoch, version, key, hash, whole } => {
                let holder = self.holder(holder, life, t);
                self.verdict.in_force += 1;
                self.in_force(Entry { t, holder, epoch, version, key, hash, whole });
            }
            Fact::Gone { t, holder, life, key } => {
                let holder = self.holder(holder, life, t);
                self.gone(t, holder, key);
            }
            Fact::Held { t, holder, life, at } => {
                let holder = self.holder(holder, life, t);
                self.goes_to(t, holder, at);
                self.holds(t, holder, at);
            }
            Fact::Summed { t, holder, life, at, sum } => {
                let holder = self.holder(holder, life, t);
                self.goes_to(t, holder, at);
                self.holds(t, holder, at);
                self.sum(t, holder, at, sum);
            }
        }
    }

    /// Nothing more comes: what was lost, and the verdict.
    pub fn finish(mut self) -> Verdict {
        let mut verdict = std::mem::take(&mut self.verdict);
        lost::find(&self, &mut verdict);
        verdict.written = self.history.len() as u64;
        verdict.holders = self.holders.len() as u64;
        verdict.latencies = self.spans.summaries();
        verdict
    }

    pub(crate) fn name(&self, holder: u32) -> &str {
        self.names.name(holder)
    }

    pub(crate) fn key(&self, key: u32) -> &str {
        self.keys.name(key)
    }

    fn found(&mut self, kind: BreakKind, t: Micros, holder: u32, what: String) {
        let at = self.names.name(holder).to_owned();
        self.verdict.found(kind, t, at, what);
    }

    /// A holder that says something.
    fn holder(&mut self, name: &str, life: u64, t: Micros) -> u32 {
        let number = self.names.number(name);
        if number as usize == self.holders.len() {
            let mut holder = Holder {
                is_machine: self.options.machines.iter().any(|other| other == name),
                ..Holder::default()
            };
            for note in &self.options.notes {
                match note {
                    Note::Apart { from, to, holder: Some(of) } if of == name => {
                        holder.apart.push((*from, *to))
                    }
                    Note::SetBack { t, holder: of } if of == name => holder.set_back.push(*t),
                    _ => {}
                }
            }
            holder.set_back.sort_unstable_by_key(|t| std::cmp::Reverse(*t));
            self.holders.push(holder);
        }
        self.holders[number as usize].lives(life, t);
        number
    }

    fn wrote(&mut self, t: Micros, at: Cursor, key: &str, hash: Option<u64>) {
        if owner(key) != Some(at.region) {
            let what = format!("{}.{} changes {key}", at.epoch, at.version);
            self.verdict.found(BreakKind::Foreign, t, format!("region {}", at.region), what);
        }
        let key = self.keys.number(key);
        if let Some((kind, what)) = self.history.wrote(Write { t, at, key, hash, before: NONE }) {
            self.verdict.found(kind, t, format!("region {}", at.region), what);
        }
    }

    /// The part of a holder, in a life that has begun.
    fn part(&mut self, t: Micros, holder: u32, region: u16) -> &mut Part {
        let found = self.holders[holder as usize].part(region).1;
        if let Some(what) = found {
            self.found(BreakKind::Backward, t, holder, what);
        }
        self.holders[holder as usize].part(region).0
    }

    /// Whether a holder stands at what a later epoch has cut off.
    fn is_off(&self, holder: u32, region: u16) -> bool {
        let part = self.holders[holder as usize].parts.get(&region);
        let held = part.map(|part| Cursor { region, epoch: part.epoch, version: part.version });
        matches!(held.and_then(|held| self.history.place(held)), Some(Place::Off(_)))
    }

    fn goes_to(&mut self, t: Micros, holder: u32, at: Cursor) {
        let off = self.is_off(holder, at.region);
        let part = self.part(t, holder, at.region);
        let found = part.goes_back(at, off);
        (part.epoch, part.version) = (at.epoch, at.version);
        if let Some(what) = found {
            self.found(BreakKind::Backward, t, holder, what);
        }
    }

    /// Some writer stood where a holder says it stands.
    fn holds(&mut self, t: Micros, holder: u32, at: Cursor) {
        if self.history.place(at).is_none() {
            let what = format!("region {}: no writer stood at {}.{}", at.region, at.epoch, at.version);
            self.found(BreakKind::Unwritten, t, holder, what);
        }
    }

    fn sum(&mut self, t: Micros, holder: u32, at: Cursor, sum: Sum) {
        let place = self.history.place(at);
        let (id, live) = match place {
            None => return,
            Some(Place::Empty) => (NONE, Some(0)),
            Some(Place::Line(id)) => (id, self.history.live(at.region, at.version)),
            Some(Place::Off(id)) => (id, None),
        };
        let stamp = format!("region {} at {}.{}", at.region, at.epoch, at.version);
        if let Some(live) = live.filter(|live| *live != sum.count) {
            let what = format!("{stamp}: {} entries, and {live} were written", sum.count);
            self.found(BreakKind::Miscounted, t, holder, what);
        }
        let first = *self.sums.entry((at.region, id)).or_insert((sum, holder));
        if first.1 != holder {
            self.verdict.compared += 1;
        }
        if first.0 != sum {
            let (a, b) = (first.0, sum);
            let other = self.name(first.1);
            let what = format!(
                "{stamp}: {} entries, digest {:032x}; {other} has {} and {:032x}",
                b.count, b.digest, a.count, a.digest
            );
            self.found(BreakKind::Unequal, t, holder, what);
        }
    }

    fn in_force(&mut self, entry: Entry<'_>) {
        let Entry { t, holder, epoch, version, .. } = entry;
        let stamp = || format!("{} at {epoch}.{version}", entry.key);
        let Some(region) = owner(entry.key) else {
            return self.found(BreakKind::Unwritten, t, holder, format!("{}: no key of a region", stamp()));
        };
        let Some(id) = self.history.find(region, epoch, version) else {
            return self.found(BreakKind::Unwritten, t, holder, format!("{}: no writer wrote it", stamp()));
        };
        let write = *self.history.write(id);
        if self.keys.find(entry.key) != Some(write.key) || write.hash != entry.hash {
            let wrote = self.key(write.key);
            let what =
                format!("{}: {}; {} of {wrote} was written", stamp(), hash(entry.hash), hash(write.hash));
            return self.found(BreakKind::Unwritten, t, holder, what);
        }
        let part = self.part(t, holder, region);
        let held = (part.version, part.from_disk);
        let last = self.holders[holder as usize].keys.get(&write.key).copied();
        // What a later epoch has cut off is replaced by what its line has, which may be older.
        let before = last.map(Last::id).filter(|id| self.history.is_on_line(*id));
        let before = before.map(|id| self.history.write(id).at);
        if let Some(before) = before.filter(|before| (before.epoch, before.version) >= (epoch, version)) {
            let what = format!("{} after {}.{}", stamp(), before.epoch, before.version);
            return self.found(BreakKind::NotRising, t, holder, what);
        }
        if !entry.whole && version <= held.0 {
            let what = format!("{}, and its region was held up to {} already", stamp(), held.0);
            return self.found(BreakKind::NotRising, t, holder, what);
        }
        let known = last.map_or(0, |last| self.history.write(last.id()).at.version);
        self.timed(t, holder, id, known.max(held.1));
        self.holders[holder as usize].keys.insert(write.key, Last::changed(id));
    }

    /// A change has come into force, and with it those of its key behind a version.
    fn timed(&mut self, t: Micros, holder: u32, mut id: u32, known: u64) {
        let holder = &self.holders[holder as usize];
        while id != NONE && !holder.is_machine {
            let write = self.history.write(id);
            if write.at.version <= known || write.t < holder.first {
                return;
            }
            let reaches = |(from, to): &(Micros, Micros)| *from < t && write.t < *to;
            let apart = write.t < holder.started
                || holder.apart.iter().any(reaches)
                || self.apart.iter().any(reaches);
            self.spans.take(write.t, t, apart);
            id = write.before;
        }
    }

    fn gone(&mut self, t: Micros, holder: u32, key: &str) {
        let (Some(region), Some(number)) = (owner(key), self.keys.find(key)) else {
            return self.found(
                BreakKind::Unwritten,
                t,
                holder,
                format!("{key} is gone, and was never written"),
            );
        };
        let version = self.part(t, holder, region).version;
        let last = self.holders[holder as usize].keys.get(&number).copied();
        if last.is_some_and(Last::is_gone) {
            return self.found(
                BreakKind::NotRising,
                t,
                holder,
                format!("{key} is gone, and was gone before"),
            );
        }
        let before = last.map(Last::id).or_else(|| self.history.back(self.history.last(number), version));
        let Some(before) = before else {
            let what = format!("{key} is gone, and was not written before {version}");
            return self.found(BreakKind::Unwritten, t, holder, what);
        };
        self.holders[holder as usize].keys.insert(number, Last::gone(before));
    }
}

/// The region that a key names.
fn owner(key: &str) -> Option<u16> {
    key.split_once('/')?.0.parse().ok()
}

fn hash(hash: Option<u64>) -> String {
    hash.map_or("a deletion".to_owned(), |hash| format!("value {hash:016x}"))
}
