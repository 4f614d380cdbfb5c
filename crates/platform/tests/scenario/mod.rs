//! A gateway under random events, with checks on what crosses its sockets.

mod checker;

use std::collections::{BTreeMap, BTreeSet};

use platform::{ConnectionEnd, SocketId};

use crate::common::*;
use checker::Checker;

pub const KEY_WINDOW: i64 = 300_000;
pub const DRAIN_GRACE: i64 = 250_000;

/// An event; its numbers select among the existing clients, connections and nodes.
#[derive(Clone, Debug)]
pub enum Event {
    ClientConnects,
    /// A client sends a request: client, class, timeout in milliseconds, and whether it is its last request.
    ClientRequests(usize, usize, u32, bool),
    /// A client sends this many KiB behind its open request.
    ClientSendsAhead(usize, usize),
    /// A client closes its connection.
    ClientCloses(usize),
    /// A client's request has arrived but isn't read yet.
    RequestUnread(usize),
    /// Output on a connection stops being accepted, or is accepted again.
    ToggleBlockedOutput(usize),
    NodeConnectionEstablished(usize),
    NodeConnectionFails(usize),
    NodeResponds(usize, usize),
    NodeConnectionEnds(usize, usize),
    TimePasses(i64),
    /// Discovery announces a change of a node.
    ListChanges(usize, usize),
    /// The configuration names another discovery address.
    DiscoveryMoves,
}

#[derive(Clone)]
struct Listed {
    port: u16,
    phase: &'static str,
    started: i64,
}

pub struct Scenario {
    gateway: TestGateway,
    checker: Checker,
    clients: Vec<SocketId>,
    /// Requests that have arrived and weren't read, by client.
    unread: BTreeMap<SocketId, String>,
    nodes: BTreeSet<SocketId>,
    listed: Vec<Listed>,
    revision: u64,
    watch: Option<SocketId>,
    next: u64,
    connected: usize,
}

