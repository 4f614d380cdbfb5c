//! Socket ids, and the operations that the machine requests on sockets.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::node_request::NodeRequest;

/// Id of a connection. Client connections are numbered by the caller that accepts them, the others by the
/// machine; numbers aren't reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SocketId {
    /// A client's connection.
    Client(u64),
    /// A connection to a storage node.
    Node(u64),
    /// A connection to discovery.
    Discovery(u64),
}

/// Id of a connection to anyone but a storage node: the machine writes on it without a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NonNodeSocket {
    /// A client's connection.
    Client(u64),
    /// A connection to discovery.
    Discovery(u64),
}

impl From<NonNodeSocket> for SocketId {
    fn from(socket: NonNodeSocket) -> SocketId {
        match socket {
            NonNodeSocket::Client(id) => SocketId::Client(id),
            NonNodeSocket::Discovery(id) => SocketId::Discovery(id),
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection was never established, or it was closed or broke with output that was certainly not
    /// sent in full.
    Cut,
    /// The peer closed its side in an orderly way.
    Orderly,
    /// The connection broke; data that the peer had sent may be lost.
    Broken,
}

/// An operation to be performed, in the order of output.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection to an address.
    Connect(SocketId, SocketAddr),
    /// Write bytes, immediately as far as the socket accepts them.
    Write(NonNodeSocket, Bytes),
    /// Write the request of an attempt, immediately as far as the socket accepts it.
    WriteAttempt(NodeRequest),
    /// Shut down the writing side once all output is written.
    ShutdownWrite(SocketId),
    /// Shut down the writing side unless input is unread. The result is reported by
    /// [`crate::Machine::shutdown_write_result`].
    ShutdownWriteIfNoInput(SocketId),
    /// Close unless input is unread or output is pending. The result is reported by
    /// [`crate::Machine::close_result`].
    CloseIfIdle(SocketId),
    /// Close if output is pending, and report the connection's end.
    CloseIfUnsent(SocketId),
    /// Close at once, without reporting the connection's end.
    Close(SocketId),
    /// Resume reading: once, at most this many bytes.
    ResumeReading(SocketId, usize),
    /// Accept one more connection.
    Accept,
    /// Accept the connections already queued, then stop listening.
    StopListening,
}
