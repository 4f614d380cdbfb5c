//! Bad input is turned away for what it is, and what was held is held on.

mod common;

use common::*;
use peer::channel;
use plane::{
    Bounds, Copy, Cursor, Digest, Input, KIND, Message, Output, Refusal, Region, Stamp, Taken, Version,
};

fn held() -> Copy {
    copy_of(5, Bounds::default())
}

fn one(version: u64, name: &str) -> Message {
    delta(at(1, 5), at(1, version), &[], vec![wire(1, version, name, Some("new"))])
}

#[test]
fn a_region_that_is_not_followed_is_turned_away() {
    let message = Message::End { region: Region(9) };
    assert_eq!(refused(&mut held(), message), Refusal::Region(9));
    let foreign = Message::Delta {
        region: Region(9),
        after: at(0, 0),
        upto: at(1, 1),
        epochs: epochs(&[(1, 1)]),
        entries: Vec::new(),
        digest: None,
    };
    assert_eq!(refused(&mut held(), foreign), Refusal::Region(9));
}

#[test]
fn a_gap_is_turned_away() {
    let gap = |after: Cursor, upto: Cursor| delta(after, upto, &[], Vec::new());
    let refusal = Refusal::Gap { region: 1, after: at(1, 6), held: at(1, 5) };
    assert_eq!(refused(&mut held(), gap(at(1, 6), at(1, 9))), refusal);
    // A later version of an earlier epoch leaves the same gap.
    let mut copy = held();
    copy.take(delta(at(1, 5), at(2, 5), &[(2, 6)], Vec::new()), FROM, None).expect("an epoch begins");
    let refusal = refused(&mut copy, delta(at(1, 9), at(2, 12), &[(2, 6)], Vec::new()));
    assert!(matches!(refusal, Refusal::Gap { .. }), "{refusal:?}");
}

#[test]
fn an_earlier_epoch_is_turned_away() {
    let mut copy = held();
    copy.take(delta(at(1, 5), at(2, 5), &[(2, 6)], Vec::new()), FROM, None).expect("an epoch begins");
    copy.take(delta(at(2, 5), at(2, 6), &[], vec![wire(2, 6, "k6", Some("new"))]), FROM, None)
        .expect("it follows");
    // The writer of epoch 1 is over, but wrote on.
    let over = delta(at(1, 5), at(1, 8), &[], vec![wire(1, 8, "k1", Some("bad"))]);
    let refusal = refused(&mut copy, over);
    assert_eq!(refusal, Refusal::Backward { region: 1, upto: at(1, 8), held: at(2, 6) });
    let [begin, ..] = whole(at(1, 9), 0, &[(1, 1)], vec![wire(1, 9, "k1", Some("bad"))]);
    let refusal = refused(&mut copy, begin);
    assert_eq!(refusal, Refusal::Backward { region: 1, upto: at(1, 9), held: at(2, 6) });
}

#[test]
fn an_empty_or_smaller_state_is_turned_away() {
    for (upto, count) in [(at(0, 0), 0), (at(1, 0), 0), (at(1, 4), 4)] {
        let entries: Vec<_> = (1..=count).map(|v| wire(1, v, &format!("k{v}"), Some("old"))).collect();
        let mut copy = held();
        let [begin, piece, end] = whole(upto, 0, &[(1, 1)], entries);
        let refusal = refused(&mut copy, begin);
        assert_eq!(refusal, Refusal::Backward { region: 1, upto, held: at(1, 5) });
        assert_eq!(refused(&mut copy, piece), Refusal::Piece(1));
        assert_eq!(refused(&mut copy, end), Refusal::Piece(1));
    }
    let less = delta(at(0, 0), at(1, 3), &[(1, 1)], vec![wire(1, 3, "k3", Some("old"))]);
    let mut copy = held();
    let before = look(&copy);
    assert_eq!(copy.take(less, FROM, None), Ok(Taken::Known));
    assert_eq!(look(&copy), before);
}

