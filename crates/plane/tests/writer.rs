//! The writer: what it turns down, and that it says nothing that is not durable nor writes what others do not follow.

mod common;

use common::*;
use peer::channel::{self, Word};
use plane::{
    Bounds, Change, Copy, Cursor, Epoch, Input, KIND, Kind, MachineOptions, Message, Output, ProposalError,
    Proposed, Region, Taken, Version,
};

/// The answer of a writer to one proposal.
fn answer(desk: &mut Desk, changes: Vec<Change>) -> Proposed {
    let conn = desk.connect("operator");
    desk.ask(conn, 9, changes);
    let mut answers = desk.answers(conn);
    assert_eq!(answers.len(), 1, "one answer for one question");
    let (id, proposed) = answers.remove(0);
    assert_eq!(id, 9);
    proposed
}

fn bound(proposed: Proposed) -> bool {
    matches!(proposed, Err(ProposalError::Bound { .. }))
}

#[test]
fn proposals_that_cannot_be_are_turned_down_for_what_they_are() {
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1")]);
    let before = look(desk.machine.copy());
    let bounds = Bounds::default();
    let foreign = Change { owner: Region(2), ..put("a", "2") };
    let expected = ProposalError::Foreign { key: "2/node/a".into(), owner: 2 };
    assert_eq!(answer(&mut desk, vec![foreign.clone()]), Err(expected.clone()));
    assert_eq!(answer(&mut desk, vec![put("b", "2"), foreign]), Err(expected), "together or not at all");
    assert!(bound(answer(&mut desk, Vec::new())));
    assert!(bound(answer(&mut desk, (0..2001).map(|n| put(&format!("n{n}"), "2")).collect())));
    assert!(bound(answer(&mut desk, vec![put("", "2")])));
    assert!(bound(answer(&mut desk, vec![put(&"n".repeat(bounds.name + 1), "2")])));
    assert!(bound(answer(&mut desk, vec![put("a", &"v".repeat(bounds.value + 1))])));
    let twice = answer(&mut desk, vec![put("b", "2"), put("a", "2"), delete("b")]);
    assert_eq!(twice, Err(ProposalError::Twice("1/node/b".into())));
    assert_eq!(look(desk.machine.copy()), before);
    // One name under two kinds is two keys.
    let shard = Change { kind: Kind::Shard, ..put("b", "2") };
    assert_eq!(answer(&mut desk, vec![put("b", "2"), shard]), Ok(vec![at(1, 2), at(1, 3)]));
}

#[test]
fn what_cannot_be_read_or_is_not_the_planes_is_turned_down() {
    let mut desk = Desk::writes();
    let conn = desk.connect("operator");
    desk.bytes(conn, channel::ask(1, KIND, vec![0xc1]).expect("it fits"));
    assert_eq!(desk.answers(conn), [(1, Err(ProposalError::Form))]);
    desk.bytes(conn, channel::ask(2, peer::Kind(77), Vec::new()).expect("it fits"));
    let words = &desk.ends[&conn].words;
    assert!(words.contains(&Word::Pass { id: 2 }), "{words:?}");
    assert!(!desk.is_closed(conn));
}

#[test]
fn a_machine_that_does_not_write_names_the_writer() {
    let places = vec![place("w1", 1, true), place("m2", 1, false)];
    let mut desk = Desk::new(MachineOptions::new(greeting("m2"), places));
    let expected = ProposalError::NotWriter { region: 1, writer: "w1".into() };
    assert_eq!(answer(&mut desk, vec![put("a", "1")]), Err(expected));
}

#[test]
fn nothing_is_said_before_it_is_durable() {
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1")]);
    let mut copy = Copy::new([ONE], Bounds::default());
    let reader = desk.connect("reader");
    desk.subscribe(reader, &copy);
    desk.run(5);
    desk.read(reader, &mut copy).expect("a first state");
    desk.keeps = false;
    let operator = desk.connect("operator");
    desk.ask(operator, 1, vec![put("a", "2")]);
    let before = look(desk.machine.copy());
    desk.run(50);
    assert_eq!(desk.unsynced, 1);
    assert_eq!(desk.answers(operator), []);
    assert_eq!(desk.notes(reader), []);
    assert_eq!(look(desk.machine.copy()), before);
    desk.give(Input::Kept);
    desk.run(5);
    assert_eq!(desk.answers(operator), [(1, Ok(vec![at(1, 2)]))]);
    let taken = desk.read(reader, &mut copy).expect("the change");
    assert!(
        matches!(taken.as_slice(), [Taken::Delta { changed, level: true, .. }] if changed.len() == 1),
        "{taken:?}"
    );
    assert_eq!(copy.cursor(ONE), at(1, 2));
}

