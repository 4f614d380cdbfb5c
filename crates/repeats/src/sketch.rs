//! Which requests ended unserved of late, here or at a peer.
//!
//! Own ones are remembered exactly while they are few; those of peers, and own ones beyond that, in a Bloom filter of two
//! generations: a key stays for at least a window and the longest advice (a client that was told to come back then must still be
//! known), at most twice that. It errs towards *repeat* only. With `n` keys in a generation a stranger is taken for a repeat at a
//! rate of `(1 - e^(-4n/65536))^4`: 1 in 5,900 at 2,000 keys, 1 in 101 at 6,200, 1 in 46 at 8,000. Harm of a false *repeat*: a first send needs a right and may be refused while there is none.
//!
//! Written by hand in place of a registry's filter: gateways of two versions exchange the bits, so both the hash and the
//! layout must be stated and stay. The hash is XXH3.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Micros;
use crate::message::Bits;

/// Bits of a filter.
pub const SIZE: u32 = 65_536;
/// Bits that a key sets.
const HASHES: u64 = 4;
const SEED: u64 = 0x6372_6f77_6261_7931;
const WORDS: usize = SIZE as usize / 64;
/// Own keys that are remembered exactly.
const MOST_OWN: usize = 16_384;

/// A Bloom filter, in words of 64 bits, the lowest bit first.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Filter(Vec<u64>);

fn places(key: u64) -> impl Iterator<Item = usize> {
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), SEED);
    // The second step is odd, so that four places of a power of two differ.
    let (first, step) = (hash & 0xffff_ffff, hash >> 32 | 1);
    (0..HASHES).map(move |i| (first.wrapping_add(i.wrapping_mul(step)) % u64::from(SIZE)) as usize)
}

impl Filter {
    fn new() -> Self {
        Filter(vec![0; WORDS])
    }

    fn set(&mut self, at: usize) {
        if let Some(word) = self.0.get_mut(at / 64) {
            *word |= 1 << (at % 64);
        }
    }

    fn add(&mut self, key: u64) {
        places(key).for_each(|at| self.set(at));
    }

    fn has(&self, key: u64) -> bool {
        places(key).all(|at| self.0[at / 64] & 1 << (at % 64) != 0)
    }

