//! Retry tokens: passes each shard's allowance to the scheduler and reports which shards run short.

use std::collections::BTreeMap;

use decisions::{Event, Micros, ShardId, TokenShortage, UnservedCause};

use super::Dispatcher;

impl<P> Dispatcher<P> {
    /// Replaces a shard's allowance of retry tokens. Each retry uses one, and so does the first attempt of a
    /// request that is marked as a client's retry. Without a token a request is refused with `retry_after`,
    /// in microseconds, as its advice.
    pub fn set_retry_tokens(&mut self, now: Micros, shard: ShardId, tokens: u32, retry_after: Micros) {
        self.advance(now);
        self.events.push_back(Event::RetryAllowance { shard, tokens, retry_after });
    }

    /// Sets how many requests may wait for a retry token of a shard that has none left. The limit is 0 until
    /// it is set.
    pub fn limit_token_waiters(&mut self, now: Micros, shard: ShardId, max_waiting: u32) {
        self.advance(now);
        self.events.push_back(Event::TokenWaitLimit { shard, max_waiting });
    }

    /// Returns the shards whose set of requests waiting for a retry token has changed since the last call.
    pub fn take_shortages(&mut self) -> Vec<TokenShortage> {
        self.scheduler.take_token_shortages()
    }

    /// Returns the number of requests that ended unserved since the start, by class and cause.
    pub fn unserved_by_cause(&self) -> &BTreeMap<(usize, UnservedCause), u64> {
        self.scheduler.unserved_counts()
    }
}
