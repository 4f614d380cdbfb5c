//! A record without a break, and one break of each kind.

use crate::record::{Record, S, digest, good, hash};
use planecheck::BreakKind::*;
use planecheck::{Fact, Note};

#[test]
fn a_good_record_has_no_break_and_all_of_it_was_looked_at() {
    let verdict = good().verdict();
    assert!(verdict.is_good(), "{:#?}", verdict.breaks);
    assert_eq!((verdict.written, verdict.holders, verdict.in_force), (4, 3, 8));
    // The second start at version 2, and two of three sums at version 4.
    assert_eq!(verdict.compared, 3);
    assert_eq!((verdict.unreached_count, verdict.lost_with_disk), (0, 0));
}

#[test]
fn an_entry_that_no_writer_wrote_is_found_by_key_stamp_and_content() {
    let mut invented = good();
    invented.entry(7 * S, "g1", 1, 5, "1/node/z", Some(1));
    assert_eq!(invented.broken(), [Unwritten]);

    let mut other_content = good();
    other_content.instead("E 4010000 g1", &format!("E 4010000 g1 1 1 3 1/shard/c {}", hash(0xc2)));
    // What came into force in its place never did.
    assert_eq!(other_content.broken(), [Unwritten, Lost]);

    let mut other_key = good();
    other_key.instead("E 4010000 g1", &format!("E 4010000 g1 1 1 3 1/node/b {}", hash(0xc1)));
    assert_eq!(other_key.broken(), [Unwritten, Lost]);

    let mut other_epoch = good();
    other_epoch.instead("E 4010000 g1", &format!("E 4010000 g1 1 2 3 1/shard/c {}", hash(0xc1)));
    assert_eq!(other_epoch.broken(), [Unwritten, Lost]);

    let mut beyond = good();
    beyond.held(7 * S, "g1", 1, 1, 5);
    assert_eq!(beyond.broken(), [Unwritten]);

    let mut gone = good();
    gone.add("G 7000000 g1 1 1/node/z");
    assert_eq!(gone.broken(), [Unwritten]);
}

#[test]
fn a_stamp_that_does_not_rise_is_found_within_a_life_and_over_lives() {
    let mut doubled = good();
    doubled.entry(7 * S, "g1", 1, 4, "1/node/a", None);
    assert_eq!(doubled.broken(), [NotRising]);

    let mut backward = good();
    backward.entry(7 * S, "g1", 1, 1, "1/node/a", Some(0xa1));
    assert_eq!(backward.broken(), [NotRising]);

    // The second gateway never told that it had version 2, but it began there.
    let mut below_its_start = good();
    below_its_start.entry(7 * S, "g2", 1, 2, "1/node/b", Some(0xb1));
    assert_eq!(below_its_start.broken(), [NotRising]);

    let mut next_life = good();
    next_life.add(&format!("S 7000000 g1 2 1 1 4 2 {}", digest(44)));
    assert!(next_life.verdict().is_good());
    next_life.add(&format!("X 7100000 g1 2 1 3 1/shard/c {}", hash(0xc1)));
    assert_eq!(next_life.broken(), [NotRising]);

    let mut gone_twice = good();
    gone_twice.wrote(7 * S, 1, 5, "1/node/b", None);
    for g in ["g1", "g2"] {
        gone_twice.add(&format!("G 7100000 {g} 1 1/node/b")).held(7_100_000, g, 1, 1, 5);
    }
    assert!(gone_twice.verdict().is_good(), "{:?}", gone_twice.verdict().breaks);
    gone_twice.add("G 7200000 g1 1 1/node/b");
    assert_eq!(gone_twice.broken(), [NotRising]);
}

