//! A stand-in discovery agent that answers watches, late or not at all by order.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::error::SoakError;
use crate::http::{Side, Wire};
use crate::records::{Change, Micros, Phase, Recorder, SECOND, now};

/// An empty line comes so often where nothing changes.
const LINE: Duration = Duration::from_secs(2);
/// A caller says what it wants within this.
const CALL: Micros = 5 * SECOND;

/// A member of the list.
#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    shard: usize,
    phase: Phase,
    started: Micros,
    revision: u64,
}

impl Member {
    fn object(&self, number: usize) -> Value {
        let phase = if self.phase == Phase::Terminating { "terminating" } else { "in_service" };
        json!({"id": format!("n{number}"), "host_port": self.address.to_string(), "locality": format!("z{number}"),
               "flavor": "k", "cell": self.shard, "phase": phase, "size": 1.0, "up_since_ms": self.started / 1_000})
    }
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    members: Vec<Member>,
    is_down: bool,
    /// Watches of an earlier epoch say nothing more.
    epoch: u64,
    delay: Micros,
}

impl State {
    fn list(&self, after: u64) -> Value {
        let changed = self.members.iter().enumerate().filter(|(_, member)| member.revision > after);
        let members: Vec<Value> = changed.map(|(number, member)| member.object(number)).collect();
        json!({"revision": self.revision, "complete": after == 0, "members": members})
    }
}

/// The list, and the agents that tell it.
#[derive(Debug)]
pub(crate) struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
    recorder: Arc<Recorder>,
}

impl Discovery {
    /// A list of nodes in service, by address and shard.
    pub(crate) fn new(nodes: &[(SocketAddr, usize)], recorder: &Arc<Recorder>) -> Arc<Discovery> {
        let member = |&(address, shard): &(SocketAddr, usize)| Member {
            address,
            shard,
            phase: Phase::InService,
            started: 0,
            revision: 1,
        };
        let state = State { revision: 1, members: nodes.iter().map(member).collect(), ..State::default() };
        Arc::new(Discovery { state: Mutex::new(state), changed: Condvar::new(), recorder: recorder.clone() })
    }

    /// One more agent that tells the list; where it listens.
    pub(crate) fn start(self: &Arc<Self>) -> Result<SocketAddr, SoakError> {
        let address = loopback::address()?;
        let listener = TcpListener::bind(address).map_err(SoakError::Listen)?;
        let own = self.clone();
        // It ends with the process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.watch(stream));
            }
        });
        Ok(address)
    }

    /// The whole list.
    pub(crate) fn list(&self) -> Value {
        self.lock().list(0)
    }

    /// A node's phase in the list.
    pub(crate) fn phase(&self, node: usize) -> Phase {
        self.lock().members[node].phase
    }

    /// A node's phase changes.
    pub(crate) fn change(&self, node: usize, phase: Phase) {
        let mut state = self.lock();
        let at = now();
        state.revision += 1;
        let revision = state.revision;
        let member = &mut state.members[node];
        (member.phase, member.revision) = (phase, revision);
        if phase == Phase::Started {
            member.started = at;
        }
        self.recorder.lock().changes.push(Change { at, node, phase });
        self.changed.notify_all();
    }

    /// It says nothing to anybody, or answers whoever asks from now on.
    pub(crate) fn set_down(&self, is_down: bool) {
        let mut state = self.lock();
        (state.is_down, state.epoch) = (is_down, state.epoch + 1);
        self.changed.notify_all();
    }

    /// Open watches say nothing more.
    pub(crate) fn silence_watches(&self) {
        self.lock().epoch += 1;
        self.changed.notify_all();
    }

    /// Each line comes later by this.
    pub(crate) fn delay(&self, delay: Micros) {
        self.lock().delay = delay;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watch(&self, stream: TcpStream) {
        let Ok(mut wire) = Wire::new(stream, Side::Server) else { return };
        let Ok(request) = wire.read(now() + CALL) else { return };
        let after = request.first.1.split("after=").nth(1).and_then(|text| text.parse().ok());
        let mut told: u64 = after.unwrap_or(0);
        let mut is_first = true;
        let mut state = self.lock();
        let epoch = state.epoch;
        loop {
            if state.is_down || state.epoch != epoch {
                drop(state);
                // It stays open without a word until the gateway goes.
                let _ = wire.read(now() + 3_600 * SECOND);
                return;
            }
            let line = if state.revision > told || is_first {
                format!("{}\n", state.list(told))
            } else {
                "\n".into()
            };
            told = state.revision;
            let delay = state.delay;
            drop(state);
            if delay > 0 && wire.ends_before(now() + delay) {
                return;
            }
            let head = if is_first { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" } else { "" };
            is_first = false;
            if wire.write(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                return;
            }
            let nothing = |s: &mut State| s.revision == told && !s.is_down && s.epoch == epoch;
            let waited = self.changed.wait_timeout_while(self.lock(), LINE, nothing);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
