//! Blocks that carry their own proof: who wrote them, where they belong, and that they are whole.

use bytes::{Bytes, BytesMut};

/// What a block says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Zeroes: never written.
    Empty,
    /// Written by the command with this token.
    Written(u64),
    /// Its bytes do not belong together, or to this block.
    Torn,
}

/// Mixes a word; splitmix64's finish.
fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn one(token: u64, nsid: u32, lba: u64, block: &mut [u8]) {
    let mut word = mix(token ^ mix(lba) ^ u64::from(nsid) << 48);
    for chunk in block.chunks_exact_mut(8) {
        word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    block[..8].copy_from_slice(&token.to_le_bytes());
    block[8..16].copy_from_slice(&lba.to_le_bytes());
    block[16..20].copy_from_slice(&nsid.to_le_bytes());
    let sum = crc32c::crc32c(&block[24..]) ^ crc32c::crc32c(&block[..20]);
    block[20..24].copy_from_slice(&sum.to_le_bytes());
}

/// Data of a write that proves itself. The token must not be 0.
pub fn fill(token: u64, nsid: u32, slba: u64, blocks: u32, block_size: u32) -> Bytes {
    let mut data = BytesMut::zeroed(blocks as usize * block_size as usize);
    for (n, block) in data.chunks_mut(block_size as usize).enumerate() {
        one(token, nsid, slba + n as u64, block);
    }
    data.freeze()
}

/// Reads the proofs of the blocks of a read.
pub fn look(data: &[u8], nsid: u32, slba: u64, block_size: u32) -> Vec<Found> {
    let look = |(n, block): (usize, &[u8])| {
        let token = block.first_chunk().map_or(0, |b| u64::from_le_bytes(*b));
        if token == 0 && block.iter().all(|&b| b == 0) {
            return Found::Empty;
        }
        let mut want = vec![0; block.len()];
        one(token, nsid, slba + n as u64, &mut want);
        if want == block { Found::Written(token) } else { Found::Torn }
    };
    data.chunks(block_size.max(24) as usize).enumerate().map(look).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_block_tells_its_writer_and_any_damage() {
        let data = fill(77, 2, 100, 3, 512);
        assert_eq!(look(&data, 2, 100, 512), [Found::Written(77); 3]);
        assert_eq!(look(&data, 2, 101, 512), [Found::Torn; 3], "moved by a block");
        assert_eq!(look(&data, 1, 100, 512), [Found::Torn; 3], "another volume's");
        for at in [0, 9, 17, 21, 300, 511] {
            let mut bad = data.to_vec();
            bad[at] ^= 1;
            assert_eq!(look(&bad, 2, 100, 512)[0], Found::Torn, "byte {at}");
        }
        assert_eq!(look(&[0; 512], 2, 0, 512), [Found::Empty]);
    }
}
