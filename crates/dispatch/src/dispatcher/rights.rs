//! What shards bear of repeats, as the module is told, and what it tells of those that are refused or wait.

use std::collections::BTreeMap;

use decisions::{Cause, Event, Micros, ShardId, Shortage};

use super::Dispatcher;

impl<P> Dispatcher<P> {
    /// What a shard bears from now on beyond first attempts, in place of what was allowed before: so many further attempts,
    /// or first ones of requests marked as repeats; the rest is refused with this advice, in microseconds.
    pub fn allow(&mut self, now: Micros, shard: ShardId, further: u32, come_back: Micros) {
        self.advance(now);
        self.events.push_back(Event::RetryAllowance { shard, tokens: further, retry_after: come_back });
    }

    /// How many requests of a shard may wait for a right while it has none left; none until this is told.
    pub fn limit_awaiting(&mut self, now: Micros, shard: ShardId, most: u32) {
        self.advance(now);
        self.events.push_back(Event::TokenWaitLimit { shard, max_waiting: most });
    }

    /// The shards at which other requests wait for a right than were told of last.
    pub fn take_shortages(&mut self) -> Vec<Shortage> {
        self.scheduler.take_shortages()
    }

    /// How many requests ended unserved since the start, by class and cause.
    pub fn unserved(&self) -> &BTreeMap<(usize, Cause), u64> {
        self.scheduler.unserved()
    }
}
