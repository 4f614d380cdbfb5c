//! One shard at this gateway: its ward, its account, what the module was last allowed, and what is advised to the rest.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::account::Account;
use crate::cap::Allowance;
use crate::options::{CapOptions, RECOVERING_FREE, RIGHT, SLICES, Terms};
use crate::shard::{ShardState, Ward};

/// Requests that may wait at a shard for a right, where rights may come at any moment.
const MOST_WAITING: u32 = 64;

/// When to ask peers again, and for how much.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asking {
    pub(crate) next: Micros,
    gap: Micros,
}

impl Asking {
    pub(crate) fn new(now: Micros, terms: &Terms) -> Self {
        Asking { next: now, gap: terms.step }
    }

    /// Asked just now: the next time later and later, up to two slices, as long as nothing comes of it.
    pub(crate) fn asked(&mut self, now: Micros, terms: &Terms) {
        self.next = now + self.gap;
        self.gap = (self.gap * 2).min(2 * terms.slice);
    }

    /// Something came of it.
    pub(crate) fn answered(&mut self, now: Micros, terms: &Terms) {
        *self = Asking { next: self.next.min(now + terms.step), gap: terms.step };
    }
}

/// One shard.
#[derive(Clone, Debug)]
pub(crate) struct Post {
    pub(crate) shard: u32,
    pub(crate) ward: Ward,
    pub(crate) account: Account,
    pub(crate) asking: Asking,
    /// Its part of the rights over all shards.
    pub(crate) quota: u32,
    /// What the module may send further now; none: not told yet.
    pub(crate) allowed: Option<u32>,
    pub(crate) told: Micros,
    pub(crate) come_back: Micros,
    /// The dearest that was held back of late, and since when nothing was allowed.
    pub(crate) worth: f64,
    pub(crate) dry_since: Option<Micros>,
    pub(crate) held_back: u64,
    /// Of those held back, those for which there was a right that the module was not told of.
    pub(crate) not_told: u64,
    /// Requests that wait at the module for a right, and since when some do without a break.
    pub(crate) waiting: u32,
    pub(crate) short_since: Option<Micros>,
    /// How many the module was last told may wait.
    pub(crate) may_wait: u32,
}

impl Post {
    pub(crate) fn new(
        shard: u32,
        options: &CapOptions,
        account: Account,
        now: Micros,
        terms: &Terms,
        rng: &mut SmallRng,
    ) -> Self {
        let mut post = Post {
            shard,
            ward: Ward::new(options, now),
            account,
            asking: Asking::new(now, terms),
            quota: 0,
            allowed: None,
            told: now,
            come_back: 0,
            worth: 0.0,
            dry_since: None,
            held_back: 0,
            not_told: 0,
            waiting: 0,
            short_since: None,
            may_wait: 0,
        };
        post.draw(options, terms, rng);
        post
    }

    /// The share that holds now.
    pub(crate) fn share(&self, options: &CapOptions) -> f64 {
        options.recovering_share + (options.share - options.recovering_share) * self.ward.width()
    }

    /// The free sends of the whole fleet that hold now.
    pub(crate) fn free(&self, options: &CapOptions) -> f64 {
        options.free * (RECOVERING_FREE + (1.0 - RECOVERING_FREE) * self.ward.width())
    }

    /// Whether rights are given and taken under what holds while it recovers.
    pub(crate) fn is_narrow(&self) -> bool {
        self.ward.width() < 1.0
    }

    /// Rights that it needs soon: for what waits, and for what was sent and held back over the last two slices.
    pub(crate) fn need(&self) -> u64 {
        let of_late = self.ward.sum(2);
        u64::from(self.waiting) + u64::from(of_late.held) + u64::from(of_late.further)
    }

    /// Rights of its own account that its part of those over all shards leaves unused.
    pub(crate) fn unused(&self) -> u32 {
        self.rights().saturating_sub(self.quota)
    }

    /// Whole rights of its own account.
    pub(crate) fn rights(&self) -> u32 {
        u32::try_from(self.account.left() / RIGHT).unwrap_or(u32::MAX)
    }

