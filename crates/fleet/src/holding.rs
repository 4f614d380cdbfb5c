//! The volumes and versions that a member announces.

use serde::{Deserialize, Serialize};

/// Maximum volumes in a holding. The rest is cut off and counted, because the size of a message is bounded.
pub const MOST_VOLUMES: usize = 1024;

/// The volumes that a gateway serves and the versions that it applies, as the gateway itself announces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Numbers of the volumes that it serves.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub volumes: Vec<u32>,
    /// Version of its cap on retries.
    #[serde(rename = "c", default)]
    pub cap: u64,
    /// Version of its candidate map; 0 if it has none.
    #[serde(rename = "m", default)]
    pub candidate: u64,
}

impl Holding {
    /// Sorts and deduplicates the volumes and keeps at most [`MOST_VOLUMES`]; also returns how many were cut off.
    pub(crate) fn bounded(mut self) -> (Holding, usize) {
        self.volumes.sort_unstable();
        self.volumes.dedup();
        let cut = self.volumes.len().saturating_sub(MOST_VOLUMES);
        self.volumes.truncate(MOST_VOLUMES);
        (self, cut)
    }
}
