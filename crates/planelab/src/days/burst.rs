//! Many changes at once.

use plane::{Change, Kind};

use super::measure_level;
use crate::error::DayError;
use crate::stage::Stage;
use crate::state::Item;
use crate::writer::TOGETHER;

/// Many changes at one writer in one moment; then a zone of one region goes and comes back.
pub(crate) fn burst(stage: &mut Stage<'_>) -> Result<(), DayError> {
    let (region, size) = (1, stage.options.size.clone());
    let items = stage.state.of(region)[..size.burst].to_vec();
    at_once(stage, "burst", &items, |item| item.put("set", 1 << 32))?;
    let mut zone = stage.state.first(region, Kind::Node, size.zone.0);
    zone.extend(stage.state.first(region, Kind::Member, size.zone.1));
    at_once(stage, "zone-gone", &zone, Item::delete)?;
    at_once(stage, "zone-back", &zone, |item| item.put("up", 2 << 32))
}

fn at_once(
    stage: &mut Stage<'_>,
    name: &str,
    items: &[Item],
    change: impl Fn(&Item) -> Change,
) -> Result<(), DayError> {
    let mut writer = stage.writer(1)?;
    let mut span = stage.begin(name)?;
    for items in items.chunks(TOGETHER) {
        writer.propose(items.iter().map(&change).collect())?;
    }
    span.measure("durable at the writer after", span.seconds(), "s");
    measure_level(stage, &mut span, 0.0)?;
    stage.end(span)
}
