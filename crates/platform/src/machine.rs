//! The gateway as a state machine without I/O: its state, its timers and its entry points. The submodules
//! handle attempts, clients and node lists.

mod attempts;
mod clients;
mod input;
mod lists;
mod shutdown;
mod summary;
mod turns;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use decisions::{Micros, NodeId, NodeState, Outcome, RequestId};
use dispatch::{AttemptId, Command, Dispatcher, Verdict};
use http1::{Limits, Request, RequestDecoder, RequestEvent};
use profile::Service;

use crate::admission::{AdmittedRequest, Rejection, admit};
use crate::client::{ClientConnection, ClientTimers, Lingering};
use crate::config::Config;
use crate::departed_ids::DepartedIds;
use crate::discovery::{self, Discovery};
use crate::endpoint::{EndpointList, Zones};
use crate::input_budget::InputBudget;
use crate::node_connections::{ConnectionChoice, ConnectionUpdate, NodeConnections};
use crate::node_request::NodeRequest;
use crate::outcome::reported_load;
use crate::resource_limits::ResourceLimits;
use crate::socket::{ConnectionEnd, NonNodeSocket, Output, SocketId};
use crate::unanswered::{AttemptRecords, Cause, Unanswered, UnansweredLog};

/// Limits on messages from clients and nodes; the protocol's bodies hold up to 64 KiB.
pub(crate) const MESSAGE_LIMITS: Limits = Limits { head: 16 << 10, body: 64 << 10, informational: 8 };
/// Bodies of at least this length are written from their own buffer; copying a shorter one behind the head is
/// cheaper than a second write.
pub(crate) const MIN_SHARED_BODY: usize = 16 << 10;
/// Maximum number of bytes read at a time.
pub(crate) const READ_BYTES: usize = 16 << 10;
/// Bytes of pipelined requests that are buffered while a client's request is open.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// While less than this fraction (1/8) of the client connections is free, responses close their connection.
const CROWDED_DIVISOR: usize = 8;
/// Time within which a client must deliver a complete request, else its connection is closed; the platform
/// requires that within 3 s of connecting.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// Lower bound of that time for a client that was accepted after waiting for a free connection. Its wait in
/// the accept queue isn't visible here and counts against the same 3 s.
const MIN_REQUEST_TIMEOUT: Micros = REQUEST_TIMEOUT / 4;
/// If an accept permit was not used for this long, no client is waiting in the accept queue.
const PERMIT_UNUSED: Micros = 50_000;
/// The platform allows closing a connection without an open request after this time.
const MIN_IDLE_BEFORE_CLOSE: Micros = 2_000_000;
/// Idle time for which a connection that has served a request is kept while connections are available.
const KEEP_ALIVE: Micros = 5_000_000;
/// Maximum duration of the lingering close, in which input is read and discarded so that the client can read
/// the last response.
const MAX_LINGER: Micros = 5_000_000;
/// Interval of the attempts to close a lingering connection.
const LINGER_CHECK_INTERVAL: Micros = 500_000;
/// Time between the last responses of a shutdown and the earliest SIGKILL.
const SHUTDOWN_LINGER: Micros = LINGER_CHECK_INTERVAL;
/// Maximum number of bytes that are read and discarded on a connection before it is closed.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// How long connections are still accepted after SIGTERM; new ones arrive for 0.2 to 0.4 s.
const ACCEPT_AFTER_SIGTERM: Micros = 500_000;
/// The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, at most
/// `MAX_SHUTDOWN_DEADLINE`, plus `KILL_DELAY`.
const MAX_SHUTDOWN_DEADLINE: Micros = 3_000_000;
const KILL_DELAY: Micros = 700_000;
/// Margin by which the process exits before that: exiting may be held up for 0.15 s, and the platform's
/// clocks have 0.05 s of slack.
const EXIT_MARGIN: Micros = 200_000;
/// A response that goes out this long after its request's deadline is logged, as something must have stalled.
const OVERDUE_LOG_DELAY: Micros = 100_000;
/// Interval at which nodes that are gone are removed from the tables, and at which accepting is tried again
/// after it failed for lack of a file descriptor.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// Fraction of the nodes' idle timeout for which a connection is kept, so that a request doesn't cross the
/// node's close.
const IDLE_FRACTION: (Micros, Micros) = (3, 4);

