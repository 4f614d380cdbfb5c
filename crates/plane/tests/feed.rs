//! The feed: nobody waits for a slow reader, nothing piles up for one, and all get their share.

mod common;

use common::*;
use plane::{Bounds, Conn, Copy, Input, MachineOptions, Message, Output, Refusal, Region, Taken, WireEntry};

fn fresh() -> Copy {
    Copy::new([ONE], Bounds::default())
}

/// Bytes of one message, at most: about 48 KiB of entries, and one more.
const MESSAGE: usize = 56 << 10;

/// A writer that holds so many keys of about a KiB each.
fn full(options: MachineOptions, keys: usize) -> Desk {
    let mut desk = Desk::new(options).opened();
    let value = "v".repeat(1000);
    for from in (0..keys).step_by(100) {
        desk.change((from..keys.min(from + 100)).map(|n| put(&format!("k{n}"), &value)).collect());
    }
    desk
}

fn reader(desk: &mut Desk, copy: &Copy, takes: bool) -> Conn {
    let conn = desk.connect("reader");
    desk.ends.get_mut(&conn).expect("just made").takes = takes;
    desk.subscribe(conn, copy);
    conn
}

#[test]
fn a_slow_reader_holds_up_nobody_and_costs_one_cursor() {
    let mut desk = full(alone(), 50);
    let (mut fast, mut slow) = (fresh(), fresh());
    let (quick, stuck) = (reader(&mut desk, &fast, true), reader(&mut desk, &slow, true));
    desk.run(20);
    desk.read(quick, &mut fast).expect("a first state");
    desk.read(stuck, &mut slow).expect("a first state");
    desk.ends.get_mut(&stuck).expect("it is there").takes = false;
    let value = |round: usize| format!("{round:04}{}", "v".repeat(1000));
    for round in 0..1500 {
        desk.change(vec![put(&format!("k{}", round % 50), &value(round))]);
        let taken = desk.read(quick, &mut fast).expect("the change");
        assert!(!taken.is_empty(), "the quick reader waits at round {round}");
    }
    let unsent = MachineOptions::new(greeting("x"), Vec::new()).feed.unsent;
    let waits = desk.ends[&stuck].untaken;
    assert!(waits <= unsent + MESSAGE, "{waits} bytes wait for the slow reader");
    assert!(waits >= unsent, "it was not slow");
    desk.read(stuck, &mut slow).expect("what was sent before");
    let behind = desk.machine.copy().cursor(ONE).version.0 - slow.cursor(ONE).version.0;
    assert!(behind > 1000, "it is only {behind} changes behind");
    desk.ends.get_mut(&stuck).expect("it is there").takes = true;
    let looked_at = desk.machine.counts().entries_out;
    desk.take_all(stuck);
    desk.run(5);
    let taken = desk.read(stuck, &mut slow).expect("what it missed");
    let entries: usize =
        taken.iter().map(|t| if let Taken::Delta { changed, .. } = t { changed.len() } else { 0 }).sum();
    assert_eq!(entries, 50, "each key once, at its latest version");
    assert_eq!(desk.machine.counts().entries_out - looked_at, 50);
    assert_eq!(look(&slow), look(&fast));
    assert_eq!(look(&slow), look(desk.machine.copy()));
}

#[test]
fn the_rate_is_shared_evenly_and_kept() {
    let mut options = alone();
    options.feed.rate = 1 << 20;
    let mut desk = full(options, 1500);
    let conns: Vec<Conn> = (0..5).map(|_| reader(&mut desk, &fresh(), true)).collect();
    // Each has its first words, which are short, and waits for pieces that are all of one size.
    desk.run(30);
    let first: Vec<u64> = conns.iter().map(|conn| desk.ends[conn].bytes).collect();
    let (before, from) = (desk.machine.counts().bytes_out, desk.now);
    desk.run(200);
    let time = (desk.now - from) as u64;
    let bytes = desk.machine.counts().bytes_out - before;
    let due = time * (1 << 20) / 1_000_000;
    assert!(bytes <= due + (1 << 20) / 10 + 2 * MESSAGE as u64, "{bytes} bytes in {time} us");
    assert!(bytes >= due * 9 / 10, "{bytes} bytes in {time} us, and all wait for more");
    let got: Vec<u64> =
        conns.iter().zip(first).map(|(conn, before)| desk.ends[conn].bytes - before).collect();
    let (least, most) = (got.iter().min().expect("five"), got.iter().max().expect("five"));
    assert!(most - least <= MESSAGE as u64, "{got:?}");
}

