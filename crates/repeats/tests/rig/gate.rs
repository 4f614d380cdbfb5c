//! A gateway of the rig: its clock, its cap, and the few lines of the module that heed what is allowed.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::{Cap, CapOptions, Input, Micros, Output, Plant, Trial, Way};

use super::steward::Steward;

/// Where rights come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No cap.
    None,
    Even,
    Earned,
    Escrow,
    Steward,
}

pub enum Governor {
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

pub struct Gate {
    pub index: usize,
    /// Millionths by which its clock is fast.
    pub fast: Micros,
    pub life: u64,
    pub up: bool,
    pub governor: Governor,
    pub allowed: BTreeMap<u32, (u32, Micros)>,
    /// Attempts in a row that nothing came back for, by node.
    pub mute: BTreeMap<usize, u32>,
    pub held_back: u64,
}

impl Gate {
    pub fn new(index: usize, fast: Micros) -> Self {
        let (allowed, mute) = (BTreeMap::new(), BTreeMap::new());
        Gate { index, fast, life: 0, up: false, governor: Governor::None, allowed, mute, held_back: 0 }
    }

    pub fn clock(&self, now: Micros) -> Micros {
        now + now * self.fast / 1_000_000
    }

    pub fn start(
        &mut self,
        now: Micros,
        source: Source,
        plant: Option<Plant>,
        options: CapOptions,
        seed: u64,
    ) {
        (self.up, self.life) = (true, self.life + 1);
        self.allowed.clear();
        self.mute.clear();
        let (local, own) = (self.clock(now), life(self.life));
        let cap = |way| {
            let trial = Trial { plant, way };
            Governor::Cap(Box::new(Cap::tried(options.clone(), trial, own, local, seed)))
        };
        self.governor = match source {
            Source::None => Governor::None,
            Source::Even => cap(Way::Even),
            Source::Earned => cap(Way::Earned),
            Source::Escrow => cap(Way::Escrow),
            Source::Steward => Governor::Steward(Box::new(Steward::new(self.index, options, own, local))),
        };
    }

    /// Hands it in; notes to send come back.
    pub fn hand(&mut self, now: Micros, input: Input) -> Vec<(PeerName, Vec<u8>)> {
        let local = self.clock(now);
        let mut out = Vec::new();
        match &mut self.governor {
            Governor::None => {}
            Governor::Cap(cap) => cap.handle(local, input, &mut out),
            Governor::Steward(steward) => steward.handle(local, input, &mut out),
        }
        let mut notes = Vec::new();
        for output in out {
            match output {
                Output::Send { to, body } => notes.push((to, body)),
                Output::Allow(a) => {
                    self.allowed.insert(a.shard, (a.further, a.come_back));
                }
                Output::Entered { .. } | Output::TurnedAway { .. } => {}
            }
        }
        notes
    }

    pub fn is_due(&self, now: Micros) -> bool {
        let local = self.clock(now);
        self.up
            && match &self.governor {
                Governor::None => false,
                Governor::Cap(cap) => cap.next_due() <= local,
                Governor::Steward(_) => true,
            }
    }

    /// The module's part: whether a further attempt may go to the shard; if not, when to come back.
    pub fn may(&mut self, shard: u32) -> Result<(), Option<Micros>> {
        if matches!(self.governor, Governor::None) {
            return Ok(());
        }
        match self.allowed.get_mut(&shard) {
            Some((further, _)) if *further > 0 => {
                *further -= 1;
                Ok(())
            }
            Some((_, come_back)) => Err(Some(*come_back)),
            None => Err(None),
        }
    }

    pub fn is_repeat(&self, now: Micros, key: u64) -> bool {
        match &self.governor {
            Governor::Cap(cap) => cap.is_repeat(self.clock(now), key),
            _ => false,
        }
    }
}
