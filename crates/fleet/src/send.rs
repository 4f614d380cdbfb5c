//! Building and sending of messages to peers.

use peer::PeerName;
use rand::seq::SliceRandom;

use crate::fleet::Fleet;
use crate::gossip_queue::GossipItem;
use crate::input::Output;
use crate::member::Standing;
use crate::message::{Message, MessageBuilder, MessageKind};
use crate::node_table::NodeUpdate;
use crate::record::EncodedRecord;

impl Fleet {
    /// Sends a message filled with as many queued updates as fit.
    pub(crate) fn send(&mut self, to: &PeerName, message: Message, out: &mut Vec<Output>) {
        let mut builder = self.start_message(message);
        // A suspected receiver gets its own record first in every message, so that it can refute.
        if let Some(record) = self.member_table.record(to)
            && (!record.witnesses().is_empty() || record.has_left())
        {
            builder.add_member(EncodedRecord::of(to, record));
        }
        for item in self.gossip_queue.least_sent_first() {
            match self.add_item(&mut builder, &item) {
                Some(true) => self.gossip_queue.record_send(&item, false),
                Some(false) => break,
                None => self.gossip_queue.record_send(&item, true),
            }
        }
        self.emit(to, &builder, out);
    }

    /// Adds an item; returns whether it fitted, or `None` if the item no longer exists.
    fn add_item(&self, builder: &mut MessageBuilder, item: &GossipItem) -> Option<bool> {
        Some(match item {
            GossipItem::Member(name) => {
                builder.add_member(EncodedRecord::of(name, self.member_table.record(name)?))
            }
            GossipItem::Node(NodeUpdate::Start(node)) => {
                let mut encoded = self.node_table.encode(self.now, node, None)?;
                encoded.clear_reports();
                builder.add_node(encoded)
            }
            GossipItem::Node(NodeUpdate::Report(node, by)) => {
                builder.add_node(self.node_table.encode(self.now, node, Some(by))?)
            }
        })
    }

    fn start_message(&self, message: Message) -> MessageBuilder {
        let message = Message {
            site: self.options.site,
            digest: self.member_table.digest(),
            node_digest: self.node_table.digest(),
            ..message
        };
        MessageBuilder::new(message, self.options.most_body)
    }

    fn emit(&mut self, to: &PeerName, builder: &MessageBuilder, out: &mut Vec<Output>) {
        let body = builder.body();
        self.counts.notes_out += 1;
        self.counts.bytes_out += body.len() as u64;
        out.push(Output::Send { to: to.clone(), body });
    }

    /// Sends queued updates to random peers.
    pub(crate) fn gossip(&mut self, out: &mut Vec<Output>) {
        if self.gossip_queue.is_empty() {
            return;
        }
        let mut offered =
            self.others(|s| matches!(s, Standing::Up | Standing::Suspected | Standing::Leaving));
        offered.shuffle(&mut self.rng);
        for to in offered.into_iter().take(self.options.fanout) {
            self.send(&to, Message::new(MessageKind::Gossip), out);
        }
    }

    /// Sends the full view in as many messages as necessary. With `wants_reply`, the first requests the receiver's view.
    pub(crate) fn send_full_view(&mut self, to: &PeerName, wants_reply: bool, out: &mut Vec<Output>) {
        if self.full_views_left == 0 {
            return;
        }
        self.full_views_left -= 1;
        let members = self.member_table.records().map(|(name, _)| GossipItem::Member(name.clone()));
        let items: Vec<GossipItem> =
            members.chain(self.node_table.all_updates().into_iter().map(GossipItem::Node)).collect();
        let mut builder = self.start_message(Message { wants_reply, ..Message::new(MessageKind::Page) });
        for item in items {
            if self.add_item(&mut builder, &item) == Some(false) {
                self.emit(to, &builder, out);
                builder = self.start_message(Message::new(MessageKind::Page));
                // Every item fits into an empty message, because the minimum limit exceeds the largest record.
                self.add_item(&mut builder, &item);
            }
        }
        self.emit(to, &builder, out);
    }
}
