//! Digests of block data, and the hash of the slice selection.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of block data: the first 16 bytes of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Digest of contiguous data.
    pub fn of(data: &[u8]) -> Digest {
        Digest::of_pieces([data])
    }

    /// Digest of data in pieces; it does not depend on where the data is split.
    pub fn of_pieces<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for piece in pieces {
            hasher.update(piece);
        }
        Digest::from_hash(&hasher.finalize())
    }

    fn from_hash(hash: &blake3::Hash) -> Digest {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Digest(bytes)
    }

    /// The bytes of the digest.
    pub fn bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Hash of numbers: the first eight bytes of BLAKE3 over their little-endian bytes, equal on all machines and in all builds.
pub(crate) fn number_of(parts: &[u64]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.to_le_bytes());
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn digest_does_not_depend_on_the_split() {
        let data: Vec<u8> = (0..=255).collect();
        let pieces = data.chunks(7);
        assert_eq!(Digest::of(&data), Digest::of_pieces(pieces));
        assert_ne!(Digest::of(&data), Digest::of(&data[1..]));
        assert_eq!(Digest::of(b"").to_string(), "af1349b9f5f9a1a6a0404dea36dcc949");
    }
}