#[test]
fn entries_that_cannot_be_are_turned_away() {
    let bounds = Bounds::default();
    let mut kind = wire(1, 6, "x", Some("new"));
    kind.1 = 99;
    let mut owner = wire(1, 6, "x", Some("new"));
    owner.0 = Region(2);
    let long = "n".repeat(bounds.name + 1);
    let value = "v".repeat(bounds.value + 1);
    let bad = [
        ("kind", kind),
        ("owner", owner),
        ("name", wire(1, 6, "", Some("new"))),
        ("name", wire(1, 6, &long, Some("new"))),
        ("value", wire(1, 6, "x", Some(&value))),
        ("version", wire(1, 5, "x", Some("new"))),
        ("version", wire(1, 8, "x", Some("new"))),
        ("epoch", wire(2, 6, "x", Some("new"))),
    ];
    for (what, entry) in bad {
        let message = delta(at(1, 5), at(1, 7), &[], vec![entry.clone()]);
        let refusal = refused(&mut held(), message);
        assert!(
            matches!(&refusal, Refusal::Entry { what: why, .. } if why.contains(what)),
            "{what}: {refusal:?}"
        );
        // And in a whole state.
        let mut copy = held();
        let [begin, ..] = whole(at(1, 7), 0, &[(1, 1)], Vec::new());
        let Message::Begin { region, upto, floor, epochs, digest, .. } = begin else { unreachable!() };
        let begin = Message::Begin { region, upto, floor, epochs, count: 1, digest };
        assert_eq!(copy.take(begin, FROM, None), Ok(Taken::Staged));
        let piece = Message::Piece { region: ONE, number: 0, entries: vec![entry] };
        if what != "version" || matches!(&piece, Message::Piece { entries, .. } if entries[0].4 > Version(7))
        {
            let refusal = refused(&mut copy, piece);
            assert!(matches!(refusal, Refusal::Entry { .. }), "{what}: {refusal:?}");
        }
    }
}

#[test]
fn an_entry_of_an_epoch_that_began_behind_it_is_turned_away() {
    let early = delta(at(1, 5), at(2, 9), &[(2, 8)], vec![wire(2, 6, "x", Some("new"))]);
    assert!(matches!(refused(&mut held(), early), Refusal::Entry { .. }));
    let late = delta(at(1, 5), at(2, 9), &[(2, 8)], vec![wire(1, 9, "x", Some("new"))]);
    assert!(matches!(refused(&mut held(), late), Refusal::Entry { .. }));
}

#[test]
fn entries_out_of_order_are_turned_away() {
    let entries = vec![wire(1, 7, "x", Some("new")), wire(1, 6, "y", Some("new"))];
    let refusal = refused(&mut held(), delta(at(1, 5), at(1, 7), &[], entries));
    assert!(matches!(refusal, Refusal::Entry { .. }), "{refusal:?}");
    let twice = vec![wire(1, 6, "x", Some("new")), wire(1, 6, "y", Some("new"))];
    let refusal = refused(&mut held(), delta(at(1, 5), at(1, 7), &[], twice));
    assert!(matches!(refusal, Refusal::Entry { .. }), "{refusal:?}");
}

#[test]
fn versions_and_epochs_that_cannot_be_are_turned_away() {
    let new = |version| wire(1, version, "x", Some("new"));
    let bad = [
        ("it ends before it begins", delta(at(1, 5), at(2, 4), &[(2, 6)], Vec::new())),
        ("more entries than versions", delta(at(1, 5), at(1, 6), &[], vec![new(6), new(7)])),
        ("an epoch that never began", delta(at(1, 5), at(2, 6), &[], Vec::new())),
        ("epochs beyond its end", delta(at(1, 5), at(1, 6), &[(2, 7)], vec![new(6)])),
        ("epochs beyond its end", delta(at(1, 5), at(2, 6), &[(2, 6), (3, 7)], Vec::new())),
    ];
    for (what, message) in bad {
        let mut copy = held();
        let before = look(&copy);
        match copy.take(message.clone(), FROM, None) {
            Err(Refusal::Versions { .. } | Refusal::Backward { .. }) | Ok(Taken::Known) => {}
            other => panic!("{what}: {other:?}"),
        }
        assert_eq!(look(&copy), before, "{what}");
        // Whatever it was, the copy still takes what follows.
        copy.take(one(6, "k6"), FROM, None).unwrap_or_else(|refusal| panic!("behind {what}: {refusal}"));
    }
    // Such an order of epochs cannot be made through `begin`; a stranger can write it.
    let body = peer::wire::encode(&delta(at(1, 5), at(3, 6), &[(2, 6), (3, 6)], Vec::new()));
    let text = Message::read(&body).expect("the order of fields is the writer's");
    assert!(held().take(text, FROM, None).is_ok(), "two epochs may begin at one version");
}

