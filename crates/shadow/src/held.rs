//! Differences that wait for the peers' words.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::counts::Doubt;
use crate::message::Ask;
use crate::peers::Word;
use crate::tries::Pair;
use crate::writes::Seen;

/// What became of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judged {
    /// Nobody wrote in between.
    Quiet,
    /// A write explains it.
    Raced,
    /// It cannot be known.
    Doubt(Doubt),
}

pub(crate) struct Difference {
    pub(crate) pair: Pair,
    pub(crate) theirs: crate::digest::Digest,
    pub(crate) ended: Micros,
}

struct Held {
    difference: Difference,
    due: Micros,
    again: Micros,
    waiting: BTreeMap<PeerName, Word>,
}

pub(crate) struct Waiting {
    most: usize,
    hold: Micros,
    beat: Micros,
    /// Numbers go on from a drawn one: an answer to an earlier instance's question answers none of this one's.
    next: u64,
    held: BTreeMap<u64, Held>,
    /// A planted mistake: a word counts whichever life says it.
    any_life: bool,
}

impl Waiting {
    pub(crate) fn new(most: usize, hold: Micros, beat: Micros, first: u64, any_life: bool) -> Waiting {
        Waiting { most, hold, beat: beat.max(1), next: first, held: BTreeMap::new(), any_life }
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is room for one more.
    pub(crate) fn has_room(&self) -> bool {
        self.held.len() < self.most
    }

    /// Holds a difference until these peers have said their words.
    pub(crate) fn hold(&mut self, now: Micros, difference: Difference, words: Vec<(PeerName, Word)>) -> u64 {
        self.next = self.next.wrapping_add(1);
        let (due, again) = (now.saturating_add(self.hold), now.saturating_add(self.beat));
        let waiting = words.into_iter().collect();
        self.held.insert(self.next, Held { difference, due, again, waiting });
        self.next
    }

    /// What is to be asked about one.
    pub(crate) fn asks(&self, id: u64) -> Vec<(PeerName, Ask)> {
        let Some(held) = self.held.get(&id) else { return Vec::new() };
        let range = held.difference.pair.range;
        let ask = |word: &Word| Ask {
            id,
            of: word.seat,
            since: word.tick,
            nsid: range.nsid,
            slba: range.slba,
            blocks: range.blocks,
        };
        held.waiting.iter().map(|(name, word)| (name.clone(), ask(word))).collect()
    }

    /// A peer's word on one; what it is judged, if that is settled now. A word that was not waited for is passed over.
    pub(crate) fn said(
        &mut self,
        from: &PeerName,
        life: Life,
        seat: u64,
        id: u64,
        seen: Seen,
    ) -> Option<(Difference, Judged)> {
        let held = self.held.get_mut(&id)?;
        let word = held.waiting.get(from)?;
        let judged = if (word.life, word.seat) != (life, seat) && !self.any_life {
            // What its earlier life wrote after its word, nobody says any more.
            Judged::Doubt(Doubt::OtherLife)
        } else {
            match seen {
                Seen::Wrote => Judged::Raced,
                Seen::CannotSay => Judged::Doubt(Doubt::PeerCannotSay),
                Seen::Quiet => {
                    held.waiting.remove(from);
                    if !held.waiting.is_empty() {
                        return None;
                    }
                    Judged::Quiet
                }
            }
        };
        self.held.remove(&id).map(|held| (held.difference, judged))
    }

    /// Those that have waited long enough.
    pub(crate) fn overdue(&mut self, now: Micros) -> Vec<Difference> {
        let late: Vec<u64> =
            self.held.iter().filter(|(_, held)| held.due <= now).map(|(id, _)| *id).collect();
        late.iter().filter_map(|id| self.held.remove(id)).map(|held| held.difference).collect()
    }

    /// Those whose peers are to be asked again, as a note may be lost. Never the nodes.
    pub(crate) fn again(&mut self, now: Micros) -> Vec<u64> {
        let beat = self.beat;
        let due = self.held.iter_mut().filter(|(_, held)| held.again <= now);
        due.map(|(id, held)| {
            held.again = now.saturating_add(beat);
            *id
        })
        .collect()
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.held.values().map(|held| held.due.min(held.again)).min()
    }
}
