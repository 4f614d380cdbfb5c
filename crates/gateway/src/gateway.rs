//! Starting and stopping a gateway.

use control::Served;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc as thread_mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use limits::AdmissionControl;
use may::net::TcpListener;
use nvme::{DiscoveryEntry, Target};
use records::Clock;

use crate::control_plane::ControlPlane;
use crate::coordination::Coordination;
use crate::engine::{Engine, Subsystems};
use crate::front_end::FrontEnd;
use crate::membership::ViewSnapshot;
use crate::message::{Inbox, Message};
use crate::options::GatewayOptions;
use crate::peer_network::PeerNetwork;
use crate::recovery_driver::RecoveryDriver;
use crate::status::{ControlAnswer, ControlRequest};
use transport::Ticker;

/// How long a request on the control socket may wait for the engine's answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond the stop timeout after which a stop counts as failed.
const STOP_MARGIN: Duration = Duration::from_secs(2);
/// Timeout of the connection that wakes the listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval and number of checks for client connections that are still closing.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const CLOSE_CHECKS: u32 = 100;
/// How long to wait for answers on the control socket that are still being sent.
const CONTROL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a gateway did not start or did not answer.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// Cannot listen on the address.
    #[error("cannot listen on {0}: {1}; is another process using it?")]
    Listen(SocketAddr, io::Error),
    /// Cannot create the control socket.
    #[error("cannot create the control socket {0}: {1}")]
    Control(PathBuf, io::Error),
    /// Cannot start a coroutine.
    #[error("cannot start a coroutine: {0}")]
    Start(io::Error),
    /// Cannot start the peer network.
    #[error(transparent)]
    Peers(#[from] peerlink::StartError),
    /// Cannot start following the control plane.
    #[error(transparent)]
    ControlPlane(#[from] planelink::RunError),
    /// Cannot open the write journal.
    #[error(transparent)]
    Journal(#[from] filelog::LogError),
    /// Cannot read the state kept by the previous life.
    #[error(transparent)]
    File(#[from] filelog::ReplaceError),
    /// The candidate shard map cannot be tried.
    #[error(transparent)]
    Candidate(#[from] shadow::CandidateError),
    /// The file of the previous life's orders contains something else.
    #[error("{0} is intact but does not contain orders; move it away to start without them")]
    InvalidOrdersFile(PathBuf),
    /// The engine has ended.
    #[error("the gateway has stopped")]
    Stopped,
    /// The engine has panicked.
    #[error("the gateway's engine has crashed; open commands got no answer")]
    Crashed,
    /// The request was refused.
    #[error("{0}")]
    Refused(String),
}

/// A running gateway.
pub struct Gateway {
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    view: Option<ViewSnapshot>,
    inbox: Inbox,
    front_end: Arc<FrontEnd>,
    control: Served,
    stop_timeout: Duration,
    /// Gets [`OrderlyEnd`] from the engine when it ends; without it, the engine has crashed.
    ended: Mutex<Option<thread_mpsc::Receiver<OrderlyEnd>>>,
}

/// The engine has ended in order: everything accepted was answered.
struct OrderlyEnd;

impl Gateway {
    /// Starts a gateway; it is listening when this returns.
    ///
    /// # Errors
    ///
    /// The address or the control socket is not available, or part of the gateway cannot be started.
    pub fn start(mut options: GatewayOptions) -> Result<Gateway, GatewayError> {
        task::init_runtime();
        let listener =
            TcpListener::bind(options.listen).map_err(|e| GatewayError::Listen(options.listen, e))?;
        let address = listener.local_addr().map_err(|e| GatewayError::Listen(options.listen, e))?;
        let subsystem = options.target.subsystem.clone();
        options.target.discovery =
            vec![DiscoveryEntry { subsystem, address: address.ip(), port: address.port() }];
        let (sender, messages) = may::sync::mpsc::channel();
        let inbox = Inbox(sender);
        let front_end = Arc::new(FrontEnd {
            target: Mutex::new(Target::new(options.target.clone())),
            clock: Clock::new(),
            inbox: inbox.clone(),
            client_limits: Mutex::new(AdmissionControl::new(options.client_limits.clone())),
            max_unsent_bytes: options.max_unsent_bytes,
            digests: options.digests,
            closing: AtomicBool::new(false),
        });
        let mut control = Served::default();
        if let Some(path) = options.control_socket.clone() {
            control = serve_control(&path, inbox.clone()).map_err(|e| GatewayError::Control(path, e))?;
        }
        let (name, stop_timeout) = (options.name.clone(), options.stop_timeout);
        let ticks = inbox.clone();
        let ticker =
            Ticker::start(front_end.clock, move || ticks.send(Message::Tick)).map_err(GatewayError::Start)?;
        let subsystems = start_subsystems(&mut options, front_end.clock, &inbox)?;
        let peer_address = subsystems.peer_network.as_ref().map(PeerNetwork::address);
        let view = subsystems.coordination.as_ref().map(|c| c.membership.snapshot());
        let engine = Engine::new(options, address.to_string(), front_end.clone(), inbox.clone(), subsystems);
        let (end_sender, ended) = thread_mpsc::channel();
        task::spawn("engine", move || {
            engine.run(&messages, &ticker);
            let _ = end_sender.send(OrderlyEnd); // Nobody may be waiting.
        })
        .map_err(GatewayError::Start)?;
        let acceptor = front_end.clone();
        task::spawn("accept", move || acceptor.accept(&listener)).map_err(GatewayError::Start)?;
        tracing::info!(name, %address, "gateway up");
        let ended = Mutex::new(Some(ended));
        Ok(Gateway { address, peer_address, view, inbox, front_end, control, stop_timeout, ended })
    }

    /// The address on which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address on which peers connect, if there are any.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Replaces the candidate on trial, or ends the trial; a trial of the same candidate continues. Without
    /// `[fleet]` there is no trial.
    pub fn replace_candidate(&self, candidate: Option<shadow::ShadowOptions>) {
        self.inbox.send(Message::ReplaceCandidate(candidate.map(Box::new)));
    }

    /// The fleet as this gateway sees it, if it maintains a view. Never blocks.
    pub fn view(&self) -> Option<Arc<fleet::View>> {
        self.view.as_ref().map(|view| view.load_full())
    }

    /// Sends a request to the engine, as the control socket does.
    ///
    /// # Errors
    ///
    /// The gateway has stopped, or refused the request.
    pub fn ask(&self, request: ControlRequest) -> Result<ControlAnswer, GatewayError> {
        ask(&self.inbox, request)
    }

    /// Accepts nothing new, answers everything, and ends; returns when that is done. Returns whether it was
    /// done in time.
    pub fn stop(&self) -> bool {
        let (done, stopped) = thread_mpsc::channel();
        self.inbox.send(Message::Stop(done));
        let in_time = stopped.recv_timeout(self.stop_timeout + STOP_MARGIN).is_ok();
        // Wakes the listener, so that it ends.
        let _ = std::net::TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        // The last answers may still be leaving this process.
        for _ in 0..CLOSE_CHECKS {
            if self.front_end.client_limits().connections().0 == 0 {
                break;
            }
            std::thread::sleep(CLOSE_CHECK_INTERVAL);
        }
        self.control.settle(CONTROL_DRAIN_TIMEOUT);
        in_time
    }

    /// Waits until the engine has ended, whoever stopped it. Only the first call waits.
    ///
    /// # Errors
    ///
    /// The engine has crashed: open commands got no answer.
    pub fn wait(&self) -> Result<(), GatewayError> {
        let ended = self.ended.lock().unwrap_or_else(|p| p.into_inner()).take();
        let Some(ended) = ended else { return Ok(()) };
        ended.recv().map(|OrderlyEnd| ()).map_err(|_| GatewayError::Crashed)
    }
}

/// Starts the optional subsystems: the peer network with recovery and coordination, and the control plane.
fn start_subsystems(
    options: &mut GatewayOptions,
    clock: Clock,
    inbox: &Inbox,
) -> Result<Subsystems, GatewayError> {
    let mut subsystems = Subsystems::default();
    if let Some(peering) = options.peer_network.take() {
        let names = peering.peers.peers.iter().map(|p| p.0.clone()).collect();
        let folder = peering.peers.folder.clone();
        let peer_network = PeerNetwork::start(peering.peers, inbox.clone())?;
        if let Some(recovery) = &peering.recovery {
            let (catalogue, seed, now) = (&options.catalogue, options.seed, clock.now());
            let network = (peer_network.clone(), names, folder.as_path());
            subsystems.recovery =
                Some(RecoveryDriver::start(recovery, network, catalogue, seed, now, inbox.clone())?);
        }
        if let Some(coordination) = peering.coordination {
            let volumes = options.target.namespaces.iter().map(|ns| ns.nsid).collect();
            let (now, seed) = (clock.now(), options.seed);
            subsystems.coordination =
                Some(Coordination::start(coordination, &peer_network, &folder, volumes, now, seed)?);
        }
        subsystems.peer_network = Some(peer_network);
    }
    if let Some(plane) = options.control_plane.take() {
        subsystems.control_plane = Some(ControlPlane::start(plane, inbox.clone())?);
    }
    Ok(subsystems)
}

fn ask(inbox: &Inbox, request: ControlRequest) -> Result<ControlAnswer, GatewayError> {
    let (reply, answer) = thread_mpsc::channel();
    inbox.send(Message::Control(request, reply));
    let answer = answer.recv_timeout(CONTROL_TIMEOUT).map_err(|_| GatewayError::Stopped)?;
    answer.map_err(GatewayError::Refused)
}

fn serve_control(path: &std::path::Path, inbox: Inbox) -> io::Result<Served> {
    // The channel's sender cannot be shared between threads; each request clones it under the lock.
    let inbox = Mutex::new(inbox);
    control::serve(path, move |request: ControlRequest| {
        let inbox = inbox.lock().unwrap_or_else(|p| p.into_inner()).clone();
        ask(&inbox, request).map_err(|e| e.to_string())
    })
}
