//! Nodes that the control plane drains, by its entries `node/NAME`.

use std::collections::{BTreeMap, BTreeSet};

use plane::{Entry, Key, Kind, Region};
use planelink::Followed;
use serde::Deserialize;

/// What an entry says of a node, as far as it concerns a gateway; later versions may say more.
#[derive(Deserialize)]
struct NodeValue {
    /// Whether the node takes work; nothing is meant without it.
    #[serde(default)]
    state: Option<NodeOrder>,
}

/// Whether a node takes work.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum NodeOrder {
    On,
    Draining,
}

/// Nodes that entries drain, each with the regions that say so. It follows from the entries alone, so that it is the same after
/// a start from the disk.
#[derive(Default)]
pub(crate) struct Drains {
    by_node: BTreeMap<Box<str>, BTreeSet<Region>>,
    /// Values that could not be read; of the first it is told.
    unread: u64,
}

impl Drains {
    /// The nodes, by name.
    pub(crate) fn nodes(&self) -> BTreeSet<String> {
        self.by_node.keys().map(|name| name.to_string()).collect()
    }

    /// Takes what is in force; whether other nodes drain now.
    pub(crate) fn take(&mut self, followed: &Followed) -> bool {
        let (gone, entries) = match followed {
            Followed::Restored { entries, .. } | Followed::Changed { changed: entries, .. } => {
                (&[][..], entries)
            }
            Followed::Whole { entries, gone, .. } => (&gone[..], entries),
            Followed::Level(_) | Followed::TurnedAway { .. } => return false,
        };
        let mut others = false;
        gone.iter().for_each(|entry| others |= self.forget(&entry.key));
        entries.iter().for_each(|entry| others |= self.put(entry));
        others
    }

    /// Takes an entry, a deletion among them; whether another node or none drains now.
    fn put(&mut self, entry: &Entry) -> bool {
        if entry.key.kind != Kind::Node {
            return false;
        }
        match &entry.value {
            Some(value) if self.drains(&entry.key, value) => {
                let regions = self.by_node.entry(entry.key.name.clone()).or_default();
                let first = regions.is_empty();
                regions.insert(entry.key.owner);
                first
            }
            _ => self.forget(&entry.key),
        }
    }

    fn forget(&mut self, key: &Key) -> bool {
        let Some(regions) = self.by_node.get_mut(&key.name).filter(|_| key.kind == Kind::Node) else {
            return false;
        };
        regions.remove(&key.owner);
        let none = regions.is_empty();
        if none {
            self.by_node.remove(&key.name);
        }
        none
    }

    /// Danger: a value that nobody here can read would drain a node, or hide from operators that it does not. Harm: none; it drains
    /// nothing, and the log says so once.
    fn drains(&mut self, key: &Key, value: &[u8]) -> bool {
        match serde_json::from_slice::<NodeValue>(value) {
            Ok(said) => said.state == Some(NodeOrder::Draining),
            Err(error) => {
                self.unread += 1;
                if self.unread == 1 {
                    tracing::warn!(%key, %error, "an entry of a node cannot be read, and drains nothing");
                }
                false
            }
        }
    }
}
