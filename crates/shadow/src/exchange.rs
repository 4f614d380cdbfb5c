//! What the shadow takes in and gives out.

use peer::{Life, PeerName};

use crate::Micros;
use crate::digest::Digest;
use crate::tries::{Tried, TryId};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client's read was answered from this node: what it got, how long it took. To be told after the answer went out.
    Read {
        /// The volume.
        nsid: u32,
        /// The first block.
        slba: u64,
        /// How many.
        blocks: u32,
        /// The node that answered.
        node: String,
        /// When the read went out, or earlier; on the clock of `now`.
        began: Micros,
        /// When its data was in.
        ended: Micros,
        /// Of the data.
        digest: Digest,
    },
    /// A client's write began here: to be told before anything of it is sent, as it may run from now on. The same for all else
    /// that changes blocks.
    WriteBegan {
        /// The volume.
        nsid: u32,
        /// The first block.
        slba: u64,
        /// How many.
        blocks: u32,
        /// Names it until its end.
        token: u64,
    },
    /// It ended; `known`: it has run or never will. If not, it may yet run for [`crate::ShadowOptions::rest`].
    WriteEnded {
        /// Its name.
        token: u64,
        /// Whether its outcome is known.
        known: bool,
    },
    /// What a try came to.
    Tried {
        /// Its name.
        id: TryId,
        /// When its data was in.
        ended: Micros,
        /// What it came to.
        outcome: Tried,
    },
    /// Nodes that may be tried, by shard, as link, list, view and cap say; everything else is left alone.
    Nodes(Vec<(u32, String)>),
    /// Requests are held here, or not.
    Busy(bool),
    /// All other gateways that may write to these volumes, whether they can be reached or not: one is left out only if it has
    /// left for good. Without the word of each, no difference is believed.
    Peers(Vec<PeerName>),
    /// A peer's note of this package came.
    ///
    /// Danger: with a `now` from before the note arrived, a write that ended just before the peer made it would seem to have
    /// ended before a read that it raced. `now` is to be read after the note has come in.
    Heard {
        /// The peer.
        from: PeerName,
        /// Its life.
        life: Life,
        /// The note.
        body: Vec<u8>,
    },
    /// It goes on in another life.
    Renewed(Life),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read these blocks from this node with a token of its own; ends with [`Input::Tried`], within the patience.
    Try {
        /// Its name.
        id: TryId,
        /// The node.
        node: String,
        /// Its shard in the candidate.
        shard: u32,
        /// The volume.
        nsid: u32,
        /// The first block.
        slba: u64,
        /// How many.
        blocks: u32,
        /// How long it may take.
        patience: Micros,
    },
    /// A note of this package, which may be lost.
    Send {
        /// To whom.
        to: PeerName,
        /// The note.
        body: Vec<u8>,
    },
    /// The counts of this gateway's lives, to be kept durably in place of what was kept before.
    Keep(Vec<u8>),
    /// Something was turned away; for the log, once for each cause and peer. Under this gateway's own name: what was kept.
    TurnedAway {
        /// Whose it was.
        from: PeerName,
        /// Why.
        why: &'static str,
    },
}
