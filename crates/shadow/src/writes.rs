//! What this gateway writes: which blocks may have changed, and when.
//!
//! Each begin and each end is a step of a counter, the *tick*. A peer that was told tick `t` and asks later hears of each
//! write that was open at `t` or after it, on no clock at all.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::slice::Range;

/// Whether blocks were written in an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Seen {
    /// By nobody here.
    Quiet,
    /// A write was open, or may have been.
    Wrote,
    /// What is remembered does not reach so far.
    CannotSay,
}

struct Open {
    range: Range,
    began: Micros,
}

struct Ended {
    range: Range,
    began: Micros,
    ended: Micros,
    tick: u64,
}

pub(crate) struct Writes {
    rest: Micros,
    most: usize,
    tick: u64,
    open: BTreeMap<u64, Open>,
    /// Of unknown outcome, by the time when they can take effect no more.
    resting: VecDeque<(Micros, Open)>,
    ended: VecDeque<Ended>,
    /// What ended at or before these is forgotten.
    floor_tick: u64,
    floor_at: Micros,
    /// Nothing is known before this time; `None` once the tick has passed it too.
    blind: Option<Micros>,
}

impl Writes {
    /// Danger: an earlier life, or an earlier instance of this one, left writes in flight that nobody here knows.
    /// Harm: no difference is believed for the first `rest`.
    pub(crate) fn new(now: Micros, rest: Micros, most: usize) -> Writes {
        Writes {
            rest,
            most: most.max(1),
            tick: 0,
            open: BTreeMap::new(),
            resting: VecDeque::new(),
            ended: VecDeque::new(),
            floor_tick: 0,
            floor_at: Micros::MIN,
            blind: Some(now.saturating_add(rest)),
        }
    }

    pub(crate) fn tick(&self) -> u64 {
        self.tick
    }

    /// Whether some of what was written may not be known here.
    pub(crate) fn is_blind(&self) -> bool {
        self.blind.is_some()
    }

    pub(crate) fn began(&mut self, now: Micros, token: u64, range: Range) {
        self.pass(now);
        self.tick += 1;
        // A token that is used again while it is open: the older one's end will not be told.
        if let Some(open) = self.open.remove(&token) {
            self.rest(now, open);
        }
        if self.open.len() >= self.most {
            // It ends within its deadline, which is under `rest`, and may rest as long again.
            self.blind_until(now.saturating_add(self.rest.saturating_mul(2)));
        } else {
            self.open.insert(token, Open { range, began: now });
        }
    }

    pub(crate) fn ended(&mut self, now: Micros, token: u64, known: bool) {
        self.pass(now);
        // Writes outside of the slice are not followed, but their ends are told as well.
        let Some(open) = self.open.remove(&token) else { return };
        if known { self.end(now, open) } else { self.rest(now, open) }
    }

    fn rest(&mut self, now: Micros, open: Open) {
        self.resting.push_back((now.saturating_add(self.rest), open));
        if self.resting.len() > self.most
            && let Some((until, _)) = self.resting.pop_front()
        {
            self.blind_until(until);
        }
    }

    fn blind_until(&mut self, at: Micros) {
        self.blind = Some(self.blind.map_or(at, |until| until.max(at)));
    }

    fn end(&mut self, at: Micros, open: Open) {
        self.tick += 1;
        self.ended.push_back(Ended { range: open.range, began: open.began, ended: at, tick: self.tick });
        if self.ended.len() > self.most
            && let Some(last) = self.ended.pop_front()
        {
            self.floor_tick = self.floor_tick.max(last.tick);
            self.floor_at = self.floor_at.max(last.ended);
        }
    }

    /// Time goes on.
    pub(crate) fn pass(&mut self, now: Micros) {
        while self.resting.front().is_some_and(|(until, _)| *until < now) {
            if let Some((_, open)) = self.resting.pop_front() {
                // Not before `now`: a peer's question between `until` and now was answered as if it were open.
                self.end(now, open);
            }
        }
        if self.blind.is_some_and(|until| until < now) {
            self.blind = None;
            self.tick += 1;
            self.floor_tick = self.tick;
            self.floor_at = self.floor_at.max(now);
        }
    }

