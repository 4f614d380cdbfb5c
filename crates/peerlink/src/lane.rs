//! What the two threads of one connection do; without its socket and without the threads.
//!
//! - Pieces are written in the order given. What was given before the giver's end is still written; then the connection ends.
//! - *Taken* is told of a piece after all of it was written, and of no other.
//! - *Ended* is told once, by the reader, as its last word: whichever side ends first ends the connection for both. A *taken*
//!   may still come behind it, as the two threads have no order; the mesh passes over one of a connection that it has forgotten.

use std::io;

use sync::{QueueReceiver, injected};

/// Bytes read at a time.
const READ: usize = 16 << 10;

/// The connection as its threads see it.
pub(crate) trait Way {
    /// Waits for bytes; 0 at the end.
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes all, or fails: at the latest when the other side has taken nothing for a stated time.
    fn write_all(&self, bytes: &[u8]) -> io::Result<()>;

    /// Ends it both ways; whoever waits for it returns.
    fn end(&self);
}

/// What is told of a connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// Bytes came.
    Bytes(Vec<u8>),
    /// So many bytes were written.
    Taken(usize),
    /// It has ended.
    Ended,
}

/// Reads until the end. `tell` says whether anybody listens.
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

/// Writes what is given, until there is no more or the connection breaks; then ends it, so that its reader tells.
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