/// A request that was admitted and has no final response yet.
struct Pending {
    client: u64,
    admitted: AdmittedRequest,
    /// When its last byte was read, and its deadline.
    received_at: Micros,
    deadline: Micros,
    attempts: AttemptRecords,
}

struct NodeAddress {
    address: SocketAddr,
    started: Option<Micros>,
}

/// The state machine of one gateway.
///
/// After every call, [`Machine::drain_outputs`] returns the operations to perform.
pub struct Machine {
    gateway_settings: Service,
    cancel_attempts: bool,
    settings: decisions::Settings,
    limits: ResourceLimits,
    dispatcher: Dispatcher<Pending>,
    clients: HashMap<u64, ClientConnection>,
    client_timers: ClientTimers,
    input_budget: InputBudget,
    /// Bytes of answers that wait for clients which do not read.
    unsent_bytes: usize,
    turn: u64,
    /// Clients with input that waits for their next turn.
    awaiting_turn: VecDeque<u64>,
    /// The connection accepted last. It isn't closed to make room before another one has been accepted.
    newest_client: u64,
    /// Ids of the requests without a final response.
    open_request_ids: HashSet<String>,
    departed_ids: DepartedIds,
    connections: NodeConnections,
    nodes: HashMap<NodeId, NodeAddress>,
    /// The nodes that are no longer listed and not removed yet.
    gone_nodes: BTreeSet<NodeId>,
    zones: Zones,
    discovery: Discovery,
    next_sweep: Micros,
    /// An accept permit is to be issued as soon as a connection slot is free.
    accept_wanted: bool,
    /// When the last accept permit was issued, and since when clients in the accept queue have had to wait
    /// for a slot.
    permit_issued_at: Micros,
    queue_blocked_since: Option<Micros>,
    /// The last accept failed for lack of a file descriptor.
    out_of_descriptors: bool,
    shutdown_since: Option<Micros>,
    stop_listening_sent: bool,
    /// The shutdown deadline has passed: responses close their connections.
    responses_close_connections: bool,
    listener_closed: bool,
    rejected: u64,
    unanswered: UnansweredLog,
    outputs: Vec<Output>,
}

impl Machine {
    /// Creates the state of a gateway that has just started and knows the nodes remembered in its
    /// configuration.
    pub fn new(now: Micros, config: &Config, limits: ResourceLimits) -> Self {
        let idle_timeout = config.gateway_settings.node_idle_timeout.unwrap_or(Micros::MAX / 8)
            / IDLE_FRACTION.1
            * IDLE_FRACTION.0;
        let connect_timeout = config.gateway_settings.connect_timeout.unwrap_or(Micros::MAX / 8);
        let mut machine = Machine {
            gateway_settings: config.gateway_settings.clone(),
            cancel_attempts: config.settings.cancellation,
            settings: config.settings.clone(),
            limits,
            dispatcher: Dispatcher::new(config.settings.clone(), config.seed),
            clients: HashMap::new(),
            client_timers: ClientTimers::default(),
            unsent_bytes: 0,
            turn: 0,
            awaiting_turn: VecDeque::new(),
            input_budget: InputBudget::new(limits.max_buffered_request_bytes),
            newest_client: 0,
            open_request_ids: HashSet::new(),
            departed_ids: DepartedIds::default(),
            connections: NodeConnections::new(
                Limits { body: limits.max_response_bytes, ..MESSAGE_LIMITS },
                idle_timeout,
                connect_timeout,
                limits.node_connections,
                limits.max_buffered_response_bytes,
            ),
            nodes: HashMap::new(),
            gone_nodes: BTreeSet::new(),
            zones: Zones::default(),
            discovery: Discovery::new(
                now,
                config.discovery,
                config.settings.drain_grace,
                &config.remembered_nodes,
                config.seed,
            ),
            next_sweep: now + SWEEP_INTERVAL,
            accept_wanted: true,
            permit_issued_at: now,
            queue_blocked_since: None,
            out_of_descriptors: false,
            shutdown_since: None,
            stop_listening_sent: false,
            responses_close_connections: false,
            listener_closed: false,
            rejected: 0,
            unanswered: UnansweredLog::default(),
            outputs: Vec::new(),
        };
        machine.dispatcher.limit_records(limits.max_records);
        machine.apply_list(now, &config.remembered_nodes, true);
        machine.tick(now);
        machine
    }

