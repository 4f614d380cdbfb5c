//! A configuration, and a machine under scripted clients, nodes and discovery, in virtual time.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use platform::{Config, End, Machine, Output, Sizes, SocketId};

pub const LISTEN: &str = "127.0.0.1:0";

/// Settings with a class of reads, one of keyed writes, and two plans.
pub fn settings() -> serde_json::Value {
    serde_json::json!({
        "classes": [
            {"name": "look", "targetUs": 100_000, "deadlineUs": 500_000, "worth": 2.0, "lateValue": 0.1,
             "idempotency": "read_like"},
            {"name": "post", "targetUs": 200_000, "deadlineUs": 1_000_000, "worth": 2.0, "lateValue": 0.1,
             "idempotency": "idempotency_key", "group": "cell", "keyTtlUs": 2_000_000}
        ],
        "policies": [
            {"name": "plain", "usualRate": 50.0, "floorRate": 500.0, "ceilingRate": 0.0, "limitBurst": 0.0,
             "capSlack": 0.0, "shares": 1.0, "price": 1.0},
            {"name": "gold", "usualRate": 50.0, "floorRate": 500.0, "ceilingRate": 0.0, "limitBurst": 0.0,
             "capSlack": 0.0, "shares": 2.0, "price": 1.5}
        ],
        "peersTotal": 1, "index": 0, "discovery": "push",
        "policyLimits": {"sendCap": 3, "mayDuplicate": false, "cancel": true, "probing": false,
                         "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                         "connIdleUs": 4_000_000, "connectTimeoutUs": 200_000},
        "familyInfo": {"coldBears": 500.0, "largest": 8, "meanUnits": 2.0, "fairWorth": 0.5, "idleWorth": 0.1,
                       "slotsTotal": 4, "writes": [false, true]},
        "rules": {"coldFrom": 0.5, "warmUpUs": 1_000_000, "fallUs": 1_000_000, "drainGraceUs": 500_000},
        "fees": {"waste": 0.01}
    })
}

pub fn member(id: &str, address: SocketAddr, cell: u32, phase: &str) -> serde_json::Value {
    serde_json::json!({"id": id, "host_port": address.to_string(), "locality": "here", "flavor": "k",
                       "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, whole: bool, members: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"revision": revision, "complete": whole, "members": members})
}

pub fn config_text(discovery: SocketAddr, sockets: u64, known: &serde_json::Value) -> String {
    serde_json::json!({
        "name": "g0", "listen": LISTEN, "discovery": discovery.to_string(), "seed": "0123456789abcdef",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": known, "settings": settings(),
    })
    .to_string()
}

pub fn config(discovery: SocketAddr, sockets: u64, known: &serde_json::Value) -> Config {
    let text = config_text(discovery, sockets, known);
    Config::parse("test", text.as_bytes()).unwrap_or_else(|e| panic!("{e}"))
}

pub fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], n))
}

