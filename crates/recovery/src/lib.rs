//! How a gateway comes back after its power went, without I/O: files, sockets and clocks are its user's.
//!
//! - [`Hand`]: the journal of work in hand. Which writes may have run when the power went is known from it, and the keys
//!   they touch stay closed to new writes until that is settled.
//! - [`Recovery`]: the state machine from the first word to peers until all is open. Every wait in it is bounded: a gateway
//!   whose peers never return serves within a stated time.
//! - [`Admission`]: what is open yet while nodes are cold, dearest first, and true advice for the rest.
//!
//! What is read from before the cut is trusted as the table in docs/recovery.md says. Wall clocks are compared for sameness
//! only, never for order. What it is not: a choice of node, time or attempt for a request; that stays the module's, which sees
//! what is let through and learns starts, drains and lists as facts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod hand;
mod machine;
mod word;

pub use admission::{Admission, AdmissionOptions, Entry};
pub use hand::{Digest, Hand, HandError, InHand, Note, Place, Record};
pub use machine::{Act, Closed, Fact, Outcome, Phase, Plant, Recovery, RecoveryOptions, Shown, Unsettled};
pub use word::{NodeWord, Word};

/// Microseconds on the caller's clock, which only ever goes forward.
pub type Micros = i64;
