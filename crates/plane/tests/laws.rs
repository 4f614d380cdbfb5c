//! What holds whatever is written, in whatever order it comes, and whoever leaves or starts meanwhile.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use peer::PeerName;
use plane::{Bounds, Change, Conn, Copy, Cursor, Digest, Input, Message, Refusal, Taken, WireEntry, order};
use proptest::prelude::*;

/// What a log of changes leaves of each key behind a version, in the order of versions.
fn merged(log: &[WireEntry], after: u64, upto: u64) -> Vec<WireEntry> {
    let mut latest: BTreeMap<&str, &WireEntry> = BTreeMap::new();
    for entry in log.iter().filter(|entry| entry.4.0 > after && entry.4.0 <= upto) {
        latest.insert(&entry.2, entry);
    }
    let mut entries: Vec<WireEntry> = latest.into_values().cloned().collect();
    entries.sort_by_key(|entry| entry.4);
    entries
}

/// The digest of what a log leaves live at a version.
fn live(log: &[WireEntry], upto: u64) -> Digest {
    let entries: Vec<_> = merged(log, 0, upto).into_iter().filter(|entry| entry.5.is_some()).collect();
    digest(&entries)
}

/// A log of changes of a few keys in one epoch; some are deletions.
fn log() -> impl Strategy<Value = Vec<WireEntry>> {
    proptest::collection::vec((0_u8..12, proptest::option::weighted(0.7, 0_u8..4)), 1..60).prop_map(
        |changes| {
            let written = changes.into_iter().zip(1..);
            written
                .map(|((key, value), v)| {
                    wire(1, v, &format!("k{key}"), value.map(|v| "v".repeat(v.into())).as_deref())
                })
                .collect()
        },
    )
}

fn fresh() -> Copy {
    Copy::new([ONE], Bounds::default())
}

/// A delta of a log with all changes between merged, and its digest.
fn step(log: &[WireEntry], after: u64, upto: u64) -> Message {
    let from = if after == 0 { at(0, 0) } else { at(1, after) };
    let begun: &[(u64, u64)] = if after == 0 { &[(1, 1)] } else { &[] };
    Message::Delta {
        region: ONE,
        after: from,
        upto: at(1, upto),
        epochs: epochs(begun),
        entries: merged(log, after, upto),
        digest: Some(live(log, upto)),
    }
}

