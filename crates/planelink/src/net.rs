//! The sockets of one loop: dialled, accepted, read and written without ever waiting for one of them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use plane::{Conn, Micros};

use crate::connection::{Connection, Stage};

const LISTENER: Token = Token(usize::MAX);
/// A connect takes so long at most.
const CONNECT: Micros = 500_000;
/// A connection that was let go has so long to take what is left for it.
const CLOSING: Micros = 5_000_000;
/// Bytes read of one connection in a turn, so that none keeps the others waiting.
const READ: usize = 32 << 10;
/// Connections accepted in a turn.
const ACCEPTS: usize = 64;
/// Where one cannot be accepted, for want of descriptors for one, it is tried again after this.
const AGAIN: Micros = 20_000;
/// The longest wait, so that an order to end is seen.
const LONGEST: Micros = 100_000;

/// What happened to a socket.
#[derive(Debug)]
pub(crate) enum Event {
    /// A connection that was dialled is up.
    Up { conn: Conn, tag: usize },
    /// One that was dialled did not come up.
    Failed { tag: usize },
    /// Somebody has connected.
    Accepted { conn: Conn },
    /// Bytes came.
    Bytes { conn: Conn, tag: usize, bytes: Vec<u8> },
    /// So many bytes were written.
    Taken { conn: Conn, bytes: usize },
    /// A connection ended, other than by [`Net::close`].
    Ended { conn: Conn, tag: usize },
}

/// The sockets of one loop.
pub(crate) struct Net {
    poll: Poll,
    events: Events,
    listener: Option<TcpListener>,
    /// Somebody may wait to be accepted, not before that time, and how many still may be in this turn.
    acceptable: bool,
    accept_at: Micros,
    accepts: usize,
    connections: HashMap<u64, Connection>,
    next: u64,
    /// When those that rise or close are given up.
    deadlines: BTreeSet<(Micros, u64)>,
    /// To be looked at in this turn, and in the next.
    line: VecDeque<u64>,
    later: Vec<u64>,
    /// To be written to.
    due: VecDeque<u64>,
    failed: VecDeque<usize>,
    buffer: Vec<u8>,
    bytes_in: u64,
    bytes_out: u64,
}

impl Net {
    pub(crate) fn new() -> io::Result<Net> {
        Ok(Net {
            poll: Poll::new()?,
            events: Events::with_capacity(1024),
            listener: None,
            acceptable: false,
            accept_at: 0,
            accepts: 0,
            connections: HashMap::new(),
            next: 0,
            deadlines: BTreeSet::new(),
            line: VecDeque::new(),
            later: Vec::new(),
            due: VecDeque::new(),
            failed: VecDeque::new(),
            buffer: vec![0; READ],
            bytes_in: 0,
            bytes_out: 0,
        })
    }

