//! The cap of one shard at this gateway: its state, its account, what the scheduler was last allowed,
//! and the retry delay advised to rejected requests.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::account::Account;
use crate::interface::Allowance;
use crate::options::{CapOptions, Durations, ONE_TOKEN, RECOVERING_FREE_PART, SLICES_PER_WINDOW};
use crate::shard::{ShardHealth, ShardState};

/// Requests that may wait for a token of a shard while tokens may arrive at any moment.
const MAX_WAITING: u32 = 64;

/// When to ask peers for tokens again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestBackoff {
    pub(crate) next: Micros,
    delay: Micros,
}

impl RequestBackoff {
    pub(crate) fn new(now: Micros, durations: &Durations) -> Self {
        RequestBackoff { next: now, delay: durations.step }
    }

    /// Records a request sent just now. The delay before the next one doubles, up to two slices, as long
    /// as no grant arrives.
    pub(crate) fn record_request(&mut self, now: Micros, durations: &Durations) {
        self.next = now + self.delay;
        self.delay = (self.delay * 2).min(2 * durations.slice);
    }

    /// Records a grant: the delay starts over.
    pub(crate) fn record_grant(&mut self, now: Micros, durations: &Durations) {
        *self = RequestBackoff { next: self.next.min(now + durations.step), delay: durations.step };
    }
}

/// State of one shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardCap {
    pub(crate) shard: u32,
    pub(crate) health: ShardHealth,
    pub(crate) account: Account,
    pub(crate) backoff: RequestBackoff,
    /// Its part of the fleet-wide tokens.
    pub(crate) fleet_quota: u32,
    /// Retries that the scheduler may still send; none before the first notification.
    pub(crate) allowed: Option<u32>,
    pub(crate) notified_at: Micros,
    pub(crate) retry_after: Micros,
    /// The highest worth among recently rejected requests, and since when no retry has been allowed.
    pub(crate) highest_worth: f64,
    pub(crate) none_allowed_since: Option<Micros>,
    pub(crate) rejected: u64,
    /// Rejected requests for which there was a token that the scheduler had not been notified of.
    pub(crate) rejected_with_token: u64,
    /// Requests that wait in the scheduler for a token, and since when at least one has been waiting.
    pub(crate) waiting: u32,
    pub(crate) waiting_since: Option<Micros>,
    /// The wait limit in the last notification.
    pub(crate) wait_limit: u32,
}

impl ShardCap {
    pub(crate) fn new(
        shard: u32,
        options: &CapOptions,
        account: Account,
        now: Micros,
        durations: &Durations,
        rng: &mut SmallRng,
    ) -> Self {
        let mut shard_cap = ShardCap {
            shard,
            health: ShardHealth::new(options, now),
            account,
            backoff: RequestBackoff::new(now, durations),
            fleet_quota: 0,
            allowed: None,
            notified_at: now,
            retry_after: 0,
            highest_worth: 0.0,
            none_allowed_since: None,
            rejected: 0,
            rejected_with_token: 0,
            waiting: 0,
            waiting_since: None,
            wait_limit: 0,
        };
        shard_cap.draw_retry_after(options, durations, rng);
        shard_cap
    }

    /// The share that applies in the current state.
    pub(crate) fn share(&self, options: &CapOptions) -> f64 {
        options.recovering_share + (options.share - options.recovering_share) * self.health.width()
    }

    /// The free retries of the whole fleet that apply in the current state.
    pub(crate) fn free(&self, options: &CapOptions) -> f64 {
        options.free * (RECOVERING_FREE_PART + (1.0 - RECOVERING_FREE_PART) * self.health.width())
    }

    /// Whether the reduced limits of a recovering shard apply to leases.
    pub(crate) fn has_reduced_limits(&self) -> bool {
        self.health.width() < 1.0
    }

    /// Tokens needed soon: one for each waiting request and for each retry sent or rejected in the last
    /// two slices.
    pub(crate) fn need(&self) -> u64 {
        let recent = self.health.sum(2);
        u64::from(self.waiting) + u64::from(recent.rejected) + u64::from(recent.retries)
    }

    /// Tokens of the shard's own account beyond its part of the fleet-wide tokens.
    pub(crate) fn beyond_quota(&self) -> u32 {
        self.own_tokens().saturating_sub(self.fleet_quota)
    }

    /// Whole tokens of the shard's own account.
    pub(crate) fn own_tokens(&self) -> u32 {
        u32::try_from(self.account.available() / ONE_TOKEN).unwrap_or(u32::MAX)
    }

