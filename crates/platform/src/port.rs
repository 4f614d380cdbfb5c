//! A connection under the runtime: one descriptor, read by a coroutine of its own.

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::sync::Semphore;
use may::sync::mpsc::Sender;
use nix::errno::Errno;
use records::Clock;
use socket2::{Domain, Protocol, Socket, Type};
use transport::{Outlet, SharedDescriptor};

use crate::gateway::Message;
use crate::socket::{End, SocketId};

/// Bytes read at a time.
const READ: usize = 16 << 10;
/// Bytes that wait for a peer which does not read, at most, beside one answer of the largest kind.
const SPILL: usize = 128 << 10;

/// A connection, as the engine and its reader share it.
pub(crate) struct Port {
    pub(crate) socket: SocketId,
    /// Tells it from another one under the same name.
    pub(crate) serial: u64,
    stream: Arc<TcpStream>,
    pub(crate) outlet: Arc<Outlet>,
    closed: AtomicBool,
    /// Its reader has read something, or its end, that the engine has not looked at yet.
    unheard: AtomicBool,
    /// The reader goes on.
    credit: Semphore,
    /// Wakes the reader where it waits for its socket; there once it has begun.
    waker: Mutex<Option<WaitIoWaker>>,
}

impl Port {
    /// A port over a connection whose socket does not block. `answer`: bytes of the longest answer it may be given.
    pub(crate) fn new(
        socket: SocketId,
        serial: u64,
        stream: TcpStream,
        answer: usize,
    ) -> io::Result<Arc<Port>> {
        stream.set_nodelay(true)?;
        Ok(Port::over(socket, serial, stream, answer))
    }

    fn over(socket: SocketId, serial: u64, stream: TcpStream, answer: usize) -> Arc<Port> {
        let stream = Arc::new(stream);
        let outlet = Arc::new(Outlet::from_shared_with_owner_flushes(stream.clone(), answer + SPILL));
        let (closed, unheard) = (AtomicBool::new(false), AtomicBool::new(false));
        let (credit, waker) = (Semphore::new(0), Mutex::new(None));
        Arc::new(Port { socket, serial, stream, outlet, closed, unheard, credit, waker })
    }

