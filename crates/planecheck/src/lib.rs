//! The checker of the control plane: holds what writers and holders wrote down against what has to be true of it.
//!
//! - Every entry in force was written by its owner's writer, with that key, stamp and content.
//! - A holder only goes forward: its cursors within a life and from a life to the next, and each key's stamp over all its lives.
//! - Two holders at the same place hold the same, and as many entries as a replay of the writers' logs gives.
//! - Who has come to a region's end has missed nothing on the way.
//! - A writer gives each version once, without gaps, and none after a later life of it has begun.
//!
//! It reads a folder of records ([`check_folder`]) or takes facts one by one ([`Checker`]), so that a net in virtual time
//! can be held against the same. It tells how long changes took to come into force.
//!
//! It shares no code with the plane and asks no process anything. Where records cannot tell (a line that a kill kept from the
//! file, for one) it does not count a break, so that every break it names is one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker;
mod fact;
mod folder;
mod history;
mod holder;
mod latencies;
mod lost;
mod names;
mod note;
mod verdict;

pub use checker::{Checker, check};
pub use fact::{Cursor, Fact, Sum};
pub use folder::{NOTES, ReadError, check_folder};
pub use latencies::{Latencies, Summary};
pub use note::{Note, Options};
pub use verdict::{Break, BreakKind, Unreached, Verdict};

/// Microseconds since the Unix epoch, or a span.
pub type Micros = i64;
