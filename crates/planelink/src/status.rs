//! The lines that processes of the plane say of themselves.

use std::collections::BTreeMap;

use plane::{Cursor, Micros, Region};
use serde::Serialize;

use crate::options::Tell;

/// A line goes out at least this often.
pub(crate) const EVERY: Micros = 500_000;

/// Cursors by region, as epoch and version.
pub(crate) type Cursors = BTreeMap<u16, (u64, u64)>;

pub(crate) fn cursors(all: impl Iterator<Item = (Region, Cursor)>) -> Cursors {
    all.map(|(region, at)| (region.0, (at.epoch.0, at.version.0))).collect()
}

/// A control machine.
#[derive(Serialize)]
pub(crate) struct MachineLine<'a> {
    /// Microseconds since the Unix epoch.
    pub(crate) t: Micros,
    pub(crate) name: &'a str,
    /// Whether its writer takes changes; none without a writer.
    pub(crate) open: Option<bool>,
    pub(crate) subscribers: usize,
    pub(crate) cursors: Cursors,
    /// Live ones.
    pub(crate) entries: usize,
    /// Of all its connections.
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    /// Of what it serves.
    pub(crate) notes_out: u64,
    pub(crate) entries_out: u64,
    pub(crate) wholes: u64,
    pub(crate) turned_away: u64,
    pub(crate) waits_for: Vec<String>,
    /// Lines of its log and of these lines that could not be written.
    pub(crate) lost_log_lines: u64,
}

/// A process of gateways without a data path.
#[derive(Serialize)]
pub(crate) struct HollowLine<'a> {
    /// Microseconds since the Unix epoch.
    pub(crate) t: Micros,
    pub(crate) process: &'a str,
    pub(crate) gateways: usize,
    /// Those that hold something of all regions.
    pub(crate) ready: usize,
    /// Those that were at their machine's level in all regions on the link they have.
    pub(crate) level: usize,
    /// Those that read nothing now.
    pub(crate) stuck: usize,
    /// The least that any of them holds.
    pub(crate) cursors: Cursors,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    /// Links that came up, whole states and messages turned away, since the start.
    pub(crate) links: u64,
    pub(crate) wholes: u64,
    pub(crate) turned_away: u64,
}

/// Says a line to whom it concerns.
pub(crate) fn say(tell: &mut Option<Tell>, line: &impl Serialize) {
    let Ok(text) = serde_json::to_string(line) else { return };
    match tell {
        Some(tell) => tell(&text),
        // Whoever started the process may be gone or slow; its work does not depend on being watched.
        None => output::announce(&text),
    }
}
