//! What the decision module is to be told, between the cap that says it and the moment at which it is told.

use std::collections::{BTreeMap, BTreeSet};

use crate::cap::Allowance;

/// The allowances of all shards as the module counts them, and the shards of which it has to be told.
///
/// Danger: a send that the module has counted off already may be counted by the cap only after it has said an allowance, which then
/// grants that send once more. What is handed out is the last allowance less the sends since. Harm: none.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    last: BTreeMap<u32, Allowance>,
    untold: BTreeSet<u32>,
}

impl Allowances {
    /// The cap says an allowance, in place of the one before.
    pub fn say(&mut self, allowance: Allowance) {
        self.last.insert(allowance.shard, allowance);
        self.untold.insert(allowance.shard);
    }

    /// A send to a shard takes a right.
    pub fn spend(&mut self, shard: u32) {
        if let Some(allowance) = self.last.get_mut(&shard) {
            allowance.further = allowance.further.saturating_sub(1);
        }
    }

    /// A right is taken for something else than a send of the module's, which has to be told.
    pub fn take(&mut self, shard: u32) {
        self.spend(shard);
        self.untold.insert(shard);
    }

    /// What is left of a shard's allowance; none before the first.
    pub fn left(&self, shard: u32) -> Option<u32> {
        self.last.get(&shard).map(|allowance| allowance.further)
    }

    /// The next that the module has to be told. What it sends upon that has to be spent before this is called again.
    pub fn next_untold(&mut self) -> Option<Allowance> {
        let shard = self.untold.pop_first()?;
        self.last.get(&shard).copied()
    }
}