    /// Bytes read and written since the start.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        (self.bytes_in, self.bytes_out)
    }

    /// Listens for those who connect.
    pub(crate) fn listen(&mut self, address: SocketAddr) -> io::Result<()> {
        let mut listener = TcpListener::bind(address)?;
        self.poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Begins to connect; `Up` or `Failed` follows.
    pub(crate) fn dial(&mut self, address: SocketAddr, tag: usize, now: Micros) {
        let until = now + CONNECT;
        match TcpStream::connect(address).and_then(|stream| self.add(stream, tag, Stage::Rising(until))) {
            Ok(conn) => drop(self.deadlines.insert((until, conn.0))),
            Err(_) => self.fail(tag),
        }
    }

    /// Has `Failed` told.
    pub(crate) fn fail(&mut self, tag: usize) {
        self.failed.push_back(tag);
    }

    fn add(&mut self, mut stream: TcpStream, tag: usize, stage: Stage) -> io::Result<Conn> {
        self.next += 1;
        let token = Token(self.next as usize);
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        self.connections.insert(self.next, Connection::new(stream, tag, stage));
        Ok(Conn(self.next))
    }

    /// Writes, behind what was to be written before, with the next [`Net::flush`].
    pub(crate) fn write(&mut self, conn: Conn, bytes: Arc<[u8]>) {
        if let Some(connection) = self.connections.get_mut(&conn.0).filter(|c| c.stage == Stage::Up) {
            connection.push(bytes);
            self.plan(conn.0);
        }
    }

    fn plan(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| !c.is_due) {
            connection.is_due = true;
            self.due.push_back(id);
        }
    }

    /// Ends a connection once what was to be written is written.
    pub(crate) fn close(&mut self, conn: Conn, now: Micros) {
        let Some(connection) = self.connections.get_mut(&conn.0).filter(|c| c.stage == Stage::Up) else {
            return;
        };
        // Danger: one that takes nothing would hold its descriptor for ever.
        let until = now + CLOSING;
        (connection.stage, connection.held) = (Stage::Closing(until), false);
        self.deadlines.insert((until, conn.0));
        self.plan(conn.0);
    }

    /// Reads nothing of a connection until it is let go on.
    pub(crate) fn hold(&mut self, conn: Conn, held: bool) {
        if let Some(connection) = self.connections.get_mut(&conn.0).filter(|c| c.held != held) {
            connection.held = held;
            if !held && connection.readable && !connection.in_line {
                connection.in_line = true;
                self.later.push(conn.0);
            }
        }
    }

    /// Waits until something happens, or until that time.
    pub(crate) fn poll(&mut self, now: Micros, until: Micros) -> io::Result<()> {
        let mut until = self.deadlines.first().map_or(until, |(at, _)| until.min(*at));
        if self.acceptable {
            until = until.min(self.accept_at);
        }
        let waits =
            self.later.is_empty() && self.failed.is_empty() && self.due.is_empty() && self.line.is_empty();
        let wait = if waits { until.saturating_sub(now).clamp(0, LONGEST) } else { 0 };
        match self.poll.poll(&mut self.events, Some(Duration::from_micros(wait as u64))) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        self.line.extend(self.later.drain(..));
        self.accepts = ACCEPTS;
        for event in &self.events {
            if event.token() == LISTENER {
                self.acceptable = true;
                continue;
            }
            let id = event.token().0 as u64;
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            let over = event.is_read_closed() || event.is_write_closed() || event.is_error();
            connection.readable |= event.is_readable() || over;
            connection.over |= over;
            if event.is_writable() || over {
                connection.writable = true;
                if !connection.is_empty() && !connection.is_due {
                    connection.is_due = true;
                    self.due.push_back(id);
                }
            }
            if !connection.in_line {
                connection.in_line = true;
                self.line.push_back(id);
            }
        }
        Ok(())
    }

    /// What has happened next in this turn.
    pub(crate) fn next(&mut self, now: Micros) -> Option<Event> {
        loop {
            if let Some(tag) = self.failed.pop_front() {
                return Some(Event::Failed { tag });
            }
            if let Some((at, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
                self.deadlines.remove(&(at, id));
                match self.remove(id) {
                    Some(Connection { stage: Stage::Rising(_), tag, .. }) => {
                        return Some(Event::Failed { tag });
                    }
                    _ => continue,
                }
            }
            if let Some(conn) = self.accept(now) {
                return Some(Event::Accepted { conn });
            }
            let id = self.line.pop_front()?;
            if let Some(event) = self.look(id) {
                return Some(event);
            }
        }
    }

    fn accept(&mut self, now: Micros) -> Option<Conn> {
        while self.acceptable && self.accepts > 0 && now >= self.accept_at {
            self.accepts -= 1;
            match self.listener.as_ref()?.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    if let Ok(conn) = self.add(stream, 0, Stage::Up) {
                        return Some(conn);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.acceptable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Danger: without descriptors this fails at once, again and again, and nothing else would be done. Harm: whoever
                // waits to be accepted waits that much longer.
                Err(_) => self.accept_at = now + AGAIN,
            }
        }
        None
    }

    /// Looks at a connection of which something was told; once for each turn.
    fn look(&mut self, id: u64) -> Option<Event> {
        let connection = self.connections.get_mut(&id)?;
        connection.in_line = false;
        match connection.stage {
            Stage::Rising(until) => self.rise(id, until),
            Stage::Up => self.read(id),
            // What still comes concerns nobody; its end does.
            Stage::Closing(_) => {
                self.read(id);
                None
            }
        }
    }

    fn rise(&mut self, id: u64, until: Micros) -> Option<Event> {
        let connection = self.connections.get_mut(&id)?;
        let tag = connection.tag;
        let up = match (connection.stream.take_error(), connection.stream.peer_addr()) {
            // Danger: a port of this machine on which nobody listens may be drawn as the own port of the very connection that is
            // dialled to it, which then leads to itself, and whoever wants to listen there finds it taken.
            (Ok(None), Ok(there)) => connection.stream.local_addr().is_ok_and(|own| own != there),
            (Ok(None), Err(error)) if error.kind() == ErrorKind::NotConnected => return None,
            _ => false,
        };
        self.deadlines.remove(&(until, id));
        if !up {
            self.remove(id);
            return Some(Event::Failed { tag });
        }
        let _ = connection.stream.set_nodelay(true);
        (connection.stage, connection.writable) = (Stage::Up, true);
        if connection.readable {
            connection.in_line = true;
            self.line.push_back(id);
        }
        Some(Event::Up { conn: Conn(id), tag })
    }

    fn read(&mut self, id: u64) -> Option<Event> {
        let connection = self.connections.get_mut(&id)?;
        if connection.held || !connection.readable {
            return None;
        }
        let (conn, tag) = (Conn(id), connection.tag);
        let more = match connection.stream.read(&mut self.buffer) {
            Ok(0) => {
                self.remove(id);
                return Some(Event::Ended { conn, tag });
            }
            Ok(n) => n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                connection.readable = false;
                return None;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => 0,
            Err(_) => {
                self.remove(id);
                return Some(Event::Ended { conn, tag });
            }
        };
        // The system tells of a socket anew only when more comes. One that gave less than was asked for is empty, but for an end
        // that it has told of.
        if more == 0 || more == self.buffer.len() || connection.over {
            connection.in_line = true;
            self.later.push(id);
        } else {
            connection.readable = false;
        }
        self.bytes_in += more as u64;
        (more > 0).then(|| Event::Bytes { conn, tag, bytes: self.buffer[..more].to_vec() })
    }

    /// Whether something waits to be written.
    pub(crate) fn is_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Writes to the next connection for which something waits, as much as it takes.
    pub(crate) fn flush(&mut self) -> Option<Event> {
        while let Some(id) = self.due.pop_front() {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            connection.is_due = false;
            let (conn, tag, closing) =
                (Conn(id), connection.tag, matches!(connection.stage, Stage::Closing(_)));
            match connection.flush() {
                Ok(bytes) => {
                    self.bytes_out += bytes as u64;
                    if closing && connection.is_empty() {
                        self.finish(id);
                    } else if bytes > 0 && !closing {
                        return Some(Event::Taken { conn, bytes });
                    }
                }
                Err(_) => {
                    self.remove(id);
                    if !closing {
                        return Some(Event::Ended { conn, tag });
                    }
                }
            }
        }
        None
    }

    /// Ends a connection to which all was written.
    fn finish(&mut self, id: u64) {
        let Some(mut connection) = self.remove(id) else { return };
        // Danger: a socket that is closed while something on it was not read breaks the connection, and takes with it what the
        // other side has not read yet.
        let _ = connection.stream.shutdown(Shutdown::Write);
        for _ in 0..4 {
            match connection.stream.read(&mut self.buffer) {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
    }

    fn remove(&mut self, id: u64) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        if let Stage::Rising(until) | Stage::Closing(until) = connection.stage {
            self.deadlines.remove(&(until, id));
        }
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }
}
