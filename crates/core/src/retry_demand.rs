//! Unmet demand for retry tokens, collected for the component that distributes them. It has no influence on
//! requests here.

use std::collections::{BTreeMap, VecDeque};

use decisions::{Micros, ShardId};

/// A part of an operation that ended unserved while its shard had no retry token left for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDemand {
    /// Shard that the part lies on.
    pub shard: ShardId,
    /// Worth of its class times the price of its plan.
    pub worth: f64,
    /// Time that its client would still have waited, in microseconds.
    pub remaining_time: Micros,
}

/// Demands kept until they are fetched. The limit bounds memory if nobody fetches them. In a burst the oldest
/// are lost, which hides little: the rest shows the same demand.
const MAX_PENDING: usize = 256;

/// The retry tokens left of each shard, counted as the scheduler counts them, and the demands not fetched
/// yet.
#[derive(Debug, Default)]
pub(crate) struct RetryDemands {
    tokens_left: BTreeMap<ShardId, u32>,
    pending: VecDeque<RetryDemand>,
}

impl RetryDemands {
    /// Sets the retry tokens of a shard.
    pub(crate) fn set_tokens(&mut self, shard: ShardId, tokens: u32) {
        self.tokens_left.insert(shard, tokens);
    }

    /// Takes off the token that a retry has used.
    pub(crate) fn use_token(&mut self, shard: ShardId) {
        if let Some(left) = self.tokens_left.get_mut(&shard) {
            *left = left.saturating_sub(1);
        }
    }

    /// Records a part that needed a token and ended unserved, if its shard has none left and its client still
    /// waits.
    pub(crate) fn record_unserved(&mut self, demand: RetryDemand) {
        if self.tokens_left.get(&demand.shard) != Some(&0) || demand.remaining_time <= 0 {
            return;
        }
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(demand);
    }

    /// Removes and returns the pending demands, oldest first.
    pub(crate) fn take(&mut self) -> VecDeque<RetryDemand> {
        std::mem::take(&mut self.pending)
    }
}
