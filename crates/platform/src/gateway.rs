//! Runs the state machine on sockets: one coroutine owns the machine, and each connection has one that reads.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc as thread_mpsc;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use decisions::Micros;
use gather::{GatherList, PduSink};
use may::sync::mpsc::{Receiver, Sender, channel};
use records::Clock;
use transport::Ticker;

use crate::acceptor::Acceptor;
use crate::closing::UnreleasedConnections;
use crate::config::Config;
use crate::connection::Connection;
use crate::machine::Machine;
use crate::resource_limits::ResourceLimits;
use crate::socket::{ConnectionEnd, Output, SocketId};
use crate::stall::StallDetector;

/// Messages handled before the timers are checked again.
const MESSAGES_PER_ITERATION: usize = 256;
/// Interval of looking whether clients that are not being read have left. An attempt may begin for 0.1 s after
/// its client has closed.
const DEPARTURE_CHECK_INTERVAL: Micros = 20_000;
/// Interval of retrying output for which no writer could be started.
const FLUSH_RETRY_INTERVAL: Micros = 10_000;
/// Interval of the summary line in the log.
const SUMMARY_INTERVAL: Micros = 10_000_000;

/// Why a gateway could not start, or did not end in order.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// Listening on the address failed.
    #[error("listen: cannot listen on {0}: {1}; is another process using it?")]
    Listen(SocketAddr, io::Error),
    /// A coroutine or thread couldn't be started.
    #[error("cannot start: {0}")]
    Start(io::Error),
    /// The engine has panicked.
    #[error("the gateway's engine has crashed; open requests got no answer")]
    Crashed,
}

/// A command to a running gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Use discovery at this address from now on.
    SetDiscovery(SocketAddr),
    /// Answer all admitted requests, then exit.
    ShutDown,
}

/// A message to the engine. The inbox is bounded: each connection has at most one chunk of input in it.
pub(crate) enum Message {
    Accepted(TcpStream),
    /// Accepting failed for lack of a descriptor.
    AcceptFailed,
    /// The listener is closed.
    ListenerClosed,
    Established {
        socket: SocketId,
        serial: u64,
    },
    Received {
        socket: SocketId,
        serial: u64,
        at: Micros,
        bytes: Bytes,
    },
    Ended {
        socket: SocketId,
        serial: u64,
        end: ConnectionEnd,
    },
    Tick,
    Command(Command),
}

/// The engine has ended in order: everything accepted was answered.
struct OrderlyEnd;

/// A running gateway.
pub struct Gateway {
    address: SocketAddr,
    inbox: Mutex<Sender<Message>>,
    /// Gets [`OrderlyEnd`] from the engine when it exits; without it, the engine has crashed.
    ended: Mutex<Option<thread_mpsc::Receiver<OrderlyEnd>>>,
}

impl Gateway {
    /// Starts a gateway; it is listening when this returns.
    ///
    /// # Errors
    /// The address can't be listened on, or a coroutine or thread can't be started.
    pub fn start(config: &Config) -> Result<Gateway, GatewayError> {
        // The gateway has one core at most; more threads would only add hand-overs.
        task::init_runtime();
        let (acceptor, listener) =
            Acceptor::open(config.listen).map_err(|e| GatewayError::Listen(config.listen, e))?;
        let address = acceptor.address();
        let (inbox, messages) = channel();
        let clock = Clock::new();
        let ticks = inbox.clone();
        let ticker = Ticker::start(clock, move || {
            let _ = ticks.send(Message::Tick); // The engine ends last.
        })
        .map_err(GatewayError::Start)?;
        let limits = ResourceLimits::from_machine(config.limits.descriptors, config.limits.memory_mb);
        let machine = Machine::new(clock.now(), config, limits);
        acceptor.start(listener, inbox.clone()).map_err(GatewayError::Start)?;
        let (end_sender, ended) = thread_mpsc::channel();
        let engine = Engine {
            machine,
            max_response: limits.max_response_bytes,
            clock,
            acceptor,
            inbox: inbox.clone(),
            connections: HashMap::new(),
            unreleased: UnreleasedConnections::default(),
            starved: BTreeSet::new(),
            next_serial: 0,
            next_client: 0,
            next_summary: clock.now() + SUMMARY_INTERVAL,
            last_departure_check: clock.now(),
        };
        task::spawn("engine", move || {
            engine.run(&messages, &ticker);
            let _ = end_sender.send(OrderlyEnd); // Nobody may be waiting.
        })
        .map_err(GatewayError::Start)?;
        tracing::info!(name = config.name, %address, sizes = ?limits, "gateway up");
        Ok(Gateway { address, inbox: Mutex::new(inbox), ended: Mutex::new(Some(ended)) })
    }

    /// Returns the address on which the gateway listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command to the gateway.
    pub fn send(&self, command: Command) {
        let inbox = self.inbox.lock().unwrap_or_else(|p| p.into_inner());
        let _ = inbox.send(Message::Command(command)); // The gateway may have exited.
    }

