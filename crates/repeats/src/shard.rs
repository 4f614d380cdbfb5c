//! The state of one shard, as one gateway sees it.
//!
//! *Recovering* is entered by own sight or by what peers have seen themselves, and left as served answers show it. What a peer
//! says holds for a window, and is only ever what it saw itself, so that no word goes round. One peer alone is believed for
//! [`ALONE`] windows, then not until it has been silent for [`REST`]: a gateway that is cut off from a node, or lies, cannot hold
//! the others for ever. And whoever says so, a shard that has served here without trouble for [`health`](Ward::health) is left alone.

use std::collections::{BTreeMap, VecDeque};

use peer::PeerName;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::message::Fact;
use crate::options::{CapOptions, SLICES};

/// Windows for which a single peer's word is believed.
pub const ALONE: Micros = 4;
/// Windows of silence after which a single peer is believed anew.
pub const REST: Micros = 8;
/// Steps from the recovering share back to the whole one, half a window each.
pub const STEPS: u32 = 4;
/// So many that ended in a quarter of a window, all bad, are own sight of trouble.
const FEW: u32 = 8;
/// Of so many ended in a window, three quarters bad are.
const MANY: u32 = 24;
/// Of so many served in a window, with less than a twentieth bad, the window was healthy.
const HEALTHY: u32 = 16;
/// Slices in a quarter of a window.
const QUARTER: usize = SLICES as usize / 4;

/// What repeats a shard bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardState {
    /// All is well.
    Normal,
    /// A tenth of what ends is bad, or requests are held back for want of rights: nothing is taken away yet.
    Strained,
    /// A node of it is cold, silent or refuses: repeats at the recovering share.
    Recovering,
    /// Served answers show that it is back; the share rises in steps.
    Widening,
}

/// What happened in a slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Ended served.
    pub served: u32,
    /// Ended refused, or unserved in another way.
    pub bad: u32,
    /// Further sends.
    pub further: u32,
    /// Held back for want of a right.
    pub held: u32,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    first: Micros,
    last: Micros,
}

/// A shard's state, and what it was judged by.
#[derive(Clone, Debug)]
pub struct Ward {
    state: ShardState,
    why: &'static str,
    since: Micros,
    step: u32,
    /// Own sight of a node that is cold, silent or refuses.
    seen: bool,
    heard: BTreeMap<PeerName, Heard>,
    /// Since when every window here was a healthy one.
    healthy: Option<Micros>,
    /// The last window by slices; the newest last.
    slices: VecDeque<Tally>,
    window: Micros,
    health: Micros,
    most_heard: usize,
}

impl Ward {
    /// Normal, nothing seen.
    pub fn new(options: &CapOptions, now: Micros) -> Self {
        Ward {
            state: ShardState::Normal,
            why: "it began so",
            since: now,
            step: STEPS,
            seen: false,
            heard: BTreeMap::new(),
            healthy: None,
            slices: VecDeque::from([Tally::default()]),
            window: options.window,
            health: 2 * options.warming + ALONE * options.window,
            most_heard: options.members,
        }
    }

    /// State, since when, why.
    pub fn state(&self) -> (ShardState, Micros, &'static str) {
        (self.state, self.since, self.why)
    }

    /// How long a shard must serve here without trouble until it is left alone, whoever says what: twice the warming and
    /// [`ALONE`] windows.
    pub fn health(&self) -> Micros {
        self.health
    }

    /// From 0 (the recovering share) to 1 (the whole one).
    pub fn width(&self) -> f64 {
        match self.state {
            ShardState::Normal | ShardState::Strained => 1.0,
            ShardState::Recovering => 0.0,
            ShardState::Widening => f64::from(self.step) / f64::from(STEPS),
        }
    }

