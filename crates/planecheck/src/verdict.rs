//! What the checker found.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Micros;
use crate::latencies::Latencies;

/// Breaks of one kind that are told one by one at most.
const TOLD: u64 = 50;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakKind {
    /// An entry in force, or a place that is held, which no writer wrote so: mixed or invented.
    Unwritten,
    /// A key whose stamp did not rise at a holder: doubled or backward.
    NotRising,
    /// A cursor that went back within a life, or a start from a disk behind what was held.
    Backward,
    /// Two holders at one place with different digests or counts.
    Unequal,
    /// A count other than the replay of the writers' logs gives.
    Miscounted,
    /// A change that never came into force at a holder which is past it.
    Lost,
    /// A version written twice.
    WrittenTwice,
    /// Versions that a writer left out.
    Gap,
    /// A version of an epoch that was not open, or after a later one had opened; or an epoch that did not rise.
    Overtaken,
    /// A change of a key that another region owns.
    Foreign,
}

/// A break.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    /// What was broken.
    pub kind: BreakKind,
    /// When, by the line that shows it; 0 where only the end shows it.
    pub t: Micros,
    /// The holder, or the region of the writer.
    pub at: String,
    /// In words.
    pub what: String,
}

/// A holder that had not come to a region's end when the records ended. No break by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unreached {
    /// The holder.
    pub holder: String,
    /// The region.
    pub region: u16,
    /// Epoch and version that it held.
    pub held: (u64, u64),
    /// The region's last epoch and version.
    pub last: (u64, u64),
}

/// All that was found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// The first breaks of each kind.
    pub breaks: Vec<Break>,
    /// How many there were of each.
    pub counts: BTreeMap<BreakKind, u64>,
    /// How long changes took, from durable at the writer to in force at each holder: `all`, and by the names of the phases.
    pub latencies: BTreeMap<String, Latencies>,
    /// Changes that writers wrote.
    pub written: u64,
    /// Holders seen.
    pub holders: u64,
    /// Entries that came into force, over all holders.
    pub in_force: u64,
    /// Digests compared with another holder's at the same place.
    pub compared: u64,
    /// Changes that were lost with a writer's disk that was set back.
    pub lost_with_disk: u64,
    /// Holders, by region, that had not come to the end: the first of them.
    pub unreached: Vec<Unreached>,
    /// And how many.
    pub unreached_count: u64,
}

impl Verdict {
    /// Whether nothing was broken. A record in which nothing happened is good too: look at the numbers.
    pub fn is_good(&self) -> bool {
        self.counts.is_empty()
    }

    /// Breaks of all kinds.
    pub fn broken(&self) -> u64 {
        self.counts.values().sum()
    }

    pub(crate) fn found(&mut self, kind: BreakKind, t: Micros, at: String, what: String) {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        if *count <= TOLD {
            self.breaks.push(Break { kind, t, at, what });
        }
    }

    pub(crate) fn not_reached(&mut self, one: Unreached) {
        self.unreached_count += 1;
        if self.unreached_count <= TOLD {
            self.unreached.push(one);
        }
    }
}
