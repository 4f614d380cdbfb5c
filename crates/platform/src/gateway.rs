//! The machine on sockets: one coroutine owns it, one more reads each connection.

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

use crate::closing::Closing;
use crate::config::Config;
use crate::door::Door;
use crate::machine::Machine;
use crate::port::Port;
use crate::sizes::Sizes;
use crate::socket::{End, Output, SocketId};
use crate::standstill::Witness;

/// Messages handled before the time is looked at again.
const MESSAGES: usize = 256;
/// How often answers are flushed that no writer could be started for.
const FLUSH_AGAIN: Micros = 10_000;
/// How often a line on what it holds is logged.
const SUMMARY: Micros = 10_000_000;

/// Why a gateway did not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The address cannot be listened on.
    #[error("listen: cannot listen on {0}: {1}; is another process using it?")]
    Listen(SocketAddr, io::Error),
    /// No coroutine or thread could be started.
    #[error("cannot start: {0}")]
    Start(io::Error),
}

/// What a running gateway can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Orders {
    /// Discovery is at this address from now on.
    Discovery(SocketAddr),
    /// Answer all that was taken, and end.
    Leave,
}

/// What reaches the engine. What its inbox holds is bounded: each connection has at most one chunk in it.
pub(crate) enum Message {
    Accepted(TcpStream),
    /// There was no descriptor for it.
    NotAccepted,
    /// Nothing more will be accepted.
    Shut,
    Up {
        socket: SocketId,
        serial: u64,
    },
    Bytes {
        socket: SocketId,
        serial: u64,
        at: Micros,
        bytes: Bytes,
    },
    Ended {
        socket: SocketId,
        serial: u64,
        end: End,
    },
    Tick,
    Told(Orders),
}

/// A running gateway.
pub struct Gateway {
    address: SocketAddr,
    inbox: Mutex<Sender<Message>>,
    ended: Mutex<Option<thread_mpsc::Receiver<()>>>,
}