    /// Returns the pending operations, in the order in which they are to be performed.
    pub fn drain_outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Returns when [`Machine::tick`] is due next.
    pub fn next_due(&self) -> Micros {
        let watch = Some(self.discovery.due());
        let shutdown =
            self.shutdown_since.filter(|_| !self.stop_listening_sent).map(|at| at + ACCEPT_AFTER_SIGTERM);
        let shutdown = shutdown.or(self.answer_deadline().filter(|_| !self.responses_close_connections));
        let shutdown = shutdown.or(self.exit_deadline().filter(|_| !self.clients.is_empty()));
        // Input that waits is due at once, whatever the timers say.
        let waiting_input = self.has_waiting_input().then_some(Micros::MIN);
        [
            waiting_input,
            self.dispatcher.next_due(),
            self.connections.next_due(),
            self.client_timers.next_due(),
            watch,
            shutdown,
        ]
        .into_iter()
        .flatten()
        .fold(self.next_sweep, Micros::min)
    }

    /// Whether shutdown is complete: the listener is closed and no client connection is left.
    pub fn is_finished(&self) -> bool {
        self.listener_closed && self.clients.is_empty()
    }

    /// Returns the number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.dispatcher.open_requests()
    }

    /// Returns log lines on the requests that ended without a final response since the last call.
    pub fn take_unanswered_lines(&mut self) -> Vec<String> {
        self.unanswered.take_lines()
    }

    /// Handles a newly accepted client connection.
    pub fn accepted(&mut self, now: Micros, id: u64) {
        self.newest_client = id;
        if now - self.permit_issued_at > PERMIT_UNUSED {
            self.queue_blocked_since = None;
        }
        let waited = self.queue_blocked_since.map_or(0, |since| now - since);
        let request_timeout = (REQUEST_TIMEOUT - waited).max(MIN_REQUEST_TIMEOUT);
        let mut client = ClientConnection::new(now, MESSAGE_LIMITS, request_timeout);
        self.client_timers.set(&mut client, id, now + request_timeout / 2);
        self.clients.insert(id, client);
        self.accept_wanted = true;
        self.accept_or_make_room(now);
    }

    /// Handles a failed accept. The next permit is issued when a connection has ended or at the next sweep.
    ///
    /// Without a free descriptor, a permit issued at once would fail at once again and the gateway would do
    /// nothing else. The cost is that the next client waits for up to [`SWEEP_INTERVAL`].
    pub fn accept_failed(&mut self) {
        (self.accept_wanted, self.out_of_descriptors) = (true, true);
    }

    /// Notes that the listener's queue has been accepted and the listener is closed. Exiting before that
    /// would lose connections which the system has already accepted.
    pub fn listener_closed(&mut self) {
        self.listener_closed = true;
    }

    /// Handles a connection that has been established.
    pub fn connection_established(&mut self, now: Micros, socket: SocketId) {
        match socket {
            SocketId::Client(_) => {}
            SocketId::Node(id) => {
                let update = self.connections.established(now, id);
                self.apply_update(now, id, update, true);
            }
            SocketId::Discovery(id) => {
                if let Some(request) = self.discovery.request(now, id) {
                    self.outputs.push(Output::Write(NonNodeSocket::Discovery(id), request));
                }
            }
        }
    }

    /// Handles an idle connection that turned out to be unusable when an attempt was to be written on it;
    /// nothing was written.
    ///
    /// A node may close a connection, or send more than its response, right after responding; a request
    /// written then is lost with the connection and may still have run. The attempt was never sent, so it
    /// takes another connection.
    pub fn idle_write_rejected(&mut self, now: Micros, socket: SocketId) {
        let SocketId::Node(id) = socket else { return };
        if let Some((attempt, node)) = self.connections.take_unusable(id) {
            self.dispatcher.await_connection(attempt);
            self.send_attempt(now, attempt, node);
            self.run_dispatcher_commands(now);
        }
    }

    /// Handles bytes read from a connection at `at`; more is read after [`Output::ResumeReading`].
    pub fn received(&mut self, now: Micros, socket: SocketId, at: Micros, bytes: &[u8]) {
        match socket {
            SocketId::Client(id) => return self.client_received(now, id, at, bytes),
            SocketId::Node(id) => {
                let update = self.connections.received(now, id, bytes);
                self.apply_update(now, id, update, false);
            }
            SocketId::Discovery(id) => {
                let steps = self.discovery.received(now, id, bytes);
                self.run_discovery_steps(now, steps);
            }
        }
        self.outputs.push(Output::ResumeReading(socket, READ_BYTES));
    }

    /// Handles a connection that ended or could not be established.
    pub fn connection_ended(&mut self, now: Micros, socket: SocketId, end: ConnectionEnd) {
        // The end freed a descriptor: accepting may be tried again.
        self.out_of_descriptors = false;
        match socket {
            SocketId::Client(id) => self.client_ended(now, id, end),
            SocketId::Node(id) => {
                let update = self.connections.ended(id, end);
                self.apply_update(now, id, update, false);
            }
            SocketId::Discovery(id) => {
                let step = self.discovery.ended(now, id);
                self.run_discovery_steps(now, step.into_iter().collect());
            }
        }
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Micros) {
        if !self.responses_close_connections && self.answer_deadline().is_some_and(|at| now >= at) {
            self.responses_close_connections = true;
            let idle: Vec<u64> =
                self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, _)| *id).collect();
            idle.into_iter().for_each(|id| self.start_close_if_no_input(now, id));
        }
        if self.exit_deadline().is_some_and(|at| now >= at) {
            let remaining: Vec<u64> = self.clients.keys().copied().collect();
            remaining.into_iter().for_each(|id| self.close_client(now, id));
        }
        while self.dispatcher.tick(now) {
            self.run_dispatcher_commands(now);
        }
        while let Some((id, update)) = self.connections.tick(now) {
            self.apply_update(now, id, update, false);
        }
        while let Some(id) = self.client_timers.pop_due(now) {
            self.client_timer_due(now, id);
        }
        self.begin_turn(now);
        let steps = self.discovery.tick(now);
        self.run_discovery_steps(now, steps);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.out_of_descriptors = false;
            self.departed_ids.sweep(now);
            for node in self.dispatcher.remove_gone_nodes() {
                self.nodes.remove(&node);
                self.gone_nodes.remove(&node);
                let idle = self.connections.forget_node(node);
                self.close_connections(idle);
            }
        }
        if let Some(since) = self.shutdown_since
            && !self.stop_listening_sent
            && now >= since + ACCEPT_AFTER_SIGTERM
        {
            self.stop_listening_sent = true;
            self.outputs.push(Output::StopListening);
        }
        self.resume_waiting_readers();
        self.accept_or_make_room(now);
    }

    /// Switches to another discovery address. The previous watch is followed until the new one has delivered
    /// something.
    pub fn set_discovery_address(&mut self, now: Micros, discovery: SocketAddr) {
        let steps = self.discovery.set_address(now, discovery);
        self.run_discovery_steps(now, steps);
        self.tick(now);
    }
}
