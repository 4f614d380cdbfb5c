//! Which extents are tried, and where they lie in both maps.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate::{Candidate, VolumeMap};
use crate::digest::number_of;

/// Whether a hash falls in a part of all hashes.
fn falls_in(hash: u64, part: f64) -> bool {
    // 53 bits are what a float holds without rounding; a part of 1 takes all, a part of 0 none.
    ((hash >> 11) as f64) < part * (1u64 << 53) as f64
}

impl Candidate {
    /// The part of a volume's extents that is tried.
    pub fn part(&self, nsid: u32) -> f64 {
        self.parts.get(&nsid).copied().unwrap_or(self.slice)
    }

    /// Whether an extent is tried: by a hash of volume, extent and candidate number, and so the same at all gateways and in
    /// all their lives. A larger part of the same number takes in what a smaller one did.
    pub fn is_in_slice(&self, nsid: u32, extent: u64) -> bool {
        self.is_drawn(nsid, extent, 0)
    }

    /// `salt` is 0 but for a planted mistake.
    pub(crate) fn is_drawn(&self, nsid: u32, extent: u64, salt: u64) -> bool {
        falls_in(number_of(&[u64::from(nsid), extent, self.number ^ salt]), self.part(nsid))
    }
}

/// Blocks of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Range {
    pub(crate) nsid: u32,
    pub(crate) slba: u64,
    pub(crate) blocks: u32,
}

impl Range {
    pub(crate) fn overlaps(&self, other: &Range) -> bool {
        let end = |r: &Range| r.slba.saturating_add(u64::from(r.blocks));
        self.nsid == other.nsid && self.slba < end(other) && other.slba < end(self)
    }
}

/// An extent that is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) nsid: u32,
    pub(crate) extent: u64,
    /// Its shard in force, and in the candidate.
    pub(crate) from: u32,
    pub(crate) to: u32,
}

/// Where blocks lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lies {
    /// Nothing of them is tried.
    Outside,
    /// Over several extents, of which one at least is tried.
    Across,
    In(Place),
}

struct Volume {
    blocks: u64,
    extent_blocks: u64,
    /// For each extent: its shard in force, in the candidate, whether it is tried.
    extents: Vec<(u32, u32, bool)>,
}

/// Both maps and the slice, drawn once, so that a request costs a look-up and no hash.
pub(crate) struct Places {
    volumes: BTreeMap<u32, Volume>,
    /// The candidate's shards.
    shards: BTreeSet<u32>,
}

impl Places {
    /// Of maps that were checked against each other.
    pub(crate) fn new(candidate: &Candidate, current: &[VolumeMap], salt: u64) -> Places {
        let volumes = candidate.volumes.iter().filter_map(|to| {
            let from = current.iter().find(|v| v.nsid == to.nsid)?;
            let shards = from.shards.iter().zip(&to.shards).enumerate();
            let extents = shards.map(|(extent, (&from, &to_shard))| {
                (from, to_shard, candidate.is_drawn(to.nsid, extent as u64, salt))
            });
            let extents = extents.collect();
            Some((to.nsid, Volume { blocks: to.blocks, extent_blocks: to.extent_blocks, extents }))
        });
        let shards = candidate.volumes.iter().flat_map(|volume| volume.shards.iter().copied()).collect();
        Places { volumes: volumes.collect(), shards }
    }

    /// Whether the candidate has this shard.
    pub(crate) fn has_shard(&self, shard: u32) -> bool {
        self.shards.contains(&shard)
    }

    /// An extent, if it is tried.
    pub(crate) fn place(&self, nsid: u32, extent: u64) -> Option<Place> {
        let volume = self.volumes.get(&nsid)?;
        let &(from, to, drawn) = volume.extents.get(usize::try_from(extent).ok()?)?;
        drawn.then_some(Place { nsid, extent, from, to })
    }

    /// The extents of blocks that are tried.
    pub(crate) fn places(&self, range: &Range) -> impl Iterator<Item = Place> {
        let bounds = self.volumes.get(&range.nsid).and_then(|volume| {
            let end = range.slba.checked_add(u64::from(range.blocks)).filter(|end| *end <= volume.blocks)?;
            (range.blocks > 0).then(|| (range.slba / volume.extent_blocks, (end - 1) / volume.extent_blocks))
        });
        let nsid = range.nsid;
        bounds.into_iter().flat_map(|(first, last)| first..=last).filter_map(move |e| self.place(nsid, e))
    }

    /// Where blocks lie. Those behind a volume's end lie outside.
    pub(crate) fn lies(&self, range: &Range) -> Lies {
        let Some(place) = self.places(range).next() else { return Lies::Outside };
        let extent_blocks = self.volumes.get(&range.nsid).map_or(1, |volume| volume.extent_blocks);
        let first = range.slba / extent_blocks;
        let last = (range.slba + u64::from(range.blocks) - 1) / extent_blocks;
        if first == last { Lies::In(place) } else { Lies::Across }
    }

    /// Whether all of these blocks are tried, so that writes to them are followed here.
    pub(crate) fn covers(&self, range: &Range) -> bool {
        matches!(self.lies(range), Lies::In(_))
    }

    /// All extents that are tried.
    pub(crate) fn all(&self) -> impl Iterator<Item = Place> {
        self.volumes.iter().flat_map(move |(&nsid, volume)| {
            (0..volume.extents.len() as u64).filter_map(move |extent| self.place(nsid, extent))
        })
    }
}
