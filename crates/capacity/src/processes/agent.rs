//! A stand-in discovery agent: one list of nodes, whole to whoever asks from the beginning, else what changed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use http1::{RequestDecoder, RequestEvent};
use serde_json::Value;

use super::{LIMITS, LONG, io_error};
use crate::MeasureError;

/// How long it says nothing where nothing changes: the protocol's 2 s.
const LINE: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The agent of one gateway. Dropped, it ends.
pub(super) struct Agent {
    shared: Arc<Shared>,
    address: SocketAddr,
}

/// A list, or what changed in it, as it went out.
pub(super) struct Told {
    /// When its first byte was written.
    pub(super) begun: Instant,
    /// Bytes on the wire.
    pub(super) bytes: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    entries: Vec<Value>,
    revision: u64,
    /// Places of the entries that changed, by version.
    changes: Vec<(u64, usize)>,
    /// Nothing is written.
    held: bool,
    /// Raised where the watches of before are to end.
    epoch: u64,
    /// After which version each call asked.
    calls: Vec<u64>,
    /// The version that was written last.
    written: u64,
    told: Option<Told>,
    over: bool,
}

impl State {
    /// What is to be said after a version; nothing where nothing changed.
    fn since(&self, told: u64) -> String {
        let (whole, members): (bool, Vec<&Value>) = match told {
            0 => (true, self.entries.iter().collect()),
            _ => {
                let later = self.changes.iter().filter(|(revision, _)| *revision > told);
                (false, later.map(|(_, place)| &self.entries[*place]).collect())
            }
        };
        if members.is_empty() {
            return String::new();
        }
        let members: Vec<String> = members.into_iter().map(Value::to_string).collect();
        let (revision, members) = (self.revision, members.join(","));
        format!("{{\"revision\":{revision},\"complete\":{whole},\"members\":[{members}]}}")
    }
}

impl Agent {
    /// One that has these entries, and holds them back until it is [released](Agent::release).
    pub(super) fn start(entries: Vec<Value>) -> Result<Agent, MeasureError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(io_error("the agent's address"))?;
        let address = listener.local_addr().map_err(io_error("the agent's address"))?;
        let state = State {
            entries,
            revision: 1,
            changes: Vec::new(),
            held: true,
            epoch: 0,
            calls: Vec::new(),
            written: 0,
            told: None,
            over: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let accepts = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepts.state().over {
                    return;
                }
                let watches = accepts.clone();
                thread::spawn(move || watches.watch(stream));
            }
        });
        Ok(Agent { shared, address })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until somebody has asked.
    pub(super) fn called(&self) -> Result<(), MeasureError> {
        self.shared.wait("a watch is asked", |s| !s.calls.is_empty()).map(drop)
    }

    /// Lets the list go out, and waits until it has.
    pub(super) fn release(&self) -> Result<Told, MeasureError> {
        self.shared.state().held = false;
        self.shared.changed.notify_all();
        self.written()
    }

    /// An entry is another from now on; waits until that has gone out.
    pub(super) fn change(&self, place: usize, entry: Value) -> Result<Told, MeasureError> {
        let mut state = self.shared.state();
        state.revision += 1;
        let revision = state.revision;
        state.entries[place] = entry;
        state.changes.push((revision, place));
        drop(state);
        self.shared.changed.notify_all();
        self.written()
    }

    fn written(&self) -> Result<Told, MeasureError> {
        let mut state = self.shared.wait("the list is written", |s| s.written == s.revision)?;
        state.told.take().ok_or_else(|| MeasureError::Failed("the list was written before".into()))
    }

    /// Ends the watch and waits for the next; whether that one asks for nothing that was told already.
    pub(super) fn all_is_learnt(&self) -> Result<bool, MeasureError> {
        let mut state = self.shared.state();
        state.epoch += 1;
        let before = state.calls.len();
        drop(state);
        self.shared.changed.notify_all();
        let state = self.shared.wait("another watch is asked", |s| s.calls.len() > before)?;
        Ok(state.calls.last() == Some(&state.revision))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.shared.state().over = true;
        self.shared.changed.notify_all();
        // The listener wakes from its wait and ends.
        let _ = TcpStream::connect_timeout(&self.address, LONG);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self, what: &str, met: impl Fn(&State) -> bool) -> Result<MutexGuard<'_, State>, MeasureError> {
        let waited = self.changed.wait_timeout_while(self.state(), LONG, |s| !met(s));
        let (state, late) = waited.unwrap_or_else(PoisonError::into_inner);
        match late.timed_out() {
            true => Err(MeasureError::Failed(format!("never within {LONG:?}: {what}"))),
            false => Ok(state),
        }
    }

    /// Serves one watch until it ends.
    fn watch(&self, mut stream: TcpStream) {
        let Some(mut told) = asked(&mut stream) else { return };
        let mut state = self.state();
        state.calls.push(told);
        self.changed.notify_all();
        let (epoch, mut head) = (state.epoch, HEAD);
        while !state.over && state.epoch == epoch {
            // It is in words before it is let go: the time for that is not the gateway's.
            let (revision, line) = (state.revision, state.since(told) + "\n");
            let piece = format!("{head}{:x}\r\n{line}\r\n", line.len());
            let held = |s: &mut State| s.held && !s.over && s.epoch == epoch;
            drop(self.changed.wait_while(state, held).unwrap_or_else(PoisonError::into_inner));
            let begun = Instant::now();
            if stream.write_all(piece.as_bytes()).is_err() {
                return;
            }
            head = "";
            state = self.state();
            if revision > told {
                (state.written, state.told) = (revision, Some(Told { begun, bytes: piece.len() }));
                self.changed.notify_all();
            }
            told = revision;
            let nothing = |s: &mut State| s.revision == told && s.epoch == epoch && !s.over;
            let waited = self.changed.wait_timeout_while(state, LINE, nothing);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        drop(state);
        // The gateway may be gone.
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// The version after which a watch asks; none where nobody asks.
fn asked(stream: &mut TcpStream) -> Option<u64> {
    let (mut decoder, mut buffer) = (RequestDecoder::new(LIMITS), [0; 4096]);
    loop {
        if let Some(RequestEvent::Complete(request)) = decoder.poll().ok()? {
            return request.target.split("after=").nth(1)?.parse().ok();
        }
        let n = stream.read(&mut buffer).ok().filter(|&n| n > 0)?;
        decoder.receive(&buffer[..n]);
    }
}
