//! The world itself: who is connected to whom, and what happens in which order.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;

use bytes::Bytes;
use emulator::Arrival;
use http1::{AnswerDecoder, Incoming, Limits, RequestDecoder};
use platform::{Machine, Output, Sizes, SocketId};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use crate::agent::{Agent, Listed, Register, WATCHED, chunk};
use crate::client::{AIM, Asking, PATIENCE, SLACK, Volumes};
use crate::config::{config, face};
use crate::node::{ConnId, Node, Work};
use crate::scenario::{Scenario, Trouble};
use crate::tally::Tally;
use crate::timeline::Timeline;
use crate::{Micros, Plant};

/// When a world begins, on the clock that every machine reads.
const BEGINNING: Micros = 1_700_000_000_000_000;
/// One way between gateways and nodes; twice that and the handshake's work for a new connection.
const WAY: Micros = 200;
const HANDSHAKE: Micros = 800;
/// One way between clients and gateways, and on a gateway's own machine.
const NEAR: Micros = 50;
/// Agents write an empty line so often.
const BEAT: Micros = 2_000_000;
/// A planted mistake's pause between two connects.
const AT_ONCE: Micros = 10_000;
/// From a node's draining to its end.
const DRAIN: Micros = 2_000_000;
const LIMITS: Limits = Limits { head: 16 << 10, body: 1 << 20, informational: 4 };

enum Peer {
    Node {
        face: usize,
        up: bool,
        decoder: RequestDecoder,
        /// Nothing more will be heard on it: the node fell silent, or over.
        lost: bool,
        /// A request has come on it.
        used: bool,
    },
    Agent {
        up: bool,
    },
    Client {
        decoder: AnswerDecoder,
        request: Option<u64>,
        /// What came before the gateway accepted it.
        early: Vec<u8>,
    },
}

struct Conn {
    gateway: usize,
    socket: Option<SocketId>,
    peer: Peer,
}

struct Gateway {
    machine: Option<Machine>,
    life: u32,
    sockets: HashMap<SocketId, ConnId>,
    due: Micros,
    /// Leave to accept, and clients that wait for it.
    leaves: usize,
    waiting: VecDeque<ConnId>,
    listening: bool,
    next_client: u64,
    /// Connections of clients on which nothing is asked.
    idle: Vec<ConnId>,
    agent: Agent,
    /// It has called for the list in this life.
    called: bool,
}

enum Event {
    Asks(usize),
    Again(u64),
    GivesUp(u64),
    Wake(usize, u32),
    Up(ConnId),
    ToGateway(ConnId, Bytes),
    EndAtGateway(ConnId),
    ToNode(ConnId, Bytes),
    NodeDue(usize),
    ToClient(ConnId, Bytes),
    EndAtClient(ConnId),
    Listed(usize, u64),
    Beat(usize),
    Trouble(usize),
    Back(usize),
    Replaced(usize),
    Gone(usize),
    Leave(Range<usize>),
    Start(usize),
    Discovery(bool),
    Calls(usize, u32, SocketId),
    Reconnects(usize, u32, usize),
}

/// A fleet in its world.
pub struct World {
    scenario: Scenario,
    plant: Plant,
    rng: SmallRng,
    line: Timeline<Event>,
    volumes: Volumes,
    gateways: Vec<Gateway>,
    nodes: Vec<Node>,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    requests: HashMap<u64, Asking>,
    next_request: u64,
    effects: HashMap<u64, u32>,
    register: Register,
    discovery: bool,
    end: Micros,
    tally: Tally,
}

