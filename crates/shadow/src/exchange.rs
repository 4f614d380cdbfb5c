//! Inputs and outputs of the shadow.

use peer::{Life, PeerName};

use crate::Micros;
use crate::digest::Digest;
use crate::tries::{Tried, TryId};

/// An input of the shadow.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client's read was answered by this node. To be passed in after the client has its answer.
    Read {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// First logical block.
        slba: u64,
        /// Number of blocks.
        blocks: u32,
        /// Node that answered.
        node: String,
        /// When the read was sent, or earlier; on the clock of `now`.
        began: Micros,
        /// When its data was received.
        ended: Micros,
        /// Digest of the data.
        digest: Digest,
    },
    /// A client's write began at this gateway. To be passed in before any of it is sent, as it may run from then on; likewise
    /// for everything else that changes blocks.
    WriteBegan {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// First logical block.
        slba: u64,
        /// Number of blocks.
        blocks: u32,
        /// Identifies the write until it ends.
        token: u64,
    },
    /// A write ended. If its outcome is not known, it may still run for [`crate::ShadowOptions::rest`].
    WriteEnded {
        /// Token of the write.
        token: u64,
        /// Whether its outcome is known: it has run, or never will.
        known: bool,
    },
    /// A shadow read ended.
    Tried {
        /// Identifier of the shadow read.
        id: TryId,
        /// When its data was received.
        ended: Micros,
        /// Its result.
        outcome: Tried,
    },
    /// Nodes that may get shadow reads, with their shards, as determined by connections, node list, peers and limits; no other
    /// node gets any.
    Nodes(Vec<(u32, String)>),
    /// Whether requests are queued at this gateway.
    Busy(bool),
    /// All other gateways that may write to these volumes, reachable or not; only one that has left for good may be omitted.
    /// No difference is counted without an answer from each of them.
    Peers(Vec<PeerName>),
    /// A peer's message of this package arrived.
    ///
    /// `now` must be read after the message arrived. With an earlier `now`, a write that ended just before the peer sent it
    /// would seem to have ended before a read that it raced with.
    Heard {
        /// Sender of the message.
        from: PeerName,
        /// Life of the sender.
        life: Life,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The gateway continues in another life.
    Renewed(Life),
    /// Time has passed.
    Tick,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a shadow read of these blocks to this node with a separate token; ends with [`Input::Tried`] within the timeout.
    Try {
        /// Identifier of the shadow read.
        id: TryId,
        /// Node to read from.
        node: String,
        /// Shard of the blocks in the candidate.
        shard: u32,
        /// Namespace identifier of the volume.
        nsid: u32,
        /// First logical block.
        slba: u64,
        /// Number of blocks.
        blocks: u32,
        /// Timeout of the shadow read.
        patience: Micros,
    },
    /// Send a message of this package to a peer; it may be lost.
    Send {
        /// Receiver of the message.
        to: PeerName,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Store the counters of this gateway's lives durably, replacing those stored before.
    Keep(Vec<u8>),
    /// Data was rejected; for the log, once for each cause and peer. Under this gateway's own name: the stored counters.
    TurnedAway {
        /// Sender of the data.
        from: PeerName,
        /// Cause of the rejection.
        why: &'static str,
    },
}
