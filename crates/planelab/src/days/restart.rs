//! All gateways are killed and come back.

use std::time::{Duration, Instant};

use planecheck::Note;

use super::{measure_level, measure_starts};
use crate::error::DayError;
use crate::stage::Stage;

/// All gateways are killed and come back evenly over a while, under usual changes; then once more with no machine there.
pub(crate) fn restart(stage: &mut Stage<'_>) -> Result<(), DayError> {
    let mut span = stage.begin("restart")?;
    let traffic = stage.traffic()?;
    let from = stage.now();
    let all = stage.all_hollows();
    stage.kill_hollows(&all);
    come_back(stage, stage.options.spread)?;
    let since = span.seconds();
    stage.until_ready()?;
    measure_level(stage, &mut span, since)?;
    measure_starts(stage, &mut span);
    stage.note(&Note::Apart { from, to: stage.now(), holder: None })?;
    traffic.stop()?;
    stage.until_level()?;
    stage.end(span)?;

    let mut span = stage.begin("restart-alone")?;
    let from = stage.now();
    stage.kill_machines(&stage.all_machines());
    stage.kill_hollows(&all);
    // Nobody is there who could be crowded.
    come_back(stage, stage.options.spread / 6)?;
    stage.until_ready()?;
    measure_starts_ready(stage, &mut span);
    let since = span.seconds();
    stage.all_machines().into_iter().try_for_each(|machine| stage.start_machine(machine))?;
    stage.until_open()?;
    span.measure("all writers open after their start", span.seconds() - since, "s");
    measure_level(stage, &mut span, since)?;
    stage.note(&Note::Apart { from, to: stage.now(), holder: None })?;
    stage.end(span)
}

fn measure_starts_ready(stage: &Stage<'_>, span: &mut crate::span::Span) {
    let (ready, median) = super::worst_and_median(stage.times(|slot| slot.ready));
    span.measure("ready with no machine, last process from its start", ready, "s");
    span.measure("ready with no machine, median process from its start", median, "s");
}

/// Starts all processes of gateways, evenly over a while.
fn come_back(stage: &mut Stage<'_>, spread: Duration) -> Result<(), DayError> {
    let (start, all) = (Instant::now(), stage.all_hollows());
    for process in &all {
        let due = start + spread * (*process as u32) / (all.len() as u32);
        stage.pass(due.saturating_duration_since(Instant::now()))?;
        stage.start_hollow(*process, None)?;
    }
    Ok(())
}
