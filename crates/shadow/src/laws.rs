//! Laws of the merge, by drawn cases: whatever comes twice, late or in another order counts once.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce};
use proptest::prelude::*;

use crate::candidate::{Candidate, VolumeMap};
use crate::counts::{Came, Cell, Why};
use crate::digest::Digest;
use crate::merge::{Books, Owner};
use crate::slice::Places;
use crate::verdict::Example;

fn places() -> Places {
    let volume = |shard| vec![VolumeMap { nsid: 1, blocks: 80, extent_blocks: 10, shards: vec![shard; 8] }];
    let candidate = Candidate { number: 1, slice: 1.0, parts: BTreeMap::new(), volumes: volume(2) };
    Places::new(&candidate, &volume(1), 0)
}

fn owner(of: u8) -> Owner {
    let life = Life { incarnation: Incarnation(u64::from(of / 4)), nonce: Nonce(u64::from(of % 4)) };
    Owner::new(["a", "b"][usize::from(of % 2)].into(), life, 9)
}

fn cell(of: u8) -> Cell {
    match of % 4 {
        0 => Cell::Came(Came::Same, 1, u64::from(of / 4 % 8)),
        1 => Cell::Came(Came::Different, 1, u64::from(of / 4 % 8)),
        2 => Cell::NotTried(2, Why::Rate),
        _ => Cell::Sent(2),
    }
}

fn example(of: u8) -> Example {
    Example {
        gateway: "a".into(),
        nsid: 1,
        extent: u64::from(of % 8),
        slba: u64::from(of % 8) * 10,
        blocks: 1,
        shards: (1, 2),
        nodes: ("x".into(), "y".into()),
        digests: (Digest::of(&[of]), Digest::of(&[])),
        times: [0; 4],
    }
}

/// Books as owners count them; each step is an owner and what it counts.
fn counted(steps: &[(u8, u8)]) -> Books {
    let mut books = Books::default();
    for (of, what) in steps {
        let owner = owner(of % 8);
        books.bump(&owner, cell(*what));
        if what % 4 == 1 {
            books.example(&owner, example(*what));
        }
    }
    books
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8)>> {
    proptest::collection::vec((any::<u8>(), any::<u8>()), 0..60)
}

fn joined(a: &Books, b: &Books) -> Books {
    let mut all = a.clone();
    all.join(b);
    all
}

proptest! {
    /// Any contents at all, also such as no honest owner would make.
    #[test]
    fn the_join_is_commutative_associative_and_idempotent(a in steps(), b in steps(), c in steps()) {
        let (a, b, c) = (counted(&a), counted(&b), counted(&c));
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert_eq!(joined(&a, &a), a.clone());
        prop_assert_eq!(joined(&joined(&a, &b), &b), joined(&a, &b));
        for (key, sum) in a.sums() {
            prop_assert!(joined(&a, &b).sums()[&key] >= sum, "a join never takes away");
        }
    }

    /// Pages that are lost, doubled and out of order: nothing counts twice, and once all that is lacking was sent, all is there.
    #[test]
    fn pages_bring_all_of_it_and_nothing_twice(
        all in steps(), cuts in proptest::collection::vec(0usize..60, 0..6), order in any::<u64>(), size in 1usize..9,
    ) {
        let (places, whole) = (places(), counted(&all));
        // Pages as they were at several moments of the owners' counting, some for receivers that had something by then.
        let mut pages = Vec::new();
        for cut in cuts {
            let then = counted(&all[..cut.min(all.len())]);
            pages.extend(then.pages(&[], 8, size, 0));
            pages.extend(whole.pages(&then.reach(), 8, size, 0));
        }
        let mut taken = Books::default();
        let mut at = order;
        for _ in 0..pages.len() * 2 {
            at = at.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let page = &pages[(at >> 33) as usize % pages.len()];
            prop_assert!(taken.take(page, &places, 99));
            for (key, sum) in taken.sums() {
                prop_assert!(sum <= whole.sums()[&key], "more than was counted");
            }
        }
        let mut rounds = 0;
        while taken != whole {
            let pages = whole.pages(&taken.reach(), 4, size, 0);
            prop_assert!(!pages.is_empty(), "it claims to have what it lacks");
            pages.iter().for_each(|page| assert!(taken.take(page, &places, 99)));
            rounds += 1;
            prop_assert!(rounds < 100);
        }
    }
}

proptest! {
    /// Copies that came in parts from others at several moments, until the owner was gone: all of them come to hold all that any
    /// of them held.
    #[test]
    fn copies_mend_each_other_when_their_owner_is_gone(
        all in proptest::collection::vec(any::<u8>(), 1..200),
        talks in proptest::collection::vec((0usize..200, 0usize..4, 0usize..4), 0..60), size in 1usize..4,
    ) {
        let places = places();
        let steps: Vec<(u8, u8)> = all.iter().map(|what| (0, *what)).collect();
        let mut copies = vec![Books::default(); 3];
        for (at, from, to) in talks {
            let source = copies.get(from).cloned().unwrap_or_else(|| counted(&steps[..at.min(steps.len())]));
            if let Some(copy) = copies.get_mut(to) {
                let pages = source.pages(&copy.reach(), 4, size, 0);
                pages.iter().for_each(|page| assert!(copy.take(page, &places, 99)));
            }
        }
        let mut whole = Books::default();
        copies.iter().for_each(|copy| whole.join(copy));
        for round in 0.. {
            if copies.iter().all(|copy| copy.sums() == whole.sums()) {
                break;
            }
            prop_assert!(round < 2_000, "they do not come together");
            let (from, to) = (round % 3, (round / 3) % 3);
            let source = copies[from].clone();
            let draw = (round as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let pages = source.pages(&copies[to].reach(), 4, size, draw);
            pages.iter().for_each(|page| assert!(copies[to].take(page, &places, 99)));
        }
    }
}

#[test]
fn owners_beyond_the_bound_and_unknown_cells_are_left_out() {
    let (places, whole) = (places(), counted(&(0..=255).map(|i| (i, i)).collect::<Vec<_>>()));
    let mut taken = Books::default();
    let results: Vec<bool> = whole.pages(&[], 99, 99, 0).iter().map(|p| taken.take(p, &places, 3)).collect();
    assert_eq!((taken.books.len(), results.iter().filter(|took| !**took).count()), (3, 5));
    let strange = [Cell::Came(Came::Same, 1, 8), Cell::Came(Came::Same, 7, 0), Cell::Sent(55)];
    let mut books = Books::default();
    strange.iter().for_each(|cell| books.bump(&owner(0), *cell));
    let mut taken = Books::default();
    books.pages(&[], 9, 9, 0).iter().for_each(|page| assert!(taken.take(page, &places, 9)));
    assert!(taken.sums().is_empty(), "{taken:?}");
}
