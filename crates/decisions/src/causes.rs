//! Why requests end unserved, counted for operators. No decision depends on it.

use std::fmt;

use crate::interface::*;
use crate::state::*;

/// Why a request ended unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Its shard had no retry token left for a retry.
    NoRight,
    /// It is a retry of a request whose latency target is over, and no node had spare capacity.
    NoSpareRoom,
    /// No node that accepts work holds its data.
    NoNode,
    /// It waited behind another request for its key.
    BehindItsKey,
    /// Nothing of it had been written to a node when it had to be answered.
    NotSentInTime,
    /// Its client's time was over while attempts were in flight, or after them.
    TimeUp,
    /// It would have been late, or beyond its volume's limit, at every node.
    NoUse,
    /// No retry could be made.
    NoFurtherAttempt,
}

// Status reports contain these texts.
impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::NoRight => "no right to repeat",
            Cause::NoSpareRoom => "repeat after its aim, no room to spare",
            Cause::NoNode => "no node takes work",
            Cause::BehindItsKey => "behind another of its key",
            Cause::NotSentInTime => "due with nothing sent",
            Cause::TimeUp => "no answer in time",
            Cause::NoUse => "late or over a limit wherever it went",
            Cause::NoFurtherAttempt => "no further attempt",
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

    fn cause(&self, open: &OpenRequest) -> Cause {
        let shard_id = open.queued.map(|(shard, _)| shard).or(open.request.shard);
        let lacks_token =
            || shard_id.is_some_and(|s| self.retry_tokens.get(&s).is_some_and(|tokens| tokens.left == 0));
        if self.awaited_tokens(open).is_some()
            || self.now < open.send_by && open.needs_retry_token() && lacks_token()
        {
            return Cause::NoRight;
        }
        if open.queued.is_none() && open.late_retry.is_some() && open.attempts.is_empty() {
            return Cause::NoSpareRoom;
        }
        if !open.is_unwritten() {
            return if self.now >= open.due { Cause::TimeUp } else { Cause::NoFurtherAttempt };
        }
        let nodes = shard_id.and_then(|s| self.shards.get(&s)).map_or(0, |s| s.nodes.len());
        match open.queued {
            _ if nodes == 0 => Cause::NoNode,
            None if open.attempts.is_empty() => Cause::BehindItsKey,
            _ if self.now >= open.send_by => Cause::NotSentInTime,
            _ => Cause::NoUse,
        }
    }
}
