//! Messages to the engine, and the inbox that carries them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc as thread_mpsc;

use decisions::NodeId;
use may::sync::mpsc::Sender;
use nvme::{Admission, IoCommand};
use storage_core::{AttemptEnd, AttemptId};

use crate::connection::{Connection, ConnectionId};
use crate::status::{ControlAnswer, ControlRequest};

/// A message to the engine.
pub(crate) enum Message {
    Opened(Arc<Connection>),
    /// The client's handshake is complete: the connection is a queue of this host.
    Bound(ConnectionId, Admission, Arc<str>),
    /// Close a connection that did not complete its handshake, in favour of a newer one.
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
    AttemptEnded(AttemptId, AttemptEnd),
    /// The connection to this node can write: it is up, or its socket accepts data again.
    NodeWritable(NodeId),
    /// A deadline has been reached.
    Tick,
    /// The records of these writes are durable, or could not be made so.
    JournalSynced {
        sequences: Vec<u64>,
        error: Option<String>,
    },
    /// An event of the peer network.
    PeerEvent(peer::Told),
    /// The complete set of nodes that the control plane drains.
    DrainedNodes(BTreeSet<String>),
    /// Replace the candidate on trial, or end the trial.
    ReplaceCandidate(Option<Box<shadow::ShadowOptions>>),
    Control(ControlRequest, thread_mpsc::Sender<Result<ControlAnswer, String>>),
    /// Stop; answered once every accepted request is answered.
    Stop(thread_mpsc::Sender<()>),
}

/// The sender of messages to the engine. The number of messages queued is bounded by what the senders may
/// have in flight: the commands of each connection's queue, and the attempts of each node connection.
#[derive(Clone)]
pub(crate) struct Inbox(pub(crate) Sender<Message>);

impl Inbox {
    pub(crate) fn send(&self, message: Message) {
        // The engine ends last; messages after its end concern nobody.
        let _ = self.0.send(message);
    }
}
