//! Nodes that the control plane drains, by its entries `node/NAME`.

use std::collections::{BTreeMap, BTreeSet};

use plane::{Entry, Key, Kind, Region};
use planelink::Followed;
use serde::Deserialize;

/// The part of a node's entry that concerns a gateway; later versions may contain more.
#[derive(Deserialize)]
struct NodeValue {
    /// Whether the node accepts work; an entry without it says nothing.
    #[serde(default)]
    state: Option<NodeOrder>,
}

/// Whether a node accepts work.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum NodeOrder {
    On,
    Draining,
}

/// The nodes drained by entries, each with the regions whose entries drain it. This follows from the entries
/// alone, so it is the same after a restart from disk.
#[derive(Default)]
pub(crate) struct DrainedNodes {
    by_node: BTreeMap<Box<str>, BTreeSet<Region>>,
    /// Entries whose value could not be read; only the first is logged.
    unreadable_values: u64,
}

impl DrainedNodes {
    /// The names of the drained nodes.
    pub(crate) fn nodes(&self) -> BTreeSet<String> {
        self.by_node.keys().map(|name| name.to_string()).collect()
    }

    /// Applies a change of the entries in force. Returns whether the set of drained nodes changed.
    pub(crate) fn apply(&mut self, followed: &Followed) -> bool {
        let (gone, entries) = match followed {
            Followed::Restored { entries, .. } | Followed::Changed { changed: entries, .. } => {
                (&[][..], entries)
            }
            Followed::Whole { entries, gone, .. } => (&gone[..], entries),
            Followed::Level(_) | Followed::TurnedAway { .. } => return false,
        };
        let mut changed = false;
        gone.iter().for_each(|entry| changed |= self.remove(&entry.key));
        entries.iter().for_each(|entry| changed |= self.apply_entry(entry));
        changed
    }

    /// Applies an entry, which may be a deletion. Returns whether the set of drained nodes changed.
    fn apply_entry(&mut self, entry: &Entry) -> bool {
        if entry.key.kind != Kind::Node {
            return false;
        }
        match &entry.value {
            Some(value) if self.is_draining(&entry.key, value) => {
                let regions = self.by_node.entry(entry.key.name.clone()).or_default();
                let is_first = regions.is_empty();
                regions.insert(entry.key.owner);
                is_first
            }
            _ => self.remove(&entry.key),
        }
    }

    fn remove(&mut self, key: &Key) -> bool {
        let Some(regions) = self.by_node.get_mut(&key.name).filter(|_| key.kind == Kind::Node) else {
            return false;
        };
        regions.remove(&key.owner);
        let is_last = regions.is_empty();
        if is_last {
            self.by_node.remove(&key.name);
        }
        is_last
    }

    /// Whether an entry drains its node. An unreadable value must neither drain a node nor hide from
    /// operators that it has no effect, so it drains nothing and is logged once.
    fn is_draining(&mut self, key: &Key, value: &[u8]) -> bool {
        match serde_json::from_slice::<NodeValue>(value) {
            Ok(node) => node.state == Some(NodeOrder::Draining),
            Err(error) => {
                self.unreadable_values += 1;
                if self.unreadable_values == 1 {
                    tracing::warn!(%key, %error, "cannot read a node's entry; it drains nothing");
                }
                false
            }
        }
    }
}
