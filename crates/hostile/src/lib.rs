//! Hostile load on a gateway that speaks the platform's HTTP/1.1: clients that flood, stop half way or leave,
//! beside sound clients with one request at a time, which must be served throughout.
//!
//! All that is drawn comes from a seed. The load runs against any address and knows nothing of the gateway
//! under test; what a storage node must not have seen is for its caller to check, by [`Departure`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bodies;
mod connection;
mod flood;
mod leaving;
mod request;
mod run;
mod sound;

pub use leaving::Departure;
pub use request::Target;
pub use run::{HostileError, Options, Report, run};
pub use sound::SoundCounts;

/// What the hostile clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// Stop within a body of 65,000 bytes, its last 1 to 33,000 bytes missing.
    OpenBodies,
    /// Send such bodies in steps of 4,000 bytes.
    SlowBodies,
    /// Send heads of very many short fields and never end them.
    OpenHeads,
    /// Take turns among the three kinds before.
    Mixed,
    /// Write 64 requests without id and time at once, over and over, and read the answers.
    Unsound,
    /// The same with readiness checks.
    Ready,
    /// The same with classes that nobody knows, ever new ones.
    Classes,
    /// Write 64 valid reads with 1 ms of time at once and, once all are answered, the next.
    Reads,
    /// The same, each of a volume of its own.
    Volumes,
    /// Write 100 valid reads at once and read none of the answers, until the peer ends the connection.
    Unread,
    /// Write 4 to 60 valid requests at once and close with the answers unread, beside one flood of [`Kind::Unsound`].
    Leaving,
}
