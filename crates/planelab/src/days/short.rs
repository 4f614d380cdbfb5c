//! A bit of each, for a test.

use planecheck::Note;

use super::measure_level;
use crate::error::DayError;
use crate::stage::Stage;

/// Usual changes for a while, then one machine and one process of gateways killed and started again under them.
pub(crate) fn short(stage: &mut Stage<'_>) -> Result<(), DayError> {
    super::ordinary(stage)?;
    let traffic = stage.traffic()?;
    let mut span = stage.begin("machine-back")?;
    // The last machine is no writer, but where each region has one machine only.
    let last = stage.machines.len() - 1;
    stage.kill_machines(&[last]);
    let since = span.seconds();
    stage.start_machine(last)?;
    stage.until_open()?;
    measure_level(stage, &mut span, since)?;
    stage.note(&Note::Apart { from: span.from, to: stage.now(), holder: None })?;
    stage.end(span)?;

    let mut span = stage.begin("gateways-back")?;
    stage.kill_hollows(&[0]);
    let since = span.seconds();
    stage.start_hollow(0, None)?;
    measure_level(stage, &mut span, since)?;
    traffic.stop()?;
    stage.until_level()?;
    stage.note(&Note::Apart { from: span.from, to: stage.now(), holder: None })?;
    stage.end(span)
}
