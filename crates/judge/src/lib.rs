//! The judge: holds what clients and nodes wrote down of the traffic that crossed their sockets against the seven
//! rules, by the terms that the operators stated.
//!
//! It shares no code with the decision module, the core or the gateway, and does not ask them anything. Where the
//! records cannot tell (an attempt lost before any node saw it, for one) it does not count a breach, so that every
//! breach it names is one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod day;
mod report;
mod rules;

pub use day::{Attempt, Command, Day, DayError, Life};
pub use report::{Finding, Report, RuleReport, judge};
