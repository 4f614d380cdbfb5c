//! The merge is the join of a semilattice and respects the order of lives and counters.

use fleet::{Holding, Life, MOST_JUMP, MOST_WITNESSES, OfSelf, PeerName, Plant, Record, merge, of_self};
use peer::{Incarnation, Nonce};
use proptest::prelude::*;

fn holding() -> impl Strategy<Value = Holding> {
    (proptest::collection::vec(0_u32..3, 0..3), 0_u64..2, 0_u64..2)
        .prop_map(|(volumes, cap, candidate)| Holding { volumes, cap, candidate })
}

fn record() -> impl Strategy<Value = Record> {
    let witnesses = proptest::collection::vec(0_u8..8, 0..6);
    (0_u64..3, 0_u64..2, 0_u32..3, any::<bool>(), holding(), 0_u8..8, witnesses).prop_map(
        |(incarnation, nonce, words, leaving, holding, left, witnesses)| {
            let life = Life { incarnation: Incarnation(incarnation), nonce: Nonce(nonce) };
            if left == 0 {
                return Record::left(life);
            }
            let said = (0..words).fold(Record::new(life), |r, _| r.said(holding.clone(), leaving));
            witnesses.iter().fold(said, |r, w| r.doubted_by(&PeerName(format!("w{w}"))))
        },
    )
}

fn check_laws(a: &Record, b: &Record, c: &Record, plant: Plant) -> Result<(), String> {
    let join = |x: &Record, y: &Record| merge(x, y, plant);
    if join(a, b) != join(b, a) {
        return Err(format!("not commutative: {a:?}, {b:?}"));
    }
    if join(&join(a, b), c) != join(a, &join(b, c)) {
        return Err(format!("not associative: {a:?}, {b:?}, {c:?}"));
    }
    if join(a, a) != *a {
        return Err(format!("not idempotent: {a:?}"));
    }
    Ok(())
}

proptest! {
    #[test]
    fn merge_is_a_join(a in record(), b in record(), c in record()) {
        prop_assert_eq!(check_laws(&a, &b, &c, Plant::None), Ok(()));
    }

    #[test]
    fn later_life_then_higher_counter_wins(a in record(), b in record()) {
        let joined = merge(&a, &b, Plant::None);
        let (la, lb) = (a.life(), b.life());
        prop_assert_eq!(joined.life().incarnation, la.incarnation.max(lb.incarnation));
        if la == lb {
            prop_assert_eq!(joined.has_left(), a.has_left() || b.has_left());
            if !joined.has_left() {
                prop_assert_eq!(joined.counter(), a.counter().max(b.counter()));
            }
            if a.counter() > b.counter() && !b.has_left() {
                prop_assert_eq!(joined.witnesses(), a.witnesses(), "an older doubt outlived the word");
            }
        }
        prop_assert!(joined.witnesses().len() <= MOST_WITNESSES);
    }

    #[test]
    fn member_refutes_suspicions_of_its_own_life_only(theirs in record(), holding in holding()) {
        let own = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let mine = Record::new(own).said(holding, false);
        match of_self(&mine, &theirs, Plant::None) {
            OfSelf::Refuted(next) => {
                prop_assert_eq!(theirs.life(), own);
                prop_assert!(next.witnesses().is_empty());
                prop_assert_eq!(merge(&next, &theirs, Plant::None), next.clone());
                prop_assert_eq!(merge(&next, &mine, Plant::None), next);
            }
            OfSelf::Left(next) => prop_assert!(theirs.life() == own && next.has_left()),
            OfSelf::NotMine => prop_assert!(
                (theirs.life().incarnation, theirs.life().nonce) > (own.incarnation, own.nonce)
            ),
            OfSelf::Known => prop_assert!(
                theirs.life() != own || theirs.counter() <= mine.counter(),
                "a word above its own was left standing"
            ),
            OfSelf::Impossible => prop_assert!(theirs.counter() > MOST_JUMP),
        }
    }
}

/// Whether random records break the laws with this injected fault.
fn breaks_laws(plant: Plant) -> bool {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let result = runner.run(&(record(), record(), record()), |(a, b, c)| {
        check_laws(&a, &b, &c, plant).map_err(proptest::test_runner::TestCaseError::fail)
    });
    result.is_err()
}

#[test]
fn merge_by_arrival_breaks_the_merge_laws() {
    assert!(breaks_laws(Plant::MergeByArrival));
}

#[test]
fn revived_old_life_breaks_the_merge_laws() {
    assert!(breaks_laws(Plant::OldLifeRevives));
}
