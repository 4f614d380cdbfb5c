//! A node's disk: what it wrote and which tokens it saw, in a log that a power cut leaves whole.
//!
//! Options weighed: blocks in place in one file, with a log before them, cost two writes and a sync more and win only what a
//! stand-in does not need, space; an embedded data base hides when a byte is durable, which is what is tested here.

use std::path::{Path, PathBuf};

use bytes::Bytes;
use filelog::{Log, LogError, Opened};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::store::Store;

/// A log this long is written anew if less than half of it is still in force.
const LONG: u64 = 64 << 20;

/// Where a node keeps its blocks, and what it does with what it finds there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskOptions {
    /// The file.
    pub path: PathBuf,
    /// Tokens of earlier lives are thrown away, as by a node that keeps them in memory only.
    pub forget_tokens: bool,
    /// Keep the mark that a rig needs to cut the power.
    pub mark: bool,
}

/// What one record says.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Entry {
    /// A start: the node's life, and since when it remembers tokens (0: since the file was made).
    Start { life: u64, memory_since: Micros },
    /// Blocks that were written. Numbered, so that records outside tell what a cut took back.
    Write {
        number: u64,
        token: u64,
        nsid: u32,
        slba: u64,
        block_size: u32,
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
}

/// What a node finds when it starts.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) disk: Disk,
    pub(crate) store: Store,
    /// Number of the last write that is there.
    pub(crate) kept: u64,
}

/// An open disk.
#[derive(Debug)]
pub(crate) struct Disk {
    log: Log,
    /// Lives of this node, this one counted.
    pub(crate) life: u64,
    /// Since when it remembers every token: a repeat of an older write may not be recognised. 0: since it was new.
    pub(crate) memory_since: Micros,
    number: u64,
    /// Bytes of writes since the log was written anew.
    written: u64,
}

impl Disk {
    /// Opens a node's disk, and begins another life on it. `draw` names a file that has to be made.
    pub(crate) fn open(options: &DiskOptions, now: Micros, draw: u64) -> Result<Found, LogError> {
        let Opened { mut log, records, torn, fresh } = Log::open(&options.path, draw)?;
        if torn > 0 {
            tracing::warn!(file = %options.path.display(), torn, "a torn end was cut off the disk's log");
        }
        if options.mark {
            log.keep_mark()?;
        }
        let (mut store, mut life, mut memory_since, mut kept) = (Store::default(), 0, 0, 0);
        for record in &records {
            match rmp_serde::from_slice(record) {
                Ok(Entry::Start { life: l, memory_since: m }) => (life, memory_since) = (l, m),
                Ok(Entry::Write { number, token, nsid, slba, block_size, data }) => {
                    kept = number;
                    store.write(nsid, slba, block_size, &Bytes::from(data));
                    if token != 0 && !options.forget_tokens {
                        // Its time was on a clock that is not believed after a cut: it counts as seen now, so that it is
                        // remembered too long rather than too short.
                        store.remember(now, token, nsid, slba);
                    }
                }
                // Danger: passed over, a record of another version would be a write that was answered and is gone.
                Err(_) => return Err(LogError::Foreign(options.path.clone())),
            }
        }
        if !fresh && options.forget_tokens {
            memory_since = now;
        }
        let mut disk = Disk { log, life: life + 1, memory_since, number: kept, written: 0 };
        disk.append(&Entry::Start { life: disk.life, memory_since })?;
        disk.sync()?;
        Ok(Found { disk, store, kept })
    }

    fn append(&mut self, entry: &Entry) -> Result<(), LogError> {
        // A vector takes all that is written to it.
        let bytes = rmp_serde::to_vec_named(entry).unwrap_or_default();
        self.written += bytes.len() as u64;
        self.log.append(&bytes)
    }

    /// Takes a write, which is on the disk after the next sync; its number.
    pub(crate) fn write(
        &mut self,
        token: u64,
        nsid: u32,
        slba: u64,
        block_size: u32,
        data: &Bytes,
    ) -> Result<u64, LogError> {
        self.number += 1;
        let number = self.number;
        self.append(&Entry::Write { number, token, nsid, slba, block_size, data: data.to_vec() })?;
        Ok(number)
    }

    /// Makes durable what was taken.
    pub(crate) fn sync(&mut self) -> Result<(), LogError> {
        self.log.sync()
    }