#[test]
fn numbers_at_their_ends_do_no_harm() {
    let most = Stamp { epoch: plane::Epoch(u64::MAX), version: Version(u64::MAX) };
    for upto in [most, at(1, u64::MAX), at(u64::MAX, 5), at(u64::MAX, 6)] {
        let mut copy = held();
        let _ = copy.take(delta(at(1, 5), upto, &[(u64::MAX, 6)], Vec::new()), FROM, None);
        let _ = copy.take(delta(at(1, 5), upto, &[], Vec::new()), FROM, None);
        let [begin, piece, end] = whole(upto, 0, &[(1, 1), (u64::MAX, 6)], Vec::new());
        let _ = copy.take(begin, FROM, None);
        let _ = copy.take(piece, FROM, None);
        let _ = copy.take(end, FROM, None);
        // It may be held then; what is told of it, and restored from it, must not fail.
        let mut other = Copy::new([ONE], Bounds::default());
        for body in copy.export() {
            other.restore(&body, None).expect("what it exports can be taken");
        }
        assert_eq!(look(&other), look(&copy));
    }
}

#[test]
fn more_entries_or_bytes_than_are_taken_are_turned_away() {
    let bounds = Bounds { entries: 6, ..Bounds::default() };
    let entries = || (6..=8).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect::<Vec<_>>();
    let refusal = refused(&mut copy_of(5, bounds), delta(at(1, 5), at(1, 8), &[], entries()));
    assert_eq!(refusal, Refusal::Bound { region: 1, what: "entries", most: 6 });
    let bytes = copy_of(5, Bounds::default()).bytes();
    let bounds = Bounds { bytes: bytes + 100, ..Bounds::default() };
    let refusal = refused(&mut copy_of(5, bounds), delta(at(1, 5), at(1, 8), &[], entries()));
    assert_eq!(refusal, Refusal::Bound { region: 1, what: "bytes", most: bytes + 100 });
    let mut copy = copy_of(5, Bounds { entries: 6, ..Bounds::default() });
    let all: Vec<_> = (1..=8).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect();
    let [begin, piece, end] = whole(at(1, 8), 0, &[(1, 1)], all);
    assert_eq!(
        (copy.take(begin, FROM, None), copy.take(piece, FROM, None)),
        (Ok(Taken::Staged), Ok(Taken::Staged))
    );
    assert_eq!(refused(&mut copy, end), Refusal::Bound { region: 1, what: "entries", most: 6 });
}

#[test]
fn the_bound_is_over_all_regions() {
    let bounds = Bounds { entries: 6, ..Bounds::default() };
    let mut copy = Copy::new([ONE, Region(2)], bounds);
    let of = |region: Region, count: u64| {
        let entry = |v: u64| {
            let mut entry = wire(1, v, &format!("k{v}"), Some("new"));
            entry.0 = region;
            entry
        };
        Message::Delta {
            region,
            after: at(0, 0),
            upto: at(1, count),
            epochs: epochs(&[(1, 1)]),
            entries: (1..=count).map(entry).collect(),
            digest: None,
        }
    };
    copy.take(of(ONE, 4), FROM, None).expect("four of six");
    assert_eq!(refused(&mut copy, of(Region(2), 4)), Refusal::Bound { region: 2, what: "entries", most: 6 });
    copy.take(of(Region(2), 2), FROM, None).expect("six of six");
}

