//! Log of this gateway's writes: which blocks may have changed, and when.
//!
//! Each begin and each end of a write increments a counter, the *tick*. A peer that received tick `t` and queries it later
//! learns of each write that was open at `t` or later, without comparing clocks.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::slice::Range;

/// Whether blocks were written in an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Seen {
    /// Not by this gateway.
    Quiet,
    /// A write was open, or may have been.
    Wrote,
    /// The log does not reach back that far.
    CannotSay,
}

struct OpenWrite {
    range: Range,
    began: Micros,
}

struct EndedWrite {
    range: Range,
    began: Micros,
    ended: Micros,
    tick: u64,
}

pub(crate) struct WriteLog {
    rest: Micros,
    capacity: usize,
    tick: u64,
    open: BTreeMap<u64, OpenWrite>,
    /// WriteLog of unknown outcome, by the time from which they can no longer take effect.
    unresolved: VecDeque<(Micros, OpenWrite)>,
    ended: VecDeque<EndedWrite>,
    /// WriteLog that ended at or before this tick and time may have been dropped from the log.
    dropped_tick: u64,
    dropped_at: Micros,
    /// The log is incomplete until this time; `None` once a later tick was issued.
    blind_until: Option<Micros>,
}

impl WriteLog {
    /// An earlier life or instance may have left writes in flight that are not in this log, so the log is incomplete for the
    /// first `rest`. The cost: no difference counts during that time.
    pub(crate) fn new(now: Micros, rest: Micros, capacity: usize) -> WriteLog {
        WriteLog {
            rest,
            capacity: capacity.max(1),
            tick: 0,
            open: BTreeMap::new(),
            unresolved: VecDeque::new(),
            ended: VecDeque::new(),
            dropped_tick: 0,
            dropped_at: Micros::MIN,
            blind_until: Some(now.saturating_add(rest)),
        }
    }

    pub(crate) fn tick(&self) -> u64 {
        self.tick
    }

    /// Whether writes may be missing from the log.
    pub(crate) fn is_blind(&self) -> bool {
        self.blind_until.is_some()
    }

    pub(crate) fn began(&mut self, now: Micros, token: u64, range: Range) {
        self.advance(now);
        self.tick += 1;
        // A token that is reused while its write is open: the end of the older write will not be reported.
        if let Some(open) = self.open.remove(&token) {
            self.keep_unresolved(now, open);
        }
        if self.open.len() >= self.capacity {
            // It ends within its deadline, which is under `rest`, and may still run for `rest` after that.
            self.extend_blind(now.saturating_add(self.rest.saturating_mul(2)));
        } else {
            self.open.insert(token, OpenWrite { range, began: now });
        }
    }

    pub(crate) fn ended(&mut self, now: Micros, token: u64, known: bool) {
        self.advance(now);
        // Ends of writes outside of the slice are reported too, but those writes are not tracked.
        let Some(open) = self.open.remove(&token) else { return };
        if known { self.end(now, open) } else { self.keep_unresolved(now, open) }
    }

    fn keep_unresolved(&mut self, now: Micros, open: OpenWrite) {
        self.unresolved.push_back((now.saturating_add(self.rest), open));
        if self.unresolved.len() > self.capacity
            && let Some((until, _)) = self.unresolved.pop_front()
        {
            self.extend_blind(until);
        }
    }

    fn extend_blind(&mut self, at: Micros) {
        self.blind_until = Some(self.blind_until.map_or(at, |until| until.max(at)));
    }

    fn end(&mut self, at: Micros, open: OpenWrite) {
        self.tick += 1;
        self.ended.push_back(EndedWrite { range: open.range, began: open.began, ended: at, tick: self.tick });
        if self.ended.len() > self.capacity
            && let Some(last) = self.ended.pop_front()
        {
            self.dropped_tick = self.dropped_tick.max(last.tick);
            self.dropped_at = self.dropped_at.max(last.ended);
        }
    }

    /// Advances the clock to `now`.
    pub(crate) fn advance(&mut self, now: Micros) {
        while self.unresolved.front().is_some_and(|(until, _)| *until < now) {
            if let Some((_, open)) = self.unresolved.pop_front() {
                // The write ends at `now`, not at `until`: queries answered in between treated it as open.
                self.end(now, open);
            }
        }
        if self.blind_until.is_some_and(|until| until < now) {
            self.blind_until = None;
            self.tick += 1;
            self.dropped_tick = self.tick;
            self.dropped_at = self.dropped_at.max(now);
        }
    }

