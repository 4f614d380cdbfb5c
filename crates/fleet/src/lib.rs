//! Which gateways are there, without I/O: each holds a view of its own, and views merge without a leader.
//!
//! What it is not: a vote, a lock, or a proof that somebody is dead. A silence is a fact about links; nobody may act in
//! another's place because of it. docs/fleet/view.md has the rules, their reasons and the figures.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counts;
mod detector;
mod fleet;
mod hearing;
mod holding;
mod input;
mod member;
mod merge;
mod message;
mod news;
mod options;
mod record;
mod roll;
mod sight;
mod sights;
mod speech;
mod view;

pub use counts::Counts;
pub use fleet::Fleet;
pub use holding::{Holding, MOST_VOLUMES};
pub use input::{Input, Output};
pub use member::{Member, Presence, Standing};
pub use merge::{OfSelf, merge, of_self};
pub use options::{FleetOptions, Plant};
pub use peer::{Life, PeerName};
pub use record::{MOST_JUMP, MOST_NUMBER, MOST_WITNESSES, Record};
pub use sight::{NodeFact, NodeSight};
pub use view::View;

/// The kind of `peer`'s notes that carry the view.
pub const KIND: peer::Kind = peer::Kind(2);

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;
