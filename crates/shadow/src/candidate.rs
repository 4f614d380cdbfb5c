//! Shard maps: which shard holds which extent of a volume, and a candidate for the next one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::number_of;

/// The extents of one volume and the shards that hold them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeMap {
    /// The volume.
    pub nsid: u32,
    /// Its size in blocks.
    pub blocks: u64,
    /// Size of an extent in blocks; the last one may be cut short by the end of the volume.
    pub extent_blocks: u64,
    /// The shard of each extent, in order.
    pub shards: Vec<u32>,
}

impl VolumeMap {
    /// How many extents its blocks make.
    pub fn extents(&self) -> u64 {
        self.blocks.div_ceil(self.extent_blocks.max(1))
    }
}

/// A shard map that is tried beside the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its number, from 1: another map has another number, and draws another slice.
    pub number: u64,
    /// Which part of the extents is tried, 0 to 1.
    pub slice: f64,
    /// The same for single volumes, in place of `slice`.
    pub parts: BTreeMap<u32, f64>,
    /// The map, whole: each volume of the one in force, once.
    pub volumes: Vec<VolumeMap>,
}

/// Why a candidate is not tried.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CandidateError {
    /// Its number is 0, which stands for none.
    #[error("a candidate's number is 0; give it one from 1, another than any map before it had")]
    Number,
    /// The part of the whole is no part.
    #[error("the slice is {0}; give a part from 0 to 1")]
    Slice(f64),
    /// The part of a volume is no part.
    #[error("the part of volume {nsid} is {part}; give one from 0 to 1")]
    Part {
        /// The volume.
        nsid: u32,
        /// What was given.
        part: f64,
    },
    /// A part is given for a volume that the candidate does not have.
    #[error("a part is given for volume {0}, which the candidate does not have; leave it out")]
    PartOfNone(u32),
    /// A volume is there twice: its extents overlap.
    #[error("volume {0} is there twice, so that its extents overlap; leave one out")]
    Twice(u32),
    /// A volume of the map in force is left out.
    #[error("volume {0} of the map in force is left out, with all its extents; add it")]
    VolumeLeftOut(u32),
    /// A volume that is not in the map in force.
    #[error("volume {0} is not in the map in force; leave it out")]
    VolumeUnknown(u32),
    /// A volume without size, or extents without one.
    #[error("volume {nsid} has {blocks} blocks in extents of {extent_blocks}; give both a size")]
    Empty {
        /// The volume.
        nsid: u32,
        /// Its blocks.
        blocks: u64,
        /// Blocks of an extent.
        extent_blocks: u64,
    },
    /// Volume or extents have another size than in the map in force.
    #[error(
        "volume {nsid} has {blocks} blocks in extents of {extent_blocks}, but {current_blocks} in extents of \
         {current_extent} in the map in force; sizes cannot be changed by a candidate"
    )]
    Size {
        /// The volume.
        nsid: u32,
        /// Blocks in the candidate.
        blocks: u64,
        /// Blocks of an extent in the candidate.
        extent_blocks: u64,
        /// Blocks in force.
        current_blocks: u64,
        /// Blocks of an extent in force.
        current_extent: u64,
    },
    /// Extents have no shard.
    #[error("volume {nsid}: extent {extent} is left out; name its shard ({have} of {need} are named)")]
    ExtentLeftOut {
        /// The volume.
        nsid: u32,
        /// The first extent without a shard.
        extent: u64,
        /// Shards that are named.
        have: u64,
        /// Extents that there are.
        need: u64,
    },
    /// More shards than extents: two would overlap, or lie behind the end.
    #[error(
        "volume {nsid}: {have} shards are named for {need} extents, the first too many is that of {need}"
    )]
    ExtentOver {
        /// The volume.
        nsid: u32,
        /// Shards that are named.
        have: u64,
        /// Extents that there are.
        need: u64,
    },
    /// A shard has no nodes.
    #[error(
        "volume {nsid}: extent {extent} lies on shard {shard}, which has no node; name another or add one"
    )]
    NoNode {
        /// The volume.
        nsid: u32,
        /// The extent.
        extent: u64,
        /// The shard.
        shard: u32,
    },
}

fn is_part(part: f64) -> bool {
    (0.0..=1.0).contains(&part)
}

impl Candidate {
    /// Checks it against the map in force and the shards that have nodes.
    ///
    /// # Errors
    /// The first thing that does not fit, with its volume, extent and shard.
    pub fn check(&self, current: &[VolumeMap], shards: &BTreeSet<u32>) -> Result<(), CandidateError> {
        if self.number == 0 {
            return Err(CandidateError::Number);
        }
        if !is_part(self.slice) {
            return Err(CandidateError::Slice(self.slice));
        }
        if let Some((&nsid, &part)) = self.parts.iter().find(|(_, part)| !is_part(**part)) {
            return Err(CandidateError::Part { nsid, part });
        }
        let mut seen = BTreeSet::new();
        for volume in &self.volumes {
            if !seen.insert(volume.nsid) {
                return Err(CandidateError::Twice(volume.nsid));
            }
            let Some(in_force) = current.iter().find(|v| v.nsid == volume.nsid) else {
                return Err(CandidateError::VolumeUnknown(volume.nsid));
            };
            volume.check(in_force, shards)?;
        }
        if let Some(volume) = current.iter().find(|v| !seen.contains(&v.nsid)) {
            return Err(CandidateError::VolumeLeftOut(volume.nsid));
        }
        match self.parts.keys().find(|nsid| !seen.contains(nsid)) {
            Some(nsid) => Err(CandidateError::PartOfNone(*nsid)),
            None => Ok(()),
        }
    }

    /// Equal at gateways that hold the same candidate, in all its parts; in whatever order the volumes stand.
    pub fn digest(&self) -> u64 {
        let mut words = vec![self.number, self.slice.to_bits(), self.parts.len() as u64];
        words.extend(self.parts.iter().flat_map(|(nsid, part)| [u64::from(*nsid), part.to_bits()]));
        let mut volumes: Vec<&VolumeMap> = self.volumes.iter().collect();
        volumes.sort_by_key(|volume| volume.nsid);
        for volume in volumes {
            words.extend([u64::from(volume.nsid), volume.blocks, volume.extent_blocks]);
            words.push(volume.shards.len() as u64);
            words.extend(volume.shards.iter().map(|shard| u64::from(*shard)));
        }
        number_of(&words)
    }
}

impl VolumeMap {
    fn check(&self, in_force: &VolumeMap, shards: &BTreeSet<u32>) -> Result<(), CandidateError> {
        let VolumeMap { nsid, blocks, extent_blocks, .. } = *self;
        if blocks == 0 || extent_blocks == 0 {
            return Err(CandidateError::Empty { nsid, blocks, extent_blocks });
        }
        if (blocks, extent_blocks) != (in_force.blocks, in_force.extent_blocks) {
            let (current_blocks, current_extent) = (in_force.blocks, in_force.extent_blocks);
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
