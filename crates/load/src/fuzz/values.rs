//! Values from the ends of their types, from what is usual, and from anywhere.

use rand::Rng;
use rand::rngs::StdRng;

/// Lengths of in-capsule data: around a block, around what a capsule may hold, and next to nothing.
const DATA_LENGTHS: [usize; 12] = [0, 1, 16, 511, 512, 513, 4095, 4096, 4097, 8191, 8192, 8193];

/// One of the values.
pub(super) fn one_of<T: Copy>(rng: &mut StdRng, values: &[T]) -> T {
    values[rng.random_range(0..values.len())]
}

/// A 64-bit value near `usual`, at an end of its type, or anywhere.
pub(super) fn wide(rng: &mut StdRng, usual: u64) -> u64 {
    match rng.random_range(0..4) {
        0 => usual.wrapping_add(rng.random_range(0..3)).wrapping_sub(1),
        1 => one_of(rng, &[0, 1, u64::from(u32::MAX), 1 << 63, u64::MAX - 1, u64::MAX]),
        2 => u64::MAX - rng.random_range(0..0x1_0000),
        _ => rng.random(),
    }
}

/// A 32-bit value near `usual`, at an end of its type, or anywhere.
pub(super) fn word(rng: &mut StdRng, usual: u32) -> u32 {
    match rng.random_range(0..3) {
        0 => usual.wrapping_add(rng.random_range(0..3)).wrapping_sub(1),
        1 => one_of(rng, &[0, 1, 0xffff, 0x1_0000, 1 << 31, u32::MAX - 1, u32::MAX]),
        _ => rng.random(),
    }
}

/// A length of in-capsule data, 0 to 8,193 bytes.
pub(super) fn data_length(rng: &mut StdRng) -> usize {
    if rng.random() { one_of(rng, &DATA_LENGTHS) } else { rng.random_range(0..=8193) }
}
