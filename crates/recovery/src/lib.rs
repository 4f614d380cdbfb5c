//! Recovery of a gateway after a power loss. The crate does no I/O: the caller provides files, sockets and clocks.
//!
//! - [`Hand`]: the journal of in-flight writes. It records which writes may have run when the power failed; the keys they
//!   touch are closed to new writes until their outcome is settled.
//! - [`Recovery`]: the state machine from the first query to peers until the gateway serves everything. Every wait for
//!   peers is bounded: a gateway whose peers never return still serves within a configured time.
//! - [`Admission`]: admits requests while nodes are cold, highest worth first, and computes a retry delay for the rest.
//!
//! The table in docs/recovery.md says which state from before the power loss is trusted. Wall clock values are compared for
//! equality only, never for order. The crate does not choose a node, time or attempt for a request: the decision module
//! does, which sees the admitted requests and is informed of node starts, drains and node lists.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod hand;
mod machine;
mod model;
mod word;

pub use admission::{Admission, AdmissionOptions, Entry};
pub use hand::{Digest, Hand, HandError, InHand, Note, Place, Record};
pub use machine::Recovery;
pub use model::{Act, Closed, Fact, Outcome, Phase, Plant, RecoveryOptions, Shown, Unsettled};
pub use word::{NodeWord, Word};

/// Microseconds on the caller's monotonic clock.
pub type Micros = i64;