    /// Begins to connect.
    pub(crate) fn connect(socket: SocketId, serial: u64, address: SocketAddr) -> io::Result<Arc<Port>> {
        let own = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        own.set_nonblocking(true)?;
        match own.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(Errno::EINPROGRESS as i32) => Err(e),
            _ => Port::new(socket, serial, own.into(), 0),
        }
    }

    /// Whether it is up already.
    pub(crate) fn is_up(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Nothing has come on it that the engine has not looked at, its end included.
    ///
    /// Danger: what its reader has taken from the socket, and which is on its way to the engine, does not show on the socket. A second
    /// answer that came together with the next request was there, and that request was served with it. Harm: none.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.unheard.load(Ordering::SeqCst)
            && self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Nothing more can come on it: the peer has ended it, and all before that was read.
    fn is_over(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Nothing is under way on it: nothing came that was not read, and all that was to be written has gone out.
    pub(crate) fn is_at_rest(&self) -> bool {
        !self.outlet.is_pending() && self.is_quiet()
    }

    /// Starts its reader. `rising`: it reports first when the connection is up.
    pub(crate) fn start(
        self: &Arc<Self>,
        clock: Clock,
        inbox: Sender<Message>,
        rising: bool,
    ) -> io::Result<()> {
        let port = self.clone();
        task::spawn("port", move || {
            let end = port.read(clock, &inbox, rising);
            port.unheard.store(true, Ordering::SeqCst);
            let end = port.ending(end);
            let (socket, serial) = (port.socket, port.serial);
            // The engine ends last; what comes after it concerns nobody.
            let _ = inbox.send(Message::Ended { socket, serial, end });
        })
    }

    /// How it ended, by what its reader saw and by what went out on it.
    ///
    /// Danger: a node that ends or dies under a request says that nothing more will come, and breaks the connection a moment later.
    /// Where the reader met the first and the writer not yet the second, an answer without a length counted as whole, to a
    /// request that its node never got whole. Harm: such an answer from a node that answers early is not served.
    fn ending(&self, seen: End) -> End {
        let is_early = seen == End::Orderly && self.is_to_node() && self.outlet.is_pending();
        if is_early {
            self.outlet.close();
        }
        match seen {
            _ if self.outlet.was_cut() => End::Cut,
            _ if is_early => End::Broken,
            seen => seen,
        }
    }

    fn is_to_node(&self) -> bool {
        matches!(self.socket, SocketId::Node(_))
    }

    /// Reads until it ends; how it did.
    fn read(&self, clock: Clock, inbox: &Sender<Message>, rising: bool) -> End {
        let Ok(io) = CoIo::new(SharedDescriptor(self.stream.clone())) else { return End::Broken };
        *self.waker.lock().unwrap_or_else(|p| p.into_inner()) = Some(io.waker());
        let (socket, serial) = (self.socket, self.serial);
        if rising {
            loop {
                match self.stream.take_error() {
                    Ok(None) if self.closed.load(Ordering::SeqCst) => return End::Broken,
                    Ok(None) if self.is_up() => break,
                    Ok(None) => io.wait_io(),
                    Ok(Some(_)) | Err(_) => return End::Broken,
                };
            }
            let _ = inbox.send(Message::Up { socket, serial });
        }
        // Danger: the system keeps what came before a connection was closed, so that there may still be something to read, and
        // a reader that hands it over waits for a leave that nobody gives: it holds its descriptor for ever. Harm: none.
        while !self.closed.load(Ordering::SeqCst) {
            // A buffer for this read only: a connection on which nothing comes holds none.
            let mut buffer = vec![0; READ];
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => return End::Orderly,
                // Danger: a client that asked and went while nobody read would be taken, and its attempt begun long after. Harm: none;
                // one that has closed its connection waits for nothing.
                Ok(_) if matches!(self.socket, SocketId::Client(_)) && self.is_over() => return End::Orderly,
                Ok(n) => {
                    self.unheard.store(true, Ordering::SeqCst);
                    let bytes = Bytes::copy_from_slice(&buffer[..n]);
                    drop(buffer);
                    let _ = inbox.send(Message::Bytes { socket, serial, at: clock.now(), bytes });
                    self.credit.wait();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    drop(buffer);
                    io.wait_io();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return End::Broken,
            }
        }
        End::Broken
    }

    /// Its reader goes on.
    pub(crate) fn resume(&self) {
        self.unheard.store(false, Ordering::SeqCst);
        self.credit.post();
    }

    /// Closes it; its reader ends.
    ///
    /// Danger: a reader that waits for a connection on its way up, or one whose peer is silent, need not be woken by the
    /// system when the connection is shut down under it; until it is, the descriptor does not come back, and the gateway
    /// that gave up many such ways runs out of them or accepts nobody. So it is woken here. Harm: none; a reader that wakes
    /// for nothing looks again.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.outlet.close();
        self.credit.post();
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

    /// The number of the netlink family.
    const NETLINK: i32 = 16;

    /// A socket that stays on its way up for ever and whose shutting down wakes nobody: the kernel's netlink sockets have
    /// no way to be shut down.
    fn deaf() -> TcpStream {
        let own = Socket::new(Domain::from(NETLINK), Type::DGRAM, None).expect("a socket");
        own.set_nonblocking(true).expect("a socket that does not block");
        own.into()
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

    #[test]
    fn a_way_up_that_is_given_up_ends_where_the_system_wakes_nobody() {
        task::init_runtime();
        let (inbox, messages) = channel();
        let node = SocketId::Node(1);
        let port = Port::over(node, 7, deaf(), 0);
        assert!(!port.is_up());
        port.start(Clock::new(), inbox, true).expect("a reader");
        while port.waker.lock().expect("its waker").is_none() {
            std::thread::yield_now();
        }
        // What is spawned behind the reader runs once that one waits: there is one worker.
        let (tell, told) = std::sync::mpsc::channel();
        task::spawn("behind", move || tell.send(()).expect("the test waits")).expect("a coroutine");
        told.recv().expect("it ran");
        port.close();
        assert!(matches!(wait(&messages), Message::Ended { socket, serial: 7, .. } if socket == node));
        assert_eq!(Arc::strong_count(&port.stream), 2, "the port's and its outlet's; the reader's is gone");
    }
}
