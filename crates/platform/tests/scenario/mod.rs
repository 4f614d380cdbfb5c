//! A machine among drawn events, and what must hold of what crosses its sockets.

mod watcher;

use std::collections::{BTreeMap, BTreeSet};

use platform::{End, SocketId};

use crate::common::*;
use watcher::Watcher;

pub const WINDOW: i64 = 300_000;
pub const GRACE: i64 = 250_000;

/// Something that happens; numbers pick one of those there are.
#[derive(Clone, Debug)]
pub enum Step {
    Connects,
    /// A client asks: which, of what class, with so many milliseconds, and whether that is its last request.
    Asks(usize, usize, u32, bool),
    /// It sends so many KiB behind its open request.
    SendsAhead(usize, usize),
    /// It closes.
    Goes(usize),
    /// A request of it is there and not read yet.
    Speaks(usize),
    /// What is written to a connection does not go out for now, or does again.
    Clogs(usize),
    ComesUp(usize),
    NeverComes(usize),
    Answers(usize, usize),
    Breaks(usize, usize),
    Passes(i64),
    /// Discovery tells something of a node.
    Lists(usize, usize),
    /// Another configuration.
    Moves,
}

#[derive(Clone)]
struct Listed {
    port: u16,
    phase: &'static str,
    started: i64,
}

pub struct Play {
    s: Stage,
    watcher: Watcher,
    clients: Vec<SocketId>,
    /// Requests that are there and not read, by client.
    unread: BTreeMap<SocketId, String>,
    nodes: BTreeSet<SocketId>,
    listed: Vec<Listed>,
    revision: u64,
    watch: Option<SocketId>,
    next: u64,
    connected: usize,
}

impl Play {
    pub fn new(cancel: bool, rise: i64) -> Self {
        let s = Stage::under(|settings| {
            settings["classes"] = serde_json::json!([
                {"name": "look", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "read_like"},
                {"name": "post", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "idempotency_key", "group": "all", "keyTtlUs": WINDOW, "fifoByKey": true},
                {"name": "fire", "targetUs": 100_000, "deadlineUs": 600_000, "worth": 2.0, "lateValue": 0.1,
                 "idempotency": "non_idempotent"}
            ]);
            settings["familyInfo"]["writes"] = serde_json::json!([false, true, true]);
            settings["policyLimits"]["cancel"] = cancel.into();
            settings["policyLimits"]["connectTimeoutUs"] = rise.into();
            settings["rules"]["drainGraceUs"] = GRACE.into();
        });
        let at = |port, phase| Listed { port, phase, started: 0 };
        Play {
            s,
            watcher: Watcher::default(),
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

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Connects if !self.s.unlistened && self.s.accepts > self.connected => {
                self.connected += 1;
                let client = self.s.client();
                self.clients.push(client);
            }
            Step::Asks(n, class, ms, last) => {
                let free = |c: &SocketId| !self.watcher.is_open(*c) && !self.unread.contains_key(c);
                if let Some(client) = self.living(n).filter(free) {
                    let text = self.request(class, ms, last);
                    self.reaches(client, &text);
                }
            }
            Step::SendsAhead(n, kib) => {
                if let Some(client) = self.living(n).filter(|c| self.watcher.is_open(*c)) {
                    for _ in 0..kib {
                        self.s.bytes(client, [b'x'; 1024]);
                    }
                }
            }
            Step::Goes(n) => {
                if let Some(client) = self.living(n) {
                    self.unread.remove(&client);
                    self.s.unread.remove(&client);
                    self.watcher.gone(client);
                    self.s.ends(client, End::Orderly);
                    self.clients.retain(|c| *c != client);
                }
            }
            Step::Speaks(n) => {
                let free = |c: &SocketId| !self.watcher.is_open(*c) && !self.unread.contains_key(c);
                if let Some(client) = self.living(n).filter(free) {
                    let text = self.request(0, 400, false);
                    self.unread.insert(client, text);
                    self.s.unread.insert(client);
                }
            }
            Step::Clogs(n) => {
                let all: Vec<SocketId> = self.nodes.iter().chain(&self.clients).copied().collect();
                if let Some(&socket) = pick(&all, n)
                    && !self.s.clogged.remove(&socket)
                {
                    self.s.clogged.insert(socket);
                }
            }
            Step::ComesUp(n) => {
                if let Some(&socket) = pick(&self.s.rising(), n) {
                    self.nodes.insert(socket);
                    self.watcher.up(socket, self.address_of(socket));
                    self.s.up(socket);
                }
            }
            Step::NeverComes(n) => {
                if let Some(&socket) = pick(&self.s.rising(), n) {
                    self.s.ends(socket, End::Cut);
                }
            }
            Step::Answers(n, kind) => self.answers(n, kind),
            Step::Breaks(n, end) => {
                if let Some(socket) = self.node(n) {
                    let end = [End::Orderly, End::Broken, End::Cut][end];
                    self.watcher.broke(socket, end);
                    self.nodes.remove(&socket);
                    self.s.ends(socket, end);
                }
            }
            Step::Passes(span) => self.passes(span),
            Step::Lists(node, change) => self.lists(node, change),
            Step::Moves => {
                self.s.machine.reconfigured(self.s.now, address(2));
                self.s.carry_out();
                self.watch = None;
            }
            Step::Connects => {}
        }
        self.look();
    }

