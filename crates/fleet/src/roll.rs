//! The table of members: what is known of each, and where it stands here.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::holding::Holding;
use crate::member::{Member, Standing};
use crate::merge::merge;
use crate::options::{FleetOptions, Plant};
use crate::record::{MOST_JUMP, MOST_NUMBER, MOST_WITNESSES, Record};

/// Periods after which a member that left is no longer shown. Its record stays.
const SHOWN_LEFT: Micros = 60;
/// Parts of a thousand by which suspicion has shrunk from the longest to the shortest with 1, 2, 3 and 4 witnesses:
/// `log(witnesses) / log(4)`, as Lifeguard has it.
const SHRUNK: [Micros; MOST_WITNESSES] = [0, 500, 792, 1000];

#[derive(Clone, Debug)]
struct Entry {
    zone: u32,
    record: Option<Record>,
    standing: Standing,
    since: Micros,
    /// When the suspicion that stands was first heard of here.
    doubted: Option<Micros>,
}

/// How long a suspicion lasts.
#[derive(Clone, Copy, Debug)]
struct Span {
    longest: Micros,
    shortest: Micros,
}

impl Entry {
    /// When the suspicion that stands is over.
    fn ends(&self, span: Span) -> Option<Micros> {
        let witnesses = self.record.as_ref()?.witnesses.len().clamp(1, MOST_WITNESSES);
        let shrunk = (span.longest - span.shortest) * SHRUNK[witnesses - 1] / 1000;
        Some(self.doubted? + span.longest - shrunk)
    }

    fn stands(&self, span: Span, now: Micros, alone: bool, grace: bool, own: bool) -> Standing {
        let Some(record) = &self.record else { return Standing::Joining };
        if record.left {
            return Standing::Left;
        }
        if alone {
            return Standing::Unreachable;
        }
        // A doubt of itself is a gateway's own to refute, never to believe.
        if !own && !record.witnesses.is_empty() {
            let over = self.ends(span).is_some_and(|end| now >= end);
            let was = self.standing == Standing::Unreachable;
            return if over && (was || !grace) { Standing::Unreachable } else { Standing::Suspected };
        }
        if record.leaving { Standing::Leaving } else { Standing::Up }
    }
}

/// What a merge has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    Nothing,
    /// Something is new.
    News,
    /// A suspicion began.
    Doubted,
    /// A suspicion was refuted.
    Refuted,
    /// A later life began.
    Renewed,
}

pub(crate) struct Roll {
    own: PeerName,
    entries: BTreeMap<PeerName, Entry>,
    span: Span,
    digest: u64,
    stale: bool,
    changed: bool,
    shown_left: Micros,
    plant: Plant,
}

impl Roll {
    pub(crate) fn new(options: &FleetOptions, life: Life, now: Micros) -> Roll {
        let period = options.period;
        let entry =
            |zone| Entry { zone, record: None, standing: Standing::Joining, since: now, doubted: None };
        let mut entries: BTreeMap<_, _> =
            options.members.iter().map(|(name, zone)| (name.clone(), entry(*zone))).collect();
        let own = entries.entry(options.name.clone()).or_insert_with(|| entry(options.zone));
        own.record = Some(Record::new(life));
        own.standing = Standing::Up;
        let mut roll = Roll {
            own: options.name.clone(),
            entries,
            span: Span {
                longest: Micros::from(options.suspicion.0.max(options.suspicion.1)) * period,
                shortest: Micros::from(options.suspicion.1) * period,
            },
            digest: 0,
            stale: true,
            changed: false,
            shown_left: SHOWN_LEFT * period,
            plant: options.plant,
        };
        roll.stand(now, false, false);
        roll
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn knows(&self, name: &PeerName) -> bool {
        self.entries.contains_key(name)
    }

    pub(crate) fn record(&self, name: &PeerName) -> Option<&Record> {
        self.entries.get(name)?.record.as_ref()
    }

    pub(crate) fn standing(&self, name: &PeerName) -> Option<Standing> {
        self.entries.get(name).map(|e| e.standing)
    }

    /// Other members in the order of their names, with their standing.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&PeerName, Standing)> {
        self.entries.iter().filter(|(name, _)| **name != self.own).map(|(name, e)| (name, e.standing))
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = (&PeerName, &Record)> {
        self.entries.iter().filter_map(|(name, e)| Some((name, e.record.as_ref()?)))
    }

    /// Why a record of this member cannot be taken from another; none if it can.
    pub(crate) fn wrong(&self, name: &PeerName, theirs: &Record, from: &PeerName) -> Option<&'static str> {
        let Some(entry) = self.entries.get(name) else {
            return Some("it names a member that the site file does not: compare the site files");
        };
        let (known, counter) = match &entry.record {
            Some(r) if r.incarnation == theirs.incarnation => (r.incarnation, r.own),
            Some(r) => (r.incarnation, 0),
            None => (0, 0),
        };
        // Danger: a life near the end of its numbers would bar the member's true lives for ever. Harm: a member that
        // truly started a million times unheard is known only once it is heard itself.
        let far = theirs.incarnation > known.saturating_add(MOST_JUMP) && name != from;
        let counted = theirs.own > counter.saturating_add(MOST_JUMP);
        if far || counted || theirs.incarnation > MOST_NUMBER || theirs.own > MOST_NUMBER {
            return Some("it tells an impossible life or counter of a member: look at that gateway's disk");
        }
        let strange = |w: &PeerName| w == name || !self.entries.contains_key(w);
        if theirs.witnesses.len() > MOST_WITNESSES || theirs.witnesses.iter().any(strange) {
            return Some("it names witnesses that cannot be");
        }
        (theirs.holding.volumes.len() > crate::MOST_VOLUMES).then_some("it tells too large a holding")
    }

