//! The front: clients' connections.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use limits::{Gate, Opened};
use may::net::{TcpListener, TcpStream};
use nvme::{GatherList, Output, PduSink, Session, Target};
use records::Clock;

use crate::connection::{Connection, ConnectionId};
use crate::entry;
use crate::message::{Inbox, Message};
use transport::Outlet;

/// Bytes read at a time.
const READ: usize = 32 * 1024;

/// What all connections have in common.
pub(crate) struct Front {
    pub(crate) target: Mutex<Target>,
    pub(crate) clock: Clock,
    pub(crate) inbox: Inbox,
    pub(crate) gate: Mutex<Gate>,
    pub(crate) spill: usize,
    pub(crate) digests: nvme::Digests,
    pub(crate) closing: AtomicBool,
}

impl Front {
    pub(crate) fn target(&self) -> std::sync::MutexGuard<'_, Target> {
        self.target.lock().unwrap_or_else(|p| p.into_inner())
    }

    pub(crate) fn gate(&self) -> std::sync::MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Accepts until the front closes.
    pub(crate) fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut next = 0;
        while !self.closing.load(Ordering::Relaxed) {
            let (stream, from) = match listener.accept() {
                Ok(accepted) => accepted,
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
            next += 1;
            let (front, id) = (self.clone(), ConnectionId(next));
            match self.gate().open(self.clock.now(), id, from.ip()) {
                Opened::Kept => {}
                Opened::InPlaceOf(other) => self.inbox.send(Message::Evict(other)),
                Opened::Closed(over) => {
                    tracing::warn!(%over, %from, "a connection is closed");
                    continue;
                }
            }
            if let Err(error) = task::spawn("front", move || front.serve(stream, id)) {
                self.gate().close(id);
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
        self.gate().close(id);
    }

    fn converse(&self, stream: &mut TcpStream, id: ConnectionId, outlet: Arc<Outlet>) {
        let session = Session::new(&self.target(), self.digests);
        let connection = Arc::new(Connection::new(id, outlet, session));
        let say = || self.inbox.send(Message::Opened(connection.clone()));
        let mut goes_on = entry::enter(&self.gate, id, say);
        let mut buffer = vec![0; READ].into_boxed_slice();
        while goes_on {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => goes_on = self.received(&connection, &buffer[..n]),
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
                Output::Bound(admission) => {
                    let host = self.target().host(admission.cntlid).unwrap_or_default().to_owned();
                    // One that was let go has nobody to count it any more.
                    goes_on &= self.gate().risen(connection.id, &host);
                    self.inbox.send(Message::Bound(connection.id, admission, host.into()));
                }
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
