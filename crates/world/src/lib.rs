//! A fleet of platform gateways against a small shared world in virtual time.
//!
//! The gateways are [`platform::Machine`], the very ones that run on sockets, several hundred of them in one process. The
//! world around them is small on purpose: storage nodes with few places and cold starts ([`emulator::Model`]), discovery
//! agents whose lists lag, clients spread unevenly, zones that fall silent. What each gateway does alone and what it adds
//! up to over the fleet is counted in a [`Tally`].
//!
//! It is not the bench, and it is calibrated against nothing: no figure here is a score. What it is for is what one gateway
//! cannot show: sums. One seed gives one world; processor time costs nothing in it, and only what discovery tells is cut into pieces.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent;
mod bounds;
mod client;
mod cold;
mod config;
mod learning;
mod node;
mod plant;
mod scenario;
mod tally;
mod timeline;
mod world;

pub use bounds::Bounds;
pub use plant::Plant;
pub use scenario::{Ill, Outage, Scenario, Trouble, Writing};
pub use tally::Tally;
pub use world::World;

/// Time in microseconds.
pub type Micros = i64;
