//! The replicated record of one member and its encoding.

use std::collections::BTreeSet;

use peer::{Incarnation, Life, Nonce, PeerName};
use serde::{Deserialize, Serialize};

use crate::holding::Holding;

/// Maximum witnesses kept for a suspicion, the first by name. More would not shorten the suspicion.
pub const MOST_WITNESSES: usize = 4;
/// The highest incarnation and counter accepted from any gateway.
pub const MOST_NUMBER: u64 = 1 << 48;
/// How far another gateway's message may advance a member's incarnation or counter beyond the known value.
pub const MOST_JUMP: u64 = 1 << 20;

/// What is known about one life of a member. Records of one member form a join semilattice, see [`crate::merge()`]. The
/// zone is not part of it, because the site file defines it.
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
    /// The least record of a life: only that it began.
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

    /// The greatest record of a life: the member left for good. Nothing else is kept of that life, and this is kept as long as
    /// the site file names the member, so that no stale copy revives it.
    pub fn left(life: Life) -> Record {
        Record { left: true, ..Record::new(life) }
    }

    /// The life that this record describes.
    pub fn life(&self) -> Life {
        Life { incarnation: Incarnation(self.incarnation), nonce: Nonce(self.nonce) }
    }

    /// Whether the member left in this life.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Counter of the member's own updates.
    pub fn counter(&self) -> u64 {
        self.own
    }

    /// Gateways that report that they cannot reach it.
    pub fn witnesses(&self) -> &BTreeSet<PeerName> {
        &self.witnesses
    }

    /// Copy of the record with one more witness of a suspicion.
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

    /// The member's next own update, which clears all suspicions.
    #[must_use]
    pub fn said(&self, holding: Holding, leaving: bool) -> Record {
        if self.left {
            return self.clone();
        }
        let own = self.own.saturating_add(1);
        Record { own, leaving, holding, witnesses: BTreeSet::new(), ..self.clone() }
    }

    /// Orders two records of one member. Witnesses of records with equal rank are joined.
    pub(crate) fn rank(&self) -> (u64, u64, bool, u64, bool, &Holding) {
        (self.incarnation, self.nonce, self.left, self.own, self.leaving, &self.holding)
    }
}

/// The encoded record of a named member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EncodedRecord {
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

impl EncodedRecord {
    pub(crate) fn of(name: &PeerName, record: &Record) -> EncodedRecord {
        let Record { incarnation, nonce, left, own, leaving, holding, witnesses } = record.clone();
        EncodedRecord { name: name.clone(), incarnation, nonce, left, own, leaving, holding, witnesses }
    }

    /// Decodes the record. A record that left drops all other fields, so that its greatest form is unique.
    pub(crate) fn record(self) -> Record {
        let life = Life { incarnation: Incarnation(self.incarnation), nonce: Nonce(self.nonce) };
        if self.left {
            return Record::left(life);
        }
        let EncodedRecord { own, leaving, holding, witnesses, .. } = self;
        Record { own, leaving, holding, witnesses, ..Record::new(life) }
    }
}