/// A read as a usual client words it.
pub fn look(id: &str, shard: i32) -> String {
    format!(
        "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: look\r\nX-Plan: plain\r\nX-Timeout-Ms: 400\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

/// A keyed write.
pub fn post(id: &str, shard: i32, body: &str) -> String {
    format!(
        "PUT /post/00000000000000aa/00000000000000bb?x=%20 HTTP/1.1\r\nHost: h\r\nx-request-id: {id}\r\n\
         X-PRIORITY-CLASS: post\r\nX-Plan: gold\r\nX-Timeout-Ms: 800\r\nX-IO: units=2, shard={shard}, hosts=1\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What the machine is told of what it wanted done.
enum Told {
    Stale(SocketId),
    Parted(SocketId, bool),
    GaveWay(SocketId, bool),
    Cut(SocketId),
}

/// A machine on a stage: what it wrote and did to each socket, in virtual time.
pub struct Stage {
    pub machine: Machine,
    pub now: i64,
    pub written: BTreeMap<SocketId, Vec<u8>>,
    pub connecting: Vec<(SocketId, SocketAddr)>,
    pub closed: BTreeSet<SocketId>,
    pub finished: BTreeSet<SocketId>,
    /// Connections that their node has closed, which nobody has noticed yet.
    pub dead: BTreeSet<SocketId>,
    /// Connections on which something has come that is not read, and those whose last bytes the system has not taken.
    pub unread: BTreeSet<SocketId>,
    pub clogged: BTreeSet<SocketId>,
    told: Vec<Told>,
    /// How often a connection was read on.
    pub resumes: usize,
    pub accepts: usize,
    pub unlistened: bool,
    next_client: u64,
}

impl Stage {
    pub fn new(sizes: Sizes, known: &serde_json::Value) -> Self {
        Stage::of(&config(address(1), 512, known), sizes)
    }

    /// The usual one, whose pauses are drawn from this seed.
    pub fn seeded(seed: u64) -> Self {
        let members =
            [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
        let mut config = config(address(1), 512, &list(5, true, &members));
        config.seed = seed;
        Stage::of(&config, Sizes { clients: 16, links: 16, answer: 512 << 10, answers: 1 << 20 })
    }

    /// The usual one under other settings.
    pub fn under(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let members =
            [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
        let text = config_text(address(1), 512, &list(5, true, &members));
        let mut whole: serde_json::Value = serde_json::from_str(&text).expect("a configuration");
        change(&mut whole["settings"]);
        let config = Config::parse("test", whole.to_string().as_bytes()).unwrap_or_else(|e| panic!("{e}"));
        Stage::of(&config, ROOMY)
    }

    /// One on a configuration.
    pub fn of(config: &Config, sizes: Sizes) -> Self {
        let now = 1_000_000_000;
        let mut stage = Stage {
            machine: Machine::new(now, config, sizes),
            now,
            written: BTreeMap::new(),
            connecting: Vec::new(),
            closed: BTreeSet::new(),
            finished: BTreeSet::new(),
            dead: BTreeSet::new(),
            unread: BTreeSet::new(),
            clogged: BTreeSet::new(),
            told: Vec::new(),
            resumes: 0,
            accepts: 0,
            unlistened: false,
            next_client: 0,
        };
        stage.carry_out();
        stage
    }

    /// Two nodes, of shards 0 and 1, at ports 100 and 101.
    pub fn usual() -> Self {
        let members =
            [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
        Stage::new(
            Sizes { clients: 16, links: 16, answer: 512 << 10, answers: 1 << 20 },
            &list(5, true, &members),
        )
    }

    pub fn carry_out(&mut self) {
        let mut outputs: Vec<Output> = self.machine.drain().collect();
        while !outputs.is_empty() {
            self.outputs(std::mem::take(&mut outputs));
            for told in std::mem::take(&mut self.told) {
                match told {
                    Told::Stale(socket) => self.machine.stale(self.now, socket),
                    Told::Parted(socket, done) => self.machine.parted(self.now, socket, done),
                    Told::GaveWay(socket, done) => self.machine.gave_way(self.now, socket, done),
                    Told::Cut(socket) => self.machine.ended(self.now, socket, End::Cut),
                }
            }
            outputs.extend(self.machine.drain());
        }
    }

    fn outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Connect(socket, address) => {
                    self.closed.remove(&socket);
                    self.connecting.push((socket, address));
                }
                Output::Write(socket, bytes) => {
                    assert!(!self.closed.contains(&socket), "written after it was closed: {socket:?}");
                    self.written.entry(socket).or_default().extend_from_slice(&bytes);
                }
                Output::Reuse(socket, bytes) => {
                    assert!(!self.closed.contains(&socket), "used again after it was closed: {socket:?}");
                    if self.dead.remove(&socket) {
                        self.closed.insert(socket);
                        self.told.push(Told::Stale(socket));
                    } else {
                        self.written.entry(socket).or_default().extend_from_slice(&bytes);
                    }
                }
                Output::Finish(socket) => {
                    self.finished.insert(socket);
                }
                Output::Part(socket) => {
                    let done = !self.unread.contains(&socket);
                    if done {
                        self.finished.insert(socket);
                    }
                    self.told.push(Told::Parted(socket, done));
                }
                Output::GiveWay(socket) => {
                    let done = !self.unread.contains(&socket) && !self.clogged.contains(&socket);
                    if done {
                        self.closed.insert(socket);
                    }
                    self.told.push(Told::GaveWay(socket, done));
                }
                Output::Cut(socket) => {
                    if self.clogged.remove(&socket) {
                        self.closed.insert(socket);
                        self.told.push(Told::Cut(socket));
                    }
                }
                Output::Close(socket) => {
                    self.closed.insert(socket);
                    self.connecting.retain(|(s, _)| *s != socket);
                }
                Output::Resume(_) => self.resumes += 1,
                Output::Accept => self.accepts += 1,
                Output::Unlisten => self.unlistened = true,
            }
        }
    }

    /// Lets time pass, each due moment by itself.
    pub fn pass(&mut self, span: i64) {
        let then = self.now + span;
        while self.machine.next_due() <= then {
            self.now = self.now.max(self.machine.next_due());
            self.machine.tick(self.now);
            self.carry_out();
        }
        self.now = then;
    }

    /// Connections that have just brought an answer may be used again.
    pub fn cool(&mut self) {
        self.pass(11_000);
    }

    pub fn client(&mut self) -> SocketId {
        self.next_client += 1;
        self.machine.accepted(self.now, self.next_client);
        self.carry_out();
        SocketId::Client(self.next_client)
    }

    pub fn bytes(&mut self, socket: SocketId, bytes: impl AsRef<[u8]>) {
        self.unread.remove(&socket);
        self.machine.received(self.now, socket, self.now, bytes.as_ref());
        self.carry_out();
    }

    pub fn up(&mut self, socket: SocketId) {
        self.connecting.retain(|(s, _)| *s != socket);
        self.machine.up(self.now, socket);
        self.carry_out();
    }

    pub fn ended(&mut self, socket: SocketId, cut: bool) {
        self.ends(socket, if cut { End::Cut } else { End::Broken });
    }

    pub fn ends(&mut self, socket: SocketId, end: End) {
        self.connecting.retain(|(s, _)| *s != socket);
        self.machine.ended(self.now, socket, end);
        self.carry_out();
    }

    /// The connections to nodes that are asked for.
    pub fn rising(&self) -> Vec<SocketId> {
        self.connecting.iter().map(|(s, _)| *s).filter(|s| matches!(s, SocketId::Node(_))).collect()
    }

    /// Brings the one connection up that is asked for; which it is.
    pub fn raise(&mut self) -> SocketId {
        let rising = self.rising();
        let [socket] = rising[..] else { panic!("one connection is wanted, not {rising:?}") };
        self.up(socket);
        socket
    }

    /// What was written to a socket since the last look.
    pub fn take(&mut self, socket: SocketId) -> String {
        String::from_utf8(self.written.remove(&socket).unwrap_or_default()).expect("text")
    }

    /// The statuses of the answers written since the last look.
    pub fn statuses(&mut self, socket: SocketId) -> Vec<u16> {
        let text = self.take(socket);
        let status = |part: &str| part.split(' ').next().and_then(|s| s.parse().ok());
        text.split("HTTP/1.1 ").skip(1).filter_map(status).collect()
    }

    /// The watch's connection, brought up; its pauses are drawn, so time passes until it connects.
    pub fn watch(&mut self) -> SocketId {
        for _ in 0..1000 {
            let rising = self.connecting.iter().find(|(s, _)| matches!(s, SocketId::Discovery(_)));
            if let Some(socket) = rising.map(|(s, _)| *s) {
                self.up(socket);
                return socket;
            }
            self.pass(10_000);
        }
        panic!("a watch connects within ten seconds");
    }

    /// A watch that lasts.
    pub fn watched(&mut self) -> SocketId {
        let watch = self.watch();
        self.bytes(watch, WATCHED);
        watch
    }

    pub fn tell(&mut self, socket: SocketId, list: &serde_json::Value) {
        let line = format!("{list}\n");
        self.bytes(socket, format!("{:x}\r\n{line}\r\n", line.len()));
    }
}

pub const WATCHED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn text(bytes: &Bytes) -> &str {
    std::str::from_utf8(bytes).unwrap_or("?")
}

pub const ROOMY: Sizes = Sizes { clients: 16, links: 16, answer: 512 << 10, answers: 1 << 20 };

/// A stage, a client, and the connection on which its request is out.
pub fn sent(request: &str) -> (Stage, SocketId, SocketId) {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, request);
    let node = s.raise();
    (s, client, node)
}
