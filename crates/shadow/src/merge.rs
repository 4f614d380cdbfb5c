//! Counts of all lives, joined: each cell is written by one owner and only grows, so that what comes twice, late or in
//! another order counts once.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::counts::{Cell, Key};
use crate::options::MOST_EXAMPLES;
use crate::slice::Places;
use crate::verdict::Example;

/// Whose counts: one instance in one life of one gateway. Nothing is ever counted under it by anybody else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub(crate) name: PeerName,
    pub(crate) incarnation: u64,
    pub(crate) nonce: u64,
    /// Tells apart instances within a life: a candidate that is read again starts another one.
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
    /// The owner's number of the step that last changed it.
    pub(crate) version: u64,
}

/// What is held of one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Book {
    /// All steps up to this one are in.
    pub(crate) have: u64,
    pub(crate) cells: BTreeMap<Key, Count>,
    /// By their number: the first ones.
    pub(crate) examples: BTreeMap<u32, Example>,
}

/// A part of a book: all cells whose last change lies behind step `from`, up to that of the last cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Page {
    pub(crate) owner: Owner,
    pub(crate) from: u64,
    pub(crate) cells: Vec<(Key, Count)>,
    pub(crate) examples: Vec<(u32, Example)>,
}

impl Book {
    fn join_cell(&mut self, key: Key, count: Count) {
        let cell = self.cells.entry(key).or_insert(count);
        cell.value = cell.value.max(count.value);
        cell.version = cell.version.max(count.version);
    }

    fn join_example(&mut self, at: u32, example: &Example) {
        if at as usize >= MOST_EXAMPLES {
            return;
        }
        match self.examples.entry(at) {
            Entry::Vacant(entry) => {
                entry.insert(example.clone());
            }
            // Only a liar sends two of one number; all gateways then hold the same one.
            Entry::Occupied(mut entry) if entry.get() < example => {
                entry.insert(example.clone());
            }
            Entry::Occupied(_) => {}
        }
    }

    fn page(&self, owner: &Owner, from: u64, most: usize) -> Option<Page> {
        if self.have <= from {
            return None;
        }
        let mut cells: Vec<(Key, Count)> = self
            .cells
            .iter()
            .filter(|(_, count)| count.version > from && count.version <= self.have)
            .map(|(key, count)| (*key, *count))
            .collect();
        cells.sort_by_key(|(_, count)| count.version);
        cells.truncate(most);
        let examples = self.examples.iter().map(|(at, example)| (*at, example.clone())).collect();
        (!cells.is_empty()).then(|| Page { owner: owner.clone(), from, cells, examples })
    }
}

/// What is held of all owners, of one candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Books {
    pub(crate) books: BTreeMap<Owner, Book>,
}

impl Books {
    /// Counts one more under an owner.
    pub(crate) fn bump(&mut self, owner: &Owner, cell: Cell) {
        if !self.books.contains_key(owner) {
            self.books.insert(owner.clone(), Book::default());
        }
        if let Some(book) = self.books.get_mut(owner) {
            book.have += 1;
            let count = book.cells.entry(cell.key()).or_insert(Count { value: 0, version: 0 });
            *count = Count { value: count.value + 1, version: book.have };
        }
    }

    /// Notes an example of an owner, if there is room.
    pub(crate) fn example(&mut self, owner: &Owner, example: Example) {
        if let Some(book) = self.books.get_mut(owner) {
            let at = book.examples.len();
            if at < MOST_EXAMPLES {
                book.examples.insert(at as u32, example);
            }
        }
    }

    /// How far each book reaches.
    pub(crate) fn have(&self) -> Vec<(Owner, u64)> {
        self.books.iter().map(|(owner, book)| (owner.clone(), book.have)).collect()
    }

    /// Pages that one who has so much lacks, at most so many of so many cells.
    pub(crate) fn pages(&self, have: &[(Owner, u64)], most: usize, cells: usize) -> Vec<Page> {
        let have: BTreeMap<&Owner, u64> = have.iter().map(|(owner, have)| (owner, *have)).collect();
        let lacking = self.books.iter().filter_map(|(owner, book)| {
            let from = have.get(owner).copied().unwrap_or(0);
            book.page(owner, from, cells)
        });
        lacking.take(most).collect()
    }

    /// Takes a page in. What is not known here is passed over; whether the owner found room is told.
    pub(crate) fn take(&mut self, page: &Page, places: &Places, most_owners: usize) -> bool {
        if !self.books.contains_key(&page.owner) && self.books.len() >= most_owners {
            return false;
        }
        let book = self.books.entry(page.owner.clone()).or_default();
        for (key, count) in &page.cells {
            if Cell::of(*key, places).is_some() {
                book.join_cell(*key, *count);
            }
        }
        for (at, example) in &page.examples {
            book.join_example(*at, example);
        }
        if page.from <= book.have {
            let reaches = page.cells.iter().map(|(_, count)| count.version).max().unwrap_or(0);
            book.have = book.have.max(reaches);
        }
        true
    }

    /// The join of two holdings: for each owner and cell the greater one.
    #[cfg(test)]
    pub(crate) fn join(&mut self, other: &Books) {
        for (owner, theirs) in &other.books {
            let ours = self.books.entry(owner.clone()).or_default();
            theirs.cells.iter().for_each(|(key, count)| ours.join_cell(*key, *count));
            theirs.examples.iter().for_each(|(at, example)| ours.join_example(*at, example));
            ours.have = ours.have.max(theirs.have);
        }
    }

    /// All cells with their owners' counts added up.
    pub(crate) fn sums(&self) -> BTreeMap<Key, u64> {
        let mut sums = BTreeMap::new();
        for (key, count) in self.books.values().flat_map(|book| &book.cells) {
            let sum: &mut u64 = sums.entry(*key).or_default();
            *sum = sum.saturating_add(count.value);
        }
        sums
    }
}