#[test]
fn a_change_does_not_wait_for_whole_states_of_others() {
    let mut options = alone();
    options.feed.rate = 1 << 20;
    let mut desk = full(options, 1500);
    let mut copy = fresh();
    for body in desk.machine.copy().export() {
        copy.restore(&body, None).expect("its own state");
    }
    let level = reader(&mut desk, &copy, true);
    desk.run(10);
    desk.read(level, &mut copy).expect("nothing but its level");
    let wholes: Vec<Conn> = (0..3).map(|_| reader(&mut desk, &fresh(), true)).collect();
    desk.run(5);
    desk.change(vec![put("k1", "new")]);
    // Three whole states of 1.5 MB would need more than four seconds; a turn of three messages takes a sixth of one.
    desk.run(30);
    let taken = desk.read(level, &mut copy).expect("the change");
    assert!(matches!(taken.as_slice(), [Taken::Delta { changed, .. }] if changed.len() == 1), "{taken:?}");
    assert!(wholes.iter().all(|conn| desk.ends[conn].bytes < 1_000_000));
}

#[test]
fn a_low_rate_is_kept_up_however_often_the_machine_is_busy() {
    let mut options = alone();
    options.feed.rate = 64 << 10;
    let mut desk = full(options, 500);
    let conn = reader(&mut desk, &fresh(), true);
    let (before, from) = (desk.ends[&conn].bytes, desk.now);
    while desk.now < from + 2_000_000 {
        desk.now += 9;
        desk.give(Input::Tick);
    }
    let bytes = desk.ends[&conn].bytes - before;
    // One message may be owed from before.
    assert!(bytes as usize >= (128 << 10) - MESSAGE, "{bytes} bytes in two seconds at 64 KiB a second");
}

#[test]
fn one_more_than_are_served_is_told_to_come_back() {
    let mut options = alone();
    options.feed.subscribers = 2;
    options.feed.pause = 1_234;
    let mut desk = full(options, 10);
    let (first, _second) = (reader(&mut desk, &fresh(), true), reader(&mut desk, &fresh(), true));
    let third = reader(&mut desk, &fresh(), true);
    assert_eq!(desk.notes(third), [Message::Busy { pause: 1_234 }]);
    assert!(desk.is_closed(third));
    assert_eq!(desk.machine.subscribers(), 2);
    // Who is served already may ask again.
    desk.subscribe(first, &fresh());
    assert!(!desk.is_closed(first));
    desk.give(Input::Ended { conn: first });
    let fourth = reader(&mut desk, &fresh(), true);
    desk.run(5);
    assert!(!desk.is_closed(fourth));
    assert!(matches!(desk.notes(fourth).first(), Some(Message::Begin { .. })));
}

#[test]
fn two_whole_states_are_held_at_most() {
    let mut options = alone();
    options.feed.unsent = 1 << 10;
    let mut desk = full(options, 200);
    let value = "w".repeat(1000);
    let mut conns = Vec::new();
    for round in 0..4 {
        conns.push(reader(&mut desk, &fresh(), false));
        desk.run(5);
        // More changes than one message holds: the next reader gets another whole state.
        for half in 0..2 {
            let keys = half * 100..half * 100 + 100;
            desk.change(keys.map(|n| put(&format!("k{n}"), &format!("{round}{value}"))).collect());
        }
    }
    let closed: Vec<bool> = conns.iter().map(|conn| desk.is_closed(*conn)).collect();
    assert_eq!(closed, [true, true, false, false], "those at the oldest of more than two are ended");
    // Those that are left come to the end of theirs, and on.
    for conn in &conns[2..] {
        let mut copy = fresh();
        desk.ends.get_mut(conn).expect("it is there").takes = true;
        desk.take_all(*conn);
        desk.run(50);
        desk.read(*conn, &mut copy).expect("a whole state and what followed");
        assert_eq!(look(&copy), look(desk.machine.copy()));
    }
}

