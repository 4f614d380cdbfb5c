//! The appliance's decision logic: operator intents, the orders derived from them, and process supervision. The crate does
//! no I/O.
//!
//! [`Intents`] is the state that operators have requested. Every change is an [`Entry`] that is stored before it takes
//! effect; replaying the entries restores the state. [`Orders`] are derived from the intents for the gateways: a node list
//! and the volumes on hold. [`Supervision`] decides when processes are started, stopped and killed. Nothing here decides
//! about client requests: a drain becomes an entry of the node list, which the decision module handles like any other.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod intents;
mod model;
mod orders;
mod supervision;

pub use intents::Intents;
pub use model::{
    Change, Entry, Facts, Mark, NodeFact, Note, Request, RequestId, Revision, Verdict, VolumeFact,
};
pub use orders::{Listed, Orders, Source, State, orders};
pub use supervision::{Act, Happening, Kind, Limits, Phase, ProcessView, Supervision};

/// A time in microseconds since the Unix epoch, or a duration in microseconds.
pub type Micros = i64;