    /// Waits until the gateway has exited. Only the first call waits.
    ///
    /// # Errors
    /// The engine has crashed: open requests got no answer.
    pub fn wait(&self) -> Result<(), GatewayError> {
        let ended = self.ended.lock().unwrap_or_else(|p| p.into_inner()).take();
        let Some(ended) = ended else { return Ok(()) };
        ended.recv().map(|OrderlyEnd| ()).map_err(|_| GatewayError::Crashed)
    }
}

struct Engine {
    machine: Machine,
    /// Maximum size of a response in bytes.
    max_response: usize,
    clock: Clock,
    acceptor: Arc<Acceptor>,
    inbox: Sender<Message>,
    connections: HashMap<SocketId, Arc<Connection>>,
    unreleased: UnreleasedConnections,
    /// Connections with pending output and no descriptor for a writer.
    starved: BTreeSet<SocketId>,
    next_serial: u64,
    next_client: u64,
    next_summary: Micros,
    last_departure_check: Micros,
}

impl Engine {
    fn run(mut self, messages: &Receiver<Message>, ticker: &Ticker) {
        let mut announced_due = Micros::MIN;
        let mut stall_detector = StallDetector::new(self.clock.now(), ticker);
        loop {
            panics::test_point("engine");
            let now = self.clock.now();
            stall_detector.begin_iteration(now);
            self.machine.tick(now);
            self.perform_outputs(now);
            if self.machine.is_finished() {
                self.log_unanswered();
                return tracing::info!("{}; all is answered", self.summary());
            }
            if now >= self.next_summary {
                self.next_summary = now + SUMMARY_INTERVAL;
                self.log_unanswered();
                tracing::info!("{}", self.summary());
            }
            self.flush_starved();
            self.end_departed_clients(now);
            if self.machine.has_waiting_input() {
                // Between two turns all sockets that are ready get to deliver what they have.
                task::yield_to_poller();
                let woken = self.clock.now();
                let count = self.handle_messages(messages);
                stall_detector.end_iteration(now, woken, self.clock.now(), count);
                continue;
            }
            let retry_at = if self.starved.is_empty() { Micros::MAX } else { now + FLUSH_RETRY_INTERVAL };
            let due = self.machine.next_due().min(retry_at).min(self.next_departure_check());
            if due != announced_due {
                ticker.set_due(due);
                announced_due = due;
            }
            let Ok(first) = messages.recv() else { return };
            let woken = self.clock.now();
            self.handle_message(first);
            let count = 1 + self.handle_messages(messages);
            stall_detector.end_iteration(due, woken, self.clock.now(), count);
        }
    }

    /// When clients that are not being read are looked at next.
    fn next_departure_check(&self) -> Micros {
        if self.machine.has_unread_clients() {
            self.last_departure_check + DEPARTURE_CHECK_INTERVAL
        } else {
            Micros::MAX
        }
    }

    /// Ends the connections of clients that have left while they are not being read. A reader notices such an
    /// end only when it reads on, and until then attempts would begin for nobody.
    fn end_departed_clients(&mut self, now: Micros) {
        if now < self.next_departure_check() {
            return;
        }
        self.last_departure_check = now;
        let is_client = |socket: &SocketId| matches!(socket, SocketId::Client(_));
        let departed: Vec<SocketId> = self
            .connections
            .iter()
            .filter(|(socket, connection)| is_client(socket) && connection.has_left_unread())
            .map(|(socket, _)| *socket)
            .collect();
        for socket in departed {
            self.close(socket);
            self.machine.connection_ended(now, socket, ConnectionEnd::Orderly);
        }
        self.perform_outputs(now);
    }

    /// Handles messages that are there, within the limit of an iteration; returns their number.
    fn handle_messages(&mut self, messages: &Receiver<Message>) -> usize {
        let mut count = 0;
        while count < MESSAGES_PER_ITERATION
            && let Ok(next) = messages.try_recv()
        {
            self.handle_message(next);
            count += 1;
        }
        count
    }

    /// The machine's counts, the panics that ended one connection alone, and the lines that were lost.
    fn summary(&self) -> String {
        let (panics, lost) = (panics::contained_count(), output::lost_lines());
        format!("{} contained_panics={panics} lost_log_lines={lost}", self.machine.summary())
    }

    /// Queues bytes for writing on a connection.
    fn queue_output(&mut self, socket: SocketId, bytes: &Bytes) {
        let Some(connection) = self.connections.get(&socket) else { return };
        let mut list = GatherList::new();
        list.append_shared(bytes);
        connection.outlet.push(list);
        if connection.outlet.is_starved() {
            self.starved.insert(socket);
        }
    }

    /// Retries output where there was no descriptor for a writer.
    fn flush_starved(&mut self) {
        let connections = &self.connections;
        self.starved.retain(|socket| {
            let Some(connection) = connections.get(socket) else { return false };
            connection.outlet.flush();
            connection.outlet.is_starved()
        });
    }