#[test]
fn a_cursor_that_goes_back_is_found_and_a_start_from_behind() {
    let mut within = good();
    within.held(7 * S, "g1", 1, 1, 3).held(7 * S, "g1", 1, 1, 4);
    assert_eq!(within.broken(), [Backward]);

    let mut a_machine = good();
    a_machine.held(7 * S, "c1", 1, 1, 2).held(7 * S, "c1", 1, 1, 4);
    assert_eq!(a_machine.broken(), [Backward]);

    let mut from_disk = good();
    from_disk.add(&format!("S 7000000 g2 2 1 1 2 2 {}", digest(2)));
    from_disk.held(7 * S, "g2", 2, 1, 4);
    assert_eq!(from_disk.broken(), [Backward]);

    let mut with_nothing_told = good();
    with_nothing_told.held(7 * S, "g2", 2, 1, 4);
    assert_eq!(with_nothing_told.broken(), [Backward]);

    let mut an_earlier_epoch = good();
    an_earlier_epoch.add("O 7000000 1 2 5").held(7_100_000, "g1", 1, 2, 4).held(7_200_000, "g1", 1, 1, 4);
    assert_eq!(an_earlier_epoch.broken(), [Backward]);
}

#[test]
fn a_start_from_a_disk_that_was_set_back_is_no_break_where_it_is_noted() {
    let mut noted = good();
    noted.note(Note::SetBack { t: 6_500_000, holder: "g2".into() });
    noted.add(&format!("S 7000000 g2 2 1 1 2 2 {}", digest(2)));
    noted.add(&format!("E 7100000 g2 2 1 3 1/shard/c {}", hash(0xc1))).add("E 7100000 g2 2 1 4 1/node/a -");
    noted.held(7_100_000, "g2", 2, 1, 4);
    assert!(noted.verdict().is_good(), "{:?}", noted.verdict().breaks);
    // Also where the disk had the number of the life before on it.
    let same_number = |line: &String| line.replace(" g2 2 ", " g2 1 ");
    let again = Record { lines: noted.lines.iter().map(same_number).collect(), ..noted.clone() };
    assert!(again.verdict().is_good(), "{:?}", again.verdict().breaks);
    // The next start is held against it again.
    noted.add(&format!("S 8000000 g2 3 1 1 2 2 {}", digest(2)));
    assert_eq!(noted.broken()[0], Backward);
}

#[test]
fn two_at_one_place_with_different_digests_are_found() {
    let mut digests = good();
    digests.instead("D 6000000 g2", &format!("D 6000000 g2 1 1 1 4 2 {}", digest(45)));
    assert_eq!(digests.broken(), [Unequal]);

    let mut at_a_start = good();
    at_a_start.instead("S 3000000 c1", &format!("S 3000000 c1 1 1 1 2 2 {}", digest(3)));
    assert_eq!(at_a_start.broken(), [Unequal]);

    // A new epoch without a change is the same place.
    let mut over_epochs = good();
    over_epochs.add("O 7000000 1 2 5").held(7_100_000, "g1", 1, 2, 4);
    over_epochs.add(&format!("D 7200000 g1 1 1 2 4 2 {}", digest(45)));
    assert_eq!(over_epochs.broken(), [Unequal]);
}

#[test]
fn a_count_that_the_replay_does_not_give_is_found() {
    let mut all_alike = good();
    for holder in ["g1", "g2", "c1"] {
        let start = format!("D 6000000 {holder}");
        all_alike.instead(&start, &format!("{start} 1 1 1 4 3 {}", digest(44)));
    }
    assert_eq!(all_alike.broken(), [Miscounted]);
    assert_eq!(all_alike.verdict().broken(), 3);

    let mut nothing = good();
    nothing.instead("S 3000000 g1", &format!("S 3000000 g1 1 1 0 0 1 {}", digest(0)));
    assert_eq!(nothing.broken(), [Miscounted]);
}

