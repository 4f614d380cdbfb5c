//! A gateway's cap over all its shards.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Micros;
use crate::account::Account;
use crate::advice::{Asking, Post};
use crate::lending::Lending;
use crate::look::{Counts, ShardLook};
use crate::options::{CapOptions, Plant, RIGHT, Terms, Trial, Way};
use crate::shard::ShardState;
use crate::sketch::Sketch;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An attempt went out; `further`: beyond the first of its request, or of a request known as a repeat, or a copy in the shadow.
    Sent {
        /// Where to.
        shard: u32,
        /// Whether it needs a right.
        further: bool,
    },
    /// An attempt ended.
    Ended {
        /// Where.
        shard: u32,
        /// A node served it.
        served: bool,
        /// A node refused it; neither: it ended unserved in another way.
        refused: bool,
    },
    /// A request (by [`crate::key_of`]) ended here unserved: a later one like it, here or elsewhere, is its repeat.
    Unserved {
        /// Its key.
        key: u64,
    },
    /// A request was held back for want of rights.
    Wanted {
        /// Its shard.
        shard: u32,
        /// What it is worth to answer it.
        worth: f64,
        /// What is left of its patience, microseconds.
        left: Micros,
    },
    /// Other requests wait at the module for a right than before.
    Waiting {
        /// Their shard.
        shard: u32,
        /// So many wait now.
        waiting: u32,
        /// What it is worth to answer the first of them.
        worth: f64,
    },
    /// A node of a shard is cold, silent or refuses (own sight or the view's); or none is any more.
    Recovers {
        /// The shard.
        shard: u32,
        /// Whether one is.
        on: bool,
    },
    /// Peers that may be asked, from the view.
    Peers(Vec<PeerName>),
    /// A peer's note of [`crate::KIND`] came.
    Heard {
        /// Whose.
        from: PeerName,
        /// Its life.
        life: Life,
        /// The note.
        body: Vec<u8>,
    },
    /// This gateway goes on in another life: its accounts begin anew, empty for a window.
    Renewed(Life),
    /// Time passed.
    Tick,
}

/// What the module may send to a shard beyond first attempts, until it is told otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The shard.
    pub shard: u32,
    /// So many sends, from now on.
    pub further: u32,
    /// Advice for what gets none: how long to stay away, microseconds.
    pub come_back: Micros,
}

/// What the caller has to do, in this order: an allowance comes before the note that lends it away.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a note of [`crate::KIND`].
    Send {
        /// To whom.
        to: PeerName,
        /// The note.
        body: Vec<u8>,
    },
    /// In place of what was allowed before.
    Allow(Allowance),
    /// A shard's state changed, or its step did.
    Entered {
        /// The shard.
        shard: u32,
        /// Its state.
        state: ShardState,
        /// Why.
        why: &'static str,
    },
    /// Something that a peer said was turned away; for the log, once for each cause and peer.
    TurnedAway {
        /// Who said it.
        from: PeerName,
        /// Why.
        why: &'static str,
    },
}

/// The cap of one gateway.
///
/// The caller hands in a `Tick` when [`Cap::next_due`] is reached, and after it was stopped before anything else: an allowance holds
/// until that moment only. A send beyond it counts all the same and is made good first.
#[derive(Clone, Debug)]
pub struct Cap {
    pub(crate) options: CapOptions,
    pub(crate) terms: Terms,
    pub(crate) trial: Trial,
    pub(crate) life: Life,
    pub(crate) rng: SmallRng,
    pub(crate) posts: BTreeMap<u32, Post>,
    pub(crate) fleet: Account,
    /// Whole rights over all shards that are dealt to shards, and when all may next be dealt anew for one that is short.
    pub(crate) dealt: u64,
    pub(crate) next_deal: Micros,
    /// Shards that have rights of their own and no part of those over all shards.
    pub(crate) without_part: BTreeSet<u32>,
    pub(crate) fleet_asking: Asking,
    pub(crate) lending: Lending,
    pub(crate) sketch: Sketch,
    pub(crate) peers: Vec<PeerName>,
    /// Worth of the wants heard in this slice, by account.
    pub(crate) heard_worth: BTreeMap<Option<u32>, f64>,
    pub(crate) turned: BTreeSet<(PeerName, &'static str)>,
    pub(crate) next_slice: Micros,
    pub(crate) next_step: Micros,
    pub(crate) counts: Counts,
}

impl Cap {
    /// A gateway's cap in a life that begins now. Figures out of bounds ([`CapOptions::check`]) are taken as the nearest within.
    pub fn new(options: CapOptions, life: Life, now: Micros, seed: u64) -> Cap {
        Cap::tried(options, Trial::default(), life, now, seed)
    }