    /// Takes what was found to be possible.
    pub(crate) fn merge(&mut self, now: Micros, name: &PeerName, theirs: &Record) -> Merged {
        let plant = self.plant;
        let Some(entry) = self.entries.get_mut(name) else { return Merged::Nothing };
        let Some(mine) = &entry.record else {
            entry.doubted = (!theirs.witnesses.is_empty()).then_some(now);
            entry.record = Some(theirs.clone());
            self.stale = true;
            return Merged::Renewed;
        };
        let next = merge(mine, theirs, plant);
        if next == *mine {
            return Merged::Nothing;
        }
        let renewed = next.life() != mine.life();
        let spoke = renewed || next.own != mine.own;
        let (was, is) = (!mine.witnesses.is_empty(), !next.witnesses.is_empty());
        // The time runs from the first doubt of one word of the member's.
        if !is || spoke {
            entry.doubted = is.then_some(now);
        } else if !was {
            entry.doubted = Some(now);
        }
        entry.record = Some(next);
        self.stale = true;
        match (renewed, was && spoke, is && (spoke || !was)) {
            (true, _, _) => Merged::Renewed,
            (_, _, true) => Merged::Doubted,
            (_, true, _) => Merged::Refuted,
            _ => Merged::News,
        }
    }

    /// Puts this gateway's own record in place of the one before.
    pub(crate) fn say(&mut self, record: Record) {
        if let Some(entry) = self.entries.get_mut(&self.own) {
            entry.record = Some(record);
            entry.doubted = None;
            self.stale = true;
        }
    }

    /// This gateway was stopped for so long: what it timed meanwhile did not pass for the others.
    pub(crate) fn shift(&mut self, by: Micros) {
        for entry in self.entries.values_mut() {
            entry.doubted = entry.doubted.map(|at| at + by);
        }
    }

    /// The next time at which a standing changes by itself.
    pub(crate) fn due(&self) -> Option<Micros> {
        let suspected = self.entries.values().filter(|e| e.standing == Standing::Suspected);
        suspected.filter_map(|e| e.ends(self.span)).min()
    }

    /// Brings the standings up to date; how many changed.
    pub(crate) fn stand(&mut self, now: Micros, alone: bool, grace: bool) -> u64 {
        let mut changes = 0;
        for (name, entry) in &mut self.entries {
            let own = *name == self.own;
            let standing = entry.stands(self.span, now, alone && !own, grace, own);
            if entry.standing != standing {
                (entry.standing, entry.since) = (standing, now);
                self.stale = true;
                changes += 1;
            }
            if self.plant == Plant::LeftForgotten
                && standing == Standing::Left
                && now - entry.since > self.span.shortest
            {
                entry.record = None;
            }
        }
        if std::mem::take(&mut self.stale) {
            self.digest = self.digested();
            self.changed = true;
        }
        changes
    }

    /// Members as users see them.
    pub(crate) fn members(&self, now: Micros) -> Vec<Member> {
        let shown = |e: &Entry| e.standing != Standing::Left || now - e.since <= self.shown_left;
        let entries = self.entries.iter().filter(|(_, e)| shown(e));
        let member = |(name, e): (&PeerName, &Entry)| Member {
            name: name.clone(),
            zone: e.zone,
            life: e.record.as_ref().map(Record::life),
            standing: e.standing,
            since: e.since,
            holding: e.record.as_ref().map(|r| r.holding.clone()).unwrap_or_default(),
        };
        entries.map(member).collect()
    }

    /// Whether anything changed since this was last asked.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The digest of what is agreed, as of the last [`Roll::stand`].
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Members that nobody has heard of are not in it, so that it says nothing of them.
    fn digested(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for (name, entry) in &self.entries {
            let Some(record) = &entry.record else { continue };
            hasher.update(&(name.0.len() as u64).to_le_bytes());
            hasher.update(name.0.as_bytes());
            for word in [record.incarnation, record.nonce, record.own, entry.standing as u64] {
                hasher.update(&word.to_le_bytes());
            }
            let Holding { volumes, cap, candidate } = &record.holding;
            for word in [*cap, *candidate, volumes.len() as u64] {
                hasher.update(&word.to_le_bytes());
            }
            volumes.iter().for_each(|v| {
                hasher.update(&v.to_le_bytes());
            });
        }
        let hash = hasher.finalize();
        hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}
