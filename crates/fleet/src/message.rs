//! Membership messages between gateways.

use peer::PeerName;
use peer::wire;
use serde::{Deserialize, Serialize};

use crate::node_table::EncodedNode;
use crate::record::EncodedRecord;

/// The kind of a membership message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// Requests a [`MessageKind::Ack`].
    Ping,
    Ack,
    /// Asks the receiver to ping `subject` on behalf of the sender and to report an answer.
    PingRequest,
    /// Reports that `subject` answered an indirect ping.
    IndirectAck,
    /// Carries updates only.
    Gossip,
    /// Carries the digests of the sender's view. A receiver with other digests replies with its full view.
    Compare,
    /// One page of a full view. `wants_reply` on the first page requests the receiver's full view.
    Page,
}

impl MessageKind {
    const ALL: [MessageKind; 7] = [
        MessageKind::Ping,
        MessageKind::Ack,
        MessageKind::PingRequest,
        MessageKind::IndirectAck,
        MessageKind::Gossip,
        MessageKind::Compare,
        MessageKind::Page,
    ];
}

/// A message as it is encoded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Position of the kind in [`MessageKind::ALL`], counted from 1.
    #[serde(rename = "t")]
    pub(crate) kind: u8,
    #[serde(rename = "s")]
    pub(crate) site: u64,
    /// The sender's digest of its member table.
    #[serde(rename = "d", default)]
    pub(crate) digest: u64,
    #[serde(rename = "e", default)]
    pub(crate) node_digest: u64,
    /// Number that the sender gave a ping; the answer repeats it.
    #[serde(rename = "n", default)]
    pub(crate) number: i64,
    /// The member to ping, or the one that answered.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub(crate) subject: Option<PeerName>,
    /// The requester of an indirect ping with its ping number. The answer repeats both, so the helper keeps no state.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub(crate) requester: Option<(PeerName, i64)>,
    #[serde(rename = "b", default)]
    pub(crate) wants_reply: bool,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) members: Vec<EncodedRecord>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) nodes: Vec<EncodedNode>,
}

impl Message {
    pub(crate) fn new(kind: MessageKind) -> Message {
        let at = MessageKind::ALL.iter().position(|s| *s == kind).unwrap_or(0);
        Message { kind: at as u8 + 1, ..Message::default() }
    }

    /// The message kind; `None` for a kind of a later version.
    pub(crate) fn kind(&self) -> Option<MessageKind> {
        MessageKind::ALL.get(usize::from(self.kind).checked_sub(1)?).copied()
    }

    /// Decodes a message; `None` if the bytes are not one.
    pub(crate) fn read(body: &[u8]) -> Option<Message> {
        wire::decode(body)
    }
}

/// Builds a message up to a size limit.
pub(crate) struct MessageBuilder {
    pub(crate) message: Message,
    remaining: usize,
}

impl MessageBuilder {
    /// Bytes by which the encoded headers of both lists may grow.
    const LIST_HEADER_BYTES: usize = 16;

    pub(crate) fn new(message: Message, max_body: usize) -> MessageBuilder {
        let remaining =
            max_body.saturating_sub(wire::encode(&message).len() + MessageBuilder::LIST_HEADER_BYTES);
        MessageBuilder { message, remaining }
    }

    fn reserve<T: Serialize>(&mut self, item: &T) -> bool {
        let size = wire::encode(item).len();
        let fits = size <= self.remaining;
        if fits {
            self.remaining -= size;
        }
        fits
    }

    /// Adds a member's record; returns whether it fitted.
    pub(crate) fn add_member(&mut self, encoded: EncodedRecord) -> bool {
        // Only the first record, the receiver's own, is added ahead of the queue and may come up again.
        if self.message.members.first().is_some_and(|m| m.name == encoded.name) {
            return true;
        }
        let fits = self.reserve(&encoded);
        if fits {
            self.message.members.push(encoded);
        }
        fits
    }

    /// Adds a node; returns whether it fitted.
    pub(crate) fn add_node(&mut self, encoded: EncodedNode) -> bool {
        let fits = self.reserve(&encoded);
        if fits {
            self.message.nodes.push(encoded);
        }
        fits
    }

    pub(crate) fn body(&self) -> Vec<u8> {
        wire::encode(&self.message)
    }
}
