//! The face of a node: NVMe over TCP on plain threads.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use nvme::{Completion, Digests, IoCommand, Output, Session, Status, StatusCode, Target, TargetOptions};
use records::{Clock, NodeLine, Op, Recorder};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::disk::{Disk, DiskOptions, Found};
use crate::fault::Fault;
use crate::model::{Arrival, Job, JobId, Model, ModelOptions};
use crate::store::Store;

/// Connections that a node takes at a time.
const CONNECTIONS: usize = 1024;
/// A peer that takes nothing for this long loses its connection.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Its name.
    pub name: String,
    /// The shard it holds.
    pub shard: u32,
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Its power.
    pub model: ModelOptions,
    /// Subsystem and namespaces.
    pub target: TargetOptions,
    /// It starts cold.
    pub cold: bool,
    /// How long it remembers the tokens of keyed writes.
    pub memory: Micros,
    /// Bytes that count as a unit.
    pub unit_bytes: u64,
    /// The most units of a command.
    pub most_units: f64,
    /// Where it keeps its blocks; without it they are gone with its process.
    pub disk: Option<DiskOptions>,
}

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// It cannot listen, or have its threads.
    #[error("node {0} cannot listen on {1}: {2}")]
    Listen(String, SocketAddr, io::Error),
    /// Its disk cannot be used.
    #[error("node {0}: {1}")]
    Disk(String, filelog::LogError),
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its shard.
    pub shard: u32,
    /// When it last started cold, on the records' clock; 0: it started warm.
    pub started: Micros,
    /// It is up.
    pub up: bool,
    /// It fell over.
    pub fallen: bool,
    /// Jobs that it holds.
    pub held: usize,
    /// Connections.
    pub connections: usize,
    /// Its life by its disk's count; 0: it has none.
    #[serde(default)]
    pub life: u64,
    /// Since when it remembers every token, by its clock; 0: since its disk was new.
    #[serde(default)]
    pub memory_since: Micros,
}

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

    fn command(&self, state: &mut State, id: u64, command: IoCommand, now: Micros, writes: &mut Writes) {
        let Some(connection) = state.connections.get(&id) else { return };
        let block_size = state.target.namespace(command.nsid).map_or(4096, |ns| ns.block_size);
        let bytes = command.blocks * block_size;
        if self.recorder.is_on() {
            self.recorder.write(&NodeLine::Arrive {
                t: now,
                began: (command.began != now).then_some(command.began),
                gateway: connection.gateway.clone(),
                token: command.token,
                attempt: command.attempt,
                op: op(&command),
                nsid: command.nsid,
                slba: command.slba,
                blocks: command.blocks,
            });
        }
        let cid = command.cid;
        if state.faults.full || state.faults.fail {
            let full = state.faults.full;
            let status = if full {
                Status::passing(StatusCode::VendorFull)
            } else {
                Status::passing(StatusCode::InternalError)
            };
            self.record_answer(&command, full);
            return answer(state, id, cid, Completion::of(status), writes);
        }
        let units = (u64::from(bytes).div_ceil(self.options.unit_bytes.max(1)).max(1) as f64)
            .min(self.options.most_units);
        state.next += 1;
        let job = Job { id: JobId(state.next), write: command.opcode == nvme::io::WRITE, bytes, units };
        // Work of less than a microsecond is no work: it ends here, without a change of threads.
        if state.model.held() == 0 && self.options.model.work(job.write, bytes) < 1.0 {
            return self.run(state, id, command, writes);
        }
        match state.model.arrive(now, job) {
            Arrival::Taken => {
                state.jobs.insert(job.id, Pending { connection: id, command });
                self.wake.notify_all();
            }
            Arrival::Full => {
                self.record_answer(&command, true);
                answer(state, id, cid, Completion::of(Status::passing(StatusCode::VendorFull)), writes);
            }
            Arrival::Fallen => {
                self.recorder.write(&NodeLine::Fell { t: now });
                self.down(state);
            }
        }
    }

    fn record_answer(&self, command: &IoCommand, full: bool) {
        if self.recorder.is_on() {
            let (token, attempt, slba) = (command.token, command.attempt, command.slba);
            self.recorder.write(&NodeLine::Answer { t: self.clock.now(), token, attempt, slba, full });
        }
    }

    /// Carries a command out and answers it.
    fn run(&self, state: &mut State, id: u64, command: IoCommand, writes: &mut Writes) {
        let now = self.clock.now();
        let block_size = state.target.namespace(command.nsid).map_or(4096, |ns| ns.block_size);
        let (nsid, slba) = (command.nsid, command.slba);
        let mut data = Bytes::new();
        let (mut applied, mut number) = (true, 0);
        match command.opcode {
            nvme::io::READ => data = state.store.read(nsid, slba, command.blocks, block_size),
            nvme::io::WRITE => {
                applied = !command.keyed
                    || command.token == 0
                    || state.store.first(now, self.options.memory, command.token, nsid, slba);
                if applied {
                    state.store.write(nsid, slba, block_size, &command.data);
                    let token = if command.keyed { command.token } else { 0 };
                    if let Some(disk) = &mut state.disk {
                        match disk.write(token, nsid, slba, block_size, &command.data) {
                            Ok(n) => number = n,
                            Err(error) => return self.disk_failed(state, &error),
                        }
                    }
                }
            }
            _ => {}
        }
        if self.recorder.is_on() {
            let (token, attempt) = (command.token, command.attempt);
            let op = op(&command);
            self.recorder.write(&NodeLine::Run { t: now, token, attempt, nsid, slba, op, applied, number });
        }
        if !state.faults.silent {
            self.record_answer(&command, false);
        }
        let dw0 = state.model.held() as u32 + 1;
        let completion = Completion { dw0, data, ..Completion::of(Status::SUCCESS) };
        answer(state, id, command.cid, completion, writes);
    }

    /// Writes what is to be written, damaged or cut as the faults say, with the state unlocked.
    fn write(&self, mut state: MutexGuard<'_, State>, writes: Writes) {
        // Danger: an answer that goes out before its write is durable promises what a cut takes back; so does a read that
        // shows such a write. One sync covers all that was done since the last. Harm: the batch waits for the disk.
        let State { disk, store, target, .. } = &mut *state;
        if let Some(disk) = disk {
            let size = |nsid| target.namespace(nsid).map_or(4096, |ns| ns.block_size);
            if let Err(error) = disk.sync().and_then(|()| disk.tidy(store, size, draw(&self.clock))) {
                return self.disk_failed(&mut state, &error);
            }
        }
        let (silent, corrupt) = (state.faults.silent || state.faults.down, state.faults.corrupt);
        let half = state.faults.half && writes.iter().any(|w| w.1.len() > 24);
        state.faults.half &= !half;
        drop(state);
        if silent {
            return;
        }
        let mut half = half;
        for (outlet, mut bytes) in writes {
            if bytes.is_empty() {
                continue;
            }
            if corrupt && bytes.len() > 512 {
                let at = bytes.len() / 2;
                bytes[at] ^= 0x10;
            }
            if half && bytes.len() > 24 {
                half = false;
                outlet.write(&bytes[..bytes.len() / 2]);
                outlet.close();
                continue;
            }
            outlet.write(&bytes);
        }
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

/// A number for a file that has to be made: no two of one node are the same.
fn draw(clock: &Clock) -> u64 {
    (clock.now() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id())
}

fn op(command: &IoCommand) -> Op {
    match command.opcode {
        nvme::io::READ => Op::Read,
        nvme::io::WRITE => Op::Write,
        _ => Op::Flush,
    }
}

fn answer(state: &mut State, id: u64, cid: u16, completion: Completion, writes: &mut Writes) {
    let Some(connection) = state.connections.get_mut(&id) else { return };
    let mut out = BytesMut::new();
    connection.session.complete(cid, completion, &mut out);
    match writes.iter_mut().find(|w| Arc::ptr_eq(&w.0, &connection.outlet)) {
        Some(write) => write.1.unsplit(out),
        None => writes.push((connection.outlet.clone(), out)),
    }
}
