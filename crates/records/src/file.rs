//! Files of JSON lines.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why records could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, io::Error),
    /// A line is not a record of this kind.
    #[error("{0}, line {1}: {2}")]
    Line(PathBuf, usize, serde_json::Error),
}

/// Appends lines to a file, each with one write: what was recorded survives the process.
#[derive(Debug)]
pub struct Recorder {
    file: Option<Mutex<File>>,
}

impl Recorder {
    /// Appends to a file, which it makes if need be. A last line that a kill cut off goes, as a reader would pass it over;
    /// one that lacks its end alone gets it.
    pub fn append(path: &Path) -> io::Result<Self> {
        let mut file = File::options().append(true).read(true).create(true).open(path)?;
        let whole = end_of_lines(&mut file)?;
        if whole < file.metadata()?.len() {
            let mut rest = Vec::new();
            file.seek(SeekFrom::Start(whole))?;
            file.read_to_end(&mut rest)?;
            match serde_json::from_slice::<serde::de::IgnoredAny>(&rest) {
                Ok(_) => file.write_all(b"\n")?,
                Err(_) => file.set_len(whole)?,
            }
        }
        Ok(Recorder { file: Some(Mutex::new(file)) })
    }

    /// Writes nothing down.
    pub fn none() -> Self {
        Recorder { file: None }
    }

    /// Whether lines go anywhere.
    pub fn is_on(&self) -> bool {
        self.file.is_some()
    }

    /// Writes a line. Danger: a record that is lost would hide a breach, so a write that fails ends the process.
    pub fn write(&self, line: &impl Serialize) {
        let Some(file) = &self.file else { return };
        let written = serde_json::to_vec(line).map_err(io::Error::other).and_then(|mut bytes| {
            bytes.push(b'\n');
            let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            file.write_all(&bytes)
        });
        if let Err(e) = written {
            output::errln!("a record could not be written, so this process ends: {e}");
            output::finish();
            std::process::exit(3);
        }
    }
}

/// Where the last whole line ends.
fn end_of_lines(file: &mut File) -> io::Result<u64> {
    let mut end = file.metadata()?.len();
    let mut piece = [0; 4096];
    while end > 0 {
        let start = end.saturating_sub(piece.len() as u64);
        let piece = &mut piece[..(end - start) as usize];
        file.seek(SeekFrom::Start(start))?;
        file.read_exact(piece)?;
        if let Some(at) = piece.iter().rposition(|b| *b == b'\n') {
            return Ok(start + at as u64 + 1);
        }
        end = start;
    }
    Ok(0)
}

/// Reads all lines of a file. A last line that was cut off by a kill is passed over.
///
/// # Errors
/// The file, and the line that is no record of this kind.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, ReadError> {
    let failed = |e| ReadError::Io(path.to_owned(), e);
    let mut reader = BufReader::new(File::open(path).map_err(failed)?);
    let (mut lines, mut line, mut number) = (Vec::new(), String::new(), 0);
    loop {
        line.clear();
        if reader.read_line(&mut line).map_err(failed)? == 0 {
            return Ok(lines);
        }
        number += 1;
        match serde_json::from_str(&line) {
            Ok(record) => lines.push(record),
            Err(_) if !line.ends_with('\n') => return Ok(lines),
            Err(e) => return Err(ReadError::Line(path.to_owned(), number, e)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::NodeLine;

    #[test]
    fn a_line_cut_off_by_a_kill_is_passed_over_and_a_wrong_one_is_named() {
        let path = std::env::temp_dir().join(format!("crowbay-records-{}", std::process::id()));
        let recorder = Recorder::append(&path).unwrap();
        recorder.write(&NodeLine::Down { t: 5 });
        std::fs::OpenOptions::new().append(true).open(&path).unwrap().write_all(b"{\"ev\":\"do").unwrap();
        assert_eq!(read::<NodeLine>(&path).unwrap(), [NodeLine::Down { t: 5 }]);
        // Another life of the process goes on in the file.
        Recorder::append(&path).unwrap().write(&NodeLine::Down { t: 6 });
        let whole = std::fs::read(&path).unwrap();
        std::fs::write(&path, &whole[..whole.len() - 1]).unwrap();
        Recorder::append(&path).unwrap().write(&NodeLine::Down { t: 7 });
        let downs = [5, 6, 7].map(|t| NodeLine::Down { t });
        assert_eq!(read::<NodeLine>(&path).unwrap(), downs);
        std::fs::write(&path, "{\"ev\":\"down\",\"t\":1}\n{\"ev\":\"what\"}\n").unwrap();
        let error = read::<NodeLine>(&path).unwrap_err().to_string();
        assert!(error.contains("line 2"), "{error}");
        std::fs::remove_file(&path).unwrap();
    }
}
