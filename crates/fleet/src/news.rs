//! What is new and how often it is still to be passed on.

use std::collections::BTreeMap;

use peer::PeerName;

use crate::sights::Sighted;

/// Something that may be new.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Item {
    Member(PeerName),
    Node(Sighted),
}

/// Items with the sends that each still gets. There are no more of them than members, nodes and words.
pub(crate) struct News {
    left: BTreeMap<Item, u32>,
    sends: u32,
}

impl News {
    /// `sends`: how often a new item is passed on.
    pub(crate) fn new(sends: u32) -> News {
        News { left: BTreeMap::new(), sends }
    }

    pub(crate) fn add(&mut self, item: Item) {
        self.left.insert(item, self.sends);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Whether a member's record is still to be passed on.
    pub(crate) fn has_members(&self) -> bool {
        self.left.keys().any(|item| matches!(item, Item::Member(_)))
    }

    /// Items, those that were passed on least first.
    pub(crate) fn fresh(&self) -> Vec<Item> {
        let mut items: Vec<(&Item, u32)> = self.left.iter().map(|(item, left)| (item, *left)).collect();
        items.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        items.into_iter().map(|(item, _)| item.clone()).collect()
    }

    /// The item was passed on, or is no more.
    pub(crate) fn sent(&mut self, item: &Item, gone: bool) {
        if let Some(left) = self.left.get_mut(item) {
            *left -= 1;
            if *left == 0 || gone {
                self.left.remove(item);
            }
        }
    }
}