#[test]
fn what_was_not_kept_was_never_said_and_its_versions_are_given_anew() {
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1")]);
    let mut copy = Copy::new([ONE], Bounds::default());
    let reader = desk.connect("reader");
    desk.subscribe(reader, &copy);
    desk.run(5);
    desk.read(reader, &mut copy).expect("a first state");
    desk.keeps = false;
    let operator = desk.connect("operator");
    desk.ask(operator, 1, vec![put("a", "2"), put("b", "2")]);
    desk.disk.pop();
    desk.give(Input::NotKept("no space left".into()));
    assert_eq!(desk.answers(operator), [(1, Err(ProposalError::Disk("no space left".into())))]);
    desk.run(10);
    assert_eq!(desk.notes(reader), []);
    assert_eq!(desk.machine.copy().cursor(ONE), at(1, 1));
    // A disk that turned something down is left alone for a while; then versions go on behind what is durable.
    desk.keeps = true;
    let kept = desk.disk.len();
    desk.ask(operator, 2, vec![put("a", "3")]);
    desk.run(20);
    assert_eq!((desk.disk.len(), desk.answers(operator)), (kept, vec![]), "not tried again at once");
    desk.run(100);
    assert_eq!(desk.answers(operator), [(2, Ok(vec![at(1, 2)]))]);
    desk.read(reader, &mut copy).expect("the change");
    assert_eq!(look(&copy), look(desk.machine.copy()));
    let again = Desk::from_disk(alone(), desk.disk.clone());
    assert_eq!(look(again.machine.copy()), look(desk.machine.copy()));
}

#[test]
fn more_than_the_disk_takes_is_turned_down() {
    let mut desk = Desk::writes();
    desk.keeps = false;
    let conn = desk.connect("operator");
    let many = |round: usize| (0..2000).map(|n| put(&format!("r{round}n{n}"), "x")).collect::<Vec<_>>();
    for round in 0..12 {
        desk.ask(conn, round as u64, many(round));
    }
    // One is on its way to the disk, and ten wait.
    assert_eq!(desk.answers(conn), [(11, Err(ProposalError::Busy))]);
    for _ in 0..11 {
        desk.give(Input::Kept);
    }
    let answers = desk.answers(conn);
    assert_eq!(answers.len(), 11);
    assert!(answers.iter().all(|(_, proposed)| proposed.is_ok()));
    assert_eq!(desk.machine.copy().len(), 22_000);
}

#[test]
fn a_change_beyond_the_bounds_is_turned_down_before_it_is_on_the_disk() {
    let mut options = alone();
    options.bounds.entries = 3;
    let mut desk = Desk::new(options).opened();
    desk.change(vec![put("a", "1"), put("b", "1"), put("c", "1")]);
    let kept = desk.disk.len();
    assert!(answer(&mut desk, vec![put("d", "1")]).is_err());
    assert_eq!(desk.disk.len(), kept, "it went to the disk, or the whole state did");
    assert_eq!(answer(&mut desk, vec![put("a", "2")]), Ok(vec![at(1, 4)]));
    assert_eq!(answer(&mut desk, vec![delete("b")]), Ok(vec![at(1, 5)]));
    assert_eq!(answer(&mut desk, vec![put("d", "1")]), Ok(vec![at(1, 6)]));
}

/// The writer of region 1, of three machines.
fn of_three() -> MachineOptions {
    let places = vec![place("w1", 1, true), place("m2", 1, false), place("m3", 1, false)];
    MachineOptions::new(greeting("w1"), places)
}

fn level(after: Cursor, upto: Cursor, begun: &[(u64, u64)], entries: Vec<plane::WireEntry>) -> Message {
    let sum = digest(&entries);
    let Message::Delta { region, epochs, .. } = delta(after, upto, begun, Vec::new()) else { unreachable!() };
    Message::Delta { region, after, upto, epochs, entries, digest: Some(sum) }
}

