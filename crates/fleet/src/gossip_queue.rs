//! Queue of updates that are still to be gossiped.

use std::collections::BTreeMap;

use peer::PeerName;

use crate::node_table::NodeUpdate;

/// Identifies a record or node update to gossip.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GossipItem {
    Member(PeerName),
    Node(NodeUpdate),
}

/// Items with their remaining sends. Bounded by the number of members, nodes and node reports.
pub(crate) struct GossipQueue {
    remaining_sends: BTreeMap<GossipItem, u32>,
    sends_per_item: u32,
}

impl GossipQueue {
    /// `sends_per_item`: how many messages carry each new item.
    pub(crate) fn new(sends_per_item: u32) -> GossipQueue {
        GossipQueue { remaining_sends: BTreeMap::new(), sends_per_item }
    }

    pub(crate) fn add(&mut self, item: GossipItem) {
        self.remaining_sends.insert(item, self.sends_per_item);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.remaining_sends.is_empty()
    }

    /// Whether any member's record is queued.
    pub(crate) fn has_members(&self) -> bool {
        self.remaining_sends.keys().any(|item| matches!(item, GossipItem::Member(_)))
    }

    /// Items ordered by remaining sends, the least sent first.
    pub(crate) fn least_sent_first(&self) -> Vec<GossipItem> {
        let mut items: Vec<(&GossipItem, u32)> =
            self.remaining_sends.iter().map(|(item, remaining_sends)| (item, *remaining_sends)).collect();
        items.sort_by_key(|(_, remaining_sends)| std::cmp::Reverse(*remaining_sends));
        items.into_iter().map(|(item, _)| item.clone()).collect()
    }

    /// Records that the item was sent, or drops it if it is `gone`.
    pub(crate) fn record_send(&mut self, item: &GossipItem, gone: bool) {
        if let Some(remaining_sends) = self.remaining_sends.get_mut(item) {
            *remaining_sends -= 1;
            if *remaining_sends == 0 || gone {
                self.remaining_sends.remove(item);
            }
        }
    }
}
