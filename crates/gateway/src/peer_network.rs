//! The gateway's peer network, shared by the subsystems that talk to peers.
//!
//! Recovery, the membership view, the retry cap and the shadow trial share one set of peer connections and
//! use a message kind each. Without `[recovery]` and `[fleet]` there is no peer network: nothing listens, and
//! no peer is contacted.

use std::net::SocketAddr;
use std::sync::Arc;

use peer::{Conn, Kind, Life, PeerName, Told};
use peerlink::{PeerOptions, Peers, StartError};
use storage_core::Micros;

use crate::coordination::CoordinationOptions;
use crate::message::{Inbox, Message};
use crate::options::RecoveryDriverOptions;

/// Settings of a gateway that has peers.
#[derive(Clone, Debug)]
pub struct PeerNetworkOptions {
    /// The peers, and the folder of this gateway's lives.
    pub peers: PeerOptions,
    /// Recovery after a restart, which asks the peers; without it the gateway serves from its start.
    pub recovery: Option<RecoveryDriverOptions>,
    /// Coordination with the fleet; without it the gateway knows of no other gateway.
    pub coordination: Option<CoordinationOptions>,
}

/// The subsystems that handle a peer event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipients {
    /// All that talk to peers.
    All,
    /// Only recovery.
    Recovery,
    /// The subsystem that uses this message kind.
    Kind(Kind),
    /// None.
    Nobody,
}

/// The peer connections, shared by the subsystems that use them.
#[derive(Clone)]
pub(crate) struct PeerNetwork(Arc<Peers>);

impl PeerNetwork {
    /// Begins the next life and connects to peers; peer events are sent to the engine.
    pub(crate) fn start(options: PeerOptions, inbox: Inbox) -> Result<PeerNetwork, StartError> {
        Peers::start(options, move |event| inbox.send(Message::PeerEvent(event)))
            .map(|peers| PeerNetwork(Arc::new(peers)))
    }

    /// The address on which peers connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// The life that this gateway began.
    pub(crate) fn life(&self) -> Life {
        self.0.life()
    }

    /// Asks a peer; exactly one outcome is reported, within the timeout.
    pub(crate) fn ask(&self, peer: &PeerName, kind: Kind, body: Vec<u8>, timeout: Micros) {
        self.0.ask(peer, kind, body, timeout);
    }

    /// Answers a question, or declines it with `None`.
    pub(crate) fn answer(&self, conn: Conn, id: u64, body: Option<Vec<u8>>) {
        self.0.answer(conn, id, body);
    }

    /// Sends a note to all connected peers.
    pub(crate) fn note(&self, kind: Kind, body: Vec<u8>) {
        self.0.note(kind, body);
    }

    /// Sends a note to one peer, if it is connected.
    pub(crate) fn note_to(&self, peer: &PeerName, kind: Kind, body: Vec<u8>) {
        self.0.note_to(peer, kind, body);
    }

    /// Logs a peer event where operators need it, and returns the subsystems that handle it.
    pub(crate) fn recipients(&self, event: &Told) -> Recipients {
        match event {
            Told::NewLife { peer, before, now } => {
                tracing::info!(%peer, %before, %now, "a peer started a new life")
            }
            Told::Stale { peer, claim, seen } => {
                tracing::warn!(%peer, %claim, %seen, "rejected a peer with an outdated life");
            }
            Told::Refused { peer, why } => {
                let peer = peer.as_ref().map_or("", |p| p.0.as_str());
                tracing::error!(peer, why, "cannot communicate with a peer");
            }
            Told::Up { .. } | Told::Down { .. } | Told::Renewed { .. } => return Recipients::All,
            Told::Asked { .. } | Told::Answered { .. } => return Recipients::Recovery,
            Told::Noted { kind, .. } => return Recipients::Kind(*kind),
            Told::Quiet { .. } | Told::Heard { .. } | Told::Superseded { .. } => {}
        }
        Recipients::Nobody
    }
}
