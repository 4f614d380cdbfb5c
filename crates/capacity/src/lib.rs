//! Slopes: what a role holds, sends and computes for each gateway, node, shard, client connection, request or change, measured
//! at four sizes or more, fitted, and carried to the size that the users are heading for.
//!
//! - A [`Measure`] plays one question at several sizes and gives [`Row`]s of points.
//! - [`fit`] draws the line through them and says what it leaves over.
//! - [`report`] writes JSON, a table and a chart.
//! - [`coming`] is the size that the users are heading for.
//!
//! What it is not: a benchmark of one figure, or a model. A row that was not measured is not in it, and one that is calculated from
//! settings says so.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod coming;
pub mod fit;
pub mod parts;
pub mod processes;
pub mod report;
mod row;

pub use row::{Ask, Measure, MeasureError, Role, Row};
