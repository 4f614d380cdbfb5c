//! Event handling of the cap: expiry of tokens, changes of state, and the allowances that follow.

use peer::Life;

use crate::Micros;
use crate::cap::Cap;
use crate::interface::{Output, TokenReceipt};
use crate::leases::LeaseBook;
use crate::options::{ONE_TOKEN, SLICES_PER_WINDOW, TokenSource};

/// The most requests rejected with the same retry delay, so that a crowd of clients does not return
/// together.
const REJECTIONS_PER_DELAY: u64 = 64;

impl Cap {
    /// Records an attempt; returns the receipt of the token that it takes, if it needs one.
    pub(crate) fn record_sent(&mut self, now: Micros, shard: u32, is_retry: bool) -> Option<TokenReceipt> {
        let shard_cap = self.shard_caps.get_mut(&shard).filter(|_| is_retry)?;
        shard_cap.health.current_slice().retries += 1;
        let shard_tokens = shard_cap.account.spend(now, ONE_TOKEN);
        let fleet_tokens = self.fleet.spend(now, ONE_TOKEN);
        // The scheduler has counted this attempt as well.
        shard_cap.allowed = shard_cap.allowed.map(|a| a.saturating_sub(1));
        if shard_cap.fleet_quota > 0 {
            shard_cap.fleet_quota -= 1;
            self.assigned = self.assigned.saturating_sub(1);
        }
        Some(TokenReceipt { life: self.life, shard, shard_tokens, fleet_tokens })
    }

    /// Takes back the token of an attempt that was not sent. It is assigned to a shard again like any other. One
    /// from an earlier life stays spent, as this life began with all tokens in use.
    pub(crate) fn take_back_token(&mut self, now: Micros, receipt: TokenReceipt) {
        let TokenReceipt { life, shard, shard_tokens, fleet_tokens } = receipt;
        if let Some(shard_cap) = self.shard_caps.get_mut(&shard).filter(|_| life == self.life) {
            shard_cap.account.take_back(now, shard_tokens);
            self.fleet.take_back(now, fleet_tokens);
        }
    }

    pub(crate) fn record_ended(&mut self, now: Micros, shard: u32, served: bool) {
        let Some(shard_cap) = self.shard_caps.get_mut(&shard) else { return };
        if !served {
            shard_cap.health.current_slice().bad += 1;
            return;
        }
        shard_cap.health.current_slice().served += 1;
        if self.overrides.token_source != TokenSource::BaseOnly {
            let tokens = |share: f64| (share * ONE_TOKEN as f64).floor() as u64;
            shard_cap.account.earn(now, tokens(shard_cap.share(&self.options)));
            self.fleet.earn(now, tokens(self.options.fleet_share));
        }
    }

    pub(crate) fn record_rejected(&mut self, now: Micros, shard: u32, worth: f64, remaining: Micros) {
        let Some(shard_cap) = self.shard_caps.get_mut(&shard) else { return };
        shard_cap.rejected += 1;
        if shard_cap.rejected.is_multiple_of(REJECTIONS_PER_DELAY) {
            shard_cap.draw_retry_after(&self.options, &self.durations, &mut self.rng);
            // Forces a notification with the new delay if the allowance is unchanged.
            shard_cap.notified_at = Micros::MIN;
        }
        if shard_cap.own_tokens() > 0 && self.fleet.available() >= ONE_TOKEN {
            shard_cap.rejected_with_token += 1;
        }
        // A request without the time left for a lease to arrive is rejected in any case, so it adds no
        // demand.
        if remaining < self.durations.step {
            return;
        }
        shard_cap.health.current_slice().rejected += 1;
        if worth.is_finite() {
            shard_cap.highest_worth = shard_cap.highest_worth.max(worth);
        }
        shard_cap.none_allowed_since.get_or_insert(now);
    }

    pub(crate) fn start_new_life(&mut self, now: Micros, life: Life) {
        self.life = life;
        self.leases = LeaseBook::new(self.durations, life, self.options.members, self.overrides.fault);
        self.fleet = self.new_account(self.options.fleet_free, now);
        let empty_account = self.new_account(self.options.free, now);
        for shard_cap in self.shard_caps.values_mut() {
            shard_cap.account = empty_account.clone();
        }
        self.update_base_tokens();
        self.distribute();
    }

    /// Sets the base tokens according to the states of the shards and the number of members.
    pub(crate) fn update_base_tokens(&mut self) {
        let base_tokens: Vec<u64> =
            self.shard_caps.values().map(|p| self.base_tokens(p.free(&self.options))).collect();
        let fleet_base = self.base_tokens(self.options.fleet_free);
        for (shard_cap, base) in self.shard_caps.values_mut().zip(base_tokens) {
            shard_cap.account.set_base(base);
        }
        self.fleet.set_base(fleet_base);
    }

