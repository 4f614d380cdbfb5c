//! An alternative for comparison: a steward for each shard. One gateway, selected by rendezvous hashing
//! over the configured members, holds the whole account and leases tokens to the others. It is the same
//! one in all membership views, as two would double the tokens; so while it is partitioned or restarting
//! its shard has none.

use std::collections::BTreeMap;

use peer::Life;
use repeats::account::Account;
use repeats::leases::LeaseBook;
use repeats::message::{CapMessage, ShardObservation};
use repeats::{Allowance, CapOptions, Input, Micros, ONE_TOKEN, Output, RECOVERING_FREE_PART};

use super::gateway::name;

struct ShardAccount {
    steward: usize,
    account: Account,
    need: u64,
    recovers: bool,
    served: u32,
    allowed: Option<u32>,
}

pub struct Steward {
    index: usize,
    options: CapOptions,
    shard_accounts: BTreeMap<u32, ShardAccount>,
    leases: LeaseBook,
    next: Micros,
    even: BTreeMap<u32, u64>,
}

/// Rendezvous hashing: the member whose hash with the shard is highest.
fn steward_of(shard: u32, members: usize) -> usize {
    (0..members).max_by_key(|&m| repeats::request_key(shard, m as u64, 0, 0)).unwrap_or(0)
}

impl Steward {
    pub fn new(index: usize, options: CapOptions, life: Life, now: Micros) -> Self {
        let durations = options.durations();
        let mut even = BTreeMap::new();
        let shard_accounts = options.shards.iter().map(|&shard| {
            let steward = steward_of(shard, options.members);
            let part = if steward == index { (options.free * ONE_TOKEN as f64) as u64 } else { 0 };
            even.insert(shard, part);
            let account = Account::new(durations, part, now);
            (shard, ShardAccount { steward, account, need: 0, recovers: false, served: 0, allowed: None })
        });
        let shard_accounts = shard_accounts.collect();
        let leases = LeaseBook::new(durations, life, options.members, None);
        Steward { index, options, shard_accounts, leases, next: now, even }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let share = |shard_account: &ShardAccount, o: &CapOptions| {
            if shard_account.recovers { o.recovering_share } else { o.share }
        };
        match input {
            Input::AttemptSent { shard, is_retry: true } => {
                if let Some(shard_account) = self.shard_accounts.get_mut(&shard) {
                    shard_account.account.spend(now, ONE_TOKEN);
                    shard_account.need += 1;
                    shard_account.allowed = shard_account.allowed.map(|a| a.saturating_sub(1));
                }
            }
            Input::AttemptEnded { shard, served: true, .. } => {
                if let Some(shard_account) = self.shard_accounts.get_mut(&shard) {
                    shard_account.served += 1;
                    if shard_account.steward == self.index {
                        shard_account
                            .account
                            .earn(now, (share(shard_account, &self.options) * ONE_TOKEN as f64) as u64);
                    }
                }
            }
            Input::RetryRejected { shard, .. } => {
                if let Some(shard_account) = self.shard_accounts.get_mut(&shard) {
                    shard_account.need += 1;
                }
            }
            Input::NodeTrouble { shard, present } => {
                if let Some(shard_account) = self.shard_accounts.get_mut(&shard) {
                    shard_account.recovers = present;
                    let part = self.even.get(&shard).copied().unwrap_or(0) as f64;
                    shard_account.account.set_base(if present {
                        (part * RECOVERING_FREE_PART) as u64
                    } else {
                        part as u64
                    });
                }
            }
            Input::MessageReceived { from, body, .. } => {
                let Ok(message) = CapMessage::decode(&body) else { return };
                for request in &message.wants {
                    let Some(shard_account) = request.shard.and_then(|s| self.shard_accounts.get_mut(&s))
                    else {
                        continue;
                    };
                    let observation = message.facts.iter().find(|f| Some(f.shard) == request.shard);
                    let more = observation.map_or(0, |f| f.served);
                    let each = (share(shard_account, &self.options) * ONE_TOKEN as f64) as u64;
                    if shard_account.steward != self.index {
                        continue;
                    }
                    // Requests served since the last report: a lost report loses tokens, a late one
                    // earns them late.
                    if self.leases.is_new_request(&from, request) {
                        shard_account.account.earn(now, each * u64::from(more));
                        let grant = self.leases.grant_lease(
                            now,
                            request,
                            request.amount,
                            0,
                            shard_account.recovers,
                            &mut shard_account.account,
                        );
                        let message =
                            CapMessage { grants: grant.into_iter().collect(), ..CapMessage::default() };
                        out.push(Output::Send { to: from.clone(), body: peer::wire::encode(&message) });
                    }
                }
                for grant in &message.grants {
                    if let Some(shard_account) = grant.shard.and_then(|s| self.shard_accounts.get_mut(&s)) {
                        let _ = self.leases.accept_grant(now, &from, grant, &mut shard_account.account);
                    }
                }
            }
            _ => {}
        }
        if now >= self.next {
            self.next = now + self.options.window / 20;
            self.report_and_request(now, out);
        }
        for (&shard, shard_account) in &mut self.shard_accounts {
            shard_account.account.settle(now);
            let target = (shard_account.account.available() / ONE_TOKEN) as u32;
            if shard_account.allowed != Some(target) {
                shard_account.allowed = Some(target);
                let retry_after = self.options.warm_up;
                out.push(Output::Allow(Allowance { shard, retries: target, retry_after }));
            }
        }
    }

    /// Reports and requests tokens in one message.
    fn report_and_request(&mut self, now: Micros, out: &mut Vec<Output>) {
        for (&shard, shard_account) in &mut self.shard_accounts {
            let amount = LeaseBook::amount_needed(shard_account.need, shard_account.account.available());
            shard_account.need = 0;
            if shard_account.steward != self.index {
                let to = name(shard_account.steward);
                let request =
                    self.leases.create_request(now, Some(shard), amount, 1.0, std::slice::from_ref(&to));
                let served = std::mem::take(&mut shard_account.served);
                let observation = ShardObservation { shard, seen: false, served, bad: 0 };
                let message =
                    CapMessage { wants: vec![request], facts: vec![observation], ..CapMessage::default() };
                out.push(Output::Send { to, body: peer::wire::encode(&message) });
            }
        }
    }
}
