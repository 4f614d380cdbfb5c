//! Properties of the merge, by random cases: updates that arrive twice, late or out of order are counted once.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce};
use proptest::prelude::*;

use crate::candidate::{Candidate, VolumeMap};
use crate::counts::{Cell, Comparison, Why};
use crate::digest::Digest;
use crate::merge::{MergedCounters, Owner};
use crate::slice::SliceMap;
use crate::verdict::Example;

fn slice_map() -> SliceMap {
    let volume = |shard| vec![VolumeMap { nsid: 1, blocks: 80, extent_blocks: 10, shards: vec![shard; 8] }];
    let candidate = Candidate { number: 1, slice: 1.0, parts: BTreeMap::new(), volumes: volume(2) };
    SliceMap::new(&candidate, &volume(1), 0)
}

fn owner(of: u8) -> Owner {
    let life = Life { incarnation: Incarnation(u64::from(of / 4)), nonce: Nonce(u64::from(of % 4)) };
    Owner::new(["a", "b"][usize::from(of % 2)].into(), life, 9)
}

fn cell(of: u8) -> Cell {
    match of % 4 {
        0 => Cell::Compared(Comparison::Same, 1, u64::from(of / 4 % 8)),
        1 => Cell::Compared(Comparison::Different, 1, u64::from(of / 4 % 8)),
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

/// Counters after these steps; each step is an owner and the cell that it increments.
fn counted(steps: &[(u8, u8)]) -> MergedCounters {
    let mut counters = MergedCounters::default();
    for (of, what) in steps {
        let owner = owner(of % 8);
        counters.increment(&owner, cell(*what));
        if what % 4 == 1 {
            counters.example(&owner, example(*what));
        }
    }
    counters
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8)>> {
    proptest::collection::vec((any::<u8>(), any::<u8>()), 0..60)
}

fn joined(a: &MergedCounters, b: &MergedCounters) -> MergedCounters {
    let mut all = a.clone();
    all.join(b);
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]
    /// Holds for any contents, also those that no correct owner would produce.
    #[test]
    fn join_is_commutative_associative_and_idempotent(a in steps(), b in steps(), c in steps()) {
        let (a, b, c) = (counted(&a), counted(&b), counted(&c));
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert_eq!(joined(&a, &a), a.clone());
        prop_assert_eq!(joined(&joined(&a, &b), &b), joined(&a, &b));
        for (key, sum) in a.sums() {
            prop_assert!(joined(&a, &b).sums()[&key] >= sum, "a join never decreases a sum");
        }
    }

    /// Pages that are lost, duplicated or reordered are never counted twice, and sending the missing pages completes the copy.
    #[test]
    fn pages_complete_a_copy_and_count_nothing_twice(
        all in steps(), cuts in proptest::collection::vec(0usize..60, 0..6), order in any::<u64>(), size in 1usize..9,
    ) {
        let (slice_map, whole) = (slice_map(), counted(&all));
        // Pages of several versions of the counters, some for receivers with an older copy.
        let mut pages = Vec::new();
        for cut in cuts {
            let then = counted(&all[..cut.min(all.len())]);
            pages.extend(then.pages(&[], 8, size, 0));
            pages.extend(whole.pages(&then.positions(), 8, size, 0));
        }
        let mut copy_so_far = MergedCounters::default();
        let mut at = order;
        for _ in 0..pages.len() * 2 {
            at = at.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let page = &pages[(at >> 33) as usize % pages.len()];
            prop_assert!(copy_so_far.merge_page(page, &slice_map, 99));
            for (key, sum) in copy_so_far.sums() {
                prop_assert!(sum <= whole.sums()[&key], "more than was counted");
            }
        }
        let mut rounds = 0;
        while copy_so_far != whole {
            let pages = whole.pages(&copy_so_far.positions(), 4, size, 0);
            prop_assert!(!pages.is_empty(), "the copy claims to have what it is missing");
            pages.iter().for_each(|page| assert!(copy_so_far.merge_page(page, &slice_map, 99)));
            rounds += 1;
            prop_assert!(rounds < 100);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]
    /// Copies that were received in parts from several sources, until the owner was gone, converge to all that any of them held.
    #[test]
    fn copies_converge_when_their_owner_is_gone(
        all in proptest::collection::vec(any::<u8>(), 1..200),
        transfers in proptest::collection::vec((0usize..200, 0usize..4, 0usize..4), 0..60), size in 1usize..4,
    ) {
        let slice_map = slice_map();
        let steps: Vec<(u8, u8)> = all.iter().map(|what| (0, *what)).collect();
        let mut copies = vec![MergedCounters::default(); 3];
        for (at, from, to) in transfers {
            let source = copies.get(from).cloned().unwrap_or_else(|| counted(&steps[..at.min(steps.len())]));
            if let Some(copy) = copies.get_mut(to) {
                let pages = source.pages(&copy.positions(), 4, size, 0);
                pages.iter().for_each(|page| assert!(copy.merge_page(page, &slice_map, 99)));
            }
        }
        let mut whole = MergedCounters::default();
        copies.iter().for_each(|copy| whole.join(copy));
        for round in 0.. {
            if copies.iter().all(|copy| copy.sums() == whole.sums()) {
                break;
            }
            prop_assert!(round < 2_000, "the copies do not converge");
            let (from, to) = (round % 3, (round / 3) % 3);
            let source = copies[from].clone();
            let random = (round as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let pages = source.pages(&copies[to].positions(), 4, size, random);
            pages.iter().for_each(|page| assert!(copies[to].merge_page(page, &slice_map, 99)));
        }
    }
}

#[test]
fn owners_beyond_the_limit_and_unknown_cells_are_ignored() {
    let (slice_map, whole) = (slice_map(), counted(&(0..=255).map(|i| (i, i)).collect::<Vec<_>>()));
    let mut copy_so_far = MergedCounters::default();
    let results: Vec<bool> =
        whole.pages(&[], 99, 99, 0).iter().map(|p| copy_so_far.merge_page(p, &slice_map, 3)).collect();
    assert_eq!((copy_so_far.owners.len(), results.iter().filter(|merged| !**merged).count()), (3, 5));
    let unknown =
        [Cell::Compared(Comparison::Same, 1, 8), Cell::Compared(Comparison::Same, 7, 0), Cell::Sent(55)];
    let mut counters = MergedCounters::default();
    unknown.iter().for_each(|cell| counters.increment(&owner(0), *cell));
    let mut copy_so_far = MergedCounters::default();
    counters.pages(&[], 9, 9, 0).iter().for_each(|page| assert!(copy_so_far.merge_page(page, &slice_map, 9)));
    assert!(copy_so_far.sums().is_empty(), "{copy_so_far:?}");
}
