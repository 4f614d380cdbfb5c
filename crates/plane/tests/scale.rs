//! What one change and one resume cost, counted: bytes, notes and entries do not grow with the state, and at a machine only
//! with those whom it serves. No times are taken here.

mod common;

use common::*;
use plane::{
    Bounds, Conn, Copy, Counts, Input, Kind, Message, Micros, Output, Subscription, SubscriptionOptions,
    Version, WireEntry,
};

/// Nodes of the site; shards, members and volumes go with them.
const NODES: [usize; 4] = [300, 1_200, 4_800, 21_000];
/// Entries of each kind for a hundred nodes.
const KINDS: [(Kind, usize, usize); 4] =
    [(Kind::Node, 100, 40), (Kind::Shard, 33, 40), (Kind::Member, 17, 60), (Kind::Volume, 2, 120)];
/// Bytes by which two messages may differ through the lengths of their numbers alone.
const NUMBERS: u64 = 16;

/// A machine's disk with the state of so many nodes, all of one region.
fn disk(nodes: usize) -> Vec<Vec<u8>> {
    let mut entries = Vec::new();
    for (kind, each, size) in KINDS {
        for n in 0..nodes * each / 100 {
            let mut entry = wire(1, entries.len() as u64 + 1, &format!("n{n:06}"), Some(&"v".repeat(size)));
            entry.1 = kind.number();
            entries.push(entry);
        }
    }
    let upto = at(1, entries.len() as u64);
    let begin = Message::Begin {
        region: ONE,
        upto,
        floor: Version(0),
        epochs: epochs(&[(1, 1)]),
        count: entries.len() as u64,
        digest: digest(&entries),
    };
    let piece = |(number, entries): (usize, &[WireEntry])| Message::Piece {
        region: ONE,
        number: number as u32,
        entries: entries.to_vec(),
    };
    let pieces: Vec<Message> = entries.chunks(500).enumerate().map(piece).collect();
    let all = [begin].into_iter().chain(pieces).chain([Message::End { region: ONE }]);
    all.map(|message| message.body()).collect()
}

/// A copy with its link, at a machine on the desk.
struct Reader {
    link: Subscription,
    copy: Copy,
    conn: Conn,
}

impl Reader {
    fn new(desk: &mut Desk, name: &str, mut copy: Copy) -> Reader {
        let mut options = SubscriptionOptions::new(greeting(name), vec![ONE], vec!["w1".into()]);
        options.spread = 0;
        let mut link = Subscription::new(options, desk.now, 1);
        let mut out = Vec::new();
        link.handle(desk.now, Input::Tick, &mut copy, None, &mut out);
        assert_eq!(out, [Output::Dial("w1".into())]);
        let conn = desk.accept();
        let mut reader = Reader { link, copy, conn };
        reader.give(desk, Input::Dialled { machine: "w1".into(), conn });
        reader
    }

    fn give(&mut self, desk: &mut Desk, input: Input) {
        let mut out = Vec::new();
        self.link.handle(desk.now, input, &mut self.copy, None, &mut out);
        for output in out {
            match output {
                Output::Write(conn, bytes) => desk.bytes(conn, bytes.to_vec()),
                Output::Close(_) | Output::TurnedAway { .. } => panic!("{output:?}"),
                _ => {}
            }
        }
    }

    /// Takes all that has come.
    fn read(&mut self, desk: &mut Desk) {
        let bytes = desk.raw(self.conn);
        if !bytes.is_empty() {
            self.give(desk, Input::Bytes { conn: self.conn, bytes });
        }
    }
}

/// Machine and readers, all at one level.
fn site(nodes: usize, readers: usize) -> (Desk, Vec<Reader>) {
    let mut desk = Desk::from_disk(alone(), disk(nodes)).opened();
    let mut copy = Copy::new([ONE], Bounds::default());
    for body in desk.machine.copy().export() {
        copy.restore(&body, None).expect("its own state");
    }
    let mut all: Vec<Reader> =
        (0..readers).map(|n| Reader::new(&mut desk, &format!("g{n:05}"), copy.clone())).collect();
    settle(&mut desk, &mut all);
    (desk, all)
}