    /// Writes the log anew if most of it is out of force. All that was taken has to be durable.
    pub(crate) fn tidy(
        &mut self,
        store: &Store,
        block_size: impl Fn(u32) -> u32,
        draw: u64,
    ) -> Result<(), LogError> {
        if self.log.length() < LONG || self.written < LONG / 2 {
            return Ok(());
        }
        let start = Entry::Start { life: self.life, memory_since: self.memory_since };
        let mut entries = vec![start];
        for ((nsid, slba), data) in store.blocks() {
            let (number, block_size) = (self.number, block_size(nsid));
            entries.push(Entry::Write { number, token: 0, nsid, slba, block_size, data: data.to_vec() });
        }
        for (token, nsid, slba) in store.tokens() {
            let (number, block_size) = (self.number, block_size(nsid));
            entries.push(Entry::Write { number, token, nsid, slba, block_size, data: Vec::new() });
        }
        let bytes: Vec<Vec<u8>> =
            entries.iter().map(|e| rmp_serde::to_vec_named(e).unwrap_or_default()).collect();
        self.log.rewrite(draw, bytes.iter().map(Vec::as_slice))?;
        self.written = 0;
        Ok(())
    }
}

/// What is left of a node's disk when the power goes: the file cut back to what was durable, and behind it a part of what
/// would have been written next, as `tear` says. For a rig; the node's process has to be gone.
///
/// # Errors
/// There is no mark beside the file, or the file cannot be changed.
pub fn cut_power(path: &Path, tear: &[u8]) -> std::io::Result<u64> {
    use std::io::{Seek, SeekFrom, Write};
    let mut mark = path.as_os_str().to_owned();
    mark.push(".durable");
    let bytes = std::fs::read(PathBuf::from(mark))?;
    let durable = bytes.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
    let durable = durable.ok_or_else(|| std::io::Error::other("the mark beside the log is cut short"))?;
    let mut file = std::fs::File::options().write(true).open(path)?;
    let length = file.metadata()?.len();
    file.set_len(durable.min(length))?;
    file.seek(SeekFrom::End(0))?;
    file.write_all(tear)?;
    file.sync_all()?;
    Ok(length.saturating_sub(durable))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn options(path: &Path, forget: bool) -> DiskOptions {
        DiskOptions { path: path.to_owned(), forget_tokens: forget, mark: true }
    }

    fn block(n: u8) -> Bytes {
        Bytes::from(vec![n; 512])
    }

    #[test]
    fn what_was_synced_is_there_after_a_cut_and_what_was_not_is_not() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("n1.disk");
        let Found { mut disk, kept, .. } = Disk::open(&options(&path, false), 5, 1).unwrap();
        assert_eq!((kept, disk.life, disk.memory_since), (0, 1, 0));
        assert_eq!(disk.write(77, 1, 8, 512, &block(1)).unwrap(), 1);
        disk.sync().unwrap();
        assert_eq!(disk.write(78, 1, 8, 512, &block(2)).unwrap(), 2);
        drop(disk);
        cut_power(&path, &[9; 40]).unwrap();
        let Found { disk, mut store, kept } = Disk::open(&options(&path, false), 1_000_000, 1).unwrap();
        assert_eq!((kept, disk.life, disk.memory_since), (1, 2, 0));
        assert_eq!(store.read(1, 8, 1, 512), block(1));
        assert!(!store.first(1_000_100, 2_500_000, 77, 1, 8), "its token is remembered");
        assert!(store.first(1_000_100, 2_500_000, 78, 1, 8), "what never was durable may run");
    }

    #[test]
    fn a_node_that_forgets_tokens_says_since_when_it_remembers() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("n1.disk");
        let Found { mut disk, .. } = Disk::open(&options(&path, true), 5, 1).unwrap();
        assert_eq!(disk.memory_since, 0, "a new disk has nothing to forget");
        disk.write(77, 1, 8, 512, &block(1)).unwrap();
        disk.sync().unwrap();
        drop(disk);
        let Found { disk, mut store, .. } = Disk::open(&options(&path, true), 900, 1).unwrap();
        assert_eq!(disk.memory_since, 900);
        assert!(store.first(901, 2_500_000, 77, 1, 8));
        drop(disk);
        // One that keeps them again does not claim more than it has.
        let Found { disk, .. } = Disk::open(&options(&path, false), 2000, 1).unwrap();
        assert_eq!(disk.memory_since, 900);
    }

    #[test]
    fn a_long_log_is_written_anew_with_its_blocks_and_tokens() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("n1.disk");
        let Found { mut disk, mut store, .. } = Disk::open(&options(&path, false), 5, 1).unwrap();
        let data = Bytes::from(vec![3; 1 << 20]);
        for n in 1..=70u64 {
            assert!(store.first(10, 1_000_000, n, 1, 0));
            store.write(1, 0, 512, &data);
            disk.write(n, 1, 0, 512, &data).unwrap();
        }
        disk.sync().unwrap();
        let before = disk.log.length();
        disk.tidy(&store, |_| 512, 2).unwrap();
        assert!(disk.log.length() < before / 10);
        drop(disk);
        let Found { disk, mut store, kept } = Disk::open(&options(&path, false), 20, 1).unwrap();
        assert_eq!((kept, disk.life), (70, 2));
        assert_eq!(store.read(1, 0, 1 << 11, 512), data);
        assert!(!store.first(30, 1_000_000, 70, 1, 0));
    }
}
