//! Entries: what the state is made of, who owns them, and which of two is the later one.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// A region, by its number in the site file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Region(pub u16);

/// One life of a region's writer. It rises at each start, durably, before anything is written in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// A change of a region, counted from 1 over all its epochs without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// When an entry was written: a later epoch goes before any version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The writer's life.
    pub epoch: Epoch,
    /// The change.
    pub version: Version,
}

/// Up to where a region's changes are held: all changes up to this one, and none behind it. The least one holds nothing.
pub type Cursor = Stamp;

/// What an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A gateway of the fleet.
    Member,
    /// A storage node.
    Node,
    /// A shard and its primary.
    Shard,
    /// A volume.
    Volume,
    /// A plan.
    Plan,
    /// A limit.
    Limit,
    /// A volume's map of extents.
    Extents,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 7] =
        [Kind::Member, Kind::Node, Kind::Shard, Kind::Volume, Kind::Plan, Kind::Limit, Kind::Extents];

    /// Its number on the wire.
    pub fn number(self) -> u8 {
        match self {
            Kind::Member => 1,
            Kind::Node => 2,
            Kind::Shard => 3,
            Kind::Volume => 4,
            Kind::Plan => 5,
            Kind::Limit => 6,
            Kind::Extents => 7,
        }
    }

    /// The kind with this number.
    pub fn of(number: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// Its word in files and orders.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Member => "member",
            Kind::Node => "node",
            Kind::Shard => "shard",
            Kind::Volume => "volume",
            Kind::Plan => "plan",
            Kind::Limit => "limit",
            Kind::Extents => "extents",
        }
    }
}

/// What an entry is known by. The owner is part of it, so that two regions never write one key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The region whose writer alone changes it.
    pub owner: Region,
    /// What it is about.
    pub kind: Kind,
    /// Its name within region and kind.
    pub name: Box<str>,
}

impl Key {
    /// A key.
    pub fn new(owner: Region, kind: Kind, name: &str) -> Key {
        Key { owner, kind, name: name.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.owner.0, self.kind.word(), self.name)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch.0, self.version.0)
    }
}

/// One keyed value at one version. It never changes; a change is another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What it is known by.
    pub key: Key,
    /// When it was written.
    pub stamp: Stamp,
    /// What it says; none if the key was deleted then.
    pub value: Option<Box<[u8]>>,
}

impl Entry {
    /// A part of its region's digest.
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Bytes it holds on the heap and in itself.
    pub fn size(&self) -> usize {
        size_of::<Entry>() + self.key.name.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}