    fn join(&mut self, other: &Filter) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own |= other;
        }
    }

    fn count(&self) -> usize {
        self.0.iter().map(|w| w.count_ones() as usize).sum()
    }

    fn write(&self) -> Bits {
        let size = NonZeroU32::new(SIZE);
        if self.count() * 2 >= WORDS * 8 {
            let bytes = self.0.iter().flat_map(|w| w.to_le_bytes()).collect();
            return Bits { size, places: false, bytes };
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
        Bits { size, places: true, bytes }
    }

    /// Adds what a peer wrote; false, and nothing added, if it is no filter of ours.
    fn read(&mut self, bits: &Bits) -> bool {
        let (whole, length) = (WORDS * 8, bits.bytes.len());
        let fits = if bits.places { length < whole && length % 2 == 0 } else { length == whole };
        if bits.size != NonZeroU32::new(SIZE) || !fits {
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

/// Two filters that take turns.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Turns {
    now: Filter,
    before: Filter,
    began: Micros,
    length: Micros,
}

impl Turns {
    fn new(began: Micros, length: Micros) -> Self {
        Turns { now: Filter::new(), before: Filter::new(), began, length }
    }

    fn turn(&mut self, now: Micros) {
        if now >= self.began + 2 * self.length {
            *self = Turns::new(now, self.length);
        } else if now >= self.began + self.length {
            std::mem::swap(&mut self.now, &mut self.before);
            self.now = Filter::new();
            self.began += self.length;
        }
    }

    fn has(&self, now: Micros, key: u64) -> bool {
        now < self.began + self.length && self.before.has(key)
            || now < self.began + 2 * self.length && self.now.has(key)
    }
}

/// Keys of requests that ended unserved.
#[derive(Clone, Debug)]
pub struct Sketch {
    /// Ours, and when each ended.
    own: BTreeMap<u64, Micros>,
    /// Heard from peers; and own ones beyond `MOST_OWN`.
    heard: Turns,
    /// Ours of the last quarter to half of a window, as told to peers.
    told: Turns,
    keep: Micros,
}

impl Sketch {
    /// Remembers for at least `keep` on our clock, and tells each key for at least a quarter of the window.
    pub fn new(now: Micros, keep: Micros, window: Micros) -> Self {
        let told = Turns::new(now, (window / 4).max(1));
        Sketch { own: BTreeMap::new(), heard: Turns::new(now, keep), told, keep }
    }

    /// A request ended unserved here.
    pub fn add(&mut self, now: Micros, key: u64) {
        self.told.turn(now);
        self.told.now.add(key);
        if self.own.len() < MOST_OWN || self.own.contains_key(&key) {
            self.own.insert(key, now);
        } else {
            self.heard.turn(now);
            self.heard.now.add(key);
        }
    }

    /// Takes what a peer told; false if it cannot be read.
    pub fn hear(&mut self, now: Micros, bits: &Bits) -> bool {
        self.heard.turn(now);
        self.heard.now.read(bits)
    }

    /// What to tell peers; none if nothing ended unserved of late.
    pub fn tell(&mut self, now: Micros) -> Option<Bits> {
        self.told.turn(now);
        let mut filter = self.told.now.clone();
        filter.join(&self.told.before);
        (filter.count() > 0).then(|| filter.write())
    }

    /// Drops own keys that are too old.
    pub fn settle(&mut self, now: Micros) {
        let keep = self.keep;
        self.own.retain(|_, at| now - *at < keep);
    }

    /// Whether a request with this key ended unserved of late; may say so falsely.
    pub fn has(&self, now: Micros, key: u64) -> bool {
        self.own.get(&key).is_some_and(|at| now - at < self.keep) || self.heard.has(now, key)
    }

    /// The part of the peers' filter that is set: beyond a half it tells little.
    pub fn fill(&self) -> f64 {
        self.heard.now.count().max(self.heard.before.count()) as f64 / f64::from(SIZE)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const WINDOW: Micros = 1_000_000;

    /// `told` by one, heard by another, as over the wire.
    fn pass(from: &mut Sketch, to: &mut Sketch, now: Micros) {
        if let Some(bits) = from.tell(now) {
            let bytes = peer::wire::encode(&bits);
            assert!(bytes.len() < 9_000, "{} bytes", bytes.len());
            assert!(to.hear(now, &peer::wire::decode(&bytes).expect("it can be read")));
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(32))]
        #[test]
        fn what_ended_unserved_is_known_here_and_there_for_the_window(
            keys in prop::collection::vec((any::<u64>(), 0..3 * WINDOW), 1..40),
            at in 0..WINDOW,
        ) {
            let (mut here, mut there) = (Sketch::new(0, WINDOW, WINDOW), Sketch::new(0, WINDOW, WINDOW));
            let mut keys = keys;
            keys.sort_by_key(|k| k.1);
            for &(key, when) in &keys {
                here.add(when, key);
                pass(&mut here, &mut there, when);
                for &(key, ended) in keys.iter().filter(|k| k.1 <= when && when - k.1 < WINDOW) {
                    prop_assert!(here.has(when, key) && there.has(when, key), "{key} of {ended} at {when}");
                }
            }
            let (key, last) = keys[keys.len() - 1];
            prop_assert!(here.has(last + at, key) && there.has(last + at, key));
            here.settle(last + 3 * WINDOW);
            prop_assert!(!here.has(last + 3 * WINDOW, key) && !there.has(last + 3 * WINDOW, key));
        }
    }

    #[test]
    fn a_note_that_was_lost_is_made_good_by_the_next_within_a_quarter_of_the_window() {
        let (mut here, mut there) = (Sketch::new(0, WINDOW, WINDOW), Sketch::new(0, WINDOW, WINDOW));
        here.add(10, 7);
        here.tell(10).expect("lost on its way");
        pass(&mut here, &mut there, WINDOW / 4);
        assert!(there.has(WINDOW / 4, 7));
        assert!(here.tell(2 * WINDOW).is_none(), "nothing of late");
    }

    #[test]
    fn strangers_are_taken_for_repeats_at_the_stated_rate() {
        for (keys, most) in [(2_000, 1.0 / 3_000.0), (6_200, 0.0125), (8_000, 0.0265)] {
            let (mut here, mut there) = (Sketch::new(0, WINDOW, WINDOW), Sketch::new(0, WINDOW, WINDOW));
            for key in 0..keys {
                here.add(0, key);
            }
            pass(&mut here, &mut there, 1);
            let wrong = (1_000_000..1_100_000).filter(|&key| there.has(2, key)).count();
            let rate = wrong as f64 / 100_000.0;
            println!("{keys} keys: {rate}, filled {:.3}", there.fill());
            assert!(rate <= most, "{keys} keys: {rate}");
            assert!(rate >= most / 20.0, "{keys} keys: {rate}: the test cannot see it");
            assert_eq!(
                (1_000_000..1_100_000).filter(|&key| here.has(2, key)).count(),
                0,
                "own ones are exact"
            );
        }
    }

    #[test]
    fn own_keys_are_bounded_and_none_is_forgotten_for_it() {
        let mut here = Sketch::new(0, WINDOW, WINDOW);
        let most = MOST_OWN as u64 + 500;
        for key in 0..most {
            here.add(0, key);
        }
        assert_eq!(here.own.len(), MOST_OWN);
        assert!((0..most).all(|key| here.has(WINDOW - 1, key)));
    }

    #[test]
    fn bits_that_are_none_are_turned_away() {
        let mut there = Sketch::new(0, WINDOW, WINDOW);
        let size = NonZeroU32::new(SIZE);
        for bits in [
            Bits { size: None, places: false, bytes: vec![0; WORDS * 8] },
            Bits { size, places: false, bytes: vec![255; 10] },
            Bits { size, places: true, bytes: vec![1; 11] },
            Bits { size, places: true, bytes: vec![0; WORDS * 8] },
        ] {
            assert!(!there.hear(0, &bits), "{bits:?}");
        }
    }
}
