//! The retry cap of one gateway over all its shards.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Micros;
use crate::account::Account;
use crate::interface::{Input, Output, TokenReceipt};
use crate::leases::LeaseBook;
use crate::options::{CapOptions, Durations, InjectedFault, ONE_TOKEN, Overrides, TokenSource};
use crate::shard::ShardState;
use crate::shard_cap::{RequestBackoff, ShardCap};
use crate::sketch::RepeatSketch;
use crate::snapshot::{Counts, ShardSnapshot};

/// The retry cap of one gateway.
///
/// The caller passes [`Input::Tick`] when [`Cap::next_due`] is reached, and as the first event after the
/// process was stopped, as an allowance is valid only until that moment. A retry sent beyond it counts
/// as well, and its token is recovered first.
#[derive(Clone, Debug)]
pub struct Cap {
    pub(crate) options: CapOptions,
    pub(crate) durations: Durations,
    pub(crate) overrides: Overrides,
    pub(crate) life: Life,
    pub(crate) rng: SmallRng,
    pub(crate) shard_caps: BTreeMap<u32, ShardCap>,
    pub(crate) fleet: Account,
    /// Whole fleet-wide tokens that are assigned to shards, and when all of them may next be reassigned
    /// for a shard that lacks some.
    pub(crate) assigned: u64,
    pub(crate) next_redistribution: Micros,
    /// Shards that have tokens of their own but no fleet-wide ones.
    pub(crate) lacking_quota: BTreeSet<u32>,
    pub(crate) fleet_backoff: RequestBackoff,
    pub(crate) leases: LeaseBook,
    pub(crate) sketch: RepeatSketch,
    pub(crate) peers: Vec<PeerName>,
    /// Sum of the worth of the lease requests received in this slice, by account.
    pub(crate) requested_worth: BTreeMap<Option<u32>, f64>,
    pub(crate) reported_rejections: BTreeSet<(PeerName, &'static str)>,
    pub(crate) next_slice: Micros,
    pub(crate) next_step: Micros,
    pub(crate) counts: Counts,
    /// The receipt of the latest attempt, if that took a token.
    last_receipt: Option<TokenReceipt>,
}

impl Cap {
    /// Creates the cap of a gateway in a life that begins now. Options out of range
    /// ([`CapOptions::check`]) are clamped to the nearest valid value.
    pub fn new(options: CapOptions, life: Life, now: Micros, seed: u64) -> Cap {
        Cap::with_overrides(options, Overrides::default(), life, now, seed)
    }

    /// Like [`Cap::new`], with an injected fault or another source of tokens, for tests and
    /// measurements.
    pub fn with_overrides(
        options: CapOptions,
        overrides: Overrides,
        life: Life,
        now: Micros,
        seed: u64,
    ) -> Cap {
        let durations = options.durations();
        // Gateways that share a seed must still draw different numbers.
        let seed = xxh3_64_with_seed(options.name.0.as_bytes(), seed ^ life.nonce.0);
        let key_retention = match overrides.fault {
            Some(InjectedFault::SketchForgetsEarly) => options.window / 2,
            _ => durations.key_retention,
        };
        let mut cap = Cap {
            durations,
            overrides,
            life,
            rng: SmallRng::seed_from_u64(seed),
            shard_caps: BTreeMap::new(),
            fleet: Account::with_full_base(durations, 0),
            assigned: 0,
            next_redistribution: now,
            lacking_quota: BTreeSet::new(),
            fleet_backoff: RequestBackoff::new(now, &durations),
            leases: LeaseBook::new(durations, life, options.members, overrides.fault),
            sketch: RepeatSketch::new(now, key_retention, durations.window),
            peers: Vec::new(),
            requested_worth: BTreeMap::new(),
            reported_rejections: BTreeSet::new(),
            next_slice: durations.round_down_to_slice(now) + durations.slice,
            next_step: durations.next_step(now),
            counts: Counts::default(),
            last_receipt: None,
            options,
        };
        cap.fleet = cap.new_account(cap.options.fleet_free, now);
        for &shard in &cap.options.shards {
            let account = cap.new_account(cap.options.free, now);
            let shard_cap = ShardCap::new(shard, &cap.options, account, now, &durations, &mut cap.rng);
            cap.shard_caps.insert(shard, shard_cap);
        }
        cap
    }

