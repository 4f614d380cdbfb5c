//! The appliance's decisions, without I/O: what an operator's intents mean, and when processes are started, stopped
//! and given up.
//!
//! [`Intents`] is the state that the operators have asked for; every change to it is an [`Entry`] that is stored before it
//! counts, and replaying the entries gives the state again. [`Orders`] is what follows for the gateways: a node list and
//! the volumes held. [`Supervision`] decides about processes. Nothing here chooses anything about a request: a drain
//! becomes a line of the node list, which the decision module follows as any other.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod intents;
mod orders;
mod supervision;

pub use intents::{
    Change, Entry, Facts, Intents, Mark, NodeFact, Note, Request, RequestId, Revision, Verdict, VolumeFact,
};
pub use orders::{Listed, Orders, Source, State, orders};
pub use supervision::{Act, Happening, Kind, Limits, Phase, ProcessView, Supervision};

/// Time in microseconds since the Unix epoch, or a span.
pub type Micros = i64;
