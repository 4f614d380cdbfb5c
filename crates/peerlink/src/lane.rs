//! The loops of a connection's reader and writer thread, independent of sockets and threads.
//!
//! - Buffers are written in the order of the queue. Those queued before the sender is dropped are still written; then the
//!   connection is closed.
//! - `Taken` is reported for a buffer only after all of it was written.
//! - `Ended` is reported once, by the reader, as its last event: whichever side ends first closes the connection for both. A
//!   `Taken` may still follow, as the two threads are not ordered; the mesh ignores it for a connection it has removed.

use std::io;

use sync::{QueueReceiver, injected};

/// Size of the read buffer in bytes.
const READ: usize = 16 << 10;

/// The byte stream of a connection.
pub(crate) trait Way {
    /// Waits for bytes; returns 0 at the end of the stream.
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes all bytes, or fails at the latest after the write timeout without progress.
    fn write_all(&self, bytes: &[u8]) -> io::Result<()>;

    /// Closes both directions and wakes blocked readers and writers.
    fn end(&self);
}

/// An event on a connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// Bytes were received.
    Bytes(Vec<u8>),
    /// This number of bytes was written.
    Taken(usize),
    /// The connection was closed.
    Ended,
}

/// Reads until the connection ends. `tell` returns whether the receiver of events still exists.
pub(crate) fn read_in(way: &impl Way, tell: impl Fn(Came) -> bool) {
    let mut buffer = [0; READ];
    loop {
        match way.read(&mut buffer) {
            Ok(n) if n > 0 => {
                if !tell(Came::Bytes(buffer[..n].to_vec())) {
                    return;
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => {
                tell(Came::Ended);
                return;
            }
        }
    }
}

/// Writes queued buffers until the queue closes or a write fails, then closes the connection, so that the reader reports it.
pub(crate) fn write_out(way: &impl Way, pieces: &QueueReceiver<Vec<u8>>, tell: impl Fn(Came) -> bool) {
    while let Some(bytes) = pieces.receive() {
        if injected!(TakenBeforeWritten) {
            tell(Came::Taken(bytes.len()));
        }
        if way.write_all(&bytes).is_err() {
            if injected!(WriterFailureUnreported) {
                return;
            }
            break;
        }
        if !injected!(TakenBeforeWritten) {
            tell(Came::Taken(bytes.len()));
        }
    }
    way.end();
}
