//! The protocol between gateways, without sockets, threads or clocks: a [`Mesh`] takes the time and an input, and returns
//! the outputs to carry out.
//!
//! - A [`Life`] is one run of a gateway. Its incarnation rises at every start and is stored before the first message. A
//!   nonce distinguishes two lives that claim the same incarnation, as can happen after a disk was restored.
//! - Each pair has one connection, dialled by the gateway whose name sorts first; [`wire`] defines the frames.
//! - Every question has a deadline and exactly one outcome. A silent peer is reported as quiet, never as dead.
//! - Everything held for a peer is bounded: open questions in both directions, unwritten bytes, unfinished greetings.
//!
//! This is not a membership service, a vote or a decision. Bodies of questions and notes are opaque here, and nothing here
//! changes where a request is sent.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod channel;
mod life;
mod mesh;
mod session;
pub mod wire;

pub use life::{Incarnation, Life, Lives, Nonce, Sighting};
pub use mesh::{Conn, Input, Mesh, MeshOptions, NoAnswer, Output, PeerLook, QuestionId, Told};
pub use wire::{Kind, PeerName};

/// Microseconds on the caller's clock, which is monotonic.
pub type Micros = i64;
