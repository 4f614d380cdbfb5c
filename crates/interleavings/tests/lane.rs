//! A peer's connection: a reader, a writer, the mesh that gives and closes, and a peer that may go at any time.

extern crate interleavings as sync;

#[path = "../../peerlink/src/lane.rs"]
mod lane;

use std::io;

use lane::{Came, Way, read_in, write_out};
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Condvar, Mutex, QueueReceiver, QueueSender, injected, lock, queue, thread, wait};

/// The connection, as the system keeps it.
#[derive(Debug, Default)]
struct Line {
    /// From the peer, not read yet.
    inbound: Vec<u8>,
    /// At the peer.
    outbound: Vec<u8>,
    /// The peer takes nothing more, and does not go either.
    stuck: bool,
    ended: bool,
}

#[derive(Debug, Default)]
struct Socket {
    line: Mutex<Line>,
    changed: Condvar,
}

impl Socket {
    fn change(&self, change: impl FnOnce(&mut Line)) {
        change(&mut lock(&self.line));
        self.changed.notify_all();
    }
}

impl Way for Socket {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut line = lock(&self.line);
        while line.inbound.is_empty() && !line.ended {
            line = wait(&self.changed, line);
        }
        let bytes = std::mem::take(&mut line.inbound);
        buffer[..bytes.len()].copy_from_slice(&bytes);
        Ok(bytes.len())
    }

    fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut line = lock(&self.line);
        while line.stuck && !line.ended {
            if !injected!(NoWriteTimeout) {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            line = wait(&self.changed, line);
        }
        if line.ended {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        line.outbound.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&self) {
        self.change(|line| line.ended = true);
    }
}

/// A connection as the mesh's thread has it.
struct Connection {
    socket: Arc<Socket>,
    pieces: QueueSender<Vec<u8>>,
    came: QueueReceiver<Came>,
    threads: [thread::JoinHandle<()>; 2],
}

impl Connection {
    fn open(line: Line) -> Connection {
        let socket = Arc::new(Socket { line: Mutex::new(line), changed: Condvar::new() });
        let (pieces, given) = queue();
        let (tells, came) = queue();
        let tells = Arc::new(tells);
        let (reads, writes, told) = (socket.clone(), socket.clone(), tells.clone());
        let reader = thread::spawn(move || read_in(&*reads, |came| told.send(came)));
        let writer = thread::spawn(move || write_out(&*writes, &given, |came| tells.send(came)));
        Connection { socket, pieces, came, threads: [reader, writer] }
    }

    /// Closes it as the mesh does; all that was told, once both threads have ended.
    fn close(self) -> (Arc<Socket>, Vec<Came>) {
        drop(self.pieces);
        self.threads.into_iter().for_each(|thread| thread.join().expect("it ended"));
        let mut all = Vec::new();
        while let Some(came) = self.came.receive() {
            all.push(came);
        }
        (self.socket, all)
    }
}

/// The rules for all that was told of a connection.
fn judge(socket: &Socket, told: &[Came]) {
    let ends = told.iter().filter(|t| **t == Came::Ended).count();
    assert_eq!(ends, 1, "the end was told {ends} times");
    let bytes = told.iter().position(|t| matches!(t, Came::Bytes(_)));
    let end = told.iter().position(|t| *t == Came::Ended);
    assert!(bytes < end, "bytes were told behind the end");
    let taken: usize = told.iter().map(|t| if let Came::Taken(n) = t { *n } else { 0 }).sum();
    assert_eq!(taken, lock(&socket.line).outbound.len(), "what was told as taken is not what was written");
}

/// The mesh gives two pieces and closes.
fn given_and_closed() {
    let connection = Connection::open(Line::default());
    assert!(connection.pieces.send(b"ab".to_vec()));
    assert!(connection.pieces.send(b"c".to_vec()));
    let (socket, told) = connection.close();
    judge(&socket, &told);
    assert_eq!(lock(&socket.line).outbound, b"abc", "what was given before the close was not written");
    assert_eq!(told, [Came::Taken(2), Came::Taken(1), Came::Ended]);
}

/// The peer says a word and goes, while the mesh gives; the mesh closes when it hears of the end.
fn the_peer_goes() {
    let connection = Connection::open(Line { inbound: b"x".to_vec(), ..Line::default() });
    let socket = connection.socket.clone();
    let peer = thread::spawn(move || socket.end());
    // A writer that has ended has told of it: whether this was taken does not matter.
    connection.pieces.send(b"ab".to_vec());
    let mut early = Vec::new();
    while early.last() != Some(&Came::Ended) {
        early.push(connection.came.receive().expect("the end is told"));
    }
    peer.join().expect("it went");
    let (socket, late) = connection.close();
    early.extend(late);
    judge(&socket, &early);
}

/// The peer stands still with its buffers full; the mesh closes.
fn the_peer_is_stuck() {
    let connection = Connection::open(Line { stuck: true, ..Line::default() });
    connection.pieces.send(b"ab".to_vec());
    let (socket, told) = connection.close();
    judge(&socket, &told);
    assert_eq!(told, [Came::Ended]);
}

/// The peer's line breaks under the writer while the mesh waits to hear of it.
fn the_line_breaks() {
    let connection = Connection::open(Line { stuck: true, ..Line::default() });
    connection.pieces.send(b"ab".to_vec());
    assert_eq!(connection.came.receive(), Some(Came::Ended), "it is told that the connection ended");
    connection.close();
}

#[test]
fn what_is_given_before_the_close_is_written_and_the_end_is_told_once() {
    println!("closed: {}", check(Some(2), given_and_closed));
    println!("the peer goes: {}", check(Some(1), the_peer_goes));
    println!("stuck: {}", check(Some(2), the_peer_is_stuck));
    println!("broken: {}", check(Some(2), the_line_breaks));
}

#[test]
fn a_writer_that_ends_without_telling_is_caught() {
    assert_detected(Fault::WriterFailureUnreported, "deadlock", Some(2), the_line_breaks);
}

#[test]
fn taken_before_it_is_written_is_caught() {
    assert_detected(Fault::TakenBeforeWritten, "not what was written", Some(2), the_peer_is_stuck);
}

#[test]
fn a_write_that_waits_for_ever_is_caught() {
    assert_detected(Fault::NoWriteTimeout, "deadlock", Some(2), the_peer_is_stuck);
}
