//! A gateway's account of retry tokens for one shard, or for the whole fleet: the tokens it may spend,
//! when they expire, and which are in use.
//!
//! There are two kinds of tokens. Neither relies on the clock readings of another gateway:
//!
//! - **Base tokens.** A gateway has an equal part `E` of the `free` tokens of the fleet. At any moment
//!   it may spend `E` less what is *in use*. A spent token is in use for a window; a leased one for the
//!   term of its lease and a window, as if the borrower spent it at the latest possible moment. So the
//!   uses of this gateway's part within any window, by itself and by its borrowers, are at most `E`, and
//!   those of all members at most `free`, whatever the network partitions.
//! - **Earned tokens.** A served request earns `share` of a token, which is used once, here or by a
//!   borrower, within half a window. So the uses within a window are at most `share` x the requests
//!   served in it and in the half window before it.

use std::collections::VecDeque;

use crate::Micros;
use crate::options::Durations;

/// Tokens in thousandths, and when they fall due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TokenBatch {
    until: Micros,
    amount: u64,
}

/// A part of a lease grant: tokens in thousandths, and their remaining lifetime on the reference clock,
/// counted from the moment of the grant.
pub type LeasePart = (u64, Micros);

/// Tokens that an attempt took out of an account, to be returned if the attempt is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpentTokens {
    /// Earned and borrowed tokens in thousandths, with the times at which they expire.
    held: Vec<LeasePart>,
    /// Base tokens in thousandths, in use until `base_until`.
    base: u64,
    base_until: Micros,
    /// How often the account had been scaled.
    scalings: u32,
}

/// Totals of an account, in thousandths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountTotals {
    /// Spent on attempts.
    pub spent: u64,
    /// Leased to peers.
    pub lent: u64,
    /// Borrowed from peers.
    pub borrowed: u64,
    /// Earned by served requests.
    pub earned: u64,
}

/// The account of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Account {
    durations: Durations,
    base: u64,
    /// Base tokens in use, by the time at which they return. Bounded by the number of steps in a window
    /// and a lease.
    in_use: BatchQueue,
    /// Earned and borrowed tokens, by the time at which they expire. Bounded by the number of slices in
    /// the lifetime of an earned token and the leases within one.
    held: BatchQueue,
    /// How often `held` has been scaled down.
    scalings: u32,
    totals: AccountTotals,
}

/// Token batches ordered by due time, with their sum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BatchQueue {
    queue: VecDeque<TokenBatch>,
    sum: u64,
}

impl BatchQueue {
    fn add(&mut self, until: Micros, amount: u64) {
        if amount == 0 {
            return;
        }
        self.sum = self.sum.saturating_add(amount);
        let at = self.queue.partition_point(|p| p.until < until);
        match self.queue.get_mut(at) {
            Some(p) if p.until == until => p.amount = p.amount.saturating_add(amount),
            _ => self.queue.insert(at, TokenBatch { until, amount }),
        }
    }

    /// Removes the batches that fell due.
    fn remove_due(&mut self, now: Micros) {
        while let Some(batch) = self.queue.pop_front_if(|p| p.until <= now) {
            self.sum -= batch.amount;
        }
    }

    /// Removes at most `amount` from the batch that falls due at `until`, if there is one.
    fn remove_from(&mut self, until: Micros, amount: u64) {
        let at = self.queue.partition_point(|p| p.until < until);
        let Some(batch) = self.queue.get_mut(at).filter(|p| p.until == until) else { return };
        let removed = amount.min(batch.amount);
        batch.amount -= removed;
        self.sum -= removed;
        if batch.amount == 0 {
            self.queue.remove(at);
        }
    }

    /// Changes each batch; removes those that become empty.
    fn update_all(&mut self, mut update: impl FnMut(&mut TokenBatch)) {
        self.queue.iter_mut().for_each(&mut update);
        self.queue.retain(|p| p.amount > 0);
        self.sum = self.queue.iter().map(|p| p.amount).sum();
    }
}

impl Account {
    /// Opens an account for a gateway life that begins now. All base tokens are in use, as the life
    /// before may have spent them just now.
    pub fn new(durations: Durations, base: u64, now: Micros) -> Self {
        let mut account = Account::with_full_base(durations, base);
        account.in_use.add(durations.round_up_to_step(now + durations.empty_period()), base);
        account
    }

    /// Opens an account with all base tokens available. This is correct only for the first life of a
    /// gateway.
    pub(crate) fn with_full_base(durations: Durations, base: u64) -> Self {
        Account {
            durations,
            base,
            in_use: BatchQueue::default(),
            held: BatchQueue::default(),
            scalings: 0,
            totals: AccountTotals::default(),
        }
    }

    /// Removes expired tokens and returns base tokens whose time in use is over.
    pub fn settle(&mut self, now: Micros) {
        self.in_use.remove_due(now);
        self.held.remove_due(now);
    }

    /// Base tokens that are not in use, in thousandths, as of the last `settle`.
    pub fn base_available(&self) -> u64 {
        self.base.saturating_sub(self.in_use.sum)
    }

    /// Tokens that can be spent, in thousandths, as of the last `settle`.
    pub fn available(&self) -> u64 {
        self.base_available() + self.held.sum
    }

