//! The durable store of the intents: a log of entries with checksums.
//!
//! Each record is a line: eight hexadecimal digits of CRC32C, a space, the entry in JSON. An entry counts once its line is
//! on the disk (`fdatasync`). A last line that was torn by a crash is cut off; damage anywhere else is refused, as what
//! follows it would be replayed onto the wrong state.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use steering::{Entry, Intents};

/// Why the journal could not be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The file.
    #[error("the journal {0}: {1}")]
    Io(PathBuf, io::Error),
    /// Damage before the last line.
    #[error(
        "the journal {0} is damaged at line {1}: {2}; restore it from a copy, or move it away to begin without intents"
    )]
    Damaged(PathBuf, usize, String),
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    /// Length of what is whole.
    whole: u64,
    entries: Vec<Entry>,
}

fn line_of(entry: &Entry) -> Vec<u8> {
    let json = serde_json::to_vec(entry).unwrap_or_default();
    let mut line = format!("{:08x} ", crc32c::crc32c(&json)).into_bytes();
    line.extend_from_slice(&json);
    line.push(b'\n');
    line
}

fn entry_of(line: &[u8]) -> Result<Entry, String> {
    let (sum, json) = line.split_at_checked(9).ok_or("it is too short")?;
    let sum = std::str::from_utf8(&sum[..8]).ok().and_then(|s| u32::from_str_radix(s, 16).ok());
    if sum != Some(crc32c::crc32c(json)) {
        return Err("its checksum does not match".into());
    }
    serde_json::from_slice(json).map_err(|e| e.to_string())
}

impl Journal {
    /// Opens a journal, or makes an empty one, and replays it.
    ///
    /// # Errors
    /// The file cannot be read or made, or is damaged before its last line.
    pub fn open(path: &Path) -> Result<(Journal, Intents), JournalError> {
        let failed = |e| JournalError::Io(path.to_owned(), e);
        let mut options = File::options();
        let mut file =
            options.read(true).write(true).create(true).truncate(false).open(path).map_err(failed)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(failed)?;
        let (mut intents, mut entries, mut whole) = (Intents::default(), Vec::new(), 0);
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let number = entries.len() + 1;
            let damaged = |what: String| JournalError::Damaged(path.to_owned(), number, what);
            let Some(end) = rest.iter().position(|&b| b == b'\n') else { break }; // Torn: it never counted.
            match entry_of(&rest[..end]) {
                Ok(entry) if intents.apply(&entry) => entries.push(entry),
                Ok(entry) => return Err(damaged(format!("revision {} is out of order", entry.revision.0))),
                // The last line may have been torn with its end already written.
                Err(_) if end + 1 == rest.len() => break,
                Err(what) => return Err(damaged(what)),
            }
            whole += end as u64 + 1;
            rest = &rest[end + 1..];
        }
        if !rest.is_empty() {
            tracing::warn!(bytes = rest.len(), "the journal's last line was torn by a crash and is cut off");
        }
        file.set_len(whole).map_err(failed)?;
        file.seek(SeekFrom::End(0)).map_err(failed)?;
        file.sync_all().map_err(failed)?;
        Ok((Journal { path: path.to_owned(), file, whole, entries }, intents))
    }

    /// Stores an entry: it counts once this returns.
    ///
    /// # Errors
    /// It could not be stored, for want of space for one; the journal is as it was.
    pub fn append(&mut self, entry: &Entry) -> Result<(), JournalError> {
        let line = line_of(entry);
        let written = self.file.write_all(&line).and_then(|()| self.file.sync_data());
        if let Err(e) = written {
            // Danger: half a line left behind would hide the lines that follow it.
            let back =
                self.file.set_len(self.whole).and_then(|()| self.file.seek(SeekFrom::End(0)).map(drop));
            if let Err(back) = back {
                tracing::error!(%back, "the journal's torn end could not be cut off; the next start does it");
            }
            return Err(JournalError::Io(self.path.clone(), e));
        }
        self.whole += line.len() as u64;
        self.entries.push(entry.clone());
        Ok(())
    }

    /// All entries, oldest first: the audit record.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use steering::{Change, Facts, NodeFact, Request, RequestId, Revision};

    fn facts() -> Facts {
        let node = |n: u32| NodeFact { name: format!("n{n}"), shard: 0, on: true, warming: false };
        Facts { nodes: (0..4).map(node).collect(), volumes: Vec::new() }
    }

    fn add(journal: &mut Journal, intents: &mut Intents, n: u64) {
        let change = if n % 2 == 1 { Change::Drain("n1".into()) } else { Change::Undrain("n1".into()) };
        let (by, from) = ("anna".into(), "test".into());
        let request = Request { id: RequestId(n), change, by, from, expects: None, confirmed: true };
        let entry = intents.judge(&facts(), &request, n as i64).expect("it counts");
        journal.append(&entry).expect("it is stored");
        assert!(intents.apply(&entry));
    }

    #[test]
    fn a_last_record_torn_at_any_byte_is_cut_off_and_the_rest_counts() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("intents.log");
        let (mut journal, mut intents) = Journal::open(&path).unwrap();
        (1..=4).for_each(|n| add(&mut journal, &mut intents, n));
        let whole = journal.whole;
        add(&mut journal, &mut intents, 5);
        let bytes = std::fs::read(&path).unwrap();
        for cut in whole..bytes.len() as u64 {
            std::fs::write(&path, &bytes[..cut as usize]).unwrap();
            let (mut journal, mut intents) = Journal::open(&path).unwrap();
            assert_eq!(intents.revision(), Revision(4), "cut at {cut}");
            add(&mut journal, &mut intents, 5);
            assert_eq!(Journal::open(&path).unwrap().1, intents);
        }
        // Torn in its middle while its end was written: blocks reach a disk in any order.
        let mut holes = bytes.clone();
        holes[whole as usize + 20..whole as usize + 30].fill(0);
        std::fs::write(&path, &holes).unwrap();
        assert_eq!(Journal::open(&path).unwrap().1.revision(), Revision(4));
    }

    #[test]
    fn damage_before_the_last_record_is_refused_with_its_line() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("intents.log");
        let (mut journal, mut intents) = Journal::open(&path).unwrap();
        (1..=4).for_each(|n| add(&mut journal, &mut intents, n));
        let mut bytes = std::fs::read(&path).unwrap();
        let second = bytes.iter().position(|&b| b == b'\n').unwrap() + 30;
        bytes[second] ^= 1;
        std::fs::write(&path, bytes).unwrap();
        let error = Journal::open(&path).unwrap_err().to_string();
        assert!(error.contains("line 2") && error.contains("checksum"), "{error}");
    }

    #[test]
    fn a_full_disk_turns_the_entry_down_and_the_journal_is_as_it_was() {
        let full = Path::new("/dev/full");
        if !full.exists() {
            return;
        }
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("intents.log");
        let (mut journal, mut intents) = Journal::open(&path).unwrap();
        add(&mut journal, &mut intents, 1);
        let good = std::mem::replace(&mut journal.file, File::options().write(true).open(full).unwrap());
        let change = Change::Pause;
        let request = Request {
            id: RequestId(9),
            change,
            by: "a".into(),
            from: "t".into(),
            expects: None,
            confirmed: true,
        };
        let entry = intents.judge(&facts(), &request, 9).expect("it would count");
        assert!(journal.append(&entry).is_err());
        journal.file = good;
        add(&mut journal, &mut intents, 2);
        assert_eq!(Journal::open(&path).unwrap().1, intents);
        assert_eq!(journal.entries().len(), 2);
    }
}
