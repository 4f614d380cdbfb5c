//! A control machine on a desk: the test is its network, its disk and its clock.
#![allow(dead_code)] // Each test file uses its part of it.

use std::collections::{BTreeMap, VecDeque};

use peer::channel::{self, Channel, Greeting, Word};
use peer::{Incarnation, Life, Nonce, PeerName};
use plane::{
    Bounds, Change, Conn, Copy, Cursor, Digest, Epoch, Epochs, Input, KIND, Kind, Machine, MachineOptions,
    Message, Micros, Output, Place, Proposal, Proposed, Refusal, Region, Stamp, Taken, Version, WireEntry,
};

pub const SITE: u64 = 7;
pub const ONE: Region = Region(1);
/// The connection that messages to a copy come over.
pub const FROM: Conn = Conn(1);

pub fn greeting(name: &str) -> Greeting {
    Greeting { site: SITE, name: name.into(), life: Life { incarnation: Incarnation(1), nonce: Nonce(1) } }
}

pub fn place(name: &str, region: u16, writer: bool) -> Place {
    Place { name: name.into(), region: Region(region), writer }
}

/// Region 1's only machine, its writer.
pub fn alone() -> MachineOptions {
    MachineOptions::new(greeting("w1"), vec![place("w1", 1, true)])
}

pub fn at(epoch: u64, version: u64) -> Cursor {
    Stamp { epoch: Epoch(epoch), version: Version(version) }
}

pub fn epochs(all: &[(u64, u64)]) -> Epochs {
    let mut epochs = Epochs::default();
    all.iter().for_each(|(epoch, first)| epochs.begin(Epoch(*epoch), Version(*first)));
    epochs
}

/// An entry of region 1 as it is written.
pub fn wire(epoch: u64, version: u64, name: &str, value: Option<&str>) -> WireEntry {
    let value = value.map(|value| serde_bytes::ByteBuf::from(value.as_bytes().to_vec()));
    WireEntry(ONE, Kind::Node.number(), name.into(), Epoch(epoch), Version(version), value)
}

/// A delta of region 1.
pub fn delta(after: Cursor, upto: Cursor, begun: &[(u64, u64)], entries: Vec<WireEntry>) -> Message {
    Message::Delta { region: ONE, after, upto, epochs: epochs(begun), entries, digest: None }
}

/// The digest of entries as they are written.
pub fn digest(entries: &[WireEntry]) -> Digest {
    let entries = entries.iter().filter_map(|entry| entry.clone().into_entry());
    entries.fold(Digest::default(), |sum, entry| sum.with(entry.digest()))
}

/// A whole state of region 1 in one piece.
pub fn whole(upto: Cursor, floor: u64, begun: &[(u64, u64)], entries: Vec<WireEntry>) -> [Message; 3] {
    let live: Vec<_> = entries.iter().filter(|entry| entry.5.is_some()).cloned().collect();
    let (count, digest) = (entries.len() as u64, digest(&live));
    [
        Message::Begin { region: ONE, upto, floor: Version(floor), epochs: epochs(begun), count, digest },
        Message::Piece { region: ONE, number: 0, entries },
        Message::End { region: ONE },
    ]
}

/// A copy of region 1 that holds the keys k1 to kN, written in epoch 1.
pub fn copy_of(count: u64, bounds: Bounds) -> Copy {
    let mut copy = Copy::new([ONE], bounds);
    let entries = (1..=count).map(|v| wire(1, v, &format!("k{v}"), Some("old"))).collect();
    copy.take(delta(at(0, 0), at(1, count), &[(1, 1)], entries), FROM, None).expect("a first delta is taken");
    copy
}

/// All that a copy is seen to hold.
pub fn look(copy: &Copy) -> Vec<(Region, Cursor, Epochs, usize, usize, Digest)> {
    let of = |region| {
        let table = copy.table(region).expect("it follows the region");
        (region, copy.cursor(region), copy.epochs(region), table.len(), table.bytes(), table.digest())
    };
    copy.regions().map(of).collect()
}

/// The keys that a copy holds of region 1.
pub fn names(copy: &Copy) -> Vec<String> {
    let table = copy.table(ONE).expect("it follows the region");
    let mut names: Vec<String> = table.iter().map(|entry| entry.key.name.to_string()).collect();
    names.sort();
    names
}

/// Gives a copy what it has to turn away, and sees that it holds what it held.
pub fn refused(copy: &mut Copy, message: Message) -> Refusal {
    let before = look(copy);
    let refusal =
        copy.take(message.clone(), FROM, None).expect_err(&format!("it has to be turned away: {message:?}"));
    assert_eq!(look(copy), before, "it was changed by what it turned away");
    refusal
}