    /// When the next earned or borrowed token expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.held.queue.front().map(|p| p.until)
    }

    /// When the next base token returns.
    pub fn next_return(&self) -> Option<Micros> {
        self.in_use.queue.front().map(|p| p.until)
    }

    /// Totals since the account was opened.
    pub fn totals(&self) -> AccountTotals {
        self.totals
    }

    /// Sets the number of base tokens. Tokens in use stay in use, so a lower number takes effect at
    /// once.
    pub fn set_base(&mut self, base: u64) {
        self.base = base;
    }

    /// Scales earned and borrowed tokens down to this part: they were earned at a share that no longer
    /// applies.
    pub fn scale_held(&mut self, part: f64) {
        self.scalings += 1;
        self.held.update_all(|p| p.amount = (p.amount as f64 * part.clamp(0.0, 1.0)).floor() as u64);
    }

    /// Adds the tokens that a served request earns.
    pub fn earn(&mut self, now: Micros, amount: u64) {
        self.held.add(self.durations.round_down_to_slice(now + self.durations.earned_lifetime), amount);
        self.totals.earned += amount;
    }

    /// Adds tokens borrowed from a peer, valid until `until` on the local clock; returns false if that
    /// is past.
    pub fn borrow(&mut self, now: Micros, until: Micros, amount: u64) -> bool {
        // Expiry times lie on a grid to keep the number of batches small. They are rounded down, as a
        // token must not outlive the time for which the lender counts it.
        let until = until.div_euclid(self.durations.step) * self.durations.step;
        if until <= now {
            return false;
        }
        self.held.add(until, amount);
        self.totals.borrowed += amount;
        true
    }

    /// Takes tokens for an attempt: first those that expire first, then base tokens. A deficit is taken
    /// from future base tokens.
    ///
    /// An attempt that was sent without a token (the process was stopped between an expiry and its tick)
    /// must count as well. The cost is that the account yields nothing until the deficit has been
    /// recovered.
    pub fn spend(&mut self, now: Micros, amount: u64) -> SpentTokens {
        self.settle(now);
        let held = self.take_held(amount, 0);
        let base = amount - held.iter().map(|p| p.0).sum::<u64>();
        let base_until = self.durations.round_up_to_step(now + self.durations.window);
        self.in_use.add(base_until, base);
        self.totals.spent += amount;
        SpentTokens { held, base, base_until, scalings: self.scalings }
    }

    /// Takes back the tokens of an attempt that was not sent, as if it had never taken them: what would have
    /// expired or returned meanwhile has done so. Earned and borrowed tokens stay spent if the others were
    /// scaled down meanwhile. `spent` must be from this account.
    pub fn take_back(&mut self, now: Micros, spent: SpentTokens) {
        self.settle(now);
        self.totals.spent -= spent.base + spent.held.iter().map(|p| p.0).sum::<u64>();
        self.in_use.remove_from(spent.base_until, spent.base);
        if spent.scalings == self.scalings {
            spent
                .held
                .into_iter()
                .filter(|p| p.1 > now)
                .for_each(|(amount, until)| self.held.add(until, amount));
        }
    }

    /// Takes at most `max_amount` earned and borrowed tokens that expire at or after `min_expiry`.
    fn take_held(&mut self, max_amount: u64, min_expiry: Micros) -> Vec<LeasePart> {
        let (mut rest, mut taken) = (max_amount, Vec::new());
        if rest == 0 {
            return taken;
        }
        self.held.update_all(|p| {
            let amount = if p.until < min_expiry { 0 } else { p.amount.min(rest) };
            p.amount -= amount;
            rest -= amount;
            if amount > 0 {
                taken.push((amount, p.until));
            }
        });
        taken
    }

    /// Tokens that could be leased now if `retained` of the base tokens are retained.
    pub fn leasable(&self, now: Micros, retained: u64) -> u64 {
        let min_expiry = now + self.durations.lease / 2;
        let held_amount: u64 =
            self.held.queue.iter().filter(|p| p.until >= min_expiry).map(|p| p.amount).sum();
        held_amount + self.base_available().saturating_sub(retained)
    }

    /// Takes at most `max_amount` tokens off this account for a lease and retains `retained` of the base
    /// tokens. The tokens returned are no longer in this account, whether the grant arrives or not.
    ///
    /// Lifetimes: an earned token that expires here at `until` was earned at most `earned * (1 - drift) -
    /// (until - now)` of local time ago. `until - now` on the *reference* clock from now is therefore
    /// within the remainder of its half window, as the local clock may be slow, but by no more than the
    /// drift. A base token is in use for `lease_held` of local time, which covers `lease` on the reference
    /// clock even if the local clock is fast, and then for a window.
    pub fn lease(
        &mut self,
        now: Micros,
        max_amount: u64,
        retained: u64,
        returns_early: bool,
    ) -> Vec<LeasePart> {
        self.settle(now);
        let min_expiry = now + self.durations.lease / 2;
        let earned = self.take_held(max_amount, min_expiry);
        let earned_amount: u64 = earned.iter().map(|p| p.0).sum();
        let remaining = earned.iter().map(|p| p.1 - now).min().unwrap_or(0).min(self.durations.lease);
        let base_amount = self.base_available().saturating_sub(retained).min(max_amount - earned_amount);
        let lease_held = if returns_early { 0 } else { self.durations.lease_held };
        self.in_use
            .add(self.durations.round_up_to_step(now + lease_held + self.durations.window), base_amount);
        self.totals.lent += earned_amount + base_amount;
        [(earned_amount, remaining), (base_amount, self.durations.lease)]
            .into_iter()
            .filter(|p| p.0 > 0)
            .collect()
    }
}
