//! What is counted over the whole fleet.

use std::collections::VecDeque;

use crate::Micros;

/// Counts over all gateways, nodes and clients of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that clients asked.
    pub asked: u64,
    /// Answered with service within the aim.
    pub in_time: u64,
    /// Answered with service later, within the client's patience.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Refused or failed after more than half of the patience, with nothing of it sent to a node.
    pub held_back: u64,
    /// Had no answer half a second after their time.
    pub unanswered: u64,
    /// Found no gateway: it refused or reset the connection.
    pub nobody: u64,
    /// Of the rest, those whose connection ended without an answer.
    pub cut: u64,
    /// Requests that reached nodes, each attempt counted.
    pub attempts: u64,
    /// Of these, those whose request had reached a node before.
    pub further: u64,
    /// Attempts that nodes turned away.
    pub full: u64,
    /// Writes that took effect more than once.
    pub doubled: u64,
    /// Connections opened to nodes.
    pub connects: u64,
    /// Of these, those that came up, and those on which a request came.
    pub came_up: u64,
    /// See [`Tally::came_up`].
    pub used: u64,
    /// Connections that nodes reset because they hold too many.
    pub crowded: u64,
    /// The most connections that one node held.
    pub most_connections: usize,
    /// Calls for the list.
    pub list_calls: u64,
    /// The most calls for the list within a tenth of a second.
    pub most_list_calls: usize,
    /// Cold nodes that fell over.
    pub fallen: u64,
    /// Units sent to cold nodes, and units that they always bear, over the windows in which they were cold.
    pub cold_sent: f64,
    /// See [`Tally::cold_sent`].
    pub cold_borne: f64,
    /// The most entries in the tables of one gateway.
    pub most_held: usize,
    /// Gateways started.
    pub starts: u64,
    /// Requests open at gateways that are no more.
    pub killed_open: u64,
    /// The most calls for the list within a tenth of a second that were not a gateway's first.
    pub most_again: usize,
    /// How long after its agent had it each gateway learnt each change, and after it counted as told.
    pub learning: Vec<(Micros, Micros)>,
    /// Changes that gateways had not learnt at the end, the grace after they counted as told.
    pub unlearnt: u64,
    /// Requests sent to draining nodes later than the grace allows.
    pub drained_late: u64,
    /// The longest time from when a drain counted as told to a request to that node.
    pub latest_drain: Micros,
    /// Answers handed to another request than the one they were made for.
    pub wrong: u64,
    /// Answers that nodes sent twice.
    pub repeated: u64,
    /// Cold nodes that fall by the platform's budget by the fault of gateways that had been told.
    pub cold_blamed: u64,
    /// The most of what a cold node bears in a window that one of them got.
    pub cold_worst: f64,
    /// Requests that clients sent to gateways that had been told to leave.
    pub pressed: u64,
    /// Of the requests at gateways that were told to leave, those without an answer: come within 0.7 s of that, and later.
    pub lost_early: u64,
    /// See [`Tally::lost_early`].
    pub lost_late: u64,
    /// Watches that fell silent.
    pub silenced: u64,
    /// Microseconds of all outages of agents.
    pub outages: Micros,
    calls: VecDeque<Micros>,
    again: VecDeque<Micros>,
}

impl Tally {
    /// A gateway called for the list; `first` since it started.
    pub(crate) fn list_call(&mut self, now: Micros, first: bool) {
        self.list_calls += 1;
        self.most_list_calls = self.most_list_calls.max(lately(&mut self.calls, now));
        if !first {
            self.most_again = self.most_again.max(lately(&mut self.again, now));
        }
    }

    /// A gateway learnt a change, so long after its agent had it, and after it counted as told.
    pub(crate) fn learnt(&mut self, since_has: Micros, since_counts: Micros) {
        self.learning.push((since_has, since_counts));
    }

    /// How long gateways took to learn a change from when their agent had it: the median, and the longest.
    pub fn learnt_after(&self) -> (Micros, Micros) {
        let mut all: Vec<Micros> = self.learning.iter().map(|l| l.0).collect();
        all.sort_unstable();
        (all.get(all.len() / 2).copied().unwrap_or(0), all.last().copied().unwrap_or(0))
    }

    /// The longest that a gateway took from when a change counted as told; below 0: it never came to that.
    pub fn learnt_late(&self) -> Micros {
        self.learning.iter().map(|l| l.1).max().unwrap_or(0)
    }

    /// Part of what was asked that was served in time.
    pub fn service(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Requests whose end was seen, of whatever kind.
    pub fn ended(&self) -> u64 {
        self.in_time + self.late + self.refused + self.failed + self.unanswered + self.nobody + self.cut
    }

    /// A line a figure, for tests and reports.
    pub fn lines(&self) -> String {
        format!(
            "asked {} in time {} late {} refused {} failed {} nobody {} cut {} unanswered {} held back {}\n\
             attempts {} further {} full {} doubled {}\n\
             connects {} up {} used {} crowded {} most connections {}\n\
             list calls {} most at once {}, again {}\n\
             fallen {} cold sent {:.0} of {:.0}\n\
             worst cold node {:.2} of what it bears, fallen by those told {}\n\
             learnt {} after median {} ms, at worst {} ms, {} ms after it counted; never {}\n\
             to draining nodes too late {}, at worst {} ms after the word\n\
             answers for another request {}, sent twice {}\n\
             asked after the word to leave {}, lost of the first 0.7 s {}, of later {}\n\
             most held {}",
            self.asked,
            self.in_time,
            self.late,
            self.refused,
            self.failed,
            self.nobody,
            self.cut,
            self.unanswered,
            self.held_back,
            self.attempts,
            self.further,
            self.full,
            self.doubled,
            self.connects,
            self.came_up,
            self.used,
            self.crowded,
            self.most_connections,
            self.list_calls,
            self.most_list_calls,
            self.most_again,
            self.fallen,
            self.cold_sent,
            self.cold_borne,
            self.cold_worst,
            self.cold_blamed,
            self.learning.len(),
            self.learnt_after().0 / 1000,
            self.learnt_after().1 / 1000,
            self.learnt_late() / 1000,
            self.unlearnt,
            self.drained_late,
            self.latest_drain / 1000,
            self.wrong,
            self.repeated,
            self.pressed,
            self.lost_early,
            self.lost_late,
            self.most_held
        )
    }
}

/// Adds a call, and counts those of the last tenth of a second.
fn lately(calls: &mut VecDeque<Micros>, now: Micros) -> usize {
    calls.push_back(now);
    while calls.front().is_some_and(|&t| t <= now - 100_000) {
        calls.pop_front();
    }
    calls.len()
}
