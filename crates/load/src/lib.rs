//! Clients for tests, demonstrations and measurements: a host that speaks NVMe over TCP on plain threads, blocks
//! that carry their own proof, and clients that offer open-loop load and write down what crossed their sockets.
//!
//! It shares no code with the gateway but the protocol's state machines, and knows nothing of nodes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod block;
mod client;
pub mod fuzz;
mod host;

pub use block::{Found, fill, look};
pub use client::{Client, ClientOptions, Mix, Phase, Summary};
pub use host::{Answer, Host, HostError, HostOptions, Word, word};
