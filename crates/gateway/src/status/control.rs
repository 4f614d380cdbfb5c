//! What operators see of the control plane as a gateway follows it.

use std::collections::BTreeSet;

use planelink::FollowLook;
use serde::{Deserialize, Serialize};
use storage_core::Micros;

/// The control plane's state as this gateway holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The machine that it follows; none: it serves on with what it has.
    pub machine: Option<String>,
    /// Since when it follows that machine, or has none.
    pub since: Micros,
    /// It had all that its machine has, in all regions, on this link.
    pub level: bool,
    /// Regions, and up to where it holds the changes of each.
    pub regions: Vec<RegionStatus>,
    /// Live entries held.
    pub entries: usize,
    /// Bytes that came from machines, and went to them, since its start.
    pub bytes_in: u64,
    /// See `bytes_in`.
    pub bytes_out: u64,
    /// Whole states that came since its start.
    pub wholes: u64,
    /// What machines said that was turned away.
    pub turned_away: u64,
    /// Its disk keeps all that it holds.
    pub kept: bool,
    /// Nodes that entries drain, by name.
    pub drains: Vec<String>,
}

/// Up to where a region's changes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region.
    pub region: u16,
    /// Start of its writer; 0: nothing is held.
    pub epoch: u64,
    /// Change.
    pub version: u64,
}

impl ControlStatus {
    pub(crate) fn of(look: FollowLook, drains: &BTreeSet<String>) -> ControlStatus {
        let regions = look.regions.iter().map(|(region, at)| RegionStatus {
            region: region.0,
            epoch: at.epoch.0,
            version: at.version.0,
        });
        ControlStatus {
            since: look.linked_since.or(look.alone_since).unwrap_or_default(),
            regions: regions.collect(),
            machine: look.machine.map(|machine| machine.0),
            level: look.level,
            entries: look.entries,
            bytes_in: look.bytes_in,
            bytes_out: look.bytes_out,
            wholes: look.wholes,
            turned_away: look.turned_away,
            kept: look.kept,
            drains: drains.iter().cloned().collect(),
        }
    }
}
