//! Records of requests that ended without a final response, kept in memory until they are logged.
//!
//! Most are those of clients that disconnected, which need no response. If a client does miss a response, its
//! request id is found here together with what happened to the request.

use std::collections::VecDeque;
use std::fmt;

use decisions::{Micros, NodeId, Outcome};

use crate::socket::ConnectionEnd;

/// Maximum number of records waiting to be logged; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 64;

/// Why a request has no final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The client's connection ended.
    ClientEnded(ConnectionEnd),
    /// The final response was ready, but the client's connection no longer existed.
    NoConnection,
}

/// An attempt in the record of its request.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    node: NodeId,
    decided_at: Micros,
    ended: Option<(Micros, Outcome)>,
}

/// The attempts of an open request.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptRecords(Vec<AttemptRecord>);

impl AttemptRecords {
    /// Adds an attempt. A request's attempts are numbered from 0 in this order.
    pub(crate) fn add(&mut self, now: Micros, node: NodeId) {
        self.0.push(AttemptRecord { node, decided_at: now, ended: None });
    }

    /// Whether one of the attempts that have ended may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.iter().filter_map(|record| record.ended).any(|(_, outcome)| match outcome {
            Outcome::Served | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                true
            }
            Outcome::Full | Outcome::Unreachable | Outcome::NotSent => false,
        })
    }

    /// Records the end of an attempt.
    pub(crate) fn ended(&mut self, now: Micros, attempt: u32, outcome: Outcome) {
        if let Some(record) = self.0.get_mut(attempt as usize) {
            record.ended = Some((now, outcome));
        }
    }
}

/// A request that ended without a final response. Times are microseconds of the gateway's clock.
#[derive(Clone, Debug)]
pub(crate) struct Unanswered {
    /// The client's id for the request, and the number of its connection.
    pub(crate) id: String,
    pub(crate) client: u64,
    /// When its last byte was read, its deadline, and when it ended.
    pub(crate) received_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) ended: Micros,
    pub(crate) cause: Cause,
    pub(crate) attempts: AttemptRecords,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = |at: Micros| at - self.received_at;
        write!(f, "no answer: id={} client={} cause={:?} ", self.id, self.client, self.cause)?;
        write!(f, "read={} ended=+{} until=+{}", self.received_at, since(self.ended), since(self.deadline))?;
        for (n, attempt) in self.attempts.0.iter().enumerate() {
            write!(f, " attempt{n}=node{}+{}", attempt.node.0, since(attempt.decided_at))?;
            if let Some((at, outcome)) = attempt.ended {
                write!(f, "..+{}:{outcome:?}", since(at))?;
            }
        }
        Ok(())
    }
}

/// Records that have not been logged yet.
#[derive(Debug, Default)]
pub(crate) struct UnansweredLog {
    records: VecDeque<Unanswered>,
    /// Number of records dropped before they were logged.
    dropped: u64,
}

impl UnansweredLog {
    pub(crate) fn push(&mut self, unanswered: Unanswered) {
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(unanswered);
    }

    /// Returns the log lines, the oldest first, and empties the log.
    pub(crate) fn take_lines(&mut self) -> Vec<String> {
        let dropped = std::mem::take(&mut self.dropped);
        let summary = (dropped > 0).then(|| format!("no answer: {dropped} more that are not kept"));
        summary.into_iter().chain(self.records.drain(..).map(|u| u.to_string())).collect()
    }
}
