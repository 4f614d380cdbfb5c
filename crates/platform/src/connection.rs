//! A TCP connection on the coroutine runtime: one descriptor, with a coroutine that reads it.

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::sync::Semphore;
use may::sync::mpsc::Sender;
use nix::errno::Errno;
use records::Clock;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};
use transport::{Outlet, SharedDescriptor};

use crate::gateway::Message;
use crate::input_budget::FREE_BYTES;
use crate::machine::READ_BYTES;
use crate::socket::{ConnectionEnd, SocketId};

/// Reads in a row after which other sockets get to deliver what they have.
const READS_IN_A_ROW: u32 = 4;
/// Maximum bytes queued for a peer that doesn't read, in addition to one response of maximum size.
const MAX_UNSENT: usize = 128 << 10;

/// A connection, shared by the engine and its reader.
pub(crate) struct Connection {
    pub(crate) socket: SocketId,
    /// Distinguishes it from an earlier connection with the same id.
    pub(crate) serial: u64,
    stream: Arc<TcpStream>,
    pub(crate) outlet: Arc<Outlet>,
    closed: AtomicBool,
    /// The reader has read data, or the end, which the engine hasn't handled yet.
    unhandled_input: AtomicBool,
    /// Lets the reader continue.
    read_permit: Semphore,
    /// Maximum number of bytes that the reader reads next.
    read_bytes: AtomicUsize,
    /// Wakes the reader while it waits for its socket; set once the reader has started.
    waker: Mutex<Option<WaitIoWaker>>,
}

impl Connection {
    /// Wraps a connected non-blocking socket. `max_response`: size of the largest response it may be given.
    pub(crate) fn new(
        socket: SocketId,
        serial: u64,
        stream: TcpStream,
        max_response: usize,
    ) -> io::Result<Arc<Connection>> {
        stream.set_nodelay(true)?;
        Ok(Connection::from_stream(socket, serial, stream, max_response))
    }

    fn from_stream(socket: SocketId, serial: u64, stream: TcpStream, max_response: usize) -> Arc<Connection> {
        let stream = Arc::new(stream);
        let outlet =
            Arc::new(Outlet::from_shared_with_owner_flushes(stream.clone(), max_response + MAX_UNSENT));
        let (closed, unhandled_input) = (AtomicBool::new(false), AtomicBool::new(false));
        let (read_permit, waker) = (Semphore::new(0), Mutex::new(None));
        // A client's first request needs no room beyond that.
        let first = if matches!(socket, SocketId::Client(_)) { FREE_BYTES } else { READ_BYTES };
        let read_bytes = AtomicUsize::new(first);
        Arc::new(Connection {
            socket,
            serial,
            stream,
            outlet,
            closed,
            unhandled_input,
            read_permit,
            read_bytes,
            waker,
        })
    }

