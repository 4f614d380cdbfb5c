//! Peers that may write to the same volumes, and the ticks received from them, with the local time of receipt.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use peer::{Life, PeerName};

use crate::Micros;

/// Ticks that are kept per peer, one per heartbeat: reads that began before the oldest one find none.
const MAX_TICKS: usize = 24;

/// A peer without a tick for this many heartbeats is silent: its current writes will probably not be peer.
const RECENT_HEARTBEATS: Micros = 4;

/// The last tick received from a peer before a read began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerTick {
    pub(crate) life: Life,
    pub(crate) seat: u64,
    pub(crate) tick: u64,
}

struct Peer {
    listed: bool,
    /// When it was removed from the list.
    removed_at: Micros,
    source: Option<(Life, u64)>,
    ticks: VecDeque<(Micros, u64)>,
    pages_sent_at: Option<Micros>,
    reported_causes: BTreeSet<&'static str>,
}

impl Peer {
    /// Whether it may have written since `start`. After its removal its writes may still run for `rest`.
    fn may_write(&self, start: Micros, rest: Micros) -> bool {
        self.listed || self.removed_at.saturating_add(rest) >= start
    }
}

pub(crate) struct Peers {
    rest: Micros,
    /// Minimum time between two kept ticks: half of the heartbeat interval.
    min_interval: Micros,
    known: BTreeMap<PeerName, Peer>,
}

impl Peers {
    pub(crate) fn new(rest: Micros, heartbeat: Micros) -> Peers {
        Peers { rest, min_interval: heartbeat / 2, known: BTreeMap::new() }
    }

    fn entry(&mut self, name: &PeerName) -> &mut Peer {
        self.known.entry(name.clone()).or_insert_with(|| Peer {
            listed: false,
            removed_at: Micros::MIN,
            source: None,
            ticks: VecDeque::new(),
            pages_sent_at: None,
            reported_causes: BTreeSet::new(),
        })
    }

    /// Sets the list of peers.
    pub(crate) fn list(&mut self, now: Micros, names: &[PeerName]) {
        for (name, peer) in &mut self.known {
            if peer.listed && !names.contains(name) {
                peer.listed = false;
                peer.removed_at = now;
            }
        }
        for name in names {
            self.entry(name).listed = true;
        }
        // In-flight writes of a peer that left may run as long as this gateway's own writes.
        let rest = self.rest;
        self.known.retain(|_, peer| peer.listed || peer.removed_at.saturating_add(rest) >= now);
    }

    pub(crate) fn listed(&self) -> impl Iterator<Item = &PeerName> {
        self.known.iter().filter(|(_, peer)| peer.listed).map(|(name, _)| name)
    }

    pub(crate) fn is_listed(&self, name: &PeerName) -> bool {
        self.known.get(name).is_some_and(|peer| peer.listed)
    }

    /// Records a tick of a peer, or that it has none. Returns whether the message is valid: a late one of an earlier life is not.
    ///
    /// A message that arrives twice or late holds a lower tick than is known; the highest tick counts.
    pub(crate) fn on_tick(
        &mut self,
        now: Micros,
        name: &PeerName,
        life: Life,
        seat: u64,
        tick: Option<u64>,
    ) -> bool {
        let min_interval = self.min_interval;
        let peer = self.entry(name);
        match peer.source {
            Some((of, _)) if of.incarnation > life.incarnation => return false,
            Some(source) if source == (life, seat) => {}
            _ => {
                peer.source = Some((life, seat));
                peer.ticks.clear();
            }
        }
        let Some(tick) = tick else { return true };
        let last = peer.ticks.back().copied();
        let tick = last.map_or(tick, |(_, known_tick)| known_tick.max(tick));
        if last.is_none_or(|(at, _)| now - at >= min_interval) {
            peer.ticks.push_back((now, tick));
            if peer.ticks.len() > MAX_TICKS {
                peer.ticks.pop_front();
            }
        }
        true
    }

    /// All peers that may have written since `start`, with the last tick of each from before it: from an earlier microsecond, as
    /// events within one microsecond cannot be ordered.
    pub(crate) fn ticks_before(&self, start: Micros) -> Vec<(PeerName, Option<PeerTick>)> {
        let last_tick = |peer: &Peer| {
            let (life, seat) = peer.source?;
            let (_, tick) = *peer.ticks.iter().rev().find(|(at, _)| *at < start)?;
            Some(PeerTick { life, seat, tick })
        };
        let all = self.known.iter().filter(|(_, peer)| peer.may_write(start, self.rest));
        all.map(|(name, peer)| (name.clone(), last_tick(peer))).collect()
    }

    /// Whether each peer that may have written since `start` sent a tick before it, and one recently.
    pub(crate) fn all_heard_recently(&self, now: Micros, start: Micros) -> bool {
        let recent = now.saturating_sub(self.min_interval.saturating_mul(2 * RECENT_HEARTBEATS));
        let heard_recently = |peer: &Peer| {
            peer.ticks.front().is_some_and(|(at, _)| *at < start)
                && peer.ticks.back().is_some_and(|(at, _)| *at >= recent)
        };
        self.known.values().all(|peer| heard_recently(peer) || !peer.may_write(start, self.rest))
    }

    /// Whether pages may be sent to a peer now: once per half heartbeat interval, so that a peer that requests them continuously
    /// costs little.
    pub(crate) fn may_send_pages(&mut self, now: Micros, name: &PeerName) -> bool {
        let min_interval = self.min_interval;
        let peer = self.entry(name);
        let may = peer.pages_sent_at.is_none_or(|at| now - at >= min_interval);
        if may {
            peer.pages_sent_at = Some(now);
        }
        may
    }

    /// Whether a cause of rejection is new for a peer and is to be logged.
    pub(crate) fn is_first_report(&mut self, name: &PeerName, why: &'static str) -> bool {
        self.entry(name).reported_causes.insert(why)
    }
}