    pub fn leaves(&mut self) {
        self.s.machine.leave(self.s.now);
        self.s.carry_out();
    }

    /// It is told to leave, if it was not yet, and all that is left to do is done.
    pub fn ends(mut self) {
        self.leaves();
        // Longer than any deadline, an idle client's time and a place that is held by an unread answer.
        for _ in 0..300 {
            self.passes(100_000);
        }
        assert_eq!(self.s.machine.open(), 0, "something is owed after all time");
        self.watcher.nothing_is_owed();
        assert!(self.s.unlistened);
        self.s.machine.shut();
        assert!(self.s.machine.is_over(), "it does not end");
    }

    /// Time passes; what stands unread is read after a while.
    fn passes(&mut self, span: i64) {
        let then = self.s.now + span;
        while self.s.now < then {
            let next = (then - self.s.now).min(50_000);
            let due = (self.s.machine.next_due() - self.s.now).clamp(0, next);
            self.s.pass(due);
            self.look();
            if due < next {
                continue;
            }
            for (client, text) in std::mem::take(&mut self.unread) {
                self.reaches(client, &text);
                self.look();
            }
        }
    }

    fn reaches(&mut self, client: SocketId, text: &str) {
        self.s.unread.remove(&client);
        if self.s.closed.contains(&client) {
            return;
        }
        let shut = self.s.finished.contains(&client);
        self.watcher.reaches(client, self.s.now, text, shut);
        self.s.bytes(client, text);
    }

    fn request(&mut self, class: usize, ms: u32, last: bool) -> String {
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

    fn living(&self, n: usize) -> Option<SocketId> {
        let living: Vec<SocketId> =
            self.clients.iter().filter(|c| !self.s.closed.contains(c)).copied().collect();
        pick(&living, n).copied()
    }

    fn node(&self, n: usize) -> Option<SocketId> {
        let nodes: Vec<SocketId> =
            self.nodes.iter().filter(|c| !self.s.closed.contains(c)).copied().collect();
        pick(&nodes, n).copied()
    }

    fn address_of(&self, socket: SocketId) -> u16 {
        let at = self.s.connecting.iter().find(|(s, _)| *s == socket);
        at.map_or(0, |(_, at)| at.port())
    }

    fn answers(&mut self, n: usize, kind: usize) {
        let Some(node) = self.node(n).filter(|n| !self.watcher.is_answering(*n)) else { return };
        let body = self.watcher.asked(node).map_or_else(|| "nobody".to_owned(), |id| format!("for {id}"));
        let length = body.len();
        let head = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: {length}\r\n\r\n{body}");
        let (text, may_have_run) = match kind {
            0..=2 => (head("200 OK"), true),
            3 => (head("503 Busy\r\nX-Not-Processed: 1"), false),
            4 => (head("500 No"), true),
            5 => (format!("HTTP/1.1 200 OK\r\n\r\n{body}"), true),
            _ => (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", length + 5), true),
        };
        self.watcher.answers(node, kind, may_have_run);
        self.s.bytes(node, text);
    }

    fn lists(&mut self, node: usize, change: usize) {
        let now = self.s.now;
        let entry = &mut self.listed[node];
        match change {
            0 => entry.phase = "in_service",
            1 => entry.phase = "terminating",
            2 => entry.phase = "terminated",
            3 => entry.started = now / 1000 - 50,
            _ => entry.port += 100,
        }
        self.revision += 1;
        let mut listed = member(&format!("n{node}"), address(entry.port), (node % 2) as u32, entry.phase);
        if node < 2 {
            listed["id"] = ["a", "b"][node].into();
        }
        listed["up_since_ms"] = entry.started.into();
        let (port, on) = (entry.port, entry.phase == "in_service");
        let watch = match self.watch.filter(|w| !self.s.closed.contains(w)) {
            Some(watch) => watch,
            None => {
                let watch = self.s.watch();
                self.s.bytes(watch, WATCHED);
                self.look();
                *self.watch.insert(watch)
            }
        };
        self.s.tell(watch, &list(self.revision, false, &[listed]));
        self.watcher.told(port, on, self.s.now);
    }

    fn look(&mut self) {
        let written = std::mem::take(&mut self.s.written);
        // Of one moment, what was begun comes first: an answer ends it.
        for (&node, bytes) in written.iter().filter(|(s, _)| matches!(s, SocketId::Node(_))) {
            self.watcher.node_gets(node, self.s.now, bytes);
        }
        for (&client, bytes) in written.iter().filter(|(s, _)| matches!(s, SocketId::Client(_))) {
            self.watcher.client_gets(client, bytes);
        }
        let closed: Vec<SocketId> =
            self.nodes.iter().filter(|n| self.s.closed.contains(n)).copied().collect();
        for node in closed {
            self.nodes.remove(&node);
        }
        self.watcher.closed(&self.s.closed, &self.s.clogged);
    }
}

fn pick<T>(all: &[T], n: usize) -> Option<&T> {
    if all.is_empty() { None } else { all.get(n % all.len()) }
}