    fn is_open(&self, range: &Range) -> bool {
        self.open
            .values()
            .chain(self.unresolved.iter().map(|(_, open)| open))
            .any(|o| o.range.overlaps(range))
    }

    /// Whether blocks may have been written here between `start` and `end`, both inclusive.
    pub(crate) fn written_between(&self, range: &Range, start: Micros, end: Micros) -> Seen {
        let open = self.open.values().chain(self.unresolved.iter().map(|(_, open)| open));
        let open = open.filter(|o| o.began <= end).any(|o| o.range.overlaps(range));
        let ended = |e: &EndedWrite| e.began <= end && e.ended >= start && e.range.overlaps(range);
        if open || self.ended.iter().any(ended) {
            Seen::Wrote
        } else if self.blind_until.is_some() || self.dropped_at >= start {
            Seen::CannotSay
        } else {
            Seen::Quiet
        }
    }

    /// Whether blocks may have been written here after a tick that a peer received.
    pub(crate) fn written_since(&self, range: &Range, tick: u64) -> Seen {
        if self.is_open(range) || self.ended.iter().any(|e| e.tick > tick && e.range.overlaps(range)) {
            Seen::Wrote
        } else if self.blind_until.is_some() || self.dropped_tick > tick || tick > self.tick {
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

    fn complete_log() -> WriteLog {
        let mut writes = WriteLog::new(0, REST, 4);
        assert_eq!(
            writes.written_since(&range(0), 0),
            Seen::CannotSay,
            "writes of an earlier life are unknown"
        );
        writes.advance(REST + 1);
        writes
    }

    #[test]
    fn write_is_seen_while_open_and_by_peers_with_an_earlier_tick() {
        let mut writes = complete_log();
        let before = writes.tick();
        writes.began(2000, 7, range(8));
        let within = writes.tick();
        assert_eq!(writes.written_since(&range(10), within), Seen::Wrote);
        assert_eq!(writes.written_since(&range(12), within), Seen::Quiet, "other blocks");
        writes.ended(3000, 7, true);
        assert_eq!(writes.written_since(&range(10), before), Seen::Wrote);
        assert_eq!(writes.written_since(&range(10), within), Seen::Wrote);
        assert_eq!(writes.written_since(&range(10), writes.tick()), Seen::Quiet);
        assert_eq!(writes.written_between(&range(8), 3000, 4000), Seen::Wrote, "both ends are within");
        assert_eq!(writes.written_between(&range(8), 3001, 4000), Seen::Quiet);
        assert_eq!(writes.written_between(&range(8), 1500, 1999), Seen::Quiet);
    }

    #[test]
    fn write_of_unknown_outcome_counts_as_open_for_the_rest_period() {
        let mut writes = complete_log();
        writes.began(2000, 7, range(8));
        writes.ended(2100, 7, false);
        let reported_tick = writes.tick();
        writes.advance(2100 + REST);
        assert_eq!(writes.written_since(&range(8), reported_tick), Seen::Wrote);
        writes.advance(2101 + REST);
        assert_eq!(writes.written_since(&range(8), reported_tick), Seen::Wrote, "it was open at that tick");
        assert_eq!(writes.written_since(&range(8), writes.tick()), Seen::Quiet);
    }

    #[test]
    fn full_log_answers_that_it_cannot_say() {
        let mut writes = complete_log();
        for token in 0..5 {
            writes.began(2000, token, range(token * 8));
        }
        assert_eq!(
            writes.written_since(&range(100), writes.tick()),
            Seen::CannotSay,
            "the fifth has no room"
        );
        for token in 0..5 {
            writes.ended(2100, token, true);
        }
        let reported_tick = writes.tick();
        writes.advance(2001 + 2 * REST);
        assert_eq!(writes.written_since(&range(100), reported_tick), Seen::CannotSay);
        assert_eq!(writes.written_since(&range(100), writes.tick()), Seen::Quiet);
        assert_eq!(writes.written_between(&range(100), 2100, 2200), Seen::CannotSay);
        assert_eq!(writes.written_between(&range(100), 9000, 9001), Seen::Quiet);
        let reported_tick = writes.tick();
        for token in 0..6 {
            writes.began(9000, token, range(200));
            writes.ended(9001, token, true);
        }
        assert_eq!(
            writes.written_since(&range(0), reported_tick),
            Seen::CannotSay,
            "the log does not reach back that far"
        );
    }
}
