//! One connection's socket and what waits to be written to it.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::sync::Arc;

use mio::net::TcpStream;
use plane::Micros;

/// Pieces written with one call.
const PIECES: usize = 32;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is being dialled, until then at the latest.
    Rising(Micros),
    /// It is up.
    Up,
    /// Its user has let go of it: what waits is still written, until then at the latest.
    Closing(Micros),
}

/// A connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Its user's number.
    pub(crate) tag: usize,
    pub(crate) stage: Stage,
    queue: VecDeque<Arc<[u8]>>,
    /// Bytes of the first piece that were written.
    written: usize,
    /// There may be something to read.
    pub(crate) readable: bool,
    /// The other side has ended, behind what there is to read.
    pub(crate) over: bool,
    /// The socket may take more.
    pub(crate) writable: bool,
    /// Its user does not want to read now.
    pub(crate) held: bool,
    /// It stands in the line of those to be looked at.
    pub(crate) in_line: bool,
    /// It stands in the line of those to be written to.
    pub(crate) is_due: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, tag: usize, stage: Stage) -> Connection {
        Connection {
            stream,
            tag,
            stage,
            queue: VecDeque::new(),
            written: 0,
            readable: false,
            over: false,
            writable: stage == Stage::Up,
            held: false,
            in_line: false,
            is_due: false,
        }
    }

    pub(crate) fn push(&mut self, bytes: Arc<[u8]>) {
        if !bytes.is_empty() {
            self.queue.push_back(bytes);
        }
    }

    /// Whether all was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Writes as much as the socket takes; how many bytes.
    pub(crate) fn flush(&mut self) -> io::Result<usize> {
        let mut all = 0;
        while self.writable && !self.queue.is_empty() {
            match self.write_some() {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.advance(n);
                    all += n;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(all)
    }

    fn write_some(&mut self) -> io::Result<usize> {
        let pieces = self.queue.iter().take(PIECES);
        let mut slices: Vec<IoSlice> = pieces.map(|piece| IoSlice::new(piece)).collect();
        if let Some(first) = slices.first_mut() {
            first.advance(self.written);
        }
        self.stream.write_vectored(&slices)
    }

    fn advance(&mut self, mut bytes: usize) {
        while let Some(first) = self.queue.front() {
            let rest = first.len() - self.written;
            if bytes < rest {
                self.written += bytes;
                return;
            }
            bytes -= rest;
            self.written = 0;
            self.queue.pop_front();
        }
    }
}