#[test]
fn at_its_bound_a_copy_still_takes_changes_and_deletions() {
    let bytes = copy_of(5, Bounds::default()).bytes();
    let mut copy = copy_of(5, Bounds { entries: 5, bytes, ..Bounds::default() });
    let entries = vec![wire(1, 6, "k1", Some("new")), wire(1, 7, "k2", None)];
    copy.take(delta(at(1, 5), at(1, 7), &[], entries), FROM, None).expect("it holds no more than before");
    assert_eq!((copy.len(), copy.cursor(ONE)), (4, at(1, 7)));
    copy.take(delta(at(1, 7), at(1, 8), &[], vec![wire(1, 8, "k6", Some("new"))]), FROM, None)
        .expect("one has gone");
    assert_eq!(copy.len(), 5);
}

#[test]
fn a_whole_state_is_held_to_the_same_bounds() {
    let bytes = copy_of(5, Bounds::default()).bytes();
    let mut copy = Copy::new([ONE], Bounds { bytes: bytes - 1, ..Bounds::default() });
    let all: Vec<_> = (1..=5).map(|v| wire(1, v, &format!("k{v}"), Some("old"))).collect();
    let [begin, piece, end] = whole(at(1, 5), 0, &[(1, 1)], all);
    copy.take(begin, FROM, None).expect("it begins");
    copy.take(piece, FROM, None).expect("one piece");
    assert_eq!(refused(&mut copy, end), Refusal::Bound { region: 1, what: "bytes", most: bytes - 1 });
}

#[test]
fn pieces_out_of_order_are_turned_away() {
    let all: Vec<_> = (1..=6).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect();
    let [begin, _, end] = whole(at(1, 6), 0, &[(1, 1)], all.clone());
    let piece = |number, entries: &[_]| Message::Piece { region: ONE, number, entries: entries.to_vec() };
    let mut copy = held();
    assert_eq!(refused(&mut copy, piece(0, &all)), Refusal::Piece(1), "none began");
    assert_eq!(refused(&mut copy, end.clone()), Refusal::Piece(1), "none began");
    for wrong in [
        vec![piece(1, &all)],
        vec![piece(0, &all[..3]), piece(2, &all[3..])],
        vec![piece(0, &all), piece(1, &all)],
    ] {
        copy.take(begin.clone(), FROM, None).expect("it begins");
        let (last, first) = wrong.split_last().expect("some pieces");
        for one in first {
            assert_eq!(copy.take(one.clone(), FROM, None), Ok(Taken::Staged));
        }
        assert_eq!(refused(&mut copy, last.clone()), Refusal::Piece(1));
    }
    copy.take(begin.clone(), FROM, None).expect("it begins");
    copy.take(piece(0, &all[..3]), FROM, None).expect("a piece");
    assert_eq!(refused(&mut copy, end.clone()), Refusal::Piece(1), "pieces are missing");
    // And with all of them in order it counts, and not before its end.
    let before = look(&copy);
    copy.take(begin, FROM, None).expect("it begins");
    copy.take(piece(0, &all[..3]), FROM, None).expect("a piece");
    copy.take(piece(1, &all[3..]), FROM, None).expect("a piece");
    assert_eq!(look(&copy), before);
    assert!(
        matches!(copy.take(end, FROM, None), Ok(Taken::Whole { changed, abandoned: false, .. }) if changed.len() == 6)
    );
    assert_eq!(copy.cursor(ONE), at(1, 6));
}

#[test]
fn a_whole_state_with_a_wrong_digest_or_count_is_turned_away() {
    let all: Vec<_> = (1..=6).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect();
    let [begin, piece, end] = whole(at(1, 6), 0, &[(1, 1)], all);
    let Message::Begin { region, upto, floor, epochs, count, digest } = begin else { unreachable!() };
    let begin = |count, digest| Message::Begin { region, upto, floor, epochs: epochs.clone(), count, digest };
    let mut copy = held();
    copy.take(begin(count, Digest::default()), FROM, None).expect("it begins");
    copy.take(piece.clone(), FROM, None).expect("a piece");
    assert_eq!(refused(&mut copy, end.clone()), Refusal::Digest { region: 1, upto: at(1, 6) });
    copy.take(begin(count + 1, digest), FROM, None).expect("it begins");
    copy.take(piece.clone(), FROM, None).expect("a piece");
    assert_eq!(refused(&mut copy, end.clone()), Refusal::Piece(1));
    copy.take(begin(count - 1, digest), FROM, None).expect("it begins");
    assert_eq!(refused(&mut copy, piece.clone()), Refusal::Piece(1));
    let many = 2 * Bounds::default().entries as u64 + 1;
    assert!(matches!(refused(&mut copy, begin(many, digest)), Refusal::Bound { what: "entries", .. }));
}

