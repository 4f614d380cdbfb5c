//! The days.

mod base;
mod burst;
mod machines;
mod ordinary;
mod restart;
mod short;
mod stuck;

pub(crate) use base::base;
pub(crate) use burst::burst;
pub(crate) use machines::machines;
pub(crate) use ordinary::ordinary;
pub(crate) use restart::restart;
pub(crate) use short::short;
pub(crate) use stuck::stuck;

use crate::error::DayError;
use crate::span::Span;
use crate::stage::Stage;

/// The greatest and the middle one of some times.
fn worst_and_median(mut times: Vec<f64>) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or(0.0);
    (times.last().copied().unwrap_or(0.0), median)
}

/// Adds how long processes of gateways took from their starts until all of them were ready, and level.
fn measure_starts(stage: &Stage<'_>, span: &mut Span) {
    let (ready, ready_median) = worst_and_median(stage.times(|slot| slot.ready));
    let (level, level_median) = worst_and_median(stage.times(|slot| slot.level));
    span.measure("ready, last process from its start", ready, "s");
    span.measure("ready, median process from its start", ready_median, "s");
    span.measure("level, last process from its start", level, "s");
    span.measure("level, median process from its start", level_median, "s");
}

/// Waits until all are level, and adds how long after a moment that was.
fn measure_level(stage: &Stage<'_>, span: &mut Span, since: f64) -> Result<(), DayError> {
    stage.until_level()?;
    span.measure("all level again after", span.seconds() - since, "s");
    Ok(())
}
