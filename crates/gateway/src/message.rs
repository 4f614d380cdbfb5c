//! What reaches the engine, and the way to it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc as thread_mpsc;

use may::sync::mpsc::Sender;
use nvme::{Admission, IoCommand};
use storage_core::{AttemptId, End};

use crate::connection::{Connection, ConnectionId};
use crate::status::{ControlAnswer, ControlRequest};

/// What reaches the engine.
pub(crate) enum Message {
    Opened(Arc<Connection>),
    /// It completed its way up, as a queue of this host's.
    Bound(ConnectionId, Admission, Arc<str>),
    /// It gives way to another: it never completed its way up.
    Evict(ConnectionId),
    Command(ConnectionId, IoCommand),
    Abort {
        connection: ConnectionId,
        cid: u16,
        sqid: u16,
        victim: u16,
    },
    Closed(ConnectionId),
    AssociationEnded(u16),
    Ended(AttemptId, End),
    /// Something is due.
    Tick,
    /// Records of writes in hand are durable, or could not be made so.
    Kept {
        seqs: Vec<u64>,
        error: Option<String>,
    },
    /// What a peer said or did.
    Peer(peer::Told),
    /// Nodes that the control plane drains, and no others.
    Drains(BTreeSet<String>),
    /// Another candidate is to be tried, or none.
    Candidate(Option<Box<shadow::ShadowOptions>>),
    Control(ControlRequest, thread_mpsc::Sender<Result<ControlAnswer, String>>),
    /// Stop; told once everything is answered.
    Stop(thread_mpsc::Sender<()>),
}

/// The way to the engine. What it holds is bounded by what its senders may have out: the commands of each
/// connection's queue, and the attempts of each link's.
#[derive(Clone)]
pub(crate) struct Inbox(pub(crate) Sender<Message>);

impl Inbox {
    pub(crate) fn send(&self, message: Message) {
        // The engine ends last; what comes after it concerns nobody.
        let _ = self.0.send(message);
    }
}
