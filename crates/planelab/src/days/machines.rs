//! Machines that are lost and come back, under usual changes.

use std::path::Path;
use std::time::Duration;

use planecheck::Note;

use super::measure_level;
use crate::error::DayError;
use crate::stage::Stage;

/// What becomes of a machine's disk while it is away.
enum Disk<'a> {
    /// It stays.
    Kept,
    /// It is put back to this copy of it.
    Old(&'a Path),
    /// It is lost.
    Lost,
}

/// Machines are killed, one, all of a region, all; one comes back with an old disk, one that is no writer and then a writer with
/// an empty one.
pub(crate) fn machines(stage: &mut Stage<'_>) -> Result<(), DayError> {
    let (down, all_down) = (stage.options.down, stage.options.all_down);
    let reader = stage.machines.iter().position(|machine| !machine.writes);
    let writer = stage.machines.iter().position(|machine| {
        let others = |m: &&crate::stage::Machine| m.region == machine.region;
        machine.writes && stage.machines.iter().filter(others).count() > 1
    });
    let old = stage.options.out.join("state").join("old-disk");
    let traffic = stage.traffic()?;
    if let Some(reader) = reader {
        copy(&stage.machines[reader].child.folder, &old)?;
        lose(stage, "machine-killed", &[reader], down, &Disk::Kept)?;
    }
    if stage.options.size.machines.len() > 1 {
        let region = stage.options.size.machines.len() as u16;
        let of = |number: &usize| stage.machines[*number].region == region;
        let numbers: Vec<usize> = stage.all_machines().into_iter().filter(of).collect();
        lose(stage, "region-killed", &numbers, down, &Disk::Kept)?;
    }
    let all = stage.all_machines();
    lose(stage, "all-killed", &all, all_down, &Disk::Kept)?;
    if let Some(reader) = reader {
        lose(stage, "old-disk", &[reader], down, &Disk::Old(&old))?;
        lose(stage, "empty-machine", &[reader], down, &Disk::Lost)?;
    }
    if let Some(writer) = writer {
        lose(stage, "empty-writer", &[writer], down, &Disk::Lost)?;
    }
    traffic.stop()?;
    stage.until_level()
}

/// Kills machines, waits, brings them back, and waits until all are level.
fn lose(
    stage: &mut Stage<'_>,
    name: &str,
    numbers: &[usize],
    down: Duration,
    disk: &Disk<'_>,
) -> Result<(), DayError> {
    let mut span = stage.begin(name)?;
    stage.kill_machines(numbers);
    for number in numbers {
        let (folder, region) = (stage.machines[*number].child.folder.clone(), stage.machines[*number].region);
        let failed = |e| DayError::Io(folder.clone(), e);
        if !matches!(disk, Disk::Kept) {
            let (t, holder) = (stage.now(), stage.machines[*number].child.name.clone());
            stage.note(&Note::SetBack { t, holder })?;
            if stage.machines[*number].writes {
                stage.note(&Note::WriterSetBack { t, region })?;
            }
            std::fs::remove_dir_all(&folder).map_err(failed)?;
        }
        if let Disk::Old(old) = disk {
            copy(old, &folder)?;
        }
    }
    stage.pass(down)?;
    let since = span.seconds();
    numbers.iter().try_for_each(|number| stage.start_machine(*number))?;
    stage.until_open()?;
    span.measure("writers open after", span.seconds() - since, "s");
    measure_level(stage, &mut span, since)?;
    stage.note(&Note::Apart { from: span.from, to: stage.now(), holder: None })?;
    stage.end(span)
}

/// Copies a folder with all in it.
fn copy(from: &Path, to: &Path) -> Result<(), DayError> {
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |e| DayError::Io(path, e)
    };
    std::fs::create_dir_all(to).map_err(failed(to))?;
    for entry in std::fs::read_dir(from).map_err(failed(from))? {
        let path = entry.map_err(failed(from))?.path();
        let Some(name) = path.file_name() else { continue };
        if path.is_dir() {
            copy(&path, &to.join(name))?;
        } else {
            std::fs::copy(&path, to.join(name)).map_err(failed(&path))?;
        }
    }
    Ok(())
}
