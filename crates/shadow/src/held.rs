//! Differences that wait for the peers' answers.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::counts::Doubt;
use crate::message::Query;
use crate::peers::PeerTick;
use crate::tries::Pair;
use crate::writes::Seen;

/// How a difference was judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// No gateway wrote the blocks in between.
    Quiet,
    /// A write explains it.
    Raced,
    /// It is unknown whether a write explains it.
    Doubt(Doubt),
}

pub(crate) struct Difference {
    pub(crate) pair: Pair,
    pub(crate) candidate_digest: crate::digest::Digest,
    pub(crate) ended: Micros,
}

struct PendingDifference {
    difference: Difference,
    deadline: Micros,
    query_at: Micros,
    awaited: BTreeMap<PeerName, PeerTick>,
}

pub(crate) struct PendingDifferences {
    capacity: usize,
    timeout: Micros,
    query_interval: Micros,
    /// Identifiers start at a random number, so that an answer to an earlier instance's query matches none of this one's.
    last_id: u64,
    held: BTreeMap<u64, PendingDifference>,
    /// Injected fault: an answer counts whichever life of the peer sends it.
    any_life: bool,
}

impl PendingDifferences {
    pub(crate) fn new(
        capacity: usize,
        timeout: Micros,
        query_interval: Micros,
        first: u64,
        any_life: bool,
    ) -> PendingDifferences {
        PendingDifferences {
            capacity,
            timeout,
            query_interval: query_interval.max(1),
            last_id: first,
            held: BTreeMap::new(),
            any_life,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether another difference can be held.
    pub(crate) fn has_room(&self) -> bool {
        self.held.len() < self.capacity
    }

    /// Holds a difference until these peers have answered, and returns its identifier.
    pub(crate) fn hold(
        &mut self,
        now: Micros,
        difference: Difference,
        ticks: Vec<(PeerName, PeerTick)>,
    ) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        let (deadline, query_at) =
            (now.saturating_add(self.timeout), now.saturating_add(self.query_interval));
        let awaited = ticks.into_iter().collect();
        self.held.insert(self.last_id, PendingDifference { difference, deadline, query_at, awaited });
        self.last_id
    }

    /// The queries to send to peers about a difference.
    pub(crate) fn queries(&self, id: u64) -> Vec<(PeerName, Query)> {
        let Some(held) = self.held.get(&id) else { return Vec::new() };
        let range = held.difference.pair.range;
        let query = |tick: &PeerTick| Query {
            id,
            of: tick.seat,
            since: tick.tick,
            nsid: range.nsid,
            slba: range.slba,
            blocks: range.blocks,
        };
        held.awaited.iter().map(|(name, tick)| (name.clone(), query(tick))).collect()
    }

    /// Processes a peer's answer; returns the difference and its judgement if that is final. An answer that is not awaited is
    /// ignored.
    pub(crate) fn on_answer(
        &mut self,
        from: &PeerName,
        life: Life,
        seat: u64,
        id: u64,
        seen: Seen,
    ) -> Option<(Difference, Judgement)> {
        let held = self.held.get_mut(&id)?;
        let tick = held.awaited.get(from)?;
        let judgement = if (tick.life, tick.seat) != (life, seat) && !self.any_life {
            // Nobody can say what the peer's earlier life wrote after its tick.
            Judgement::Doubt(Doubt::OtherLife)
        } else {
            match seen {
                Seen::Wrote => Judgement::Raced,
                Seen::CannotSay => Judgement::Doubt(Doubt::PeerCannotSay),
                Seen::Quiet => {
                    held.awaited.remove(from);
                    if !held.awaited.is_empty() {
                        return None;
                    }
                    Judgement::Quiet
                }
            }
        };
        self.held.remove(&id).map(|held| (held.difference, judgement))
    }

    /// Removes and returns the differences that have waited too long.
    pub(crate) fn overdue(&mut self, now: Micros) -> Vec<Difference> {
        let late: Vec<u64> =
            self.held.iter().filter(|(_, held)| held.deadline <= now).map(|(id, _)| *id).collect();
        late.iter().filter_map(|id| self.held.remove(id)).map(|held| held.difference).collect()
    }

    /// Identifiers of the differences whose peers are to be queried again, as a message may be lost. Nodes are never read
    /// again.
    pub(crate) fn due_queries(&mut self, now: Micros) -> Vec<u64> {
        let query_interval = self.query_interval;
        let due = self.held.iter_mut().filter(|(_, held)| held.query_at <= now);
        due.map(|(id, held)| {
            held.query_at = now.saturating_add(query_interval);
            *id
        })
        .collect()
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.held.values().map(|held| held.deadline.min(held.query_at)).min()
    }
}
