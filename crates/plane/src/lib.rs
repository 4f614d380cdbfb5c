//! Control plane: how the state that gateways are steered by reaches them, and what they hold of it. Without I/O.
//!
//! - State is keyed [`Entry`]s. Each key has an owner region, whose one writer gives every change the next [`Version`] in its
//!   [`Epoch`]; a later start of the writer is a later epoch.
//! - A [`Copy`] is what a gateway or a control machine holds. It only goes forward, whomever it hears: per region it has a
//!   [`Cursor`], and takes what follows it or nothing. Silence changes nothing; a machine that knows less changes nothing.
//! - A [`Feed`] serves copies: to each what changed behind its cursor, each key once, at its latest version. What waits for a
//!   slow reader is its cursor and nothing else. A whole snapshot goes only to whom the deletions it missed are forgotten.
//! - A [`Machine`] is a control machine: a copy, its index by version, the feed, uplinks to other machines, and in one machine of
//!   each region the [`Writer`].
//! - A [`Subscription`] is a gateway's link to the plane: which machine, when again, when another.
//!
//! What it is not: agreement. One writer is configured for each region; when it is away its region's state stands still, and
//! everybody serves on with what they have. It decides nothing about requests.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod copy;
mod digest;
mod entry;
mod epochs;
mod feed;
mod index;
mod io;
mod machine;
mod message;
mod planted;
mod pool;
mod snapshot;
mod subscription;
mod table;
mod writer;

pub use copy::{Bounds, Copy, Refusal, Taken};
pub use digest::Digest;
pub use entry::{Cursor, Entry, Epoch, Key, Kind, Region, Stamp, Version};
pub use epochs::Epochs;
pub use feed::{Feed, FeedOptions};
pub use io::{Conn, Counts, Input, Output};
pub use machine::{Machine, MachineOptions, Place};
pub use message::{Change, Message, Proposal, ProposalError, Proposed, WireEntry};
#[cfg(feature = "planted")]
pub use planted::{Plant, plant};
pub use pool::Pool;
pub use subscription::{Subscription, SubscriptionOptions, order};
pub use table::Table;
pub use writer::Writer;

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;

/// Notes and questions of the plane among the frames of `peer`.
pub const KIND: peer::Kind = peer::Kind(5);
