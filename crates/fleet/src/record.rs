//! What is said of one member from gateway to gateway.

use std::collections::BTreeSet;

use peer::{Incarnation, Life, Nonce, PeerName};
use serde::{Deserialize, Serialize};

use crate::holding::Holding;

/// Witnesses of a suspicion that are kept: those whose names come first. More would not shorten it.
pub const MOST_WITNESSES: usize = 4;
/// The highest incarnation and the highest counter that are taken from anybody.
pub const MOST_NUMBER: u64 = 1 << 48;
/// How far another's word may put a member's incarnation or counter beyond what is known of it.
pub const MOST_JUMP: u64 = 1 << 20;

/// What is known of one life of a member. Records of one member form a join semilattice, see [`crate::merge`]. The
/// member's zone is not said: it is the site file's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    pub(crate) incarnation: u64,
    pub(crate) nonce: u64,
    pub(crate) left: bool,
    pub(crate) own: u64,
    pub(crate) leaving: bool,
    pub(crate) holding: Holding,
    pub(crate) witnesses: BTreeSet<PeerName>,
}

impl Record {
    /// The least that is known of a member in this life: that it has begun.
    pub fn new(life: Life) -> Record {
        Record {
            incarnation: life.incarnation.0,
            nonce: life.nonce.0,
            left: false,
            own: 0,
            leaving: false,
            holding: Holding::default(),
            witnesses: BTreeSet::new(),
        }
    }

    /// The member has left for good in this life: the greatest record of it. This is all that is ever kept of it, and it is
    /// kept as long as the site file names the member, so that no old copy brings it back.
    pub fn left(life: Life) -> Record {
        Record { left: true, ..Record::new(life) }
    }

    /// Which life it is about.
    pub fn life(&self) -> Life {
        Life { incarnation: Incarnation(self.incarnation), nonce: Nonce(self.nonce) }
    }

    /// Whether it has left in this life.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// The member's own counter.
    pub fn counter(&self) -> u64 {
        self.own
    }

    /// Who says that they cannot reach it.
    pub fn witnesses(&self) -> &BTreeSet<PeerName> {
        &self.witnesses
    }

    /// The same with one more who cannot reach it.
    #[must_use]
    pub fn doubted_by(&self, witness: &PeerName) -> Record {
        let mut record = self.clone();
        if !record.left {
            record.witnesses.insert(witness.clone());
            while record.witnesses.len() > MOST_WITNESSES {
                record.witnesses.pop_last();
            }
        }
        record
    }

    /// The member's next word: with this holding, leaving or not, and nobody's doubt.
    #[must_use]
    pub fn said(&self, holding: Holding, leaving: bool) -> Record {
        if self.left {
            return self.clone();
        }
        let own = self.own.saturating_add(1);
        Record { own, leaving, holding, witnesses: BTreeSet::new(), ..self.clone() }
    }

    /// What orders two records of one member; the witnesses are joined where it is the same.
    pub(crate) fn rank(&self) -> (u64, u64, bool, u64, bool, &Holding) {
        (self.incarnation, self.nonce, self.left, self.own, self.leaving, &self.holding)
    }
}

/// A record as it is written, with its member's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Told {
    #[serde(rename = "n")]
    pub(crate) name: PeerName,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "k")]
    nonce: u64,
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    left: bool,
    #[serde(rename = "o", default)]
    own: u64,
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    leaving: bool,
    #[serde(rename = "h", default)]
    holding: Holding,
    #[serde(rename = "w", default, skip_serializing_if = "BTreeSet::is_empty")]
    witnesses: BTreeSet<PeerName>,
}

fn is_false(value: &bool) -> bool {
    !*value
}

impl Told {
    pub(crate) fn of(name: &PeerName, record: &Record) -> Told {
        let Record { incarnation, nonce, left, own, leaving, holding, witnesses } = record.clone();
        Told { name: name.clone(), incarnation, nonce, left, own, leaving, holding, witnesses }
    }

    /// The record; one that left is taken without the rest, so that its greatest form is one.
    pub(crate) fn record(self) -> Record {
        let life = Life { incarnation: Incarnation(self.incarnation), nonce: Nonce(self.nonce) };
        if self.left {
            return Record::left(life);
        }
        let Told { own, leaving, holding, witnesses, .. } = self;
        Record { own, leaving, holding, witnesses, ..Record::new(life) }
    }
}
