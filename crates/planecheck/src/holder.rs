//! What is known of one holder: its lives, its cursors, the last stamp of each key that changed there.

use std::collections::{BTreeMap, HashMap};

use crate::Micros;
use crate::fact::Cursor;

/// A key's last change at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Last(u32);

impl Last {
    const GONE: u32 = 1 << 31;

    pub(crate) fn changed(id: u32) -> Last {
        Last(id)
    }

    pub(crate) fn gone(id: u32) -> Last {
        Last(id | Last::GONE)
    }

    pub(crate) fn id(self) -> u32 {
        self.0 & !Last::GONE
    }

    /// The key is gone by a whole state since.
    pub(crate) fn is_gone(self) -> bool {
        self.0 & Last::GONE != 0
    }
}

/// One region at a holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    /// It was told in this life what is held.
    pub(crate) begun: bool,
    pub(crate) epoch: u64,
    pub(crate) version: u64,
    /// What the holder had when the records began to tell of it.
    pub(crate) base: u64,
    /// What this life found on its disk.
    pub(crate) from_disk: u64,
    /// Spans of versions, from behind one up to another, that a life had handed to its disk and a kill kept from the records.
    pub(crate) untold: Vec<(u64, u64)>,
}

impl Part {
    pub(crate) fn is_untold(&self, version: u64) -> bool {
        self.untold.iter().any(|(after, upto)| *after < version && version <= *upto)
    }

    /// The latest version, of what came by untold ways, at or before which all is held.
    pub(crate) fn untold_upto(&self) -> u64 {
        self.untold.iter().map(|(_, upto)| *upto).max().unwrap_or(0).max(self.base)
    }
}

/// One holder.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    pub(crate) life: Option<u64>,
    /// When it was started first.
    pub(crate) first: Micros,
    /// When this life began.
    pub(crate) started: Micros,
    pub(crate) parts: BTreeMap<u16, Part>,
    pub(crate) keys: HashMap<u32, Last>,
    /// It is a control machine, whose latencies are not counted.
    pub(crate) is_machine: bool,
    /// When its disk was set back, the earliest last.
    pub(crate) set_back: Vec<Micros>,
    /// When it was away, restarted or stuck.
    pub(crate) apart: Vec<(Micros, Micros)>,
}

impl Holder {
    /// It says something in a life.
    pub(crate) fn lives(&mut self, life: u64, t: Micros) {
        // Danger: a disk that was set back may give a life the number that the one before it had.
        let set_back = self.set_back.last().is_some_and(|at| *at <= t);
        if self.life == Some(life) && !set_back {
            return;
        }
        let before = self.life.replace(life);
        self.started = t;
        while self.set_back.last().is_some_and(|at| *at <= t) {
            self.set_back.pop();
        }
        if before.is_none() || set_back {
            self.first = t;
            self.parts.clear();
            self.keys.clear();
        }
        self.parts.values_mut().for_each(|part| part.begun = false);
    }

    /// The region, where what is told of it in this life has begun; a break if it began with nothing told.
    pub(crate) fn part(&mut self, region: u16) -> (&mut Part, Option<String>) {
        let fresh = !self.parts.contains_key(&region);
        let part = self.parts.entry(region).or_default();
        let mut found = None;
        if !part.begun && !fresh && part.version > 0 {
            let held = (part.epoch, part.version);
            found = Some(format!(
                "region {region}: a life begins with nothing, and {}.{} was held",
                held.0, held.1
            ));
            part.from_disk = 0;
        }
        part.begun = true;
        (part, found)
    }

    /// It starts with what its disk holds, or its first whole state; a break in words. `off`: what it held before was cut off by a later epoch.
    pub(crate) fn starts(&mut self, at: Cursor, off: bool) -> Option<String> {
        let fresh = !self.parts.contains_key(&at.region);
        let part = self.parts.entry(at.region).or_default();
        let found = if fresh {
            part.base = at.version;
            None
        } else {
            let found = part.goes_back(at, off);
            // In the middle of a life only who held nothing takes all at once without telling of each entry.
            if at.version > part.version && (!part.begun || part.version == 0) {
                part.untold.push((part.version, at.version));
            }
            found.map(|what| format!("starts with {what}"))
        };
        part.begun = true;
        (part.epoch, part.version, part.from_disk) = (at.epoch, at.version, at.version);
        found
    }
}

impl Part {
    /// Whether a cursor is behind what is held, in words. From a place that a later epoch has cut off (`off`) the way to that
    /// epoch may lead to an earlier version.
    pub(crate) fn goes_back(&self, at: Cursor, off: bool) -> Option<String> {
        let back = (at.epoch, at.version) < (self.epoch, self.version) || at.version < self.version && !off;
        let what = || {
            format!("region {}: {}.{} after {}.{}", at.region, at.epoch, at.version, self.epoch, self.version)
        };
        back.then(what)
    }
}
