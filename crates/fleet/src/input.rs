//! Inputs and outputs of the membership state machine.

use std::sync::Arc;

use peer::{Life, PeerName};

use crate::holding::Holding;
use crate::node_observation::NodeSight;
use crate::view::View;

/// An event to process.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection to a peer, in this life of the peer, was established.
    Linked(PeerName, Life),
    /// The connection to the peer was closed.
    Unlinked(PeerName),
    /// A membership message arrived from a peer.
    Heard {
        /// The sender.
        from: PeerName,
        /// The sender's life.
        life: Life,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Replaces this gateway's holding: the volumes it serves and the versions of its cap and candidate map.
    Hold(Holding),
    /// This gateway's observation of a node, valid until the next one.
    Saw(NodeSight),
    /// This gateway continues under another life.
    Renewed(Life),
    /// This gateway leaves voluntarily: it is `Leaving` at once and `Left` some periods later.
    Leave,
    /// An operator removes a member, for good in this life of it.
    Left(PeerName, Life),
    /// Time has passed; due at [`crate::Fleet::next_due`]. If no input arrives until more than a period later, the gateway
    /// concludes that its own process was stopped or starved.
    Tick,
}

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message of kind [`crate::KIND`].
    Send {
        /// The receiver.
        to: PeerName,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The view changed. The snapshot is immutable.
    Changed(Arc<View>),
    /// Something that a member sent was rejected. Emitted for the log, once for each reason and member.
    TurnedAway {
        /// The sender.
        from: PeerName,
        /// The reason.
        why: &'static str,
    },
}