#[test]
fn readers_that_start_together_share_one_whole_state() {
    let mut desk = full(alone(), 200);
    let conns: Vec<Conn> = (0..20).map(|_| reader(&mut desk, &fresh(), true)).collect();
    desk.run(100);
    for conn in conns {
        let mut copy = fresh();
        desk.read(conn, &mut copy).expect("the state");
        assert_eq!(look(&copy), look(desk.machine.copy()));
    }
}

#[test]
fn a_whole_state_is_followed_by_a_word_that_it_is_all() {
    for keys in [0, 1, 200] {
        let mut desk = full(alone(), keys);
        let mut copy = fresh();
        let conn = reader(&mut desk, &copy, true);
        desk.run(50);
        let taken = desk.read(conn, &mut copy).expect("the state");
        assert!(taken.iter().any(|one| matches!(one, Taken::Whole { .. })), "{keys} keys");
        assert!(
            matches!(taken.last(), Some(Taken::Delta { level: true, .. })),
            "{keys} keys: {:?}",
            taken.last()
        );
    }
}

#[test]
fn who_doubts_what_it_holds_gets_a_whole_state_that_does_not_end_before_it() {
    let mut desk = full(alone(), 10);
    // The first whole state is given out, and a few changes follow that one message would hold.
    let early = reader(&mut desk, &fresh(), true);
    desk.run(5);
    assert!(desk.notes(early).iter().any(|note| matches!(note, Message::End { .. })));
    desk.change(vec![put("k1", "new"), put("k2", "new")]);
    let mut copy = fresh();
    for body in desk.machine.copy().export() {
        copy.restore(&body, None).expect("its own state");
    }
    let held = copy.cursor(ONE);
    let conn = desk.connect("doubter");
    desk.note(conn, &Message::Renew { wanted: vec![(ONE, held)], doubted: vec![ONE] });
    desk.run(5);
    let taken = desk.read(conn, &mut copy).expect("none that ends before what it holds");
    assert!(taken.iter().any(|one| matches!(one, Taken::Whole { upto, .. } if *upto == held)), "{taken:?}");
    assert!(matches!(taken.last(), Some(Taken::Delta { level: true, .. })), "{taken:?}");
}

/// A machine of region 1 that does not write, and what it was told by the writer.
fn follower(messages: &[Message]) -> Desk {
    let places = vec![place("w1", 1, true), place("m2", 1, false)];
    let mut desk = Desk::new(MachineOptions::new(greeting("m2"), places));
    desk.run(30);
    let up = desk.dialled("w1");
    messages.iter().for_each(|message| desk.note(up, message));
    desk
}

#[test]
fn a_machine_that_holds_nothing_says_so_once() {
    let mut desk = follower(&[]);
    for held in [at(0, 0), at(1, 5)] {
        let conn = desk.connect("reader");
        desk.note(conn, &Message::Subscribe(vec![(ONE, held)]));
        desk.run(200);
        assert_eq!(
            desk.notes(conn),
            [Message::Behind { region: ONE, at: at(0, 0) }],
            "to one that holds {held}"
        );
    }
}

#[test]
fn who_holds_more_is_served_once_the_machine_has_caught_up() {
    let entries =
        |from: u64, upto: u64| (from..=upto).map(|v| wire(1, v, &format!("k{v}"), Some("v"))).collect();
    let mut desk = follower(&[delta(at(0, 0), at(1, 3), &[(1, 1)], entries(1, 3))]);
    let conn = desk.connect("reader");
    desk.note(conn, &Message::Subscribe(vec![(ONE, at(1, 5))]));
    desk.run(5);
    assert_eq!(desk.notes(conn), [Message::Behind { region: ONE, at: at(1, 3) }]);
    let up = Conn(1);
    desk.note(up, &delta(at(1, 3), at(1, 4), &[], entries(4, 4)));
    desk.run(5);
    assert_eq!(desk.notes(conn), [], "it still knows less");
    desk.note(up, &delta(at(1, 4), at(1, 7), &[], entries(5, 7)));
    desk.run(5);
    let notes = desk.notes(conn);
    let [Message::Delta { after, upto, entries, .. }] = notes.as_slice() else { panic!("{notes:?}") };
    assert_eq!((*after, *upto, entries.len()), (at(1, 5), at(1, 7), 2));
}