    pub(crate) fn base_tokens(&self, free: f64) -> u64 {
        let members = match self.overrides.fault {
            Some(InjectedFault::DividedAmongReachable) => self.peers.len() + 1,
            _ => self.options.members,
        };
        if self.overrides.token_source == TokenSource::EarnedOnly {
            0
        } else {
            self.options.base_tokens(free, members)
        }
    }

    /// Creates an account. `free` is the number of retries that the whole fleet may send in a window without
    /// earning them; the account's base tokens are this gateway's part of it.
    pub(crate) fn new_account(&self, free: f64, now: Micros) -> Account {
        match self.overrides.fault {
            Some(InjectedFault::NewLifeStartsFull) => {
                Account::with_full_base(self.durations, self.base_tokens(free))
            }
            _ => Account::new(self.durations, self.base_tokens(free), now),
        }
    }

    /// Returns the receipt of the token that the latest [`Input::AttemptSent`] took, once.
    pub fn take_receipt(&mut self) -> Option<TokenReceipt> {
        self.last_receipt.take()
    }

    /// Processes an event and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let step_ended = self.advance(now, out);
        let only_earns = !step_ended && matches!(input, Input::AttemptEnded { .. });
        // Nothing expires between two steps, and most events concern one shard.
        let event_shard = input.shard();
        self.apply(now, input, out);
        let overassigned = !only_earns && self.fleet.available() / ONE_TOKEN < self.assigned;
        if overassigned {
            // Either the attempts of a batch were counted after their tokens had been reassigned, or
            // assigned tokens expired.
            self.distribute();
        }
        match event_shard.filter(|_| !step_ended && !overassigned) {
            Some(shard) => self.update_lacking_quota(shard),
            None => {
                self.options.shards.clone().into_iter().for_each(|shard| self.update_lacking_quota(shard))
            }
        }
        match (self.assign_more(now), event_shard.filter(|_| !step_ended && !overassigned)) {
            (Some(changed), Some(shard)) => {
                changed.into_iter().chain([shard]).for_each(|shard| self.report_allowance(now, shard, out));
            }
            _ => self.report_allowances(now, out),
        }
    }

