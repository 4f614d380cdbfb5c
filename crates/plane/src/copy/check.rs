//! Whether what came can be: entries and versions that no writer would write are turned away.

use std::sync::Arc;

use super::{Bounds, LAST, Refusal};
use crate::digest::Digest;
use crate::entry::{Cursor, Entry, Region, Version};
use crate::epochs::Epochs;
use crate::message::WireEntry;
use crate::pool::Pool;

/// A delta as it came.
pub(super) struct Came {
    pub(super) region: Region,
    pub(super) after: Cursor,
    pub(super) upto: Cursor,
    pub(super) epochs: Epochs,
    pub(super) entries: Vec<WireEntry>,
    pub(super) digest: Option<Digest>,
}

impl Came {
    /// Its entries behind what is held, each one possible; or why it is none that is taken.
    pub(super) fn check(
        &self,
        held: Cursor,
        line: &Epochs,
        bounds: &Bounds,
        mut pool: Option<&mut Pool>,
    ) -> Result<Vec<Arc<Entry>>, Refusal> {
        let region = self.region.0;
        let versions = |what| Refusal::Versions { region, what };
        if self.upto < self.after || self.upto.version < self.after.version {
            return Err(versions("it ends before it begins"));
        }
        if !possible(self.upto) {
            return Err(versions("an epoch or a version that no writer reaches"));
        }
        if !self.epochs.is_rising() || !line.is_rising() || line.last() != Some(self.upto.epoch) {
            return Err(versions("epochs that do not rise to its own"));
        }
        if self.entries.len() as u64 > self.upto.version.0 - self.after.version.0 {
            return Err(versions("more entries than versions"));
        }
        let mut last = self.after.version;
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            let entry = checked(self.region, entry.clone(), last, self.upto, line, bounds)?;
            last = entry.stamp.version;
            if entry.stamp.version > held.version {
                entries.push(shared(entry, pool.as_deref_mut()));
            }
        }
        Ok(entries)
    }
}

/// Whether a writer may come to this.
pub(super) fn possible(cursor: Cursor) -> bool {
    cursor.epoch.0 < LAST && cursor.version.0 < LAST
}

pub(super) fn shared(entry: Entry, pool: Option<&mut Pool>) -> Arc<Entry> {
    match pool {
        Some(pool) => pool.share(entry),
        None => Arc::new(entry),
    }
}

/// An entry of a region behind a version and up to a cursor.
pub(super) fn checked(
    region: Region,
    entry: WireEntry,
    after: Version,
    upto: Cursor,
    line: &Epochs,
    bounds: &Bounds,
) -> Result<Entry, Refusal> {
    let name: String = entry.2.chars().take(64).collect();
    let key = format!("{}/{}/{name}", entry.0.0, entry.1);
    let cannot = |what| Refusal::Entry { region: region.0, key: key.clone(), what };
    if entry.0 != region {
        return Err(cannot("its owner is another region"));
    }
    if entry.2.is_empty() || entry.2.len() > bounds.name {
        return Err(cannot("its name is empty or too long"));
    }
    if entry.5.as_ref().is_some_and(|value| value.len() > bounds.value) {
        return Err(cannot("its value is too long"));
    }
    let stamp = Cursor { epoch: entry.3, version: entry.4 };
    if stamp.version <= after || stamp.version > upto.version {
        return Err(cannot("its version is out of place"));
    }
    if stamp.epoch > upto.epoch || !line.wrote(stamp) {
        return Err(cannot("its epoch is out of place"));
    }
    let unknown = cannot("its kind is not known");
    entry.into_entry().ok_or(unknown)
}
