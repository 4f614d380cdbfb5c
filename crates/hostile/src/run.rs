//! Plays hostile and sound clients for a time.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::Kind;
use crate::bodies::stop_half_way;
use crate::connection::RunEnd;
use crate::flood::flood;
use crate::leaving::{Departure, leave, read_nothing};
use crate::request::Target;
use crate::sound::{SoundCounts, ask};

/// Spreads a seed over the clients.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Share of the sound clients' requests that must be served, in hundredths.
const MIN_SERVED_PERCENT: u64 = 90;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway under test.
    pub address: SocketAddr,
    /// Names that its settings know.
    pub target: Target,
    /// What the hostile clients do.
    pub kind: Kind,
    /// Hostile clients, each with one connection at a time.
    pub connections: u16,
    /// Sound clients.
    pub sound_clients: u16,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long to go on.
    pub duration: Duration,
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum HostileError {
    /// Nobody listens at the address.
    #[error("{0}: cannot connect: {1}")]
    Connect(SocketAddr, std::io::Error),
}

/// What was sent and seen.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How long it went on, in microseconds.
    pub elapsed_us: u64,
    /// Connections of hostile clients.
    pub hostile_connections: u64,
    /// Whole requests that hostile clients wrote.
    pub hostile_requests: u64,
    /// The sound clients together.
    pub sound: SoundCounts,
    /// The clients that left, of [`Kind::Leaving`].
    #[serde(skip)]
    pub departures: Vec<Departure>,
}

impl Report {
    /// Whether the sound clients were served: none of their requests was lost, late or failed, and nine in ten
    /// got more than a refusal.
    pub fn is_good(&self) -> bool {
        let sound = &self.sound;
        sound.asked > 0
            && sound.lost + sound.late + sound.failed == 0
            && sound.served * 100 >= sound.asked * MIN_SERVED_PERCENT
    }
}

/// What one hostile client did.
#[derive(Default)]
struct HostileCounts {
    connections: u64,
    requests: u64,
    departures: Vec<Departure>,
}

/// Plays until the time is up or `stopped` is set.
///
/// # Errors
/// Nobody listens at the address.
pub fn run(options: &Options, stopped: &AtomicBool) -> Result<Report, HostileError> {
    TcpStream::connect(options.address).map_err(|e| HostileError::Connect(options.address, e))?;
    let begun = Instant::now();
    let end = RunEnd { deadline: begun + options.duration, stopped };
    let (hostile, sound) = thread::scope(|scope| {
        let sound: Vec<_> = (0..usize::from(options.sound_clients))
            .map(|client| scope.spawn(move || ask(client, &options.target, options.address, end)))
            .collect();
        let hostile: Vec<_> = (0..usize::from(options.connections))
            .map(|client| scope.spawn(move || play(options, client, end)))
            .collect();
        let hostile: Vec<HostileCounts> = hostile.into_iter().filter_map(|h| h.join().ok()).collect();
        let sound: Vec<SoundCounts> = sound.into_iter().filter_map(|s| s.join().ok()).collect();
        (hostile, sound)
    });
    Ok(Report {
        seed: options.seed,
        elapsed_us: begun.elapsed().as_micros() as u64,
        hostile_connections: hostile.iter().map(|h| h.connections).sum(),
        hostile_requests: hostile.iter().map(|h| h.requests).sum(),
        sound: sound.into_iter().fold(SoundCounts::default(), SoundCounts::add),
        departures: hostile.into_iter().flat_map(|h| h.departures).collect(),
    })
}

/// Plays one hostile client.
fn play(options: &Options, client: usize, end: RunEnd<'_>) -> HostileCounts {
    let seed = options.seed.wrapping_add(SEED_STEP.wrapping_mul(client as u64 + 1));
    let (target, address) = (&options.target, options.address);
    match options.kind {
        Kind::OpenBodies | Kind::SlowBodies | Kind::OpenHeads | Kind::Mixed => HostileCounts {
            connections: stop_half_way(options.kind, client, seed, target, address, end),
            ..HostileCounts::default()
        },
        Kind::Unread => HostileCounts {
            connections: read_nothing(client, target, address, end),
            ..HostileCounts::default()
        },
        Kind::Leaving if client > 0 => {
            let departures = leave(client, seed, target, address, end);
            HostileCounts { connections: departures.len() as u64, departures, ..HostileCounts::default() }
        }
        // The first of the leaving clients floods.
        Kind::Unsound | Kind::Ready | Kind::Classes | Kind::Reads | Kind::Volumes | Kind::Leaving => {
            let (connections, requests) = flood(options.kind, client, target, address, end);
            HostileCounts { connections, requests, ..HostileCounts::default() }
        }
    }
}
