//! One cap on retries over all gateways of a fleet, without I/O: the caller provides sockets, clocks and
//! the scheduler.
//!
//! The limit applies to the fleet as a whole. Over all gateways, in any window, the attempts sent to a
//! shard beyond the first of each request (retries by a gateway, clients' repeats at any gateway, shadow
//! copies) are at most `free + share x served`. While a node of the shard recovers, `recovering_share`
//! and a quarter of `free` apply. The same limit with other values applies to all shards together.
//! Compliance is checked against the records of the nodes. docs/fleet/cap.md states the limit and
//! derives its slack.
//!
//! - [`account::Account`]: retry tokens with an expiry, whose sum obeys the limit whatever the network
//!   partitions.
//! - [`leases::LeaseBook`]: tokens leased between gateways: a lost message loses some, none adds any.
//! - [`sketch::RepeatSketch`]: which requests ended unserved recently, to recognize a repeat wherever it
//!   arrives.
//! - [`shard::ShardHealth`]: the state of a shard, which decides when retries are reduced.
//! - [`Cap`]: all of these for the shards of a gateway, and what the scheduler is allowed to send.
//!
//! Out of scope: limiting first attempts; choosing the node, time or attempt for a request; voting. A
//! repeat that a foreign host sends unmarked and under another key is not recognized. Two processes that
//! run under one name at the same time have its base tokens twice, until `peer` tells the older one that
//! its life is over.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
mod allowances;
mod cap;
mod events;
mod fleet_quota;
mod interface;
mod key;
pub mod leases;
pub mod message;
mod messaging;
mod options;
pub mod shard;
mod shard_cap;
pub mod sketch;
mod snapshot;

pub use allowances::Allowances;
pub use cap::Cap;
pub use interface::{Allowance, Input, Output, TokenReceipt};
pub use key::{host_request_key, request_key};
pub use message::KIND;
pub use options::{
    CapOptions, Durations, InjectedFault, ONE_TOKEN, OptionsError, Overrides, RECOVERING_FREE_PART,
    RESERVED_PART, TokenSource,
};
pub use shard::ShardState;
pub use snapshot::{Counts, ShardSnapshot};

/// Microseconds on the caller's clock, which never goes backwards.
pub type Micros = i64;
