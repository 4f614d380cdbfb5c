//! The base state through the writers, and the cold herd: all gateways at once on empty disks.

use planecheck::Note;

use super::measure_starts;
use crate::error::DayError;
use crate::stage::{Manner, RECORDED, Stage};
use crate::writer::TOGETHER;

/// Starts all machines and writes the base state; starts all gateways on empty disks.
pub(crate) fn base(stage: &mut Stage<'_>) -> Result<(), DayError> {
    stage.all_machines().into_iter().try_for_each(|machine| stage.start_machine(machine))?;
    stage.until_open()?;
    let span = stage.begin("base")?;
    for region in stage.options.size.regions() {
        let (mut writer, state) = (stage.writer(region)?, stage.state.clone());
        for items in state.of(region).chunks(TOGETHER) {
            writer.propose(items.iter().zip(1..).map(|(item, draw)| item.put("up", draw)).collect())?;
        }
    }
    stage.until_level()?;
    stage.end(span)?;

    let mut span = stage.begin("cold-herd")?;
    let recorded = |process: usize, stage: &Stage<'_>| process < stage.options.herd_recorded;
    for process in stage.all_hollows() {
        let manner = Manner { recorded: recorded(process, stage), stuck: None };
        stage.start_hollow(process, manner)?;
    }
    stage.until_level()?;
    measure_starts(stage, &mut span);
    span.measure("all level after", span.seconds(), "s");
    stage.end(span)?;

    // Those that wrote nothing down so far begin to.
    let silent: Vec<usize> = stage.all_hollows().into_iter().filter(|p| !recorded(*p, stage)).collect();
    if silent.is_empty() {
        return Ok(());
    }
    let mut span = stage.begin("clean-restart")?;
    let from = stage.now();
    stage.end_hollows(&silent)?;
    silent.iter().try_for_each(|process| stage.start_hollow(*process, RECORDED))?;
    stage.until_level()?;
    measure_starts(stage, &mut span);
    stage.note(&Note::Apart { from, to: stage.now(), holder: None })?;
    stage.end(span)
}
