//! What the caller passes to the cap, and what the cap asks of it.

use peer::{Life, PeerName};

use crate::Micros;
use crate::account::SpentTokens;
use crate::shard::ShardState;

/// An event that the cap is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An attempt was sent.
    AttemptSent {
        /// The shard it was sent to.
        shard: u32,
        /// Whether it is a retry, which needs a token: an attempt after the first of its request, any
        /// attempt of a request recognized as a repeat, or a shadow copy.
        is_retry: bool,
    },
    /// An attempt that took a token was not sent after all.
    TokenReturned(TokenReceipt),
    /// An attempt ended.
    AttemptEnded {
        /// The shard it was sent to.
        shard: u32,
        /// A node served it.
        served: bool,
        /// A node refused it. With neither flag set, it ended unserved in another way.
        refused: bool,
    },
    /// A request ended here unserved: a later one with the same key, here or at a peer, is its repeat.
    RequestUnserved {
        /// Its key, from [`crate::request_key`].
        key: u64,
    },
    /// A request was rejected for lack of tokens.
    RetryRejected {
        /// Its shard.
        shard: u32,
        /// The worth of answering it.
        worth: f64,
        /// The time that remained for it, microseconds.
        remaining: Micros,
    },
    /// The number of requests that wait in the scheduler for a token has changed.
    RetriesWaiting {
        /// Their shard.
        shard: u32,
        /// How many wait now.
        waiting: u32,
        /// The worth of answering the first of them.
        worth: f64,
    },
    /// A node of a shard is cold, silent or refusing, as seen by this gateway or reported by the
    /// membership view; or none is any more.
    NodeTrouble {
        /// The shard.
        shard: u32,
        /// Whether there is such a node.
        present: bool,
    },
    /// The peers that may be asked for tokens, from the membership view.
    PeersChanged(Vec<PeerName>),
    /// A message of [`crate::KIND`] arrived from a peer.
    MessageReceived {
        /// The sender.
        from: PeerName,
        /// The sender's life.
        life: Life,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// This gateway continues under a new life: its accounts start over, empty for a window.
    LifeRenewed(Life),
    /// Time has passed.
    Tick,
}

impl Input {
    /// The shard whose tokens the event concerns; none if it may concern all.
    pub(crate) fn shard(&self) -> Option<u32> {
        match *self {
            Input::TokenReturned(TokenReceipt { shard, .. })
            | Input::AttemptSent { shard, .. }
            | Input::AttemptEnded { shard, .. }
            | Input::RetryRejected { shard, .. }
            | Input::RetriesWaiting { shard, .. } => Some(shard),
            _ => None,
        }
    }
}

/// The receipt of a token that an attempt took, by which the token is returned if the attempt is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenReceipt {
    pub(crate) life: Life,
    pub(crate) shard: u32,
    pub(crate) shard_tokens: SpentTokens,
    pub(crate) fleet_tokens: SpentTokens,
}

/// The number of retries that the scheduler may send to a shard, until the next allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The shard.
    pub shard: u32,
    /// Retries that may be sent from now on.
    pub retries: u32,
    /// How long rejected requests should stay away before they retry, microseconds.
    pub retry_after: Micros,
}

/// What the caller has to do, in this order: a lowered allowance precedes the message that leases the
/// tokens away.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message of [`crate::KIND`].
    Send {
        /// The recipient.
        to: PeerName,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Notify the scheduler of an allowance, which replaces the one before.
    Allow(Allowance),
    /// The state of a shard changed, or its step within [`ShardState::Widening`].
    StateChanged {
        /// The shard.
        shard: u32,
        /// The new state.
        state: ShardState,
        /// The reason, for the log and the status page.
        reason: &'static str,
    },
    /// Part of a message was rejected; for the log, once for each reason and peer.
    MessageRejected {
        /// The sender.
        from: PeerName,
        /// The reason.
        reason: &'static str,
    },
}
