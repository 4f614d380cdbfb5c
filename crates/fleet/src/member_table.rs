//! Member table: the known record of each member and its standing on this gateway.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::holding::Holding;
use crate::member::{Member, Standing};
use crate::merge::merge;
use crate::options::{FleetOptions, Plant};
use crate::record::{MOST_JUMP, MOST_NUMBER, MOST_WITNESSES, Record};

/// Periods after which a member that left disappears from views. Its record is kept.
const LEFT_VISIBLE_PERIODS: Micros = 60;
/// Reduction of the suspicion timeout, in thousandths of the range from longest to shortest, for 1, 2, 3 and 4 witnesses:
/// `log(witnesses) / log(4)`, from Lifeguard.
const SUSPICION_REDUCTION_PERMILLE: [Micros; MOST_WITNESSES] = [0, 500, 792, 1000];

#[derive(Clone, Debug)]
struct Entry {
    zone: u32,
    record: Option<Record>,
    standing: Standing,
    since: Micros,
    /// When the current suspicion first became known here.
    suspected_at: Option<Micros>,
}

/// Bounds of the time that a member has to refute a suspicion.
#[derive(Clone, Copy, Debug)]
struct SuspicionTimeout {
    longest: Micros,
    shortest: Micros,
}

impl Entry {
    /// When the current suspicion times out.
    fn suspicion_end(&self, suspicion_timeout: SuspicionTimeout) -> Option<Micros> {
        let witnesses = self.record.as_ref()?.witnesses.len().clamp(1, MOST_WITNESSES);
        let reduction = (suspicion_timeout.longest - suspicion_timeout.shortest)
            * SUSPICION_REDUCTION_PERMILLE[witnesses - 1]
            / 1000;
        Some(self.suspected_at? + suspicion_timeout.longest - reduction)
    }

    fn current_standing(
        &self,
        suspicion_timeout: SuspicionTimeout,
        now: Micros,
        isolated: bool,
        in_grace: bool,
        own: bool,
    ) -> Standing {
        let Some(record) = &self.record else { return Standing::Joining };
        if record.left {
            return Standing::Left;
        }
        if isolated {
            return Standing::Unreachable;
        }
        // A gateway refutes a suspicion of itself and never adopts it.
        if !own && !record.witnesses.is_empty() {
            let expired = self.suspicion_end(suspicion_timeout).is_some_and(|end| now >= end);
            let was_unreachable = self.standing == Standing::Unreachable;
            return if expired && (was_unreachable || !in_grace) {
                Standing::Unreachable
            } else {
                Standing::Suspected
            };
        }
        if record.leaving { Standing::Leaving } else { Standing::Up }
    }
}

/// The effect of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    Unchanged,
    /// The record changed in some other respect.
    Updated,
    /// A suspicion began.
    Suspected,
    /// A suspicion was refuted.
    Refuted,
    /// The record is of a later life, or the first one known.
    NewLife,
}

pub(crate) struct MemberTable {
    own: PeerName,
    entries: BTreeMap<PeerName, Entry>,
    suspicion_timeout: SuspicionTimeout,
    digest: u64,
    digest_outdated: bool,
    changed: bool,
    left_visible_for: Micros,
    plant: Plant,
}

impl MemberTable {
    pub(crate) fn new(options: &FleetOptions, life: Life, now: Micros) -> MemberTable {
        let period = options.period;
        let entry =
            |zone| Entry { zone, record: None, standing: Standing::Joining, since: now, suspected_at: None };
        let mut entries: BTreeMap<_, _> =
            options.members.iter().map(|(name, zone)| (name.clone(), entry(*zone))).collect();
        let own = entries.entry(options.name.clone()).or_insert_with(|| entry(options.zone));
        own.record = Some(Record::new(life));
        own.standing = Standing::Up;
        let mut member_table = MemberTable {
            own: options.name.clone(),
            entries,
            suspicion_timeout: SuspicionTimeout {
                longest: Micros::from(options.suspicion.0.max(options.suspicion.1)) * period,
                shortest: Micros::from(options.suspicion.1) * period,
            },
            digest: 0,
            digest_outdated: true,
            changed: false,
            left_visible_for: LEFT_VISIBLE_PERIODS * period,
            plant: options.plant,
        };
        member_table.refresh_standings(now, false, false);
        member_table
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

    /// Other members sorted by name, with their standing.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&PeerName, Standing)> {
        self.entries.iter().filter(|(name, _)| **name != self.own).map(|(name, e)| (name, e.standing))
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = (&PeerName, &Record)> {
        self.entries.iter().filter_map(|(name, e)| Some((name, e.record.as_ref()?)))
    }

    /// Reason to reject a received record; `None` if it is acceptable.
    pub(crate) fn rejection_reason(
        &self,
        name: &PeerName,
        theirs: &Record,
        from: &PeerName,
    ) -> Option<&'static str> {
        let Some(entry) = self.entries.get(name) else {
            return Some("it names a member that the site file does not: compare the site files");
        };
        let (known, counter) = match &entry.record {
            Some(r) if r.incarnation == theirs.incarnation => (r.incarnation, r.own),
            Some(r) => (r.incarnation, 0),
            None => (0, 0),
        };
        // Accepting an incarnation near the maximum would lock out the member's real lives for ever. The cost: a member that
        // really started a million times unheard becomes known only from its own messages.
        let far = theirs.incarnation > known.saturating_add(MOST_JUMP) && name != from;
        let counted = theirs.own > counter.saturating_add(MOST_JUMP);
        if far || counted || theirs.incarnation > MOST_NUMBER || theirs.own > MOST_NUMBER {
            return Some("it reports an impossible life or counter of a member: look at that gateway's disk");
        }
        let strange = |w: &PeerName| w == name || !self.entries.contains_key(w);
        if theirs.witnesses.len() > MOST_WITNESSES || theirs.witnesses.iter().any(strange) {
            return Some("it names invalid witnesses");
        }
        (theirs.holding.volumes.len() > crate::MOST_VOLUMES).then_some("it reports too large a holding")
    }

