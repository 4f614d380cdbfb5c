//! What the regions' writers made durable, by which all that processes hold is judged.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use plane::{Change, Cursor, Digest, Entry, Epoch, Key, Region, Stamp, Table, Version};

/// A change that was made durable.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) entry: Arc<Entry>,
    /// Its proposer was told that it is durable.
    pub(crate) answered: bool,
    /// Another machine of its region held it once.
    pub(crate) replicated: bool,
    /// A later epoch began before it.
    pub(crate) abandoned: bool,
    /// The writer's disk lost it before anybody else in its region had it.
    pub(crate) excused: bool,
}

/// One region's history.
#[derive(Debug, Default)]
pub(crate) struct Line {
    pub(crate) live: BTreeMap<Key, Arc<Entry>>,
    pub(crate) digest: Digest,
    pub(crate) cursor: Cursor,
    states: HashMap<Cursor, Digest>,
    opens: Vec<(Epoch, Version)>,
    pub(crate) writes: Vec<Write>,
    by_stamp: HashMap<Stamp, Vec<usize>>,
    /// An epoch's number was given twice: stamps of it stand for two things.
    pub(crate) reused: Option<Epoch>,
    refused: BTreeSet<Vec<u8>>,
}

impl Line {
    fn put(&mut self, entry: Arc<Entry>) {
        if let Some(before) = self.live.remove(&entry.key) {
            self.digest = self.digest.without(before.digest());
        }
        if entry.value.is_some() {
            self.digest = self.digest.with(entry.digest());
            self.live.insert(entry.key.clone(), entry.clone());
        }
        self.cursor = entry.stamp;
        self.states.insert(self.cursor, self.digest);
        let write = Write { entry, answered: false, replicated: false, abandoned: false, excused: false };
        self.by_stamp.entry(self.cursor).or_default().push(self.writes.len());
        self.writes.push(write);
    }

    /// Takes a table in place of what was live.
    fn become_table(&mut self, cursor: Cursor, table: &Table) {
        self.live = table.iter().map(|entry| (entry.key.clone(), entry.clone())).collect();
        (self.cursor, self.digest) = (cursor, table.digest());
        self.states.insert(cursor, self.digest);
    }

    /// The writer made changes durable.
    pub(crate) fn written(&mut self, entries: &[Arc<Entry>]) -> Result<(), String> {
        for entry in entries {
            if entry.stamp.version.0 != self.cursor.version.0 + 1 {
                return Err(format!("{} written at {} behind {}", entry.key, entry.stamp, self.cursor));
            }
            if entry.value.as_deref().is_some_and(|value| self.refused.contains(value)) {
                return Err(format!("{} at {} was answered as not taken", entry.key, entry.stamp));
            }
            self.put(entry.clone());
        }
        Ok(())
    }

    /// The writer starts, with this on its disk: changes, or an epoch, whose durability nobody had been told yet may be among it.
    pub(crate) fn found(&mut self, cursor: Cursor, table: &Table) {
        if cursor.epoch > self.cursor.epoch {
            self.open(cursor.version, cursor.epoch, table);
            return;
        }
        if cursor.epoch != self.cursor.epoch || cursor.version <= self.cursor.version {
            return;
        }
        let mut more: Vec<_> =
            table.iter().filter(|e| e.stamp.version > self.cursor.version).cloned().collect();
        more.sort_by_key(|entry| entry.stamp);
        more.into_iter().for_each(|entry| self.put(entry));
        self.become_table(cursor, table);
    }

    /// The writer opened an epoch behind a cursor, holding this.
    pub(crate) fn opened(&mut self, after: Cursor, epoch: Epoch, table: &Table) -> Result<(), String> {
        if after != Cursor::default() && !self.is_state(after, table.digest()) {
            return Err(format!("epoch {} opens behind {after} on a state that never was", epoch.0));
        }
        self.open(after.version, epoch, table);
        Ok(())
    }

    fn open(&mut self, after: Version, epoch: Epoch, table: &Table) {
        if self.opens.iter().any(|(other, _)| *other >= epoch) {
            self.reused = Some(self.reused.map_or(epoch, |before| before.min(epoch)));
        }
        let first = Version(after.0 + 1);
        for write in self.writes.iter_mut().filter(|write| write.entry.stamp.version >= first) {
            write.abandoned = true;
        }
        self.opens.push((epoch, first));
        self.become_table(Stamp { epoch, version: after }, table);
    }

    /// Whether all that is held at a cursor is what was written up to it.
    pub(crate) fn is_state(&self, cursor: Cursor, digest: Digest) -> bool {
        if self.reused.is_some_and(|epoch| cursor.epoch >= epoch) {
            return true;
        }
        let nothing = cursor == Cursor::default() && digest == Digest::default();
        nothing || self.states.get(&cursor) == Some(&digest)
    }

    /// Whether a later epoch began before a stamp.
    pub(crate) fn is_abandoned(&self, stamp: Stamp) -> bool {
        self.reused.is_some_and(|epoch| stamp.epoch >= epoch)
            || self.opens.iter().any(|(epoch, first)| *epoch > stamp.epoch && *first <= stamp.version)
    }

    /// Another machine of the region holds it up to here.
    pub(crate) fn replicated(&mut self, upto: Cursor) {
        let open = self.writes.iter_mut().rev().filter(|write| !write.abandoned);
        for write in open.take_while(|write| !write.replicated) {
            write.replicated = write.entry.stamp <= upto;
        }
    }

    /// A proposer was told that its change is durable with this stamp.
    pub(crate) fn answered(&mut self, change: &Change, stamp: Stamp) -> Result<(), String> {
        let value = change.value.as_ref().map(|value| value.as_slice());
        for at in self.by_stamp.get(&stamp).into_iter().flatten() {
            let write = &mut self.writes[*at];
            let (key, held) = (&write.entry.key, write.entry.value.as_deref());
            if key.name == change.name && key.kind == change.kind && held == value {
                write.answered = true;
                return Ok(());
            }
        }
        Err(format!("{} was answered as durable at {stamp}, where it is not", change.name))
    }

    /// A proposer was told that its change was not taken.
    pub(crate) fn refused(&mut self, change: &Change) -> Result<(), String> {
        let Some(value) = &change.value else { return Ok(()) };
        let is = |write: &&Write| write.entry.value.as_deref() == Some(value.as_slice());
        if let Some(write) = self.writes.iter().find(is) {
            return Err(format!("{} at {} was answered as not taken", write.entry.key, write.entry.stamp));
        }
        self.refused.insert(value.to_vec());
        Ok(())
    }

    /// A change that was answered as durable and is on no line any more, if there is one that nothing excuses.
    pub(crate) fn lost(&self) -> Option<String> {
        let lost = |write: &&Write| write.answered && write.abandoned && !write.excused;
        let write = self.writes.iter().find(lost)?;
        Some(format!(
            "{} at {} was answered as durable and is lost (another machine of the region had it: {})",
            write.entry.key, write.entry.stamp, write.replicated
        ))
    }
}

/// All regions' histories.
pub(crate) type Ledger = BTreeMap<Region, Line>;