proptest! {
    #[test]
    fn merged_deltas_are_the_log_replayed(log in log(), cuts in proptest::collection::btree_set(1_u64..60, 0..6)) {
        let end = log.len() as u64;
        let (mut one_by_one, mut merged) = (fresh(), fresh());
        for version in 1..=end {
            one_by_one.take(step(&log, version - 1, version), FROM, None).expect("the next change");
        }
        let mut last = 0;
        for cut in cuts.into_iter().filter(|cut| *cut < end).chain([end]) {
            merged.take(step(&log, last, cut), FROM, None).expect("the next changes");
            last = cut;
        }
        prop_assert_eq!(look(&one_by_one), look(&merged));
        prop_assert_eq!(one_by_one.table(ONE).expect("it follows it").digest(), live(&log, end));
    }

    #[test]
    fn deltas_may_overlap_and_come_again(log in log(), froms in proptest::collection::vec((0_u64..60, 1_u64..60), 1..12)) {
        let end = log.len() as u64;
        let mut copy = fresh();
        for (after, upto) in froms.into_iter().map(|(a, b)| (a.min(end), b.min(end))).filter(|(a, b)| a <= b).chain([(0, end)]) {
            let held = copy.cursor(ONE);
            match copy.take(step(&log, after, upto), FROM, None) {
                Ok(_) => prop_assert!(copy.cursor(ONE) >= held),
                Err(Refusal::Gap { .. }) => prop_assert!(after > held.version.0),
                Err(other) => prop_assert!(false, "{:?}", other),
            }
            prop_assert_eq!(copy.table(ONE).expect("it follows it").digest(), live(&log, copy.cursor(ONE).version.0));
        }
        prop_assert_eq!(copy.cursor(ONE), at(1, end));
    }

    #[test]
    fn a_copy_never_goes_back(log in log(), messages in proptest::collection::vec(any_message(), 1..40)) {
        let mut copy = fresh();
        copy.take(step(&log, 0, log.len() as u64), FROM, None).expect("a first state");
        for message in messages {
            let (before, cursor) = (look(&copy), copy.cursor(ONE));
            let taken = copy.take(message.clone(), FROM, None);
            let now = copy.cursor(ONE);
            prop_assert!(now >= cursor, "{:?} took it from {} to {}", message, cursor, now);
            match taken {
                Ok(Taken::Delta { upto, .. } | Taken::Whole { upto, .. }) => prop_assert_eq!(now, upto),
                _ => prop_assert_eq!(look(&copy), before, "{:?} changed it without a word", message),
            }
            if now.epoch == cursor.epoch {
                prop_assert!(now.version >= cursor.version);
            }
        }
    }

    #[test]
    fn digests_know_content_and_not_order(log in log(), turn in 0_usize..60) {
        let mut entries = merged(&log, 0, log.len() as u64);
        let sum = digest(&entries);
        let turn = turn % entries.len();
        entries.rotate_left(turn);
        prop_assert_eq!(digest(&entries), sum);
        let left_out = entries.pop().and_then(WireEntry::into_entry).expect("one entry at least").digest();
        prop_assert_ne!(digest(&entries), sum);
        prop_assert_eq!(digest(&entries).with(left_out), sum);
        prop_assert_eq!(sum.without(left_out), digest(&entries));
    }

    #[test]
    fn a_copy_is_restored_from_what_it_exports(log in log()) {
        let mut copy = fresh();
        copy.take(step(&log, 0, log.len() as u64), FROM, None).expect("a first state");
        let mut other = fresh();
        for body in copy.export() {
            other.restore(&body, None).expect("its own state");
        }
        prop_assert_eq!(look(&other), look(&copy));
        prop_assert_eq!(names(&other), names(&copy));
    }

    #[test]
    fn readers_that_come_and_go_hold_what_was_written(ops in proptest::collection::vec(op(), 1..50)) {
        play(ops)?;
    }
}

/// Messages that may or may not be possible, for a copy that holds some versions of epoch 1.
fn any_message() -> impl Strategy<Value = Message> {
    let cursor = (0_u64..4, 0_u64..70).prop_map(|(epoch, version)| at(epoch, version));
    let begun = proptest::collection::btree_map(1_u64..4, 1_u64..70, 0..3);
    let entries = proptest::collection::vec((1_u64..4, 1_u64..70, 0_u8..4, any::<bool>()), 0..4);
    let parts = (cursor.clone(), cursor, begun, entries, 0_u8..8, any::<bool>());
    parts.prop_map(|(after, upto, begun, entries, form, good)| {
        let begun: Vec<(u64, u64)> = begun.into_iter().collect();
        let entries: Vec<_> = entries
            .into_iter()
            .map(|(e, v, key, live)| wire(e, v, &format!("k{key}"), live.then_some("x")))
            .collect();
        let [begin, piece, end] = whole(upto, 0, &begun, entries.clone());
        match form {
            0..4 => {
                let digest = (!good).then(|| digest(&entries));
                Message::Delta { region: ONE, after, upto, epochs: epochs(&begun), entries, digest }
            }
            4 => begin,
            5 => piece,
            6 => end,
            _ => Message::Behind { region: ONE, at: upto },
        }
    })
}

/// Something that happens to a machine and its readers.
#[derive(Clone, Debug)]
enum Op {
    Put(u8, u8),
    Delete(u8),
    /// A reader comes, behind what it holds.
    Join(usize),
    Leave(usize),
    /// A reader takes what has come to it.
    Read(usize),
    /// The machine starts anew from its disk, in another epoch.
    Restart,
    /// Its disk is written anew.
    Compact,
    Run,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0_u8..20, 0_u8..200).prop_map(|(key, size)| Op::Put(key, size)),
        3 => (0_u8..20).prop_map(Op::Delete),
        2 => (0_usize..3).prop_map(Op::Join),
        1 => (0_usize..3).prop_map(Op::Leave),
        4 => (0_usize..3).prop_map(Op::Read),
        1 => Just(Op::Restart),
        1 => Just(Op::Compact),
        2 => Just(Op::Run),
    ]
}

struct Reader {
    copy: Copy,
    conn: Option<Conn>,
}

