//! Lives of gateways and their order.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::wire::PeerName;

/// Number of a gateway's start, incremented at every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Random number drawn at every start, which distinguishes two lives with the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// One run of a gateway, from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The number of the start.
    pub incarnation: Incarnation,
    /// Distinguishes it from another life with that incarnation.
    pub nonce: Nonce,
}

impl Life {
    /// The life that follows the stored one; the first life if none is stored.
    pub fn after(stored: Option<Life>, nonce: Nonce) -> Life {
        let last = stored.map_or(0, |life| life.incarnation.0);
        Life { incarnation: Incarnation(last + 1), nonce }
    }

    /// Whether this life is over, given that others saw the life `seen` under the same name.
    ///
    /// A gateway whose disk was restored or lost claims an incarnation that it used before, and messages of its earlier life
    /// still in flight would pass for its own. It must take an incarnation above any that was seen.
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

/// Result of comparing a life that a peer claims with those seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// The peer was unknown, or this is its known life.
    Known,
    /// The claim is later than the given life, which is therefore over.
    Later(Life),
    /// The claim is not later than the given life: that life is over, or the peer's disk was restored.
    Stale(Life),
}

/// The latest life seen of each peer. The user stores it on disk, because the peer's own disk may lose it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lives(BTreeMap<PeerName, Life>);

impl Lives {
    /// The latest life seen of a peer.
    pub fn of(&self, name: &PeerName) -> Option<Life> {
        self.0.get(name).copied()
    }

    /// Records a claimed life. A later life is stored, a stale one is not.
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
