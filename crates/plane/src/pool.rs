//! Entries that many copies in one process share.

use std::sync::{Arc, Weak};

use hashbrown::HashTable;

use crate::digest::Digest;
use crate::entry::Entry;

/// Equal entries once: for processes that hold many copies of one state, as scale tests do.
#[derive(Debug, Default)]
pub struct Pool {
    entries: HashTable<(Digest, Weak<Entry>)>,
    /// Looked through for entries that nobody holds any more when it has grown to this.
    sweep: usize,
}

impl Pool {
    /// The entry of that content which is there already, or this one from now on.
    pub fn share(&mut self, entry: Entry) -> Arc<Entry> {
        let digest = entry.digest();
        let hash = digest.low();
        let found =
            self.entries.find(hash, |(other, _)| *other == digest).and_then(|(_, weak)| weak.upgrade());
        if let Some(there) = found.filter(|there| **there == entry) {
            return there;
        }
        if self.entries.len() >= self.sweep.max(1024) {
            self.entries.retain(|(_, weak)| weak.strong_count() > 0);
            self.sweep = 2 * self.entries.len();
        }
        let entry = Arc::new(entry);
        self.entries.insert_unique(hash, (digest, Arc::downgrade(&entry)), |(digest, _)| digest.low());
        entry
    }
}
