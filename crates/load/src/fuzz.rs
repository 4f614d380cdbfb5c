//! A fuzzer for controllers: hosts that connect in order and then send odd, well-framed commands, beside a host
//! that is served throughout and reads back what it wrote.
//!
//! Bytes that are spoiled on the way rarely get past the decoder. These commands do: their framing is right, and
//! opcodes, descriptors, lengths, ranges, identifiers and data are drawn from the ends of their types as well as
//! from what is usual. [`PduGenerator`] and [`OddNode`] need no sockets; [`run`] plays the former over TCP.

mod flood_host;
mod generator;
mod odd_host;
mod odd_node;
mod run;
mod values;
mod witness;

pub use flood_host::FloodCounts;
pub use generator::{Delivery, PduGenerator, QueueKind, Scope, Step};
pub use odd_host::OddHostCounts;
pub use odd_node::OddNode;
pub use run::{FuzzError, FuzzOptions, FuzzReport, run};
pub use witness::{Violation, WitnessCounts};