#[test]
fn a_delta_with_another_digest_is_turned_away_and_all_is_asked_for() {
    let mut copy = held();
    let entries = vec![wire(1, 6, "k6", Some("new"))];
    let with = |digest| Message::Delta {
        region: ONE,
        after: at(1, 5),
        upto: at(1, 6),
        epochs: epochs(&[]),
        entries: entries.clone(),
        digest: Some(digest),
    };
    assert_eq!(refused(&mut copy, with(digest(&entries))), Refusal::Digest { region: 1, upto: at(1, 6) });
    let renew = Message::Renew { wanted: vec![(ONE, at(1, 5))], doubted: vec![ONE] };
    assert_eq!(copy.subscribe(&[ONE]), renew);
    assert!(
        matches!(refused(&mut copy, one(6, "k6")), Refusal::Gap { .. }),
        "it is not to be trusted any more"
    );
    // The whole state mends it, also one that ends where it stands.
    let all: Vec<_> = (2..=5).map(|v| wire(1, v, &format!("k{v}"), Some("old"))).collect();
    for message in whole(at(1, 5), 0, &[(1, 1)], all) {
        copy.take(message, FROM, None).expect("a whole state");
    }
    assert_eq!(names(&copy), ["k2", "k3", "k4", "k5"]);
    assert_eq!(copy.subscribe(&[ONE]), Message::Subscribe(vec![(ONE, at(1, 5))]));
    copy.take(one(6, "k6"), FROM, None).expect("it goes on");
}

/// What a machine does with bytes that no copy sends: it closes, tells, and holds on.
fn turned_away(desk: &mut Desk, name: &str, bytes: Vec<u8>) {
    let conn = desk.connect(name);
    let before = look(desk.machine.copy());
    desk.said.clear();
    desk.bytes(conn, bytes);
    assert!(desk.is_closed(conn));
    assert!(desk.said.iter().any(|output| matches!(output, Output::TurnedAway { .. })), "{:?}", desk.said);
    assert_eq!(look(desk.machine.copy()), before);
    assert!(!desk.machine.copy().is_empty());
}

#[test]
fn a_machine_turns_away_what_no_copy_sends() {
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1")]);
    let frame = |message: &Message| message.frame().expect("it fits").to_vec();
    let state = delta(at(1, 1), at(1, 2), &[], vec![wire(1, 2, "a", Some("2"))]);
    turned_away(&mut desk, "s1", frame(&state));
    turned_away(&mut desk, "s2", frame(&Message::Subscribe(vec![(ONE, at(0, 0)); 1025])));
    turned_away(&mut desk, "s3", channel::note(KIND, vec![0xc1, 1, 2]).expect("it fits"));
    turned_away(&mut desk, "s4", channel::hello(&greeting("stranger")));
    turned_away(&mut desk, "s5", vec![0xff; 64]);
    let mut broken = frame(&Message::Subscribe(Vec::new()));
    *broken.last_mut().expect("a frame has bytes") ^= 1;
    turned_away(&mut desk, "s6", broken);
}

#[test]
fn a_machine_turns_away_another_site() {
    let mut desk = Desk::writes();
    let conn = desk.connect("reader");
    assert!(!desk.is_closed(conn));
    let mut other = greeting("reader");
    other.site = SITE + 1;
    let stranger = desk.connect("reader");
    desk.bytes(stranger, channel::hello(&other));
    assert!(desk.is_closed(stranger));
    // As first words too.
    let fresh = plane::Conn(1000);
    desk.give(Input::Accepted { conn: fresh });
    desk.bytes(fresh, channel::hello(&other));
    assert!(desk.said.contains(&Output::Close(fresh)));
    assert!(!desk.is_closed(conn));
}
