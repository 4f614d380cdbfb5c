//! The coroutine that owns the machine: handles messages and timers, one after the other.

mod departures;
mod outputs;
mod unsent;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;

use decisions::Micros;
use may::sync::mpsc::{Receiver, Sender};
use records::Clock;
use transport::Ticker;

use crate::acceptor::Acceptor;
use crate::closing::UnreleasedConnections;
use crate::connection::Connection;
use crate::gateway::{Command, Message};
use crate::machine::Machine;
use crate::resource_limits::ResourceLimits;
use crate::socket::{ConnectionEnd, SocketId};
use crate::stall::StallDetector;
use unsent::UnsentOutput;

/// Messages handled before the timers are checked again.
const MESSAGES_PER_ITERATION: usize = 256;
/// Interval of retrying output for which no writer could be started.
const FLUSH_RETRY_INTERVAL: Micros = 10_000;
/// Interval of the summary line in the log.
const SUMMARY_INTERVAL: Micros = 10_000_000;

/// The machine and everything that only its coroutine touches.
pub(crate) struct Engine {
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
    unsent: UnsentOutput,
    next_serial: u64,
    next_client: u64,
    next_summary: Micros,
    last_departure_check: Micros,
}

impl Engine {
    /// Creates the engine of a gateway whose machine has just been created.
    pub(crate) fn new(
        machine: Machine,
        limits: &ResourceLimits,
        clock: Clock,
        acceptor: Arc<Acceptor>,
        inbox: Sender<Message>,
    ) -> Self {
        Engine {
            machine,
            max_response: limits.max_response_bytes,
            clock,
            acceptor,
            inbox,
            connections: HashMap::new(),
            unreleased: UnreleasedConnections::default(),
            starved: BTreeSet::new(),
            unsent: UnsentOutput::default(),
            next_serial: 0,
            next_client: 0,
            next_summary: clock.now() + SUMMARY_INTERVAL,
            last_departure_check: clock.now(),
        }
    }

    /// Runs until everything admitted is answered after a shutdown was requested.
    pub(crate) fn run(mut self, messages: &Receiver<Message>, ticker: &Ticker) {
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
            self.count_unsent_output(now);
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
            let due = due.min(self.unsent.next_count());
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
}
