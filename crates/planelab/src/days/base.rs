//! The base state through the writers, and the cold herd: all gateways at once on empty disks.

use super::measure_starts;
use crate::error::DayError;
use crate::stage::Stage;
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
    stage.all_hollows().into_iter().try_for_each(|process| stage.start_hollow(process, None))?;
    stage.until_level()?;
    measure_starts(stage, &mut span);
    span.measure("all level after", span.seconds(), "s");
    stage.end(span)
}
