//! A process of the drill: a control machine, a gateway, or one who asks for changes; its disk, and what it was seen to hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use peer::PeerName;
use plane::{
    Copy, Cursor, Digest, Epochs, Input, Key, Machine, Micros, Output, Place, Region, Stamp, Subscription,
};

use crate::proposer::Proposer;
use crate::store::Store;

/// Up to where regions are held, and on which line.
pub(crate) type Marks = BTreeMap<Region, (Cursor, Epochs)>;

/// What runs.
#[derive(Debug)]
pub(crate) enum Body {
    Machine(Box<Machine>),
    Gateway(Box<Subscription>, Box<Copy>),
    Proposer(Box<Proposer>),
}

/// A process, up or down.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: PeerName,
    pub(crate) region: Region,
    /// Its place if it is a machine.
    pub(crate) place: Option<Place>,
    pub(crate) body: Option<Body>,
    /// Rises at each start and end; what was for another life is dropped.
    pub(crate) life: u64,
    pub(crate) store: Store,
    /// What its disk holds while it is down.
    pub(crate) marks: Marks,
    /// An older state of its disk.
    pub(crate) older: Option<(Store, Marks)>,
    /// When it is told the time.
    pub(crate) due: Option<Micros>,
    /// A sync is under way: it hears nothing else before its end, as its driver waits for the disk.
    pub(crate) syncs: bool,
    /// What it will hear then.
    pub(crate) unheard: VecDeque<Input>,
    /// Its disk turns down what is to be synced.
    pub(crate) failing: bool,
    /// It reads what has come only after so long.
    pub(crate) slow: Option<Micros>,
    /// Its writer was seen superseded at the last look.
    pub(crate) superseded: bool,
    /// Cursors, stamps and digests as they were seen.
    pub(crate) cursors: BTreeMap<Region, Cursor>,
    /// Keys, and whether they were live then.
    pub(crate) seen: BTreeMap<Key, (Stamp, bool)>,
    pub(crate) digests: BTreeMap<Region, Digest>,
    /// Regions of which it told a change in what it handles now.
    pub(crate) told: BTreeSet<Region>,
}

impl Process {
    pub(crate) fn new(name: PeerName, region: Region, place: Option<Place>) -> Self {
        Process {
            name,
            region,
            place,
            body: None,
            life: 0,
            store: Store::default(),
            marks: Marks::new(),
            older: None,
            due: None,
            syncs: false,
            unheard: VecDeque::new(),
            failing: false,
            slow: None,
            superseded: false,
            cursors: BTreeMap::new(),
            seen: BTreeMap::new(),
            digests: BTreeMap::new(),
            told: BTreeSet::new(),
        }
    }

    pub(crate) fn is_writer(&self) -> bool {
        self.place.as_ref().is_some_and(|place| place.writer)
    }

    pub(crate) fn machine(&self) -> Option<&Machine> {
        match &self.body {
            Some(Body::Machine(machine)) => Some(machine),
            _ => None,
        }
    }

    pub(crate) fn proposer(&mut self) -> Option<&mut Proposer> {
        match &mut self.body {
            Some(Body::Proposer(proposer)) => Some(proposer),
            _ => None,
        }
    }

    /// What it holds, while it is up.
    pub(crate) fn copy(&self) -> Option<&Copy> {
        match self.body.as_ref()? {
            Body::Machine(machine) => Some(machine.copy()),
            Body::Gateway(_, copy) => Some(copy),
            Body::Proposer(_) => None,
        }
    }

    /// Up to where it, or its disk while it is down, holds regions.
    pub(crate) fn marks(&self) -> Marks {
        let Some(copy) = self.copy() else { return self.marks.clone() };
        copy.regions().map(|region| (region, (copy.cursor(region), copy.epochs(region)))).collect()
    }

    pub(crate) fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match &mut self.body {
            Some(Body::Machine(machine)) => machine.handle(now, input, &mut out),
            Some(Body::Gateway(link, copy)) => link.handle(now, input, copy, None, &mut out),
            Some(Body::Proposer(proposer)) => proposer.handle(now, input, &mut out),
            None => {}
        }
        out
    }

    pub(crate) fn next_due(&self) -> Micros {
        match &self.body {
            Some(Body::Machine(machine)) => machine.next_due(),
            Some(Body::Gateway(link, _)) => link.next_due(),
            Some(Body::Proposer(proposer)) => proposer.next_due(),
            None => Micros::MAX,
        }
    }

    /// Puts a whole state in place of all on its disk.
    pub(crate) fn keep_all(&mut self, late: bool) {
        let bodies = match &self.body {
            Some(Body::Machine(machine)) => machine.export(),
            Some(Body::Gateway(_, copy)) => copy.export(),
            _ => return,
        };
        self.store.keep_all(bodies, late);
    }

    /// What it is seen to hold is what it holds now, whatever was before: its disk is another one.
    pub(crate) fn forget(&mut self) {
        self.seen.clear();
        self.cursors.clear();
        self.digests.clear();
    }

    /// Takes what it restored for seen.
    pub(crate) fn look(&mut self) {
        let Some(copy) = self.copy() else { return };
        let mut seen = Vec::new();
        let mut at = Vec::new();
        for region in copy.regions() {
            let Some(table) = copy.table(region) else { continue };
            at.push((region, copy.cursor(region), table.digest()));
            seen.extend(table.iter().map(|entry| (entry.key.clone(), (entry.stamp, true))));
        }
        self.seen.extend(seen);
        for (region, cursor, digest) in at {
            self.cursors.insert(region, cursor);
            self.digests.insert(region, digest);
        }
    }
}

/// Whether marks hold a change of a region.
pub(crate) fn holds(marks: &Marks, region: Region, stamp: Stamp) -> bool {
    marks.get(&region).is_some_and(|(cursor, epochs)| {
        *cursor >= stamp && cursor.version >= stamp.version && epochs.holds(stamp)
    })
}
