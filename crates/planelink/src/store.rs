//! A copy on a disk: a base that is only ever replaced whole, and a tail of what came since.

use std::io;
use std::path::{Path, PathBuf};

use filelog::{Log, LogError};

/// A tail is put into the base once it is longer than half of that and this, in bytes.
const TAIL: u64 = 256 << 10;

/// Why a store could not be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// One of its files.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Its folder.
    #[error("cannot make the folder {0}: {1}")]
    Folder(PathBuf, io::Error),
    /// A write failed half-way and could not be taken back: whether what it was to keep is on the disk is not known.
    #[error("{0}; what was to be kept may or may not be there, and a new start has to find out")]
    Uncertain(LogError),
}

impl StoreError {
    /// Whether it is not known what is on the disk.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, StoreError::Uncertain(_) | StoreError::Log(LogError::Broken(_)))
    }
}

/// What is kept of a copy, in one folder: bodies of messages in the order in which they were taken.
///
/// The base is replaced by renaming only, never written to, so that its file may be linked into several folders. The tail bears
/// the base's number: one that was left behind by an older base is in the new one whole, and is passed over.
#[derive(Debug)]
pub struct Store {
    base: PathBuf,
    /// Bytes; 0 without a base.
    base_length: u64,
    tail: Log,
    /// The number of a base whose tail could not be begun yet.
    behind: Option<u64>,
}

/// What opening a store found.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) store: Store,
    /// Bodies of the base, then those of the tail.
    pub(crate) base: Vec<Vec<u8>>,
    pub(crate) tail: Vec<Vec<u8>>,
}

impl Store {
    /// Opens a folder's store, or begins an empty one, and reads the bodies that restore what was kept, in their order.
    ///
    /// # Errors
    /// A file cannot be read or made, is something else, or is damaged where it was durable.
    pub fn open(folder: &Path) -> Result<(Store, Vec<Vec<u8>>), StoreError> {
        let Opened { store, mut base, tail } = Store::read(folder)?;
        base.extend(tail);
        Ok((store, base))
    }

    pub(crate) fn read(folder: &Path) -> Result<Opened, StoreError> {
        std::fs::create_dir_all(folder).map_err(|error| StoreError::Folder(folder.to_owned(), error))?;
        let (path, tail) = (folder.join("base"), folder.join("tail"));
        let there = path.try_exists().map_err(|error| StoreError::Folder(folder.to_owned(), error))?;
        let base = if there { Some(Log::open(&path, 0)?) } else { None };
        let number = base.as_ref().map(|base| base.log.number());
        let mut opened = Log::open(&tail, number.unwrap_or_else(rand::random))?;
        if let Some(number) = number.filter(|number| *number != opened.log.number()) {
            opened.log.rewrite(number, [])?;
            opened.records = Vec::new();
        }
        let base_length = base.as_ref().map_or(0, |base| base.log.length());
        let store = Store { base: path, base_length, tail: opened.log, behind: None };
        Ok(Opened { store, base: base.map(|base| base.records).unwrap_or_default(), tail: opened.records })
    }

    /// Keeps a body behind those kept before. It reaches the system with [`Store::hand_over`] or [`Store::sync`].
    ///
    /// # Errors
    /// It is too long, or the tail of a new base could still not be begun: it isn't kept.
    pub fn keep(&mut self, body: &[u8]) -> Result<(), StoreError> {
        // Danger: what follows a base in the tail of another is passed over at the next start.
        if let Some(number) = self.behind {
            self.tail.rewrite(number, [])?;
            self.behind = None;
        }
        Ok(self.tail.append(body)?)
    }

    /// Gives to the system what was kept: it outlives the process.
    ///
    /// # Errors
    /// It could not be written; what was kept since the last time is not there, unless [`StoreError::is_uncertain`].
    pub fn hand_over(&mut self) -> Result<(), StoreError> {
        self.tail.hand_over().map_err(|error| self.failed(error))
    }

    /// Makes durable what was kept.
    ///
    /// # Errors
    /// It could not be written, as above; or it could not be made durable, and nothing is there that was kept since the last sync.
    /// [`Store::handed`] tells which.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.tail.sync().map_err(|error| self.failed(error))
    }

    fn failed(&self, error: LogError) -> StoreError {
        if self.tail.is_broken() { StoreError::Uncertain(error) } else { StoreError::Log(error) }
    }

    /// Puts these bodies in place of all, durably: on a cut either what was kept before is there or this.
    ///
    /// # Errors
    /// The base could not be replaced, and what was kept before is there, unless [`StoreError::is_uncertain`].
    pub fn keep_all(&mut self, bodies: &[Vec<u8>]) -> Result<(), StoreError> {
        let number = rand::random();
        match Log::create(&self.base, number, bodies.iter().map(Vec::as_slice)) {
            Ok(base) => self.base_length = base.length(),
            // Danger: the new base may have its name already, and only that could not be made durable. What it holds would be called
            // not kept and be in force after the next start.
            Err(error) if self.has_number(number) => return Err(StoreError::Uncertain(error)),
            Err(error) => return Err(StoreError::Log(error)),
        }
        // All is kept. If its tail cannot be begun now, that is tried again with the next body.
        self.behind = Some(number);
        if self.tail.rewrite(number, []).is_ok() {
            self.behind = None;
        }
        Ok(())
    }

    /// Whether the base that bears the name now is of this number, or that cannot be found out.
    fn has_number(&self, number: u64) -> bool {
        let mut head = [0; 16];
        let read =
            std::fs::File::open(&self.base).and_then(|mut file| io::Read::read_exact(&mut file, &mut head));
        match read {
            Ok(()) => head[8..] == number.to_le_bytes(),
            Err(error) => error.kind() != io::ErrorKind::NotFound,
        }
    }

    /// Bytes of the tail that the system has.
    pub fn handed(&self) -> u64 {
        self.tail.handed()
    }

    /// Whether something was handed over that is not durable yet.
    pub fn is_unsynced(&self) -> bool {
        self.tail.durable() < self.tail.handed()
    }

    /// Whether the tail has grown so long that all should be kept anew.
    pub fn is_long(&self) -> bool {
        self.tail.length() > self.base_length / 2 + TAIL
    }
}