    fn log_unanswered(&mut self) {
        self.machine.take_unanswered_lines().iter().for_each(|line| tracing::info!("{line}"));
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Tick => return,
            Message::Accepted(stream) => self.accepted(now, stream),
            Message::AcceptFailed => self.machine.accept_failed(),
            Message::ListenerClosed => self.machine.listener_closed(),
            Message::Established { socket, serial } if self.is_current(socket, serial) => {
                self.machine.connection_established(now, socket)
            }
            Message::Received { socket, serial, at, bytes } if self.is_current(socket, serial) => {
                self.machine.received(now, socket, at, &bytes);
            }
            Message::Ended { socket, serial, end } if self.is_current(socket, serial) => {
                self.connections.remove(&socket);
                self.machine.connection_ended(now, socket, end);
            }
            Message::Ended { socket, .. } => return self.descriptor_released(socket),
            Message::Established { .. } | Message::Received { .. } => return,
            Message::Command(Command::SetDiscovery(address)) => {
                self.machine.set_discovery_address(now, address)
            }
            Message::Command(Command::ShutDown) => self.machine.shut_down(now),
        }
        self.perform_outputs(now);
    }

    /// Handles the end of a connection that was closed locally: its descriptor is free.
    fn descriptor_released(&mut self, socket: SocketId) {
        if self.unreleased.released(socket) {
            self.acceptor.issue_permit();
        }
    }

    fn close(&mut self, socket: SocketId) {
        if let Some(connection) = self.connections.remove(&socket) {
            self.unreleased.closed(socket);
            connection.close();
        }
    }

    fn is_current(&self, socket: SocketId, serial: u64) -> bool {
        self.connections.get(&socket).is_some_and(|c| c.serial == serial)
    }

    fn accepted(&mut self, now: Micros, stream: TcpStream) {
        self.next_client += 1;
        let socket = SocketId::Client(self.next_client);
        self.machine.accepted(now, self.next_client);
        self.next_serial += 1;
        let connection = Connection::new(socket, self.next_serial, stream, self.max_response);
        self.register_connection(now, socket, connection, false);
    }

    /// Starts a connection's reader and registers the connection; one that is established at once is reported
    /// to the machine. If the connection or the reader couldn't be created, the connection counts as ended.
    fn register_connection(
        &mut self,
        now: Micros,
        socket: SocketId,
        connection: io::Result<Arc<Connection>>,
        is_outgoing: bool,
    ) {
        let started = connection.and_then(|connection| {
            let connecting = is_outgoing && !connection.is_established();
            connection.start(self.clock, self.inbox.clone(), connecting)?;
            Ok((connection, connecting))
        });
        match started {
            Ok((connection, connecting)) => {
                self.connections.insert(socket, connection);
                if is_outgoing && !connecting {
                    self.machine.connection_established(now, socket);
                }
            }
            Err(error) => {
                tracing::debug!(?socket, %error, "cannot open the connection");
                self.machine.connection_ended(now, socket, ConnectionEnd::Cut);
            }
        }
    }

    /// Performs the machine's operations until there are none left.
    fn perform_outputs(&mut self, now: Micros) {
        loop {
            let outputs: Vec<Output> = self.machine.drain_outputs().collect();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform(now, output);
            }
        }
    }

    fn perform(&mut self, now: Micros, output: Output) {
        match output {
            Output::Connect(socket, address) => {
                self.next_serial += 1;
                let connection = Connection::connect(socket, self.next_serial, address);
                self.register_connection(now, socket, connection, true);
            }
            Output::Write(socket, bytes) => self.queue_output(socket, &bytes),
            Output::WriteIfIdle(socket, bytes) => {
                if self.connections.get(&socket).is_some_and(|connection| connection.has_no_input()) {
                    return self.queue_output(socket, &bytes);
                }
                self.close(socket);
                self.machine.idle_write_rejected(now, socket);
            }
            Output::ShutdownWrite(socket) => {
                if let Some(connection) = self.connections.get(&socket) {
                    connection.outlet.finish_writing();
                }
            }
            Output::ShutdownWriteIfNoInput(socket) => {
                let without_input = self.connections.get(&socket).filter(|c| c.has_no_input());
                if let Some(connection) = without_input {
                    connection.outlet.finish_writing();
                }
                let done = without_input.is_some();
                self.machine.shutdown_write_result(now, socket, done);
            }
            Output::CloseIfIdle(socket) => {
                let done = self.connections.get(&socket).is_none_or(|c| c.is_idle());
                if done {
                    self.close(socket);
                }
                self.machine.close_result(now, socket, done);
            }
            Output::CloseIfUnsent(socket) => {
                if let Some(connection) =
                    self.connections.get(&socket).filter(|c| c.outlet.is_pending()).cloned()
                {
                    self.close(socket);
                    // Reported as unsent only if the write certainly didn't complete; otherwise the rest may
                    // have gone out in this moment.
                    let end =
                        if connection.outlet.was_cut() { ConnectionEnd::Cut } else { ConnectionEnd::Broken };
                    self.machine.connection_ended(now, socket, end);
                }
            }
            Output::Close(socket) => self.close(socket),
            Output::ResumeReading(socket, bytes) => {
                if let Some(connection) = self.connections.get(&socket) {
                    connection.resume(bytes);
                }
            }
            Output::Accept => {
                if self.unreleased.may_accept() {
                    self.acceptor.issue_permit();
                }
            }
            Output::StopListening => self.acceptor.close(),
        }
    }
}