#[test]
fn who_is_on_a_line_that_was_lost_gets_the_region_as_it_is() {
    let entries: Vec<WireEntry> = (1..=5).map(|v| wire(1, v, &format!("k{v}"), Some("v"))).collect();
    let mut desk = follower(&[delta(at(0, 0), at(2, 5), &[(1, 1), (2, 6)], entries)]);
    let conn = desk.connect("reader");
    let mut copy = copy_of(9, Bounds::default());
    desk.note(conn, &Message::Subscribe(vec![(ONE, copy.cursor(ONE))]));
    desk.run(50);
    let taken = desk.read(conn, &mut copy).expect("a later epoch's state");
    assert!(
        taken.iter().any(|t| matches!(t, Taken::Whole { abandoned: true, gone, .. } if gone.len() == 4)),
        "{taken:?}"
    );
    assert_eq!(look(&copy), look(desk.machine.copy()));
}

#[test]
fn a_machine_that_took_a_whole_state_gives_out_no_older_one() {
    let good: Vec<WireEntry> = (1..=8).map(|v| wire(1, v, &format!("k{v}"), Some("good"))).collect();
    let mut bad = good.clone();
    bad[3] = wire(1, 4, "k4", Some("bad"));
    let mut desk = follower(&whole(at(1, 8), 0, &[(1, 1)], bad));
    let mut early = fresh();
    let first = reader(&mut desk, &early, true);
    desk.run(5);
    desk.read(first, &mut early).expect("the state that the machine holds");
    // Its own is found to be wrong, and is put right.
    for message in whole(at(1, 8), 0, &[(1, 1)], good) {
        desk.note(Conn(1), &message);
    }
    desk.run(5);
    let mut late = fresh();
    let conn = reader(&mut desk, &late, true);
    desk.run(5);
    desk.read(conn, &mut late).expect("the state that the machine holds");
    assert_eq!(look(&late), look(desk.machine.copy()), "an older whole state was given out");
    // Who was given the wrong one is told as well, though its cursor is the same.
    match desk.read(first, &mut early) {
        Err(Refusal::Digest { .. }) => {}
        other => assert_eq!(look(&early), look(desk.machine.copy()), "{other:?}"),
    }
}

#[test]
fn each_region_gets_its_turn() {
    let places = vec![place("w1", 1, true), place("w2", 2, true)];
    let mut options = MachineOptions::new(greeting("w1"), places);
    options.feed.rate = 256 << 10;
    let mut desk = Desk::new(options).opened();
    let value = "v".repeat(1000);
    for from in 0..5 {
        desk.change((0..100).map(|n| put(&format!("k{from}.{n}"), &value)).collect());
    }
    desk.run(30);
    let up = desk.dialled("w2");
    let entries = vec![WireEntry(Region(2), 2, "other".into(), plane::Epoch(1), plane::Version(1), None)];
    desk.note(
        up,
        &Message::Delta {
            region: Region(2),
            after: at(0, 0),
            upto: at(1, 1),
            epochs: epochs(&[(1, 1)]),
            entries,
            digest: None,
        },
    );
    let mut copy = Copy::new([ONE, Region(2)], Bounds::default());
    let conn = reader(&mut desk, &copy, true);
    // 500 KB of the first region need two seconds; the second region's few bytes come between.
    desk.run(60);
    desk.read(conn, &mut copy).expect("what has come");
    assert_eq!((copy.cursor(Region(2)), copy.cursor(ONE)), (at(1, 1), at(0, 0)));
    assert!(!desk.said.contains(&Output::Close(conn)));
}