fn settle(desk: &mut Desk, readers: &mut [Reader]) {
    for _ in 0..20 {
        desk.run(1);
        readers.iter_mut().for_each(|reader| reader.read(desk));
    }
    for reader in readers {
        assert_eq!(look(&reader.copy), look(desk.machine.copy()));
    }
}

/// What came and went between two looks.
fn since(now: Counts, before: Counts) -> Counts {
    Counts {
        bytes_in: now.bytes_in - before.bytes_in,
        bytes_out: now.bytes_out - before.bytes_out,
        notes_in: now.notes_in - before.notes_in,
        notes_out: now.notes_out - before.notes_out,
        entries_in: now.entries_in - before.entries_in,
        entries_out: now.entries_out - before.entries_out,
        wholes: now.wholes - before.wholes,
        turned_away: now.turned_away - before.turned_away,
        links: now.links - before.links,
    }
}

/// Counts of one change: at the machine for its readers, and at one of them.
fn one_change(desk: &mut Desk, readers: &mut [Reader]) -> (Counts, Counts) {
    let operator = desk.connect("operator");
    let (machine, reader) = (desk.machine.counts(), readers[0].link.counts());
    let said = desk.ends[&operator].bytes;
    // The time stands still but for the steps of the machine, so that no signs of life are counted.
    desk.ask(operator, 1, vec![put("n000007", "another value of the node")]);
    readers.iter_mut().for_each(|reader| reader.read(desk));
    assert_eq!(desk.answers(operator).len(), 1);
    let mut machine = since(desk.machine.counts(), machine);
    // Its answer to the operator is none of the readers' cost.
    machine.bytes_out -= desk.ends[&operator].bytes - said;
    machine.notes_out -= 1;
    for reader in readers.iter() {
        assert_eq!(look(&reader.copy), look(desk.machine.copy()), "a reader missed the change");
    }
    (machine, since(readers[0].link.counts(), reader))
}

fn spread(all: &[u64]) -> u64 {
    all.iter().max().expect("some") - all.iter().min().expect("some")
}

#[test]
fn one_change_costs_the_same_whatever_the_state() {
    let (mut machines, mut copies) = (Vec::new(), Vec::new());
    for nodes in NODES {
        let (mut desk, mut readers) = site(nodes, 10);
        let (machine, copy) = one_change(&mut desk, &mut readers);
        assert_eq!((machine.notes_out, machine.entries_out, machine.wholes), (10, 1, 0), "{nodes} nodes");
        assert_eq!((copy.notes_in, copy.entries_in, copy.wholes), (1, 1, 0), "{nodes} nodes");
        assert_eq!((copy.notes_out, copy.turned_away, machine.turned_away), (0, 0, 0), "{nodes} nodes");
        assert_eq!(machine.bytes_out, 10 * copy.bytes_in, "{nodes} nodes");
        machines.push(machine.bytes_out);
        copies.push(copy.bytes_in);
        assert!(copy.bytes_in < 400, "{nodes} nodes: {} bytes for one change", copy.bytes_in);
    }
    assert!(spread(&copies) <= NUMBERS, "bytes at a copy by size: {copies:?}");
    assert!(spread(&machines) <= 10 * NUMBERS, "bytes at the machine by size: {machines:?}");
}

#[test]
fn one_change_costs_a_machine_one_note_for_each_reader_and_no_more() {
    let mut each = Vec::new();
    for readers in [10, 40, 80, 160] {
        let (mut desk, mut all) = site(300, readers);
        let (machine, copy) = one_change(&mut desk, &mut all);
        assert_eq!(machine.notes_out, readers as u64);
        assert_eq!(machine.entries_out, 1, "the entry is looked at once for all {readers}");
        assert_eq!(machine.bytes_out, readers as u64 * copy.bytes_in);
        assert_eq!((copy.notes_in, copy.entries_in), (1, 1));
        each.push(copy.bytes_in);
    }
    assert!(spread(&each) <= NUMBERS, "bytes at a copy by readers: {each:?}");
}

