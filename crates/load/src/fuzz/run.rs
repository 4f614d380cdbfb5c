//! Plays odd hosts and the good one over TCP for a time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nvme::Digests;
use serde::Serialize;

use super::flood_host::{FloodCounts, flood};
use super::generator::Scope;
use super::odd_host::{OddHost, OddHostCounts};
use super::witness::{Violation, Witness, WitnessCounts};
use crate::host::HostOptions;

/// Commands out on a queue of an odd host, at most.
const DEPTH: u16 = 128;
/// Most blocks of a transfer that odd hosts take for usual.
const MAX_BLOCKS: u32 = 32;
/// Pause of an odd host that could not connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Spreads a seed over the hosts.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct FuzzOptions {
    /// The target.
    pub address: SocketAddr,
    /// NQN of its subsystem.
    pub subsystem: String,
    /// The namespace that is the good host's alone.
    pub nsid: u32,
    /// Namespaces 1 to this one exist.
    pub namespaces: u32,
    /// Odd hosts.
    pub hosts: u16,
    /// Hosts that write commands at full speed, in turns on their admin queue and on an I/O queue.
    pub floods: u16,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long to go on.
    pub duration: Duration,
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum FuzzError {
    /// The good host could not begin.
    #[error(transparent)]
    Witness(#[from] Violation),
}

/// What was sent and seen.
#[derive(Debug, Serialize)]
pub struct FuzzReport {
    /// The seed.
    pub seed: u64,
    /// How long it went on, in microseconds.
    pub elapsed_us: u64,
    /// The odd hosts together.
    pub odd: OddHostCounts,
    /// The flooding hosts together.
    pub flood: FloodCounts,
    /// The good host.
    pub good: WitnessCounts,
    /// What the good host must not see, if it saw it; the run ended there.
    pub violation: Option<String>,
}

impl FuzzReport {
    /// Whether the good host was served throughout, and the target never sent what cannot be read.
    pub fn is_good(&self) -> bool {
        self.violation.is_none() && self.good.served > 0 && self.odd.unreadable == 0
    }
}

/// Plays the hosts until the time is up, `stop` is set, or the good host saw what it must not see.
///
/// # Errors
/// The good host cannot connect.
pub fn run(options: &FuzzOptions, stop: &AtomicBool) -> Result<FuzzReport, FuzzError> {
    let mut witness = Witness::connect(host_options(options, 0), options.nsid)?;
    let (blocks, block_size) = witness.size();
    let scope = Scope {
        namespaces: options.namespaces,
        blocks,
        block_size,
        max_blocks: MAX_BLOCKS,
        depth: DEPTH,
        spared: Some(options.nsid),
    };
    let start = Instant::now();
    let over = AtomicBool::new(false);
    let goes_on = || !over.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed);
    let mut violation = None;
    let mut odd = OddHostCounts::default();
    let play = |number: u16| {
        let seed = options.seed.wrapping_add(SEED_STEP.wrapping_mul(u64::from(number)));
        let mut host = OddHost::new(host_options(options, number), scope.clone(), seed);
        while goes_on() {
            if host.play(goes_on).is_err() {
                thread::sleep(RECONNECT_PAUSE);
            }
        }
        host.counts
    };
    let play_flood = |number: u16| {
        let host = host_options(options, options.hosts + number);
        let mut counts = FloodCounts::default();
        while goes_on() {
            if flood(&host, number.is_multiple_of(2), &mut counts, goes_on).is_err() {
                thread::sleep(RECONNECT_PAUSE);
            }
        }
        counts
    };
    let (play, play_flood) = (&play, &play_flood);
    let mut flood_counts = FloodCounts::default();
    thread::scope(|threads| {
        let hosts: Vec<_> = (1..=options.hosts).map(|number| threads.spawn(move || play(number))).collect();
        let floods: Vec<_> =
            (1..=options.floods).map(|number| threads.spawn(move || play_flood(number))).collect();
        while violation.is_none() && start.elapsed() < options.duration && goes_on() {
            violation = witness.round().err().map(|violation| violation.to_string());
        }
        over.store(true, Ordering::Relaxed);
        for host in hosts {
            if let Ok(counts) = host.join() {
                odd.add(&counts);
            }
        }
        for host in floods {
            if let Ok(counts) = host.join() {
                flood_counts.add(counts);
            }
        }
    });
    let elapsed_us = start.elapsed().as_micros() as u64;
    Ok(FuzzReport {
        seed: options.seed,
        elapsed_us,
        odd,
        flood: flood_counts,
        good: witness.counts,
        violation,
    })
}

/// Host 0 is the good one.
fn host_options(options: &FuzzOptions, number: u16) -> HostOptions {
    let mut id = [0; 16];
    id[..2].copy_from_slice(&number.to_le_bytes());
    id[15] = 1;
    HostOptions {
        address: options.address,
        subsystem: options.subsystem.clone(),
        name: format!("nqn.2026-12.example.crowbay:fuzz{number}"),
        id,
        queues: 1,
        depth: u32::from(DEPTH),
        digests: Digests::default(),
        keep_alive: 0,
    }
}
