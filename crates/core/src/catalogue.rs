//! Volumes, their extents on shards, and the classes that operations fall into.

use std::collections::BTreeMap;

use decisions::{KeyId, Micros, Settings, ShardId};

use crate::operation::Opcode;

/// A volume: a range of blocks cut into extents of one length, dealt to shards in turn.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Its name, for people.
    pub name: String,
    /// Namespace identifier, from 1.
    pub nsid: u32,
    /// Size, in blocks.
    pub blocks: u64,
    /// Block size, in bytes.
    pub block_size: u32,
    /// Index of its plan.
    pub plan: usize,
    /// Gateways through which its requests come.
    pub hosts: u32,
    /// Length of an extent, in blocks.
    pub extent_blocks: u64,
    /// Shards of the extents: extent n lies on `shards[n % shards.len()]`.
    pub shards: Vec<ShardId>,
}

/// Which operations fall into a class, and how long their client waits. Rules are tried in order.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Name of the class, for people.
    pub name: String,
    /// What the operations do.
    pub opcode: Opcode,
    /// The most bytes of one, if there is such a limit.
    pub max_bytes: Option<u64>,
    /// How long a client waits, in microseconds.
    pub patience: Micros,
}

/// A piece of an operation that lies on one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Where it lies.
    pub shard: ShardId,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for a flush.
    pub blocks: u32,
}

/// What does not fit together in a catalogue.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CatalogueError {
    /// No class takes an operation of any length.
    #[error("no class without a largest size takes '{}'; add one", .0.word())]
    NoClass(Opcode),
    /// A volume names a plan that is not there.
    #[error("volume '{0}' names a plan that is not there")]
    NoPlan(String),
    /// A volume without shards, blocks or extents.
    #[error("volume '{0}' needs blocks, an extent length and at least one shard")]
    EmptyVolume(String),
    /// Two volumes with one identifier.
    #[error("two volumes have the namespace identifier {0}")]
    SameNsid(u32),
    /// Rules and classes differ in number.
    #[error("{rules} class rules for {classes} classes")]
    Uneven {
        /// Rules.
        rules: usize,
        /// Classes in the module's settings.
        classes: usize,
    },
}

/// All that the core is told at its start.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// The module's settings; `classes` run parallel to `rules`.
    pub settings: Settings,
    /// How operations fall into classes.
    pub rules: Vec<ClassRule>,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    volumes: BTreeMap<u32, Volume>,
}

impl Catalogue {
    /// A catalogue whose parts fit together.
    ///
    /// # Errors
    /// The first thing that does not fit.
    pub fn new(
        settings: Settings,
        rules: Vec<ClassRule>,
        unit_bytes: u64,
        volumes: Vec<Volume>,
    ) -> Result<Self, CatalogueError> {
        if rules.len() != settings.classes.len() {
            return Err(CatalogueError::Uneven { rules: rules.len(), classes: settings.classes.len() });
        }
        for opcode in Opcode::ALL {
            if !rules.iter().any(|r| r.opcode == opcode && r.max_bytes.is_none()) {
                return Err(CatalogueError::NoClass(opcode));
            }
        }
        let mut by_nsid = BTreeMap::new();
        for v in volumes {
            if v.plan >= settings.plans.len() {
                return Err(CatalogueError::NoPlan(v.name));
            }
            if v.blocks == 0 || v.extent_blocks == 0 || v.shards.is_empty() || v.block_size == 0 {
                return Err(CatalogueError::EmptyVolume(v.name));
            }
            let nsid = v.nsid;
            if by_nsid.insert(nsid, v).is_some() {
                return Err(CatalogueError::SameNsid(nsid));
            }
        }
        Ok(Catalogue { settings, rules, unit_bytes: unit_bytes.max(1), volumes: by_nsid })
    }

    /// The volumes, by namespace identifier.
    pub fn volumes(&self) -> impl Iterator<Item = &Volume> {
        self.volumes.values()
    }

    /// The volume with an identifier.
    pub fn volume(&self, nsid: u32) -> Option<&Volume> {
        self.volumes.get(&nsid)
    }

    /// The class of an operation.
    pub fn class(&self, opcode: Opcode, bytes: u64) -> usize {
        let fits = |r: &ClassRule| r.opcode == opcode && r.max_bytes.is_none_or(|most| bytes <= most);
        self.rules.iter().position(fits).unwrap_or(0)
    }

    /// Units of an operation's part: its bytes in whole units, at least one, at most the settings' largest.
    pub fn units(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.unit_bytes).max(1) as f64).min(self.settings.max_request_units.max(1.0))
    }
}

impl Volume {
    /// The pieces of an operation, in the order of their blocks. A flush goes to every shard once.
    pub fn parts(&self, slba: u64, blocks: u32) -> Vec<Part> {
        if blocks == 0 {
            let mut shards = self.shards.clone();
            shards.sort();
            shards.dedup();
            return shards.into_iter().map(|shard| Part { shard, slba: 0, blocks: 0 }).collect();
        }
        let (mut at, end) = (slba, slba + u64::from(blocks));
        let mut parts: Vec<Part> = Vec::new();
        while at < end {
            let extent = at / self.extent_blocks;
            let next = ((extent + 1) * self.extent_blocks).min(end);
            let shard = self.shards[(extent % self.shards.len() as u64) as usize];
            match parts.last_mut() {
                // Neighbouring extents of one shard need no cut.
                Some(last) if last.shard == shard => last.blocks += (next - at) as u32,
                _ => parts.push(Part { shard, slba: at, blocks: (next - at) as u32 }),
            }
            at = next;
        }
        parts
    }

    /// The key of a block.
    pub fn key(&self, slba: u64) -> KeyId {
        KeyId(u64::from(self.nsid) << 40 | slba & 0xff_ffff_ffff)
    }
}
