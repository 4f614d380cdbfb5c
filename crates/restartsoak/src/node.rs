//! Stand-in storage nodes: what they do with each attempt is drawn, and written down.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

use nix::sys::socket::{Backlog, listen};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::error::SoakError;
use crate::http::{self, Message, Side, Wire};
use crate::plan::Plan;
use crate::records::{Attempt, Fate, MILLI, Micros, Recorder, SECOND, now};
use crate::settings::IDLE_US;
use crate::split::Severed;
use crate::torn::{End, Script};

/// The longest time that a request takes at a node.
const LONGEST_SERVICE: Micros = 20 * MILLI;
/// What a silent node read is never answered: it waits longer than any gateway.
const NEVER: Micros = 60 * SECOND;
/// How long a node hangs before it looks again whether it still does.
const LOOK: Micros = 20 * MILLI;

/// A stand-in node. Its address stays the same over its starts.
#[derive(Debug)]
pub(crate) struct Node {
    number: usize,
    address: SocketAddr,
    recorder: Arc<Recorder>,
    /// Parts of all attempts that it fails, turns away, resets.
    faults: [f64; 3],
    seed: u64,
    hangs: AtomicBool,
    severed: Mutex<Option<Severed>>,
    changed: Condvar,
    /// The part of its answers that is torn or comes in pieces.
    torn: Mutex<f64>,
    /// Connections that are open, to be ended by a restart.
    open: Mutex<BTreeMap<u64, TcpStream>>,
    connections: AtomicU64,
}

impl Node {
    /// Starts one.
    pub(crate) fn start(
        number: usize,
        plan: &Plan,
        seed: u64,
        recorder: &Arc<Recorder>,
    ) -> Result<Arc<Node>, SoakError> {
        let address = loopback::address()?;
        let listener = TcpListener::bind(address).map_err(SoakError::Listen)?;
        let node = Arc::new(Node {
            number,
            address,
            recorder: recorder.clone(),
            faults: plan.node_faults,
            seed,
            hangs: AtomicBool::new(false),
            severed: Mutex::default(),
            changed: Condvar::new(),
            torn: Mutex::new(plan.split.as_ref().map_or(0.0, |split| split.torn)),
            open: Mutex::default(),
            connections: AtomicU64::new(0),
        });
        let own = node.clone();
        // It ends with the process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.severed() == Some(Severed::Unreachable) {
                    own.stay_away(&listener, stream);
                    continue;
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(node)
    }

    /// Takes no connection until it is reachable again: the first and the one that the system still brings up stay without a word, the others
    /// do not come up. None of them is served afterwards.
    fn stay_away(&self, listener: &TcpListener, first: TcpStream) {
        // Where the system does not narrow it, it is a silent node.
        let _ = Backlog::new(0).and_then(|none| listen(listener, none));
        let severed = self.severed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_away = |severed: &mut Option<Severed>| *severed == Some(Severed::Unreachable);
        drop(self.changed.wait_while(severed, is_away));
        drop(first);
        if listener.set_nonblocking(true).is_ok() {
            while listener.accept().is_ok() {}
        }
        // Without these it would serve nobody again, which the play's own check of served requests shows.
        let _ = listener.set_nonblocking(false);
        let _ = listen(listener, Backlog::MAXCONN);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on it answers nothing, or answers again.
    pub(crate) fn hang(&self, hangs: bool) {
        self.hangs.store(hangs, Ordering::SeqCst);
    }

    /// Its process dies and another one listens at its address: all connections end.
    pub(crate) fn restart(&self) {
        let open = std::mem::take(&mut *self.open.lock().unwrap_or_else(PoisonError::into_inner));
        open.values().for_each(http::shut);
    }

    /// From now on it is cut off in some way, or is not any more.
    pub(crate) fn sever(&self, severed: Option<Severed>) {
        *self.severed.lock().unwrap_or_else(PoisonError::into_inner) = severed;
        self.changed.notify_all();
        self.hang(severed == Some(Severed::Hangs));
        if severed == Some(Severed::Vanishes) {
            let open = std::mem::take(&mut *self.open.lock().unwrap_or_else(PoisonError::into_inner));
            open.values().for_each(http::break_off);
        }
    }

    /// From now on such a part of its answers is torn or comes in pieces.
    pub(crate) fn tear(&self, part: f64) {
        *self.torn.lock().unwrap_or_else(PoisonError::into_inner) = part;
    }

    fn severed(&self) -> Option<Severed> {
        *self.severed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        let Ok(mut wire) = Wire::new(stream, Side::Server) else { return };
        if let Ok(handle) = wire.handle() {
            self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, handle);
        }
        if self.severed() == Some(Severed::Vanishes) {
            self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            return wire.reset();
        }
        let mut random = StdRng::seed_from_u64(self.seed ^ number << 8);
        while let Ok(request) = wire.read(now() + IDLE_US as Micros) {
            let (fate, ended, end) = self.attempt(&request, &mut wire, &mut random);
            self.write_down(&request, fate, ended);
            match end {
                End::Resets => {
                    wire.reset();
                    break;
                }
                End::Closes => break,
                End::Stays => {}
            }
        }
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
    }

