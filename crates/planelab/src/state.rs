//! The state that days work on: which entries there are, who owns them, and what they say.

use std::collections::BTreeMap;

use plane::{Change, Kind, Region};
use serde_bytes::ByteBuf;

use crate::options::Size;

/// An entry's key within its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) region: u16,
    pub(crate) kind: Kind,
    pub(crate) name: String,
}

impl Item {
    /// A change that gives it another value of some 40 bytes. `word` is what it says, `draw` makes it another one.
    pub(crate) fn put(&self, word: &str, draw: u64) -> Change {
        // What a node says is where it listens; of the others only the length matters.
        let [a, b, c, ..] = (draw ^ (draw >> 32)).to_le_bytes();
        let value = match self.kind {
            Kind::Node => format!("10.{a}.{b}.{c}:4420 {word} {draw:016x}"),
            _ => format!("{word} of {} is {draw:016x}", self.name),
        };
        self.change(Some(value))
    }

    /// A change that takes it away.
    pub(crate) fn delete(&self) -> Change {
        self.change(None)
    }

    fn change(&self, value: Option<String>) -> Change {
        Change {
            owner: Region(self.region),
            kind: self.kind,
            name: self.name.as_str().into(),
            value: value.map(|value| ByteBuf::from(value.into_bytes())),
        }
    }
}

/// The name of a gateway, counted from 0.
pub(crate) fn gateway(number: usize) -> String {
    format!("g{:04}", number + 1)
}

/// The region of a process of gateways, counted from 0.
pub(crate) fn region_of(process: usize, size: &Size) -> u16 {
    (process * size.machines.len() / size.processes) as u16 + 1
}

/// All entries, by region: nodes first, then shards, members, and the others.
#[derive(Debug)]
pub(crate) struct State {
    regions: BTreeMap<u16, Vec<Item>>,
}

impl State {
    /// Each kind evenly over the regions; a gateway's is its own.
    pub(crate) fn new(size: &Size) -> State {
        let mut regions: BTreeMap<u16, Vec<Item>> =
            size.regions().map(|region| (region, Vec::new())).collect();
        let kinds = [
            (Kind::Node, "n", size.nodes),
            (Kind::Shard, "s", size.shards),
            (Kind::Member, "g", size.members()),
            (Kind::Volume, "v", size.volumes),
            (Kind::Plan, "p", size.plans),
            (Kind::Limit, "l", size.limits),
            (Kind::Extents, "e", size.extents),
        ];
        for (kind, letter, count) in kinds {
            for number in 0..count {
                let (region, name) = match kind {
                    Kind::Member => (region_of(number / size.gateways, size), gateway(number)),
                    _ => ((number % size.machines.len()) as u16 + 1, format!("{letter}{:05}", number + 1)),
                };
                let item = Item { region, kind, name };
                regions.entry(region).or_default().push(item);
            }
        }
        State { regions }
    }

    /// Those of a region.
    pub(crate) fn of(&self, region: u16) -> &[Item] {
        self.regions.get(&region).map_or(&[], Vec::as_slice)
    }

    /// The first ones of a kind in a region.
    pub(crate) fn first(&self, region: u16, kind: Kind, count: usize) -> Vec<Item> {
        self.of(region).iter().filter(|item| item.kind == kind).take(count).cloned().collect()
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.regions.values().map(Vec::len).sum()
    }
}