    /// Merges a record that passed [`MemberTable::rejection_reason`].
    pub(crate) fn merge(&mut self, now: Micros, name: &PeerName, theirs: &Record) -> MergeOutcome {
        let plant = self.plant;
        let Some(entry) = self.entries.get_mut(name) else { return MergeOutcome::Unchanged };
        let Some(mine) = &entry.record else {
            entry.suspected_at = (!theirs.witnesses.is_empty()).then_some(now);
            entry.record = Some(theirs.clone());
            self.digest_outdated = true;
            return MergeOutcome::NewLife;
        };
        let next = merge(mine, theirs, plant);
        if next == *mine {
            return MergeOutcome::Unchanged;
        }
        let renewed = next.life() != mine.life();
        let own_update = renewed || next.own != mine.own;
        let (was_suspected, is_suspected) = (!mine.witnesses.is_empty(), !next.witnesses.is_empty());
        // The timeout runs from the first suspicion of one update of the member.
        if !is_suspected || own_update {
            entry.suspected_at = is_suspected.then_some(now);
        } else if !was_suspected {
            entry.suspected_at = Some(now);
        }
        entry.record = Some(next);
        self.digest_outdated = true;
        match (renewed, was_suspected && own_update, is_suspected && (own_update || !was_suspected)) {
            (true, _, _) => MergeOutcome::NewLife,
            (_, _, true) => MergeOutcome::Suspected,
            (_, true, _) => MergeOutcome::Refuted,
            _ => MergeOutcome::Updated,
        }
    }

    /// Replaces this gateway's own record.
    pub(crate) fn set_own_record(&mut self, record: Record) {
        if let Some(entry) = self.entries.get_mut(&self.own) {
            entry.record = Some(record);
            entry.suspected_at = None;
            self.digest_outdated = true;
        }
    }

    /// Extends all suspicions by the time that this gateway was paused, as members could not refute them here meanwhile.
    pub(crate) fn extend_suspicions(&mut self, by: Micros) {
        for entry in self.entries.values_mut() {
            entry.suspected_at = entry.suspected_at.map(|at| at + by);
        }
    }

    /// The next time at which a suspicion times out.
    pub(crate) fn due(&self) -> Option<Micros> {
        let suspected = self.entries.values().filter(|e| e.standing == Standing::Suspected);
        suspected.filter_map(|e| e.suspicion_end(self.suspicion_timeout)).min()
    }

    /// Recomputes all standings; returns how many changed.
    pub(crate) fn refresh_standings(&mut self, now: Micros, isolated: bool, in_grace: bool) -> u64 {
        let mut changes = 0;
        for (name, entry) in &mut self.entries {
            let own = *name == self.own;
            let standing =
                entry.current_standing(self.suspicion_timeout, now, isolated && !own, in_grace, own);
            if entry.standing != standing {
                (entry.standing, entry.since) = (standing, now);
                self.digest_outdated = true;
                changes += 1;
            }
            if self.plant == Plant::LeftForgotten
                && standing == Standing::Left
                && now - entry.since > self.suspicion_timeout.shortest
            {
                entry.record = None;
            }
        }
        if std::mem::take(&mut self.digest_outdated) {
            self.digest = self.compute_digest();
            self.changed = true;
        }
        changes
    }

    /// The public description of all visible members.
    pub(crate) fn members(&self, now: Micros) -> Vec<Member> {
        let shown = |e: &Entry| e.standing != Standing::Left || now - e.since <= self.left_visible_for;
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

    /// Returns whether anything changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Digest of the replicated state, as of the last [`MemberTable::refresh_standings`].
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Members without a known life are not part of the digest.
    fn compute_digest(&self) -> u64 {
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
