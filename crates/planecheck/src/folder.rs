//! Reading a folder of records.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::checker::Checker;
use crate::fact::Fact;
use crate::note::{Note, Options};
use crate::verdict::Verdict;

/// The file of a folder that holds what the player of the day knows, if there is one.
pub const NOTES: &str = "notes.log";

/// Why records could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file or the folder could not be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// A line is none of the records; a last line that a kill cut off is passed over.
    #[error("{0}, line {1}: not a line of the records: '{2}'")]
    Line(PathBuf, u64, String),
    /// There is nothing to check.
    #[error("{0} has no records of writers (written-*.log) or none of holders (inforce-*.log, held-*.log)")]
    Empty(PathBuf),
}

/// Checks a folder: `written-*.log` of the writers, `inforce-*.log` of gateways, `held-*.log` of control machines, and what is
/// noted beside them.
///
/// # Errors
/// A file cannot be read, has a line that is none of the records, or there is nothing to check.
pub fn check_folder(folder: &Path) -> Result<Verdict, ReadError> {
    let failed = |e| ReadError::Io(folder.to_owned(), e);
    let entries: Result<Vec<_>, _> = std::fs::read_dir(folder).map_err(failed)?.collect();
    let mut paths: Vec<PathBuf> = entries.map_err(failed)?.into_iter().map(|entry| entry.path()).collect();
    paths.sort();
    let named = |prefix: &str| -> Vec<&PathBuf> {
        let of = |path: &&PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            name.starts_with(prefix) && name.ends_with(".log")
        };
        paths.iter().filter(of).collect()
    };
    let (writers, gateways, machines) = (named("written-"), named("inforce-"), named("held-"));
    if writers.is_empty() || gateways.is_empty() && machines.is_empty() {
        return Err(ReadError::Empty(folder.to_owned()));
    }
    let mut options = Options::default();
    if folder.join(NOTES).exists() {
        read(&folder.join(NOTES), |line| {
            options.notes.push(Note::parse(line)?);
            Some(())
        })?;
    }
    for path in &machines {
        read(path, |line| {
            let holder = holder(&Fact::parse(line)?)?.to_owned();
            if !options.machines.contains(&holder) {
                options.machines.push(holder);
            }
            Some(())
        })?;
    }
    let mut checker = Checker::new(options);
    // A region's writer may have lived on two machines: their lines go in the order of time.
    let mut written = Vec::new();
    for path in writers {
        read(path, |line| {
            written.push((Fact::parse(line)?.at(), line.to_owned()));
            Some(())
        })?;
    }
    written.sort_by_key(|(t, _)| *t);
    written.iter().filter_map(|(_, line)| Fact::parse(line)).for_each(|fact| checker.take(&fact));
    drop(written);
    for path in machines.into_iter().chain(gateways) {
        read(path, |line| {
            checker.take(&Fact::parse(line)?);
            Some(())
        })?;
    }
    Ok(checker.finish())
}

fn holder<'a>(fact: &Fact<'a>) -> Option<&'a str> {
    match *fact {
        Fact::Started { holder, .. }
        | Fact::InForce { holder, .. }
        | Fact::Gone { holder, .. }
        | Fact::Held { holder, .. }
        | Fact::Summed { holder, .. } => Some(holder),
        Fact::Written { .. } | Fact::Opened { .. } => None,
    }
}

/// Gives each whole line of a file to somebody who takes it.
fn read(path: &Path, mut take: impl FnMut(&str) -> Option<()>) -> Result<(), ReadError> {
    let failed = |e| ReadError::Io(path.to_owned(), e);
    let mut reader = BufReader::with_capacity(1 << 20, File::open(path).map_err(failed)?);
    let (mut bytes, mut number) = (Vec::new(), 0);
    loop {
        bytes.clear();
        number += 1;
        // A last line without its end was cut off by a kill.
        if reader.read_until(b'\n', &mut bytes).map_err(failed)? == 0 || bytes.pop() != Some(b'\n') {
            return Ok(());
        }
        let line = std::str::from_utf8(&bytes).ok();
        if line.and_then(&mut take).is_none() {
            let text: String = String::from_utf8_lossy(&bytes).chars().take(120).collect();
            return Err(ReadError::Line(path.to_owned(), number, text));
        }
    }
}
