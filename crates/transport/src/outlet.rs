//! A connection's way out, which never makes its user wait.

use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::Arc;

use gather::GatherList;
use may::io::CoIo;

use crate::spill::{Spill, Way};

/// Pieces handed to the system in one call.
const PIECES: usize = 64;
/// Bytes that the writer of a rest takes at a time.
const CHUNK: usize = 64 * 1024;

/// Writes at once as far as the socket takes it; the rest is written by a coroutine that lives as long as there is a
/// rest. Danger: a peer that stops reading must hold up nobody else. What is kept for it is bounded; beyond that its
/// connection is closed. Harm: a peer slower than its own answers for long loses its connection.
#[derive(Debug)]
pub struct Outlet {
    spill: Spill<Socket>,
}

/// The connection's socket, which does not block.
#[derive(Debug)]
struct Socket(Arc<TcpStream>);

impl Outlet {
    /// The way out of a connection of the runtime's, on a second descriptor. `limit`: most bytes kept.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn new(stream: &may::net::TcpStream, limit: usize) -> io::Result<Self> {
        Ok(Outlet::over(Arc::new(stream.inner().try_clone()?), limit))
    }

    /// The way out of a connection that shares its descriptor with whoever reads. Its socket must not block.
    pub fn over(stream: Arc<TcpStream>, limit: usize) -> Self {
        Outlet { spill: Spill::new(Socket(stream), limit) }
    }

    /// The same for an owner that flushes again, by and by, whatever [is starved](Outlet::is_starved).
    pub fn retried(stream: Arc<TcpStream>, limit: usize) -> Self {
        Outlet { spill: Spill::new(Socket(stream), limit).retried() }
    }

    /// Whether something waits that no writer could be started for: there was no descriptor.
    pub fn is_starved(&self) -> bool {
        self.spill.is_starved()
    }

    /// Whether the connection was closed, or broke, with something unwritten. It says so only if that is sure.
    pub fn was_cut(&self) -> bool {
        self.spill.was_cut()
    }

    /// Whether something that was to be written may not have been taken by the system yet.
    pub fn is_pending(&self) -> bool {
        self.spill.is_pending()
    }

    /// Writes bytes, now or by and by, in the order of the calls.
    pub fn push(self: &Arc<Self>, bytes: GatherList) {
        if !bytes.is_empty() {
            self.append(|rest| rest.append(bytes));
            self.flush();
        }
    }

    /// Appends bytes that go out with the next [`Outlet::flush`]. Whether one is due: many answers of one batch then
    /// cost one call into the system.
    pub fn append(&self, write: impl FnOnce(&mut GatherList)) -> bool {
        self.spill.append(write)
    }

    /// Writes what was appended, as far as the socket takes it.
    pub fn flush(self: &Arc<Self>) {
        self.spill.flush(|| self.start());
    }

    /// Closes once everything appended so far is written.
    pub fn finish(self: &Arc<Self>) {
        self.spill.last(Shutdown::Both, || self.start());
    }

    /// Says that nothing more will be written, once everything appended so far is. The other way stays open.
    pub fn end_writing(self: &Arc<Self>) {
        self.spill.last(Shutdown::Write, || self.start());
    }

    /// Closes now.
    pub fn close(&self) {
        self.spill.close();
    }

    fn start(self: &Arc<Self>) -> io::Result<()> {
        let outlet = self.clone();
        // The writer waits on a descriptor of its own: the reader may be waiting on the other.
        let own = Arc::new(self.spill.way().0.try_clone()?);
        let waits = CoIo::new(Held(own.clone())).map_err(io::Error::from)?;
        task::spawn("outlet", move || {
            outlet.drain(waits);
            drop(own);
        })
    }

    fn drain(&self, mut own: CoIo<Held>) {
        while let Some(chunk) = self.spill.next(CHUNK) {
            if own.write_all(&chunk).is_err() {
                self.spill.failed();
            }
        }
    }
}

impl Way for Socket {
    fn write_now(&self, rest: &mut GatherList) -> io::Result<()> {
        write_now(&self.0, rest)
    }

    fn shut(&self, how: Shutdown) {
        // The peer may have gone already; then there is nothing left to close.
        let _ = self.0.shutdown(how);
    }
}

/// A descriptor that outlives its registration with the runtime.
///
/// Danger: `CoIo` closes its descriptor before it takes it out of the poller. As the connection's other descriptor keeps the
/// socket open, the registration would stay, and its events would name a coroutine that is gone (seen as a crash of the
/// process under load). So another owner keeps the descriptor open until the `CoIo` is gone.
#[derive(Debug)]
pub struct Held(pub Arc<TcpStream>);

impl AsRawFd for Held {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}

impl Write for Held {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        (&*self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what the socket takes without waiting.
fn write_now(mut stream: &TcpStream, rest: &mut GatherList) -> io::Result<()> {
    while !rest.is_empty() {
        let mut slices = [IoSlice::new(&[]); PIECES];
        let count = rest.slices(&mut slices);
        match stream.write_vectored(&slices[..count]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => rest.advance(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
