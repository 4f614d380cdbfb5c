//! The live entries of one region, by key.

use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

use hashbrown::HashTable;
use xxhash_rust::xxh3::Xxh3Builder;

use crate::digest::Digest;
use crate::entry::{Entry, Key};

/// Live entries by key, with their digest. Each change costs the change.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: HashTable<Arc<Entry>>,
    digest: Digest,
    bytes: usize,
}

fn hash(key: &Key) -> u64 {
    let mut hasher = Xxh3Builder::new().build_hasher();
    key.hash(&mut hasher);
    std::hash::Hasher::finish(&hasher)
}

impl Table {
    /// An entry.
    pub fn get(&self, key: &Key) -> Option<&Arc<Entry>> {
        self.entries.find(hash(key), |entry| entry.key == *key)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that its entries hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The sum over all of them.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.iter()
    }

    /// Puts an entry in place of its key's; a deletion takes the key away. What was there before.
    pub(crate) fn put(&mut self, entry: Arc<Entry>) -> Option<Arc<Entry>> {
        if entry.value.is_none() {
            return self.remove(&entry.key);
        }
        self.digest = self.digest.with(entry.digest());
        self.bytes += entry.size();
        let found = self.entries.find_mut(hash(&entry.key), |there| there.key == entry.key);
        let before = match found {
            Some(place) => Some(std::mem::replace(place, entry)),
            None => {
                self.entries.insert_unique(hash(&entry.key), entry, |there| hash(&there.key));
                None
            }
        };
        if let Some(before) = &before {
            self.forget(before);
        }
        before
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<Arc<Entry>> {
        let place = self.entries.find_entry(hash(key), |there| there.key == *key).ok()?;
        let (before, _) = place.remove();
        self.forget(&before);
        Some(before)
    }

    fn forget(&mut self, before: &Entry) {
        self.digest = self.digest.without(before.digest());
        self.bytes -= before.size();
    }
}