    /// Applies an event to the accounts, states and keys.
    fn apply(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::AttemptSent { shard, is_retry } => {
                self.last_receipt = self.record_sent(now, shard, is_retry);
            }
            Input::TokenReturned(receipt) => self.take_back_token(now, receipt),
            Input::AttemptEnded { shard, served, refused: _ } => self.record_ended(now, shard, served),
            Input::RequestUnserved { key } => self.sketch.add(now, key),
            Input::RetryRejected { shard, worth, remaining } => {
                self.record_rejected(now, shard, worth, remaining)
            }
            Input::RetriesWaiting { shard, waiting, worth } => {
                if let Some(shard_cap) = self.shard_caps.get_mut(&shard) {
                    shard_cap.set_waiting(now, waiting, worth);
                }
            }
            Input::NodeTrouble { shard, present } => {
                if let Some(shard_cap) = self.shard_caps.get_mut(&shard) {
                    shard_cap.health.set_own_observation(present);
                    self.evaluate_states(now, 0, out);
                }
            }
            Input::PeersChanged(mut peers) => {
                peers.retain(|p| *p != self.options.name);
                peers.truncate(self.options.members.saturating_sub(1));
                self.peers = peers;
                self.update_base_tokens();
            }
            Input::MessageReceived { from, life: _, body } => self.receive(now, from, &body, out),
            Input::LifeRenewed(life) => self.start_new_life(now, life),
            Input::Tick => {}
        }
    }

    /// The latest time at which to pass [`Input::Tick`].
    pub fn next_due(&self) -> Micros {
        let has_need =
            self.shard_caps.values().any(|p| p.need() > 0 || p.allowed.is_none_or(|a| a < p.sendable()));
        let expiries = self
            .shard_caps
            .values()
            .map(|p| &p.account)
            .chain([&self.fleet])
            .filter_map(Account::next_expiry);
        // A token that returns to a shard without any is reported immediately.
        let without_tokens = self.shard_caps.values().filter(|p| p.allowed == Some(0));
        let returns =
            without_tokens.flat_map(|p| [p.account.next_return(), self.fleet.next_return()]).flatten();
        let next = expiries.chain(returns).min().unwrap_or(self.next_slice).min(self.next_slice);
        if has_need { next.min(self.next_step) } else { next }
    }

    /// Whether tokens may have expired since the last event. If so, the allowances are no longer valid
    /// and [`Input::Tick`] has to be passed first.
    pub fn needs_tick(&self, now: Micros) -> bool {
        now >= self.next_step
    }

    /// Whether a request with this key ended unserved, here or at a peer, within the window and the
    /// longest retry delay. False positives are possible; false negatives are not, for what has been
    /// received.
    pub fn is_repeat(&self, now: Micros, key: u64) -> bool {
        self.sketch.contains(now, key)
    }

    /// The state of a shard; normal if the cap does not cover it.
    pub fn state(&self, shard: u32) -> ShardState {
        self.shard_caps.get(&shard).map_or(ShardState::Normal, |p| p.health.state().0)
    }

    /// How many requests may wait in the scheduler for a token of a shard, until its next
    /// [`Output::Allow`].
    pub fn wait_limit(&self, shard: u32) -> u32 {
        self.shard_caps.get(&shard).map_or(0, |shard_cap| shard_cap.wait_limit)
    }

    /// Totals of this life.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// A snapshot of each shard, followed by one of all shards together.
    pub fn snapshot(&self, now: Micros) -> Vec<ShardSnapshot> {
        let whole_tokens = |amount: u64| amount as f64 / ONE_TOKEN as f64;
        let account_snapshot = |account: &Account, shard| {
            let (mut account, totals) = (account.clone(), account.totals());
            account.settle(now);
            ShardSnapshot {
                shard,
                state: ShardState::Normal,
                since: 0,
                reason: String::new(),
                available: whole_tokens(account.available()),
                allowed: 0,
                retry_after: 0,
                lent: whole_tokens(totals.lent),
                borrowed: whole_tokens(totals.borrowed),
                earned: whole_tokens(totals.earned),
                spent: whole_tokens(totals.spent),
                rejected: 0,
                rejected_with_token: 0,
                waiting: 0,
            }
        };
        let mut fleet = account_snapshot(&self.fleet, None);
        let mut snapshots = Vec::with_capacity(self.shard_caps.len() + 1);
        for shard_cap in self.shard_caps.values() {
            let (state, since, reason) = shard_cap.health.state();
            let (allowed, rejected) = (shard_cap.allowed.unwrap_or(0), shard_cap.rejected);
            let one = ShardSnapshot {
                state,
                since: now - since,
                reason: reason.into(),
                allowed,
                rejected,
                ..account_snapshot(&shard_cap.account, Some(shard_cap.shard))
            };
            let (retry_after, rejected_with_token, waiting) =
                (shard_cap.retry_after, shard_cap.rejected_with_token, shard_cap.waiting);
            let one = ShardSnapshot { retry_after, rejected_with_token, waiting, ..one };
            if matches!(state, ShardState::Recovering) || fleet.reason.is_empty() {
                (fleet.state, fleet.since, fleet.reason) = (state, one.since, one.reason.clone());
            }
            fleet.allowed += allowed;
            fleet.rejected += rejected;
            fleet.rejected_with_token += rejected_with_token;
            fleet.waiting += waiting;
            snapshots.push(one);
        }
        snapshots.push(fleet);
        snapshots
    }
}