#[test]
fn a_lost_change_and_a_lost_deletion_are_found_at_the_end() {
    let mut change = good();
    change.without("E 4010000 g1");
    assert_eq!(change.broken(), [Lost]);

    let mut deletion = good();
    deletion.without("E 5010000 g1");
    assert_eq!(deletion.broken(), [Lost]);

    // The second gateway had the key on its disk and never told of it.
    let mut from_disk = good();
    from_disk.without("E 5030000 g2");
    assert_eq!(from_disk.broken(), [Lost]);

    let mut a_machine = good();
    a_machine.without("E 4001000 c1");
    assert_eq!(a_machine.broken(), [Lost]);

    let mut gone_and_not_back = good();
    gone_and_not_back.wrote(7 * S, 1, 5, "1/node/b", None).wrote(8 * S, 1, 6, "1/node/b", Some(0xb2));
    gone_and_not_back.entry(9 * S, "g1", 1, 6, "1/node/b", Some(0xb2)).held(9 * S, "g1", 1, 1, 6);
    gone_and_not_back.add("G 9000000 g2 1 1/node/b").held(9 * S, "g2", 1, 1, 6);
    assert_eq!(gone_and_not_back.broken(), [Lost]);
    assert_eq!(gone_and_not_back.verdict().breaks[0].at, "g2");
}

#[test]
fn what_is_superseded_or_never_was_there_is_not_lost() {
    let mut superseded = good();
    superseded.wrote(7 * S, 1, 5, "1/node/b", Some(0xb2)).wrote(7 * S, 1, 6, "1/node/b", Some(0xb3));
    // A key that came and went between two deltas shows at nobody who takes a whole state.
    superseded.wrote(7 * S, 1, 7, "1/node/d", Some(0xd1)).wrote(7 * S, 1, 8, "1/node/d", None);
    for g in ["g1", "g2"] {
        superseded.add(&format!("X 7100000 {g} 1 1 6 1/node/b {}", hash(0xb3))).held(7_100_000, g, 1, 1, 8);
    }
    assert!(superseded.verdict().is_good(), "{:?}", superseded.verdict().breaks);

    // By a whole state, a key that was there is told as gone.
    let mut gone = good();
    gone.instead("E 5030000 g2", "G 5030000 g2 1 1/node/a");
    assert!(gone.verdict().is_good(), "{:?}", gone.verdict().breaks);
}

#[test]
fn who_held_nothing_takes_its_first_whole_state_in_one_line() {
    let mut whole = good();
    whole.without("X 3100000 g1 1 1 1").without("X 3100000 g1 1 1 2");
    whole.instead("C 3100000 g1", &format!("S 3100000 g1 1 1 1 2 2 {}", digest(2)));
    assert!(whole.verdict().is_good(), "{:?}", whole.verdict().breaks);
    assert_eq!(whole.verdict().compared, 4);

    // Who held something tells of each entry.
    let mut later = good();
    later.without("E 4010000 g1").instead("C 4010000 g1", &format!("S 4010000 g1 1 1 1 3 3 {}", digest(33)));
    assert_eq!(later.broken(), [Lost]);
}

#[test]
fn what_a_kill_kept_from_the_records_is_not_lost() {
    let mut killed = good();
    killed.without("E 5010000 g1").without("C 5010000 g1");
    killed.without("D 6000000 g1").add(&format!("S 7000000 g1 2 1 1 4 2 {}", digest(44)));
    assert!(killed.verdict().is_good(), "{:?}", killed.verdict().breaks);
    killed.without("S 7000000 g1").add(&format!("S 7000000 g1 2 1 1 4 3 {}", digest(46)));
    assert_eq!(killed.broken(), [Unequal, Miscounted]);
}

#[test]
fn a_holder_that_has_not_come_to_the_end_is_told_and_no_break() {
    let mut away = good();
    away.wrote(7 * S, 1, 5, "1/node/b", None);
    away.entry(7 * S, "g1", 1, 5, "1/node/b", None).held(7 * S, "g1", 1, 1, 5);
    let verdict = away.verdict();
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
    let unreached: Vec<&str> = verdict.unreached.iter().map(|u| u.holder.as_str()).collect();
    assert_eq!(unreached, ["g2", "c1"]);
    assert_eq!(verdict.unreached[0].held, (1, 4));
    assert_eq!(verdict.unreached[0].last, (1, 5));
}

