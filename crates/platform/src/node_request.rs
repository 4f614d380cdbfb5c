//! The request of an attempt, as it is written to a storage node.

use bytes::Bytes;
use dispatch::WritePermit;

use crate::admission::AdmittedRequest;
use crate::machine::MIN_SHARED_BODY;
use crate::socket::SocketId;

/// The request of an attempt that may be written to its node now.
///
/// It is made of a [`WritePermit`] alone, and [`Output`](crate::Output) has no other way to write on a
/// connection to a node.
#[derive(Debug, PartialEq, Eq)]
pub struct NodeRequest {
    connection: u64,
    only_if_idle: bool,
    head: Bytes,
    body: Option<Bytes>,
}

impl NodeRequest {
    /// Encodes a request for the node's address `host`, with the time that the permit leaves. `only_if_idle`:
    /// the connection was used before and may have been closed by its node.
    pub(crate) fn new(
        permit: WritePermit,
        admitted: &AdmittedRequest,
        host: &str,
        connection: u64,
        only_if_idle: bool,
    ) -> Self {
        let time_left = permit.time_left();
        let (head, body) = if admitted.body.len() < MIN_SHARED_BODY {
            (admitted.forward(host, time_left), None)
        } else {
            (admitted.forward_head(host, time_left), Some(admitted.body.clone()))
        };
        NodeRequest { connection, only_if_idle, head, body }
    }

    /// Returns the connection to write it on.
    pub fn socket(&self) -> SocketId {
        SocketId::Node(self.connection)
    }

    /// Whether it may be written only if no data and no end has arrived on the connection meanwhile. Otherwise
    /// the connection is closed, nothing is written and that is reported by
    /// [`Machine::idle_write_rejected`](crate::Machine::idle_write_rejected).
    pub fn is_only_if_idle(&self) -> bool {
        self.only_if_idle
    }

    /// Returns the bytes to write, in order.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        std::iter::once(&self.head).chain(&self.body)
    }
}
