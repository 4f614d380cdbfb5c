//! Requests that ended here without a final answer: each one's life, kept in memory until the log takes it.
//!
//! Most are those of clients that left, which are owed nothing. One that its client misses all the same is found here by its id,
//! with what became of it.

use std::collections::VecDeque;
use std::fmt;

use decisions::{Micros, NodeId, Outcome};

use crate::socket::End;

/// Lives that are kept until the log takes them; the oldest give way.
const KEPT: usize = 64;

/// Why a request has no final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Its client's connection ended.
    ClientEnded(End),
    /// It was answered, and its connection was not there any more.
    NoConnection,
}

/// An attempt, as its request's life has it.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    node: NodeId,
    decided: Micros,
    ended: Option<(Micros, Outcome)>,
}

/// The attempts of a request that is open.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptRecords(Vec<AttemptRecord>);

impl AttemptRecords {
    /// An attempt is decided. Attempts of a request count from 0, in this order.
    pub(crate) fn decided(&mut self, now: Micros, node: NodeId) {
        self.0.push(AttemptRecord { node, decided: now, ended: None });
    }

    /// An attempt ended.
    pub(crate) fn ended(&mut self, now: Micros, attempt: u32, outcome: Outcome) {
        if let Some(record) = self.0.get_mut(attempt as usize) {
            record.ended = Some((now, outcome));
        }
    }
}

/// A request that ended without a final answer. Times are microseconds of the gateway's clock.
#[derive(Clone, Debug)]
pub(crate) struct Unanswered {
    /// The client's id for it, and its connection.
    pub(crate) id: String,
    pub(crate) client: u64,
    /// When its last byte was read, when its time was over, and when it ended.
    pub(crate) read: Micros,
    pub(crate) until: Micros,
    pub(crate) ended: Micros,
    pub(crate) cause: Cause,
    pub(crate) attempts: AttemptRecords,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = |at: Micros| at - self.read;
        write!(f, "no answer: id={} client={} cause={:?} ", self.id, self.client, self.cause)?;
        write!(f, "read={} ended=+{} until=+{}", self.read, since(self.ended), since(self.until))?;
        for (n, attempt) in self.attempts.0.iter().enumerate() {
            write!(f, " attempt{n}=node{}+{}", attempt.node.0, since(attempt.decided))?;
            if let Some((at, outcome)) = attempt.ended {
                write!(f, "..+{}:{outcome:?}", since(at))?;
            }
        }
        Ok(())
    }
}

/// Those that the log has not taken yet.
#[derive(Debug, Default)]
pub(crate) struct UnansweredLog {
    kept: VecDeque<Unanswered>,
    /// So many gave way unseen.
    dropped: u64,
}

impl UnansweredLog {
    pub(crate) fn push(&mut self, unanswered: Unanswered) {
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
            self.dropped += 1;
        }
        self.kept.push_back(unanswered);
    }

    /// The lines for the log, the oldest first; they are not kept any longer.
    pub(crate) fn take_lines(&mut self) -> Vec<String> {
        let dropped = std::mem::take(&mut self.dropped);
        let unseen = (dropped > 0).then(|| format!("no answer: {dropped} more that are not kept"));
        unseen.into_iter().chain(self.kept.drain(..).map(|u| u.to_string())).collect()
    }
}
