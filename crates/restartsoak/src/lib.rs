//! A soak of restarts: `crowbay platform` as a process on loopback, with stand-in clients, storage nodes and discovery, drawn by
//! a seed.
//!
//! - [`plan`]: what a seed draws: settings, lives, signals, troubles.
//! - [`split`]: what a seed of the other kind draws: nodes cut off and answers torn in the middle of a life, without restarts.
//! - [`play`]: plays a plan against the program and gives its [`records::Records`].
//! - [`check`]: holds the records against the rules of the platform. It shares no code with the program.
//!
//! What it is not: a measure of throughput, or a stand-in for the platform's own bench.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
mod client;
mod discovery;
mod error;
mod gateway;
mod http;
mod node;
pub mod plan;
pub mod play;
pub mod records;
mod settings;
pub mod split;
mod threads;
mod torn;
mod trouble;

pub use check::{Breach, check};
pub use error::SoakError;
pub use play::{Options, play};
