//! Measurements of whole processes over loopback: the program as it is released, its figures as the system tells them.
//!
//! What the program talks to is a stand-in of this module: nodes that answer at once, a discovery agent whose list is as long as asked
//! for, clients on one thread. Each takes the wire's own words. Every process is killed where its measurement ends, also in an error.

mod agent;
mod client;
mod fleet_rest;
pub mod gauge;
mod idle_clients;
mod journal;
mod node;
mod platform;
mod platform_list;
mod requests_core;
mod running;

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use http1::Limits;

use crate::{Ask, Measure, MeasureError, Role, Row};

/// All of them, by name.
pub const ALL: &[(&str, Measure)] = &[
    ("fleet_rest", fleet_rest::measure),
    ("platform_list", platform_list::measure),
    ("idle_clients", idle_clients::measure),
    ("requests_core", requests_core::measure),
    ("journal", journal::measure),
];

/// Nothing that is waited for takes so long; what does has failed.
const LONG: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// What the stand-ins take of a message.
const LIMITS: Limits = Limits { head: 16 << 10, body: 64 << 10, informational: 4 };

/// What was turned down, with the system's word for it.
fn io_error(what: &str) -> impl FnOnce(io::Error) -> MeasureError + use<> {
    let what = what.to_owned();
    move |error| MeasureError::Io(what, error)
}

/// Looks until something is there.
fn until<T>(
    what: &str,
    within: Duration,
    mut look: impl FnMut() -> Result<Option<T>, MeasureError>,
) -> Result<T, MeasureError> {
    let end = Instant::now() + within;
    loop {
        if let Some(found) = look()? {
            return Ok(found);
        }
        if Instant::now() >= end {
            return Err(MeasureError::Failed(format!("never within {within:?}: {what}")));
        }
        thread::sleep(LOOK);
    }
}

/// The sizes that are asked for.
fn sizes(ask: &Ask, all: &[usize]) -> Vec<usize> {
    let count = if ask.look { all.len().div_ceil(2) } else { all.len() };
    all[..count].to_vec()
}

/// A folder of one point's own.
fn folder(ask: &Ask, name: &str) -> Result<PathBuf, MeasureError> {
    let folder = ask.folder.join(name);
    std::fs::create_dir_all(&folder).map_err(io_error(&folder.display().to_string()))?;
    Ok(folder)
}

/// What the rows of one measurement have in common.
struct Sheet {
    role: Role,
    of: &'static str,
    at: f64,
    how: String,
}

impl Sheet {
    fn row(
        &self,
        name: &'static str,
        cost: &'static str,
        budget: Option<f64>,
        points: Vec<(f64, f64)>,
    ) -> Row {
        let Sheet { role, of, at, how } = self;
        Row { name, role: *role, of, cost, points, at: *at, budget, how: how.clone() }
    }
}
