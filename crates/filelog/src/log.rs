//! A log: records appended to a file and made durable in groups.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::record::{self, HEAD, MAGIC, MOST, PRELUDE};
use crate::replaced::{sync_folder, write_new};

/// Why a log could not be used.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The system turned something down.
    #[error("{what} the log {path}: {error}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// The file is something else.
    #[error("{0} is not a log of this program; move it away, or name another file")]
    Foreign(PathBuf),
    /// Bytes that were durable have changed.
    #[error(
        "the log {path} is damaged at byte {place}: what stood there was durable, as later records attest; \
         restore the file from a copy, or move it away to begin without it"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        place: u64,
    },
    /// A record longer than [`MOST`].
    #[error("a record of {0} bytes is more than the {MOST} that a log takes")]
    TooLong(usize),
    /// An earlier write failed, and what is on the disk behind the last sync is not known.
    #[error("the log {0} could not be written before; it has to be opened anew")]
    Broken(PathBuf),
}

/// What opening a log found.
#[derive(Debug)]
pub struct Opened {
    /// The log, ready to be appended to.
    pub log: Log,
    /// Payloads of all records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes behind the last whole record, which a cut had left and which were cut off.
    pub torn: u64,
    /// There was no file; it was made.
    pub fresh: bool,
}

/// An open log. It has one writer; nothing else may write to its file.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    file: File,
    number: u64,
    /// Length with all that was appended.
    length: u64,
    /// Up to here the system has it.
    handed: u64,
    /// Up to here it is on the disk.
    durable: u64,
    /// Appended and not yet handed to the system.
    pending: Vec<u8>,
    mark: Option<File>,
    broken: bool,
}

impl Log {
    /// Opens a log, or makes an empty one, and reads all its records. `number` names a file that has to be made: it should be
    /// drawn anew each time.
    ///
    /// # Errors
    /// The file cannot be read or made, is something else, or is damaged where it was durable.
    pub fn open(path: &Path, number: u64) -> Result<Opened, LogError> {
        let failed = |what| move |error| LogError::Io { what, path: path.to_owned(), error };
        let fresh = !path.try_exists().map_err(failed("cannot look for"))?;
        if fresh {
            // Danger: a cut while the file is made leaves an empty name. It gets its name only once its beginning is there.
            write_new(path, &prelude(number)).map_err(failed("cannot make"))?;
        }
        let mut file = File::options().read(true).write(true).open(path).map_err(failed("cannot open"))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(failed("cannot read"))?;
        let number = match bytes.get(..PRELUDE) {
            Some(prelude) if &prelude[..8] == MAGIC => {
                prelude[8..].try_into().map(u64::from_le_bytes).unwrap_or_default()
            }
            _ => return Err(LogError::Foreign(path.to_owned())),
        };
        let (mut place, mut records) = (PRELUDE, Vec::new());
        while let Some(record) = record::decode(number, place as u64, &bytes[place..]) {
            records.push(record.payload.to_vec());
            place += HEAD + record.payload.len();
        }
        if record::attested_beyond(number, place as u64, &bytes[place..]) {
            return Err(LogError::Damaged { path: path.to_owned(), place: place as u64 });
        }
        let (whole, torn) = (place as u64, (bytes.len() - place) as u64);
        if torn > 0 {
            file.set_len(whole).map_err(failed("cannot cut off the torn end of"))?;
        }
        // Danger: what was read may so far be in the system's memory only. What is built on it must not outlive it.
        file.sync_all().map_err(failed("cannot sync"))?;
        file.seek(SeekFrom::End(0)).map_err(failed("cannot seek in"))?;
        let log = Log {
            path: path.to_owned(),
            file,
            number,
            length: whole,
            handed: whole,
            durable: whole,
            pending: Vec::new(),
            mark: None,
            broken: false,
        };
        Ok(Opened { log, records, torn, fresh })
    }

    /// Appends a record, which counts once [`Log::sync`] has returned. Nothing reaches the system before.
    ///
    /// # Errors
    /// It is too long, or an earlier write failed.
    pub fn append(&mut self, payload: &[u8]) -> Result<(), LogError> {
        if self.broken {
            return Err(LogError::Broken(self.path.clone()));
        }
        if payload.len() > MOST {
            return Err(LogError::TooLong(payload.len()));
        }
        record::encode(self.number, self.length, self.durable, payload, &mut self.pending);
        self.length += (HEAD + payload.len()) as u64;
        Ok(())
    }