impl Reader {
    fn read(&mut self, desk: &mut Desk) -> Result<(), TestCaseError> {
        let Some(conn) = self.conn else { return Ok(()) };
        let before = self.copy.cursor(ONE);
        let read = desk.read(conn, &mut self.copy);
        prop_assert!(read.is_ok(), "{:?}", read);
        prop_assert!(self.copy.cursor(ONE) >= before);
        Ok(())
    }

    fn join(&mut self, desk: &mut Desk) {
        if self.conn.is_none() {
            let conn = desk.connect("reader");
            desk.subscribe(conn, &self.copy);
            self.conn = Some(conn);
        }
    }

    fn leave(&mut self, desk: &mut Desk) {
        if let Some(conn) = self.conn.take() {
            desk.give(Input::Ended { conn });
            self.copy.drop_staging(FROM);
        }
    }
}

fn play(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let mut desk = Desk::writes();
    let mut readers: Vec<Reader> = (0..3).map(|_| Reader { copy: fresh(), conn: None }).collect();
    let mut model: BTreeMap<String, String> = BTreeMap::new();
    for op in ops {
        match op {
            Op::Put(key, size) => {
                let (name, value) = (format!("k{key}"), "v".repeat(usize::from(size) * 20));
                desk.change(vec![put(&name, &value)]);
                model.insert(name, value);
            }
            Op::Delete(key) => {
                let name = format!("k{key}");
                desk.change(vec![delete(&name)]);
                model.remove(&name);
            }
            Op::Join(at) => readers[at].join(&mut desk),
            Op::Leave(at) => readers[at].leave(&mut desk),
            Op::Read(at) => readers[at].read(&mut desk)?,
            Op::Restart => {
                readers.iter_mut().for_each(|reader| reader.leave(&mut desk));
                desk = Desk::from_disk(alone(), desk.disk).opened();
            }
            Op::Compact => desk.disk = desk.machine.export(),
            Op::Run => desk.run(3),
        }
    }
    // One that comes with nothing gets the whole state.
    readers.push(Reader { copy: fresh(), conn: None });
    for reader in &mut readers {
        reader.join(&mut desk);
    }
    desk.run(40);
    for reader in &mut readers {
        reader.read(&mut desk)?;
        prop_assert_eq!(look(&reader.copy), look(desk.machine.copy()));
        for (name, value) in &model {
            let entry = reader.copy.get(&plane::Key::new(ONE, plane::Kind::Node, name));
            prop_assert_eq!(entry.and_then(|e| e.value.as_deref()), Some(value.as_bytes()));
        }
        prop_assert_eq!(names(&reader.copy), model.keys().cloned().collect::<Vec<_>>());
    }
    // The machine's own disk, too.
    let again = Desk::from_disk(alone(), desk.disk.clone());
    prop_assert_eq!(look(again.machine.copy()), look(desk.machine.copy()));
    prop_assert_eq!(again.machine.indexed(), desk.machine.indexed());
    Ok(())
}

/// Deletions so many that a machine forgets the first of them.
fn churned(desk: &mut Desk) -> (Cursor, Cursor) {
    desk.change(vec![put("kept", "x")]);
    let mut cursors = BTreeSet::new();
    for round in 0..4 {
        let name = |n: usize| format!("r{round}n{n}");
        let of = |change: &dyn Fn(&str) -> Change| (0..600).map(|n| change(&name(n))).collect::<Vec<_>>();
        desk.change(of(&|name| put(name, "x")));
        desk.change(of(&|name| delete(name)));
        cursors.insert(desk.machine.copy().cursor(ONE));
    }
    let first = *cursors.first().expect("four rounds");
    let third = *cursors.iter().nth(2).expect("four rounds");
    (first, third)
}