    /// Starts connecting to an address.
    pub(crate) fn connect(socket: SocketId, serial: u64, address: SocketAddr) -> io::Result<Arc<Connection>> {
        let raw_socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        raw_socket.set_nonblocking(true)?;
        match raw_socket.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(Errno::EINPROGRESS as i32) => Err(e),
            _ => Connection::new(socket, serial, raw_socket.into(), 0),
        }
    }

    /// Whether the connection is established.
    pub(crate) fn is_established(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Whether no data and no end has arrived that the engine hasn't handled.
    ///
    /// Data that the reader has taken from the socket and that is on its way to the engine doesn't show on
    /// the socket. Without the flag, a second response that arrived together with the next request's dispatch
    /// was taken for that request's response.
    pub(crate) fn has_no_input(&self) -> bool {
        !self.unhandled_input.load(Ordering::SeqCst)
            && self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed the connection, or its side of it, whatever is still unread.
    pub(crate) fn has_peer_left(&self) -> bool {
        let left = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&*self.stream, left)];
        let is_reported = poll(&mut descriptors, Some(&Timespec::default())).is_ok_and(|count| count > 0);
        is_reported && descriptors[0].revents().intersects(left)
    }

    /// Whether a client has left with input that the engine has not handled, while it is not being read.
    pub(crate) fn has_left_unread(&self) -> bool {
        self.unhandled_input.load(Ordering::SeqCst) && self.has_peer_left()
    }

    /// Whether all input was handled and all output was written.
    pub(crate) fn is_idle(&self) -> bool {
        !self.outlet.is_pending() && self.has_no_input()
    }

    /// Starts the reader. `connecting`: it first reports when the connection is established.
    pub(crate) fn start(
        self: &Arc<Self>,
        clock: Clock,
        inbox: Sender<Message>,
        connecting: bool,
    ) -> io::Result<()> {
        let connection = self.clone();
        task::spawn("reader", move || {
            let end = panics::contain(|| connection.read(clock, &inbox, connecting));
            let end = end.unwrap_or(ConnectionEnd::Broken);
            connection.unhandled_input.store(true, Ordering::SeqCst);
            let end = connection.classify_end(end);
            let (socket, serial) = (connection.socket, connection.serial);
            // The engine ends last; a message after its end can be dropped.
            let _ = inbox.send(Message::Ended { socket, serial, end });
        })
    }

    /// Determines how the connection ended from what the reader saw and what was written.
    ///
    /// A node that exits or crashes during a request first closes its side and resets the connection a moment
    /// later. Where the reader had seen the first and the writer not yet the second, a response without a
    /// length counted as complete although its node never got the whole request. The cost is that such a
    /// response from a node that responds early isn't served.
    fn classify_end(&self, seen: ConnectionEnd) -> ConnectionEnd {
        let is_early = seen == ConnectionEnd::Orderly && self.is_to_node() && self.outlet.is_pending();
        if is_early {
            self.outlet.close();
        }
        match seen {
            _ if self.outlet.was_cut() => ConnectionEnd::Cut,
            _ if is_early => ConnectionEnd::Broken,
            seen => seen,
        }
    }

    fn is_to_node(&self) -> bool {
        matches!(self.socket, SocketId::Node(_))
    }

    /// Reads until the connection ends; returns how it ended.
    ///
    /// `Broken` also stands for a connection that this side closed or that was never established;
    /// [`Connection::classify_end`] turns it into `Cut` where output was certainly not sent in full.
    fn read(&self, clock: Clock, inbox: &Sender<Message>, connecting: bool) -> ConnectionEnd {
        let Ok(io) = CoIo::new(SharedDescriptor(self.stream.clone())) else { return ConnectionEnd::Broken };
        *self.waker.lock().unwrap_or_else(|p| p.into_inner()) = Some(io.waker());
        let (socket, serial) = (self.socket, self.serial);
        if connecting {
            loop {
                match self.stream.take_error() {
                    Ok(None) if self.closed.load(Ordering::SeqCst) => return ConnectionEnd::Broken,
                    Ok(None) if self.is_established() => break,
                    Ok(None) => io.wait_io(),
                    Ok(Some(_)) | Err(_) => return ConnectionEnd::Broken,
                };
            }
            let _ = inbox.send(Message::Established { socket, serial });
        }
        // After this side closed the connection, data may still be readable. The engine issues no more read
        // permits then, so a reader that delivered it would wait for ever and hold its descriptor.
        let mut reads_in_a_row = 0;
        while !self.closed.load(Ordering::SeqCst) {
            if reads_in_a_row >= READS_IN_A_ROW {
                task::yield_to_poller();
                reads_in_a_row = 0;
            }
            // The buffer is allocated per read, so that a connection without traffic holds none.
            let mut buffer = vec![0; self.read_bytes.load(Ordering::Relaxed)];
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => return ConnectionEnd::Orderly,
                // Input of a client that has already closed is dropped, however much of it is unread: a request
                // in it would be admitted late, and its attempt would run for nobody.
                Ok(_) if matches!(self.socket, SocketId::Client(_)) && self.has_peer_left() => {
                    return ConnectionEnd::Orderly;
                }
                Ok(n) => {
                    self.unhandled_input.store(true, Ordering::SeqCst);
                    let bytes = Bytes::copy_from_slice(&buffer[..n]);
                    drop(buffer);
                    let _ = inbox.send(Message::Received { socket, serial, at: clock.now(), bytes });
                    self.read_permit.wait();
                    reads_in_a_row += 1;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    drop(buffer);
                    io.wait_io();
                    reads_in_a_row = 0;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ConnectionEnd::Broken,
            }
        }
        ConnectionEnd::Broken
    }

    /// Lets the reader continue and read this many bytes at most.
    pub(crate) fn resume(&self, bytes: usize) {
        self.read_bytes.store(bytes, Ordering::Relaxed);
        self.unhandled_input.store(false, Ordering::SeqCst);
        self.read_permit.post();
    }

    /// Closes the connection; its reader ends.
    ///
    /// When the socket is shut down, the system need not wake a reader that waits for the connection to be
    /// established or whose peer is silent. Until it is woken, the descriptor isn't released, and a gateway
    /// that abandoned many such connections would run out of descriptors or accept nobody. The reader is
    /// therefore woken here; one that is woken needlessly checks again.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.outlet.close();
        self.read_permit.post();
        if let Some(waker) = &*self.waker.lock().unwrap_or_else(|p| p.into_inner()) {
            waker.wakeup();
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use may::sync::mpsc::{Receiver, channel};

    use super::*;

    /// Number of the netlink address family.
    const NETLINK: i32 = 16;

    /// A socket that never gets connected and whose shutdown wakes nobody: the kernel's netlink sockets can't
    /// be shut down.
    fn unconnectable_stream() -> TcpStream {
        let raw_socket = Socket::new(Domain::from(NETLINK), Type::DGRAM, None).expect("a socket");
        raw_socket.set_nonblocking(true).expect("a socket that does not block");
        raw_socket.into()
    }

    fn wait(inbox: &Receiver<Message>) -> Message {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(message) = inbox.try_recv() {
                return message;
            }
            assert!(Instant::now() < deadline, "its reader never ended");
            std::thread::yield_now();
        }
    }

    /// Guards against a client that has closed and is not noticed before all that it has sent is read.
    #[test]
    fn the_end_of_a_peer_is_seen_behind_unread_input() {
        use std::io::Write;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut peer = TcpStream::connect(address).expect("a connection");
        let (stream, _) = listener.accept().expect("the connection");
        stream.set_nonblocking(true).expect("a socket that does not block");
        let connection = Connection::from_stream(SocketId::Client(1), 1, stream, 0);
        peer.write_all(&[b'x'; 100]).expect("it is written");
        let deadline = Instant::now() + Duration::from_secs(20);
        while connection.has_no_input() {
            assert!(Instant::now() < deadline, "nothing arrived");
        }
        assert!(!connection.has_peer_left());
        drop(peer);
        while !connection.has_peer_left() {
            assert!(Instant::now() < deadline, "the end is not seen");
        }
        assert!(!connection.has_no_input(), "the input is still unread");
    }

    #[test]
    fn closing_a_connecting_socket_ends_its_reader_without_a_wakeup_from_the_system() {
        task::init_runtime();
        let (inbox, messages) = channel();
        let node = SocketId::Node(1);
        let connection = Connection::from_stream(node, 7, unconnectable_stream(), 0);
        assert!(!connection.is_established());
        connection.start(Clock::new(), inbox, true).expect("a reader");
        while connection.waker.lock().expect("its waker").is_none() {
            std::thread::yield_now();
        }
        // A coroutine spawned after the reader runs once the reader waits, as there is one worker.
        let (done, ran) = std::sync::mpsc::channel();
        task::spawn("after-reader", move || done.send(()).expect("the test waits")).expect("a coroutine");
        ran.recv().expect("it ran");
        connection.close();
        assert!(matches!(wait(&messages), Message::Ended { socket, serial: 7, .. } if socket == node));
        assert_eq!(
            Arc::strong_count(&connection.stream),
            2,
            "the connection's and its outlet's; the reader's is gone"
        );
    }
}
