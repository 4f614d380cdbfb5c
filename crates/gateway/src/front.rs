//! The front: clients' connections.

use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use may::net::{TcpListener, TcpStream};
use nvme::{Completion, GatherList, Output, PduSink, Session, Target};
use records::Clock;

use crate::engine::{Inbox, Message};
use crate::outlet::Outlet;

/// Bytes read at a time.
const READ: usize = 32 * 1024;

/// A connection's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// A client's connection, as the engine and its reader share it.
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) outlet: Arc<Outlet>,
    session: Mutex<Session>,
}

/// What all connections have in common.
pub(crate) struct Front {
    pub(crate) target: Mutex<Target>,
    pub(crate) clock: Clock,
    pub(crate) inbox: Inbox,
    pub(crate) connections: AtomicUsize,
    pub(crate) most: usize,
    pub(crate) spill: usize,
    pub(crate) digests: nvme::Digests,
    pub(crate) closing: AtomicBool,
}

impl Front {
    pub(crate) fn target(&self) -> std::sync::MutexGuard<'_, Target> {
        self.target.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Accepts until the front closes.
    pub(crate) fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut next = 0;
        while !self.closing.load(Ordering::Relaxed) {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Out of descriptors, most likely: those that are served go on, and some will close.
                    tracing::warn!(%error, "a connection could not be accepted");
                    // A plain sleep holds up one of the threads for a moment; a timed wait might never end (ticker.rs).
                    std::thread::sleep(std::time::Duration::from_millis(5));
                    continue;
                }
            };
            if self.closing.load(Ordering::Relaxed) {
                return;
            }
            if self.connections.fetch_add(1, Ordering::Relaxed) >= self.most {
                self.connections.fetch_sub(1, Ordering::Relaxed);
                tracing::warn!(most = self.most, "a connection over the limit is closed");
                continue;
            }
            next += 1;
            let (front, id) = (self.clone(), ConnectionId(next));
            if let Err(error) = task::spawn("front", move || front.serve(stream, id)) {
                self.connections.fetch_sub(1, Ordering::Relaxed);
                tracing::warn!(%error, "no coroutine for a connection");
            }
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, id: ConnectionId) {
        let outlet = stream.set_nodelay(true).and_then(|()| Outlet::new(&stream, self.spill));
        match outlet {
            Ok(outlet) => self.converse(&mut stream, id, Arc::new(outlet)),
            Err(error) => tracing::warn!(%error, "a connection could not be set up"),
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    fn converse(&self, stream: &mut TcpStream, id: ConnectionId, outlet: Arc<Outlet>) {
        let session = Mutex::new(Session::new(&self.target(), self.digests));
        let connection = Arc::new(Connection { id, outlet, session });
        self.inbox.send(Message::Opened(connection.clone()));
        let mut buffer = vec![0; READ].into_boxed_slice();
        loop {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    if !self.received(&connection, &buffer[..n]) {
                        break;
                    }
                }
            }
        }
        let mut outputs = Vec::new();
        connection.session().closed(&mut self.target(), &mut outputs);
        for output in outputs {
            if let Output::Ended(cntlid) = output {
                self.inbox.send(Message::AssociationEnded(cntlid));
            }
        }
        self.inbox.send(Message::Closed(id));
        connection.outlet.finish();
    }

    /// Handles bytes of a connection; whether it goes on.
    fn received(&self, connection: &Arc<Connection>, bytes: &[u8]) -> bool {
        let (mut out, mut outputs) = (BytesMut::new(), Vec::new());
        {
            let mut session = connection.session();
            session.receive(bytes, self.clock.now(), &mut self.target(), &mut out, &mut outputs);
        }
        let mut answers = GatherList::new();
        answers.copy(&out);
        connection.outlet.push(answers);
        let mut goes_on = true;
        for output in outputs {
            match output {
                Output::Command(command) => self.inbox.send(Message::Command(connection.id, command)),
                Output::Abort { cid, sqid, target } => {
                    self.inbox.send(Message::Abort { connection: connection.id, cid, sqid, victim: target });
                }
                Output::Bound(admission) => self.inbox.send(Message::Bound(connection.id, admission)),
                Output::Ended(cntlid) => self.inbox.send(Message::AssociationEnded(cntlid)),
                Output::Close(reason) => {
                    if let Some(reason) = reason {
                        tracing::info!(%reason, "a client's connection is terminated");
                    }
                    goes_on = false;
                }
            }
        }
        goes_on
    }
}

impl Connection {
    fn session(&self) -> std::sync::MutexGuard<'_, Session> {
        self.session.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Answers a command. The status is cut to what the host asked to be told. The answer goes out with the next flush;
    /// whether one is due.
    pub(crate) fn complete(&self, cid: u16, mut completion: Completion, front: &Front) -> bool {
        let mut session = self.session();
        if !completion.status.is_success() {
            completion.status = session.allowed(completion.status, &mut front.target());
        }
        self.outlet.append(|out| {
            session.complete(cid, completion, out);
        })
    }
}
