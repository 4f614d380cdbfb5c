//! Options, inputs, actions and reported state of the recovery state machine.

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::hand::{InHand, Place};
use crate::word::Word;

/// Phase of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The gateway queries its peers. All requests are refused.
    Joining,
    /// Reads are accepted, and writes except those of unsettled keys.
    Settling,
    /// All keys are settled; cold nodes cannot process the full load yet.
    Admitting,
    /// Everything is accepted.
    Serving,
}

/// Settings of a recovery. All times in microseconds.
#[derive(Clone, Debug)]
pub struct RecoveryOptions {
    /// Peers of the gateway.
    pub peers: Vec<PeerName>,
    /// Longest wait for the peers' status.
    pub ask_for: Micros,
    /// Longest time that a write sent before the power loss may still run at a node that kept its power: the longest request
    /// timeout of all classes plus the quiet period after an attempt that may still run.
    pub rest: Micros,
    /// Delay before a failed read-back is retried.
    pub ask_again: Micros,
    /// Failed read-backs after which a key is released with an unknown outcome.
    pub read_tries: u32,
    /// Fault injected by tests, to show that they detect it.
    pub plant: Plant,
}

/// A fault that tests inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// No fault.
    #[default]
    None,
    /// Keys are open to writes at once, settled or not.
    SettleNothing,
    /// The wait for peers has no limit.
    WaitForever,
    /// A node's in-flight writes count as ended without proof.
    BelieveNodes,
}

/// Outcome of a write that was in flight when the power failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The blocks hold its data.
    Ran,
    /// The blocks hold other data, and the write can no longer run.
    NotThere,
    /// The blocks could not be read, or an operator released the key.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A peer is connected.
    PeerUp(PeerName),
    /// A peer's connection has ended, which does not mean that the peer is down.
    PeerDown(PeerName),
    /// A peer sent its status.
    Said(PeerName, Word),
    /// A node is reachable and reports its start.
    NodeUp {
        /// Name of the node.
        name: String,
        /// Shard that the node serves.
        shard: u32,
        /// Start of the node's process, compared for equality only; 0 if unknown.
        started: i64,
    },
    /// A node is unreachable.
    NodeDown(String),
    /// The read-back for the write with this number ended: whether the blocks hold its data; `None` if the read failed.
    ReadBack(u64, Option<bool>),
    /// All reachable nodes are warm.
    Warm,
    /// An operator releases the unsettled key of the write with this number.
    Release(u64),
    /// An operator ends the wait for peers and cold nodes.
    Hurry,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Query a peer's status.
    Ask(PeerName),
    /// A peer has orders of a higher revision: apply them.
    Adopt(Word),
    /// Read the write's blocks from their shard, and compare them with its digest.
    ReadBack(InHand),
    /// A key is settled: it is open to writes, and its write is to be recorded as ended.
    Settled(u64, Outcome),
    /// The recovery entered a phase.
    Entered(Phase),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Closed {
    /// The gateway still queries its peers.
    Joining {
        /// Latest end of the refusal.
        until: Micros,
    },
    /// A write of the key from before the power loss is not settled.
    Unsettled {
        /// Number of that write.
        number: u64,
        /// When that write can no longer run. After this time the refusal lasts until a node of the shard answers the read-back.
        until: Micros,
    },
    /// The journal of in-flight writes is lost: any key may have an in-flight write.
    Blind {
        /// End of the refusal.
        until: Micros,
    },
}

/// An unsettled key, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Unsettled {
    /// Number of its write.
    pub number: u64,
    /// Blocks of the write.
    pub place: Place,
    /// Node that the write was last sent to.
    pub node: String,
    /// What its settlement waits for.
    pub waits_for: String,
}

/// State of a recovery, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Life of the gateway.
    pub life: Life,
    /// Current phase.
    pub phase: Phase,
    /// Start of the phase.
    pub since: Micros,
    /// Peers whose status is awaited.
    pub waits_for: Vec<String>,
    /// Revision of the orders in force.
    pub orders: u64,
    /// Latest time at which everything is accepted if every node is reachable and answers; `None` if it is already.
    pub full_by: Option<Micros>,
    /// Peer that sent those orders; `None` if they come from the gateway's own disk or from operators.
    pub orders_of: Option<String>,
    /// Whether the journal of in-flight writes was lost.
    pub blind: bool,
    /// Unsettled keys.
    pub unsettled: Vec<Unsettled>,
    /// Number of settled keys by outcome: ran, not there, unknown.
    pub settled: [u64; 3],
}
