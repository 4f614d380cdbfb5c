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
    /// Requests open at gateways that were killed.
    pub killed_open: u64,
    /// The most calls for the list within a tenth of a second that were not a gateway's first.
    pub most_again: usize,
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
