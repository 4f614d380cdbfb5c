//! The thin shell of `peer`: sockets and threads for its connections, and the files that keep lives.
//!
//! A gateway's next life is on its disk before the first word is said in it, and what it sees of its peers' lives is on
//! the disk before it is told of. One plain thread owns the mesh; each connection has a reader and a writer, so that a peer that
//! takes nothing holds nobody up. None of it runs on the gateway's coroutines.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lane;
mod lives;
mod peers;

pub use lives::LifeError;
pub use peers::{PeerOptions, Peers, StartError};
