//! Site and day files.
//!
//! A site file says what a site has: classes, plans, volumes, gateways, nodes, and the rules' figures. A day file adds
//! clients and troubles. [`Site::load`] reads and checks one as a whole and tells every problem with line and key;
//! [`Site`]'s other methods say what it means to each part of the program. Nothing here decides about requests.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assemble;
mod check;
mod control;
mod day;
mod fleet;
mod lines;
mod process;
mod schema;
mod site;
mod terms;
mod volume;

pub use check::{LoadError, Problem};
pub use schema::*;