impl Gateway {
    /// Starts a gateway: it listens when this returns.
    ///
    /// # Errors
    /// The address cannot be had, or nothing can be started.
    pub fn start(config: &Config) -> Result<Gateway, GatewayError> {
        // One core is all there is; more threads would only hand work to and fro.
        task::init_runtime();
        let (door, listener) =
            Door::open(config.listen).map_err(|e| GatewayError::Listen(config.listen, e))?;
        let address = door.address();
        let (inbox, messages) = channel();
        let clock = Clock::new();
        let ticks = inbox.clone();
        let ticker = Ticker::start(clock, move || {
            let _ = ticks.send(Message::Tick); // The engine ends last.
        })
        .map_err(GatewayError::Start)?;
        let sizes = Sizes::of(config.limits.sockets, config.limits.memory_mb);
        let machine = Machine::new(clock.now(), config, sizes);
        door.start(listener, inbox.clone()).map_err(GatewayError::Start)?;
        let (over, ended) = thread_mpsc::channel();
        let engine = Engine {
            machine,
            answer: sizes.answer,
            clock,
            door,
            inbox: inbox.clone(),
            ports: HashMap::new(),
            closing: Closing::default(),
            starved: BTreeSet::new(),
            next_serial: 0,
            next_client: 0,
            next_summary: clock.now() + SUMMARY,
        };
        task::spawn("engine", move || {
            engine.run(&messages, &ticker);
            drop(over);
        })
        .map_err(GatewayError::Start)?;
        tracing::info!(name = config.name, %address, ?sizes, "gateway up");
        Ok(Gateway { address, inbox: Mutex::new(inbox), ended: Mutex::new(Some(ended)) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells it something.
    pub fn tell(&self, orders: Orders) {
        let inbox = self.inbox.lock().unwrap_or_else(|p| p.into_inner());
        let _ = inbox.send(Message::Told(orders)); // It may have ended.
    }

    /// Waits until it has ended.
    pub fn wait(&self) {
        let ended = self.ended.lock().unwrap_or_else(|p| p.into_inner()).take();
        if let Some(ended) = ended {
            let _ = ended.recv();
        }
    }
}

struct Engine {
    machine: Machine,
    /// Bytes of the longest answer.
    answer: usize,
    clock: Clock,
    door: Arc<Door>,
    inbox: Sender<Message>,
    ports: HashMap<SocketId, Arc<Port>>,
    closing: Closing,
    /// Connections with something to write and no descriptor for a writer.
    starved: BTreeSet<SocketId>,
    next_serial: u64,
    next_client: u64,
    next_summary: Micros,
}

impl Engine {
    fn run(mut self, messages: &Receiver<Message>, ticker: &Ticker) {
        let mut told = Micros::MIN;
        let mut witness = Witness::new(self.clock.now(), ticker);
        loop {
            let now = self.clock.now();
            witness.look(now);
            self.machine.tick(now);
            self.carry_out(now);
            if self.machine.is_over() {
                self.log_unanswered();
                return tracing::info!("{}; all is answered", self.machine.summary());
            }
            if now >= self.next_summary {
                self.next_summary = now + SUMMARY;
                self.log_unanswered();
                tracing::info!("{}", self.machine.summary());
            }
            self.flush_starved();
            let again = if self.starved.is_empty() { Micros::MAX } else { now + FLUSH_AGAIN };
            let due = self.machine.next_due().min(again);
            if due != told {
                ticker.set_due(due);
                told = due;
            }
            let Ok(first) = messages.recv() else { return };
            let woken = self.clock.now();
            self.message(first);
            let mut count = 1;
            while count < MESSAGES
                && let Ok(next) = messages.try_recv()
            {
                self.message(next);
                count += 1;
            }
            witness.turned(due, woken, self.clock.now(), count);
        }
    }

    /// Writes bytes on a connection.
    fn push(&mut self, socket: SocketId, bytes: &Bytes) {
        let Some(port) = self.ports.get(&socket) else { return };
        let mut list = GatherList::new();
        list.share(bytes);
        port.outlet.push(list);
        if port.outlet.is_starved() {
            self.starved.insert(socket);
        }
    }

    /// Writes on where there was no descriptor for a writer.
    fn flush_starved(&mut self) {
        let ports = &self.ports;
        self.starved.retain(|socket| {
            let Some(port) = ports.get(socket) else { return false };
            port.outlet.flush();
            port.outlet.is_starved()
        });
    }

    fn log_unanswered(&mut self) {
        self.machine.take_unanswered().iter().for_each(|line| tracing::info!("{line}"));
    }

    fn message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Tick => return,
            Message::Accepted(stream) => self.accepted(now, stream),
            Message::NotAccepted => self.machine.not_accepted(),
            Message::Shut => self.machine.shut(),
            Message::Up { socket, serial } if self.is_current(socket, serial) => self.machine.up(now, socket),
            Message::Bytes { socket, serial, at, bytes } if self.is_current(socket, serial) => {
                self.machine.received(now, socket, at, &bytes);
            }
            Message::Ended { socket, serial, end } if self.is_current(socket, serial) => {
                self.ports.remove(&socket);
                self.machine.ended(now, socket, end);
            }
            Message::Ended { socket, .. } => return self.closed(socket),
            Message::Up { .. } | Message::Bytes { .. } => return,
            Message::Told(Orders::Discovery(address)) => self.machine.reconfigured(now, address),
            Message::Told(Orders::Leave) => self.machine.leave(now),
        }
        self.carry_out(now);
    }

    /// A connection that was closed here has given its descriptor back.
    fn closed(&mut self, socket: SocketId) {
        if self.closing.returned(socket) {
            self.door.admit();
        }
    }

    fn close(&mut self, socket: SocketId) {
        if let Some(port) = self.ports.remove(&socket) {
            self.closing.closed(socket);
            port.close();
        }
    }

    fn is_current(&self, socket: SocketId, serial: u64) -> bool {
        self.ports.get(&socket).is_some_and(|p| p.serial == serial)
    }

    fn accepted(&mut self, now: Micros, stream: TcpStream) {
        self.next_client += 1;
        let socket = SocketId::Client(self.next_client);
        self.machine.accepted(now, self.next_client);
        self.next_serial += 1;
        let port = Port::new(socket, self.next_serial, stream, self.answer);
        self.adopt(now, socket, port, false);
    }

    /// Starts a port's reader; where there is no port or no reader, the connection has ended.
    fn adopt(&mut self, now: Micros, socket: SocketId, port: io::Result<Arc<Port>>, connects: bool) {
        let started = port.and_then(|port| {
            let rising = connects && !port.is_up();
            port.start(self.clock, self.inbox.clone(), rising)?;
            Ok((port, rising))
        });
        match started {
            Ok((port, rising)) => {
                self.ports.insert(socket, port);
                if connects && !rising {
                    self.machine.up(now, socket);
                }
            }
            Err(error) => {
                tracing::debug!(?socket, %error, "no connection");
                self.machine.ended(now, socket, End::Cut);
            }
        }
    }

    /// Does what the machine says until it says nothing more.
    fn carry_out(&mut self, now: Micros) {
        loop {
            let outputs: Vec<Output> = self.machine.drain().collect();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.output(now, output);
            }
        }
    }

    fn output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Connect(socket, address) => {
                self.next_serial += 1;
                let port = Port::connect(socket, self.next_serial, address);
                self.adopt(now, socket, port, true);
            }
            Output::Write(socket, bytes) => self.push(socket, &bytes),
            Output::Reuse(socket, bytes) => {
                if self.ports.get(&socket).is_some_and(|port| port.is_quiet()) {
                    return self.push(socket, &bytes);
                }
                self.close(socket);
                self.machine.stale(now, socket);
            }
            Output::Finish(socket) => {
                if let Some(port) = self.ports.get(&socket) {
                    port.outlet.finish_writing();
                }
            }
            Output::Part(socket) => {
                let quiet = self.ports.get(&socket).filter(|p| p.is_quiet());
                if let Some(port) = quiet {
                    port.outlet.finish_writing();
                }
                let done = quiet.is_some();
                self.machine.parted(now, socket, done);
            }
            Output::GiveWay(socket) => {
                let done = self.ports.get(&socket).is_none_or(|p| p.is_at_rest());
                if done {
                    self.close(socket);
                }
                self.machine.gave_way(now, socket, done);
            }
            Output::Cut(socket) => {
                if let Some(port) = self.ports.get(&socket).filter(|p| p.outlet.is_pending()).cloned() {
                    self.close(socket);
                    // Only what surely was not written says so: the rest may have gone out in this moment.
                    let end = if port.outlet.was_cut() { End::Cut } else { End::Broken };
                    self.machine.ended(now, socket, end);
                }
            }
            Output::Close(socket) => self.close(socket),
            Output::Resume(socket) => {
                if let Some(port) = self.ports.get(&socket) {
                    port.resume();
                }
            }
            Output::Accept => {
                if self.closing.may_accept() {
                    self.door.admit();
                }
            }
            Output::Unlisten => self.door.shut(),
        }
    }
}
