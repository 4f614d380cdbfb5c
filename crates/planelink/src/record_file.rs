//! A file of records: lines of text that outlive the process once the loop's turn has written them.

use std::fmt;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::error::RunError;

/// Room that is kept between turns, in bytes.
const ROOM: usize = 1 << 20;

/// Lines for a file. They are held until [`RecordFile::flush`], so that none is there before the store was given what it tells of.
#[derive(Debug)]
pub(crate) struct RecordFile {
    file: Option<(PathBuf, File)>,
    lines: Vec<u8>,
}

impl RecordFile {
    /// Appends to a file of that name in a folder; without a folder nothing is written. A last line that a kill cut off goes.
    pub(crate) fn open(folder: Option<&Path>, name: &str) -> Result<RecordFile, RunError> {
        let Some(folder) = folder else { return Ok(RecordFile { file: None, lines: Vec::new() }) };
        let path = folder.join(name);
        let failed = |error| RunError::Records { path: path.clone(), error };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let mut file = File::options().read(true).append(true).create(true).open(&path).map_err(failed)?;
        let whole = end_of_lines(&mut file).map_err(failed)?;
        file.set_len(whole).map_err(failed)?;
        Ok(RecordFile { file: Some((path, file)), lines: Vec::new() })
    }

    /// Whether lines go anywhere.
    pub(crate) fn is_on(&self) -> bool {
        self.file.is_some()
    }

    /// All lines that are in the file.
    pub(crate) fn read(&mut self) -> Result<String, RunError> {
        let Some((path, file)) = &mut self.file else { return Ok(String::new()) };
        let mut text = String::new();
        let read = file.seek(SeekFrom::Start(0)).and_then(|_| file.read_to_string(&mut text));
        read.map_err(|error| RunError::Records { path: path.clone(), error })?;
        Ok(text)
    }

    /// Adds a line.
    pub(crate) fn line(&mut self, line: fmt::Arguments<'_>) {
        if self.file.is_some() {
            // A vector takes all that is written to it.
            let _ = self.lines.write_fmt(line);
            self.lines.push(b'\n');
        }
    }

    /// Gives the lines to the system.
    ///
    /// # Errors
    /// Danger: a record that is lost would hide a breach, so the process has to end.
    pub(crate) fn flush(&mut self) -> Result<(), RunError> {
        let Some((path, file)) = &mut self.file else { return Ok(()) };
        if self.lines.is_empty() {
            return Ok(());
        }
        file.write_all(&self.lines).map_err(|error| RunError::Records { path: path.clone(), error })?;
        self.lines.clear();
        self.lines.shrink_to(ROOM);
        Ok(())
    }
}

/// Where the last whole line ends.
fn end_of_lines(file: &mut File) -> std::io::Result<u64> {
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
