//! A candidate shard map, tried on a slice of real reads before an operator moves volumes to it. Without I/O.
//!
//! - A [`Candidate`] is a numbered map, checked against the one in force. Its slice is drawn by a hash, the same everywhere.
//! - Reads of the slice go, after their client has its answer, to the candidate's node too, once, under a rate of their own.
//!   Writes never run in the shadow; where they would go is counted on paper.
//! - A difference counts as one only if every gateway that may write has said, before the read and after the try, that it
//!   wrote nothing to these blocks in between, and only for the second time in an extent. All else is *raced* or *unknown*.
//! - Counts belong to one instance in one life of one gateway and only grow; merging them is a join. [`Verdict`] is their sum.
//!
//! What it is not: a move of data, a promotion of the candidate, or a choice of anything for a client's request.

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

/// The kind of this package's notes between gateways.
pub const KIND: peer::Kind = peer::Kind(4);

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;
