//! Messages exchanged with peers: lease requests and grants, observations, and keys of unserved
//! requests.

use peer::PeerName;
use rand::Rng;

use crate::Micros;
use crate::cap::Cap;
use crate::interface::Output;
use crate::message::{CapMessage, LeaseGrant, LeaseRequest};
use crate::options::{InjectedFault, ONE_TOKEN, RESERVED_PART, TokenSource};

/// Number of peers that receive each lease request.
const PEERS_PER_REQUEST: usize = 3;
/// The smallest lease granted, in thousandths of a token.
const MIN_LEASE: u64 = 50;
/// The most pairs of peer and reason for which a rejected message is reported.
const MAX_REPORTED_REJECTIONS: usize = 1_024;

impl Cap {
    fn send_message(&mut self, to: PeerName, message: &CapMessage, out: &mut Vec<Output>) {
        let body = peer::wire::encode(message);
        self.counts.notes_out += 1;
        self.counts.bytes_out += body.len() as u64;
        out.push(Output::Send { to, body });
    }

    fn reject(&mut self, from: PeerName, reason: &'static str, out: &mut Vec<Output>) {
        if self.reported_rejections.len() < MAX_REPORTED_REJECTIONS
            && self.reported_rejections.insert((from.clone(), reason))
        {
            out.push(Output::MessageRejected { from, reason });
        }
    }

    /// Asks a few random peers for these accounts' amounts.
    pub(crate) fn send_lease_requests(
        &mut self,
        now: Micros,
        wants: Vec<(Option<u32>, u64, f64)>,
        out: &mut Vec<Output>,
    ) {
        if wants.is_empty() {
            return;
        }
        let mut recipients = self.peers.clone();
        let count = PEERS_PER_REQUEST.min(recipients.len());
        for at in 0..count {
            let other = self.rng.random_range(at..recipients.len());
            recipients.swap(at, other);
        }
        recipients.truncate(count);
        let wants: Vec<LeaseRequest> = wants
            .into_iter()
            .map(|(account, amount, worth)| {
                self.leases.create_request(now, account, amount, worth, &recipients)
            })
            .collect();
        self.counts.wants += wants.len() as u64;
        let message = CapMessage { wants, ..CapMessage::default() };
        for to in recipients {
            self.send_message(to, &message, out);
        }
    }

    /// Reports to all peers what was observed here and which requests ended unserved; sends nothing if
    /// there is neither.
    pub(crate) fn report_observations(&mut self, now: Micros, out: &mut Vec<Output>) {
        let forward_reports = self.overrides.fault == Some(InjectedFault::PeerReportsForwarded);
        let facts = self
            .shard_caps
            .values()
            .filter_map(|p| p.health.own_observation(now, p.shard, forward_reports))
            .collect();
        let message = CapMessage { facts, unserved: self.sketch.report(now), ..CapMessage::default() };
        if message.is_empty() {
            return;
        }
        for to in self.peers.clone() {
            self.send_message(to, &message, out);
        }
    }

    /// Handles a message from a peer.
    pub(crate) fn receive(&mut self, now: Micros, from: PeerName, body: &[u8], out: &mut Vec<Output>) {
        self.counts.notes_in += 1;
        let message = match CapMessage::decode(body) {
            Ok(message) => message,
            Err(reason) => return self.reject(from, reason, out),
        };
        for observation in &message.facts {
            match self.shard_caps.get_mut(&observation.shard) {
                Some(shard_cap) => shard_cap.health.record_peer_observation(now, &from, observation),
                None => {
                    self.reject(from.clone(), "it reports a shard that the retry cap does not cover", out)
                }
            }
        }
        if !message.facts.is_empty() {
            self.evaluate_states(now, 0, out);
        }
        if message.unserved.is_some_and(|bits| !self.sketch.merge_report(now, &bits)) {
            self.reject(from.clone(), "its filter of unserved requests cannot be decoded", out);
        }
        for grant in &message.grants {
            self.accept_grant(now, &from, grant);
        }
        let mut grants: Vec<LeaseGrant> = Vec::new();
        for request in &message.wants {
            // Checked first: of each request something is remembered.
            if request.shard.is_some_and(|shard| !self.shard_caps.contains_key(&shard)) {
                let reason = "it asks for tokens of a shard that the retry cap does not cover";
                self.reject(from.clone(), reason, out);
                continue;
            }
            grants.extend(self.grant_lease(now, &from, request));
        }
        if !grants.is_empty() {
            self.counts.given += grants.len() as u64;
            // Allowances are lowered before the grant is sent: the scheduler must not spend tokens that
            // now belong to a peer.
            self.distribute();
            self.report_allowances(now, out);
            self.send_message(from, &CapMessage { grants, ..CapMessage::default() }, out);
        }
    }

    fn accept_grant(&mut self, now: Micros, from: &PeerName, grant: &LeaseGrant) {
        let account = match grant.shard {
            None => &mut self.fleet,
            Some(shard) => match self.shard_caps.get_mut(&shard) {
                // Tokens of a time without a recovering node must not be used while a node recovers.
                Some(shard_cap) if grant.recovering || !shard_cap.has_reduced_limits() => {
                    &mut shard_cap.account
                }
                _ => {
                    self.counts.untaken += 1;
                    return;
                }
            },
        };
        match self.leases.accept_grant(now, from, grant, account) {
            Ok(_) => {
                self.counts.taken += 1;
                self.lease_received(now, grant.shard);
            }
            // Late and duplicated grants are expected on a lossy network: they are counted, not
            // reported.
            Err(_) => self.counts.untaken += 1,
        }
    }

    /// Leases half of what is not needed here, in proportion to the request's worth among those received
    /// in this slice.
    fn grant_lease(&mut self, now: Micros, from: &PeerName, request: &LeaseRequest) -> Option<LeaseGrant> {
        if self.overrides.token_source != TokenSource::Escrow || !self.leases.is_new_request(from, request) {
            return None;
        }
        let worth = if request.worth.is_finite() { request.worth.clamp(1.0, 1e12) } else { 1.0 };
        let worth_sum = self.requested_worth.entry(request.shard).or_insert(0.0);
        *worth_sum += worth;
        let fraction = worth / *worth_sum;
        let fleet_need: u64 = self.shard_caps.values().map(|p| p.need()).sum();
        let rejected: u32 = self.shard_caps.values().map(|p| p.health.sum(2).rejected + p.waiting).sum();
        let (account, need, rejected, reduced, free) = match request.shard {
            None => (&mut self.fleet, fleet_need, rejected, false, self.options.fleet_free),
            Some(shard) => {
                let shard_cap = self.shard_caps.get_mut(&shard)?;
                let rejected = shard_cap.health.sum(2).rejected + shard_cap.waiting;
                let (need, reduced) = (shard_cap.need(), shard_cap.has_reduced_limits());
                let free = shard_cap.free(&self.options);
                (&mut shard_cap.account, need, rejected, reduced, free)
            }
        };
        // A gateway that rejects retries itself has no tokens to spare.
        if rejected > 0 {
            return None;
        }
        let base_tokens = self.options.base_tokens(free, self.options.members);
        let retained = (base_tokens as f64 * RESERVED_PART).ceil() as u64 + need * ONE_TOKEN;
        let max_amount = (account.leasable(now, retained) as f64 * fraction / 2.0) as u64;
        if max_amount < MIN_LEASE {
            return None;
        }
        self.leases.grant_lease(now, request, max_amount, retained, reduced, account)
    }
}