#[test]
fn a_resume_costs_what_was_missed() {
    let mut bytes: Vec<Vec<u64>> = Vec::new();
    for nodes in NODES {
        let mut of_size = Vec::new();
        for missed in [1, 10, 100] {
            let (mut desk, mut readers) = site(nodes, 1);
            let held = readers.remove(0);
            desk.give(Input::Ended { conn: held.conn });
            // Each of the keys twice: only the latest is missed.
            for value in ["first", "later"] {
                for n in 0..missed {
                    desk.change(vec![put(&format!("n{n:06}"), value)]);
                }
            }
            let before = desk.machine.counts();
            let mut again = Reader::new(&mut desk, "again", held.copy);
            settle(&mut desk, std::slice::from_mut(&mut again));
            let machine = since(desk.machine.counts(), before);
            let copy = again.link.counts();
            assert_eq!((machine.entries_out, machine.wholes), (missed as u64, 0), "{nodes} nodes");
            assert_eq!((copy.entries_in, copy.notes_in, copy.wholes), (missed as u64, 1, 0), "{nodes} nodes");
            of_size.push(copy.bytes_in);
        }
        assert!(of_size[2] < 100 * of_size[0], "{of_size:?}");
        bytes.push(of_size);
    }
    for missed in 0..3 {
        let by_size: Vec<u64> = bytes.iter().map(|of_size| of_size[missed]).collect();
        let most = NUMBERS * [1, 10, 100][missed];
        assert!(spread(&by_size) <= most, "bytes of a resume by size: {by_size:?}");
    }
}

#[test]
fn a_resume_that_misses_nothing_costs_one_empty_note() {
    for nodes in NODES {
        let (desk, readers) = site(nodes, 3);
        let machine = desk.machine.counts();
        assert_eq!((machine.entries_out, machine.wholes), (0, 0), "{nodes} nodes");
        for reader in &readers {
            let copy = reader.link.counts();
            assert_eq!((copy.entries_in, copy.notes_in, copy.wholes), (0, 1, 0), "{nodes} nodes");
            assert!(copy.bytes_in < 400, "{nodes} nodes: {} bytes", copy.bytes_in);
            assert!(reader.link.is_level());
        }
    }
}

#[test]
fn a_whole_state_is_looked_at_and_sent_once_for_each_who_needs_it() {
    let (mut desk, _) = site(1_200, 1);
    let empty = || Copy::new([ONE], Bounds::default());
    let mut readers: Vec<Reader> =
        (0..5).map(|n| Reader::new(&mut desk, &format!("e{n}"), empty())).collect();
    settle(&mut desk, &mut readers);
    let live = desk.machine.copy().len() as u64;
    assert_eq!(desk.machine.counts().wholes, 5);
    for reader in &readers {
        let copy = reader.link.counts();
        assert_eq!((copy.entries_in, copy.wholes), (live, 1));
        let each = copy.bytes_in / live;
        assert!(each < 120, "{each} bytes for each entry");
    }
}

#[test]
fn time_alone_costs_signs_of_life_and_nothing_else() {
    let (mut desk, mut readers) = site(300, 10);
    let machine = desk.machine.counts();
    let time: Micros = 10_000_000;
    let from = desk.now;
    while desk.now < from + time {
        desk.run(10);
        for reader in &mut readers {
            reader.give(&mut desk, Input::Tick);
            reader.read(&mut desk);
        }
    }
    let cost = since(desk.machine.counts(), machine);
    assert_eq!((cost.entries_out, cost.wholes, cost.turned_away, cost.links), (0, 0, 0, 0));
    assert!(cost.notes_out <= 10 * 12, "{} signs of life in ten seconds", cost.notes_out);
    assert!(cost.bytes_out <= 10 * 12 * 40, "{} bytes", cost.bytes_out);
}
