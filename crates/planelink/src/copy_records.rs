//! Lines of what came into force in copies: where a copy stood at a start, each entry, and where it stood then.
//!
//! ```text
//! S t gateway life region epoch version count digest   from its own disk, at a start; or by a whole state where nothing was held
//! E t gateway life epoch version key hash|-            an entry, by a delta
//! X t gateway life epoch version key hash|-            an entry, by a whole state, that is other than before
//! G t gateway life key                                 a key that is gone by a whole state
//! C t gateway life region epoch version                behind each delta or whole state: held up to here
//! D t gateway life region epoch version count digest   at an end, and once a minute
//! ```
//!
//! `t` in microseconds since the Unix epoch; `hash` is XXH3-64 of the value, `-` a deletion.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use peer::PeerName;
use plane::{Copy, Cursor, Digest, Entry, Key, Micros, Region, Taken};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::RunError;
use crate::record_file::RecordFile;

/// A key in a line: nothing in it parts the line.
pub(crate) struct KeyText<'a>(pub(crate) &'a Key);

impl fmt::Display for KeyText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.0;
        if !key.name.chars().any(parts) {
            return key.fmt(f);
        }
        write!(f, "{}/{}/", key.owner.0, key.kind.word())?;
        for c in key.name.chars() {
            if parts(c) { write!(f, "%{:x};", c as u32)? } else { write!(f, "{c}")? }
        }
        Ok(())
    }
}

fn parts(c: char) -> bool {
    c.is_whitespace() || c.is_control() || c == '%'
}

/// A value in a line.
pub(crate) struct HashText<'a>(pub(crate) Option<&'a [u8]>);

impl fmt::Display for HashText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(value) => write!(f, "{:016x}", xxh3_64(value)),
            None => f.write_str("-"),
        }
    }
}

/// Whose copy it is.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) name: PeerName,
    /// The number of its life.
    pub(crate) life: u64,
    /// Up to where lines of it were written.
    held: BTreeMap<Region, Cursor>,
}

impl Holder {
    pub(crate) fn new(name: PeerName, life: u64) -> Holder {
        Holder { name, life, held: BTreeMap::new() }
    }
}

/// The file of such lines.
#[derive(Debug)]
pub(crate) struct CopyRecords {
    file: RecordFile,
}

impl CopyRecords {
    pub(crate) fn open(folder: Option<&Path>, name: &str) -> Result<CopyRecords, RunError> {
        Ok(CopyRecords { file: RecordFile::open(folder, name)? })
    }

    /// Where a copy stands at a start.
    pub(crate) fn start(&mut self, t: Micros, holder: &mut Holder, copy: &Copy) {
        holder.held = copy.regions().map(|region| (region, copy.cursor(region))).collect();
        self.stands('S', t, holder, copy);
    }

    /// Where a copy stands later.
    pub(crate) fn stand(&mut self, t: Micros, holder: &Holder, copy: &Copy) {
        self.stands('D', t, holder, copy);
    }

    fn stands(&mut self, letter: char, t: Micros, holder: &Holder, copy: &Copy) {
        if !self.file.is_on() {
            return;
        }
        for region in copy.regions() {
            let table = copy.table(region);
            let (count, digest) = table.map_or_else(Default::default, |table| (table.len(), table.digest()));
            self.stand_at(letter, t, holder, (region, copy.cursor(region)), (count, digest));
        }
    }

    fn stand_at(
        &mut self,
        letter: char,
        t: Micros,
        holder: &Holder,
        (region, at): (Region, Cursor),
        (count, digest): (usize, Digest),
    ) {
        let (name, life) = (&holder.name, holder.life);
        let (region, epoch, version) = (region.0, at.epoch.0, at.version.0);
        self.file
            .line(format_args!("{letter} {t} {name} {life} {region} {epoch} {version} {count} {digest}"));
    }

    /// What came into force.
    pub(crate) fn in_force(&mut self, t: Micros, holder: &mut Holder, taken: &Taken) {
        let (Taken::Delta { region, upto, .. } | Taken::Whole { region, upto, .. }) = taken else { return };
        let before = holder.held.insert(*region, *upto).unwrap_or_default();
        if !self.file.is_on() {
            return;
        }
        let (name, life) = (&holder.name, holder.life);
        match taken {
            Taken::Delta { changed, .. } => {
                changed.iter().for_each(|entry| self.entry('E', t, holder, entry));
            }
            // A copy that begins would write down the whole state, once for each gateway.
            Taken::Whole { entries, .. } if before == Cursor::default() => {
                let live = || entries.iter().filter(|entry| entry.value.is_some());
                let digest = live().fold(Digest::default(), |sum, entry| sum.with(entry.digest()));
                self.stand_at('S', t, holder, (*region, *upto), (live().count(), digest));
            }
            Taken::Whole { gone, changed, .. } => {
                for entry in gone {
                    self.file.line(format_args!("G {t} {name} {life} {}", KeyText(&entry.key)));
                }
                changed.iter().for_each(|entry| self.entry('X', t, holder, entry));
            }
            _ => {}
        }
        let (region, epoch, version) = (region.0, upto.epoch.0, upto.version.0);
        self.file.line(format_args!("C {t} {name} {life} {region} {epoch} {version}"));
    }

    fn entry(&mut self, letter: char, t: Micros, holder: &Holder, entry: &Entry) {
        let (name, life, stamp) = (&holder.name, holder.life, entry.stamp);
        let (epoch, version) = (stamp.epoch.0, stamp.version.0);
        let (key, hash) = (KeyText(&entry.key), HashText(entry.value.as_deref()));
        self.file.line(format_args!("{letter} {t} {name} {life} {epoch} {version} {key} {hash}"));
    }

    /// Gives the lines to the system.
    pub(crate) fn flush(&mut self) -> Result<(), RunError> {
        self.file.flush()
    }
}
