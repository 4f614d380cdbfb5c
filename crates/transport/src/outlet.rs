//! The outgoing side of a connection, which never blocks its user.

use std::fmt;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::Arc;

use gather::GatherList;
use may::io::{CoIo, WaitIo};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::send_buffer::{SendBuffer, WriteSide};

/// Most slices passed to the system in one call.
const MAX_SLICES: usize = 64;
/// Bytes that the writer coroutine takes at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Writes as much as the socket accepts immediately. The remainder is written by a coroutine that lives as
/// long as there is a remainder.
///
/// A peer that stops reading must not hold up anyone else, so the data buffered for it is limited; beyond the
/// limit its connection is closed. The cost is that a peer which stays slower than its own answers for long
/// loses its connection.
#[derive(Debug)]
pub struct Outlet {
    send_buffer: SendBuffer<Socket>,
    on_writable: Option<WritableListener>,
}

/// Called when the socket accepts data again.
struct WritableListener(Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for WritableListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WritableListener")
    }
}

/// The connection's non-blocking socket.
#[derive(Debug)]
struct Socket(Arc<TcpStream>);

impl Outlet {
    /// The outlet of a connection of the coroutine runtime, on a duplicated descriptor. `limit` is the most
    /// bytes buffered.
    ///
    /// # Errors
    ///
    /// No descriptor is left.
    pub fn new(stream: &may::net::TcpStream, limit: usize) -> io::Result<Self> {
        Ok(Outlet::from_shared(Arc::new(stream.inner().try_clone()?), limit))
    }

    /// Like [`Outlet::new`], for a user of [`Outlet::write_batch`]: `on_writable` is called each time that a writer
    /// has ended: the socket had not accepted everything, has got the remainder and accepts more, or is closed.
    /// It must not block.
    ///
    /// # Errors
    ///
    /// No descriptor is left.
    pub fn with_writable_listener(
        stream: &may::net::TcpStream,
        limit: usize,
        on_writable: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let outlet = Outlet::new(stream, limit)?;
        Ok(Outlet { on_writable: Some(WritableListener(Box::new(on_writable))), ..outlet })
    }

    /// The outlet of a connection whose descriptor is shared with its reader. The socket must be
    /// non-blocking.
    pub fn from_shared(stream: Arc<TcpStream>, limit: usize) -> Self {
        Outlet { send_buffer: SendBuffer::new(Socket(stream), limit), on_writable: None }
    }

    /// Like [`Outlet::from_shared`], for an owner that regularly flushes any outlet that [is
    /// starved](Outlet::is_starved).
    pub fn from_shared_with_owner_flushes(stream: Arc<TcpStream>, limit: usize) -> Self {
        let send_buffer = SendBuffer::new(Socket(stream), limit).with_owner_flushes();
        Outlet { send_buffer, on_writable: None }
    }

    /// Whether data waits for which no writer could be started for lack of a descriptor.
    pub fn is_starved(&self) -> bool {
        self.send_buffer.is_starved()
    }

    /// Whether the connection was closed or broke with data certainly unwritten.
    pub fn was_cut(&self) -> bool {
        self.send_buffer.was_cut()
    }

    /// Whether some data may not have been accepted by the system yet.
    pub fn is_pending(&self) -> bool {
        self.send_buffer.is_pending()
    }

    /// Whether a batch may be written now.
    pub fn has_room(&self) -> bool {
        self.send_buffer.has_room()
    }

    /// Number of bytes that the system may not have accepted yet; of the chunk that the writer holds, its largest
    /// size counts.
    pub fn pending_bytes(&self) -> usize {
        self.send_buffer.pending_bytes(CHUNK_BYTES)
    }

    /// Writes bytes, immediately or later, in the order of the calls.
    pub fn push(self: &Arc<Self>, bytes: GatherList) {
        if !bytes.is_empty() {
            self.send_buffer.push(bytes, || self.start_writer());
        }
    }

    /// Buffers bytes until the next [`Outlet::flush`]. Returns whether a flush is needed, so that many
    /// answers of one batch cost a single system call.
    pub fn append(&self, write: impl FnOnce(&mut GatherList)) -> bool {
        self.send_buffer.append(write)
    }

