//! A stand-in agent whose list changes, and that falls silent by order.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use http1::RequestDecoder;
use serde_json::{Value, json};

use super::{LIMITS, next_request, serve};

/// How long it says nothing where nothing changes: the platform's 2 s.
const LINE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    revision: u64,
    /// Every change, whole in itself: what comes after a version is all of the later ones.
    changes: Vec<(u64, Value)>,
    indented: bool,
    /// Nothing is said on any connection, also not on those that are opened meanwhile; none of them ever speaks again.
    silent: bool,
    /// Raised with each silence: connections of before say nothing more.
    epoch: u64,
    calls: usize,
    /// Lists and lines written whole.
    told: usize,
}

/// The agent of one gateway.
#[derive(Default)]
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
}

impl Discovery {
    pub fn start(self: &Arc<Self>) -> SocketAddr {
        let own = self.clone();
        serve(move |stream| own.watch(stream))
    }

    /// A node's entry is new, or changed.
    pub fn set(&self, id: &str, at: SocketAddr, phase: &str) {
        let mut state = self.state.lock().expect("its state");
        state.revision += 1;
        let member = json!({"id": id, "host_port": at.to_string(), "locality": "z", "flavor": "k", "cell": 0,
                            "phase": phase, "size": 1.0, "up_since_ms": 0});
        let revision = state.revision;
        state.changes.push((revision, member));
        self.changed.notify_all();
    }

    pub fn indent(&self) {
        self.state.lock().expect("its state").indented = true;
    }

    /// It falls silent, or speaks to those who ask from now on.
    pub fn silence(&self, silent: bool) {
        let mut state = self.state.lock().expect("its state");
        state.silent = silent;
        state.epoch += 1;
        self.changed.notify_all();
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.state.lock().expect("its state").calls
    }

    /// Lists and lines written so far.
    pub fn told(&self) -> usize {
        self.state.lock().expect("its state").told
    }

    fn watch(&self, mut stream: TcpStream) {
        let Some(request) = next_request(&mut stream, &mut RequestDecoder::new(LIMITS)) else { return };
        let mut told: u64 =
            request.target.split("after=").nth(1).and_then(|t| t.parse().ok()).expect("a version");
        let mut state = self.state.lock().expect("its state");
        state.calls += 1;
        let epoch = state.epoch;
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        loop {
            if state.silent || state.epoch != epoch {
                // It stays open, and nothing ever comes on it.
                state = self.changed.wait(state).expect("its state");
                continue;
            }
            let members: Vec<&Value> =
                state.changes.iter().filter(|(r, _)| *r > told).map(|(_, m)| m).collect();
            let line = json!({"revision": state.revision, "complete": false, "members": members});
            let line = match (members.is_empty(), state.indented) {
                (true, _) => "\n".to_owned(),
                (false, true) => format!("{line:#}\n"),
                (false, false) => format!("{line}\n"),
            };
            told = state.revision;
            drop(state);
            let piece = format!("{head}{:x}\r\n{line}\r\n", line.len());
            head = "";
            if stream.write_all(piece.as_bytes()).is_err() {
                return;
            }
            state = self.state.lock().expect("its state");
            state.told += 1;
            let nothing = |s: &mut State| s.revision == told && !s.silent && s.epoch == epoch;
            state = self.changed.wait_timeout_while(state, LINE, nothing).expect("its state").0;
        }
    }
}
