//! The one writer of a region: gives changes their versions, and says so only once they are durable.

use std::collections::{BTreeSet, VecDeque};

use crate::copy::{Bounds, Copy};
use crate::entry::{Cursor, Entry, Epoch, Key, Region, Stamp, Version};
use crate::epochs::Epochs;
use crate::io::Conn;
use crate::message::{Change, Message, Proposal, ProposalError, Proposed, WireEntry};

/// Changes of one proposal.
const CHANGES: usize = 2000;
/// Changes that wait for the disk.
const WAITING: usize = 20_000;
/// Changes that go to the disk together, so that their message fits a frame.
const TOGETHER: usize = 1000;
/// Epochs that a writer may come to; what is said of later ones is damage.
const SANE: u64 = 1 << 40;
/// Bytes of them.
const TOGETHER_BYTES: usize = 128 << 10;

/// Whether a writer writes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// It asks the other machines of its region what they hold.
    Recovering,
    /// Its epoch goes to the disk.
    Opening(Epoch),
    /// It writes.
    Open,
    /// A later epoch was seen; it writes no more.
    Superseded(Epoch),
}

/// Changes on their way to the disk, and whom to tell.
#[derive(Debug, Default)]
struct Batch {
    upto: Cursor,
    entries: Vec<Entry>,
    /// Question, and how many of the entries are its.
    askers: Vec<(Conn, u64, usize)>,
}

/// A region's writer, beside the copy of the machine that it runs in.
#[derive(Debug)]
pub struct Writer {
    region: Region,
    stage: Stage,
    /// The latest epoch that anybody was seen to hold.
    seen: Epoch,
    waiting: VecDeque<(Conn, u64, Vec<Change>)>,
    changes: usize,
    flying: Option<Batch>,
}

impl Writer {
    /// A writer that has just started and writes nothing yet.
    pub fn new(region: Region) -> Writer {
        let seen = Epoch(0);
        Writer { region, stage: Stage::Recovering, seen, waiting: VecDeque::new(), changes: 0, flying: None }
    }

    /// Its region.
    pub fn region(&self) -> Region {
        self.region
    }

    /// Whether it takes changes.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Whether it waits for what others hold.
    pub fn is_recovering(&self) -> bool {
        self.stage == Stage::Recovering
    }

    /// Somebody holds more of this writer's epoch than it wrote: another epoch begins.
    pub fn begin_anew(&mut self) {
        if self.stage == Stage::Open {
            self.stage = Stage::Recovering;
        }
    }

    /// Somebody holds an epoch of the region, `own` being this one's. The next epoch is above it; if a machine said so, it is later
    /// and this one writes, whoever wrote it goes before, and this one writes no more: answers to those who wait.
    pub fn saw(&mut self, epoch: Epoch, own: Epoch, machine: bool) -> Vec<(Conn, u64, Proposed)> {
        if epoch.0 >= SANE {
            return Vec::new();
        }
        self.seen = self.seen.max(epoch);
        if !machine || epoch <= own || self.stage == Stage::Recovering {
            return Vec::new();
        }
        self.stage = Stage::Superseded(epoch);
        self.changes = 0;
        let over = |(conn, id, _)| (conn, id, Err(ProposalError::Superseded(epoch.0)));
        self.waiting.drain(..).map(over).collect()
    }

    /// All that others hold of the region is in the copy: a new epoch begins, once the given message is durable.
    pub fn open(&mut self, copy: &Copy) -> Option<Message> {
        if self.stage != Stage::Recovering {
            return None;
        }
        let after = copy.cursor(self.region);
        let epoch = Epoch(after.epoch.max(self.seen).0 + 1);
        self.stage = Stage::Opening(epoch);
        let mut epochs = Epochs::default();
        epochs.begin(epoch, Version(after.version.0 + 1));
        Some(Message::Delta {
            region: self.region,
            after,
            upto: Stamp { epoch, version: after.version },
            epochs,
            entries: Vec::new(),
            digest: None,
        })
    }

    /// Takes a proposal; its answer if it is turned down at once. `waits` names those that recovery waits for.
    pub fn propose(
        &mut self,
        conn: Conn,
        id: u64,
        proposal: Proposal,
        copy: &Copy,
        bounds: &Bounds,
        waits: &BTreeSet<String>,
    ) -> Option<Proposed> {
        if let Err(error) = self.check(&proposal, copy, bounds, waits) {
            return Some(Err(error));
        }
        self.changes += proposal.changes.len();
        self.waiting.push_back((conn, id, proposal.changes));
        None
    }

