//! The retry cap as the gateway drives it: fed with the attempts that are sent and their ends.
//!
//! The cap knows nothing of single requests except a key by which it recognizes a retry. Its allowance is
//! given to the decision module as one fact per shard; which request gets a retry token is decided by the
//! module.

use std::collections::{BTreeMap, HashMap};

use decisions::Outcome;
use nvme::IoCommand;
use peer::{PeerName, Told};
use repeats::{
    Allowance, Allowances, Cap, CapOptions, Counts, Input, KIND, Output, ShardSnapshot, ShardState,
    TokenReceipt, host_request_key, request_key,
};
use storage_core::{AttemptId, Micros, OutgoingAttempt, RetryDemand, TokenShortage};

use crate::peer_network::PeerNetwork;

/// How the cap identifies a command.
#[derive(Clone, Copy)]
pub(crate) struct RetryIdentity {
    /// The same for all retries of a command, at any gateway.
    pub(crate) key: u64,
    /// Shard of the command's first block.
    pub(crate) shard: u32,
    /// Whether such a command ended unserved recently, here or at a peer.
    pub(crate) is_retry: bool,
}

/// An attempt in flight.
struct CountedAttempt {
    shard: u32,
    /// The receipt of its retry token, if it took one.
    receipt: Option<TokenReceipt>,
}

/// The fleet's cap on retries, with what has been reported to it and to the decision module.
pub(crate) struct RetryCap {
    cap: Cap,
    peer_network: PeerNetwork,
    /// Attempts in flight.
    attempts: HashMap<AttemptId, CountedAttempt>,
    /// Allowances for the module, with those it has not been given yet.
    allowances: Allowances,
    /// Limits of requests waiting for a retry token, by shard, as last given to the module.
    waiting_limits: BTreeMap<u32, u32>,
    /// Whether a node of the shard was last seen cold, silent or refusing.
    reported_trouble: BTreeMap<u32, bool>,
    /// Shards with a node that refused since the last observation.
    refused_since_report: BTreeMap<u32, bool>,
    peers: Vec<PeerName>,
    outputs: Vec<Output>,
}

impl RetryCap {
    /// Starts in the peer network's life; without tokens for the first window.
    pub(crate) fn start(options: CapOptions, peer_network: PeerNetwork, now: Micros, seed: u64) -> RetryCap {
        let cap = Cap::new(options, peer_network.life(), now, seed);
        let mut retry_cap = RetryCap {
            cap,
            peer_network,
            attempts: HashMap::new(),
            allowances: Allowances::default(),
            waiting_limits: BTreeMap::new(),
            reported_trouble: BTreeMap::new(),
            refused_since_report: BTreeMap::new(),
            peers: Vec::new(),
            outputs: Vec::new(),
        };
        retry_cap.handle(now, Input::Tick);
        retry_cap
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.cap.next_due()
    }

    pub(crate) fn snapshot(&self, now: Micros) -> (Vec<ShardSnapshot>, Counts) {
        (self.cap.snapshot(now), self.cap.counts())
    }

    /// Whether the allowance given to the module is out of date.
    pub(crate) fn is_stale(&self, now: Micros) -> bool {
        self.cap.needs_tick(now)
    }

    /// The next allowance for the module. Sends that result from it must be reported before the next call.
    pub(crate) fn next_allowance(&mut self) -> Option<Allowance> {
        self.allowances.next_notification()
    }

    /// The limit of requests waiting for a shard's retry tokens, if it differs from what the module was
    /// given.
    pub(crate) fn new_waiting_limit(&mut self, shard: u32) -> Option<u32> {
        let limit = self.cap.wait_limit(shard);
        (self.waiting_limits.insert(shard, limit) != Some(limit)).then_some(limit)
    }

    /// The key that identifies a command and its retries at any gateway: who asks, and for what.
    ///
    /// The host is part of the key. Without it, refusing a block to one of the many hosts that read it would
    /// make the reads of all others count as retries. The cost is that a host which reconnects under another
    /// name is not recognized.
    pub(crate) fn key(host: &str, command: &IoCommand) -> u64 {
        host_request_key(host, request_key(command.nsid, command.slba, command.opcode, command.blocks))
    }

    /// Whether such a command ended unserved within the window, here or at a peer.
    pub(crate) fn is_retry(&self, now: Micros, key: u64) -> bool {
        self.cap.is_repeat(now, key)
    }

    /// An attempt is about to be sent.
    pub(crate) fn attempt_sent(&mut self, now: Micros, send: &OutgoingAttempt) {
        let shard = send.shard.0;
        if send.is_retry {
            self.allowances.spend(shard);
        }
        self.handle(now, Input::AttemptSent { shard, is_retry: send.is_retry });
        let receipt = self.cap.take_receipt();
        self.attempts.insert(send.attempt, CountedAttempt { shard, receipt });
    }