    /// If a step has ended since the last call, does the work that is due at the end of a step and, if one
    /// has ended, of a slice. Returns whether a step has ended.
    pub(crate) fn advance(&mut self, now: Micros, out: &mut Vec<Output>) -> bool {
        if now < self.next_step {
            return false;
        }
        self.next_step = self.durations.next_step(now);
        self.fleet.settle(now);
        for shard_cap in self.shard_caps.values_mut() {
            shard_cap.account.settle(now);
        }
        if now >= self.next_slice {
            let passed = 1 + (now - self.next_slice) / self.durations.slice;
            self.next_slice += passed * self.durations.slice;
            self.evaluate_states(now, usize::try_from(passed.min(SLICES_PER_WINDOW)).unwrap_or(1), out);
            self.sketch.expire(now);
            self.requested_worth.clear();
            for shard_cap in self.shard_caps.values_mut() {
                let recent = shard_cap.health.sum(2);
                if recent.rejected > 0 {
                    // Draw a new retry delay after each slice in which requests were rejected.
                    shard_cap.draw_retry_after(&self.options, &self.durations, &mut self.rng);
                    // Forces a notification with the new delay if the allowance is unchanged.
                    shard_cap.notified_at = Micros::MIN;
                } else if shard_cap.waiting == 0 {
                    shard_cap.highest_worth = 0.0;
                    // A retry delay drawn during trouble that is over does not apply to the next.
                    if !shard_cap.has_reduced_limits() && shard_cap.retry_after > 4 * self.durations.slice {
                        shard_cap.draw_retry_after(&self.options, &self.durations, &mut self.rng);
                    }
                }
            }
            self.distribute();
            self.report_observations(now, out);
        }
        self.request_leases(now, out);
        true
    }

    /// Evaluates the state of all shards, `passed` slices after the last call; a change takes effect at
    /// once.
    pub(crate) fn evaluate_states(&mut self, now: Micros, passed: usize, out: &mut Vec<Output>) {
        let mut changed = false;
        for shard_cap in self.shard_caps.values_mut() {
            let before = shard_cap.share(&self.options);
            if !shard_cap.health.end_slices(now, passed) {
                continue;
            }
            changed = true;
            let after = shard_cap.share(&self.options);
            if after < before && before > 0.0 {
                shard_cap.account.scale_held(after / before);
            }
            let (state, _, reason) = shard_cap.health.state();
            shard_cap.draw_retry_after(&self.options, &self.durations, &mut self.rng);
            out.push(Output::StateChanged { shard: shard_cap.shard, state, reason });
        }
        if changed {
            self.update_base_tokens();
        }
    }

    /// Asks peers for the tokens that are lacking.
    fn request_leases(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.overrides.token_source != TokenSource::Escrow || self.peers.is_empty() {
            return;
        }
        let (mut requests, mut total_need, mut highest_worth) = (Vec::new(), 0, 0.0_f64);
        for shard_cap in self.shard_caps.values_mut() {
            let need = shard_cap.need();
            total_need += need;
            let amount = LeaseBook::amount_needed(need, shard_cap.account.available());
            let worth = shard_cap.aged_worth(now, self.options.window);
            highest_worth = highest_worth.max(worth);
            if need > 0 && amount > 0 && now >= shard_cap.backoff.next {
                shard_cap.backoff.record_request(now, &self.durations);
                requests.push((Some(shard_cap.shard), amount, worth));
            }
        }
        let amount = LeaseBook::amount_needed(total_need, self.fleet.available());
        if total_need > 0 && amount > 0 && now >= self.fleet_backoff.next {
            self.fleet_backoff.record_request(now, &self.durations);
            requests.push((None, amount, highest_worth));
        }
        self.send_lease_requests(now, requests, out);
    }

    /// Appends the changed allowances of all shards.
    pub(crate) fn report_allowances(&mut self, now: Micros, out: &mut Vec<Output>) {
        for shard_cap in self.shard_caps.values_mut() {
            if let Some(allowance) = shard_cap.pending_allowance(now, &self.options, &self.durations) {
                self.counts.allows += 1;
                out.push(Output::Allow(allowance));
            }
        }
    }

    /// Appends the allowance of one shard if it changed.
    pub(crate) fn report_allowance(&mut self, now: Micros, shard: u32, out: &mut Vec<Output>) {
        let Some(shard_cap) = self.shard_caps.get_mut(&shard) else { return };
        if let Some(allowance) = shard_cap.pending_allowance(now, &self.options, &self.durations) {
            self.counts.allows += 1;
            out.push(Output::Allow(allowance));
        }
    }

    pub(crate) fn lease_received(&mut self, now: Micros, shard: Option<u32>) {
        match shard.and_then(|s| self.shard_caps.get_mut(&s)) {
            Some(shard_cap) => shard_cap.backoff.record_grant(now, &self.durations),
            None => {
                self.fleet_backoff.record_grant(now, &self.durations);
                self.distribute();
            }
        }
    }
}
