//! Stand-in storage nodes: what they do with each attempt is drawn, and written down.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::error::SoakError;
use crate::http::{self, Message, Side, Wire};
use crate::records::{Attempt, Fate, MILLI, Micros, Recorder, SECOND, now};
use crate::settings::IDLE_US;

/// The longest time that a request takes at a node.
const LONGEST_SERVICE: Micros = 20 * MILLI;
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
    /// Connections that are open, to be ended by a restart.
    open: Mutex<BTreeMap<u64, TcpStream>>,
    connections: AtomicU64,
}

impl Node {
    /// Starts one.
    pub(crate) fn start(
        number: usize,
        faults: [f64; 3],
        seed: u64,
        recorder: &Arc<Recorder>,
    ) -> Result<Arc<Node>, SoakError> {
        let address = loopback::address()?;
        let listener = TcpListener::bind(address).map_err(SoakError::Listen)?;
        let node = Arc::new(Node {
            number,
            address,
            recorder: recorder.clone(),
            faults,
            seed,
            hangs: AtomicBool::new(false),
            open: Mutex::default(),
            connections: AtomicU64::new(0),
        });
        let own = node.clone();
        // It ends with the process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(node)
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

    fn serve(&self, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        let Ok(mut wire) = Wire::new(stream, Side::Server) else { return };
        if let Ok(handle) = wire.handle() {
            self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, handle);
        }
        let mut random = StdRng::seed_from_u64(self.seed ^ number << 8);
        while let Ok(request) = wire.read(now() + IDLE_US as Micros) {
            let (fate, ended) = self.attempt(&request, &mut wire, &mut random);
            self.write_down(&request, fate, ended);
            match fate {
                Fate::Reset => {
                    wire.reset();
                    break;
                }
                Fate::Unanswered => break,
                Fate::Served | Fate::Failed | Fate::TurnedAway => {}
            }
        }
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
    }

    /// What becomes of an attempt, and when.
    fn attempt(&self, request: &Message, wire: &mut Wire, random: &mut StdRng) -> (Fate, Micros) {
        let [fails, turns_away, resets] = self.faults;
        let drawn: f64 = random.random();
        let service = random.random_range(MILLI..=LONGEST_SERVICE);
        if wire.ends_before(now() + service) {
            return (Fate::Unanswered, now());
        }
        while self.hangs.load(Ordering::SeqCst) {
            if wire.ends_before(now() + LOOK) {
                return (Fate::Unanswered, now());
            }
        }
        let id = request.field("x-request-id").unwrap_or_default();
        let (fate, text) = if drawn < fails {
            (Fate::Failed, http::answer(500, "", ""))
        } else if drawn < fails + turns_away {
            (Fate::TurnedAway, http::answer(503, "X-Not-Processed: 1\r\n", ""))
        } else if drawn < fails + turns_away + resets {
            return (Fate::Reset, now());
        } else {
            (Fate::Served, http::answer(200, "", &id))
        };
        match wire.write(text.as_bytes()) {
            Ok(()) => (fate, now()),
            Err(_) => (Fate::Unanswered, now()),
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