    /// Writes a batch of messages as far as the socket accepts them, if it [has room](Outlet::has_room). `ends` holds the offset of the end of each message in the batch. Returns how many of them, from
    /// the first on, have begun: the system has accepted at least one byte of each. Nothing of the others is or
    /// will be written.
    pub fn write_batch(self: &Arc<Self>, batch: GatherList, ends: &[usize]) -> usize {
        self.send_buffer.write_batch(batch, ends, || self.start_writer())
    }

    /// Writes the buffered data, as far as the socket accepts it.
    pub fn flush(self: &Arc<Self>) {
        self.send_buffer.flush(|| self.start_writer());
    }

    /// Closes the connection once everything buffered so far is written.
    pub fn finish(self: &Arc<Self>) {
        self.send_buffer.shutdown_when_written(Shutdown::Both, || self.start_writer());
    }

    /// Shuts down the writing side once everything buffered so far is written. The reading side stays open.
    pub fn finish_writing(self: &Arc<Self>) {
        self.send_buffer.shutdown_when_written(Shutdown::Write, || self.start_writer());
    }

    /// Closes the connection immediately, discarding buffered data.
    pub fn close(&self) {
        self.send_buffer.close();
    }

    fn start_writer(self: &Arc<Self>) -> io::Result<()> {
        let outlet = self.clone();
        // The writer waits on a descriptor of its own, because the reader may be waiting on the other one.
        let descriptor = Arc::new(self.send_buffer.socket().0.try_clone()?);
        let writer = CoIo::new(SharedDescriptor(descriptor.clone())).map_err(io::Error::from)?;
        task::spawn("outlet", move || {
            if panics::contain(|| outlet.write_pending(writer, &descriptor)).is_err() {
                outlet.close();
            }
            drop(descriptor);
            outlet.send_buffer.room_found();
            // Each writer that ends tells, as another may have kept the listener from writing when it was told.
            if let Some(WritableListener(on_writable)) = &outlet.on_writable {
                on_writable();
            }
        })
    }

    /// Writes what is buffered, and waits until the socket accepts more if a batch was not accepted whole.
    fn write_pending(&self, mut writer: CoIo<SharedDescriptor>, stream: &TcpStream) {
        while let Some(chunk) = self.send_buffer.next_chunk(CHUNK_BYTES) {
            if writer.write_all(&chunk).is_err() {
                self.send_buffer.writer_failed();
            }
        }
        while self.send_buffer.is_awaiting_room() && !is_writable(stream) {
            writer.wait_io();
        }
    }
}

impl WriteSide for Socket {
    fn write_now(&self, pending: &mut GatherList) -> io::Result<()> {
        write_now(&self.0, pending)
    }

    fn shut_down(&self, how: Shutdown) {
        // The peer may have gone already; then there is nothing left to close.
        let _ = self.0.shutdown(how);
    }
}

/// A descriptor that outlives its registration with the runtime.
///
/// `CoIo` closes its descriptor before it deregisters it from the poller. Since the connection's other
/// descriptor keeps the socket open, the registration would remain, and its events would refer to a coroutine
/// that no longer exists (seen as a crash of the process under load). Therefore a second owner keeps the
/// descriptor open until the `CoIo` is gone.
#[derive(Debug)]
pub struct SharedDescriptor(pub Arc<TcpStream>);

impl AsRawFd for SharedDescriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}

impl Write for SharedDescriptor {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        (&*self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether the socket accepts data, or never will again. A socket that cannot be asked counts as writable: the
/// next write shows what is wrong with it.
fn is_writable(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream, PollFlags::OUT)];
    poll(&mut descriptors, Some(&Timespec::default())) != Ok(0)
}

/// Writes as much as the socket accepts without blocking.
fn write_now(mut stream: &TcpStream, pending: &mut GatherList) -> io::Result<()> {
    while !pending.is_empty() {
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = pending.slices(&mut slices);
        match stream.write_vectored(&slices[..count]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => pending.advance(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
