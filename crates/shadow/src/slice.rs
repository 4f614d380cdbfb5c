//! The slice: which extents get shadow reads, and their shards in both maps.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate::{Candidate, VolumeMap};
use crate::digest::number_of;

/// Whether a hash is in the lowest `fraction` of all hashes.
fn is_in_fraction(hash: u64, fraction: f64) -> bool {
    // A float holds 53 bits without rounding; a part of 1 selects all, a part of 0 none.
    ((hash >> 11) as f64) < fraction * (1u64 << 53) as f64
}

impl Candidate {
    /// Fraction of a volume's extents that are in the slice.
    pub fn part(&self, nsid: u32) -> f64 {
        self.parts.get(&nsid).copied().unwrap_or(self.slice)
    }

    /// Whether an extent is in the slice, by a hash of volume, extent and candidate number: the same at all gateways and in all
    /// their lives. With the same number, a larger part includes all extents of a smaller one.
    pub fn is_in_slice(&self, nsid: u32, extent: u64) -> bool {
        self.is_selected(nsid, extent, 0)
    }

    /// `salt` is 0 except for an injected fault.
    pub(crate) fn is_selected(&self, nsid: u32, extent: u64, salt: u64) -> bool {
        is_in_fraction(number_of(&[u64::from(nsid), extent, self.number ^ salt]), self.part(nsid))
    }
}

/// A range of blocks of a volume.
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

/// An extent of the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) nsid: u32,
    pub(crate) extent: u64,
    /// Its shard in the current map, and in the candidate.
    pub(crate) from: u32,
    pub(crate) to: u32,
}

/// Position of a range relative to the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Location {
    /// No extent of it is in the slice.
    Outside,
    /// It spans several extents, at least one of which is in the slice.
    Across,
    In(Place),
}

struct Volume {
    blocks: u64,
    extent_blocks: u64,
    /// For each extent: its shard in the current map, in the candidate, and whether it is in the slice.
    extents: Vec<(u32, u32, bool)>,
}

/// Both maps and the slice, computed once, so that a request costs a lookup and no hash.
pub(crate) struct SliceMap {
    volumes: BTreeMap<u32, Volume>,
    /// Shards of the candidate.
    shards: BTreeSet<u32>,
}

impl SliceMap {
    /// The maps must have been checked against each other.
    pub(crate) fn new(candidate: &Candidate, current: &[VolumeMap], salt: u64) -> SliceMap {
        let volumes = candidate.volumes.iter().filter_map(|to| {
            let from = current.iter().find(|v| v.nsid == to.nsid)?;
            let shards = from.shards.iter().zip(&to.shards).enumerate();
            let extents = shards.map(|(extent, (&from, &to_shard))| {
                (from, to_shard, candidate.is_selected(to.nsid, extent as u64, salt))
            });
            let extents = extents.collect();
            Some((to.nsid, Volume { blocks: to.blocks, extent_blocks: to.extent_blocks, extents }))
        });
        let shards = candidate.volumes.iter().flat_map(|volume| volume.shards.iter().copied()).collect();
        SliceMap { volumes: volumes.collect(), shards }
    }

    /// Whether the candidate has this shard.
    pub(crate) fn has_shard(&self, shard: u32) -> bool {
        self.shards.contains(&shard)
    }

    /// Returns an extent if it is in the slice.
    pub(crate) fn place(&self, nsid: u32, extent: u64) -> Option<Place> {
        let volume = self.volumes.get(&nsid)?;
        let &(from, to, selected) = volume.extents.get(usize::try_from(extent).ok()?)?;
        selected.then_some(Place { nsid, extent, from, to })
    }

    /// Extents of a range that are in the slice.
    pub(crate) fn places(&self, range: &Range) -> impl Iterator<Item = Place> {
        let bounds = self.volumes.get(&range.nsid).and_then(|volume| {
            let end = range.slba.checked_add(u64::from(range.blocks)).filter(|end| *end <= volume.blocks)?;
            (range.blocks > 0).then(|| (range.slba / volume.extent_blocks, (end - 1) / volume.extent_blocks))
        });
        let nsid = range.nsid;
        bounds.into_iter().flat_map(|(first, last)| first..=last).filter_map(move |e| self.place(nsid, e))
    }

    /// Position of a range relative to the slice; a range beyond the end of its volume is outside.
    pub(crate) fn locate(&self, range: &Range) -> Location {
        let Some(place) = self.places(range).next() else { return Location::Outside };
        let extent_blocks = self.volumes.get(&range.nsid).map_or(1, |volume| volume.extent_blocks);
        let first = range.slba / extent_blocks;
        let last = (range.slba + u64::from(range.blocks) - 1) / extent_blocks;
        if first == last { Location::In(place) } else { Location::Across }
    }

    /// Whether a range lies within one extent of the slice, so that writes to it are tracked.
    pub(crate) fn covers(&self, range: &Range) -> bool {
        matches!(self.locate(range), Location::In(_))
    }

    /// All extents of the slice.
    pub(crate) fn all(&self) -> impl Iterator<Item = Place> {
        self.volumes.iter().flat_map(move |(&nsid, volume)| {
            (0..volume.extents.len() as u64).filter_map(move |extent| self.place(nsid, extent))
        })
    }
}
