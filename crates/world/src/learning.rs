//! When a gateway counts as told of a change, and when it learnt it.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// What a watch misses that has fallen silent counts as told so long after it fell silent, whether or not it arrived: lists
/// are pushed, with an empty line every 2 s, and three of these may be missed.
pub(crate) const SILENT: Micros = 6_000_000;

/// A node that drains, and the cold one in its place.
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub(crate) drains: Option<usize>,
    pub(crate) starts: usize,
}

/// A change that a gateway has not learnt.
struct Owed {
    revision: u64,
    /// From when its agent has it and can be asked, and from when it counts as told.
    has: Micros,
    counts: Micros,
}

/// One gateway's clock for the list.
pub(crate) struct Learning {
    /// The version that its agent knows.
    pub(crate) knows: u64,
    owed: VecDeque<Owed>,
    /// Draining nodes, and starts, from when each counts as told.
    pub(crate) drains: BTreeMap<usize, Micros>,
    pub(crate) starts: BTreeMap<usize, Micros>,
    /// Its watch has been silent since then, and none was answered after it.
    pub(crate) silent: Option<Micros>,
}

impl Learning {
    pub(crate) fn new(knows: u64) -> Self {
        let (drains, starts) = (BTreeMap::new(), BTreeMap::new());
        Learning { knows, owed: VecDeque::new(), drains, starts, silent: None }
    }

    /// Its agent has a change. `back`: until then the agent cannot be asked, and what it has counts from there.
    pub(crate) fn has(&mut self, now: Micros, revision: u64, change: Change, back: Option<Micros>) {
        let has = back.unwrap_or(now);
        let counts = self.silent.map_or(has, |since| has.max(since + SILENT));
        if let Some(n) = change.drains {
            self.drains.insert(n, counts);
        }
        self.starts.insert(change.starts, counts);
        // A node that has started again under its name leaves no mark in the gateway's table by which learning it shows.
        if change.drains.is_some() {
            self.owed.push_back(Owed { revision, has, counts });
        }
    }

    /// Its process is new: what the agent has counts from its first moment, or from when the agent is back. `known`: the
    /// version that it remembers.
    pub(crate) fn begin(
        &mut self,
        now: Micros,
        known: u64,
        changes: &BTreeMap<u64, Change>,
        back: Option<Micros>,
    ) {
        (self.silent, self.owed) = (None, VecDeque::new());
        let knows = self.knows;
        let remembered: Vec<Change> = changes.range(..=known.min(knows)).map(|(_, c)| *c).collect();
        for change in remembered {
            if let Some(n) = change.drains {
                self.drains.insert(n, now);
            }
            self.starts.insert(change.starts, now);
        }
        for (&revision, &change) in changes.range(known + 1..).filter(|(r, _)| **r <= knows) {
            self.has(now, revision, change, back);
        }
    }

    /// It has learnt a version: for each change, how long after the agent had it, and after it counted as told.
    pub(crate) fn learnt(&mut self, now: Micros, revision: u64) -> Vec<(Micros, Micros)> {
        let (known, owed) =
            std::mem::take(&mut self.owed).into_iter().partition(|o: &Owed| o.revision <= revision);
        self.owed = owed;
        let known: VecDeque<Owed> = known;
        known.into_iter().map(|o| (now - o.has, now - o.counts)).collect()
    }

    /// Changes that it has not learnt `grace` after they counted as told.
    pub(crate) fn overdue(&self, now: Micros, grace: Micros) -> u64 {
        self.owed.iter().filter(|o| now > o.counts + grace).count() as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHANGE: Change = Change { drains: Some(1), starts: 2 };

    #[test]
    fn what_a_silent_watch_misses_counts_six_seconds_after_it_fell_silent() {
        for (has, counts) in [(11, SILENT + 10), (SILENT + 5, SILENT + 10), (SILENT + 20, SILENT + 20)] {
            let mut learning = Learning::new(0);
            learning.silent = Some(10);
            learning.has(has, 7, CHANGE, None);
            assert_eq!(learning.drains[&1], counts);
            assert_eq!(learning.overdue(counts + 100, 100), 0);
            assert_eq!(learning.overdue(counts + 101, 100), 1);
            assert_eq!(learning.learnt(counts + 3, 7), [(counts + 3 - has, 3)]);
            assert_eq!(learning.overdue(Micros::MAX, 100), 0);
        }
    }

    #[test]
    fn a_new_process_counts_as_told_from_its_first_moment_and_after_an_outage_from_its_end() {
        let changes = BTreeMap::from([(7, CHANGE), (8, Change { drains: Some(3), starts: 4 })]);
        let mut learning = Learning::new(0);
        learning.knows = 8;
        learning.begin(50, 7, &changes, None);
        assert_eq!((learning.drains[&1], learning.drains[&3]), (50, 50));
        assert_eq!(learning.learnt(60, 8), [(10, 10)], "it remembers the first");
        learning.begin(70, 0, &changes, Some(90));
        assert_eq!((learning.drains[&1], learning.drains[&3]), (90, 90));
    }
}