    /// Gives what was appended to the system, without waiting for the disk: it outlives the process from now on, and a loss of
    /// power only after the next [`Log::sync`].
    ///
    /// # Errors
    /// It could not be written, for want of space for one. What was appended since the last sync or handing over doesn't count,
    /// and the file is as it was; only if that could not be brought about either does the log take nothing more.
    pub fn hand_over(&mut self) -> Result<(), LogError> {
        if self.broken {
            return Err(LogError::Broken(self.path.clone()));
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let pending = std::mem::take(&mut self.pending);
        if let Err(error) = self.file.write_all(&pending) {
            // Danger: half a group left behind would be taken for part of the next.
            return Err(self.cut_back(self.handed, error));
        }
        self.handed = self.length;
        Ok(())
    }

    /// Makes durable all that was appended, in one group.
    ///
    /// # Errors
    /// It could not be written, as in [`Log::hand_over`]; or not be made durable: then nothing counts that was appended since the
    /// last sync, even if it was handed over, and the file is as it was then.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.hand_over()?;
        if self.durable == self.length {
            return Ok(());
        }
        if let Err(error) = self.file.sync_data() {
            // Danger: a system that failed to sync may have dropped the bytes and call the next sync done. Cut back to what is known,
            // or nothing more is taken.
            return Err(self.cut_back(self.durable, error));
        }
        self.durable = self.length;
        self.note();
        Ok(())
    }

    /// Cuts off what lies behind a place after a write failed.
    fn cut_back(&mut self, to: u64, error: io::Error) -> LogError {
        (self.length, self.handed) = (to, to);
        let end = self.file.set_len(to).and_then(|()| self.file.seek(SeekFrom::End(0)));
        self.broken = end.and_then(|_| self.file.sync_all()).is_err();
        LogError::Io { what: "cannot write", path: self.path.clone(), error }
    }

    /// Puts other records in place of all: on a cut either the old ones are there or the new.
    ///
    /// # Errors
    /// The new file could not be written; the old one is in force.
    pub fn rewrite<'a>(
        &mut self,
        number: u64,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), LogError> {
        let new = Log::create(&self.path, number, records)?;
        let mark = self.mark.take();
        *self = Log { mark, ..new };
        self.note();
        Ok(())
    }

    /// Makes a log of these records, durably, in place of the file of that name if there is one: on a cut either that is there or
    /// the new one. `number` names the file: it should be drawn anew each time.
    ///
    /// # Errors
    /// The new file could not be written; what was there before is.
    pub fn create<'a>(
        path: &Path,
        number: u64,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Log, LogError> {
        let mut bytes = prelude(number);
        for payload in records {
            if payload.len() > MOST {
                return Err(LogError::TooLong(payload.len()));
            }
            let place = bytes.len() as u64;
            // The file gets its name only once all of it is durable: each record attests what stands before it.
            record::encode(number, place, place, payload, &mut bytes);
        }
        let failed = |error| LogError::Io { what: "cannot replace", path: path.to_owned(), error };
        write_new(path, &bytes).map_err(failed)?;
        let mut file = File::options().read(true).write(true).open(path).map_err(failed)?;
        file.seek(SeekFrom::End(0)).map_err(failed)?;
        let length = bytes.len() as u64;
        Ok(Log {
            path: path.to_owned(),
            file,
            number,
            length,
            handed: length,
            durable: length,
            pending: Vec::new(),
            mark: None,
            broken: false,
        })
    }

    /// Whether it takes nothing more, as what is on the disk behind the last sync is not known.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// The number that names its file.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Length in bytes as far as the system has it.
    pub fn handed(&self) -> u64 {
        self.handed
    }

    /// Length in bytes as far as it is durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Length in bytes, with what is not durable yet.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Keeps beside the file how far it is durable, in a file of that name with `.durable` behind it, for a rig that cuts the
    /// power: the system's memory outlives a killed process, so what a real cut drops has to be dropped by the rig.
    ///
    /// # Errors
    /// The mark cannot be made.
    pub fn keep_mark(&mut self) -> Result<(), LogError> {
        let mut path = self.path.clone().into_os_string();
        path.push(".durable");
        let path = PathBuf::from(path);
        let mark = File::create(&path).map_err(|error| LogError::Io { what: "cannot mark", path, error })?;
        self.mark = Some(mark);
        self.note();
        Ok(())
    }

    fn note(&mut self) {
        use std::os::unix::fs::FileExt;
        if let Some(mark) = &self.mark {
            // The rig's only: a mark that could not be written says less than is durable, never more.
            let _ = mark.write_all_at(&self.durable.to_le_bytes(), 0);
        }
    }
}

fn prelude(number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes
}

/// The folder that a file's name stands in.
pub(crate) fn folder_of(path: &Path) -> &Path {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// Makes a name in a folder durable.
pub(crate) fn settle_name(path: &Path) -> io::Result<()> {
    sync_folder(folder_of(path))
}
