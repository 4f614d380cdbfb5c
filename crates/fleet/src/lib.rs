//! Fleet membership without I/O: each gateway maintains its own view, and views merge without a leader.
//!
//! Membership is neither a vote, a lock nor proof that a gateway is dead. Silence only says something about connections, so
//! no gateway may act in place of another because of it. docs/fleet/view.md lists the rules, their reasons and measurements.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counts;
mod detector;
mod fleet;
mod gossip_queue;
mod holding;
mod input;
mod member;
mod member_table;
mod merge;
mod message;
mod node_observation;
mod node_table;
mod options;
mod receive;
mod record;
mod send;
mod view;

pub use counts::Counts;
pub use fleet::Fleet;
pub use holding::{Holding, MOST_VOLUMES};
pub use input::{Input, Output};
pub use member::{Member, Presence, Standing};
pub use merge::{OfSelf, merge, of_self};
pub use node_observation::{NodeFact, NodeSight};
pub use options::{FleetOptions, Plant};
pub use peer::{Life, PeerName};
pub use record::{MOST_JUMP, MOST_NUMBER, MOST_WITNESSES, Record};
pub use view::View;

/// The `peer` message kind that carries membership.
pub const KIND: peer::Kind = peer::Kind(2);

/// Microseconds on the caller's clock, which is monotonic.
pub type Micros = i64;
