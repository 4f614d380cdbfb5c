//! Status lines that processes print.

use std::collections::BTreeMap;

use records::Micros;
use serde::Deserialize;

/// Epoch and version.
pub(crate) type Held = (u64, u64);

/// A machine's line. Counts are since its start.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MachineLine {
    pub(crate) t: Micros,
    /// Whether it takes changes; none if it is no writer.
    pub(crate) open: Option<bool>,
    /// Copies that it serves.
    pub(crate) subscribers: u64,
    pub(crate) cursors: BTreeMap<u16, Held>,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) notes_out: u64,
    pub(crate) entries_out: u64,
    pub(crate) wholes: u64,
    pub(crate) turned_away: u64,
    pub(crate) waits_for: Vec<String>,
}

/// A line of a process of gateways. Counts are since its start, over all of them.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct HollowLine {
    pub(crate) t: Micros,
    pub(crate) gateways: u64,
    /// Gateways that hold something of all regions.
    pub(crate) ready: u64,
    /// Gateways that were at their machine's level in all regions on their link.
    pub(crate) level: u64,
    /// Gateways that take nothing now.
    pub(crate) stuck: u64,
    /// The least that one of them holds.
    pub(crate) cursors: BTreeMap<u16, Held>,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) links: u64,
    pub(crate) wholes: u64,
    pub(crate) turned_away: u64,
}

/// A process's line.
#[derive(Clone, Debug)]
pub(crate) enum Line {
    Machine(MachineLine),
    Hollow(HollowLine),
}

impl Line {
    pub(crate) fn cursors(&self) -> &BTreeMap<u16, Held> {
        match self {
            Line::Machine(line) => &line.cursors,
            Line::Hollow(line) => &line.cursors,
        }
    }

    /// When it was said.
    pub(crate) fn at(&self) -> Micros {
        match self {
            Line::Machine(line) => line.t,
            Line::Hollow(line) => line.t,
        }
    }

    /// Whether all is held up to each of these.
    pub(crate) fn holds(&self, wanted: &BTreeMap<u16, Held>) -> bool {
        wanted.iter().all(|(region, held)| self.cursors().get(region).is_some_and(|own| own >= held))
    }
}
