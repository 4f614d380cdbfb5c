//! The platform gateway as a process on loopback: stand-in storage nodes, a stand-in discovery agent, plain clients.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod asked;
pub mod bound;
pub mod customer;
pub mod departure;
pub mod discovery;
pub mod figure;
pub mod flood;
pub mod gauge;
pub mod kernel;
pub mod late;
pub mod pause;
pub mod puppet;
pub mod refusing;
pub mod request;
pub mod script;
pub mod slow;
pub mod sock_diag;
pub mod starting;
pub mod usual;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http1::{Limits, Request, RequestDecoder, RequestEvent, Response, ResponseDecoder};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

pub const LIMITS: Limits = Limits { head: 16 << 10, body: 64 << 10, informational: 4 };
/// Nothing here takes that long; a test that waits longer has failed.
pub const LONG: Duration = Duration::from_secs(20);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_micros(500);

/// Serves connections of a listener, each on a thread of its own.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
    address
}

/// The next whole request; none once the connection ends.
pub fn next_request(stream: &mut TcpStream, decoder: &mut RequestDecoder) -> Option<Request> {
    let mut buffer = [0; 8192];
    loop {
        match decoder.poll().ok()? {
            Some(RequestEvent::Complete(request)) => return Some(request),
            Some(RequestEvent::ExpectsContinue) => {}
            None => {
                let n = stream.read(&mut buffer).ok().filter(|&n| n > 0)?;
                decoder.receive(&buffer[..n]);
            }
        }
    }
}

/// A stand-in node: answers every request with its id, or holds its answers until it is let go.
#[derive(Default)]
pub struct Node {
    pub seen: Mutex<Vec<String>>,
    held: Mutex<bool>,
    free: Condvar,
}

impl Node {
    pub fn start(self: &Arc<Self>) -> SocketAddr {
        let node = self.clone();
        serve(move |mut stream| {
            let mut decoder = RequestDecoder::new(LIMITS);
            while let Some(request) = next_request(&mut stream, &mut decoder) {
                let id = String::from_utf8_lossy(
                    request.fields.unique("x-request-id").ok().flatten().unwrap_or(b"none"),
                )
                .into_owned();
                node.seen.lock().expect("seen").push(id.clone());
                let held = node.held.lock().expect("held");
                drop(node.free.wait_while(held, |held| *held).expect("held"));
                if stream.write_all(&http1::encode_response(200, &[], id.as_bytes(), true)).is_err() {
                    return;
                }
            }
        })
    }

    pub fn hold(&self, hold: bool) {
        *self.held.lock().expect("held") = hold;
        self.free.notify_all();
    }

    pub fn seen(&self) -> usize {
        self.seen.lock().expect("seen").len()
    }
}

/// A stand-in discovery agent: answers each watch with one list.
pub fn agent(list: Value, watches: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |mut stream| {
        let mut decoder = RequestDecoder::new(LIMITS);
        let Some(request) = next_request(&mut stream, &mut decoder) else { return };
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
            return;
        }
        watches.lock().expect("watches").push(request.target);
        // It says nothing more until the gateway goes.
        let _ = stream.read(&mut [0]);
    })
}

pub fn list(revision: u64, nodes: &[(&str, SocketAddr)]) -> Value {
    let members: Vec<Value> = nodes
        .iter()
        .enumerate()
        .map(|(cell, (id, at))| {
            json!({"id": id, "host_port": at.to_string(), "locality": "z", "flavor": "k", "cell": cell,
                   "phase": "in_service", "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    json!({"revision": revision, "complete": true, "members": members})
}

pub fn config(discovery: SocketAddr, sockets: u64, known: &Value) -> Value {
    json!({
        "name": "g0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0123456789abcdef",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": known,
        "settings": {
            "classes": [{"name": "look", "targetUs": 2_000_000, "deadlineUs": 3_000_000, "worth": 1.0,
                         "lateValue": 0.1, "idempotency": "read_like"}],
            "policies": [{"name": "plain", "usualRate": 500.0, "floorRate": 5000.0, "ceilingRate": 0.0,
                          "limitBurst": 0.0, "capSlack": 0.0, "shares": 1.0, "price": 1.0}],
            "peersTotal": 1, "index": 0, "discovery": "push",
            "policyLimits": {"sendCap": 3, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                             "connIdleUs": 10_000_000, "connectTimeoutUs": 250_000},
            "familyInfo": {"largest": 8, "meanUnits": 2.0, "slotsTotal": 2, "writes": [false]},
            "rules": {"fallUs": 1_000_000, "warmUpUs": 1_000_000, "coldFrom": 0.5}
        }
    })
}

pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    folder: tempfile::TempDir,
}

impl Process {
    /// Starts the gateway on a configuration; it listens where its log says.
    pub fn start(config: &Value) -> Process {
        starting::Starting::new(config, &[]).up()
    }

    pub fn file(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a signal");
    }

    pub fn end(&mut self) -> ExitStatus {
        let deadline = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(Instant::now() < deadline, "it does not end");
            thread::sleep(LOOK);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub decoder: ResponseDecoder,
}

impl Client {
    pub fn new(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(LONG))?;
        Ok(Client { stream, decoder: ResponseDecoder::new(LIMITS) })
    }

    /// Asks and waits for the answer; none if the connection ends without one.
    pub fn ask(&mut self, text: &str) -> std::io::Result<Option<Response>> {
        self.stream.write_all(text.as_bytes())?;
        let mut buffer = [0; 8192];
        loop {
            if let Some(answer) = self.decoder.poll().map_err(|e| std::io::Error::other(e.to_string()))? {
                return Ok(Some(answer));
            }
            match self.stream.read(&mut buffer)? {
                0 => return Ok(None),
                n => self.decoder.receive(&buffer[..n]),
            }
        }
    }
}

pub fn look(id: &str, shard: u32) -> String {
    format!(
        "GET /look/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\nX-Priority-Class: look\r\n\
         X-Plan: plain\r\nX-Timeout-Ms: 3000\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n",
        0xbb
    )
}

/// Waits for something that other threads bring about.
pub fn until(what: &str, mut met: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG;
    while !met() {
        assert!(Instant::now() < deadline, "never: {what}");
        // Dozens may wait at a time, and those they wait for need the cores.
        thread::sleep(LOOK);
    }
}
