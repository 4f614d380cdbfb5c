//! What a member holds.

use serde::{Deserialize, Serialize};

/// Volumes that a holding names at most; more are cut off and counted, as a note has a bound.
pub const MOST_VOLUMES: usize = 1024;

/// What a gateway serves and which versions it goes by, in its own words.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Volumes that it serves, by number.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub volumes: Vec<u32>,
    /// Version of its cap on repeats.
    #[serde(rename = "c", default)]
    pub cap: u64,
    /// Version of its candidate map; 0 if it has none.
    #[serde(rename = "m", default)]
    pub candidate: u64,
}

impl Holding {
    /// The same with its volumes in order, each once, and at most [`MOST_VOLUMES`]; and how many were cut off.
    pub(crate) fn bounded(mut self) -> (Holding, usize) {
        self.volumes.sort_unstable();
        self.volumes.dedup();
        let cut = self.volumes.len().saturating_sub(MOST_VOLUMES);
        self.volumes.truncate(MOST_VOLUMES);
        (self, cut)
    }
}
