//! The control plane's state as shown on the control socket.

use std::collections::BTreeSet;

use planelink::FollowLook;
use serde::{Deserialize, Serialize};
use storage_core::Micros;

/// The control plane's state as this gateway holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlPlaneStatus {
    /// The machine that the gateway follows; `None` if it serves with the state it has.
    pub machine: Option<String>,
    /// Since when it has followed that machine, or had none.
    pub since: Micros,
    /// Whether it has caught up with its machine in all regions, on this connection.
    #[serde(rename = "level")]
    pub caught_up: bool,
    /// Position up to which each region's changes are held.
    pub regions: Vec<RegionStatus>,
    /// Number of live entries.
    pub entries: usize,
    /// Bytes received from machines since the start.
    pub bytes_in: u64,
    /// Bytes sent to machines since the start.
    pub bytes_out: u64,
    /// Full snapshots received since the start.
    #[serde(rename = "wholes")]
    pub snapshots_received: u64,
    /// Messages from machines that were rejected.
    #[serde(rename = "turned_away")]
    pub rejected_messages: u64,
    /// Whether the whole state is stored on disk.
    #[serde(rename = "kept")]
    pub stored: bool,
    /// Names of the nodes that entries drain.
    pub drains: Vec<String>,
}

/// Position up to which a region's changes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region.
    pub region: u16,
    /// Epoch of its writer; 0 if nothing is held.
    pub epoch: u64,
    /// Version of the last change.
    pub version: u64,
}

impl ControlPlaneStatus {
    pub(crate) fn of(look: FollowLook, drains: &BTreeSet<String>) -> ControlPlaneStatus {
        let regions = look.regions.iter().map(|(region, at)| RegionStatus {
            region: region.0,
            epoch: at.epoch.0,
            version: at.version.0,
        });
        ControlPlaneStatus {
            since: look.linked_since.or(look.alone_since).unwrap_or_default(),
            regions: regions.collect(),
            machine: look.machine.map(|machine| machine.0),
            caught_up: look.level,
            entries: look.entries,
            bytes_in: look.bytes_in,
            bytes_out: look.bytes_out,
            snapshots_received: look.wholes,
            rejected_messages: look.turned_away,
            stored: look.kept,
            drains: drains.iter().cloned().collect(),
        }
    }
}