    fn check(
        &self,
        proposal: &Proposal,
        copy: &Copy,
        bounds: &Bounds,
        waits: &BTreeSet<String>,
    ) -> Result<(), ProposalError> {
        match &self.stage {
            Stage::Recovering | Stage::Opening(_) => {
                let waits: Vec<&str> = waits.iter().map(String::as_str).collect();
                return Err(ProposalError::Recovering(waits.join(", ")));
            }
            Stage::Superseded(epoch) => return Err(ProposalError::Superseded(epoch.0)),
            Stage::Open => {}
        }
        let bound =
            |what: &str, most: usize| ProposalError::Bound { what: what.to_owned(), most: most as u64 };
        if proposal.changes.is_empty() || proposal.changes.len() > CHANGES {
            return Err(bound("a proposal without changes, or with too many", CHANGES + 1));
        }
        let mut seen = BTreeSet::new();
        for change in &proposal.changes {
            let key = || format!("{}/{}/{}", change.owner.0, change.kind.word(), change.name);
            if change.owner != self.region {
                return Err(ProposalError::Foreign { key: key(), owner: change.owner.0 });
            }
            if change.name.is_empty() || change.name.len() > bounds.name {
                return Err(bound("an empty or long name", bounds.name + 1));
            }
            if change.value.as_ref().is_some_and(|value| value.len() > bounds.value) {
                return Err(bound("a value", bounds.value + 1));
            }
            if !seen.insert((change.kind, &change.name)) {
                return Err(ProposalError::Twice(key()));
            }
        }
        // Danger: what is durable and then over a bound would be on the disk and nowhere else. What waits counts as new.
        let waiting = self.changes * (size_of::<Entry>() + bounds.name + bounds.value).min(1024);
        let (mut entries, mut bytes, mut grows) = (copy.len() + self.changes, copy.bytes() + waiting, false);
        for change in &proposal.changes {
            let before =
                copy.get(&Key::new(change.owner, change.kind, &change.name)).map(|entry| entry.size());
            let after =
                change.value.as_ref().map(|value| size_of::<Entry>() + change.name.len() + value.len());
            entries = entries + usize::from(after.is_some()) - usize::from(before.is_some());
            bytes = bytes + after.unwrap_or(0) - before.unwrap_or(0);
            grows |= after > before;
        }
        if grows && entries > bounds.entries {
            return Err(bound("the state's entries", bounds.entries));
        }
        if grows && bytes > bounds.bytes {
            return Err(bound("the state's bytes", bounds.bytes));
        }
        if self.changes + proposal.changes.len() > WAITING {
            return Err(ProposalError::Busy);
        }
        Ok(())
    }

    /// The next changes for the disk, as one message; none while others are on their way there.
    pub fn next(&mut self, copy: &Copy) -> Option<Message> {
        if self.flying.is_some() || self.stage != Stage::Open || self.waiting.is_empty() {
            return None;
        }
        let after = copy.cursor(self.region);
        let mut batch = Batch { upto: after, ..Batch::default() };
        let mut bytes = 0;
        while let Some((_, _, changes)) = self.waiting.front() {
            let size: usize =
                changes.iter().map(|c| c.name.len() + c.value.as_ref().map_or(0, |v| v.len())).sum();
            let full = batch.entries.len() + changes.len() > TOGETHER || bytes + size > TOGETHER_BYTES;
            // One that is larger than that goes alone.
            if full && !batch.entries.is_empty() {
                break;
            }
            let Some((conn, id, changes)) = self.waiting.pop_front() else { break };
            self.changes -= changes.len();
            bytes += size;
            batch.askers.push((conn, id, changes.len()));
            for change in changes {
                batch.upto.version.0 += 1;
                let key = Key::new(self.region, change.kind, &change.name);
                let value = change.value.map(|value| value.into_vec().into_boxed_slice());
                batch.entries.push(Entry { key, stamp: batch.upto, value });
            }
        }
        let entries = batch.entries.iter().map(WireEntry::from_entry).collect();
        let (region, upto) = (self.region, batch.upto);
        self.flying = Some(batch);
        Some(Message::Delta { region, after, upto, epochs: Epochs::default(), entries, digest: None })
    }

    /// What was given to the disk is durable: answers, by question. Its message is taken by the copy now.
    pub fn kept(&mut self) -> Vec<(Conn, u64, Proposed)> {
        if let Stage::Opening(_) = self.stage {
            self.stage = Stage::Open;
            return Vec::new();
        }
        let Some(batch) = self.flying.take() else { return Vec::new() };
        if let Stage::Superseded(epoch) = self.stage {
            let over = |(conn, id, _)| (conn, id, Err(ProposalError::Superseded(epoch.0)));
            return batch.askers.into_iter().map(over).collect();
        }
        let mut stamps = batch.entries.iter().map(|entry| entry.stamp);
        let answer =
            |(conn, id, count): (Conn, u64, usize)| (conn, id, Ok(stamps.by_ref().take(count).collect()));
        batch.askers.into_iter().map(answer).collect()
    }

    /// The disk turned it down: answers, by question. Nothing of it was said to anybody, and its versions are given anew.
    pub fn not_kept(&mut self, why: &str) -> Vec<(Conn, u64, Proposed)> {
        if let Stage::Opening(_) = self.stage {
            self.stage = Stage::Recovering;
            return Vec::new();
        }
        let Some(batch) = self.flying.take() else { return Vec::new() };
        let failed = |(conn, id, _)| (conn, id, Err(ProposalError::Disk(why.to_owned())));
        batch.askers.into_iter().map(failed).collect()
    }
}
