//! A configuration, and a gateway machine with scripted clients, nodes and discovery in virtual time.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use platform::{Config, ConnectionEnd, Machine, Output, ResourceLimits, SocketId};

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

pub fn list_entry(id: &str, address: SocketAddr, cell: u32, phase: &str) -> serde_json::Value {
    serde_json::json!({"id": id, "host_port": address.to_string(), "locality": "here", "flavor": "k",
                       "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn node_list(revision: u64, whole: bool, members: &[serde_json::Value]) -> serde_json::Value {
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

/// A read request in a typical client's form.
pub fn read_request(id: &str, shard: i32) -> String {
    format!(
        "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: look\r\nX-Plan: plain\r\nX-Timeout-Ms: 400\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

/// A keyed write.
pub fn write_request(id: &str, shard: i32, body: &str) -> String {
    format!(
        "PUT /post/00000000000000aa/00000000000000bb?x=%20 HTTP/1.1\r\nHost: h\r\nx-request-id: {id}\r\n\
         X-PRIORITY-CLASS: post\r\nX-Plan: gold\r\nX-Timeout-Ms: 800\r\nX-IO: units=2, shard={shard}, hosts=1\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A result that is reported to the machine after an operation.
enum Report {
    IdleWriteRejected(SocketId),
    ShutdownWriteResult(SocketId, bool),
    CloseResult(SocketId, bool),
    Cut(SocketId),
}

/// A machine under test in virtual time, with what it wrote and did to each socket.
pub struct TestGateway {
    pub machine: Machine,
    pub now: i64,
    pub written: BTreeMap<SocketId, Vec<u8>>,
    pub connecting: Vec<(SocketId, SocketAddr)>,
    pub closed: BTreeSet<SocketId>,
    /// Connections whose writing side was shut down.
    pub write_shut_down: BTreeSet<SocketId>,
    /// Connections that their node has closed without the machine knowing yet.
    pub closed_by_node: BTreeSet<SocketId>,
    /// Connections with input that was not read, and connections whose output the system does not accept.
    pub unread: BTreeSet<SocketId>,
    pub blocked_output: BTreeSet<SocketId>,
    reports: Vec<Report>,
    /// Number of [`Output::ResumeReading`] operations.
    pub resume_count: usize,
    pub accept_permits: usize,
    pub stopped_listening: bool,
    next_client: u64,
}

impl TestGateway {
    pub fn with_list(limits: ResourceLimits, known: &serde_json::Value) -> Self {
        TestGateway::from_config(&config(address(1), 512, known), limits)
    }

    /// The gateway of [`TestGateway::with_two_nodes`], with this seed for its random delays.
    pub fn with_seed(seed: u64) -> Self {
        let members =
            [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
        let mut config = config(address(1), 512, &node_list(5, true, &members));
        config.seed = seed;
        TestGateway::from_config(
            &config,
            ResourceLimits {
                client_connections: 16,
                node_connections: 16,
                max_response_bytes: 512 << 10,
                max_buffered_response_bytes: 1 << 20,
                max_buffered_request_bytes: 1 << 20,
                max_records: 1 << 16,
                max_unsent_bytes: 1 << 20,
            },
        )
    }

    /// The gateway of [`TestGateway::with_two_nodes`] with changed settings.
    pub fn with_settings(change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let members =
            [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
        let text = config_text(address(1), 512, &node_list(5, true, &members));
        let mut document: serde_json::Value = serde_json::from_str(&text).expect("a configuration");
        change(&mut document["settings"]);
        let config = Config::parse("test", document.to_string().as_bytes()).unwrap_or_else(|e| panic!("{e}"));
        TestGateway::from_config(&config, LARGE_LIMITS)
    }

    /// A gateway with a configuration.
    pub fn from_config(config: &Config, limits: ResourceLimits) -> Self {
        let now = 1_000_000_000;
        let mut gateway = TestGateway {
            machine: Machine::new(now, config, limits),
            now,
            written: BTreeMap::new(),
            connecting: Vec::new(),
            closed: BTreeSet::new(),
            write_shut_down: BTreeSet::new(),
            closed_by_node: BTreeSet::new(),
            unread: BTreeSet::new(),
            blocked_output: BTreeSet::new(),
            reports: Vec::new(),
            resume_count: 0,
            accept_permits: 0,
            stopped_listening: false,
            next_client: 0,
        };
        gateway.perform_outputs();
        gateway
    }

    /// A gateway with two nodes, of shards 0 and 1, at ports 100 and 101.
    pub fn with_two_nodes() -> Self {
        let members =
            [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
        TestGateway::with_list(
            ResourceLimits {
                client_connections: 16,
                node_connections: 16,
                max_response_bytes: 512 << 10,
                max_buffered_response_bytes: 1 << 20,
                max_buffered_request_bytes: 1 << 20,
                max_records: 1 << 16,
                max_unsent_bytes: 1 << 20,
            },
            &node_list(5, true, &members),
        )
    }

    pub fn perform_outputs(&mut self) {
        let mut outputs: Vec<Output> = self.machine.drain_outputs().collect();
        while !outputs.is_empty() {
            self.perform(std::mem::take(&mut outputs));
            for report in std::mem::take(&mut self.reports) {
                match report {
                    Report::IdleWriteRejected(socket) => self.machine.idle_write_rejected(self.now, socket),
                    Report::ShutdownWriteResult(socket, done) => {
                        self.machine.shutdown_write_result(self.now, socket, done)
                    }
                    Report::CloseResult(socket, done) => self.machine.close_result(self.now, socket, done),
                    Report::Cut(socket) => {
                        self.machine.connection_ended(self.now, socket, ConnectionEnd::Cut)
                    }
                }
            }
            outputs.extend(self.machine.drain_outputs());
        }
    }

    fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Connect(socket, address) => {
                    self.closed.remove(&socket);
                    self.connecting.push((socket, address));
                }
                Output::Write(socket, bytes) => {
                    let socket = socket.into();
                    assert!(!self.closed.contains(&socket), "written after it was closed: {socket:?}");
                    self.written.entry(socket).or_default().extend_from_slice(&bytes);
                }
                Output::WriteAttempt(request) => {
                    let socket = request.socket();
                    assert!(!self.closed.contains(&socket), "used again after it was closed: {socket:?}");
                    if request.is_only_if_idle() && self.closed_by_node.remove(&socket) {
                        self.closed.insert(socket);
                        self.reports.push(Report::IdleWriteRejected(socket));
                    } else {
                        let written = self.written.entry(socket).or_default();
                        request.parts().for_each(|part| written.extend_from_slice(part));
                    }
                }
                Output::ShutdownWrite(socket) => {
                    self.write_shut_down.insert(socket);
                }
                Output::ShutdownWriteIfNoInput(socket) => {
                    let done = !self.unread.contains(&socket);
                    if done {
                        self.write_shut_down.insert(socket);
                    }
                    self.reports.push(Report::ShutdownWriteResult(socket, done));
                }
                Output::CloseIfIdle(socket) => {
                    let done = !self.unread.contains(&socket) && !self.blocked_output.contains(&socket);
                    if done {
                        self.closed.insert(socket);
                    }
                    self.reports.push(Report::CloseResult(socket, done));
                }
                Output::CloseIfUnsent(socket) => {
                    if self.blocked_output.remove(&socket) {
                        self.closed.insert(socket);
                        self.reports.push(Report::Cut(socket));
                    }
                }
                Output::Close(socket) => {
                    self.closed.insert(socket);
                    self.connecting.retain(|(connecting, _)| *connecting != socket);
                }
                Output::ResumeReading(..) => self.resume_count += 1,
                Output::Accept => self.accept_permits += 1,
                Output::StopListening => self.stopped_listening = true,
            }
        }
    }

    /// Advances the time, stopping at each timer that is due.
    pub fn advance(&mut self, span: i64) {
        let until = self.now + span;
        while self.machine.next_due() <= until {
            self.now = self.now.max(self.machine.next_due());
            self.machine.tick(self.now);
            self.perform_outputs();
        }
        self.now = until;
    }

    /// Advances the time until connections that have just delivered a response may be reused.
    pub fn finish_cooldown(&mut self) {
        self.advance(11_000);
    }

    pub fn connect_client(&mut self) -> SocketId {
        self.next_client += 1;
        self.machine.accepted(self.now, self.next_client);
        self.perform_outputs();
        SocketId::Client(self.next_client)
    }

    pub fn receive(&mut self, socket: SocketId, bytes: impl AsRef<[u8]>) {
        self.unread.remove(&socket);
        self.machine.received(self.now, socket, self.now, bytes.as_ref());
        self.perform_outputs();
    }

    pub fn establish(&mut self, socket: SocketId) {
        self.connecting.retain(|(connecting, _)| *connecting != socket);
        self.machine.connection_established(self.now, socket);
        self.perform_outputs();
    }

    pub fn end(&mut self, socket: SocketId, cut: bool) {
        self.end_with(socket, if cut { ConnectionEnd::Cut } else { ConnectionEnd::Broken });
    }

    pub fn end_with(&mut self, socket: SocketId, end: ConnectionEnd) {
        self.connecting.retain(|(connecting, _)| *connecting != socket);
        self.machine.connection_ended(self.now, socket, end);
        self.perform_outputs();
    }

    /// The connections to nodes that are being established.
    pub fn connecting_to_nodes(&self) -> Vec<SocketId> {
        self.connecting
            .iter()
            .map(|(socket, _)| *socket)
            .filter(|socket| matches!(socket, SocketId::Node(_)))
            .collect()
    }

    /// Establishes the only connection to a node that is being established; returns it.
    pub fn establish_node(&mut self) -> SocketId {
        let connecting = self.connecting_to_nodes();
        let [socket] = connecting[..] else { panic!("expected one connection, got {connecting:?}") };
        self.establish(socket);
        socket
    }

    /// Takes what was written to a socket since the last call.
    pub fn take_written(&mut self, socket: SocketId) -> String {
        String::from_utf8(self.written.remove(&socket).unwrap_or_default()).expect("text")
    }

    /// Takes the statuses of the responses written since the last call.
    pub fn take_statuses(&mut self, socket: SocketId) -> Vec<u16> {
        let text = self.take_written(socket);
        let status = |part: &str| part.split(' ').next().and_then(|text| text.parse().ok());
        text.split("HTTP/1.1 ").skip(1).filter_map(status).collect()
    }

    /// Establishes the watch's connection. Its delays are random, so time passes until it connects.
    pub fn establish_watch(&mut self) -> SocketId {
        for _ in 0..1000 {
            let connecting =
                self.connecting.iter().find(|(socket, _)| matches!(socket, SocketId::Discovery(_)));
            if let Some(socket) = connecting.map(|(socket, _)| *socket) {
                self.establish(socket);
                return socket;
            }
            self.advance(10_000);
        }
        panic!("a watch connects within ten seconds");
    }

    /// Establishes a watch that is answered with a response head.
    pub fn establish_answered_watch(&mut self) -> SocketId {
        let watch = self.establish_watch();
        self.receive(watch, WATCH_RESPONSE_HEAD);
        watch
    }

    pub fn send_list(&mut self, socket: SocketId, list: &serde_json::Value) {
        let line = format!("{list}\n");
        self.receive(socket, format!("{:x}\r\n{line}\r\n", line.len()));
    }
}

pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn text(bytes: &Bytes) -> &str {
    std::str::from_utf8(bytes).unwrap_or("?")
}

pub const LARGE_LIMITS: ResourceLimits = ResourceLimits {
    client_connections: 16,
    node_connections: 16,
    max_response_bytes: 512 << 10,
    max_buffered_response_bytes: 1 << 20,
    max_buffered_request_bytes: 1 << 20,
    max_records: 1 << 16,
    max_unsent_bytes: 1 << 20,
};

/// A gateway, a client, and the connection on which its request was sent.
pub fn gateway_with_sent_request(request: &str) -> (TestGateway, SocketId, SocketId) {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.receive(client, request);
    let node = gateway.establish_node();
    (gateway, client, node)
}
