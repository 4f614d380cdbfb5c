//! A scripted day through real processes.

use std::path::{Path, PathBuf};

use judge::{Day, Report, judge};
use load::Summary;
use records::Clock;
use settings::Site;

use crate::LabError;
use crate::director::Director;
use crate::ground::Ground;

/// What a day came to.
#[derive(Debug)]
pub struct Played {
    /// The judge's report.
    pub report: Report,
    /// What the clients met.
    pub summary: Summary,
    /// Gateways that did not leave by themselves when asked to.
    pub stuck: Vec<String>,
}

/// Plays the day of a file into a folder and judges it. `exe` is the program itself; `tell` gets lines for people.
///
/// # Errors
/// What could not be read, made or started.
pub fn play(exe: &Path, file: &Path, out: &Path, tell: &mut dyn FnMut(&str)) -> Result<Played, LabError> {
    let site = Site::load(file)?;
    if site.day.is_none() || site.client.is_empty() {
        return Err(LabError::NoDay(file.to_owned()));
    }
    fresh(out)?;
    let run = std::env::temp_dir().join(format!("crowbay-{}-{:x}", std::process::id(), Clock::new().now()));
    std::fs::create_dir_all(&run).map_err(|e| LabError::Io(run.clone(), e))?;
    let ground = Ground { exe: exe.into(), file: file.into(), out: out.into(), run: run.clone() };
    let played = direct(&site, ground, file, out, tell);
    let _ = std::fs::remove_dir_all(&run); // Only sockets and lists are left in it.
    played
}

/// Makes the folder; records and disks of an earlier day in it are not mixed with these.
fn fresh(out: &Path) -> Result<(), LabError> {
    let failed = |e| LabError::Io(out.to_owned(), e);
    std::fs::create_dir_all(out).map_err(failed)?;
    for entry in std::fs::read_dir(out).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            std::fs::remove_file(&path).map_err(|e| LabError::Io(path.clone(), e))?;
        }
    }
    let disks = out.join("disks");
    if disks.exists() {
        std::fs::remove_dir_all(&disks).map_err(|e| LabError::Io(disks.clone(), e))?;
    }
    std::fs::create_dir_all(&disks).map_err(|e| LabError::Io(disks, e))
}

fn write(path: PathBuf, value: &impl serde::Serialize) -> Result<(), LabError> {
    let text = serde_json::to_vec_pretty(value).unwrap_or_default();
    std::fs::write(&path, text).map_err(|e| LabError::Io(path, e))
}

fn direct(
    site: &Site,
    ground: Ground,
    file: &Path,
    out: &Path,
    tell: &mut dyn FnMut(&str),
) -> Result<Played, LabError> {
    write(out.join("terms.json"), &site.terms())?;
    let kept = out.join("day.toml");
    if file != kept {
        std::fs::copy(file, kept).map_err(|e| LabError::Io(file.to_owned(), e))?;
    }
    let mut director = Director::new(site, ground, tell)?;
    director.start()?;
    let summary = director.play()?;
    director.end();
    let stuck = director.stuck();
    drop(director);
    let report = judge(&Day::read(out)?);
    write(out.join("report.json"), &report)?;
    Ok(Played { report, summary, stuck })
}
