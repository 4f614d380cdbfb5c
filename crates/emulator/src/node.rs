//! The face of a node: NVMe over TCP on plain threads.

mod commands;
mod options;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use bytes::BytesMut;
use nvme::{Completion, Digests, IoCommand, Output, Session, Status, Target};
use records::{Clock, NodeLine, Recorder};

use crate::Micros;
use crate::disk::{Disk, Found};
use crate::fault::Fault;
use crate::model::{JobId, Model};
use crate::store::Store;
use commands::{answer, draw};
pub use options::{NodeError, NodeOptions, NodeStatus};

/// Connections that a node takes at a time.
const CONNECTIONS: usize = 1024;
/// A peer that takes nothing for this long loses its connection.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Faults {
    silent: bool,
    stalled: bool,
    fail: bool,
    full: bool,
    refuse: bool,
    corrupt: bool,
    half: bool,
    down: bool,
}

/// A connection's way out. Whole answers are written under the lock, so that two threads do not mix theirs.
struct Outlet {
    stream: TcpStream,
    lock: Mutex<()>,
}

impl Outlet {
    fn write(&self, bytes: &[u8]) {
        let _whole = self.lock.lock().unwrap_or_else(|p| p.into_inner());
        if (&self.stream).write_all(bytes).is_err() {
            self.close();
        }
    }

    fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Connection {
    session: Session,
    outlet: Arc<Outlet>,
    gateway: String,
    cntlid: Option<u16>,
}

struct Pending {
    connection: u64,
    command: IoCommand,
}

struct State {
    model: Model,
    target: Target,
    store: Store,
    disk: Option<Disk>,
    faults: Faults,
    started: Micros,
    connections: HashMap<u64, Connection>,
    jobs: HashMap<JobId, Pending>,
    next: u64,
}

struct Shared {
    options: NodeOptions,
    clock: Clock,
    recorder: Recorder,
    state: Mutex<State>,
    wake: Condvar,
    closing: AtomicBool,
}

/// What is to be written once the state is unlocked.
type Writes = Vec<(Arc<Outlet>, BytesMut)>;

/// A running node. Dropped, it closes its connections and ends its threads.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(options: NodeOptions, recorder: Recorder) -> Result<Node, NodeError> {
        let clock = Clock::new();
        let failed = |e| NodeError::Listen(options.name.clone(), options.listen, e);
        let listener = TcpListener::bind(options.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let now = clock.now();
        let (mut store, mut disk, mut kept) = (Store::default(), None, None);
        if let Some(disk_options) = &options.disk {
            let found = Disk::open(disk_options, now, draw(&clock));
            let found = found.map_err(|e| NodeError::Disk(options.name.clone(), e))?;
            (store, disk, kept) = (found.store, Some(found.disk), Some(found.kept));
        }
        let state = State {
            model: Model::new(options.model.clone(), now, options.cold),
            target: Target::new(options.target.clone()),
            store,
            disk,
            faults: Faults::default(),
            started: if options.cold { now } else { 0 },
            connections: HashMap::new(),
            jobs: HashMap::new(),
            next: 0,
        };
        let shared = Arc::new(Shared {
            options,
            clock,
            recorder,
            state: Mutex::new(state),
            wake: Condvar::new(),
            closing: AtomicBool::new(false),
        });
        shared.record_start(now, shared.options.cold, kept);
        let (accepts, works) = (shared.clone(), shared.clone());
        let named = |name: &str| std::thread::Builder::new().name(name.to_owned());
        let failed = |e| NodeError::Listen(shared.options.name.clone(), address, e);
        named("node-accept").spawn(move || accepts.accept(&listener)).map_err(failed)?;
        named("node-work").spawn(move || works.work()).map_err(failed)?;
        Ok(Node { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it says of itself.
    pub fn status(&self) -> NodeStatus {
        let state = self.shared.lock();
        NodeStatus {
            name: self.shared.options.name.clone(),
            lost_log_lines: output::lost_lines(),
            address: self.address,
            shard: self.shared.options.shard,
            started: state.started,
            up: !state.faults.down,
            fallen: state.model.has_fallen(),
            held: state.model.held(),
            connections: state.connections.len(),
            life: state.disk.as_ref().map_or(0, |d| d.life),
            memory_since: state.disk.as_ref().map_or(state.started, |d| d.memory_since),
        }
    }

    /// Switches a fault.
    pub fn fault(&self, fault: Fault) {
        self.shared.fault(fault);
    }

    /// Blocks that were ever written.
    pub fn written(&self) -> usize {
        self.shared.lock().store.written()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        self.shared.lock().connections.values().for_each(|c| c.outlet.close());
        self.shared.wake.notify_all();
        // The listener wakes from its wait and ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn record_start(&self, t: Micros, cold: bool, kept: Option<u64>) {
        let (o, mean) = (&self.options, self.options.unit_bytes as u32);
        let units_per_s = f64::from(o.model.cores) * 1e6 / o.model.work(false, mean).max(1.0);
        let (node, shard) = (o.name.clone(), o.shard);
        self.recorder.write(&NodeLine::Start { t, node, shard, cold, units_per_s, kept });
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.closing.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(10)); // Out of descriptors: let some close.
                continue;
            };
            let shared = self.clone();
            let spawned = std::thread::Builder::new().name("node-connection".into()).spawn(move || {
                // A connection that cannot be set up is a connection that breaks.
                let _ = shared.serve(stream);
            });
            drop(spawned);
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_PATIENCE))?;
        let outlet = Arc::new(Outlet { stream: stream.try_clone()?, lock: Mutex::new(()) });
        let id = {
            let mut state = self.lock();
            if state.faults.down || state.faults.refuse || state.connections.len() >= CONNECTIONS {
                return stream.shutdown(Shutdown::Both);
            }
            let session = Session::new(&state.target, Digests { header: true, data: true });
            state.next += 1;
            let id = state.next;
            let connection = Connection { session, outlet, gateway: String::new(), cntlid: None };
            state.connections.insert(id, connection);
            id
        };
        let mut buffer = vec![0; 128 * 1024];
        loop {
            match (&stream).read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    if !self.received(id, &buffer[..n]) {
                        break;
                    }
                }
            }
        }
        self.gone(id);
        stream.shutdown(Shutdown::Both)
    }

    /// Handles bytes of a connection; whether it goes on.
    fn received(&self, id: u64, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        while state.faults.stalled && !self.closing.load(Ordering::SeqCst) {
            state = self.wake.wait(state).unwrap_or_else(|p| p.into_inner());
        }
        let now = self.clock.now();
        let State { target, connections, .. } = &mut *state;
        let Some(connection) = connections.get_mut(&id) else { return false };
        let (mut out, mut outputs) = (BytesMut::new(), Vec::new());
        connection.session.receive(bytes, now, target, &mut out, &mut outputs);
        let mut writes = vec![(connection.outlet.clone(), out)];
        let mut goes_on = true;
        for output in outputs {
            match output {
                Output::Command(command) => self.command(&mut state, id, command, now, &mut writes),
                Output::Abort { cid, .. } => {
                    // What it has taken it runs: nothing is taken back.
                    let completion = Completion { dw0: 1, ..Completion::of(Status::SUCCESS) };
                    answer(&mut state, id, cid, completion, &mut writes);
                }
                Output::Bound(admission) => {
                    let host = state.target.host(admission.cntlid).unwrap_or_default();
                    let gateway = host.rsplit(':').next().unwrap_or_default().to_owned();
                    if let Some(connection) = state.connections.get_mut(&id) {
                        (connection.gateway, connection.cntlid) = (gateway, Some(admission.cntlid));
                    }
                }
                Output::Ended(cntlid) => {
                    let others = state.connections.iter().filter(|(other, _)| **other != id);
                    others.filter(|(_, c)| c.cntlid == Some(cntlid)).for_each(|(_, c)| c.outlet.close());
                }
                Output::Close(_) => goes_on = false,
            }
        }
        self.write(state, writes);
        goes_on
    }

    fn gone(&self, id: u64) {
        let mut state = self.lock();
        let State { target, connections, .. } = &mut *state;
        let Some(mut connection) = connections.remove(&id) else { return };
        let mut outputs = Vec::new();
        connection.session.closed(target, &mut outputs);
        for output in outputs {
            if let Output::Ended(cntlid) = output {
                let others = connections.values().filter(|c| c.cntlid == Some(cntlid));
                others.for_each(|c| c.outlet.close());
            }
        }
        // Its jobs still run, as on a node that does not stop work for a lost peer.
    }

    /// Ends the jobs whose time has come.
    fn work(self: Arc<Self>) {
        let mut state = self.lock();
        let mut done = Vec::new();
        loop {
            if self.closing.load(Ordering::SeqCst) {
                return;
            }
            panics::test_point("node");
            let now = self.clock.now();
            state.model.advance(now, &mut done);
            let over = state.target.expire(now);
            let silent = state.connections.values().filter(|c| c.cntlid.is_some_and(|x| over.contains(&x)));
            silent.for_each(|c| c.outlet.close());
            if !done.is_empty() {
                let mut writes = Vec::new();
                for job in done.drain(..) {
                    if let Some(Pending { connection, command }) = state.jobs.remove(&job.id) {
                        self.run(&mut state, connection, command, &mut writes);
                    }
                }
                self.write(state, writes);
                state = self.lock();
                continue;
            }
            let wait = state.model.next_due().map_or(200_000, |at| (at - now).clamp(1, 200_000));
            let woken = self.wake.wait_timeout(state, Duration::from_micros(wait as u64));
            state = woken.unwrap_or_else(|p| p.into_inner()).0;
        }
    }

    /// Danger: a node whose disk has failed must not answer from what it only remembers. It goes down; revived, it reads its
    /// disk again.
    fn disk_failed(&self, state: &mut State, error: &filelog::LogError) {
        tracing::error!(node = self.options.name, %error, "the disk failed; the node goes down");
        self.down(state);
    }

    fn down(&self, state: &mut State) {
        state.faults.down = true;
        state.jobs.clear();
        // Danger: bytes that came before the death must not be handled after it, not even once it is back.
        let State { target, connections, .. } = &mut *state;
        for (_, mut connection) in connections.drain() {
            connection.session.closed(target, &mut Vec::new());
            connection.outlet.close();
        }
        self.recorder.write(&NodeLine::Down { t: self.clock.now() });
    }

    fn fault(&self, fault: Fault) {
        let mut state = self.lock();
        let now = self.clock.now();
        self.recorder.write(&NodeLine::Fault { t: now, fault: format!("{fault:?}") });
        match fault {
            Fault::Silent(on) => state.faults.silent = on,
            Fault::Stall(on) => {
                state.faults.stalled = on;
                state.model.set_stalled(now, on);
            }
            Fault::Slow(factor) => state.model.set_slow(factor),
            Fault::Fail(on) => state.faults.fail = on,
            Fault::Full(on) => state.faults.full = on,
            Fault::Reset => state.connections.values().for_each(|c| c.outlet.close()),
            Fault::Refuse(on) => state.faults.refuse = on,
            Fault::Corrupt(on) => state.faults.corrupt = on,
            Fault::Half => state.faults.half = true,
            Fault::Die => self.down(&mut state),
            Fault::Revive => {
                let mut kept = None;
                if let Some(options) = &self.options.disk {
                    state.disk = None;
                    match Disk::open(options, now, draw(&self.clock)) {
                        Ok(Found { disk, store, kept: last }) => {
                            (state.disk, state.store, kept) = (Some(disk), store, Some(last));
                        }
                        Err(error) => return self.disk_failed(&mut state, &error),
                    }
                }
                state.model = Model::new(self.options.model.clone(), now, true);
                state.faults = Faults::default();
                state.started = now;
                self.record_start(now, true, kept);
            }
        }
        self.wake.notify_all();
    }
}
