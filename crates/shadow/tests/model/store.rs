//! Simulated store with two maps: blocks are numbers, a write shows at both shards of an extent at once, and a node can be
//! faulty.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shadow::{Candidate, Digest, VolumeMap};

pub const EXTENTS: u64 = 24;
pub const EXTENT_BLOCKS: u64 = 512;
pub const VOLUMES: [u32; 2] = [1, 2];
/// The current map has shards 1 to 3, the candidate 11 to 13; the node of this one is faulty.
pub const BAD: u32 = 12;

/// Fault of the candidate, or of the node of [`BAD`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The candidate names a wrong shard for one extent.
    Wrong,
    /// The node loses its last second of writes at this time.
    Stale(i64),
    /// One block in ten thousand, selected by a hash, is returned garbled.
    Garble,
    /// The node never answers.
    Stall,
    /// The node answers with random data.
    Lie,
    /// The node answers each shadow read twice, and once more later.
    Twice,
}

pub fn mix(words: &[u64]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |h, w| {
        let h = (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (h ^ (h >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb) ^ (h >> 32)
    })
}

fn map(nsid: u32, shard: impl Fn(u64) -> u32) -> VolumeMap {
    let shards = (0..EXTENTS).map(shard).collect();
    VolumeMap { nsid, blocks: EXTENTS * EXTENT_BLOCKS, extent_blocks: EXTENT_BLOCKS, shards }
}

/// The current map.
pub fn current() -> Vec<VolumeMap> {
    VOLUMES.iter().map(|&nsid| map(nsid, |extent| 1 + ((extent + u64::from(nsid)) % 3) as u32)).collect()
}

/// The map of the moved data: one extent in eight stays on its shard.
fn moved() -> Vec<VolumeMap> {
    let stays = current();
    let shard = |nsid: u32, extent: u64| {
        let stay = stays[(nsid - 1) as usize].shards[extent as usize];
        if extent % 8 == 7 { stay } else { 11 + (mix(&[u64::from(nsid), extent]) % 3) as u32 }
    };
    VOLUMES.iter().map(|&nsid| map(nsid, |extent| shard(nsid, extent))).collect()
}

pub fn candidate(slice: f64) -> Candidate {
    Candidate { number: 7, slice, parts: BTreeMap::new(), volumes: moved() }
}

pub struct Store {
    pub fault: Fault,
    pub candidate: Candidate,
    /// The extent for which the candidate names a wrong shard.
    pub wrong: Option<(u32, u64)>,
    salt: u64,
    maps: [Vec<VolumeMap>; 2],
    written: BTreeMap<(u32, u64), u64>,
    /// Old values that the faulty node holds instead of lost writes.
    lost: BTreeMap<(u32, u64), u64>,
    recent_writes: VecDeque<(i64, (u32, u64), u64)>,
}

impl Store {
    pub fn new(fault: Fault, slice: f64) -> Store {
        let mut candidate = candidate(slice);
        let maps = [current(), candidate.volumes.clone()];
        let selected = |nsid, extent| candidate.is_in_slice(nsid, extent) && extent % 8 != 7;
        let all = || VOLUMES.iter().flat_map(|&nsid| (0..EXTENTS).map(move |extent| (nsid, extent)));
        let wrong = all()
            .find(|&(nsid, extent)| nsid == 2 && extent > 9 && selected(nsid, extent))
            .expect("one is selected");
        let on_bad = |nsid: u32, block: u64| {
            let extent = block / EXTENT_BLOCKS;
            selected(nsid, extent) && maps[1][(nsid - 1) as usize].shards[extent as usize] == BAD
        };
        let garbled = |salt| {
            let blocks = |nsid| (0..EXTENTS * EXTENT_BLOCKS).map(move |block| (nsid, block));
            let all = VOLUMES.iter().flat_map(|&nsid| blocks(nsid));
            all.filter(|&(nsid, block)| on_bad(nsid, block) && is_garbled(salt, nsid, block)).count()
        };
        let salt =
            if fault == Fault::Garble { (0..).find(|salt| garbled(*salt) == 2).unwrap_or(0) } else { 0 };
        if fault == Fault::Wrong {
            let shard = &mut candidate.volumes[(wrong.0 - 1) as usize].shards[wrong.1 as usize];
            *shard = 11 + (*shard - 11 + 1) % 3;
        }
        let wrong = (fault == Fault::Wrong).then_some(wrong);
        let (written, lost, recent_writes) = (BTreeMap::new(), BTreeMap::new(), VecDeque::new());
        Store { fault, candidate, wrong, salt, maps, written, lost, recent_writes }
    }

    /// Applies a write.
    pub fn write(&mut self, now: i64, nsid: u32, slba: u64, blocks: u32, stamp: u64) {
        for block in slba..slba + u64::from(blocks) {
            let old = self.value(nsid, block);
            self.recent_writes.push_back((now, (nsid, block), old));
            self.written.insert((nsid, block), stamp);
            self.lost.remove(&(nsid, block));
        }
        while self.recent_writes.front().is_some_and(|(at, ..)| at + 1_000_000 < now) {
            self.recent_writes.pop_front();
        }
    }

    /// Makes the faulty node lose its last second of writes.
    pub fn lose_writes(&mut self, now: i64) {
        for (at, key, old) in self.recent_writes.iter().rev() {
            if at + 1_000_000 >= now {
                self.lost.insert(*key, *old);
            }
        }
    }

    fn value(&self, nsid: u32, block: u64) -> u64 {
        let base = || mix(&[u64::from(nsid), block]);
        self.written.get(&(nsid, block)).copied().unwrap_or_else(base)
    }

    fn stored_value(&self, shard: u32, nsid: u32, block: u64) -> u64 {
        let extent = (block / EXTENT_BLOCKS) as usize;
        if !self.maps.iter().any(|volumes| volumes[(nsid - 1) as usize].shards[extent] == shard) {
            return mix(&[u64::from(shard), u64::from(nsid), block]);
        }
        let value = self.value(nsid, block);
        let lost = self.lost.get(&(nsid, block)).filter(|_| shard == BAD).copied();
        let garbled = self.fault == Fault::Garble && shard == BAD && is_garbled(self.salt, nsid, block);
        lost.unwrap_or(value) ^ u64::from(garbled)
    }

    /// The answer of a shard's node to a read.
    pub fn read(&self, shard: u32, nsid: u32, slba: u64, blocks: u32) -> Digest {
        let data = (slba..slba + u64::from(blocks))
            .flat_map(|block| self.stored_value(shard, nsid, block).to_le_bytes());
        Digest::of(&data.collect::<Vec<u8>>())
    }

    /// Extents of the slice whose data differs between both maps now.
    pub fn differing(&self) -> BTreeSet<(u32, u64)> {
        let mut found = BTreeSet::new();
        for (volume, from) in self.candidate.volumes.iter().zip(current()) {
            for block in 0..volume.blocks {
                let extent = block / EXTENT_BLOCKS;
                let (to, from) = (volume.shards[extent as usize], from.shards[extent as usize]);
                let differs =
                    self.stored_value(to, volume.nsid, block) != self.stored_value(from, volume.nsid, block);
                if differs && self.candidate.is_in_slice(volume.nsid, extent) {
                    found.insert((volume.nsid, extent));
                }
            }
        }
        found
    }
}

fn is_garbled(salt: u64, nsid: u32, block: u64) -> bool {
    mix(&[salt, u64::from(nsid), block]).is_multiple_of(10_000)
}