    /// The same with a planted mistake or another source of rights, for tests and measurements.
    pub fn tried(options: CapOptions, trial: Trial, life: Life, now: Micros, seed: u64) -> Cap {
        let terms = options.terms();
        // The same seed at all gateways must not make them draw the same.
        let seed = xxh3_64_with_seed(options.name.0.as_bytes(), seed ^ life.nonce.0);
        let kept = match trial.plant {
            Some(Plant::SketchForgets) => options.window / 2,
            _ => terms.remembered,
        };
        let mut cap = Cap {
            terms,
            trial,
            life,
            rng: SmallRng::seed_from_u64(seed),
            posts: BTreeMap::new(),
            fleet: Account::full(terms, 0),
            dealt: 0,
            next_deal: now,
            without_part: BTreeSet::new(),
            fleet_asking: Asking::new(now, &terms),
            lending: Lending::new(terms, life, options.members, trial.plant),
            sketch: Sketch::new(now, kept, terms.window),
            peers: Vec::new(),
            heard_worth: BTreeMap::new(),
            turned: BTreeSet::new(),
            next_slice: terms.down(now) + terms.slice,
            next_step: terms.next_step(now),
            counts: Counts::default(),
            options,
        };
        cap.fleet = cap.account(cap.options.fleet_free, now);
        for &shard in &cap.options.shards {
            let account = cap.account(cap.options.free, now);
            let post = Post::new(shard, &cap.options, account, now, &terms, &mut cap.rng);
            cap.posts.insert(shard, post);
        }
        cap
    }

    pub(crate) fn even(&self, free: f64) -> u64 {
        let members = match self.trial.plant {
            Some(Plant::PartsOverSeen) => self.peers.len() + 1,
            _ => self.options.members,
        };
        if self.trial.way == Way::Earned { 0 } else { self.options.even(free, members) }
    }

    pub(crate) fn account(&self, free: f64, now: Micros) -> Account {
        match self.trial.plant {
            Some(Plant::NewLifeFull) => Account::full(self.terms, self.even(free)),
            _ => Account::new(self.terms, self.even(free), now),
        }
    }

