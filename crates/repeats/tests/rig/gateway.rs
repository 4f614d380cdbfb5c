//! A gateway of the simulated fleet: its clock, its cap, and the part of the scheduler that obeys the
//! allowances.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::{Cap, CapOptions, InjectedFault, Input, Micros, Output, Overrides, TokenSource};

use super::steward::Steward;

/// Where tokens come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No cap.
    None,
    Even,
    Earned,
    Escrow,
    Steward,
}

pub enum Limiter {
    None,
    Cap(Box<Cap>),
    Steward(Box<Steward>),
}

pub fn name(i: usize) -> PeerName {
    PeerName(format!("g{i:02}"))
}

pub fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

pub struct Gateway {
    pub index: usize,
    /// Millionths by which its clock is fast.
    pub fast: Micros,
    pub life: u64,
    pub up: bool,
    pub limiter: Limiter,
    pub allowed: BTreeMap<u32, (u32, Micros)>,
    /// Consecutive attempts without an answer, by node.
    pub unanswered: BTreeMap<usize, u32>,
    pub rejected: u64,
}

impl Gateway {
    pub fn new(index: usize, fast: Micros) -> Self {
        let (allowed, unanswered) = (BTreeMap::new(), BTreeMap::new());
        Gateway { index, fast, life: 0, up: false, limiter: Limiter::None, allowed, unanswered, rejected: 0 }
    }

    pub fn clock(&self, now: Micros) -> Micros {
        now + now * self.fast / 1_000_000
    }

    pub fn start(
        &mut self,
        now: Micros,
        source: Source,
        fault: Option<InjectedFault>,
        options: CapOptions,
        seed: u64,
    ) {
        (self.up, self.life) = (true, self.life + 1);
        self.allowed.clear();
        self.unanswered.clear();
        let (local, own) = (self.clock(now), life(self.life));
        let cap = |token_source| {
            let overrides = Overrides { fault, token_source };
            Limiter::Cap(Box::new(Cap::with_overrides(options.clone(), overrides, own, local, seed)))
        };
        self.limiter = match source {
            Source::None => Limiter::None,
            Source::Even => cap(TokenSource::BaseOnly),
            Source::Earned => cap(TokenSource::EarnedOnly),
            Source::Escrow => cap(TokenSource::Escrow),
            Source::Steward => Limiter::Steward(Box::new(Steward::new(self.index, options, own, local))),
        };
    }

    /// Passes an event to the cap and returns the messages to send.
    pub fn handle_input(&mut self, now: Micros, input: Input) -> Vec<(PeerName, Vec<u8>)> {
        let local = self.clock(now);
        let mut out = Vec::new();
        match &mut self.limiter {
            Limiter::None => {}
            Limiter::Cap(cap) => cap.handle(local, input, &mut out),
            Limiter::Steward(steward) => steward.handle(local, input, &mut out),
        }
        let mut messages = Vec::new();
        for output in out {
            match output {
                Output::Send { to, body } => messages.push((to, body)),
                Output::Allow(a) => {
                    self.allowed.insert(a.shard, (a.retries, a.retry_after));
                }
                Output::StateChanged { .. } | Output::MessageRejected { .. } => {}
            }
        }
        messages
    }

    pub fn is_due(&self, now: Micros) -> bool {
        let local = self.clock(now);
        self.up
            && match &self.limiter {
                Limiter::None => false,
                Limiter::Cap(cap) => cap.next_due() <= local,
                Limiter::Steward(_) => true,
            }
    }

    /// The scheduler's decision: whether a retry may go to the shard, and if not, the retry delay.
    pub fn try_retry(&mut self, shard: u32) -> Result<(), Option<Micros>> {
        if matches!(self.limiter, Limiter::None) {
            return Ok(());
        }
        match self.allowed.get_mut(&shard) {
            Some((retries, _)) if *retries > 0 => {
                *retries -= 1;
                Ok(())
            }
            Some((_, retry_after)) => Err(Some(*retry_after)),
            None => Err(None),
        }
    }

    pub fn is_repeat(&self, now: Micros, key: u64) -> bool {
        match &self.limiter {
            Limiter::Cap(cap) => cap.is_repeat(self.clock(now), key),
            _ => false,
        }
    }
}
