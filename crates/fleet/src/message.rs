//! Notes between gateways.

use peer::PeerName;
use peer::wire;
use serde::{Deserialize, Serialize};

use crate::record::Told;
use crate::sights::NodeTold;

/// What a note is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sort {
    /// Answer with [`Sort::Ack`].
    Ping,
    Ack,
    /// Ping `about` in place of the sender, which is told when it answers.
    Ask,
    /// `about` has answered.
    Reached,
    /// Something is new.
    Gossip,
    /// The digests of the whole view: whoever holds another one sends its view.
    Compare,
    /// A part of the whole view; `back` on its first part asks for the receiver's.
    Page,
}

impl Sort {
    const ALL: [Sort; 7] =
        [Sort::Ping, Sort::Ack, Sort::Ask, Sort::Reached, Sort::Gossip, Sort::Compare, Sort::Page];
}

/// One note as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Note {
    /// The sort: its place in [`Sort::ALL`], from 1.
    #[serde(rename = "t")]
    pub(crate) sort: u8,
    #[serde(rename = "s")]
    pub(crate) site: u64,
    /// The sender's digest of members, and of nodes.
    #[serde(rename = "d", default)]
    pub(crate) digest: u64,
    #[serde(rename = "e", default)]
    pub(crate) nodes_digest: u64,
    /// Of a ping: the sender's number for it, which its answer repeats.
    #[serde(rename = "n", default)]
    pub(crate) number: i64,
    /// Who is to be pinged, or was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub(crate) about: Option<PeerName>,
    /// For whom a ping is sent, with that one's number: its answer repeats it, so that the helper need not keep it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub(crate) helped: Option<(PeerName, i64)>,
    #[serde(rename = "b", default)]
    pub(crate) back: bool,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) members: Vec<Told>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) nodes: Vec<NodeTold>,
}

impl Note {
    pub(crate) fn new(sort: Sort) -> Note {
        let at = Sort::ALL.iter().position(|s| *s == sort).unwrap_or(0);
        Note { sort: at as u8 + 1, ..Note::default() }
    }

    /// What it is; none for a sort of a later version.
    pub(crate) fn sort(&self) -> Option<Sort> {
        Sort::ALL.get(usize::from(self.sort).checked_sub(1)?).copied()
    }

    /// Reads a note; none if it is not one.
    pub(crate) fn read(body: &[u8]) -> Option<Note> {
        wire::decode(body)
    }
}

/// A note that is filled up to a bound.
pub(crate) struct Filling {
    pub(crate) note: Note,
    room: usize,
}

impl Filling {
    /// Bytes that the heads of both lists may grow by.
    const LISTS: usize = 16;

    pub(crate) fn new(note: Note, most: usize) -> Filling {
        let room = most.saturating_sub(wire::encode(&note).len() + Filling::LISTS);
        Filling { note, room }
    }

    fn takes<T: Serialize>(&mut self, item: &T) -> bool {
        let size = wire::encode(item).len();
        let fits = size <= self.room;
        if fits {
            self.room -= size;
        }
        fits
    }

    /// Whether the record fitted in.
    pub(crate) fn member(&mut self, told: Told) -> bool {
        // Only the first, the receiver's own, is put in out of its turn.
        if self.note.members.first().is_some_and(|m| m.name == told.name) {
            return true;
        }
        let fits = self.takes(&told);
        if fits {
            self.note.members.push(told);
        }
        fits
    }

    /// Whether the node's fact fitted in.
    pub(crate) fn node(&mut self, told: NodeTold) -> bool {
        let fits = self.takes(&told);
        if fits {
            self.note.nodes.push(told);
        }
        fits
    }

    pub(crate) fn body(&self) -> Vec<u8> {
        wire::encode(&self.note)
    }
}
