//! A region's latest entries by version, deletions among them: what has changed behind a cursor.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use crate::entry::{Entry, Key, Version};
use crate::snapshot::weight;

/// Bytes of entries in a delta, about: with what is around them it fits a frame.
const DELTA: usize = 160 << 10;
/// Deletions kept beside a quarter of the live entries.
const DELETIONS: usize = 1024;

/// Entries by version, each key at its latest version only. Its size is that of the state and not of its history.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    by_version: BTreeMap<Version, Arc<Entry>>,
    versions: HashMap<Key, Version>,
    deletions: BTreeMap<Version, Key>,
    floor: Version,
}

impl Index {
    /// All entries of a whole state.
    pub(crate) fn whole(entries: &[Arc<Entry>], floor: Version) -> Index {
        let mut index = Index { floor, ..Index::default() };
        entries.iter().for_each(|entry| index.put(entry.clone()));
        index
    }

    /// Deletions up to here are forgotten.
    pub(crate) fn floor(&self) -> Version {
        self.floor
    }

    pub(crate) fn len(&self) -> usize {
        self.by_version.len()
    }

    /// Takes a key's latest entry.
    pub(crate) fn put(&mut self, entry: Arc<Entry>) {
        let version = entry.stamp.version;
        if let Some(before) = self.versions.insert(entry.key.clone(), version) {
            self.by_version.remove(&before);
            self.deletions.remove(&before);
        }
        if entry.value.is_none() {
            self.deletions.insert(version, entry.key.clone());
        }
        self.by_version.insert(version, entry);
        while self.deletions.len() > DELETIONS + (self.by_version.len() - self.deletions.len()) / 4 {
            let Some((version, key)) = self.deletions.pop_first() else { return };
            self.by_version.remove(&version);
            self.versions.remove(&key);
            self.floor = version;
        }
    }

    /// Entries behind a version, in order.
    pub(crate) fn behind(&self, version: Version) -> impl Iterator<Item = &Arc<Entry>> {
        self.by_version.range((Bound::Excluded(version), Bound::Unbounded)).map(|(_, entry)| entry)
    }

    /// Entries behind a version, if one message holds them.
    pub(crate) fn fitting(&self, version: Version) -> Option<Vec<&Entry>> {
        let (mut entries, mut bytes) = (Vec::new(), 0);
        for entry in self.behind(version) {
            bytes += weight(entry);
            if bytes > DELTA {
                return None;
            }
            entries.push(&**entry);
        }
        Some(entries)
    }
}