pub fn put(name: &str, value: &str) -> Change {
    let value = Some(serde_bytes::ByteBuf::from(value.as_bytes().to_vec()));
    Change { owner: ONE, kind: Kind::Node, name: name.into(), value }
}

pub fn delete(name: &str) -> Change {
    Change { owner: ONE, kind: Kind::Node, name: name.into(), value: None }
}

/// The other end of a connection of the machine.
pub struct End {
    channel: Channel,
    pub words: VecDeque<Word>,
    /// Bytes as they came, for another machine or a copy's link.
    pub raw: Vec<u8>,
    /// Whether it takes bytes as they are written.
    pub takes: bool,
    /// Bytes written that it has not taken.
    pub untaken: usize,
    /// Bytes written to it in all.
    pub bytes: u64,
    pub closed: bool,
}

/// A machine and all around it.
pub struct Desk {
    pub machine: Machine,
    pub now: Micros,
    conns: u64,
    pub ends: BTreeMap<Conn, End>,
    /// What it wanted beside writes.
    pub said: Vec<Output>,
    /// What is on its disk.
    pub disk: Vec<Vec<u8>>,
    /// Whether what is to be synced is durable at once; else the test says so.
    pub keeps: bool,
    /// Bodies to be synced that are not yet.
    pub unsynced: usize,
}

impl Desk {
    pub fn new(options: MachineOptions) -> Desk {
        Desk::from_disk(options, Vec::new())
    }

    /// A machine that starts from a disk.
    pub fn from_disk(options: MachineOptions, disk: Vec<Vec<u8>>) -> Desk {
        let mut machine = Machine::new(options, 0, 1);
        disk.iter().for_each(|body| machine.restore(body).expect("the disk is in order"));
        Desk {
            machine,
            now: 0,
            conns: 0,
            ends: BTreeMap::new(),
            said: Vec::new(),
            disk,
            keeps: true,
            unsynced: 0,
        }
    }

    /// The only machine of region 1, that writes.
    pub fn writes() -> Desk {
        Desk::new(alone()).opened()
    }

    /// Lets it open its epoch.
    pub fn opened(mut self) -> Desk {
        self.run(10);
        assert!(self.machine.writer().is_some_and(|writer| writer.is_open()), "the writer is not open");
        self
    }

