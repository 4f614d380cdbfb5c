//! A connection to a node: an admin queue and an I/O queue, opened on demand and kept open.

mod command_queue;
mod connect;
mod replies;
mod write;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use decisions::{NodeId, Outcome};
use may::sync::Semphore;
use nvme::{GatherList, Initiator, Sqe, Submission, admin};
use storage_core::{AttemptEnd, AttemptId};

use crate::message::{Inbox, Message};
use crate::options::NodeConnectionOptions;
use command_queue::CommandQueue;
use transport::Outlet;
pub(crate) use write::Waiting;

/// Bytes read at a time.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Most bytes buffered for a node that does not read.
const MAX_UNSENT_BYTES: usize = 64 << 20;
/// Entries of the admin queue.
const ADMIN_QUEUE_ENTRIES: u32 = 8;
/// Most bytes that a node may send in one PDU.
const MAX_PDU_DATA: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not connected; the next send starts a connection attempt.
    Down,
    /// The handshake is in progress; sends wait for it.
    Connecting,
    Up,
    /// Closed for good: the node has another address or the gateway ends.
    Closed,
}

struct State {
    phase: Phase,
    /// When this phase began.
    since: Instant,
    queue: Option<CommandQueue>,
    admin: Option<(Initiator, Arc<Outlet>)>,
    /// When the last keep alive was sent.
    last_keep_alive: Instant,
    /// The socket whose handshake is in progress.
    connecting_socket: Option<std::net::TcpStream>,
    /// Attempts that wait to be written, oldest first; nothing but their ids is here. If the connection fails,
    /// they end as never sent.
    waiting: VecDeque<AttemptId>,
    /// Attempts in flight by submission number, with the time of submission.
    in_flight: HashMap<u64, (AttemptId, Instant)>,
    next_submission: u64,
}

/// A connection to one address of a node, which reconnects until it is closed.
pub(crate) struct NodeConnection {
    node: NodeId,
    pub(crate) address: SocketAddr,
    options: NodeConnectionOptions,
    host: String,
    host_id: [u8; 16],
    inbox: Inbox,
    state: Mutex<State>,
    connect_requested: Semphore,
}

impl NodeConnection {
    /// Starts the connection; it connects immediately.
    pub(crate) fn start(
        node: NodeId,
        address: SocketAddr,
        options: NodeConnectionOptions,
        host: String,
        host_id: [u8; 16],
        inbox: Inbox,
    ) -> io::Result<Arc<NodeConnection>> {
        let state = State {
            phase: Phase::Connecting,
            since: Instant::now(),
            queue: None,
            admin: None,
            last_keep_alive: Instant::now(),
            connecting_socket: None,
            waiting: VecDeque::new(),
            in_flight: HashMap::new(),
            next_submission: 0,
        };
        let connection = Arc::new(NodeConnection {
            node,
            address,
            options,
            host,
            host_id,
            inbox,
            state: Mutex::new(state),
            connect_requested: Semphore::new(0),
        });
        let runner = connection.clone();
        task::spawn("link", move || runner.run())?;
        Ok(connection)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// The phase, as shown to operators.
    pub(crate) fn phase(&self) -> &'static str {
        match self.state().phase {
            Phase::Down => "down",
            Phase::Connecting => "connecting",
            Phase::Up => "up",
            Phase::Closed => "over",
        }
    }

    /// Closes the connection for good. Attempts in flight may have run.
    pub(crate) fn close(&self) {
        let mut state = self.state();
        state.enter(Phase::Closed);
        close_queues(&mut state);
        drop(state);
        self.connect_requested.post();
    }

    fn run(self: Arc<Self>) {
        loop {
            // A panic here is a lost connection: attempts in flight may have run.
            let _ = panics::contain(|| self.connect_and_read());
            if self.clean_up() {
                return;
            }
            // A send triggers the next connection attempt immediately; without one, `check_timeouts` triggers
            // it after a pause.
            while self.connect_requested.try_wait() {}
            if self.state().phase == Phase::Down {
                self.connect_requested.wait();
            }
            let mut state = self.state();
            match state.phase {
                Phase::Closed => return,
                Phase::Connecting => {}
                Phase::Down | Phase::Up => state.enter(Phase::Connecting),
            }
        }
    }