#[test]
fn a_version_written_twice_a_gap_and_an_epoch_that_is_over_are_found() {
    let mut twice = good();
    twice.wrote(7 * S, 1, 4, "1/node/b", Some(9));
    assert_eq!(twice.broken(), [WrittenTwice]);

    let mut gap = Record::default();
    gap.add("O 1000000 1 1 1").wrote(2 * S, 1, 1, "1/node/a", Some(1)).wrote(
        2 * S,
        1,
        3,
        "1/node/b",
        Some(1),
    );
    assert_eq!(gap.broken(), [Gap]);

    let mut gap_at_a_start = good();
    gap_at_a_start.add("O 7000000 1 2 7");
    assert_eq!(gap_at_a_start.broken(), [Gap]);

    let mut overtaken = good();
    overtaken.add("O 7000000 1 2 5").wrote(8 * S, 1, 5, "1/node/b", Some(9));
    assert_eq!(overtaken.broken(), [Overtaken]);

    let mut never_opened = good();
    never_opened.wrote(8 * S, 2, 5, "1/node/b", Some(9));
    assert_eq!(never_opened.broken(), [Overtaken]);

    let mut opened_again = good();
    opened_again.add("O 7000000 1 1 5");
    assert_eq!(opened_again.broken(), [Overtaken]);

    let mut foreign = good();
    foreign.wrote(7 * S, 1, 5, "2/node/b", Some(9));
    assert_eq!(foreign.broken(), [Foreign]);
}

#[test]
fn versions_that_are_given_anew_are_a_break_unless_the_writers_disk_was_set_back() {
    let mut anew = good();
    anew.add("O 7000000 1 2 4").wrote(8 * S, 2, 4, "1/node/b", Some(9));
    assert_eq!(anew.broken(), [WrittenTwice]);
    anew.note(Note::WriterSetBack { t: 6_500_000, region: 1 });
    let verdict = anew.verdict();
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
    assert_eq!(verdict.lost_with_disk, 1);
    // All three stand at a change that is no more.
    assert_eq!(verdict.unreached_count, 3);
    // Who goes over to what was written in its place is held against a replay of that.
    anew.add(&format!("E 9000000 g1 1 2 4 1/node/b {}", hash(9)));
    assert_eq!(anew.broken(), [NotRising], "the version was held already");
}

#[test]
fn who_stands_at_what_was_cut_off_may_go_to_the_later_epoch_and_nowhere_else() {
    let mut cut = good();
    cut.note(Note::WriterSetBack { t: 6_500_000, region: 1 });
    cut.add("O 7000000 1 2 3").add(&format!("X 8000000 g1 1 1 1 1/node/a {}", hash(0xa1)));
    cut.add("G 8000000 g1 1 1/shard/c");
    let mut back = cut.clone();
    cut.held(8 * S, "g1", 1, 2, 2).add(&format!("D 9000000 g1 1 1 2 2 2 {}", digest(2)));
    let verdict = cut.verdict();
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
    assert_eq!((verdict.lost_with_disk, verdict.unreached_count), (2, 2));
    // The earlier epoch is over for it.
    cut.held(10 * S, "g1", 1, 1, 4);
    assert_eq!(cut.broken(), [Backward]);
    back.held(8 * S, "g1", 1, 1, 2);
    assert_eq!(back.broken(), [Backward]);
    // Without the later epoch nothing is cut off.
    let mut uncut = good();
    uncut.add("O 7000000 1 2 5").held(8 * S, "g1", 1, 2, 2);
    assert_eq!(uncut.broken(), [Backward]);
}

#[test]
fn a_line_that_is_no_fact_is_none() {
    let good_line = format!("D 6000000 g1 1 1 1 4 2 {}", digest(44));
    assert!(Fact::parse(&good_line).is_some());
    for line in [
        "",
        "Q 1 g1 1",
        "C 1 g1 1 1 1",
        "C 1 g1 1 1 1 4 5",
        "C x g1 1 1 1 4",
        "E 1 g1 1 1 4 1/node/a",
        "E 1 g1 1 1 4 1/node/a 12",
        "D 6000000 g1 1 1 1 4 2 44",
        "W 1 70000 1 1 1/node/a -",
    ] {
        assert_eq!(Fact::parse(line), None, "{line}");
    }
}