    /// Lets time pass: so many ticks of 10 ms.
    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += 10_000;
            self.give(Input::Tick);
        }
    }

    /// Gives the machine what happened, and does what it wants done.
    pub fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.now += 1;
            let mut out = Vec::new();
            self.machine.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write(conn, bytes) => {
                        let Some(end) = self.ends.get_mut(&conn) else { continue };
                        end.bytes += bytes.len() as u64;
                        if end.takes {
                            inputs.push_back(Input::Taken { conn, bytes: bytes.len() });
                        } else {
                            end.untaken += bytes.len();
                        }
                        end.raw.extend_from_slice(&bytes);
                        end.channel.receive(&bytes);
                        while let Some(word) = end.channel.poll().expect("the machine speaks in order") {
                            end.words.push_back(word);
                        }
                    }
                    Output::Close(conn) => {
                        self.ends.get_mut(&conn).into_iter().for_each(|end| end.closed = true);
                        self.said.push(output);
                    }
                    Output::Keep { ref body, sync } => {
                        self.disk.push(body.clone());
                        if sync && self.keeps {
                            // Before anything else, as a driver has to.
                            inputs.push_front(Input::Kept);
                        } else if sync {
                            self.unsynced += 1;
                        }
                        self.said.push(output);
                    }
                    Output::KeepAll => {
                        self.disk = self.machine.export();
                        self.said.push(output);
                    }
                    other => self.said.push(other),
                }
            }
        }
    }

    fn end(&mut self) -> Conn {
        self.conns += 1;
        let channel = Channel::new(SITE);
        let words = VecDeque::new();
        let raw = Vec::new();
        let end = End { channel, words, raw, takes: true, untaken: 0, bytes: 0, closed: false };
        self.ends.insert(Conn(self.conns), end);
        Conn(self.conns)
    }

    /// Somebody connects, and has said nothing yet.
    pub fn accept(&mut self) -> Conn {
        let conn = self.end();
        self.give(Input::Accepted { conn });
        conn
    }

    /// Bytes that came to a connection's other end since the last time.
    pub fn raw(&mut self, conn: Conn) -> Vec<u8> {
        std::mem::take(&mut self.ends.get_mut(&conn).expect("a connection of the test").raw)
    }

    /// A machine that it dialled is up, and has said nothing yet.
    pub fn reached(&mut self, name: &str) -> Conn {
        let conn = self.end();
        self.give(Input::Dialled { machine: PeerName::from(name), conn });
        conn
    }

    /// Somebody connects and says who he is.
    pub fn connect(&mut self, name: &str) -> Conn {
        let conn = self.accept();
        self.bytes(conn, channel::hello(&greeting(name)));
        conn
    }

    /// A machine that it dialled is up, and says who it is.
    pub fn dialled(&mut self, name: &str) -> Conn {
        let conn = self.reached(name);
        self.bytes(conn, channel::hello(&greeting(name)));
        conn
    }

    pub fn bytes(&mut self, conn: Conn, bytes: Vec<u8>) {
        self.give(Input::Bytes { conn, bytes });
    }

    /// A note to the machine.
    pub fn note(&mut self, conn: Conn, message: &Message) {
        let frame = message.frame().expect("it fits a frame");
        self.bytes(conn, frame.to_vec());
    }

    /// A question to the machine.
    pub fn ask(&mut self, conn: Conn, id: u64, changes: Vec<Change>) {
        let body = peer::wire::encode(&Proposal { changes });
        self.bytes(conn, channel::ask(id, KIND, body).expect("it fits a frame"));
    }

    /// A copy asks for what it misses.
    pub fn subscribe(&mut self, conn: Conn, copy: &Copy) {
        let regions: Vec<Region> = copy.regions().collect();
        self.note(conn, &copy.subscribe(&regions));
    }

    /// Notes that came to a connection's other end.
    pub fn notes(&mut self, conn: Conn) -> Vec<Message> {
        let words = std::mem::take(&mut self.ends.get_mut(&conn).expect("a connection of the test").words);
        let of = |word| match word {
            Word::Note { body, .. } => {
                Some(Message::read(&body).expect("the machine sends what can be read"))
            }
            _ => None,
        };
        words.into_iter().filter_map(of).collect()
    }

    /// Answers that came to a connection's other end, by question.
    pub fn answers(&mut self, conn: Conn) -> Vec<(u64, Proposed)> {
        let words = std::mem::take(&mut self.ends.get_mut(&conn).expect("a connection of the test").words);
        let of = |word| match word {
            Word::Answer { id, body } => {
                Some((id, peer::wire::decode(&body).expect("an answer can be read")))
            }
            _ => None,
        };
        words.into_iter().filter_map(of).collect()
    }

    /// A copy takes all that came to it.
    pub fn read(&mut self, conn: Conn, copy: &mut Copy) -> Result<Vec<Taken>, Refusal> {
        self.notes(conn).into_iter().map(|message| copy.take(message, FROM, None)).collect()
    }

    /// The bytes that waited for a connection's other end are taken now.
    pub fn take_all(&mut self, conn: Conn) {
        let end = self.ends.get_mut(&conn).expect("a connection of the test");
        let bytes = std::mem::take(&mut end.untaken);
        self.give(Input::Taken { conn, bytes });
    }

    /// Changes through the writer, made durable, all answered so.
    pub fn change(&mut self, changes: Vec<Change>) -> Vec<Stamp> {
        let conn = self.connect("operator");
        self.ask(conn, 1, changes);
        let answers = self.answers(conn);
        self.give(Input::Ended { conn });
        let [(1, Ok(stamps))] = answers.as_slice() else { panic!("not answered as durable: {answers:?}") };
        stamps.clone()
    }

    /// Whether a connection was closed by the machine.
    pub fn is_closed(&self, conn: Conn) -> bool {
        self.ends.get(&conn).is_none_or(|end| end.closed)
    }

    /// Connections that it dials and that are not answered, in order.
    pub fn dials(&mut self) -> Vec<String> {
        let said = std::mem::take(&mut self.said);
        let (dials, rest) = said.into_iter().partition(|output| matches!(output, Output::Dial(_)));
        self.said = rest;
        let dials: Vec<Output> = dials;
        dials
            .into_iter()
            .filter_map(|o| if let Output::Dial(name) = o { Some(name.0) } else { None })
            .collect()
    }
}

/// Two machines and a connection between them: one's end of it, and the other's.
pub fn talk(one: (&mut Desk, Conn), other: (&mut Desk, Conn)) {
    for _ in 0..200 {
        let there = one.0.raw(one.1);
        let back = other.0.raw(other.1);
        one.0.run(1);
        other.0.run(1);
        if !there.is_empty() {
            other.0.bytes(other.1, there);
        }
        if !back.is_empty() {
            one.0.bytes(one.1, back);
        }
    }
}