    /// What becomes of an attempt, and when, and of its connection then.
    fn attempt(&self, request: &Message, wire: &mut Wire, random: &mut StdRng) -> (Fate, Micros, End) {
        let [fails, turns_away, resets] = self.faults;
        let drawn: f64 = random.random();
        let service = random.random_range(MILLI..=LONGEST_SERVICE);
        if wire.ends_before(now() + service) {
            return unanswered();
        }
        while self.hangs.load(Ordering::SeqCst) {
            if wire.ends_before(now() + LOOK) {
                return unanswered();
            }
        }
        if matches!(self.severed(), Some(Severed::Silent | Severed::Unreachable)) {
            wire.ends_before(now() + NEVER);
            return unanswered();
        }
        let id = request.field("x-request-id").unwrap_or_default();
        let torn = *self.torn.lock().unwrap_or_else(PoisonError::into_inner);
        if torn > 0.0 && random.random_bool(torn) {
            return perform(&Script::draw(random, &id), wire);
        }
        let (fate, text) = if drawn < fails {
            (Fate::Failed, http::answer(500, "", ""))
        } else if drawn < fails + turns_away {
            (Fate::TurnedAway, http::answer(503, "X-Not-Processed: 1\r\n", ""))
        } else if drawn < fails + turns_away + resets {
            return (Fate::Reset, now(), End::Resets);
        } else {
            (Fate::Served, http::answer(200, "", &id))
        };
        match wire.write(text.as_bytes()) {
            Ok(()) => (fate, now(), End::Stays),
            Err(_) => unanswered(),
        }
    }

    fn write_down(&self, request: &Message, fate: Fate, ended: Micros) {
        let attempt = Attempt {
            id: request.field("x-request-id").unwrap_or_default(),
            node: self.number,
            begun: request.begun,
            whole: request.whole,
            timeout: request.number("x-timeout-ms").map(|time| time * SECOND / 1_000),
            fate,
            ended,
        };
        self.recorder.lock().attempts.push(attempt);
    }
}

fn unanswered() -> (Fate, Micros, End) {
    (Fate::Unanswered, now(), End::Closes)
}

/// Sends an answer piece by piece, for as long as its connection stays.
fn perform(script: &Script, wire: &mut Wire) -> (Fate, Micros, End) {
    for (pause, piece) in &script.pieces {
        if wire.ends_before(now() + pause) || wire.write(piece).is_err() {
            return unanswered();
        }
    }
    let (pause, end) = script.end;
    // Behind an answer that is whole by its own framing its next request may come at once.
    if end != End::Stays && wire.ends_before(now() + pause) {
        return unanswered();
    }
    (script.fate, now(), end)
}