    /// Requests that may wait for a token while the scheduler has none.
    ///
    /// Tokens arrive as requests are served, so a request that finds none might be rejected a
    /// millisecond before one arrives. Where none arrive, on the other hand, waiting requests are all
    /// answered late and together. So a bounded number may wait. Once requests have waited for a whole
    /// slice, the bound is the number of tokens that a slice has earned recently, for as long as the
    /// scheduler lets them wait. None wait while the shard recovers. The cost is that a slice passes
    /// before the clients of a shard that earns no tokens are told when to retry.
    pub(crate) fn compute_wait_limit(&self, now: Micros, options: &CapOptions, durations: &Durations) -> u32 {
        if self.has_reduced_limits() {
            return 0;
        }
        if self.sendable() > 0 || self.waiting_since.is_none_or(|since| now - since < durations.slice) {
            return MAX_WAITING;
        }
        let served = f64::from(self.health.sum(2).served) / 2.0;
        ((served * self.share(options)) as u32).min(MAX_WAITING)
    }

    /// Records how many requests wait in the scheduler for a token, and the worth of the first of them.
    pub(crate) fn set_waiting(&mut self, now: Micros, waiting: u32, worth: f64) {
        self.waiting = waiting;
        if waiting == 0 {
            self.waiting_since = None;
            return;
        }
        self.waiting_since.get_or_insert(now);
        self.none_allowed_since.get_or_insert(now);
        if worth.is_finite() {
            self.highest_worth = self.highest_worth.max(worth);
        }
    }

    /// The worth stated in a lease request. It grows with every window in which no retry was allowed, so
    /// that no shard and no gateway is starved by requests of higher worth.
    pub(crate) fn aged_worth(&self, now: Micros, window: Micros) -> f64 {
        let none_allowed_for = self.none_allowed_since.map_or(0, |since| now - since);
        (1.0 + self.highest_worth.clamp(0.0, 1e9)) * (1.0 + none_allowed_for as f64 / window as f64)
    }

    /// What the scheduler may send: whole tokens, within the quota.
    pub(crate) fn sendable(&self) -> u32 {
        self.own_tokens().min(self.fleet_quota)
    }

    /// Draws a new retry delay, uniform over the time in which the rejected requests could be served
    /// with the tokens there are, and at least over the warm-up time while the shard recovers. Each
    /// gateway draws its own, anew in each slice, so that requests rejected together do not return
    /// together.
    pub(crate) fn draw_retry_after(
        &mut self,
        options: &CapOptions,
        durations: &Durations,
        rng: &mut SmallRng,
    ) {
        let last = self.health.sum(SLICES_PER_WINDOW as usize);
        let base_tokens = self.free(options) / options.members.max(1) as f64;
        let tokens = base_tokens + self.share(options) * f64::from(last.served);
        let mut span = options.window as f64 * f64::from(last.rejected) / tokens.max(0.1);
        if self.health.state().0 == ShardState::Recovering {
            span = span.max(options.warm_up as f64);
        }
        // All requests rejected in one slice at one gateway get the same delay, so they return within
        // one slice. Slices and gateways draw independently.
        let max_delay =
            (span as Micros).clamp(4 * durations.slice, options.max_retry_after.max(4 * durations.slice));
        self.retry_after = rng.random_range(durations.slice..=max_delay).min(options.max_retry_after);
    }

    /// The allowance that the scheduler has to be notified of now, if any. Decreases are reported at
    /// once, increases when they matter.
    ///
    /// A scheduler that may send nothing rejects requests for lack of tokens that exist. It is therefore
    /// notified of the first token at once, and of further ones a step after the last notification. The
    /// cost is one notification for each token where every token is used as it arrives.
    pub(crate) fn pending_allowance(
        &mut self,
        now: Micros,
        options: &CapOptions,
        durations: &Durations,
    ) -> Option<Allowance> {
        let sendable = self.sendable();
        let wait_limit = self.compute_wait_limit(now, options, durations);
        if sendable > 0 {
            self.none_allowed_since = None;
        }
        let is_due = match self.allowed {
            None | Some(0) if sendable > 0 => true,
            None => true,
            Some(before) if sendable < before => true,
            Some(before) if sendable > before => {
                now >= self.notified_at.saturating_add(durations.step)
                    && sendable - before >= (before / 4).max(1)
            }
            Some(_) => self.notified_at == Micros::MIN || wait_limit != self.wait_limit,
        };
        if !is_due {
            return None;
        }
        (self.allowed, self.notified_at, self.wait_limit) = (Some(sendable), now, wait_limit);
        Some(Allowance { shard: self.shard, retries: sendable, retry_after: self.retry_after })
    }
}
