//! Caps on repeats of several gateways, their requests, and the notes between them, in virtual time; a note takes one step.

use std::time::Duration;

use peer::{Incarnation, Life, Nonce, PeerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use repeats::{Cap, CapOptions, Input, Micros, Output};

use crate::coming::REQUESTS;

use super::timing::{Watch, micros};

/// Steps of a cap in its window of a second.
pub(super) const STEPS: u64 = 64;
const STEP: Micros = 1_000_000 / STEPS as Micros;
/// At the end of so many steps a slice ends, and peers are told.
const SLICE: u64 = 4;
/// Members of which one stands alone.
const BESIDE: usize = 160;
/// What waits for a right has so much patience left, microseconds.
const LEFT: Micros = 400_000;

pub(super) const LIFE: Life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };

/// Which requests end unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unserved {
    /// None.
    None,
    /// One of so many, drawn.
    OneIn(u32),
    /// All at shard 0; each is sent once more if there is a right to it.
    ShardZero,
}

pub(super) fn name(at: usize) -> PeerName {
    PeerName(format!("gw-{at:04}"))
}

fn number(name: &PeerName) -> Option<usize> {
    name.0.get(3..)?.parse().ok()
}

/// The options of a member, by their defaults.
pub(super) fn options(at: usize, members: usize, shards: u32) -> CapOptions {
    CapOptions::new(name(at), members, (0..shards).collect())
}

/// What was counted since the last [`Company::count_anew`].
#[derive(Default)]
pub(super) struct Counted {
    /// Bytes of notes out, all members.
    pub(super) bytes: u64,
    /// Each tick that ended a slice, microseconds.
    pub(super) slices: Vec<f64>,
    /// All ticks, all other events but notes, and notes heard; all members.
    pub(super) ticks: Duration,
    pub(super) events: Duration,
    pub(super) heard: Duration,
    /// Requests.
    pub(super) requests: u64,
}

/// The caps.
pub(super) struct Company {
    steps: u64,
    caps: Vec<Cap>,
    names: Vec<PeerName>,
    /// What each may send further to shard 0.
    allowed: Vec<u32>,
    notes: Vec<(usize, usize, Vec<u8>)>,
    rng: SmallRng,
    shards: u32,
    next_key: u64,
    /// What ends unserved from now on.
    pub(super) unserved: Unserved,
    /// What it took.
    pub(super) counted: Counted,
}

impl Company {
    /// All members, each of which sees all others.
    pub(super) fn new(members: usize, shards: u32, seed: u64) -> Company {
        Company::of(members, members, shards, seed)
    }

    /// One member of 160, whose peers say nothing.
    pub(super) fn alone(shards: u32, seed: u64) -> Company {
        Company::of(1, BESIDE, shards, seed)
    }

    fn of(played: usize, members: usize, shards: u32, seed: u64) -> Company {
        let cap = |at| Cap::new(options(at, members, shards), LIFE, 0, seed);
        let mut company = Company {
            steps: 0,
            caps: (0..played).map(cap).collect(),
            names: (0..members).map(name).collect(),
            allowed: vec![0; played],
            notes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            shards,
            next_key: 0,
            unserved: Unserved::None,
            counted: Counted::default(),
        };
        for at in 0..played {
            company.hand(at, Input::PeersChanged(company.names.clone()));
        }
        company
    }

    /// Counts from nought.
    pub(super) fn count_anew(&mut self) -> Counted {
        std::mem::take(&mut self.counted)
    }

    fn now(&self) -> Micros {
        self.steps as Micros * STEP
    }

    /// Hands something in, and does what is to be done; how long the cap's part of that took.
    fn timed(&mut self, at: usize, input: Input) -> Duration {
        let (now, mut out) = (self.now(), Vec::new());
        let watch = Watch::start();
        self.caps[at].handle(now, input, &mut out);
        let took = watch.stop();
        self.follow(at, out);
        took
    }

    fn hand(&mut self, at: usize, input: Input) {
        let (now, mut out) = (self.now(), Vec::new());
        self.caps[at].handle(now, input, &mut out);
        self.follow(at, out);
    }

    fn follow(&mut self, at: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, body } => {
                    self.counted.bytes += body.len() as u64;
                    if let Some(to) = number(&to).filter(|to| *to < self.caps.len()) {
                        self.notes.push((at, to, body));
                    }
                }
                Output::Allow(a) if a.shard == 0 => self.allowed[at] = a.retries,
                Output::Allow(_) | Output::StateChanged { .. } | Output::MessageRejected { .. } => {}
            }
        }
    }

    /// One step of a window: all tick, what was sent in the step before comes, requests come and end.
    pub(super) fn step(&mut self) {
        self.steps += 1;
        let mut under_way = std::mem::take(&mut self.notes);
        // A gateway hears its own peers one after the other; in turn over all caps each would find nothing of its own in the caches.
        under_way.sort_by_key(|(_, to, _)| *to);
        for at in 0..self.caps.len() {
            let took = self.timed(at, Input::Tick);
            self.counted.ticks += took;
            if self.steps.is_multiple_of(SLICE) {
                self.counted.slices.push(micros(took));
            }
        }
        // Each of these is too short to be timed alone.
        let watch = Watch::start();
        for (from, to, body) in under_way {
            let from = self.names[from].clone();
            self.hand(to, Input::MessageReceived { from, life: LIFE, body });
        }
        self.counted.heard += watch.stop();
        let until = |steps: u64| steps * u64::from(REQUESTS) / STEPS;
        let watch = Watch::start();
        for _ in until(self.steps - 1)..until(self.steps) {
            (0..self.caps.len()).for_each(|at| self.request(at));
        }
        self.counted.events += watch.stop();
    }

    fn request(&mut self, at: usize) {
        let shard = self.rng.random_range(0..self.shards);
        let unserved = match self.unserved {
            Unserved::None => false,
            Unserved::OneIn(many) => self.rng.random_range(0..many) == 0,
            Unserved::ShardZero => shard == 0,
        };
        self.hand(at, Input::AttemptSent { shard, is_retry: false });
        self.hand(at, Input::AttemptEnded { shard, served: !unserved, refused: false });
        if unserved && self.unserved == Unserved::ShardZero {
            if self.allowed[at] > 0 {
                self.allowed[at] -= 1;
                self.hand(at, Input::AttemptSent { shard, is_retry: true });
                self.hand(at, Input::AttemptEnded { shard, served: false, refused: false });
            } else {
                self.hand(at, Input::RetryRejected { shard, worth: 1.0, remaining: LEFT });
            }
        }
        if unserved {
            self.next_key += 1;
            // Spread as the keys of requests are.
            let key = self.next_key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            self.hand(at, Input::RequestUnserved { key });
        }
        self.counted.requests += 1;
    }

    /// The caps, to be asked.
    pub(super) fn caps(&self) -> &[Cap] {
        &self.caps
    }
}
