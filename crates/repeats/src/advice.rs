//! One shard at this gateway: its ward, its account, what the module was last allowed, and what is advised to the rest.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::account::Account;
use crate::options::{CapOptions, RECOVERING_FREE, RIGHT, SLICES, Terms};
use crate::shard::{ShardState, Ward};

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
}

impl Post {
    pub(crate) fn new(
        shard: u32,
        options: &CapOptions,
        account: Account,
        now: Micros,
        terms: &Terms,
    ) -> Self {
        Post {
            shard,
            ward: Ward::new(options, now),
            account,
            asking: Asking::new(now, terms),
            quota: 0,
            allowed: None,
            told: now,
            come_back: options.window.min(options.most_advice),
            worth: 0.0,
            dry_since: None,
            held_back: 0,
        }
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

    /// Rights that it needs soon: what was sent and held back over the last two slices.
    pub(crate) fn need(&self) -> u64 {
        let of_late = self.ward.sum(2);
        u64::from(of_late.held) + u64::from(of_late.further)
    }

    /// The worth that a want of it carries: it grows with every window in which nothing was allowed, so that no shard and no gateway waits
    /// for ever behind dearer ones.
    pub(crate) fn aged(&self, now: Micros, window: Micros) -> f64 {
        let dry = self.dry_since.map_or(0, |since| now - since);
        (1.0 + self.worth.clamp(0.0, 1e9)) * (1.0 + dry as f64 / window as f64)
    }

    /// What the module may send: whole rights, within the quota.
    pub(crate) fn target(&self) -> u32 {
        u32::try_from(self.account.left() / RIGHT).unwrap_or(u32::MAX).min(self.quota)
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
}
