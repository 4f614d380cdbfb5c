//! One cap on repeats over all gateways, without I/O: sockets, clocks and the decision module are its user's.
//!
//! The rule is the fleet's. Over all gateways, in any window, the sends to a shard beyond the first for each request (further
//! attempts, clients' repeats at any gateway, copies in the shadow) are at most `free + share x served`; while a node of it recovers,
//! `recovering_share` and a quarter of `free`; the same with other figures over all shards together. It is judged from
//! the nodes' records. docs/fleet/cap.md states and derives the slack.
//!
//! - [`account::Account`]: rights with an expiry, which add up to the rule whoever is cut from whom.
//! - [`lending::Lending`]: rights lent between gateways: a lost note loses some, none ever doubles them.
//! - [`sketch::Sketch`]: which requests ended unserved of late, so that a repeat is known where it arrives.
//! - [`shard::Ward`]: a shard's state, and when repeats are held down.
//! - [`Cap`]: all of these for a gateway's shards, and what the decision module is allowed.
//!
//! What it is not: a limit on first sends, a choice of node, time or attempt for a request, a vote. A repeat that a foreign host
//! sends unmarked and under another key is not seen. Two processes that run under one name at one time have its even part twice, until
//! `peer` tells the older that its life is over.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
mod advice;
mod allowances;
mod cap;
mod course;
mod dealing;
mod exchange;
mod key;
pub mod lending;
mod look;
pub mod message;
mod options;
pub mod shard;
pub mod sketch;

pub use allowances::Allowances;
pub use cap::{Allowance, Cap, Input, Output};
pub use key::{key_of, key_of_host};
pub use look::{Counts, ShardLook};
pub use message::KIND;
pub use options::{CapOptions, OptionsError, Plant, RECOVERING_FREE, RESERVE, RIGHT, Terms, Trial, Way};
pub use shard::ShardState;

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;