    /// Requests that may wait for a right while the module has none.
    ///
    /// Danger: rights come as requests are served, so that what finds none is refused a millisecond before there are some; and where
    /// none come, what waits is answered late, and together. So some may wait, up to a bound; once there were some for a slice without a
    /// break, as many as a slice has earned rights of late, for as long as the module lets them; none while the shard recovers. Harm:
    /// a slice passes before a client of a shard that earns nothing is told to come back.
    pub(crate) fn room(&self, now: Micros, options: &CapOptions, terms: &Terms) -> u32 {
        if self.is_narrow() {
            return 0;
        }
        if self.target() > 0 || self.short_since.is_none_or(|since| now - since < terms.slice) {
            return MOST_WAITING;
        }
        let served = f64::from(self.ward.sum(2).served) / 2.0;
        ((served * self.share(options)) as u32).min(MOST_WAITING)
    }

    /// The module says how many requests wait there for a right, and what the first of them is worth.
    pub(crate) fn set_waiting(&mut self, now: Micros, waiting: u32, worth: f64) {
        self.waiting = waiting;
        if waiting == 0 {
            self.short_since = None;
            return;
        }
        self.short_since.get_or_insert(now);
        self.dry_since.get_or_insert(now);
        if worth.is_finite() {
            self.worth = self.worth.max(worth);
        }
    }

    /// The worth that a want of it carries: it grows with every window in which nothing was allowed, so that no shard and no gateway waits
    /// for ever behind dearer ones.
    pub(crate) fn aged(&self, now: Micros, window: Micros) -> f64 {
        let dry = self.dry_since.map_or(0, |since| now - since);
        (1.0 + self.worth.clamp(0.0, 1e9)) * (1.0 + dry as f64 / window as f64)
    }

    /// What the module may send: whole rights, within the quota.
    pub(crate) fn target(&self) -> u32 {
        self.rights().min(self.quota)
    }

    /// Draws the advice anew: uniform over the time in which what is held back could be served with the rights there are, and at least
    /// over the warming while the shard recovers. Drawn by each gateway for itself and anew in each slice, so that what was refused
    /// together does not come back together.
    pub(crate) fn draw(&mut self, options: &CapOptions, terms: &Terms, rng: &mut SmallRng) {
        let last = self.ward.sum(SLICES as usize);
        let even = self.free(options) / options.members.max(1) as f64;
        let rights = even + self.share(options) * f64::from(last.served);
        let mut span = options.window as f64 * f64::from(last.held) / rights.max(0.1);
        if self.ward.state().0 == ShardState::Recovering {
            span = span.max(options.warming as f64);
        }
        // Danger: all that is refused in one slice at one gateway has one answer. Harm: it comes back within one slice; slices and
        // gateways draw apart.
        let most = (span as Micros).clamp(4 * terms.slice, options.most_advice.max(4 * terms.slice));
        self.come_back = rng.random_range(terms.slice..=most).min(options.most_advice);
    }

    /// What the module is to be told now, if anything: less at once, more when it matters.
    ///
    /// Danger: a module that stands at nought holds requests back for want of rights that are there. It is told of the first one at
    /// once, and of more a step after the last time. Harm: where every right is used as it comes, each is told by itself.
    pub(crate) fn tell(&mut self, now: Micros, options: &CapOptions, terms: &Terms) -> Option<Allowance> {
        let target = self.target();
        let may_wait = self.room(now, options, terms);
        if target > 0 {
            self.dry_since = None;
        }
        let is_due = match self.allowed {
            None | Some(0) if target > 0 => true,
            None => true,
            Some(before) if target < before => true,
            Some(before) if target > before => {
                now >= self.told.saturating_add(terms.step) && target - before >= (before / 4).max(1)
            }
            Some(_) => self.told == Micros::MIN || may_wait != self.may_wait,
        };
        if !is_due {
            return None;
        }
        (self.allowed, self.told, self.may_wait) = (Some(target), now, may_wait);
        Some(Allowance { shard: self.shard, further: target, come_back: self.come_back })
    }
}
