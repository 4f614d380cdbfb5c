//! Keys of requests that recently ended unserved, here or at a peer.
//!
//! This gateway's own keys are stored exactly up to a bound. The keys of peers, and own keys beyond the
//! bound, are in a Bloom filter of two generations: a key stays for at least a window and the longest
//! retry delay (a client that was told to return then must still be recognized), and at most twice that.
//! Errors are only towards *repeat*. With `n` keys in a generation, another request is taken for a
//! repeat at a rate of `(1 - e^(-4n/65536))^4`: 1 in 5,900 at 2,000 keys, 1 in 101 at 6,200, 1 in 46 at
//! 8,000. The cost of a false *repeat*: a first attempt needs a token, and may be rejected while there
//! is none.
//!
//! Implemented here rather than taken from a crate: gateways of two versions exchange the bits, so both
//! the hash and the layout must be specified and must not change. The hash is XXH3.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Micros;
use crate::message::FilterBits;

/// Bits in a filter.
pub const FILTER_BITS: u32 = 65_536;
/// Bits that each key sets.
const BITS_PER_KEY: u64 = 4;
const HASH_SEED: u64 = 0x6372_6f77_6261_7931;
const FILTER_WORDS: usize = FILTER_BITS as usize / 64;
/// The most own keys that are stored exactly.
const MAX_OWN_KEYS: usize = 16_384;

/// A Bloom filter, in words of 64 bits, lowest bit first.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BloomFilter(Vec<u64>);

fn bit_positions(key: u64) -> impl Iterator<Item = usize> {
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), HASH_SEED);
    // The stride is odd, so that the four positions differ modulo a power of two.
    let (first, stride) = (hash & 0xffff_ffff, hash >> 32 | 1);
    (0..BITS_PER_KEY)
        .map(move |i| (first.wrapping_add(i.wrapping_mul(stride)) % u64::from(FILTER_BITS)) as usize)
}

impl BloomFilter {
    fn new() -> Self {
        BloomFilter(vec![0; FILTER_WORDS])
    }

    fn set(&mut self, at: usize) {
        if let Some(word) = self.0.get_mut(at / 64) {
            *word |= 1 << (at % 64);
        }
    }

    fn add(&mut self, key: u64) {
        bit_positions(key).for_each(|at| self.set(at));
    }

    fn contains(&self, key: u64) -> bool {
        bit_positions(key).all(|at| self.0[at / 64] & 1 << (at % 64) != 0)
    }

    fn union_with(&mut self, other: &BloomFilter) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own |= other;
        }
    }

    fn set_bits(&self) -> usize {
        self.0.iter().map(|w| w.count_ones() as usize).sum()
    }

    fn encode(&self) -> FilterBits {
        let size = NonZeroU32::new(FILTER_BITS);
        if self.set_bits() * 2 >= FILTER_WORDS * 8 {
            let bytes = self.0.iter().flat_map(|w| w.to_le_bytes()).collect();
            return FilterBits { size, places: false, bytes };
        }
        let mut bytes = Vec::new();
        for (n, &word) in self.0.iter().enumerate() {
            let mut rest = word;
            while rest != 0 {
                let at = n * 64 + rest.trailing_zeros() as usize;
                bytes.extend_from_slice(&(at as u16).to_le_bytes());
                rest &= rest - 1;
            }
        }
        FilterBits { size, places: true, bytes }
    }

    /// Adds the bits of a peer's filter. Returns false, with nothing added, if they are not a valid
    /// filter.
    fn merge_encoded(&mut self, bits: &FilterBits) -> bool {
        let (full_length, length) = (FILTER_WORDS * 8, bits.bytes.len());
        let fits = if bits.places { length < full_length && length % 2 == 0 } else { length == full_length };
        if bits.size != NonZeroU32::new(FILTER_BITS) || !fits {
            return false;
        }
        if bits.places {
            for place in bits.bytes.chunks_exact(2) {
                self.set(usize::from(u16::from_le_bytes([place[0], place[1]])));
            }
        } else {
            for (word, bytes) in self.0.iter_mut().zip(bits.bytes.chunks_exact(8)) {
                *word |= bytes.iter().rev().fold(0, |w, &b| w << 8 | u64::from(b));
            }
        }
        true
    }
}

