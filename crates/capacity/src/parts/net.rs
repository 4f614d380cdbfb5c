//! Fleets in virtual time: notes take 0.2 to 2 ms, and the net may be cut into two halves.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use fleet::{Fleet, FleetOptions, Input, Life, Micros, Output, PeerName, Standing};
use peer::{Incarnation, Nonce};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::MeasureError;

use super::timing::{Watch, median, micros, timed_many};

/// A member's period, by its defaults.
pub(super) const PERIOD: Micros = 1_000_000;
const DELAY: (Micros, Micros) = (200, 2_000);
const SITE: u64 = 77;

struct Host {
    fleet: Fleet,
    due: Micros,
    /// Bytes out in this second.
    second: Micros,
    bytes: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    at: Micros,
    number: u64,
    from: usize,
    to: usize,
    body: Vec<u8>,
}

/// What a span of time took, for each member and second.
pub(super) struct Taken {
    /// Bytes out.
    pub(super) bytes: f64,
    /// Processor time, microseconds.
    pub(super) micros: f64,
    /// The most bytes that any member sent within any second.
    pub(super) worst: f64,
    /// Seconds in all.
    pub(super) seconds: f64,
}

/// The members and the notes on their way.
pub(super) struct Net {
    now: Micros,
    rng: SmallRng,
    hosts: Vec<Host>,
    due: BTreeSet<(Micros, usize)>,
    flights: BinaryHeap<Reverse<Flight>>,
    number: u64,
    parted: bool,
    bound: u32,
    worst: u64,
    spent: Duration,
}

fn name(at: usize) -> PeerName {
    PeerName(format!("gw-{at:04}"))
}

fn number(name: &PeerName) -> Option<usize> {
    name.0.get(3..)?.parse().ok()
}

const LIFE: Life = Life { incarnation: Incarnation(1), nonce: Nonce(0x9e37_79b9_7f4a_7c15) };

impl Net {
    /// So many members, in three zones, that all start at once.
    pub(super) fn started(count: usize, seed: u64) -> Net {
        let members: Vec<(PeerName, u32)> = (0..count).map(|at| (name(at), at as u32 % 3)).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = 5 * PERIOD;
        let mut bound = 0;
        let hosts: Vec<Host> = members
            .iter()
            .map(|(name, zone)| {
                let options = FleetOptions::new(name.clone(), *zone, SITE, members.clone());
                bound = options.settling();
                let fleet = Fleet::new(options, LIFE, now, rng.random());
                Host { due: fleet.next_due(), fleet, second: 0, bytes: 0 }
            })
            .collect();
        let due = hosts.iter().enumerate().map(|(at, host)| (host.due, at)).collect();
        Net {
            now,
            rng,
            hosts,
            due,
            flights: BinaryHeap::new(),
            number: 0,
            parted: false,
            bound,
            worst: 0,
            spent: Duration::ZERO,
        }
    }

    /// Whether nothing passes between the two halves.
    pub(super) fn part(&mut self, parted: bool) {
        self.parted = parted;
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let half = self.hosts.len() / 2;
        !self.parted || (a < half) == (b < half)
    }

    fn hand(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        let host = &mut self.hosts[at];
        let watch = Watch::start();
        host.fleet.handle(self.now, input, &mut out);
        self.spent += watch.stop();
        self.due.remove(&(host.due, at));
        host.due = host.fleet.next_due();
        self.due.insert((host.due, at));
        for output in out {
            if let Output::Send { to, body } = output
                && let Some(to) = number(&to)
            {
                self.send(at, to, body);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Vec<u8>) {
        let (second, host) = (self.now / PERIOD, &mut self.hosts[from]);
        if host.second != second {
            (host.second, host.bytes) = (second, 0);
        }
        host.bytes += body.len() as u64;
        self.worst = self.worst.max(host.bytes);
        if self.reaches(from, to) {
            let at = self.now + self.rng.random_range(DELAY.0..=DELAY.1);
            self.number += 1;
            self.flights.push(Reverse(Flight { at, number: self.number, from, to, body }));
        }
    }

    /// Plays on for so long.
    pub(super) fn run(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let tick = self.due.first().copied();
            let flight = self.flights.peek().map(|f| f.0.at);
            let Some(at) = tick.map(|t| t.0).into_iter().chain(flight).min().filter(|at| *at < until) else {
                break;
            };
            self.now = self.now.max(at);
            if flight == Some(at) {
                if let Some(Reverse(Flight { from, to, body, .. })) = self.flights.pop() {
                    self.hand(to, Input::Heard { from: name(from), life: LIFE, body });
                }
            } else if let Some((_, host)) = tick {
                self.hand(host, Input::Tick);
            }
        }
        self.now = until;
    }

    /// All hold those that they reach for up, the others for unreachable, and one digest with those.
    fn is_settled(&self) -> bool {
        let digests: Vec<u64> = self.hosts.iter().map(|h| h.fleet.view().digest).collect();
        self.hosts.iter().enumerate().all(|(at, host)| {
            let view = host.fleet.view();
            view.members.len() == self.hosts.len()
                && view.members.iter().enumerate().all(|(other, member)| {
                    let reached = self.reaches(at, other);
                    let wanted = if reached { Standing::Up } else { Standing::Unreachable };
                    member.standing == wanted && (!reached || digests[other] == digests[at])
                })
        })
    }

    /// Plays until all have settled.
    pub(super) fn settle(&mut self, what: &str) -> Result<(), MeasureError> {
        for _ in 0..10 * self.bound {
            self.run(PERIOD / 10);
            if self.is_settled() {
                return Ok(());
            }
        }
        let members = self.hosts.len();
        Err(MeasureError::Failed(format!(
            "{members} members have not settled within {} periods after {what}",
            self.bound
        )))
    }

    /// Does something and tells what it took.
    pub(super) fn taken(
        &mut self,
        work: impl FnOnce(&mut Net) -> Result<(), MeasureError>,
    ) -> Result<Taken, MeasureError> {
        let out = |net: &Net| net.hosts.iter().map(|h| h.fleet.counts().bytes_out).sum::<u64>();
        let (began, bytes, spent) = (self.now, out(&*self), self.spent);
        self.worst = 0;
        work(self)?;
        let seconds = (self.now - began) as f64 / 1e6;
        let shares = self.hosts.len() as f64 * seconds;
        Ok(Taken {
            bytes: (out(&*self) - bytes) as f64 / shares,
            micros: micros(self.spent - spent) / shares,
            worst: self.worst as f64,
            seconds,
        })
    }

    /// Processor time of asking each member when it is due, microseconds.
    pub(super) fn asked_when_due(&self) -> f64 {
        let times = self.hosts.iter().map(|h| {
            timed_many(|| {
                std::hint::black_box(h.fleet.next_due());
            })
        });
        median(times.collect())
    }
}
