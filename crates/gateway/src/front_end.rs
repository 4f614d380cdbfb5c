//! The front end: client connections.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use limits::{AdmissionControl, OpenResult};
use may::net::{TcpListener, TcpStream};
use nvme::{GatherList, Output, PduSink, Session, Target};
use records::Clock;
use task::WorkBudget;

use crate::connection::{Connection, ConnectionId};
use crate::message::{Inbox, Message};
use crate::registration;
use transport::Outlet;

/// Bytes read at a time.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Size of the shortest answer that a session writes, in bytes.
const ANSWER_BYTES: usize = 24;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// State shared by all client connections.
pub(crate) struct FrontEnd {
    pub(crate) target: Mutex<Target>,
    pub(crate) clock: Clock,
    pub(crate) inbox: Inbox,
    pub(crate) client_limits: Mutex<AdmissionControl>,
    pub(crate) max_unsent_bytes: usize,
    pub(crate) digests: nvme::Digests,
    pub(crate) closing: AtomicBool,
}

impl FrontEnd {
    pub(crate) fn target(&self) -> std::sync::MutexGuard<'_, Target> {
        self.target.lock().unwrap_or_else(|p| p.into_inner())
    }

    pub(crate) fn client_limits(&self) -> std::sync::MutexGuard<'_, AdmissionControl> {
        self.client_limits.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Accepts connections until the gateway closes.
    pub(crate) fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut next_id = 0;
        while !self.closing.load(Ordering::Relaxed) {
            let (stream, from) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) => {
                    // Most likely out of file descriptors: existing connections go on, and some of them will
                    // close.
                    tracing::warn!(%error, "a connection could not be accepted");
                    // A plain sleep blocks one of the threads briefly; a timed wait of the runtime might
                    // never end (see `transport::Ticker`).
                    std::thread::sleep(ACCEPT_RETRY_PAUSE);
                    continue;
                }
            };
            if self.closing.load(Ordering::Relaxed) {
                return;
            }
            next_id += 1;
            let (front_end, id) = (self.clone(), ConnectionId(next_id));
            match self.client_limits().open(self.clock.now(), id, from.ip()) {
                OpenResult::Accepted => {}
                OpenResult::AcceptedInPlaceOf(other) => self.inbox.send(Message::Evict(other)),
                OpenResult::Rejected(limit) => {
                    tracing::warn!(over = %limit, %from, "a connection is closed");
                    continue;
                }
            }
            if let Err(error) = task::spawn("front", move || front_end.serve(stream, id)) {
                self.client_limits().close(id);
                tracing::warn!(%error, "cannot start a coroutine for a connection");
            }
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, id: ConnectionId) {
        let outlet = stream.set_nodelay(true).and_then(|()| Outlet::new(&stream, self.max_unsent_bytes));
        match outlet {
            Ok(outlet) => self.run_session(&mut stream, id, Arc::new(outlet)),
            Err(error) => tracing::warn!(%error, "cannot set up a connection"),
        }
        self.client_limits().close(id);
    }

    fn run_session(&self, stream: &mut TcpStream, id: ConnectionId, outlet: Arc<Outlet>) {
        let session = Session::new(&self.target(), self.digests);
        let connection = Arc::new(Connection::new(id, outlet, session));
        let register_connection = || self.inbox.send(Message::Opened(connection.clone()));
        if registration::register(&self.client_limits, id, register_connection) {
            // A panic ends this connection alone, like any other end of it.
            let _ = panics::contain(|| self.read(stream, &connection));
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

    /// Reads until the connection ends.
    fn read(&self, stream: &mut TcpStream, connection: &Arc<Connection>) {
        let mut buffer = vec![0; READ_BUFFER_BYTES].into_boxed_slice();
        let mut budget = WorkBudget::default();
        let mut keep_open = true;
        while keep_open {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(n) => keep_open = self.handle_received(connection, &buffer[..n], &mut budget),
            }
        }
    }

    /// Handles received bytes of a connection. Returns whether to keep it open.
    fn handle_received(&self, connection: &Arc<Connection>, bytes: &[u8], budget: &mut WorkBudget) -> bool {
        panics::test_point("front");
        let (mut out, mut outputs) = (BytesMut::new(), Vec::new());
        {
            let mut session = connection.session();
            session.receive(bytes, self.clock.now(), &mut self.target(), &mut out, &mut outputs);
        }
        let units = bytes.len() / WorkBudget::BYTES_PER_UNIT + out.len() / ANSWER_BYTES + outputs.len();
        let mut answers = GatherList::new();
        answers.append_copy(&out);
        connection.outlet.push(answers);
        let mut keep_open = true;
        for output in outputs {
            match output {
                Output::Command(command) => self.inbox.send(Message::Command(connection.id, command)),
                Output::Abort { cid, sqid, target } => {
                    self.inbox.send(Message::Abort { connection: connection.id, cid, sqid, victim: target });
                }
                Output::Bound(admission) => {
                    let host = self.target().host(admission.cntlid).unwrap_or_default().to_owned();
                    // `establish` returns false if admission control has evicted the connection meanwhile: it
                    // must be closed.
                    keep_open &= self.client_limits().establish(connection.id, &host);
                    self.inbox.send(Message::Bound(connection.id, admission, host.into()));
                }
                Output::Ended(cntlid) => self.inbox.send(Message::AssociationEnded(cntlid)),
                Output::Close(reason) => {
                    if let Some(reason) = reason {
                        tracing::info!(%reason, "terminating a client's connection");
                    }
                    keep_open = false;
                }
            }
        }
        // A host that writes at full speed would otherwise keep all others' sockets from being noticed.
        budget.spend(units);
        keep_open
    }
}