    fn is_open(&self, range: &Range) -> bool {
        self.open.values().chain(self.resting.iter().map(|(_, open)| open)).any(|o| o.range.overlaps(range))
    }

    /// Whether blocks may have been written here from `start` to `end`, both within.
    pub(crate) fn between(&self, range: &Range, start: Micros, end: Micros) -> Seen {
        let open = self.open.values().chain(self.resting.iter().map(|(_, open)| open));
        let open = open.filter(|o| o.began <= end).any(|o| o.range.overlaps(range));
        let ended = |e: &Ended| e.began <= end && e.ended >= start && e.range.overlaps(range);
        if open || self.ended.iter().any(ended) {
            Seen::Wrote
        } else if self.blind.is_some() || self.floor_at >= start {
            Seen::CannotSay
        } else {
            Seen::Quiet
        }
    }

    /// Whether blocks may have been written here after a tick that a peer was told.
    pub(crate) fn since(&self, range: &Range, tick: u64) -> Seen {
        if self.is_open(range) || self.ended.iter().any(|e| e.tick > tick && e.range.overlaps(range)) {
            Seen::Wrote
        } else if self.blind.is_some() || self.floor_tick > tick || tick > self.tick {
            Seen::CannotSay
        } else {
            Seen::Quiet
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REST: Micros = 1000;

    fn range(slba: u64) -> Range {
        Range { nsid: 1, slba, blocks: 4 }
    }

    fn settled() -> Writes {
        let mut writes = Writes::new(0, REST, 4);
        assert_eq!(writes.since(&range(0), 0), Seen::CannotSay, "an earlier life's writes are not known");
        writes.pass(REST + 1);
        writes
    }

    #[test]
    fn a_write_shows_while_it_is_open_and_to_whom_was_told_before_its_end() {
        let mut writes = settled();
        let before = writes.tick();
        writes.began(2000, 7, range(8));
        let within = writes.tick();
        assert_eq!(writes.since(&range(10), within), Seen::Wrote);
        assert_eq!(writes.since(&range(12), within), Seen::Quiet, "other blocks");
        writes.ended(3000, 7, true);
        assert_eq!(writes.since(&range(10), before), Seen::Wrote);
        assert_eq!(writes.since(&range(10), within), Seen::Wrote);
        assert_eq!(writes.since(&range(10), writes.tick()), Seen::Quiet);
        assert_eq!(writes.between(&range(8), 3000, 4000), Seen::Wrote, "both ends are within");
        assert_eq!(writes.between(&range(8), 3001, 4000), Seen::Quiet);
        assert_eq!(writes.between(&range(8), 1500, 1999), Seen::Quiet);
    }

    #[test]
    fn a_write_of_unknown_outcome_rests_open() {
        let mut writes = settled();
        writes.began(2000, 7, range(8));
        writes.ended(2100, 7, false);
        let told = writes.tick();
        writes.pass(2100 + REST);
        assert_eq!(writes.since(&range(8), told), Seen::Wrote);
        writes.pass(2101 + REST);
        assert_eq!(writes.since(&range(8), told), Seen::Wrote, "it was open when that was told");
        assert_eq!(writes.since(&range(8), writes.tick()), Seen::Quiet);
    }

    #[test]
    fn what_finds_no_room_makes_it_say_so() {
        let mut writes = settled();
        for token in 0..5 {
            writes.began(2000, token, range(token * 8));
        }
        assert_eq!(writes.since(&range(100), writes.tick()), Seen::CannotSay, "the fifth has no room");
        for token in 0..5 {
            writes.ended(2100, token, true);
        }
        let told = writes.tick();
        writes.pass(2001 + 2 * REST);
        assert_eq!(writes.since(&range(100), told), Seen::CannotSay);
        assert_eq!(writes.since(&range(100), writes.tick()), Seen::Quiet);
        assert_eq!(writes.between(&range(100), 2100, 2200), Seen::CannotSay);
        assert_eq!(writes.between(&range(100), 9000, 9001), Seen::Quiet);
        let told = writes.tick();
        for token in 0..6 {
            writes.began(9000, token, range(200));
            writes.ended(9001, token, true);
        }
        assert_eq!(writes.since(&range(0), told), Seen::CannotSay, "the ring does not reach so far");
    }
}
