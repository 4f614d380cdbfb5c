//! Why requests end unserved, counted for operators. No decision depends on it.

use std::fmt;

use crate::interface::*;
use crate::state::*;

/// Why a request ended unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnservedCause {
    /// Its shard had no retry token left for a retry.
    NoRetryToken,
    /// It is a retry of a request whose latency target is over, and no node had spare capacity.
    NoSpareCapacity,
    /// No node that accepts work holds its data.
    NoNode,
    /// It waited behind another request for its key.
    BlockedByKeyOrder,
    /// Nothing of it had been written to a node when it had to be answered.
    NotSentInTime,
    /// Its client's time was over while attempts were in flight, or after them.
    TimedOut,
    /// It would have been late, or beyond its volume's limit, at every node.
    LateOrOverLimit,
    /// No retry could be made.
    NoRetryPossible,
}

// Status reports contain these texts.
impl fmt::Display for UnservedCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnservedCause::NoRetryToken => "no right to repeat",
            UnservedCause::NoSpareCapacity => "repeat after its aim, no room to spare",
            UnservedCause::NoNode => "no node takes work",
            UnservedCause::BlockedByKeyOrder => "behind another of its key",
            UnservedCause::NotSentInTime => "due with nothing sent",
            UnservedCause::TimedOut => "no answer in time",
            UnservedCause::LateOrOverLimit => "late or over a limit wherever it went",
            UnservedCause::NoRetryPossible => "no further attempt",
        })
    }
}

impl State {
    /// Counts a request that ends unserved now, before it is closed.
    pub(crate) fn count_unserved(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let cause = self.cause(open);
        *self.unserved_counts.entry((open.request.class, cause)).or_default() += 1;
    }

    fn cause(&self, open: &OpenRequest) -> UnservedCause {
        let shard_id = open.waits_at.map(|(shard, _)| shard).or(open.request.shard);
        let lacks_token =
            || shard_id.is_some_and(|s| self.retry_tokens.get(&s).is_some_and(|tokens| tokens.left == 0));
        if self.awaited_tokens(open).is_some()
            || self.now < open.send_by && open.needs_retry_token() && lacks_token()
        {
            return UnservedCause::NoRetryToken;
        }
        if open.waits_at.is_none() && open.is_late_retry() && open.attempts.is_empty() {
            return UnservedCause::NoSpareCapacity;
        }
        if !open.is_unwritten() {
            return if self.now >= open.due {
                UnservedCause::TimedOut
            } else {
                UnservedCause::NoRetryPossible
            };
        }
        let nodes = shard_id.and_then(|s| self.shards.get(&s)).map_or(0, |s| s.nodes.len());
        match open.waits_at {
            _ if nodes == 0 => UnservedCause::NoNode,
            None if open.attempts.is_empty() => UnservedCause::BlockedByKeyOrder,
            _ if self.now >= open.send_by => UnservedCause::NotSentInTime,
            _ => UnservedCause::LateOrOverLimit,
        }
    }
}