#[test]
fn a_writer_that_starts_waits_for_all_others_and_takes_what_they_hold() {
    let mut desk = Desk::new(of_three());
    desk.run(30);
    let mut dialled = desk.dials();
    dialled.sort();
    assert_eq!(dialled, ["m2", "m3"]);
    let waits = |names: &str| Err(ProposalError::Recovering(names.into()));
    assert_eq!(answer(&mut desk, vec![put("x", "1")]), waits("m2, m3"));
    let m2 = desk.dialled("m2");
    assert_eq!(desk.notes(m2), [Message::Subscribe(vec![(ONE, at(0, 0))])]);
    desk.note(m2, &Message::Behind { region: ONE, at: at(0, 0) });
    desk.run(200);
    assert_eq!(answer(&mut desk, vec![put("x", "1")]), waits("m3"));
    assert_eq!(desk.disk, Vec::<Vec<u8>>::new(), "no epoch before all were heard");
    // m3 holds three changes of epoch 4.
    let m3 = desk.dialled("m3");
    let entries = (1..=3).map(|v| wire(4, v, &format!("k{v}"), Some("old"))).collect();
    desk.note(m3, &level(at(0, 0), at(4, 3), &[(4, 1)], entries));
    desk.run(5);
    assert_eq!(desk.machine.waits_for().len(), 0);
    assert!(desk.is_closed(m2) && desk.is_closed(m3), "it follows nobody in its own region");
    assert_eq!(desk.machine.copy().cursor(ONE), at(5, 3));
    assert_eq!(answer(&mut desk, vec![put("x", "1")]), Ok(vec![at(5, 4)]));
    assert_eq!(names(desk.machine.copy()), ["k1", "k2", "k3", "x"]);
    let again = Desk::from_disk(of_three(), desk.disk.clone());
    assert_eq!(look(again.machine.copy()), look(desk.machine.copy()));
}

#[test]
fn an_operator_may_release_a_writer_from_waiting() {
    let mut desk = Desk::new(of_three());
    desk.run(30);
    let m2 = desk.dialled("m2");
    let entries = vec![wire(4, 1, "k1", Some("old"))];
    desk.note(m2, &level(at(0, 0), at(4, 1), &[(4, 1)], entries));
    desk.run(300);
    assert!(!desk.machine.writer().expect("it writes").is_open());
    let mut out = Vec::new();
    desk.machine.release(desk.now, &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Keep { sync: true, .. })), "{out:?}");
    desk.give(Input::Kept);
    assert_eq!(answer(&mut desk, vec![put("x", "1")]), Ok(vec![at(5, 2)]));
    // m3 comes up later: it is not asked any more.
    let m3 = desk.reached("m3");
    assert!(desk.is_closed(m3));
}

#[test]
fn an_empty_writer_recovers_from_a_machine_of_its_region() {
    let places = || vec![place("w1", 1, true), place("m2", 1, false)];
    let options = |name: &str| MachineOptions::new(greeting(name), places());
    let (mut writer, mut other) = (Desk::new(options("w1")), Desk::new(options("m2")));
    writer.run(30);
    let m2 = writer.dialled("m2");
    writer.note(m2, &Message::Behind { region: ONE, at: at(0, 0) });
    let mut writer = writer.opened();
    writer.change(vec![put("a", "1"), put("b", "1")]);
    writer.change(vec![delete("a")]);
    other.run(30);
    assert_eq!(other.dials(), ["w1"]);
    let (up, down) = (other.reached("w1"), writer.accept());
    talk((&mut other, up), (&mut writer, down));
    assert_eq!(look(other.machine.copy()), look(writer.machine.copy()));
    // Its disk is lost.
    let mut writer = Desk::new(options("w1"));
    writer.run(30);
    assert_eq!(writer.dials(), ["m2"]);
    let (up, down) = (writer.reached("m2"), other.accept());
    talk((&mut writer, up), (&mut other, down));
    assert!(
        writer.machine.writer().is_some_and(|w| w.is_open()),
        "it waits for {:?}",
        writer.machine.waits_for()
    );
    assert_eq!(writer.machine.copy().cursor(ONE), at(2, 3));
    assert_eq!(names(writer.machine.copy()), ["b"]);
    assert_eq!(answer(&mut writer, vec![put("c", "1")]), Ok(vec![at(2, 4)]));
}

#[test]
fn a_writer_opens_above_every_epoch_that_it_was_told_of() {
    let mut desk = Desk::new(of_three());
    desk.run(30);
    // A gateway held what the writer's lost disk alone had.
    let reader = desk.connect("reader");
    desk.note(reader, &Message::Subscribe(vec![(ONE, at(6, 9))]));
    for name in ["m2", "m3"] {
        let conn = desk.dialled(name);
        desk.note(conn, &Message::Behind { region: ONE, at: at(0, 0) });
    }
    desk.run(300);
    let (held, open) = (desk.machine.copy().cursor(ONE), desk.machine.writer().is_some_and(|w| w.is_open()));
    assert!(!open || held.epoch > Epoch(6), "it opened {held} although 6.9 was seen");
}

