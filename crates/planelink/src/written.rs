//! The log of what a writer made durable.
//!
//! ```text
//! W t region epoch version key hash|-   a change, when it was durable
//! O t region epoch first                an epoch, with its first version
//! ```

use std::path::Path;

use plane::{Cursor, Entry, Epoch, Message, Micros, Region, Stamp, Taken, Version};

use crate::copy_records::{HashText, KeyText};
use crate::error::RunError;
use crate::record_file::RecordFile;

/// The file of such lines, of one region's writer.
#[derive(Debug)]
pub(crate) struct WrittenLog {
    file: RecordFile,
    region: Region,
    /// Up to where it is written.
    upto: Cursor,
}

impl WrittenLog {
    /// Opens the log and finds out up to where it goes.
    pub(crate) fn open(folder: Option<&Path>, name: &str, region: Region) -> Result<WrittenLog, RunError> {
        let mut file = RecordFile::open(folder, name)?;
        let mut upto = Cursor::default();
        for line in file.read()?.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            let number = |at: usize| words.get(at).and_then(|word| word.parse::<u64>().ok());
            let (Some(epoch), Some(version)) = (number(3), number(4)) else { continue };
            let version = if words[0] == "O" { version.saturating_sub(1) } else { version };
            upto = upto.max(Stamp { epoch: Epoch(epoch), version: Version(version) });
        }
        Ok(WrittenLog { file, region, upto })
    }

    /// Takes a body that the machine's store held at a start.
    ///
    /// Danger: a change may be durable and not in this log, where the process was killed between the two, and would later be in
    /// force without ever having been written. Nobody was told of it before this start.
    pub(crate) fn restored(&mut self, t: Micros, body: &[u8]) {
        if !self.file.is_on() {
            return;
        }
        let Some(Message::Delta { region, upto, entries, .. }) = Message::read(body) else { return };
        if region == self.region && upto > self.upto {
            let entries: Vec<Entry> = entries.into_iter().filter_map(plane::WireEntry::into_entry).collect();
            self.lines(t, upto, entries.iter());
        }
    }

    /// Takes what the writer made durable.
    pub(crate) fn written(&mut self, t: Micros, taken: &Taken) {
        if let Taken::Delta { region, upto, changed, .. } = taken
            && *region == self.region
        {
            self.lines(t, *upto, changed.iter().map(|entry| &**entry));
        }
    }

    fn lines<'a>(&mut self, t: Micros, upto: Cursor, entries: impl Iterator<Item = &'a Entry>) {
        let region = self.region.0;
        for entry in entries.filter(|entry| entry.stamp > self.upto) {
            let (epoch, version) = (entry.stamp.epoch.0, entry.stamp.version.0);
            let (key, hash) = (KeyText(&entry.key), HashText(entry.value.as_deref()));
            self.file.line(format_args!("W {t} {region} {epoch} {version} {key} {hash}"));
        }
        if upto.epoch > self.upto.epoch {
            let (epoch, first) = (upto.epoch.0, upto.version.0 + 1);
            self.file.line(format_args!("O {t} {region} {epoch} {first}"));
        }
        self.upto = self.upto.max(upto);
    }

    /// Gives the lines to the system.
    pub(crate) fn flush(&mut self) -> Result<(), RunError> {
        self.file.flush()
    }
}
