//! Days of the control plane: real machine processes, processes of many gateways without a data path, changes at the writers,
//! kills, and what all of that cost.
//!
//! [`play`] writes a site file, proposes the base state, starts the gateways on empty disks and plays the days it was asked for,
//! each under spans whose processor time, bytes and memory are read from the processes. At the end the records are held against
//! `planecheck`, which also tells how long changes took. Every wait is for a condition, with a deadline that says what was
//! missing.
//!
//! What it is not: a judge. It knows what it did to the processes and notes that beside the records; what follows from the
//! records is the checker's.
//!
//! Times are read from status lines that come each half second, so they are that coarse; latencies of changes are not, they
//! come from the records.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod board;
mod child;
mod cost;
mod days;
mod error;
mod line;
mod options;
mod play;
mod report;
mod site;
mod span;
mod stage;
mod state;
mod traffic;
mod writer;

pub use error::DayError;
pub use options::{Day, DayOptions, Size};
pub use play::play;
pub use report::{Cost, Measure, Report, Row};
pub use site::site_file;
