//! The peers of a gateway, and whom their words concern.
//!
//! One owner of the peers for all that is said between gateways: recovery's word, the view, the cap, the shadow. Each has a
//! kind of its own. Without `[recovery]` and `[fleet]` there is no company: nothing listens, and nobody is talked to.

use std::net::SocketAddr;
use std::sync::Arc;

use peer::{Conn, Kind, Life, PeerName, Told};
use peerlink::{PeerOptions, Peers, StartError};
use storage_core::Micros;

use crate::message::{Inbox, Message};
use crate::returning::ReturnOptions;
use crate::together::TogetherOptions;

/// Settings of a gateway that has peers.
#[derive(Clone, Debug)]
pub struct CompanyOptions {
    /// Its peers, and the folder of its lives.
    pub peers: PeerOptions,
    /// It asks them when it comes back; without it, it is open at once.
    pub returning: Option<ReturnOptions>,
    /// It acts as one with them; without it, it knows of no other.
    pub together: Option<TogetherOptions>,
}

/// Whom a word concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Concern {
    /// All that talk to peers.
    All,
    /// Recovery alone.
    Recovery,
    /// Whoever has notes of this kind.
    Kind(Kind),
    /// Nobody.
    Nobody,
}

/// The peers, shared by those who talk to them.
#[derive(Clone)]
pub(crate) struct Company(Arc<Peers>);

impl Company {
    /// Begins the next life and starts talking; what peers say comes to the engine.
    pub(crate) fn start(options: PeerOptions, inbox: Inbox) -> Result<Company, StartError> {
        Peers::start(options, move |told| inbox.send(Message::Peer(told)))
            .map(|peers| Company(Arc::new(peers)))
    }

    /// Where its peers connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// The life that it began.
    pub(crate) fn life(&self) -> Life {
        self.0.life()
    }

    /// Asks a peer; its one outcome is told within the time.
    pub(crate) fn ask(&self, peer: &PeerName, kind: Kind, body: Vec<u8>, within: Micros) {
        self.0.ask(peer, kind, body, within);
    }

    /// Answers a question, or passes it.
    pub(crate) fn answer(&self, conn: Conn, id: u64, body: Option<Vec<u8>>) {
        self.0.answer(conn, id, body);
    }

    /// Tells all peers that are connected.
    pub(crate) fn note(&self, kind: Kind, body: Vec<u8>) {
        self.0.note(kind, body);
    }

    /// Tells one peer, if it is connected.
    pub(crate) fn note_to(&self, peer: &PeerName, kind: Kind, body: Vec<u8>) {
        self.0.note_to(peer, kind, body);
    }

    /// Writes down what operators should know of, and says whom a word concerns.
    pub(crate) fn concern(&self, told: &Told) -> Concern {
        match told {
            Told::NewLife { peer, before, now } => tracing::info!(%peer, %before, %now, "a peer lives anew"),
            Told::Stale { peer, claim, seen } => {
                tracing::warn!(%peer, %claim, %seen, "a peer came with a life that is over, and was turned away");
            }
            Told::Refused { peer, why } => {
                let peer = peer.as_ref().map_or("", |p| p.0.as_str());
                tracing::error!(peer, why, "a peer cannot be talked to");
            }
            Told::Up { .. } | Told::Down { .. } | Told::Renewed { .. } => return Concern::All,
            Told::Asked { .. } | Told::Answered { .. } => return Concern::Recovery,
            Told::Noted { kind, .. } => return Concern::Kind(*kind),
            Told::Quiet { .. } | Told::Heard { .. } | Told::Superseded { .. } => {}
        }
        Concern::Nobody
    }
}
