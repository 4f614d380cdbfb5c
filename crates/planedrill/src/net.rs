//! Connections between processes: bytes are taken, fly, arrive and are read, each in its time and in order.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use plane::{Conn, Micros};

/// Bytes that may fly on one way; more wait to be taken.
const WINDOW: usize = 16 << 10;
/// Bytes that arrive together at most.
const SEGMENT: usize = 6 << 10;
/// Until the sender hears that bytes were taken.
const TAKEN: Micros = 40;

/// What happens on a connection. A way is named by the end that sends on it.
#[derive(Clone, Debug)]
pub(crate) enum Flow {
    /// Bytes of an end were taken.
    Taken { conn: Conn, end: usize, bytes: usize },
    /// Bytes come to the other end.
    Arrive { conn: Conn, way: usize, bytes: Vec<u8> },
    /// The other end reads what has come.
    Read { conn: Conn, way: usize },
    /// An end is told that it is over.
    Over { conn: Conn, end: usize },
}

/// Bytes from one end to the other.
#[derive(Debug, Default)]
pub(crate) struct Way {
    waiting: VecDeque<(Arc<[u8]>, usize)>,
    /// Bytes that wait to be taken.
    pub(crate) unsent: usize,
    flying: usize,
    /// Nothing arrives before what was sent before it.
    last: Micros,
    /// Arrived and not read, as the reader is slow or cut off.
    pub(crate) arrived: VecDeque<Vec<u8>>,
    /// A reading is under way.
    pub(crate) reading: bool,
    closing: bool,
    /// The other end's host is gone without a word.
    silent: bool,
}

/// A connection of two processes.
#[derive(Debug)]
pub(crate) struct Link {
    /// Processes: who dialled, who was dialled.
    pub(crate) ends: [usize; 2],
    /// Ends that still hold it.
    pub(crate) holds: [bool; 2],
    pub(crate) ways: [Way; 2],
    delay: Micros,
}

/// All connections.
#[derive(Debug, Default)]
pub(crate) struct Net {
    links: BTreeMap<Conn, Link>,
    last: u64,
    /// More delay to and from processes.
    pub(crate) lag: BTreeMap<usize, Micros>,
}

impl Net {
    /// A connection, if it is still there.
    pub(crate) fn link(&mut self, conn: Conn) -> Option<&mut Link> {
        self.links.get_mut(&conn)
    }

    /// All of them.
    pub(crate) fn links(&self) -> impl Iterator<Item = (Conn, &Link)> {
        self.links.iter().map(|(conn, link)| (*conn, link))
    }

    /// Connects two processes.
    pub(crate) fn connect(&mut self, ends: [usize; 2], delay: Micros) -> Conn {
        self.last += 1;
        let link = Link { ends, holds: [true; 2], ways: Default::default(), delay };
        self.links.insert(Conn(self.last), link);
        Conn(self.last)
    }

    /// Which end of a connection a process is.
    pub(crate) fn end(&self, conn: Conn, process: usize) -> Option<usize> {
        self.links.get(&conn)?.ends.iter().position(|end| *end == process)
    }

    /// An end writes.
    pub(crate) fn write(
        &mut self,
        now: Micros,
        conn: Conn,
        end: usize,
        bytes: Arc<[u8]>,
        flows: &mut Vec<(Micros, Flow)>,
    ) {
        let Some(link) = self.links.get_mut(&conn).filter(|link| link.holds[end]) else { return };
        link.ways[end].unsent += bytes.len();
        link.ways[end].waiting.push_back((bytes, 0));
        self.send(now, conn, end, flows);
    }

    /// Sends what may fly.
    pub(crate) fn send(&mut self, now: Micros, conn: Conn, end: usize, flows: &mut Vec<(Micros, Flow)>) {
        let lag = &self.lag;
        let Some(link) = self.links.get_mut(&conn) else { return };
        let lag: Micros = link.ends.iter().filter_map(|process| lag.get(process)).sum();
        let (delay, way) = (link.delay + lag, &mut link.ways[end]);
        while way.flying < WINDOW {
            let Some((frame, at)) = way.waiting.front_mut() else { break };
            let count = (frame.len() - *at).min(WINDOW - way.flying).min(SEGMENT);
            let bytes = frame[*at..*at + count].to_vec();
            *at += count;
            if *at == frame.len() {
                way.waiting.pop_front();
            }
            way.unsent -= count;
            way.flying += count;
            way.last = way.last.max(now + delay);
            flows.push((now + TAKEN, Flow::Taken { conn, end, bytes: count }));
            flows.push((way.last, Flow::Arrive { conn, way: end, bytes }));
        }
        if way.closing && way.waiting.is_empty() && way.flying == 0 {
            flows.push((now + delay, Flow::Over { conn, end: 1 - end }));
        }
    }

    /// Whether bytes still arrive on a way.
    pub(crate) fn arrives(&self, conn: Conn, way: usize) -> bool {
        self.links.get(&conn).is_some_and(|link| !link.ways[way].silent)
    }

    /// Bytes on a way were read, or thrown away by an end that holds the connection no more.
    pub(crate) fn read(
        &mut self,
        now: Micros,
        conn: Conn,
        way: usize,
        bytes: usize,
        flows: &mut Vec<(Micros, Flow)>,
    ) {
        let Some(link) = self.links.get_mut(&conn).filter(|link| !link.ways[way].silent) else { return };
        link.ways[way].flying -= bytes;
        self.send(now, conn, way, flows);
    }

    /// An end lets it go once what it wrote is written.
    pub(crate) fn close(&mut self, now: Micros, conn: Conn, end: usize, flows: &mut Vec<(Micros, Flow)>) {
        let Some(link) = self.links.get_mut(&conn).filter(|link| link.holds[end]) else { return };
        link.holds[end] = false;
        link.ways[end].closing = true;
        if !link.holds[1 - end] {
            self.links.remove(&conn);
            return;
        }
        // What had come and was not read is thrown away.
        let way = &mut link.ways[1 - end];
        way.flying -= way.arrived.drain(..).map(|bytes| bytes.len()).sum::<usize>();
        self.send(now, conn, end, flows);
        self.send(now, conn, 1 - end, flows);
    }

    /// An end is told that it is over: whether it still held it.
    pub(crate) fn over(&mut self, conn: Conn, end: usize) -> bool {
        let Some(link) = self.links.get_mut(&conn) else { return false };
        let held = std::mem::replace(&mut link.holds[end], false);
        if !link.holds[1 - end] {
            self.links.remove(&conn);
        }
        held
    }

    /// It breaks at once, and all bytes on it are lost; ends that hold it are told, or find out by silence.
    pub(crate) fn cut(&mut self, now: Micros, conn: Conn, told: bool, flows: &mut Vec<(Micros, Flow)>) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        for end in [0, 1] {
            link.ways[end] = Way { silent: true, flying: WINDOW, ..Way::default() };
            if told {
                flows.push((now + link.delay, Flow::Over { conn, end }));
            }
        }
    }

    /// A process is gone: its ends hold nothing, and the others are told or find out by silence.
    pub(crate) fn kill(&mut self, now: Micros, process: usize, told: bool, flows: &mut Vec<(Micros, Flow)>) {
        let conns: Vec<Conn> =
            self.links().filter(|(_, l)| l.ends.contains(&process)).map(|(conn, _)| conn).collect();
        for conn in conns {
            self.cut(now, conn, told, flows);
            let Some(end) = self.end(conn, process) else { continue };
            self.over(conn, end);
        }
    }
}