    /// Whether a shadow copy may be sent to a shard: only beside normal traffic, and with a retry token of
    /// its own.
    pub(crate) fn allows_copy(&self, shard: u32) -> bool {
        self.cap.state(shard) == ShardState::Normal && self.allowances.remaining(shard).is_some_and(|n| n > 0)
    }

    /// A shadow copy is sent.
    pub(crate) fn copy_sent(&mut self, now: Micros, shard: u32) {
        self.allowances.spend_and_notify(shard);
        self.handle(now, Input::AttemptSent { shard, is_retry: true });
    }

    /// An attempt has ended or is no longer awaited. One that was never sent returns its token; until then it
    /// counts as spent, so that the count errs towards one token too many spent, never one too few.
    pub(crate) fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(CountedAttempt { shard, receipt }) = self.attempts.remove(&attempt) else { return };
        if outcome == Outcome::NotSent {
            return receipt.into_iter().for_each(|receipt| self.handle(now, Input::TokenReturned(receipt)));
        }
        let (served, refused) = (outcome == Outcome::Served, outcome == Outcome::Full);
        if refused {
            self.refused_since_report.insert(shard, true);
        }
        self.handle(now, Input::AttemptEnded { shard, served, refused });
    }

    /// An operation ended unserved, before or after part of it was sent.
    ///
    /// A new request for something that was never sent is not a retry, so it is not remembered. An operation
    /// that was a retry itself has been sent before and will return; it is remembered while its shard
    /// recovers. If it always were, the reads of a popular block would count as retries for ever after one of
    /// them timed out, because each refusal would renew the memory for the others. The cost is that a client
    /// that stays away for longer than the window returns as a new one.
    pub(crate) fn operation_unserved(&mut self, now: Micros, identity: RetryIdentity, was_sent: bool) {
        let is_recovering =
            matches!(self.cap.state(identity.shard), ShardState::Recovering | ShardState::Widening);
        if was_sent || identity.is_retry && is_recovering {
            self.handle(now, Input::RequestUnserved { key: identity.key });
        }
    }

    /// A part was refused for lack of retry tokens.
    pub(crate) fn tokens_wanted(&mut self, now: Micros, demand: RetryDemand) {
        let RetryDemand { shard, worth, remaining_time: left } = demand;
        self.handle(now, Input::RetryRejected { shard: shard.0, worth, remaining: left });
    }

    /// The number of parts waiting for a shard's retry tokens changed.
    pub(crate) fn waiting_changed(&mut self, now: Micros, shortage: TokenShortage) {
        let TokenShortage { shard, waiting, worth } = shortage;
        self.handle(now, Input::RetriesWaiting { shard: shard.0, waiting, worth });
    }

    /// Reports which shards have a node that is cold, that this gateway finds silent, or that refused an
    /// attempt since the last report.
    ///
    /// If gateways repeated a peer's observation of silence as their own, one gateway cut off from a node
    /// would seem confirmed by all, and the whole fleet would stay in recovery. Peers send their own
    /// observations, each in its own name. The cost is that a node's trouble seen by a peer is known here one
    /// message later.
    pub(crate) fn report_trouble(&mut self, now: Micros, shards: BTreeMap<u32, bool>) {
        let refused = std::mem::take(&mut self.refused_since_report);
        for (shard, has_trouble) in shards {
            let is_recovering = has_trouble || refused.contains_key(&shard);
            if self.reported_trouble.insert(shard, is_recovering) != Some(is_recovering) {
                self.handle(now, Input::NodeTrouble { shard, present: is_recovering });
            }
        }
    }

    /// The peers that may be asked for tokens: those that are up.
    pub(crate) fn set_peers(&mut self, now: Micros, peers: Vec<PeerName>) {
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.handle(now, Input::PeersChanged(peers));
        }
    }

    pub(crate) fn on_peer_event(&mut self, now: Micros, event: Told) {
        match event {
            Told::Noted { peer, life, kind: KIND, body } => {
                self.handle(now, Input::MessageReceived { from: peer, life, body })
            }
            Told::Renewed { life } => self.handle(now, Input::LifeRenewed(life)),
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        self.handle(now, Input::Tick);
    }

    fn handle(&mut self, now: Micros, input: Input) {
        self.cap.handle(now, input, &mut self.outputs);
        for output in self.outputs.drain(..) {
            match output {
                Output::Send { to, body } => self.peer_network.note_to(&to, KIND, body),
                Output::Allow(allowance) => self.allowances.set(allowance),
                Output::StateChanged { shard, state, reason } => {
                    tracing::info!(shard, ?state, why = reason, "repeats")
                }
                Output::MessageRejected { from, reason } => {
                    tracing::warn!(%from, why = reason, "rejected a peer's message about retry tokens");
                }
            }
        }
    }
}
