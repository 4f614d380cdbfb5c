//! Some gateways take nothing for a while.

use std::time::{Duration, Instant};

use planecheck::Note;

use crate::error::DayError;
use crate::stage::Stage;
use crate::state::gateway;

/// One gateway of so many is stuck.
const EVERY: usize = 100;
/// So often come many changes at once meanwhile.
const BURSTS: Duration = Duration::from_secs(5);

/// Gateways are started such that some of them take nothing later; usual changes and some bursts meanwhile.
pub(crate) fn stuck(stage: &mut Stage<'_>) -> Result<(), DayError> {
    let size = stage.options.size.clone();
    // They are to be level before. Their starts take a while where there are many.
    let lead = Duration::from_secs(if size.members() > 1000 { 60 } else { 8 });
    let all = stage.all_hollows();
    let from = stage.now();
    stage.end_hollows(&all)?;
    let start = Instant::now();
    for process in &all {
        stage.start_hollow(*process, Some((EVERY, lead, stage.options.stuck)))?;
    }
    stage.until_level()?;
    stage.note(&Note::Apart { from, to: stage.now(), holder: None })?;
    if start.elapsed() >= lead {
        let what = format!("gateways were not level before {} s, when some are to be stuck", lead.as_secs());
        return Err(DayError::Option(what));
    }
    let before = stage.machines_resident();
    let traffic = stage.traffic()?;
    stage.until_stuck(true)?;
    let mut span = stage.begin("stuck")?;
    let mut writer = stage.writer(1)?;
    let items = stage.state.of(1)[..size.burst].to_vec();
    let (mut most, mut bursts) = (stage.machines_resident(), 0_u64);
    while stage.stuck() > 0 {
        // Readers that are stuck for good are told by the wait.
        if span.seconds() > 2.0 * stage.options.stuck.as_secs_f64() {
            stage.until_stuck(false)?;
        }
        bursts += 1;
        writer.propose(items.iter().map(|item| item.put("set", bursts << 40)).collect())?;
        stage.pass(BURSTS)?;
        let now = stage.machines_resident();
        most.iter_mut().zip(now).for_each(|(most, now)| *most = now.max(*most));
    }
    traffic.stop()?;
    let since = span.seconds();
    super::measure_level(stage, &mut span, since)?;
    let to = stage.now();
    for number in (0..size.members()).filter(|number| (number % size.gateways).is_multiple_of(EVERY)) {
        stage.note(&Note::Apart { from: span.from, to, holder: Some(gateway(number)) })?;
    }
    let grown =
        |after: Vec<u64>| before.iter().zip(after).map(|(b, a)| a.saturating_sub(*b)).max().unwrap_or(0);
    let mib = |bytes: u64| bytes as f64 / 1_048_576.0;
    span.measure("bursts meanwhile", bursts as f64, "");
    span.measure("resident before, largest machine", mib(before.iter().copied().max().unwrap_or(0)), "MiB");
    span.measure("resident more meanwhile, worst machine", mib(grown(most)), "MiB");
    span.measure("resident more after, worst machine", mib(grown(stage.machines_resident())), "MiB");
    stage.end(span)
}
