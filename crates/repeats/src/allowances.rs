//! Pending notifications of allowances, between the cap that issues them and the scheduler that receives
//! them.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Allowance;

/// The allowances of all shards as the scheduler counts them, and the shards whose change it has not
/// been notified of yet.
///
/// The scheduler may already have counted an attempt that the cap counts only after it has issued an
/// allowance; that allowance would then grant the same attempt twice. So each notification carries the
/// last allowance less the attempts sent since.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    last: BTreeMap<u32, Allowance>,
    pending: BTreeSet<u32>,
}

impl Allowances {
    /// Sets the allowance of a shard, in place of the one before.
    pub fn set(&mut self, allowance: Allowance) {
        self.last.insert(allowance.shard, allowance);
        self.pending.insert(allowance.shard);
    }

    /// Counts an attempt that the scheduler sent with a token of a shard.
    pub fn spend(&mut self, shard: u32) {
        if let Some(allowance) = self.last.get_mut(&shard) {
            allowance.retries = allowance.retries.saturating_sub(1);
        }
    }

    /// Takes a token for something other than an attempt of the scheduler, which has to be notified of
    /// it.
    pub fn spend_and_notify(&mut self, shard: u32) {
        self.spend(shard);
        self.pending.insert(shard);
    }

    /// What remains of the allowance of a shard; none before the first.
    pub fn remaining(&self, shard: u32) -> Option<u32> {
        self.last.get(&shard).map(|allowance| allowance.retries)
    }

    /// The next allowance to notify the scheduler of. Attempts that it sends in response must be counted
    /// by `spend` before the next call.
    pub fn next_notification(&mut self) -> Option<Allowance> {
        let shard = self.pending.pop_first()?;
        self.last.get(&shard).copied()
    }
}
