//! Merged counters of all lives. Each cell is written by one owner and only grows, so that updates that arrive twice, late
//! or out of order are counted once.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::counts::{Cell, Key};
use crate::options::MOST_EXAMPLES;
use crate::slice::SliceMap;
use crate::verdict::Example;

/// Owner of counters: one instance in one life of one gateway. Nobody else ever counts under it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub(crate) name: PeerName,
    pub(crate) incarnation: u64,
    pub(crate) nonce: u64,
    /// Identifies the instance within a life: loading a candidate again starts another instance.
    pub(crate) seat: u64,
}

impl Owner {
    pub(crate) fn new(name: PeerName, life: Life, seat: u64) -> Owner {
        Owner { name, incarnation: life.incarnation.0, nonce: life.nonce.0, seat }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Count {
    pub(crate) value: u64,
    /// The owner's version at the last change of the cell.
    pub(crate) version: u64,
}

/// Counters of one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnerCounters {
    /// All changes up to this version are included, as far as is known.
    pub(crate) position: u64,
    /// Checksum of all cells: the sum of their values, and the sum of hashes over key and value.
    sum: (u64, u64),
    pub(crate) cells: BTreeMap<Key, Count>,
    /// The first examples, by their number.
    pub(crate) examples: BTreeMap<u32, Example>,
}

/// A part of an owner's counters: all cells last changed after version `from`, up to the version of the last cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Page {
    pub(crate) owner: Owner,
    pub(crate) from: u64,
    pub(crate) cells: Vec<(Key, Count)>,
    pub(crate) examples: Vec<(u32, Example)>,
}

/// Version and checksum of a gateway's copy of an owner's counters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Position {
    pub(crate) owner: Owner,
    pub(crate) have: u64,
    pub(crate) sum: (u64, u64),
}

impl OwnerCounters {
    fn join_cell(&mut self, key: Key, count: Count) {
        let cell = self.cells.entry(key).or_insert(Count { value: 0, version: 0 });
        let joined = Count { value: cell.value.max(count.value), version: cell.version.max(count.version) };
        self.sum.0 = self.sum.0.wrapping_add(joined.value.wrapping_sub(cell.value));
        if joined.value != cell.value {
            let hashes = key.hash(joined.value).wrapping_sub(key.hash(cell.value));
            self.sum.1 = self.sum.1.wrapping_add(hashes);
        }
        *cell = joined;
    }

    fn join_example(&mut self, at: u32, example: &Example) {
        if at as usize >= MOST_EXAMPLES {
            return;
        }
        match self.examples.entry(at) {
            Entry::Vacant(entry) => {
                entry.insert(example.clone());
            }
            // Only a faulty gateway sends two examples with one number; all gateways then keep the same one.
            Entry::Occupied(mut entry) if entry.get() < example => {
                entry.insert(example.clone());
            }
            Entry::Occupied(_) => {}
        }
    }

    fn page(&self, owner: &Owner, from: u64, max_cells: usize) -> Option<Page> {
        if self.position <= from {
            return None;
        }
        let mut cells: Vec<(Key, Count)> = self
            .cells
            .iter()
            .filter(|(_, count)| count.version > from && count.version <= self.position)
            .map(|(key, count)| (*key, *count))
            .collect();
        cells.sort_by_key(|(_, count)| count.version);
        cells.truncate(max_cells);
        let examples = self.examples.iter().map(|(at, example)| (*at, example.clone())).collect();
        (!cells.is_empty()).then(|| Page { owner: owner.clone(), from, cells, examples })
    }
}

impl OwnerCounters {
    /// A page of cells from a random position on, which does not advance the receiver's version.
    fn random_page(&self, owner: &Owner, max_cells: usize, random: u64) -> Page {
        let count = self.cells.len();
        let first = (random % count.max(1) as u64) as usize;
        let cells = self.cells.iter().cycle().skip(first).take(max_cells.min(count));
        let cells = cells.map(|(key, count)| (*key, *count)).collect();
        let examples = self.examples.iter().map(|(at, example)| (*at, example.clone())).collect();
        Page { owner: owner.clone(), from: u64::MAX, cells, examples }
    }
}

/// Counters of all owners, of one candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MergedCounters {
    pub(crate) owners: BTreeMap<Owner, OwnerCounters>,
}