    fn connect_and_read(self: &Arc<Self>) {
        match self.connect() {
            Ok(mut stream) => {
                tracing::info!(address = %self.address, "connected to node");
                self.read(&mut stream);
            }
            Err(error) => tracing::debug!(address = %self.address, %error, "cannot connect to node"),
        }
    }

    /// Enforces the connection's timeouts. It is called by the engine's housekeeping because no coroutine
    /// waits with a timeout (see `transport::Ticker`). A handshake that takes too long is ended together with
    /// the sends that wait for it; a reconnect pause ends; keep alives are sent, and a node that does not
    /// answer one within the keep alive timeout is disconnected.
    pub(crate) fn check_timeouts(&self) {
        let mut state = self.state();
        let mut expired = VecDeque::new();
        match state.phase {
            Phase::Connecting if state.since.elapsed() > self.options.connect_timeout => {
                expired = std::mem::take(&mut state.waiting);
                if let Some(socket) = &state.connecting_socket {
                    let _ = socket.shutdown(Shutdown::Both); // Wakes its reader, which then gives up.
                }
            }
            Phase::Down if state.since.elapsed() > self.options.reconnect_pause => {
                self.connect_requested.post()
            }
            Phase::Up if state.last_keep_alive.elapsed() > self.options.keep_alive / 2 => {
                self.keep_alive(&mut state)
            }
            _ => {}
        }
        drop(state);
        self.report_unreachable(expired);
    }

    /// Sends a keep alive, or closes the queues if the last one was not answered within the timeout.
    fn keep_alive(&self, state: &mut State) {
        let Some((initiator, outlet)) = &mut state.admin else { return };
        // Only keep alives are sent on this queue, so an outstanding command is the last keep alive.
        if initiator.outstanding() > 0 {
            if state.last_keep_alive.elapsed() > self.options.keep_alive {
                tracing::warn!(address = %self.address, "no answer to a keep alive; closing the connection");
                close_queues(state);
            }
            return;
        }
        let mut out = GatherList::new();
        let sqe = Sqe::new(admin::KEEP_ALIVE);
        initiator.submit(Submission { sqe, data: Bytes::new(), expect: 0, user: 0 }, &mut out);
        outlet.push(out);
        state.last_keep_alive = Instant::now();
    }

    /// Cleans up after a lost or failed connection: attempts in flight may have run, waiting ones never did.
    /// Returns whether the connection is closed for good.
    fn clean_up(&self) -> bool {
        let (in_flight, waiting, is_closed) = {
            let mut state = self.state();
            close_queues(&mut state);
            let is_closed = state.phase == Phase::Closed;
            if !is_closed {
                state.enter(Phase::Down);
            }
            state.queue = None;
            (std::mem::take(&mut state.in_flight), std::mem::take(&mut state.waiting), is_closed)
        };
        let mut lost: Vec<AttemptId> = in_flight.into_values().map(|f| f.0).collect();
        lost.sort();
        lost.into_iter().for_each(|a| {
            self.inbox.send(Message::AttemptEnded(a, AttemptEnd::without_data(Outcome::Reset)))
        });
        self.report_unreachable(waiting);
        is_closed
    }

    /// Reports the end of attempts that waited for a connection in vain.
    fn report_unreachable(&self, waiting: VecDeque<AttemptId>) {
        waiting.into_iter().for_each(|attempt| {
            self.inbox.send(Message::AttemptEnded(attempt, AttemptEnd::without_data(Outcome::Unreachable)))
        });
    }
}

impl State {
    fn enter(&mut self, phase: Phase) {
        (self.phase, self.since) = (phase, Instant::now());
    }
}

fn close_queues(state: &mut State) {
    if let Some(queue) = &state.queue {
        queue.close();
    }
    if let Some((_, admin)) = state.admin.take() {
        admin.close();
    }
}

#[cfg(test)]
mod tests;
