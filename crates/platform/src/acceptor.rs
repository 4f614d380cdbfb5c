//! The listener for client connections.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::Arc;
use std::sync::Mutex;

use may::io::{CoIo, WaitIo};
use may::sync::Semphore;
use may::sync::mpsc::Sender;
use nix::errno::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::gateway::Message;

/// Length of the system's accept queue.
const BACKLOG: i32 = 1024;

/// Accepts connections, one for each permit.
pub(crate) struct Acceptor {
    address: SocketAddr,
    permits: Semphore,
    /// The gateway's own connection, which marks the end of the accept queue.
    own_connection: Mutex<Option<TcpStream>>,
}

impl Acceptor {
    /// Binds the address; returns the acceptor and the socket to start it with.
    pub(crate) fn open(address: SocketAddr) -> io::Result<(Arc<Acceptor>, TcpListener)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // A gateway that was killed restarts on its address while its old connections are still in TIME_WAIT.
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener: TcpListener = socket.into();
        let address = listener.local_addr()?;
        let acceptor = Acceptor { address, permits: Semphore::new(0), own_connection: Mutex::new(None) };
        Ok((Arc::new(acceptor), listener))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Issues a permit for one more connection.
    pub(crate) fn issue_permit(&self) {
        self.permits.post();
    }

    /// Accepts the connections that are in the system's queue and no more.
    ///
    /// A connection that the system has accepted and the gateway never takes is lost together with its
    /// request. The gateway therefore connects to itself: its own connection is behind all others and ends
    /// the accepting. The connect doesn't block, as a full queue would hold up all connections being served.
    pub(crate) fn close(&self) {
        let mut slot = self.own_connection.lock().unwrap_or_else(|p| p.into_inner());
        let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, Some(Protocol::TCP));
        let connecting = socket.and_then(|socket| {
            socket.set_nonblocking(true)?;
            // While connecting it already has its local address, by which it is recognised when accepted.
            match socket.connect(&self.address.into()) {
                Err(e) if e.raw_os_error() != Some(Errno::EINPROGRESS as i32) => Err(e),
                _ => Ok(socket.into()),
            }
        });
        match connecting {
            Ok(stream) => *slot = Some(stream),
            Err(error) => {
                tracing::warn!(%error, "cannot accept the rest of the queue before closing the listener")
            }
        }
    }

    pub(crate) fn start(self: &Arc<Self>, listener: TcpListener, inbox: Sender<Message>) -> io::Result<()> {
        let acceptor = self.clone();
        task::spawn("door", move || {
            acceptor.accept(&listener, &inbox);
            drop(listener);
            let _ = inbox.send(Message::ListenerClosed); // The engine ends last.
        })
    }

    /// Accepts until the gateway's own connection arrives; the listener is closed after that, so that nobody
    /// waits in its queue in vain.
    fn accept(&self, listener: &TcpListener, inbox: &Sender<Message>) {
        let Ok(io) = CoIo::new(ListenerFd(listener)) else { return };
        let mut closing = false;
        'next: loop {
            if !closing {
                self.permits.wait();
            }
            let (stream, from) = loop {
                match listener.accept() {
                    Ok(accepted) => break accepted,
                    Err(_) if closing => return,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        io.wait_io();
                    }
                    // The connection ended before it was accepted.
                    Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                    // Retrying without a descriptor would hold up the connections being served. The machine
                    // issues another permit later; the next client waits for that.
                    Err(error) => {
                        tracing::warn!(%error, "a connection could not be accepted");
                        let _ = inbox.send(Message::AcceptFailed);
                        continue 'next;
                    }
                }
            };
            let own_address = self
                .own_connection
                .lock()
                .unwrap_or_else(|p| p.into_inner())
                .as_ref()
                .map(TcpStream::local_addr);
            if own_address.is_some_and(|own| own.is_ok_and(|own| own == from)) {
                // Connections queued behind it in the meantime are still accepted.
                closing = true;
                continue;
            }
            if stream.set_nonblocking(true).is_ok() && inbox.send(Message::Accepted(stream)).is_err() {
                return;
            }
        }
    }
}

/// The listener's descriptor in the form that the coroutine waits on.
struct ListenerFd<'a>(&'a TcpListener);

impl AsRawFd for ListenerFd<'_> {
    fn as_raw_fd(&self) -> RawFd {
        self.0.as_raw_fd()
    }
}
