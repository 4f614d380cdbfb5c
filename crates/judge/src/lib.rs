//! The judge: holds what clients and nodes wrote down of the traffic that crossed their sockets against the seven
//! rules and the properties of the fleet, by the terms that the operators stated.
//!
//! It shares no code with the decision module, the core, the gateway or what gateways say to each other, and does not ask them anything. Where the
//! records cannot tell (an attempt lost before any node saw it, for one) it does not count a breach, so that every
//! breach it names is one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cap;
mod day;
mod gather;
mod pauses;
mod read;
mod report;
mod rules;
mod view;

pub use day::{Attempt, Command, Day, Life};
pub use gather::Records;
pub use read::DayError;
pub use report::{Finding, Report, RuleReport, judge};