/// Two generations of a filter. The older one is dropped as a new one begins.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FilterGenerations {
    current: BloomFilter,
    previous: BloomFilter,
    began: Micros,
    length: Micros,
}

impl FilterGenerations {
    fn new(began: Micros, length: Micros) -> Self {
        FilterGenerations { current: BloomFilter::new(), previous: BloomFilter::new(), began, length }
    }

    fn rotate(&mut self, now: Micros) {
        if now >= self.began + 2 * self.length {
            *self = FilterGenerations::new(now, self.length);
        } else if now >= self.began + self.length {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current = BloomFilter::new();
            self.began += self.length;
        }
    }

    fn contains(&self, now: Micros, key: u64) -> bool {
        now < self.began + self.length && self.previous.contains(key)
            || now < self.began + 2 * self.length && self.current.contains(key)
    }
}

/// Keys of requests that ended unserved.
#[derive(Clone, Debug)]
pub struct RepeatSketch {
    /// Own keys, and when each request ended.
    own_keys: BTreeMap<u64, Micros>,
    /// Keys of peers, and own ones beyond `MAX_OWN_KEYS`.
    peer_keys: FilterGenerations,
    /// Own keys of the last quarter to half of a window, to be reported to peers.
    recent: FilterGenerations,
    retention: Micros,
}

impl RepeatSketch {
    /// Remembers keys for at least `retention` of local time, and reports each to peers for at least a
    /// quarter of the window.
    pub fn new(now: Micros, retention: Micros, window: Micros) -> Self {
        let recent = FilterGenerations::new(now, (window / 4).max(1));
        RepeatSketch {
            own_keys: BTreeMap::new(),
            peer_keys: FilterGenerations::new(now, retention),
            recent,
            retention,
        }
    }

    /// Records a request that ended unserved here.
    pub fn add(&mut self, now: Micros, key: u64) {
        self.recent.rotate(now);
        self.recent.current.add(key);
        if self.own_keys.len() < MAX_OWN_KEYS || self.own_keys.contains_key(&key) {
            self.own_keys.insert(key, now);
        } else {
            // Own keys beyond the exact bound go into the same filter as those of peers.
            self.peer_keys.rotate(now);
            self.peer_keys.current.add(key);
        }
    }

    /// Adds the keys reported by a peer; returns false if they cannot be decoded.
    pub fn merge_report(&mut self, now: Micros, bits: &FilterBits) -> bool {
        self.peer_keys.rotate(now);
        self.peer_keys.current.merge_encoded(bits)
    }

    /// The recent keys to report to peers; none if there are none.
    pub fn report(&mut self, now: Micros) -> Option<FilterBits> {
        self.recent.rotate(now);
        let mut filter = self.recent.current.clone();
        filter.union_with(&self.recent.previous);
        (filter.set_bits() > 0).then(|| filter.encode())
    }

    /// Drops own keys that are too old.
    pub fn expire(&mut self, now: Micros) {
        let retention = self.retention;
        self.own_keys.retain(|_, at| now - *at < retention);
    }

    /// Whether a request with this key ended unserved recently; false positives are possible.
    pub fn contains(&self, now: Micros, key: u64) -> bool {
        self.own_keys.get(&key).is_some_and(|at| now - at < self.retention)
            || self.peer_keys.contains(now, key)
    }

