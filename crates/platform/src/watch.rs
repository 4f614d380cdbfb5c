//! The watch on discovery.

use std::net::SocketAddr;

use bytes::Bytes;
use decisions::Micros;
use http1::{Limits, LineDecoder};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::endpoint::EndpointList;

/// Discovery sends a line every 2 s; after so long without one the connection is taken for dead.
const SILENCE: Micros = 5_000_000;
/// A connection to the agent on the same machine that is not up by then never comes.
const RISE: Micros = 1_000_000;
/// First pause before the next try; doubled each time, and drawn between none and twice that.
const PAUSE: Micros = 200_000;
/// Doublings of the pause at most.
const PAUSES: u32 = 3;
/// Bytes of a list at most.
const LIST: usize = 8 << 20;
/// Bytes of the answer's head at most.
const HEAD: usize = 16 << 10;

enum Phase {
    /// Until the next try.
    Resting,
    Rising,
    /// Lines come.
    Reading(Box<LineDecoder>),
}

/// What is to be done for a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Open a connection to this address.
    Connect(SocketAddr),
    /// The connection is of no use any more.
    Close,
    /// The list, or what changed.
    List(EndpointList),
}

/// A watch on the list at one address. Danger: silence or an error says nothing about the nodes; the list stays as it was
/// told last. Harm: what changes while discovery is silent is learnt late.
pub struct Watch {
    address: SocketAddr,
    phase: Phase,
    /// When its phase must have ended.
    until: Micros,
    tries: u32,
    /// Lists that came over this connection.
    told: u64,
    /// Lines that were no list.
    malformed: u64,
    random: SmallRng,
}

impl Watch {
    /// A watch that connects at once. `seed` feeds its pauses.
    pub fn new(now: Micros, address: SocketAddr, seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Watch { address, phase: Phase::Resting, until: now, tries: 0, told: 0, malformed: 0, random }
    }

    /// When [`Watch::tick`] is due.
    pub fn due(&self) -> Micros {
        self.until
    }

    /// Whether it has told anything since it last connected.
    pub fn has_told(&self) -> bool {
        self.told > 0
    }

    /// Lines and entries that could not be read.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Micros) -> Option<WatchStep> {
        if now < self.until {
            return None;
        }
        match self.phase {
            Phase::Resting => {
                (self.phase, self.until) = (Phase::Rising, now + RISE);
                Some(WatchStep::Connect(self.address))
            }
            Phase::Rising | Phase::Reading(_) => {
                self.rest(now);
                Some(WatchStep::Close)
            }
        }
    }

    /// The connection is up: what is to be asked.
    pub fn up(&mut self, now: Micros, revision: u64) -> Bytes {
        let limits = Limits { head: HEAD, body: LIST, informational: 8 };
        self.phase = Phase::Reading(Box::new(LineDecoder::new(limits)));
        self.until = now + SILENCE;
        self.told = 0;
        let target = format!("/v1/endpoints?watch=1&after={revision}");
        http1::request("GET", &target, &[("Host", &self.address.to_string())], &[])
    }

    /// Bytes came.
    pub fn received(&mut self, now: Micros, bytes: &[u8]) -> Vec<WatchStep> {
        let Phase::Reading(decoder) = &mut self.phase else { return Vec::new() };
        decoder.receive(bytes);
        let mut steps = Vec::new();
        let alive = loop {
            match decoder.poll() {
                Ok(Some(line)) => {
                    self.until = now + SILENCE;
                    if line.trim_ascii().is_empty() {
                        continue;
                    }
                    match EndpointList::parse(&line) {
                        Ok(list) => {
                            self.malformed += list.malformed as u64;
                            self.told += 1;
                            self.tries = 0;
                            steps.push(WatchStep::List(list));
                        }
                        Err(_) => self.malformed += 1,
                    }
                }
                Ok(None) => break decoder.status().is_none_or(|s| s == 200) && !decoder.is_over(),
                Err(_) => break false,
            }
        };
        if !alive {
            self.rest(now);
            steps.push(WatchStep::Close);
        }
        steps
    }

    /// The connection ended, or never came.
    pub fn ended(&mut self, now: Micros) {
        self.rest(now);
    }

    /// Danger: when discovery goes away, all gateways lose their watches in one moment, and pauses of one length bring all
    /// of them back in one moment too, again and again. Harm: none.
    fn rest(&mut self, now: Micros) {
        self.phase = Phase::Resting;
        let pause = PAUSE << self.tries.min(PAUSES);
        self.until = now + self.random.random_range(1..=2 * pause);
        self.tries += 1;
    }
}
