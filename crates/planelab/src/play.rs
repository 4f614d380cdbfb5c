//! A play from its set-up to its report.

use crate::days;
use crate::error::DayError;
use crate::options::{Day, DayOptions};
use crate::report::Report;
use crate::stage::Stage;

/// Plays days through real processes, holds their records against the checker, and writes `report.md` and `report.json` beside
/// them.
///
/// Whatever happens, no process outlives the call. Breaks that the checker finds are in the report and are no error.
///
/// # Errors
/// A process could not be started or ended by itself, a condition did not come about in time, a writer did not take a change, a
/// process did not leave cleanly, or the records cannot be read.
pub fn play(options: &DayOptions) -> Result<Report, DayError> {
    options.check()?;
    let mut stage = Stage::set_up(options)?;
    days::base(&mut stage)?;
    for day in &options.days {
        match day {
            Day::Ordinary => days::ordinary(&mut stage)?,
            Day::Restart => days::restart(&mut stage)?,
            Day::Machines => days::machines(&mut stage)?,
            Day::Burst => days::burst(&mut stage)?,
            Day::Stuck => days::stuck(&mut stage)?,
            Day::Short => days::short(&mut stage)?,
        }
    }
    stage.until_level()?;
    stage.leave()?;
    let verdict = planecheck::check_folder(&options.out.join("records"))?;
    let mut rows = std::mem::take(&mut stage.rows);
    for row in &mut rows {
        row.in_force = verdict.latencies.get(&row.span).copied().unwrap_or_default();
    }
    let report = Report {
        size: options.size.name.clone(),
        machines: stage.machines.len(),
        gateways: options.size.members(),
        entries: stage.state.len(),
        rows,
        verdict,
    };
    drop(stage);
    let write = |name: &str, text: String| {
        let path = options.out.join(name);
        std::fs::write(&path, text).map_err(|e| DayError::Io(path, e))
    };
    write("report.md", report.text())?;
    let json = serde_json::to_string_pretty(&report).map_err(|e| DayError::Option(e.to_string()))?;
    write("report.json", json)?;
    if !options.keep {
        let state = options.out.join("state");
        std::fs::remove_dir_all(&state).map_err(|e| DayError::Io(state, e))?;
    }
    Ok(report)
}