    /// Takes what happened; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let stepped = self.advance(now, out);
        let only_earns = !stepped && matches!(input, Input::Ended { .. });
        // Between two steps nothing falls due, and most events touch one shard.
        let touched = match input {
            Input::Sent { shard, .. }
            | Input::Ended { shard, .. }
            | Input::Wanted { shard, .. }
            | Input::Waiting { shard, .. } => Some(shard),
            _ => None,
        };
        match input {
            Input::Sent { shard, further } => self.sent(now, shard, further),
            Input::Ended { shard, served, refused: _ } => self.ended(now, shard, served),
            Input::Unserved { key } => self.sketch.add(now, key),
            Input::Wanted { shard, worth, left } => self.wanted(now, shard, worth, left),
            Input::Waiting { shard, waiting, worth } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.set_waiting(now, waiting, worth);
                }
            }
            Input::Recovers { shard, on } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.ward.see(on);
                    self.roll(now, 0, out);
                }
            }
            Input::Peers(mut peers) => {
                peers.retain(|p| *p != self.options.name);
                peers.truncate(self.options.members.saturating_sub(1));
                self.peers = peers;
                self.set_parts();
            }
            Input::Heard { from, life: _, body } => self.heard(now, from, &body, out),
            Input::Renewed(life) => self.renew(now, life),
            Input::Tick => {}
        }
        let lacks = !only_earns && self.fleet.left() / RIGHT < self.dealt;
        if lacks {
            // Sends of a batch were counted after their rights had been dealt anew, or what was dealt has fallen due.
            self.share_out();
        }
        match touched.filter(|_| !stepped && !lacks) {
            Some(shard) => self.note_dealt(shard),
            None => self.options.shards.clone().into_iter().for_each(|shard| self.note_dealt(shard)),
        }
        match (self.deal_more(now), touched.filter(|_| !stepped && !lacks)) {
            (Some(dealt), Some(shard)) => {
                dealt.into_iter().chain([shard]).for_each(|shard| self.allow_one(now, shard, out));
            }
            _ => self.allow(now, out),
        }
    }

    /// When to hand in a `Tick` at the latest.
    pub fn next_due(&self) -> Micros {
        let lacks = self.posts.values().any(|p| p.need() > 0 || p.allowed.is_none_or(|a| a < p.target()));
        let losses =
            self.posts.values().map(|p| &p.account).chain([&self.fleet]).filter_map(Account::next_loss);
        // What comes back to a shard that stands at nought is told as it does.
        let dry = self.posts.values().filter(|p| p.allowed == Some(0));
        let gains = dry.flat_map(|p| [p.account.next_gain(), self.fleet.next_gain()]).flatten();
        let next = losses.chain(gains).min().unwrap_or(self.next_slice).min(self.next_slice);
        if lacks { next.min(self.next_step) } else { next }
    }

    /// Whether rights may have fallen due since the last event: what was allowed holds no longer, and a `Tick` has to come first.
    pub fn is_behind(&self, now: Micros) -> bool {
        now >= self.next_step
    }

    /// Whether a request like this ended unserved, here or at a peer, within the window and the longest advice. May say so falsely, never the other
    /// way of what was heard.
    pub fn is_repeat(&self, now: Micros, key: u64) -> bool {
        self.sketch.has(now, key)
    }

    /// A shard's state; normal if the cap does not hold for it.
    pub fn state(&self, shard: u32) -> ShardState {
        self.posts.get(&shard).map_or(ShardState::Normal, |p| p.ward.state().0)
    }

    /// How many requests may wait at the module for a right of a shard, until its next [`Output::Allow`].
    pub fn may_wait(&self, shard: u32) -> u32 {
        self.posts.get(&shard).map_or(0, |post| post.may_wait)
    }

    /// Totals of this life.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All shards, then all of them together.
    pub fn look(&self, now: Micros) -> Vec<ShardLook> {
        let sends = |rights: u64| rights as f64 / RIGHT as f64;
        let look = |account: &Account, shard| {
            let (mut account, turnover) = (account.clone(), account.turnover());
            account.settle(now);
            ShardLook {
                shard,
                state: ShardState::Normal,
                since: 0,
                why: String::new(),
                left: sends(account.left()),
                allowed: 0,
                come_back: 0,
                lent: sends(turnover.lent),
                borrowed: sends(turnover.borrowed),
                earned: sends(turnover.earned),
                spent: sends(turnover.spent),
                held_back: 0,
                not_told: 0,
                waiting: 0,
            }
        };
        let mut all = look(&self.fleet, None);
        let mut looks = Vec::with_capacity(self.posts.len() + 1);
        for post in self.posts.values() {
            let (state, since, why) = post.ward.state();
            let (allowed, held_back) = (post.allowed.unwrap_or(0), post.held_back);
            let one = ShardLook {
                state,
                since: now - since,
                why: why.into(),
                allowed,
                held_back,
                ..look(&post.account, Some(post.shard))
            };
            let (come_back, not_told, waiting) = (post.come_back, post.not_told, post.waiting);
            let one = ShardLook { come_back, not_told, waiting, ..one };
            if matches!(state, ShardState::Recovering) || all.why.is_empty() {
                (all.state, all.since, all.why) = (state, one.since, one.why.clone());
            }
            all.allowed += allowed;
            all.held_back += held_back;
            all.not_told += not_told;
            all.waiting += waiting;
            looks.push(one);
        }
        looks.push(all);
        looks
    }
}