impl MergedCounters {
    /// Increments a cell of an owner.
    pub(crate) fn increment(&mut self, owner: &Owner, cell: Cell) {
        if !self.owners.contains_key(owner) {
            self.owners.insert(owner.clone(), OwnerCounters::default());
        }
        if let Some(owner_counters) = self.owners.get_mut(owner) {
            owner_counters.position += 1;
            let value = owner_counters.cells.get(&cell.key()).map_or(0, |count| count.value) + 1;
            owner_counters.join_cell(cell.key(), Count { value, version: owner_counters.position });
        }
    }

    /// Adds an example of an owner, if there is room.
    pub(crate) fn example(&mut self, owner: &Owner, example: Example) {
        if let Some(owner_counters) = self.owners.get_mut(owner) {
            let at = owner_counters.examples.len();
            if at < MOST_EXAMPLES {
                owner_counters.examples.insert(at as u32, example);
            }
        }
    }

    /// Version and checksum of each owner's counters.
    pub(crate) fn positions(&self) -> Vec<Position> {
        let position = |(owner, owner_counters): (&Owner, &OwnerCounters)| Position {
            owner: owner.clone(),
            have: owner_counters.position,
            sum: owner_counters.sum,
        };
        self.owners.iter().map(position).collect()
    }

    /// Pages that a peer with the positions `theirs` is missing: at most `max_pages` of `max_cells` each.
    ///
    /// A copy may come partly from its owner and partly from a peer with an older copy. Cells that changed in between are
    /// then in neither part, and if the owner is gone, nobody would send them again, as the copy seems complete. Two copies
    /// of the same version with different checksums therefore send each other cells from a random position until they are
    /// equal. The cost is these additional pages.
    pub(crate) fn pages(
        &self,
        theirs: &[Position],
        max_pages: usize,
        max_cells: usize,
        random: u64,
    ) -> Vec<Page> {
        let theirs: BTreeMap<&Owner, &Position> =
            theirs.iter().map(|position| (&position.owner, position)).collect();
        let missing = self.owners.iter().filter_map(|(owner, owner_counters)| match theirs.get(owner) {
            Some(position)
                if position.have == owner_counters.position && position.sum != owner_counters.sum =>
            {
                Some(owner_counters.random_page(owner, max_cells, random))
            }
            Some(position) => owner_counters.page(owner, position.have, max_cells),
            None => owner_counters.page(owner, 0, max_cells),
        });
        missing.take(max_pages).collect()
    }

    /// Merges a page; unknown cells are ignored. Returns false if there is no room for another owner.
    pub(crate) fn merge_page(&mut self, page: &Page, slice_map: &SliceMap, most_owners: usize) -> bool {
        if !self.owners.contains_key(&page.owner) && self.owners.len() >= most_owners {
            return false;
        }
        let owner_counters = self.owners.entry(page.owner.clone()).or_default();
        for (key, count) in &page.cells {
            if Cell::of(*key, slice_map).is_some() {
                owner_counters.join_cell(*key, *count);
            }
        }
        for (at, example) in &page.examples {
            owner_counters.join_example(*at, example);
        }
        let last_version = page.cells.iter().map(|(_, count)| count.version).max().unwrap_or(0);
        if page.from <= owner_counters.position {
            owner_counters.position = owner_counters.position.max(last_version);
        }
        true
    }

    /// Joins two sets of counters: the maximum for each owner and cell.
    #[cfg(test)]
    pub(crate) fn join(&mut self, other: &MergedCounters) {
        for (owner, theirs) in &other.owners {
            let ours = self.owners.entry(owner.clone()).or_default();
            theirs.cells.iter().for_each(|(key, count)| ours.join_cell(*key, *count));
            theirs.examples.iter().for_each(|(at, example)| ours.join_example(*at, example));
            ours.position = ours.position.max(theirs.position);
        }
    }

    /// Sums of all cells over their owners.
    pub(crate) fn sums(&self) -> BTreeMap<Key, u64> {
        let mut sums = BTreeMap::new();
        for (key, count) in self.owners.values().flat_map(|owner_counters| &owner_counters.cells) {
            let sum: &mut u64 = sums.entry(*key).or_default();
            *sum = sum.saturating_add(count.value);
        }
        sums
    }
}
