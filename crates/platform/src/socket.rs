//! Sockets by name, and what is to be done with them.

use std::net::SocketAddr;

use bytes::Bytes;

/// A connection. Those of clients are numbered by whoever accepts them, the rest by the machine; a number is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SocketId {
    /// A client's.
    Client(u64),
    /// One to a storage node.
    Node(u64),
    /// One to discovery.
    Discovery(u64),
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Something that was handed over was surely not written, or it never came up.
    Cut,
    /// The peer said that nothing more would come.
    Orderly,
    /// It broke: what the peer may still have sent is lost.
    Broken,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection.
    Connect(SocketId, SocketAddr),
    /// Write, at once as far as the socket takes it.
    Write(SocketId, Bytes),
    /// Write on a connection that stood idle, if nothing has come on it meanwhile, its end included; else close it, write
    /// nothing and say so by [`crate::Machine::stale`].
    Reuse(SocketId, Bytes),
    /// Nothing more will be written: say so to the peer once all is.
    Finish(SocketId),
    /// Nothing more is owed on it: say so to the peer, unless something has come that was not read. Whether it was done is told
    /// by [`crate::Machine::parted`].
    Part(SocketId),
    /// Close, unless something has come that was not read, or not all that was to be written has gone out. Whether it was done
    /// is told by [`crate::Machine::gave_way`].
    GiveWay(SocketId),
    /// Close if not all that was to be written has gone out, and report its end.
    Cut(SocketId),
    /// Close now. Its end is not reported.
    Close(SocketId),
    /// Read on.
    Resume(SocketId),
    /// Accept one more connection.
    Accept,
    /// Accept what has come so far, then stop listening.
    Unlisten,
}
