//! Shard maps, which assign the extents of volumes to shards, and the candidate for the next map.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::number_of;

/// The shards of one volume's extents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeMap {
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// Size of the volume in blocks.
    pub blocks: u64,
    /// Size of an extent in blocks; the last extent may be shorter.
    pub extent_blocks: u64,
    /// The shard of each extent, in order.
    pub shards: Vec<u32>,
}

impl VolumeMap {
    /// Number of extents of the volume.
    pub fn extents(&self) -> u64 {
        self.blocks.div_ceil(self.extent_blocks.max(1))
    }
}

/// A shard map that is tested beside the current one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Number of the candidate, from 1. Each map has its own number, which also determines the slice.
    pub number: u64,
    /// Fraction of the extents in the slice, 0 to 1.
    pub slice: f64,
    /// Fractions of single volumes, which override `slice`.
    pub parts: BTreeMap<u32, f64>,
    /// The complete map: each volume of the current one exactly once.
    pub volumes: Vec<VolumeMap>,
}

/// Why a candidate is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CandidateError {
    /// Its number is 0, which means no candidate.
    #[error("a candidate's number is 0; give it one from 1, another than any map before it had")]
    Number,
    /// The slice is not between 0 and 1.
    #[error("the slice is {0}; give a part from 0 to 1")]
    Slice(f64),
    /// The part of a volume is not between 0 and 1.
    #[error("the part of volume {nsid} is {part}; give one from 0 to 1")]
    Part {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// The given value.
        part: f64,
    },
    /// A part is given for a volume that the candidate does not have.
    #[error("a part is given for volume {0}, which the candidate does not have; leave it out")]
    PartOfNone(u32),
    /// A volume is listed twice, so its extents overlap.
    #[error("volume {0} is there twice, so that its extents overlap; leave one out")]
    Twice(u32),
    /// A volume of the current map is missing.
    #[error("volume {0} of the map in force is left out, with all its extents; add it")]
    VolumeLeftOut(u32),
    /// A volume is not in the current map.
    #[error("volume {0} is not in the map in force; leave it out")]
    VolumeUnknown(u32),
    /// The size of a volume or of its extents is 0.
    #[error("volume {nsid} has {blocks} blocks in extents of {extent_blocks}; give both a size")]
    Empty {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// Blocks of the volume.
        blocks: u64,
        /// Blocks of an extent.
        extent_blocks: u64,
    },
    /// The size of a volume or of its extents differs from the current map.
    #[error(
        "volume {nsid} has {blocks} blocks in extents of {extent_blocks}, but {current_blocks} in extents of \
         {current_extent} in the map in force; sizes cannot be changed by a candidate"
    )]
    Size {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// Blocks in the candidate.
        blocks: u64,
        /// Blocks of an extent in the candidate.
        extent_blocks: u64,
        /// Blocks in the current map.
        current_blocks: u64,
        /// Blocks of an extent in the current map.
        current_extent: u64,
    },
    /// Extents without a shard.
    #[error("volume {nsid}: extent {extent} is left out; name its shard ({have} of {need} are named)")]
    ExtentLeftOut {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// The first extent without a shard.
        extent: u64,
        /// Number of listed shards.
        have: u64,
        /// Number of extents.
        need: u64,
    },
    /// More shards than extents: some extents would overlap, or lie beyond the end of the volume.
    #[error(
        "volume {nsid}: {have} shards are named for {need} extents, the first too many is that of {need}"
    )]
    ExtentOver {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// Number of listed shards.
        have: u64,
        /// Number of extents.
        need: u64,
    },
    /// A shard has no nodes.
    #[error(
        "volume {nsid}: extent {extent} lies on shard {shard}, which has no node; name another or add one"
    )]
    NoNode {
        /// Namespace identifier of the volume.
        nsid: u32,
        /// The extent.
        extent: u64,
        /// The shard.
        shard: u32,
    },
}

fn is_fraction(part: f64) -> bool {
    (0.0..=1.0).contains(&part)
}

impl Candidate {
    /// Checks the candidate against the current map and the shards that have nodes.
    ///
    /// # Errors
    /// The first mismatch, with its volume, extent and shard.
    pub fn check(&self, current: &[VolumeMap], shards: &BTreeSet<u32>) -> Result<(), CandidateError> {
        if self.number == 0 {
            return Err(CandidateError::Number);
        }
        if !is_fraction(self.slice) {
            return Err(CandidateError::Slice(self.slice));
        }
        if let Some((&nsid, &part)) = self.parts.iter().find(|(_, part)| !is_fraction(**part)) {
            return Err(CandidateError::Part { nsid, part });
        }
        let mut seen = BTreeSet::new();
        for volume in &self.volumes {
            if !seen.insert(volume.nsid) {
                return Err(CandidateError::Twice(volume.nsid));
            }
            let Some(current_volume) = current.iter().find(|v| v.nsid == volume.nsid) else {
                return Err(CandidateError::VolumeUnknown(volume.nsid));
            };
            volume.check(current_volume, shards)?;
        }
        if let Some(volume) = current.iter().find(|v| !seen.contains(&v.nsid)) {
            return Err(CandidateError::VolumeLeftOut(volume.nsid));
        }
        match self.parts.keys().find(|nsid| !seen.contains(nsid)) {
            Some(nsid) => Err(CandidateError::PartOfNone(*nsid)),
            None => Ok(()),
        }
    }

    /// Digest of all fields; it does not depend on the order of the volumes.
    pub fn digest(&self) -> u64 {
        let mut numbers = vec![self.number, self.slice.to_bits(), self.parts.len() as u64];
        numbers.extend(self.parts.iter().flat_map(|(nsid, part)| [u64::from(*nsid), part.to_bits()]));
        let mut volumes: Vec<&VolumeMap> = self.volumes.iter().collect();
        volumes.sort_by_key(|volume| volume.nsid);
        for volume in volumes {
            numbers.extend([u64::from(volume.nsid), volume.blocks, volume.extent_blocks]);
            numbers.push(volume.shards.len() as u64);
            numbers.extend(volume.shards.iter().map(|shard| u64::from(*shard)));
        }
        number_of(&numbers)
    }
}

impl VolumeMap {
    fn check(&self, current_volume: &VolumeMap, shards: &BTreeSet<u32>) -> Result<(), CandidateError> {
        let VolumeMap { nsid, blocks, extent_blocks, .. } = *self;
        if blocks == 0 || extent_blocks == 0 {
            return Err(CandidateError::Empty { nsid, blocks, extent_blocks });
        }
        if (blocks, extent_blocks) != (current_volume.blocks, current_volume.extent_blocks) {
            let (current_blocks, current_extent) = (current_volume.blocks, current_volume.extent_blocks);
            return Err(CandidateError::Size { nsid, blocks, extent_blocks, current_blocks, current_extent });
        }
        let (have, need) = (self.shards.len() as u64, self.extents());
        if have < need {
            return Err(CandidateError::ExtentLeftOut { nsid, extent: have, have, need });
        }
        if have > need {
            return Err(CandidateError::ExtentOver { nsid, have, need });
        }
        match self.shards.iter().enumerate().find(|(_, shard)| !shards.contains(shard)) {
            Some((extent, &shard)) => Err(CandidateError::NoNode { nsid, extent: extent as u64, shard }),
            None => Ok(()),
        }
    }
}