    /// The tally that is filled now.
    pub fn tally(&mut self) -> &mut Tally {
        if self.slices.is_empty() {
            self.slices.push_back(Tally::default());
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Sums over the newest `slices`.
    pub fn sum(&self, slices: usize) -> Tally {
        self.slices.iter().rev().take(slices).fold(Tally::default(), |a, t| Tally {
            served: a.served + t.served,
            bad: a.bad + t.bad,
            further: a.further + t.further,
            held: a.held + t.held,
        })
    }

    /// Own sight of a node that is cold, silent or refuses, or of none any more.
    pub fn see(&mut self, on: bool) {
        self.seen = on;
    }

    /// What a peer saw. Without evidence in it it is nothing.
    pub fn hear(&mut self, now: Micros, from: &PeerName, fact: &Fact) {
        if !fact.seen && !is_trouble(fact.served, fact.bad) {
            return;
        }
        if !self.heard.contains_key(from) && self.heard.len() >= self.most_heard {
            return;
        }
        let word = self.heard.entry(from.clone()).or_insert(Heard { first: now, last: now });
        if now - word.last > REST * self.window {
            word.first = now;
        }
        word.last = now;
    }

    /// What to tell peers: only own sight, and only while there is any. `pass_on` is a planted mistake: what was heard, too.
    pub fn fact(&self, now: Micros, shard: u32, pass_on: bool) -> Option<Fact> {
        let seen = self.seen && !self.has_long_been_healthy(now)
            || pass_on && self.heard.values().any(|h| now - h.last <= self.window);
        let Tally { served, bad, .. } = self.shown().unwrap_or_default();
        (seen || bad > 0).then_some(Fact { shard, seen, served, bad })
    }

    /// Ends as many slices as have passed and judges anew; true if the state or its step changed.
    pub fn roll(&mut self, now: Micros, passed: usize) -> bool {
        let few = self.sum(SLICES as usize);
        if few.served >= HEALTHY && few.bad * 20 < few.served {
            self.healthy.get_or_insert(now);
        } else {
            self.healthy = None;
        }
        let changed = self.judge(now);
        for _ in 0..passed.min(SLICES as usize) {
            self.slices.push_back(Tally::default());
        }
        while self.slices.len() > SLICES as usize {
            self.slices.pop_front();
        }
        self.heard.retain(|_, h| now - h.last <= REST * self.window);
        changed
    }

    /// What ended here, if that shows trouble.
    fn shown(&self) -> Option<Tally> {
        [QUARTER, SLICES as usize].into_iter().map(|n| self.sum(n)).find(|t| is_trouble(t.served, t.bad))
    }

    fn has_long_been_healthy(&self, now: Micros) -> bool {
        self.healthy.is_some_and(|since| now - since >= self.health)
    }

    /// Why it recovers, if it does.
    fn trouble(&self, now: Micros) -> Option<&'static str> {
        // Danger: a fact that never ends (a peer's, a view's, an own link that is cut one way) would hold the shard's repeats down
        // for ever. Harm of going on: a shard that only we reach well gets the whole share, of what it serves to us.
        if self.has_long_been_healthy(now) {
            return None;
        }
        if self.seen {
            return Some("a node of it is cold, silent or refuses");
        }
        if self.shown().is_some() {
            return Some("most of what ended here was refused or unserved");
        }
        let mut words = self.heard.values().filter(|h| now - h.last <= self.window);
        match (words.next(), words.next()) {
            (Some(_), Some(_)) => Some("several peers see trouble"),
            (Some(one), None) if now - one.first < ALONE * self.window => Some("a peer sees trouble"),
            _ => None,
        }
    }

    fn judge(&mut self, now: Micros) -> bool {
        let (whole, quarter) = (self.sum(SLICES as usize), self.sum(QUARTER));
        let trouble = self.trouble(now);
        let serves = quarter.served > 0 && quarter.bad * 10 <= quarter.served;
        match self.state {
            ShardState::Normal | ShardState::Strained if trouble.is_some() => {
                self.enter(now, ShardState::Recovering, 0, trouble.unwrap_or_default())
            }
            ShardState::Normal if whole.bad * 10 >= whole.served + whole.bad && whole.bad >= FEW => self
                .enter(
                    now,
                    ShardState::Strained,
                    STEPS,
                    "a tenth of what ended here was refused or unserved",
                ),
            ShardState::Normal if whole.held > 0 => {
                self.enter(now, ShardState::Strained, STEPS, "repeats are held back for want of rights")
            }
            ShardState::Strained
                if now - self.since >= self.window
                    && whole.held == 0
                    && whole.served > 0
                    && whole.bad * 20 <= whole.served =>
            {
                self.enter(
                    now,
                    ShardState::Normal,
                    STEPS,
                    "it has served for a window and nothing was held back",
                )
            }
            ShardState::Recovering if trouble.is_none() && serves && now - self.since >= self.window => self
                .enter(now, ShardState::Widening, 1, "it serves, and nobody is believed who says otherwise"),
            ShardState::Widening if trouble.is_some() => {
                self.enter(now, ShardState::Recovering, 0, trouble.unwrap_or_default())
            }
            ShardState::Widening if serves && now - self.since >= self.window / 2 => {
                if self.step + 1 >= STEPS {
                    self.enter(now, ShardState::Normal, STEPS, "it served at every step")
                } else {
                    self.enter(now, ShardState::Widening, self.step + 1, "it served at the step before")
                }
            }
            _ => false,
        }
    }

    fn enter(&mut self, now: Micros, state: ShardState, step: u32, why: &'static str) -> bool {
        (self.state, self.since, self.step, self.why) = (state, now, step, why);
        true
    }
}

/// What ended here shows trouble by itself: nothing of [`FEW`] in a quarter of a window was served, or three quarters of
/// [`MANY`] in a whole one were bad. A node that refuses 3 of 10 at random is so taken for one in trouble about once in ten minutes at
/// a gateway that sends it 30 in a window.
fn is_trouble(served: u32, bad: u32) -> bool {
    served == 0 && bad >= FEW || served + bad >= MANY && bad >= 3 * served
}
