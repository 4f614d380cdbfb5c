//! Leases of tokens between gateways.
//!
//! The borrower sends a [`LeaseRequest`]; the lender takes the tokens off its account and then answers
//! with a [`LeaseGrant`]. There are no other messages: a lost request or grant loses at most the tokens
//! of that grant, until they return to the lender.
//!
//! Why a late or duplicated message cannot add tokens: a grant states the lifetime of its tokens from
//! the moment of the grant, on the reference clock. The borrower does not know that moment, but it knows
//! an earlier one: when it sent the request. It counts the lifetime from there on its own clock,
//! shortened by the drift. So it drops the tokens no later than the lender assumes, however long either
//! message took, and a grant that took longer than the term of a lease has always expired on arrival. A
//! request has a number that is unique within the life of the borrower; each lender's grant for it is
//! accepted once, and a grant for a request of another life never.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::account::Account;
use crate::message::{LeaseGrant, LeaseRequest};
use crate::options::{Durations, InjectedFault, ONE_TOKEN};

/// The most requests whose grants are still accepted; older ones are forgotten.
const MAX_PENDING_REQUESTS: usize = 64;

/// A lease request that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    sent: Micros,
    account: Option<u32>,
    amount: u64,
    /// The peers that were asked and have not granted a lease yet.
    awaiting: Vec<PeerName>,
}

/// The lease requests that a gateway has sent and received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBook {
    durations: Durations,
    life: Life,
    next_number: u64,
    pending: BTreeMap<u64, PendingRequest>,
    /// The last request of each borrower, so that a duplicate is not granted twice. At most one entry
    /// for each member.
    last_requests: BTreeMap<PeerName, (Life, BTreeMap<Option<u32>, u64>)>,
    max_borrowers: usize,
    fault: Option<InjectedFault>,
}

/// Why a grant was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantRejected {
    /// It arrived too late to be used, as is expected for delayed messages.
    Late,
    /// It answers a request of another life.
    OtherLife,
    /// It was not requested, or was accepted already.
    NotRequested,
}

impl LeaseBook {
    /// Creates a lease book without requests.
    pub fn new(durations: Durations, life: Life, members: usize, fault: Option<InjectedFault>) -> Self {
        let pending = BTreeMap::new();
        LeaseBook {
            durations,
            life,
            next_number: 1,
            pending,
            last_requests: BTreeMap::new(),
            max_borrowers: members,
            fault,
        }
    }

    /// Creates a request for `amount` thousandths of a token, to be sent to these peers now.
    pub fn create_request(
        &mut self,
        now: Micros,
        account: Option<u32>,
        amount: u64,
        worth: f64,
        peers: &[PeerName],
    ) -> LeaseRequest {
        let (durations, number) = (self.durations, self.next_number);
        self.next_number += 1;
        if self.fault != Some(InjectedFault::LeaseCountedFromArrival) {
            self.pending.retain(|_, o| o.sent + durations.lease > now);
        }
        // With more requests than this pending, grants for the oldest are lost.
        while self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        self.pending.insert(number, PendingRequest { sent: now, account, amount, awaiting: peers.to_vec() });
        LeaseRequest { number, shard: account, amount, worth, life: self.life }
    }

    /// Whether a request is new; records it.
    pub fn is_new_request(&mut self, from: &PeerName, request: &LeaseRequest) -> bool {
        if !self.last_requests.contains_key(from) && self.last_requests.len() >= self.max_borrowers {
            return false;
        }
        let (life, last) =
            self.last_requests.entry(from.clone()).or_insert_with(|| (request.life, BTreeMap::new()));
        if *life != request.life {
            if request.life.is_behind(*life) {
                return false;
            }
            (*life, *last) = (request.life, BTreeMap::new());
        }
        let last_number = last.entry(request.shard).or_insert(0);
        let is_new = request.number > *last_number;
        *last_number = request.number.max(*last_number);
        is_new
    }

    /// Leases at most `max_amount` for a request, retaining `retained` of the base tokens (both in
    /// thousandths of a token). The leased tokens are off the account when this returns.
    pub fn grant_lease(
        &self,
        now: Micros,
        request: &LeaseRequest,
        max_amount: u64,
        retained: u64,
        recovering: bool,
        account: &mut Account,
    ) -> Option<LeaseGrant> {
        let max_amount = max_amount.min(request.amount);
        let returns_early = self.fault == Some(InjectedFault::LeaseReturnsEarly);
        let parts = if self.fault == Some(InjectedFault::LeaseNotDebited) {
            account.clone().lease(now, max_amount, retained, returns_early)
        } else {
            account.lease(now, max_amount, retained, returns_early)
        };
        let grant = LeaseGrant {
            number: request.number,
            shard: request.shard,
            parts,
            life: request.life,
            recovering,
        };
        (!grant.parts.is_empty()).then_some(grant)
    }

    /// Adds the tokens of a grant to the account; returns how many were added, in thousandths.
    pub fn accept_grant(
        &mut self,
        now: Micros,
        from: &PeerName,
        grant: &LeaseGrant,
        account: &mut Account,
    ) -> Result<u64, GrantRejected> {
        if grant.life != self.life {
            return Err(GrantRejected::OtherLife);
        }
        let pending = self.pending.get_mut(&grant.number).ok_or(GrantRejected::Late)?;
        let position = pending.awaiting.iter().position(|p| p == from).ok_or(GrantRejected::NotRequested)?;
        if pending.account != grant.shard {
            return Err(GrantRejected::NotRequested);
        }
        if self.fault != Some(InjectedFault::GrantAcceptedTwice) {
            pending.awaiting.swap_remove(position);
        }
        let counted_from =
            if self.fault == Some(InjectedFault::LeaseCountedFromArrival) { now } else { pending.sent };
        let mut added = 0;
        for &(tokens, left) in &grant.parts {
            // A lender may state at most the term of a lease; longer lifetimes are clamped.
            let until = counted_from + self.durations.local_lifetime(left.clamp(0, self.durations.lease));
            // No more is accepted than was requested.
            let tokens = tokens.min(pending.amount - added);
            if account.borrow(now, until, tokens) {
                added += tokens;
            }
        }
        if added == 0 { Err(GrantRejected::Late) } else { Ok(added) }
    }

    /// The amount to request for `need` whole tokens with `left` thousandths available. A fraction of a
    /// token is requested as well, as the rest of it may be spread over several gateways.
    pub fn amount_needed(need: u64, left: u64) -> u64 {
        (need * ONE_TOKEN).saturating_sub(left)
    }
}