impl World {
    /// A world as a scenario says, with a mistake planted into its gateways or none.
    pub fn new(scenario: Scenario, plant: Plant) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let volumes = Volumes::deal(&scenario, &mut rng);
        let mut register = Register::default();
        let nodes: Vec<Node> = (0..scenario.nodes)
            .map(|n| {
                let zone = n % scenario.zones.max(1);
                register.set(n, zone, n, Listed::InService, None);
                Node::new(&scenario.node, n, zone, BEGINNING, false)
            })
            .collect();
        let mut world = World {
            plant,
            rng,
            line: Timeline::new(BEGINNING),
            volumes,
            gateways: Vec::new(),
            nodes,
            conns: BTreeMap::new(),
            next_conn: 0,
            requests: HashMap::new(),
            next_request: 0,
            effects: HashMap::new(),
            register,
            discovery: true,
            end: BEGINNING + scenario.length,
            tally: Tally::default(),
            scenario,
        };
        for g in 0..world.scenario.gateways {
            world.gateways.push(Gateway {
                machine: None,
                life: 0,
                sockets: HashMap::new(),
                due: Micros::MAX,
                leaves: 0,
                waiting: VecDeque::new(),
                listening: false,
                next_client: 0,
                idle: Vec::new(),
                agent: Agent { knows: world.register.revision(), told: 0 },
                called: false,
            });
            world.start(g);
            world.next_asks(g);
            let first = world.rng.random_range(0..BEAT);
            world.line.plan(first, Event::Beat(g));
        }
        for (at, trouble) in world.scenario.troubles.iter().enumerate() {
            let when = match *trouble {
                Trouble::Silence { at, .. }
                | Trouble::Replace { at, .. }
                | Trouble::Kill { at, .. }
                | Trouble::Roll { at, .. }
                | Trouble::NoDiscovery { at, .. } => at,
            };
            world.line.plan(when, Event::Trouble(at));
        }
        world
    }

    /// Plays the world to its end: until every request has had its time.
    pub fn play(mut self) -> Tally {
        let end = self.end + PATIENCE + SLACK + 1;
        while let Some(event) = self.line.next(end) {
            self.event(event);
        }
        let now = self.line.now();
        for node in &self.nodes {
            self.tally.cold_sent += node.cold_sent;
            self.tally.cold_borne += node.borne(now);
        }
        self.tally
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Asks(g) => self.asks(g),
            Event::Again(request) => self.ask(request),
            Event::GivesUp(request) => self.gives_up(request),
            Event::Wake(g, life) => self.wake(g, life),
            Event::Up(conn) => self.up(conn),
            Event::ToGateway(conn, bytes) => self.reach_gateway(conn, &bytes),
            Event::EndAtGateway(conn) => self.end_at_gateway(conn),
            Event::ToNode(conn, bytes) => self.reach_node(conn, &bytes),
            Event::NodeDue(n) => self.node_due(n),
            Event::ToClient(conn, bytes) => self.reach_client(conn, &bytes),
            Event::EndAtClient(conn) => self.end_at_client(conn),
            Event::Listed(g, revision) => {
                let agent = &mut self.gateways[g].agent;
                agent.knows = agent.knows.max(revision);
                self.tell(g);
            }
            Event::Beat(g) => {
                self.tell_line(g, "");
                self.line.plan(BEAT, Event::Beat(g));
            }
            Event::Trouble(at) => self.trouble(self.scenario.troubles[at]),
            Event::Back(zone) => self.back(zone),
            Event::Replaced(n) => self.replaced(n),
            Event::Gone(n) => self.gone(n),
            Event::Leave(range) => {
                let now = self.line.now();
                for g in range {
                    if let Some(machine) = &mut self.gateways[g].machine {
                        machine.leave(now);
                        self.drive(g);
                    }
                }
            }
            Event::Start(g) => {
                self.kill(g);
                self.start(g);
            }
            Event::Discovery(on) => self.discovery = on,
            Event::Calls(g, life, socket) => {
                if self.gateways[g].life == life && !self.gateways[g].sockets.contains_key(&socket) {
                    self.call(g, socket);
                }
            }
            Event::Reconnects(g, life, face) => {
                if self.gateways[g].life == life && self.gateways[g].machine.is_some() {
                    self.connect(g, None, face);
                }
            }
        }
    }

    // Troubles.

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Silence { zone, lasts, .. } => {
                self.nodes.iter_mut().filter(|n| n.zone == zone).for_each(|n| n.silent = true);
                self.line.plan(lasts, Event::Back(zone));
            }
            Trouble::Replace { part, lasts, .. } => {
                let mut live: Vec<usize> = (0..self.nodes.len()).filter(|&n| !self.nodes[n].gone).collect();
                live.shuffle(&mut self.rng);
                let many = (live.len() as f64 * part) as usize;
                for (k, n) in live.into_iter().take(many).enumerate() {
                    self.line.plan(lasts * k as Micros / many.max(1) as Micros, Event::Replaced(n));
                }
            }
            Trouble::Kill { part, back, .. } => {
                let many = (self.gateways.len() as f64 * part) as usize;
                let mut all: Vec<usize> = (0..self.gateways.len()).collect();
                all.shuffle(&mut self.rng);
                for g in all.into_iter().take(many) {
                    self.kill(g);
                    self.line.plan(back, Event::Start(g));
                }
            }
            Trouble::Roll { step, back, .. } => {
                let count = self.gateways.len();
                for tenth in 0..10 {
                    let range = count * tenth / 10..count * (tenth + 1) / 10;
                    let at = step * tenth as Micros;
                    for g in range.clone() {
                        self.line.plan(at + back, Event::Start(g));
                    }
                    self.line.plan(at, Event::Leave(range));
                }
            }
            Trouble::NoDiscovery { lasts, .. } => {
                self.discovery = false;
                let watches: Vec<ConnId> = self.conns_where(|c| matches!(c.peer, Peer::Agent { .. }));
                watches.into_iter().for_each(|c| self.line.plan(NEAR, Event::EndAtGateway(c)));
                self.line.plan(lasts, Event::Discovery(true));
            }
        }
    }

    fn conns_where(&self, is: impl Fn(&Conn) -> bool) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| is(c)).map(|(id, _)| *id).collect()
    }

    /// The nodes of a zone are heard again, cold; what was open to them is reset.
    fn back(&mut self, zone: usize) {
        let now = self.line.now();
        for n in 0..self.nodes.len() {
            if self.nodes[n].zone == zone && self.nodes[n].silent && !self.nodes[n].gone {
                self.reset_all(n);
                self.nodes[n].restart(now);
                self.list(n, Listed::InService);
            }
        }
    }

    fn reset_all(&mut self, n: usize) {
        let open = self.conns_where(|c| matches!(c.peer, Peer::Node { face, .. } if face == n));
        open.into_iter().for_each(|c| self.line.plan(WAY, Event::EndAtGateway(c)));
    }

    fn replaced(&mut self, n: usize) {
        let now = self.line.now();
        let (shard, zone) = (self.nodes[n].shard, self.nodes[n].zone);
        self.nodes.push(Node::new(&self.scenario.node, shard, zone, now, true));
        self.list(self.nodes.len() - 1, Listed::InService);
        self.list(n, Listed::Terminating);
        self.line.plan(DRAIN, Event::Gone(n));
    }

    fn gone(&mut self, n: usize) {
        self.nodes[n].gone = true;
        self.reset_all(n);
        self.list(n, Listed::Terminated);
    }

    /// Lists a node, and plans when each agent hears of it.
    fn list(&mut self, n: usize, state: Listed) {
        let node = &self.nodes[n];
        self.register.set(n, node.zone, node.shard, state, node.started);
        let revision = self.register.revision();
        for g in 0..self.gateways.len() {
            let lag = self.rng.random_range(self.scenario.lag.0..=self.scenario.lag.1);
            self.line.plan(lag, Event::Listed(g, revision));
        }
    }

    // Gateways.

    fn start(&mut self, g: usize) {
        let now = self.line.now();
        let gateway = &mut self.gateways[g];
        gateway.life += 1;
        gateway.called = false;
        self.tally.starts += 1;
        let known = self.register.whole(gateway.agent.knows);
        let config = config(&self.scenario, g, gateway.life, &known);
        let sizes = Sizes::of(config.limits.sockets, config.limits.memory_mb);
        gateway.machine = Some(Machine::new(now, &config, sizes));
        gateway.listening = true;
        gateway.due = Micros::MAX;
        self.drive(g);
    }

    /// A gateway is no more, with all that it had.
    fn kill(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        gateway.machine = None;
        gateway.listening = false;
        gateway.leaves = 0;
        gateway.waiting.clear();
        gateway.sockets.clear();
        for conn in self.conns_where(|c| c.gateway == g) {
            match self.conns[&conn].peer {
                Peer::Client { request, .. } => {
                    self.tally.killed_open += u64::from(request.is_some());
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.socket = None;
                    }
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                }
                _ => self.drop_conn(conn),
            }
        }
    }

    fn wake(&mut self, g: usize, life: u32) {
        let now = self.line.now();
        let gateway = &mut self.gateways[g];
        if gateway.life != life || gateway.due > now {
            return;
        }
        gateway.due = Micros::MAX;
        if let Some(machine) = &mut gateway.machine {
            machine.tick(now);
            self.drive(g);
        }
    }

    /// Does what a machine says until it says nothing more, and plans its next wake.
    fn drive(&mut self, g: usize) {
        let now = self.line.now();
        loop {
            let Some(machine) = &mut self.gateways[g].machine else { return };
            let outputs: Vec<Output> = machine.drain().collect();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.output(g, output);
            }
            self.admit(g);
        }
        let gateway = &mut self.gateways[g];
        let Some(machine) = &gateway.machine else { return };
        self.tally.most_held = self.tally.most_held.max(machine.held());
        if machine.is_over() {
            return self.kill(g);
        }
        let due = machine.next_due();
        if due < gateway.due {
            gateway.due = due;
            let life = gateway.life;
            self.line.plan_at(due.max(now), Event::Wake(g, life));
        }
    }

    /// Accepts as far as there is leave.
    fn admit(&mut self, g: usize) {
        let now = self.line.now();
        loop {
            let gateway = &mut self.gateways[g];
            if gateway.leaves == 0 || gateway.machine.is_none() {
                return;
            }
            let Some(conn) = gateway.waiting.pop_front() else { return };
            gateway.leaves -= 1;
            self.accept(g, now, conn);
        }
    }

    fn accept(&mut self, g: usize, now: Micros, conn: ConnId) {
        let gateway = &mut self.gateways[g];
        let (Some(machine), Some(c)) = (&mut gateway.machine, self.conns.get_mut(&conn)) else { return };
        gateway.next_client += 1;
        let socket = SocketId::Client(gateway.next_client);
        c.socket = Some(socket);
        gateway.sockets.insert(socket, conn);
        machine.accepted(now, gateway.next_client);
        if let Peer::Client { early, .. } = &mut c.peer
            && !early.is_empty()
        {
            machine.received(now, socket, now, &std::mem::take(early));
        }
    }

    fn output(&mut self, g: usize, output: Output) {
        let now = self.line.now();
        match output {
            Output::Connect(socket @ SocketId::Node(_), at) => {
                self.connect(g, Some(socket), face(at));
                if self.plant == Plant::OpensUnasked {
                    self.connect(g, None, face(at));
                }
            }
            Output::Connect(socket, _) if self.plant == Plant::InStep => {
                let life = self.gateways[g].life;
                self.line.plan_at(now / 1_000_000 * 1_000_000 + 1_000_000, Event::Calls(g, life, socket));
            }
            Output::Connect(socket, _) => self.call(g, socket),
            Output::Write(socket, bytes) => self.write(g, socket, bytes),
            Output::Reuse(socket, bytes) => {
                if self.gateways[g].sockets.contains_key(&socket) {
                    self.write(g, socket, bytes);
                } else if let Some(machine) = &mut self.gateways[g].machine {
                    machine.stale(now, socket, bytes);
                }
            }
            Output::Finish(socket) => {
                if let Some(&conn) = self.gateways[g].sockets.get(&socket) {
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                }
            }
            Output::Close(socket) => {
                let Some(conn) = self.gateways[g].sockets.remove(&socket) else { return };
                if let SocketId::Client(_) = socket {
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.socket = None;
                    }
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                } else {
                    self.drop_conn(conn);
                }
            }
            Output::Resume(_) => {}
            Output::Accept => self.gateways[g].leaves += 1,
            Output::Unlisten => {
                self.gateways[g].listening = false;
                while let Some(conn) = self.gateways[g].waiting.pop_front() {
                    self.accept(g, now, conn);
                }
                if let Some(machine) = &mut self.gateways[g].machine {
                    machine.shut();
                }
            }
        }
    }

    fn write(&mut self, g: usize, socket: SocketId, bytes: Bytes) {
        let Some(&conn) = self.gateways[g].sockets.get(&socket) else { return };
        match &self.conns[&conn].peer {
            Peer::Node { .. } => {
                if self.plant == Plant::SendsTwice {
                    self.line.plan(WAY, Event::ToNode(conn, bytes.clone()));
                }
                self.line.plan(WAY, Event::ToNode(conn, bytes));
            }
            Peer::Agent { .. } => self.watched(g, conn, &bytes),
            Peer::Client { request, .. } => {
                let held = self.plant == Plant::HoldsBack && !bytes.starts_with(b"HTTP/1.1 200");
                let asked = request.and_then(|r| self.requests.get(&r)).filter(|_| held);
                let after = asked.map_or(NEAR, |a| a.asked + PATIENCE * 9 / 10 - self.line.now());
                self.line.plan(after.max(NEAR), Event::ToClient(conn, bytes));
            }
        }
    }

    fn add_conn(&mut self, gateway: usize, socket: Option<SocketId>, peer: Peer) -> ConnId {
        let id = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(id, Conn { gateway, socket, peer });
        if let Some(socket) = socket {
            self.gateways[gateway].sockets.insert(socket, id);
        }
        id
    }

    /// Takes a connection out of the world; nobody is told.
    fn drop_conn(&mut self, conn: ConnId) {
        let Some(c) = self.conns.remove(&conn) else { return };
        if let Peer::Node { face, up: true, .. } = c.peer {
            self.nodes[face].connections -= 1;
        }
    }

    // Nodes.

    fn connect(&mut self, g: usize, socket: Option<SocketId>, face: usize) {
        self.tally.connects += 1;
        let decoder = RequestDecoder::new(LIMITS);
        let conn =
            self.add_conn(g, socket, Peer::Node { face, up: false, decoder, lost: false, used: false });
        if self.nodes.get(face).is_none_or(|n| n.gone) {
            self.line.plan(WAY * 2, Event::EndAtGateway(conn));
        } else if !self.nodes[face].silent {
            self.line.plan(WAY * 2 + HANDSHAKE, Event::Up(conn));
        }
    }

    fn up(&mut self, conn: ConnId) {
        let now = self.line.now();
        let Some(c) = self.conns.get_mut(&conn) else { return };
        match &mut c.peer {
            Peer::Node { face, up, .. } => {
                let node = &mut self.nodes[*face];
                if node.silent {
                    return;
                }
                if node.gone || node.connections >= self.scenario.places {
                    self.tally.crowded += u64::from(!node.gone);
                    return self.end_at_gateway(conn);
                }
                *up = true;
                node.connections += 1;
                self.tally.came_up += 1;
                self.tally.most_connections = self.tally.most_connections.max(node.connections);
            }
            Peer::Agent { up } => *up = true,
            Peer::Client { .. } => {}
        }
        let (g, Some(socket)) = (c.gateway, c.socket) else { return };
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.up(now, socket);
            self.drive(g);
        }
    }

    fn reach_node(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(Conn { peer: Peer::Node { face, decoder, lost, used, .. }, .. }) = self.conns.get_mut(&conn)
        else {
            return;
        };
        let n = *face;
        if *lost || self.nodes[n].silent || self.nodes[n].gone || self.nodes[n].fallen {
            *lost = true;
            return;
        }
        decoder.receive(bytes);
        let mut whole = Vec::new();
        while let Ok(Some(Incoming::Whole(request))) = decoder.poll() {
            whole.push(request);
        }
        if !whole.is_empty() && !std::mem::replace(used, true) {
            self.tally.used += 1;
        }
        for request in whole {
            let id = request.fields.only("x-request-id").ok().flatten();
            let id = id.and_then(|id| std::str::from_utf8(id).ok()?.parse().ok());
            if let Some(id) = id {
                self.arrives(n, conn, id);
            }
        }
    }

    fn arrives(&mut self, n: usize, conn: ConnId, id: u64) {
        let now = self.line.now();
        let Some(asking) = self.requests.get_mut(&id) else { return };
        self.tally.attempts += 1;
        self.tally.further += u64::from(asking.reached > 0);
        asking.reached += 1;
        let key = asking.write.then_some(asking.object);
        let units = asking.units;
        match self.nodes[n].arrive(now, Work { conn, request: id, key }, units) {
            Arrival::Taken => self.plan_node(n),
            Arrival::Full => {
                self.tally.full += 1;
                let answer = http1::answer(503, &[("X-Not-Processed", "1")], b"", true);
                self.line.plan(WAY, Event::ToGateway(conn, answer));
            }
            Arrival::Fallen => {
                self.tally.fallen += u64::from(!self.nodes[n].fallen);
                self.nodes[n].fallen = true;
            }
        }
    }

    fn plan_node(&mut self, n: usize) {
        if let Some(due) = self.nodes[n].next_due() {
            self.line.plan_at(due, Event::NodeDue(n));
        }
    }

    fn node_due(&mut self, n: usize) {
        let now = self.line.now();
        if self.nodes[n].next_due().is_none_or(|due| due > now) {
            return;
        }
        for (work, fresh) in self.nodes[n].advance(now) {
            if let (true, Some(key)) = (fresh, work.key) {
                let effects = self.effects.entry(key).or_default();
                *effects += 1;
                self.tally.doubled += u64::from(*effects == 2);
            }
            let body = work.request.to_string();
            let load = [("X-Server-Load", "TEXT inflight=1")];
            let answer = http1::answer(200, &load, body.as_bytes(), true);
            self.line.plan(WAY, Event::ToGateway(work.conn, answer));
        }
        self.plan_node(n);
    }

    fn reach_gateway(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.line.now();
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let Peer::Node { face, lost, .. } = &c.peer
            && (*lost || self.nodes[*face].silent)
        {
            return;
        }
        let g = c.gateway;
        let Some(socket) = c.socket else {
            if let Peer::Client { early, .. } = &mut c.peer {
                early.extend_from_slice(bytes);
            }
            return;
        };
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.received(now, socket, now, bytes);
            self.drive(g);
        }
    }

    /// A connection ends at its gateway: the other side closed or reset it, or it never came.
    fn end_at_gateway(&mut self, conn: ConnId) {
        let now = self.line.now();
        let Some(c) = self.conns.get(&conn) else { return };
        let (g, socket) = (c.gateway, c.socket);
        let (was_up, node) = match c.peer {
            Peer::Node { up, face, .. } => (up, Some(face)),
            Peer::Agent { up } => (up, None),
            Peer::Client { .. } => (true, None),
        };
        self.drop_conn(conn);
        if let (Plant::ReconnectsAtOnce, Some(face)) = (self.plant, node) {
            let life = self.gateways[g].life;
            self.line.plan(AT_ONCE, Event::Reconnects(g, life, face));
        }
        let Some(socket) = socket else { return };
        self.gateways[g].sockets.remove(&socket);
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.ended(now, socket, !was_up);
            self.drive(g);
        }
    }

    // Discovery.

    fn call(&mut self, g: usize, socket: SocketId) {
        let now = self.line.now();
        let first = !std::mem::replace(&mut self.gateways[g].called, true);
        self.tally.list_call(now, first);
        let conn = self.add_conn(g, Some(socket), Peer::Agent { up: false });
        let event = if self.discovery { Event::Up(conn) } else { Event::EndAtGateway(conn) };
        self.line.plan(NEAR, event);
    }

    /// A gateway asks to watch the list after the version that it has.
    fn watched(&mut self, g: usize, conn: ConnId, ask: &[u8]) {
        let after = std::str::from_utf8(ask).ok().and_then(|text| {
            let digits = text.split("after=").nth(1)?;
            digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        });
        self.gateways[g].agent.told = after.unwrap_or(0);
        self.line.plan(NEAR, Event::ToGateway(conn, Bytes::from_static(WATCHED.as_bytes())));
        self.tell(g);
    }

    /// Tells a gateway what its agent knows and has not told.
    fn tell(&mut self, g: usize) {
        let agent = &self.gateways[g].agent;
        if agent.knows > agent.told {
            let line = self.register.changes(agent.told, agent.knows).to_string();
            if self.tell_line(g, &line) {
                let agent = &mut self.gateways[g].agent;
                agent.told = agent.knows;
            }
        }
    }

    fn tell_line(&mut self, g: usize, line: &str) -> bool {
        let sockets = &self.gateways[g].sockets;
        let watch =
            sockets.iter().filter(|(s, _)| matches!(s, SocketId::Discovery(_))).map(|(_, c)| *c).max();
        let up = |c: &ConnId| matches!(self.conns.get(c), Some(Conn { peer: Peer::Agent { up: true }, .. }));
        let Some(conn) = watch.filter(up).filter(|_| self.discovery) else { return false };
        self.line.plan(NEAR, Event::ToGateway(conn, Bytes::from(chunk(line))));
        true
    }

    // Clients.

    fn next_asks(&mut self, g: usize) {
        let rate = self.volumes.rates[g];
        let gap = Exp::new(rate.max(1e-3)).map_or(1.0, |exp| exp.sample(&mut self.rng));
        self.line.plan((gap * 1e6) as Micros, Event::Asks(g));
    }

    fn asks(&mut self, g: usize) {
        let now = self.line.now();
        if now >= self.end {
            return;
        }
        self.next_asks(g);
        let asking = self.volumes.draw(g, now, &mut self.rng);
        let id = self.next_request;
        self.next_request += 1;
        self.requests.insert(id, asking);
        self.ask(id);
    }

    fn ask(&mut self, id: u64) {
        let Some(asking) = self.requests.get(&id) else { return };
        let (g, text) = (asking.gateway, asking.text(id));
        self.tally.asked += 1;
        self.line.plan(PATIENCE + SLACK, Event::GivesUp(id));
        let idle = loop {
            match self.gateways[g].idle.pop() {
                Some(conn) if self.conns.contains_key(&conn) => break Some(conn),
                Some(_) => {}
                None => break None,
            }
        };
        let conn = match idle {
            Some(conn) => conn,
            None if !self.gateways[g].listening => return self.over(id, |t| &mut t.nobody),
            None => {
                let decoder = AnswerDecoder::new(LIMITS);
                let peer = Peer::Client { decoder, request: None, early: Vec::new() };
                let conn = self.add_conn(g, None, peer);
                self.gateways[g].waiting.push_back(conn);
                self.admit(g);
                self.drive(g);
                conn
            }
        };
        if let Some(Conn { peer: Peer::Client { request, .. }, .. }) = self.conns.get_mut(&conn) {
            *request = Some(id);
            self.line.plan(NEAR, Event::ToGateway(conn, Bytes::from(text)));
        }
    }

    /// Counts a request's end, once.
    fn over(&mut self, id: u64, count: impl Fn(&mut Tally) -> &mut u64) {
        if let Some(asking) = self.requests.get_mut(&id).filter(|a| !a.ended) {
            asking.ended = true;
            *count(&mut self.tally) += 1;
        }
    }

    fn gives_up(&mut self, id: u64) {
        self.over(id, |t| &mut t.unanswered);
    }

    fn reach_client(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.line.now();
        let Some(Conn { gateway, peer: Peer::Client { decoder, request, .. }, .. }) =
            self.conns.get_mut(&conn)
        else {
            return;
        };
        let g = *gateway;
        decoder.receive(bytes);
        let Ok(Some(answer)) = decoder.poll() else { return };
        let Some(id) = request.take() else { return };
        if answer.keep {
            self.gateways[g].idle.push(conn);
        }
        let Some(asking) = self.requests.get(&id).filter(|a| !a.ended) else { return };
        let (took, again) = (now - asking.asked, asking.again);
        let held_back = answer.status != 200 && took > PATIENCE / 2 && asking.reached == 0;
        self.tally.held_back += u64::from(held_back);
        match answer.status {
            200 if took <= AIM => self.over(id, |t| &mut t.in_time),
            200 => self.over(id, |t| &mut t.late),
            429 | 503 => {
                self.over(id, |t| &mut t.refused);
                if self.scenario.returns && !again {
                    let advice = answer.fields.only("retry-after").ok().flatten();
                    let advice = advice.and_then(|a| std::str::from_utf8(a).ok()?.parse::<f64>().ok());
                    let after = (advice.unwrap_or(0.1) * 1e6) as Micros;
                    self.comes_again(id, after);
                }
            }
            _ => self.over(id, |t| &mut t.failed),
        }
    }

    /// A client's one retry, under a new id.
    fn comes_again(&mut self, id: u64, after: Micros) {
        let now = self.line.now();
        if now + after >= self.end {
            return;
        }
        let Some(before) = self.requests.get(&id) else { return };
        let asking = Asking { asked: now + after, reached: 0, again: true, ended: false, ..before.clone() };
        let next = self.next_request;
        self.next_request += 1;
        self.requests.insert(next, asking);
        self.line.plan(after, Event::Again(next));
    }

    /// A client's connection ends at the client, who closes its side.
    fn end_at_client(&mut self, conn: ConnId) {
        let Some(Conn { socket, peer: Peer::Client { request, .. }, .. }) = self.conns.get(&conn) else {
            return;
        };
        let (known, request) = (socket.is_some(), *request);
        if let Some(id) = request {
            self.over(id, |t| &mut t.cut);
        }
        if known {
            self.line.plan(NEAR, Event::EndAtGateway(conn));
        } else {
            self.drop_conn(conn);
        }
        let g = self.conns.get(&conn).map(|c| c.gateway);
        if let Some(g) = g {
            self.gateways[g].idle.retain(|&c| c != conn);
        }
    }
}
