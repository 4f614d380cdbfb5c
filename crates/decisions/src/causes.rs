//! Why requests end unserved, counted for operators. Nothing follows from it.

use std::fmt;

use crate::interface::*;
use crate::state::*;

/// Why a request ended unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Its shard had no right left for a further attempt or a repeat.
    NoRight,
    /// It repeats a request whose aim is over, and no node had room to spare.
    NoSpareRoom,
    /// No node that takes work holds its data.
    NoNode,
    /// It waited behind another request of its key.
    BehindItsKey,
    /// Nothing of it had been written to a node when it had to be answered.
    NotSentInTime,
    /// Its client's time was over with attempts out, or after them.
    TimeUp,
    /// It would have been late, or gone over a limit, wherever it was sent.
    NoUse,
    /// No further attempt could be made.
    NoFurtherAttempt,
}

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

impl Memory {
    /// Counts a request that ends unserved now, before it is closed.
    pub(crate) fn count_unserved(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let cause = self.cause(open);
        *self.causes.entry((open.ask.class, cause)).or_default() += 1;
    }

    fn cause(&self, open: &Open) -> Cause {
        let shard_id = open.place.map(|(shard, _)| shard).or(open.ask.shard);
        let lacks_right = || shard_id.is_some_and(|s| self.rights.get(&s).is_some_and(|r| r.left == 0));
        if self.awaited(open).is_some() || self.now < open.unsent && open.needs_right() && lacks_right() {
            return Cause::NoRight;
        }
        if open.place.is_none() && open.late.is_some() && open.attempts.is_empty() {
            return Cause::NoSpareRoom;
        }
        if !open.unwritten() {
            return if self.now >= open.due { Cause::TimeUp } else { Cause::NoFurtherAttempt };
        }
        let nodes = shard_id.and_then(|s| self.shards.get(&s)).map_or(0, |s| s.nodes.len());
        match open.place {
            _ if nodes == 0 => Cause::NoNode,
            None if open.attempts.is_empty() => Cause::BehindItsKey,
            _ if self.now >= open.unsent => Cause::NotSentInTime,
            _ => Cause::NoUse,
        }
    }
}