    /// The part of the bits that is set in the peers' filter. Above a half, the filter says little.
    pub fn fill_ratio(&self) -> f64 {
        self.peer_keys.current.set_bits().max(self.peer_keys.previous.set_bits()) as f64
            / f64::from(FILTER_BITS)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const WINDOW: Micros = 1_000_000;

    /// Encodes one sketch's report and merges it into the other, as over the network.
    fn exchange(from: &mut RepeatSketch, to: &mut RepeatSketch, now: Micros) {
        if let Some(bits) = from.report(now) {
            let bytes = peer::wire::encode(&bits);
            assert!(bytes.len() < 9_000, "{} bytes", bytes.len());
            assert!(to.merge_report(now, &peer::wire::decode(&bytes).expect("a valid report")));
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(32))]
        #[test]
        fn unserved_keys_are_recognized_here_and_at_peers_for_the_window(
            keys in prop::collection::vec((any::<u64>(), 0..3 * WINDOW), 1..40),
            at in 0..WINDOW,
        ) {
            let (mut here, mut there) = (RepeatSketch::new(0, WINDOW, WINDOW), RepeatSketch::new(0, WINDOW, WINDOW));
            let mut keys = keys;
            keys.sort_by_key(|k| k.1);
            for &(key, when) in &keys {
                here.add(when, key);
                exchange(&mut here, &mut there, when);
                for &(key, ended) in keys.iter().filter(|k| k.1 <= when && when - k.1 < WINDOW) {
                    prop_assert!(here.contains(when, key) && there.contains(when, key), "{key} of {ended} at {when}");
                }
            }
            let (key, last) = keys[keys.len() - 1];
            prop_assert!(here.contains(last + at, key) && there.contains(last + at, key));
            here.expire(last + 3 * WINDOW);
            prop_assert!(!here.contains(last + 3 * WINDOW, key) && !there.contains(last + 3 * WINDOW, key));
        }
    }

    #[test]
    fn a_lost_report_is_recovered_by_the_next_within_a_quarter_window() {
        let (mut here, mut there) =
            (RepeatSketch::new(0, WINDOW, WINDOW), RepeatSketch::new(0, WINDOW, WINDOW));
        here.add(10, 7);
        here.report(10).expect("this report is lost");
        exchange(&mut here, &mut there, WINDOW / 4);
        assert!(there.contains(WINDOW / 4, 7));
        assert!(here.report(2 * WINDOW).is_none(), "no recent keys");
    }

    #[test]
    fn other_keys_are_taken_for_repeats_at_the_documented_rate() {
        for (keys, most) in [(2_000, 1.0 / 3_000.0), (6_200, 0.0125), (8_000, 0.0265)] {
            let (mut here, mut there) =
                (RepeatSketch::new(0, WINDOW, WINDOW), RepeatSketch::new(0, WINDOW, WINDOW));
            for key in 0..keys {
                here.add(0, key);
            }
            exchange(&mut here, &mut there, 1);
            let wrong = (1_000_000..1_100_000).filter(|&key| there.contains(2, key)).count();
            let rate = wrong as f64 / 100_000.0;
            println!("{keys} keys: {rate}, filled {:.3}", there.fill_ratio());
            assert!(rate <= most, "{keys} keys: {rate}");
            assert!(rate >= most / 20.0, "{keys} keys: {rate}: too few for the test to be sensitive");
            assert_eq!(
                (1_000_000..1_100_000).filter(|&key| here.contains(2, key)).count(),
                0,
                "own keys are exact"
            );
        }
    }

    #[test]
    fn own_keys_beyond_the_bound_are_still_recognized() {
        let mut here = RepeatSketch::new(0, WINDOW, WINDOW);
        let most = MAX_OWN_KEYS as u64 + 500;
        for key in 0..most {
            here.add(0, key);
        }
        assert_eq!(here.own_keys.len(), MAX_OWN_KEYS);
        assert!((0..most).all(|key| here.contains(WINDOW - 1, key)));
    }

    #[test]
    fn invalid_filter_bits_are_rejected() {
        let mut there = RepeatSketch::new(0, WINDOW, WINDOW);
        let size = NonZeroU32::new(FILTER_BITS);
        for bits in [
            FilterBits { size: None, places: false, bytes: vec![0; FILTER_WORDS * 8] },
            FilterBits { size, places: false, bytes: vec![255; 10] },
            FilterBits { size, places: true, bytes: vec![1; 11] },
            FilterBits { size, places: true, bytes: vec![0; FILTER_WORDS * 8] },
        ] {
            assert!(!there.merge_report(0, &bits), "{bits:?}");
        }
    }
}
