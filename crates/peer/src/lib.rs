//! What one gateway says to another, and what it makes of the other's silence. No sockets, threads or clocks: a
//! [`Mesh`] takes the time and what happened, and says what to do.
//!
//! - Each gateway lives several times: a [`Life`] is numbered by an incarnation that rises at every start and was stored
//!   before the first word. A nonce tells two lives apart that claim one number, as a disk that was put back would.
//! - One connection for each pair, dialled by the one whose name comes first; [`wire`] has its frames.
//! - Every question has a deadline and one outcome. A peer's silence is told as that and never as its death.
//! - All that is held for a peer is bounded: open questions either way, bytes on their way out, greetings.
//!
//! What it is not: a membership service, a vote, or a decision. What the bodies of questions and notes mean is their
//! users' affair; nothing here changes where a request goes.

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

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;
