//! Shadow reads: tests a candidate shard map with a sample of real reads before an operator moves volumes to it. The crate
//! does no I/O.
//!
//! - A [`Candidate`] is a numbered map, checked against the current one. Its sample of extents (the slice) is selected by a
//!   hash, so all gateways select the same one.
//! - After the client has its answer, a read of the slice is sent once to the candidate's node too, under a separate rate
//!   limit. Writes are never sent; only where they would go is counted.
//! - Different data counts as a difference only if every gateway that may write has confirmed, with a tick from before the
//!   read and an answer after the shadow read, that it wrote nothing to these blocks in between, and only from the second
//!   time in an extent. All other cases count as *raced* or *unknown*.
//! - Counters belong to one instance in one life of one gateway and only grow, so merging them is a join. [`Verdict`] is
//!   their sum.
//!
//! The crate does not move data, promote the candidate or influence a client's request.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod candidate;
mod counts;
mod digest;
mod exchange;
mod gossip;
mod held;
#[cfg(test)]
mod laws;
mod merge;
mod message;
mod options;
mod peers;
mod shadow;
mod slice;
mod tries;
mod verdict;
mod writes;

pub use candidate::{Candidate, CandidateError, VolumeMap};
pub use counts::{Doubt, Lost, Paper, Why};
pub use digest::Digest;
pub use exchange::{Input, Output};
pub use options::{MOST_EXAMPLES, Plant, ShadowOptions};
pub use shadow::Shadow;
pub use tries::{Tried, TryId};
pub use verdict::{Enough, Example, ExtentLook, Lack, Quantiles, Results, ShardLook, Verdict, Ways};

/// Message kind of this package between gateways.
pub const KIND: peer::Kind = peer::Kind(4);

/// Microseconds on the caller's monotonic clock.
pub type Micros = i64;