impl Scenario {
    pub fn new(cancel: bool, connect_timeout: i64) -> Self {
        let gateway = TestGateway::with_settings(|settings| {
            settings["classes"] = serde_json::json!([
                {"name": "look", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "read_like"},
                {"name": "post", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "idempotency_key", "group": "all", "keyTtlUs": KEY_WINDOW, "fifoByKey": true},
                {"name": "fire", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "non_idempotent"}
            ]);
            settings["familyInfo"]["writes"] = serde_json::json!([false, true, true]);
            settings["policyLimits"]["cancel"] = cancel.into();
            settings["policyLimits"]["connectTimeoutUs"] = connect_timeout.into();
            settings["rules"]["drainGraceUs"] = DRAIN_GRACE.into();
        });
        let at = |port, phase| Listed { port, phase, started: 0 };
        Scenario {
            gateway,
            checker: Checker::default(),
            clients: Vec::new(),
            unread: BTreeMap::new(),
            nodes: BTreeSet::new(),
            listed: vec![
                at(100, "in_service"),
                at(101, "in_service"),
                at(102, "terminated"),
                at(103, "terminated"),
            ],
            revision: 5,
            watch: None,
            next: 0,
            connected: 0,
        }
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::ClientConnects
                if !self.gateway.stopped_listening && self.gateway.accept_permits > self.connected =>
            {
                self.connected += 1;
                let client = self.gateway.connect_client();
                self.clients.push(client);
            }
            Event::ClientRequests(n, class, ms, last) => {
                let free = |c: &SocketId| !self.checker.is_open(*c) && !self.unread.contains_key(c);
                if let Some(client) = self.open_client(n).filter(free) {
                    let text = self.next_request(class, ms, last);
                    self.deliver_request(client, &text);
                }
            }
            Event::ClientSendsAhead(n, kib) => {
                if let Some(client) = self.open_client(n).filter(|c| self.checker.is_open(*c)) {
                    for _ in 0..kib {
                        self.gateway.receive(client, [b'x'; 1024]);
                    }
                }
            }
            Event::ClientCloses(n) => {
                if let Some(client) = self.open_client(n) {
                    self.unread.remove(&client);
                    self.gateway.unread.remove(&client);
                    self.checker.client_gone(client);
                    self.gateway.end_with(client, ConnectionEnd::Orderly);
                    self.clients.retain(|c| *c != client);
                }
            }
            Event::RequestUnread(n) => {
                let free = |c: &SocketId| !self.checker.is_open(*c) && !self.unread.contains_key(c);
                if let Some(client) = self.open_client(n).filter(free) {
                    let text = self.next_request(0, 400, false);
                    self.unread.insert(client, text);
                    self.gateway.unread.insert(client);
                }
            }
            Event::ToggleBlockedOutput(n) => {
                let all: Vec<SocketId> = self.nodes.iter().chain(&self.clients).copied().collect();
                if let Some(&socket) = pick(&all, n)
                    && !self.gateway.blocked_output.remove(&socket)
                {
                    self.gateway.blocked_output.insert(socket);
                }
            }
            Event::NodeConnectionEstablished(n) => {
                if let Some(&socket) = pick(&self.gateway.connecting_to_nodes(), n) {
                    self.nodes.insert(socket);
                    self.checker.node_established(socket, self.address_of(socket));
                    self.gateway.establish(socket);
                }
            }
            Event::NodeConnectionFails(n) => {
                if let Some(&socket) = pick(&self.gateway.connecting_to_nodes(), n) {
                    self.gateway.end_with(socket, ConnectionEnd::Cut);
                }
            }
            Event::NodeResponds(n, kind) => self.respond(n, kind),
            Event::NodeConnectionEnds(n, end) => {
                if let Some(socket) = self.open_node(n) {
                    let end = [ConnectionEnd::Orderly, ConnectionEnd::Broken, ConnectionEnd::Cut][end];
                    self.checker.node_connection_ended(socket, end);
                    self.nodes.remove(&socket);
                    self.gateway.end_with(socket, end);
                }
            }
            Event::TimePasses(span) => self.advance(span),
            Event::ListChanges(node, change) => self.change_list(node, change),
            Event::DiscoveryMoves => {
                self.gateway.machine.set_discovery_address(self.gateway.now, address(2));
                self.gateway.perform_outputs();
                self.watch = None;
            }
            Event::ClientConnects => {}
        }
        self.observe();
    }

    pub fn shut_down(&mut self) {
        self.gateway.machine.shut_down(self.gateway.now);
        self.gateway.perform_outputs();
    }

    /// Shuts the gateway down, if that hasn't happened yet, and checks that everything is completed.
    pub fn finish(mut self) {
        self.shut_down();
        // Longer than any deadline, an idle connection's timeout and the time that an unread response keeps
        // its slot.
        for _ in 0..300 {
            self.advance(100_000);
        }
        assert_eq!(self.gateway.machine.open_requests(), 0, "requests are still open at the end");
        self.checker.assert_all_answered();
        assert!(self.gateway.stopped_listening);
        self.gateway.machine.listener_closed();
        assert!(self.gateway.machine.is_finished(), "the gateway does not exit");
    }

    /// Advances the time; unread requests are read after a while.
    fn advance(&mut self, span: i64) {
        let until = self.gateway.now + span;
        while self.gateway.now < until {
            let next = (until - self.gateway.now).min(50_000);
            let due = (self.gateway.machine.next_due() - self.gateway.now).clamp(0, next);
            self.gateway.advance(due);
            self.observe();
            if due < next {
                continue;
            }
            for (client, text) in std::mem::take(&mut self.unread) {
                self.deliver_request(client, &text);
                self.observe();
            }
        }
    }

    fn deliver_request(&mut self, client: SocketId, text: &str) {
        self.gateway.unread.remove(&client);
        if self.gateway.closed.contains(&client) {
            return;
        }
        let after_end = self.gateway.write_shut_down.contains(&client);
        self.checker.request_delivered(client, self.gateway.now, text, after_end);
        self.gateway.receive(client, text);
    }

    fn next_request(&mut self, class: usize, ms: u32, last: bool) -> String {
        self.next += 1;
        let id = format!("r{}", self.next);
        let (name, method) = [("look", "GET"), ("post", "PUT"), ("fire", "PUT")][class];
        let shard = self.next % 2;
        let connection = if last { "close" } else { "keep-alive" };
        let body = if class > 0 {
            format!("Idempotency-Key: k{id}\r\nContent-Length: 1\r\n\r\nx")
        } else {
            "\r\n".into()
        };
        let object = self.next % 3;
        format!(
            "{method} /{name}/00000000000000aa/000000000000000{object} HTTP/1.1\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {name}\r\nX-Plan: plain\r\nX-Timeout-Ms: {ms}\r\nConnection: {connection}\r\n\
             X-IO: units=1,shard={shard},hosts=1\r\n{body}"
        )
    }

    fn open_client(&self, n: usize) -> Option<SocketId> {
        let open: Vec<SocketId> =
            self.clients.iter().filter(|c| !self.gateway.closed.contains(c)).copied().collect();
        pick(&open, n).copied()
    }

    fn open_node(&self, n: usize) -> Option<SocketId> {
        let nodes: Vec<SocketId> =
            self.nodes.iter().filter(|c| !self.gateway.closed.contains(c)).copied().collect();
        pick(&nodes, n).copied()
    }

    fn address_of(&self, socket: SocketId) -> u16 {
        let at = self.gateway.connecting.iter().find(|(connecting, _)| *connecting == socket);
        at.map_or(0, |(_, at)| at.port())
    }

    fn respond(&mut self, n: usize, kind: usize) {
        let Some(node) = self.open_node(n).filter(|n| !self.checker.is_responding(*n)) else { return };
        let body =
            self.checker.request_of(node).map_or_else(|| "nobody".to_owned(), |id| format!("for {id}"));
        let length = body.len();
        let head = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: {length}\r\n\r\n{body}");
        let (text, may_have_run) = match kind {
            0..=2 => (head("200 OK"), true),
            3 => (head("503 Busy\r\nX-Not-Processed: 1"), false),
            4 => (head("500 No"), true),
            5 => (format!("HTTP/1.1 200 OK\r\n\r\n{body}"), true),
            _ => (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", length + 5), true),
        };
        self.checker.node_responded(node, kind, may_have_run);
        self.gateway.receive(node, text);
    }

    fn change_list(&mut self, node: usize, change: usize) {
        let now = self.gateway.now;
        let entry = &mut self.listed[node];
        match change {
            0 => entry.phase = "in_service",
            1 => entry.phase = "terminating",
            2 => entry.phase = "terminated",
            3 => entry.started = now / 1000 - 50,
            _ => entry.port += 100,
        }
        self.revision += 1;
        let mut listed = list_entry(&format!("n{node}"), address(entry.port), (node % 2) as u32, entry.phase);
        if node < 2 {
            listed["id"] = ["a", "b"][node].into();
        }
        listed["up_since_ms"] = entry.started.into();
        let (port, on) = (entry.port, entry.phase == "in_service");
        let watch = match self.watch.filter(|w| !self.gateway.closed.contains(w)) {
            Some(watch) => watch,
            None => {
                let watch = self.gateway.establish_watch();
                self.gateway.receive(watch, WATCH_RESPONSE_HEAD);
                self.observe();
                *self.watch.insert(watch)
            }
        };
        self.gateway.send_list(watch, &node_list(self.revision, false, &[listed]));
        self.checker.node_listed(port, on, self.gateway.now);
    }

    fn observe(&mut self) {
        let written = std::mem::take(&mut self.gateway.written);
        // Within one moment, starts of attempts are checked before responses, which end them.
        for (&node, bytes) in written.iter().filter(|(socket, _)| matches!(socket, SocketId::Node(_))) {
            self.checker.node_received(node, self.gateway.now, bytes);
        }
        for (&client, bytes) in written.iter().filter(|(socket, _)| matches!(socket, SocketId::Client(_))) {
            self.checker.client_received(client, bytes);
        }
        let closed: Vec<SocketId> =
            self.nodes.iter().filter(|n| self.gateway.closed.contains(n)).copied().collect();
        for node in closed {
            self.nodes.remove(&node);
        }
        self.checker.connections_closed(&self.gateway.closed, &self.gateway.blocked_output);
    }
}

fn pick<T>(all: &[T], n: usize) -> Option<&T> {
    if all.is_empty() { None } else { all.get(n % all.len()) }
}
