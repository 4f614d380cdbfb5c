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
    /// All steps up to this one are in, as far as is known.
    pub(crate) have: u64,
    /// Of all cells: the sum of their values, and a sum of hashes over key and value.
    sum: (u64, u64),
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

/// How far a gateway's copy of a book reaches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Reach {
    pub(crate) owner: Owner,
    pub(crate) have: u64,
    pub(crate) sum: (u64, u64),
}

impl Book {
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

impl Book {
    /// Cells from a drawn place on, which claim to be no step.
    fn any(&self, owner: &Owner, most: usize, draw: u64) -> Page {
        let count = self.cells.len();
        let first = (draw % count.max(1) as u64) as usize;
        let cells = self.cells.iter().cycle().skip(first).take(most.min(count));
        let cells = cells.map(|(key, count)| (*key, *count)).collect();
        let examples = self.examples.iter().map(|(at, example)| (*at, example.clone())).collect();
        Page { owner: owner.clone(), from: u64::MAX, cells, examples }
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
            let value = book.cells.get(&cell.key()).map_or(0, |count| count.value) + 1;
            book.join_cell(cell.key(), Count { value, version: book.have });
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
    pub(crate) fn reach(&self) -> Vec<Reach> {
        let reach =
            |(owner, book): (&Owner, &Book)| Reach { owner: owner.clone(), have: book.have, sum: book.sum };
        self.books.iter().map(reach).collect()
    }

    /// Pages that one who reaches so far lacks, at most so many of so many cells.
    ///
    /// Danger: part of a book came from its owner, the rest from one who had an older copy, and the owner is gone: what
    /// moved up between the two is in neither part, and nobody would send it again, as all steps seem to be in.
    /// Harm: of two copies that reach equally far and are not equal, each sends the other cells from a drawn place, until
    /// they are.
    pub(crate) fn pages(&self, theirs: &[Reach], most: usize, cells: usize, draw: u64) -> Vec<Page> {
        let theirs: BTreeMap<&Owner, &Reach> = theirs.iter().map(|reach| (&reach.owner, reach)).collect();
        let lacking = self.books.iter().filter_map(|(owner, book)| match theirs.get(owner) {
            Some(reach) if reach.have == book.have && reach.sum != book.sum => {
                Some(book.any(owner, cells, draw))
            }
            Some(reach) => book.page(owner, reach.have, cells),
            None => book.page(owner, 0, cells),
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
        let reaches = page.cells.iter().map(|(_, count)| count.version).max().unwrap_or(0);
        if page.from <= book.have {
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
