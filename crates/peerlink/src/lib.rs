//! I/O layer of `peer`: sockets, threads and the files that store lives.
//!
//! A gateway's next life is stored on disk before the first message is sent in it, and the lives seen of its peers are
//! stored before users are notified of them. One OS thread owns the mesh. Each connection has a reader and a writer thread,
//! so that a peer that reads nothing blocks nobody else. None of this runs on the gateway's coroutines.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lane;
mod lives;
mod peers;

pub use lives::LifeError;
pub use peers::{PeerOptions, Peers, StartError};
