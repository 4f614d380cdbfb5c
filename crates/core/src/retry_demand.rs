//! What was held back for want of rights, for whoever deals them out. Nothing about requests follows from it here.

use std::collections::{BTreeMap, VecDeque};

use decisions::{Micros, ShardId};

/// An operation's part that the module turned away while its shard had no right left for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    /// Where it lies.
    pub shard: ShardId,
    /// Worth of its class times the price of its plan.
    pub worth: f64,
    /// What was left of its client's patience, in microseconds.
    pub left: Micros,
}

/// Kept until they are fetched. Danger: nobody fetches them, and they grow for ever. Harm: of a burst the oldest are lost,
/// which tells of no more want than the rest.
const KEPT: usize = 256;

/// The rights of each shard as they were allowed and used here: the module's count, seen from outside.
#[derive(Debug, Default)]
pub(crate) struct Wants {
    left: BTreeMap<ShardId, u32>,
    kept: VecDeque<Wanted>,
}

impl Wants {
    pub(crate) fn allow(&mut self, shard: ShardId, further: u32) {
        self.left.insert(shard, further);
    }

    pub(crate) fn sent(&mut self, shard: ShardId) {
        if let Some(left) = self.left.get_mut(&shard) {
            *left = left.saturating_sub(1);
        }
    }

    /// A part that needed a right ended unserved: kept if there was none and its client still waited.
    pub(crate) fn ended(&mut self, wanted: Wanted) {
        if self.left.get(&wanted.shard) != Some(&0) || wanted.left <= 0 {
            return;
        }
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(wanted);
    }

    pub(crate) fn take(&mut self) -> VecDeque<Wanted> {
        std::mem::take(&mut self.kept)
    }
}
