//! Volumes, the placement of their extents on shards, and the classification of operations.

use std::collections::BTreeMap;

use decisions::{KeyId, Micros, Settings, ShardId};

use crate::operation::Opcode;

/// A volume: a range of blocks divided into extents of equal length, which are assigned to shards
/// round-robin.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Display name.
    pub name: String,
    /// Namespace identifier, from 1.
    pub nsid: u32,
    /// Size, in blocks.
    pub blocks: u64,
    /// Block size, in bytes.
    pub block_size: u32,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// Number of gateways through which its requests arrive.
    pub hosts: u32,
    /// Length of an extent, in blocks.
    pub extent_blocks: u64,
    /// Shards of the extents: extent n lies on `shards[n % shards.len()]`.
    pub shards: Vec<ShardId>,
}

/// Selects the operations of a class and sets how long their client waits. The first rule that matches
/// applies.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Display name of the class.
    pub name: String,
    /// Kind of operation.
    pub opcode: Opcode,
    /// Largest operation that the rule matches, in bytes; no limit if `None`.
    pub max_bytes: Option<u64>,
    /// Time that a client waits for an answer, in microseconds.
    pub timeout: Micros,
}

/// The part of an operation that lies on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Shard that the part lies on.
    pub shard: ShardId,
    /// First block.
    pub slba: u64,
    /// Number of blocks; 0 for a flush.
    pub blocks: u32,
}

/// Why a catalogue is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CatalogueError {
    /// No class accepts operations of every length.
    #[error("no class without a size limit accepts '{}' operations; add one", .0.name())]
    NoUnlimitedClass(Opcode),
    /// A volume refers to a plan that does not exist.
    #[error("volume '{0}' refers to a plan that does not exist")]
    UnknownPlan(String),
    /// A volume has no shards, no blocks or no extent length.
    #[error("volume '{0}' needs blocks, an extent length and at least one shard")]
    EmptyVolume(String),
    /// Two volumes have the same namespace identifier.
    #[error("two volumes have the namespace identifier {0}")]
    DuplicateNsid(u32),
    /// The numbers of class rules and classes differ.
    #[error("{rules} class rules for {classes} classes")]
    RuleCountMismatch {
        /// Number of class rules.
        rules: usize,
        /// Number of classes in the scheduler's settings.
        classes: usize,
    },
}

/// The core's configuration.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// Settings of the scheduler; `classes[i]` belongs to `rules[i]`.
    pub settings: Settings,
    /// Rules that assign operations to classes, tried in order.
    pub rules: Vec<ClassRule>,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    volumes: BTreeMap<u32, Volume>,
}

impl Catalogue {
    /// Creates a catalogue after checking that its parts are consistent.
    ///
    /// # Errors
    /// The first inconsistency found.
    pub fn new(
        settings: Settings,
        rules: Vec<ClassRule>,
        unit_bytes: u64,
        volumes: Vec<Volume>,
    ) -> Result<Self, CatalogueError> {
        if rules.len() != settings.classes.len() {
            return Err(CatalogueError::RuleCountMismatch {
                rules: rules.len(),
                classes: settings.classes.len(),
            });
        }
        for opcode in Opcode::ALL {
            if !rules.iter().any(|r| r.opcode == opcode && r.max_bytes.is_none()) {
                return Err(CatalogueError::NoUnlimitedClass(opcode));
            }
        }
        let mut by_nsid = BTreeMap::new();
        for volume in volumes {
            if volume.plan >= settings.plans.len() {
                return Err(CatalogueError::UnknownPlan(volume.name));
            }
            if volume.blocks == 0
                || volume.extent_blocks == 0
                || volume.shards.is_empty()
                || volume.block_size == 0
            {
                return Err(CatalogueError::EmptyVolume(volume.name));
            }
            let nsid = volume.nsid;
            if by_nsid.insert(nsid, volume).is_some() {
                return Err(CatalogueError::DuplicateNsid(nsid));
            }
        }
        Ok(Catalogue { settings, rules, unit_bytes: unit_bytes.max(1), volumes: by_nsid })
    }

    /// Returns the volumes in the order of their namespace identifiers.
    pub fn volumes(&self) -> impl Iterator<Item = &Volume> {
        self.volumes.values()
    }

    /// Returns the volume with a namespace identifier.
    pub fn volume(&self, nsid: u32) -> Option<&Volume> {
        self.volumes.get(&nsid)
    }

    /// Returns the index of an operation's class.
    pub fn class(&self, opcode: Opcode, bytes: u64) -> usize {
        let matches =
            |rule: &ClassRule| rule.opcode == opcode && rule.max_bytes.is_none_or(|limit| bytes <= limit);
        self.rules.iter().position(matches).unwrap_or(0)
    }

    /// Returns the size of a part in units: its bytes rounded up to whole units, at least one and at most the
    /// settings' `most_units`.
    pub fn units(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.unit_bytes).max(1) as f64).min(self.settings.max_request_units.max(1.0))
    }
}

impl Volume {
    /// Splits an operation into its parts, in the order of their blocks. A flush gets one part for each
    /// shard.
    pub fn parts(&self, slba: u64, blocks: u32) -> Vec<Part> {
        if blocks == 0 {
            let mut shards = self.shards.clone();
            shards.sort();
            shards.dedup();
            return shards.into_iter().map(|shard| Part { shard, slba: 0, blocks: 0 }).collect();
        }
        let (mut next_block, end) = (slba, slba + u64::from(blocks));
        let mut parts: Vec<Part> = Vec::new();
        while next_block < end {
            let extent = next_block / self.extent_blocks;
            let extent_end = (extent + 1).saturating_mul(self.extent_blocks).min(end);
            let shard = self.shards[(extent % self.shards.len() as u64) as usize];
            match parts.last_mut() {
                // Adjacent extents on the same shard are merged into one part.
                Some(last) if last.shard == shard => last.blocks += (extent_end - next_block) as u32,
                _ => parts.push(Part { shard, slba: next_block, blocks: (extent_end - next_block) as u32 }),
            }
            next_block = extent_end;
        }
        parts
    }

    /// Returns the key of a block: the namespace identifier above the low 40 bits of the block number.
    pub fn key(&self, slba: u64) -> KeyId {
        KeyId(u64::from(self.nsid) << 40 | slba & 0xff_ffff_ffff)
    }
}
