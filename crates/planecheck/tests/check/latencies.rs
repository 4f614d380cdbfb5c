//! How long changes took, and whose latencies are told apart.

use crate::record::{S, digest, good, hash};
use planecheck::Note;

#[test]
fn each_change_counts_at_each_holder_that_lived_when_it_was_written() {
    let all = good().verdict().latencies["all"];
    // Two changes at two gateways; the first two were written before anybody was started, and machines do not count.
    assert_eq!((all.all.count, all.steady.count, all.apart.count), (4, 4, 0));
    assert_eq!(all.all.worst, 30_000);
    assert!((9_990..=10_010).contains(&all.all.median), "{all:?}");
    assert!((29_970..=30_030).contains(&all.all.p99), "{all:?}");
}

#[test]
fn a_change_that_was_superseded_counts_until_the_later_one() {
    let mut r = good();
    r.wrote(7 * S, 1, 5, "1/node/b", Some(0xb2)).wrote(8 * S, 1, 6, "1/node/b", Some(0xb3));
    r.entry(9 * S, "g1", 1, 6, "1/node/b", Some(0xb3)).held(9 * S, "g1", 1, 1, 6);
    let all = r.verdict().latencies["all"].all;
    assert_eq!((all.count, all.worst), (6, 2_000_000));
}

#[test]
fn holders_that_were_away_or_named_are_told_apart() {
    let mut restarted = good();
    restarted.without("E 5010000 g1").without("C 5010000 g1").without("D 6000000 g1");
    restarted.add(&format!("S 7000000 g1 2 1 1 3 3 {}", digest(33)));
    restarted.add("E 7500000 g1 2 1 4 1/node/a -").held(7_500_000, "g1", 2, 1, 4);
    let verdict = restarted.verdict();
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
    let all = verdict.latencies["all"];
    assert_eq!((all.all.count, all.steady.count, all.apart.count), (4, 3, 1));
    assert_eq!((all.steady.worst, all.apart.worst), (30_000, 2_500_000));

    let mut named = good();
    named.note(Note::Apart { from: 4 * S, to: 4 * S + 5000, holder: Some("g2".into()) });
    let all = named.verdict().latencies["all"];
    assert_eq!((all.steady.count, all.apart.count), (3, 1));

    let mut everyone = good();
    everyone.note(Note::Apart { from: 0, to: 4 * S + 5000, holder: None });
    let all = everyone.verdict().latencies["all"];
    assert_eq!((all.steady.count, all.apart.count), (2, 2));
}

#[test]
fn phases_take_the_changes_that_were_written_in_them() {
    let mut r = good();
    r.note(Note::Phase { from: 5 * S, to: 6 * S, name: "second".into() });
    r.note(Note::Phase { from: 6 * S, to: 7 * S, name: "none".into() });
    let latencies = r.verdict().latencies;
    assert_eq!(latencies["second"].all.count, 2);
    assert_eq!(latencies["none"].all.count, 0);
    assert_eq!(latencies["all"].all.count, 4);
}

#[test]
fn what_a_life_found_on_its_disk_took_no_time() {
    let mut r = good();
    r.without("E 5010000 g1").without("C 5010000 g1").without("D 6000000 g1");
    r.add(&format!("S 7000000 g1 2 1 1 4 2 {}", digest(44)));
    r.wrote(8 * S, 1, 5, "1/node/a", Some(0xa2));
    r.add(&format!("E 8010000 g1 2 1 5 1/node/a {}", hash(0xa2))).held(8_010_000, "g1", 2, 1, 5);
    let all = r.verdict().latencies["all"];
    assert_eq!((all.all.count, all.all.worst), (4, 30_000));
}
