//! Digests of a region's live entries: a sum, so that a change costs the change.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::entry::Entry;

/// The sum of the hashes of entries, whatever their order. Two copies that hold the same have the same.
///
/// It finds mistakes and damage; it is no guard against somebody who means harm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    high: u64,
    low: u64,
}

impl Digest {
    pub(crate) fn of(entry: &Entry) -> Digest {
        let mut hash = Xxh3::new();
        hash.update(&entry.key.owner.0.to_le_bytes());
        hash.update(&[entry.key.kind.number(), u8::from(entry.value.is_some())]);
        hash.update(&(entry.key.name.len() as u32).to_le_bytes());
        hash.update(entry.key.name.as_bytes());
        hash.update(&entry.stamp.epoch.0.to_le_bytes());
        hash.update(&entry.stamp.version.0.to_le_bytes());
        hash.update(entry.value.as_deref().unwrap_or_default());
        let sum = hash.digest128();
        Digest { high: (sum >> 64) as u64, low: sum as u64 }
    }

    /// Its lower half, as a hash.
    pub(crate) fn low(self) -> u64 {
        self.low
    }

    fn number(self) -> u128 {
        (u128::from(self.high) << 64) | u128::from(self.low)
    }

    fn from_number(sum: u128) -> Digest {
        Digest { high: (sum >> 64) as u64, low: sum as u64 }
    }

    /// With one entry more.
    pub fn with(self, entry: Digest) -> Digest {
        Digest::from_number(self.number().wrapping_add(entry.number()))
    }

    /// With one entry less.
    pub fn without(self, entry: Digest) -> Digest {
        Digest::from_number(self.number().wrapping_sub(entry.number()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}
