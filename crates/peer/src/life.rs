//! Lives of gateways: which of two is the later one, and what a stored number is worth.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::wire::PeerName;

/// Number of a gateway's start. It rises with every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Drawn at every start: two lives with one incarnation are told apart by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// One life of a gateway, from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Its number.
    pub incarnation: Incarnation,
    /// What tells it from another of that number.
    pub nonce: Nonce,
}

impl Life {
    /// The life that follows what is stored of the last one; the first if nothing is.
    pub fn after(stored: Option<Life>, nonce: Nonce) -> Life {
        let last = stored.map_or(0, |life| life.incarnation.0);
        Life { incarnation: Incarnation(last + 1), nonce }
    }

    /// Whether this life is over if `seen` is a life that others have met under the same name.
    ///
    /// Danger: a disk that was put back or lost makes a gateway claim a number it has used before; what its earlier
    /// life left in flight would pass for its own. It has to take a number above what anybody has seen.
    pub fn is_behind(self, seen: Life) -> bool {
        seen.incarnation > self.incarnation
            || seen.incarnation == self.incarnation && seen.nonce != self.nonce
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.incarnation.0, self.nonce.0 >> 32)
    }
}

/// What a life that a peer claims is, against those that were seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// Nothing was known of this peer, or this is the life that was.
    Known,
    /// A later life than the one given, which is therefore over.
    Later(Life),
    /// Not later than the one given: the claim is of a life that is over, or of a disk that was put back.
    Stale(Life),
}

/// The latest life seen of each peer. Kept on a disk by its user, as the peer's own disk may forget it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lives(BTreeMap<PeerName, Life>);

impl Lives {
    /// The latest life seen of a peer.
    pub fn of(&self, name: &PeerName) -> Option<Life> {
        self.0.get(name).copied()
    }

    /// Takes a claim. A later life is remembered, a stale one is not.
    pub fn see(&mut self, name: &PeerName, claim: Life) -> Sighting {
        match self.of(name) {
            Some(known) if known == claim => Sighting::Known,
            Some(known) if claim.is_behind(known) => Sighting::Stale(known),
            before => {
                self.0.insert(name.clone(), claim);
                before.map_or(Sighting::Known, Sighting::Later)
            }
        }
    }
}
