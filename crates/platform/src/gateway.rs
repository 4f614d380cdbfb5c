//! Runs the state machine on sockets: one coroutine owns the machine, and each connection has one that reads.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc as thread_mpsc;

use bytes::Bytes;
use decisions::Micros;
use may::sync::mpsc::{Sender, channel};
use records::Clock;
use transport::Ticker;

use crate::acceptor::Acceptor;
use crate::config::Config;
use crate::engine::Engine;
use crate::machine::Machine;
use crate::resource_limits::ResourceLimits;
use crate::socket::{ConnectionEnd, SocketId};

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
        let engine = Engine::new(machine, &limits, clock, acceptor, inbox.clone());
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