#[test]
fn a_writer_with_an_old_disk_takes_the_later_line() {
    // On its disk is epoch 2 up to 15; meanwhile another life of it began epoch 3 behind 10.
    let old: Vec<_> = (1..=15).map(|v| wire(2, v, &format!("k{v}"), Some("old"))).collect();
    let disk = vec![delta(at(0, 0), at(2, 15), &[(2, 1)], old.clone()).body()];
    let mut all: Vec<_> = old[..10].to_vec();
    all.extend((11..=20).map(|v| wire(3, v, &format!("n{v}"), Some("new"))));
    let places = || vec![place("w1", 1, true), place("m2", 1, false)];
    let m2_disk = [delta(at(0, 0), at(3, 20), &[(2, 1), (3, 11)], all).body()];
    let mut writer = Desk::from_disk(MachineOptions::new(greeting("w1"), places()), disk);
    let mut other = Desk::from_disk(MachineOptions::new(greeting("m2"), places()), m2_disk.to_vec());
    for _ in 0..20 {
        writer.run(60);
        if writer.dials().is_empty() {
            continue;
        }
        let (up, down) = (writer.reached("m2"), other.accept());
        talk((&mut writer, up), (&mut other, down));
        if writer.is_closed(up) || other.is_closed(down) {
            let ended =
                |desk: &mut Desk, conn| (!desk.is_closed(conn)).then(|| desk.give(Input::Ended { conn }));
            ended(&mut writer, up);
            ended(&mut other, down);
        }
    }
    assert!(
        writer.machine.writer().is_some_and(|w| w.is_open()),
        "it waits for {:?}",
        writer.machine.waits_for()
    );
    assert_eq!(writer.machine.copy().cursor(ONE), at(4, 20));
    assert_eq!(answer(&mut writer, vec![delete("n20")]), Ok(vec![at(4, 21)]));
    assert!(names(writer.machine.copy()).contains(&"n19".to_owned()));
}

/// The writer of a region of two machines; the other held nothing when it began.
fn with_one_other() -> Desk {
    let places = vec![place("w1", 1, true), place("m2", 1, false)];
    let mut desk = Desk::new(MachineOptions::new(greeting("w1"), places));
    desk.run(30);
    let m2 = desk.dialled("m2");
    desk.note(m2, &Message::Behind { region: ONE, at: at(0, 0) });
    let mut desk = desk.opened();
    desk.change(vec![put("a", "1")]);
    desk
}

#[test]
fn one_gateway_cannot_stop_a_writer() {
    let mut desk = with_one_other();
    for seen in [at(3, 7), Cursor { epoch: Epoch(u64::MAX), version: Version(u64::MAX) }] {
        let reader = desk.connect("g1");
        desk.said.clear();
        desk.note(reader, &Message::Subscribe(vec![(ONE, seen)]));
        assert!(desk.said.iter().any(|output| matches!(output, Output::TurnedAway { .. })), "it is told");
        let version = desk.machine.copy().cursor(ONE).version.0;
        assert_eq!(answer(&mut desk, vec![put("a", "2")]), Ok(vec![at(1, version + 1)]));
    }
}

#[test]
fn a_writer_behind_a_later_epoch_takes_nothing_more_and_answers_all() {
    let mut desk = with_one_other();
    desk.keeps = false;
    let operator = desk.connect("operator");
    desk.ask(operator, 1, vec![put("a", "2")]);
    desk.ask(operator, 2, vec![put("a", "3")]);
    let machine = desk.connect("m2");
    desk.said.clear();
    desk.note(machine, &Message::Subscribe(vec![(ONE, at(3, 7))]));
    assert!(desk.said.iter().any(|output| matches!(output, Output::TurnedAway { .. })));
    desk.ask(operator, 3, vec![put("a", "4")]);
    desk.give(Input::Kept);
    desk.run(300);
    let answers = desk.answers(operator);
    let of = |id| answers.iter().find(|(other, _)| *other == id).map(|(_, proposed)| proposed.clone());
    assert_eq!(of(3), Some(Err(ProposalError::Superseded(3))));
    assert_eq!(of(2), Some(Err(ProposalError::Superseded(3))), "it waited, and will never be written");
    assert!(of(1).is_some(), "it was on its way to the disk");
    assert_eq!(answers.len(), 3);
}

#[test]
fn a_writer_bears_numbers_at_their_ends() {
    let most = Cursor { epoch: Epoch(u64::MAX), version: Version(u64::MAX) };
    let mut desk = Desk::new(of_three());
    desk.run(30);
    let m2 = desk.dialled("m2");
    desk.note(m2, &delta(at(0, 0), most, &[(u64::MAX, 1)], Vec::new()));
    desk.note(m2, &Message::Behind { region: ONE, at: most });
    let m3 = desk.dialled("m3");
    desk.note(m3, &Message::Behind { region: ONE, at: at(0, 0) });
    let reader = desk.connect("reader");
    desk.note(reader, &Message::Subscribe(vec![(ONE, most)]));
    desk.run(300);
    let conn = desk.connect("operator");
    desk.ask(conn, 1, vec![put("a", "1")]);
    desk.run(10);
    assert_eq!(desk.answers(conn).len(), 1);
}
