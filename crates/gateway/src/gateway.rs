//! Starting and stopping a gateway.

use control::Served;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc as thread_mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use limits::Gate;
use may::net::TcpListener;
use nvme::{DiscoveryEntry, Target};
use records::Clock;

use crate::company::Company;
use crate::engine::{Engine, Parts};
use crate::following::Following;
use crate::front::Front;
use crate::membership::Snapshot;
use crate::message::{Inbox, Message};
use crate::options::GatewayOptions;
use crate::returning::Returning;
use crate::status::{ControlAnswer, ControlRequest};
use crate::together::Together;
use transport::Ticker;

/// Why a gateway did not start, or did not answer.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The address cannot be listened on.
    #[error("cannot listen on {0}: {1}; is another process using it?")]
    Listen(SocketAddr, io::Error),
    /// The control socket cannot be made.
    #[error("cannot make the control socket {0}: {1}")]
    Control(PathBuf, io::Error),
    /// No coroutine could be started.
    #[error("cannot start a coroutine: {0}")]
    Start(io::Error),
    /// Its peers.
    #[error(transparent)]
    Peers(#[from] peerlink::StartError),
    /// Its state of the control plane.
    #[error(transparent)]
    Plane(#[from] planelink::RunError),
    /// Its journal of work in hand.
    #[error(transparent)]
    Journal(#[from] filelog::LogError),
    /// What it held before.
    #[error(transparent)]
    File(#[from] filelog::ReplaceError),
    /// The candidate shard map.
    #[error(transparent)]
    Candidate(#[from] shadow::CandidateError),
    /// The file of orders from before holds something else.
    #[error("{0} is whole but holds no orders; move it away to begin without them")]
    Word(PathBuf),
    /// The engine has ended.
    #[error("the gateway has stopped")]
    Stopped,
    /// The request was turned down.
    #[error("{0}")]
    TurnedDown(String),
}

/// A running gateway.
pub struct Gateway {
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    view: Option<Snapshot>,
    inbox: Inbox,
    front: Arc<Front>,
    control: Served,
    stop_within: Duration,
    ended: Mutex<Option<thread_mpsc::Receiver<()>>>,
}

impl Gateway {
    /// Starts a gateway: it listens when this returns.
    ///
    /// # Errors
    /// The address or the control socket cannot be had.
    pub fn start(mut options: GatewayOptions) -> Result<Gateway, GatewayError> {
        task::set_up();
        let listener =
            TcpListener::bind(options.listen).map_err(|e| GatewayError::Listen(options.listen, e))?;
        let address = listener.local_addr().map_err(|e| GatewayError::Listen(options.listen, e))?;
        let subsystem = options.target.subsystem.clone();
        options.target.discovery =
            vec![DiscoveryEntry { subsystem, address: address.ip(), port: address.port() }];
        let (sender, messages) = may::sync::mpsc::channel();
        let inbox = Inbox(sender);
        let front = Arc::new(Front {
            target: Mutex::new(Target::new(options.target.clone())),
            clock: Clock::new(),
            inbox: inbox.clone(),
            gate: Mutex::new(Gate::new(options.gate.clone())),
            spill: options.spill,
            digests: options.digests,
            closing: AtomicBool::new(false),
        });
        let mut control = Served::default();
        if let Some(path) = options.control.clone() {
            control = serve_control(&path, inbox.clone()).map_err(|e| GatewayError::Control(path, e))?;
        }
        let (name, stop_within) = (options.name.clone(), options.stop_within);
        let ticks = inbox.clone();
        let ticker =
            Ticker::start(front.clock, move || ticks.send(Message::Tick)).map_err(GatewayError::Start)?;
        let mut parts = Parts::default();
        if let Some(c) = options.company.take() {
            let names = c.peers.peers.iter().map(|p| p.0.clone()).collect();
            let folder = c.peers.folder.clone();
            let peers = Company::start(c.peers, inbox.clone())?;
            if let Some(r) = &c.returning {
                let (catalogue, seed, now) = (&options.catalogue, options.seed, front.clock.now());
                let company = (peers.clone(), names, folder.as_path());
                parts.returning = Some(Returning::start(r, company, catalogue, seed, now, inbox.clone())?);
            }
            if let Some(t) = c.together {
                let volumes = options.target.namespaces.iter().map(|ns| ns.nsid).collect();
                let (now, seed) = (front.clock.now(), options.seed);
                parts.together = Some(Together::start(t, &peers, &folder, volumes, now, seed)?);
            }
            parts.company = Some(peers);
        }
        if let Some(plane) = options.plane.take() {
            parts.following = Some(Following::start(plane, inbox.clone())?);
        }
        let peer_address = parts.company.as_ref().map(Company::address);
        let view = parts.together.as_ref().map(|t| t.membership.snapshot());
        let engine = Engine::new(options, address.to_string(), front.clone(), inbox.clone(), parts);
        let (over, ended) = thread_mpsc::channel();
        task::spawn("engine", move || {
            engine.run(&messages, &ticker);
            drop(over);
        })
        .map_err(GatewayError::Start)?;
        let accepts = front.clone();
        task::spawn("accept", move || accepts.accept(&listener)).map_err(GatewayError::Start)?;
        tracing::info!(name, %address, "gateway up");
        let ended = Mutex::new(Some(ended));
        Ok(Gateway { address, peer_address, view, inbox, front, control, stop_within, ended })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its peers connect, if it has any.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Tries another candidate from now on, or none; the same one goes on. Without `[fleet]` nothing is tried.
    pub fn try_candidate(&self, candidate: Option<shadow::ShadowOptions>) {
        self.inbox.send(Message::Candidate(candidate.map(Box::new)));
    }

    /// The fleet as this gateway sees it, if it holds a view. It asks nobody and waits for nothing.
    pub fn view(&self) -> Option<Arc<fleet::View>> {
        self.view.as_ref().map(|view| view.load_full())
    }

    /// Asks the engine, as the control socket does.
    ///
    /// # Errors
    /// The gateway has stopped, or turned the request down.
    pub fn ask(&self, request: ControlRequest) -> Result<ControlAnswer, GatewayError> {
        ask(&self.inbox, request)
    }

    /// Takes nothing new, answers everything, and ends; returns when that is done. Whether it was, in time.
    pub fn stop(&self) -> bool {
        let (done, wait) = thread_mpsc::channel();
        self.inbox.send(Message::Stop(done));
        let stopped = wait.recv_timeout(self.stop_within + Duration::from_secs(2)).is_ok();
        // The listener wakes from its wait and ends.
        let _ = std::net::TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        // The last answers may still be on their way out of this process.
        for _ in 0..100 {
            if self.front.gate().connections().0 == 0 {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.control.settle(Duration::from_secs(1));
        stopped
    }

    /// Waits until the engine has ended, by a stop from anywhere.
    pub fn wait(&self) {
        let ended = self.ended.lock().unwrap_or_else(|p| p.into_inner()).take();
        if let Some(ended) = ended {
            let _ = ended.recv();
        }
    }
}

fn ask(inbox: &Inbox, request: ControlRequest) -> Result<ControlAnswer, GatewayError> {
    let (reply, answer) = thread_mpsc::channel();
    inbox.send(Message::Control(request, reply));
    let answer = answer.recv_timeout(Duration::from_secs(10)).map_err(|_| GatewayError::Stopped)?;
    answer.map_err(GatewayError::TurnedDown)
}

fn serve_control(path: &std::path::Path, inbox: Inbox) -> io::Result<Served> {
    // A channel's sender may not be shared between threads as it is; each request clones it under the lock.
    let inbox = Mutex::new(inbox);
    control::serve(path, move |request: ControlRequest| {
        let inbox = inbox.lock().unwrap_or_else(|p| p.into_inner()).clone();
        ask(&inbox, request).map_err(|e| e.to_string())
    })
}
