//! A drill of the control plane: control machines, gateways and those who ask for changes, in a net in virtual time.
//!
//! - A seed draws a [`Plan`]: how large the site is, what is asked for, and troubles: kills, disks that are put back or empty,
//!   lost links, cut regions, slow readers, bursts, disks that fail.
//! - [`play`] plays it, looks at every step for what must never be, then heals all and waits until all hold the same.
//! - Its tests plant mistakes in the plane, to see that the drill finds them.
//!
//! What it is not: a measurement. Its times are those of its own net, and its disks keep what they are told to keep.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drill;
mod ledger;
mod net;
mod plan;
mod process;
mod proposer;
mod store;

pub use drill::{Failure, Played, play, play_plan};
pub use plan::{Plan, Trouble};