#[test]
fn deletions_are_forgotten_and_who_missed_them_gets_the_whole_state() {
    let mut desk = Desk::writes();
    desk.change(vec![put("gone", "x")]);
    let mut early = fresh();
    let conn = desk.connect("early");
    desk.subscribe(conn, &early);
    desk.run(5);
    desk.read(conn, &mut early).expect("a first state");
    assert_eq!(names(&early), ["gone"]);
    desk.give(Input::Ended { conn });
    desk.change(vec![delete("gone")]);
    churned(&mut desk);
    assert!(
        desk.machine.indexed() < 1100,
        "{} entries are indexed for one that lives",
        desk.machine.indexed()
    );
    let before = desk.machine.counts().wholes;
    let conn = desk.connect("early");
    desk.subscribe(conn, &early);
    desk.run(20);
    let taken = desk.read(conn, &mut early).expect("what it missed");
    assert!(taken.iter().any(|one| matches!(one, Taken::Whole { gone, .. } if gone.len() == 1)), "{taken:?}");
    assert_eq!(desk.machine.counts().wholes, before + 1);
    assert_eq!(names(&early), ["kept"]);
    assert_eq!(look(&early), look(desk.machine.copy()));
}

#[test]
fn who_missed_no_forgotten_deletion_gets_what_changed() {
    let mut desk = Desk::writes();
    let (_, third) = churned(&mut desk);
    let conn = desk.connect("reader");
    let wholes = desk.machine.counts().wholes;
    desk.note(conn, &Message::Subscribe(vec![(ONE, third)]));
    desk.run(20);
    let notes = desk.notes(conn);
    assert!(notes.iter().all(|note| matches!(note, Message::Delta { .. })), "{notes:?}");
    let entries =
        notes.iter().map(|n| if let Message::Delta { entries, .. } = n { entries.len() } else { 0 });
    assert_eq!(entries.sum::<usize>(), 600, "the fourth round's keys, deleted");
    assert_eq!(desk.machine.counts().wholes, wholes);
}

#[test]
fn a_restored_machine_remembers_deletions() {
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1"), put("b", "1")]);
    let held = desk.machine.copy().cursor(ONE);
    desk.change(vec![delete("a")]);
    let mut again = Desk::from_disk(alone(), desk.machine.export()).opened();
    assert_eq!(again.machine.indexed(), 2, "b, and that a was deleted");
    let conn = again.connect("reader");
    again.note(conn, &Message::Subscribe(vec![(ONE, held)]));
    again.run(5);
    let notes = again.notes(conn);
    let [Message::Delta { entries, digest: Some(_), .. }] = notes.as_slice() else { panic!("{notes:?}") };
    assert!(
        matches!(entries.as_slice(), [WireEntry(_, _, name, _, _, None)] if **name == *"a"),
        "{entries:?}"
    );
}

fn machines(prefix: &str, count: usize) -> Vec<PeerName> {
    (0..count).map(|n| PeerName(format!("{prefix}{n}"))).collect()
}

#[test]
fn a_lost_machine_moves_its_own_share_alone_and_evenly() {
    let (own, others) = (machines("near", 4), machines("far", 12));
    let names: Vec<PeerName> = (0..4000).map(|n| PeerName(format!("g{n:05}"))).collect();
    let firsts = |own: &[PeerName]| {
        let mut shares: BTreeMap<PeerName, usize> = BTreeMap::new();
        names.iter().for_each(|name| *shares.entry(order(name, own, &others)[0].clone()).or_default() += 1);
        shares
    };
    let before = firsts(&own);
    for (machine, share) in &before {
        assert!((850..=1150).contains(share), "{machine} has {share} of 4000");
    }
    for lost in &own {
        let left: Vec<PeerName> = own.iter().filter(|machine| *machine != lost).cloned().collect();
        for name in &names {
            let (full, less) = (order(name, &own, &others), order(name, &left, &others));
            let expected: Vec<_> = full.into_iter().filter(|machine| machine != lost).collect();
            assert_eq!(less, expected, "{name} changed its order by more than {lost}");
        }
        let (share, after) = (before[lost] as f64, firsts(&left));
        for machine in &left {
            let more = (after[machine] - before[machine]) as f64 / share;
            assert!((0.26..=0.41).contains(&more), "{machine} takes {more:.3} of what {lost} had");
        }
    }
}

#[test]
fn machines_of_the_own_region_come_first_and_all_are_tried() {
    let (own, others) = (machines("near", 3), machines("far", 5));
    for n in 0..50 {
        let all = order(&PeerName(format!("g{n}")), &own, &others);
        assert!(all[..3].iter().all(|machine| own.contains(machine)), "{all:?}");
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), 8, "{all:?}");
    }
}
