//! Whom this gateway probes, and when it doubts a member rather than itself.
//!
//! One member is probed in a period, in an order drawn anew for each round (SWIM), directly, then through others. It is
//! doubted after several probes in a row, none answered by any way, with nothing heard of it in between. The doubt turns on
//! this gateway itself first (Lifeguard): when it was late itself, and when it has heard nobody at all, its probes say
//! nothing about the others.

use std::collections::{BTreeMap, VecDeque};

use peer::PeerName;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::Micros;

/// Probes in a row that must fail before a member is doubted; each doubt in vain adds two, up to the most.
const PROBES: u32 = 2;
const MOST_PROBES: u32 = 6;
/// Periods after which one doubt in vain is forgotten.
const VAIN: Micros = 30;
/// How many times over the periods of probes are lengthened at most while this gateway doubts itself.
const MOST_HEALTH: u32 = 3;
/// Periods without a doubt after this gateway was late.
const GRACE: Micros = 2;

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: PeerName,
    /// When it began, which is also its number.
    pub(crate) began: Micros,
    relay_at: Option<Micros>,
    ends: Micros,
}

/// What a probe came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Judged {
    Answered,
    /// Nobody at all was heard: this gateway doubts itself.
    Deaf,
    Missed,
    /// Missed so often that the member is doubted.
    Doubted(PeerName),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<Micros>,
    round_trip: Micros,
    missed: u32,
    vain: u32,
    vain_at: Micros,
    /// The helper that reached it last.
    through: Option<PeerName>,
}

pub(crate) struct Detector {
    period: Micros,
    order: Vec<PeerName>,
    first: VecDeque<PeerName>,
    probe: Option<Probe>,
    peers: BTreeMap<PeerName, Peer>,
    last_heard: Micros,
    health: u32,
    grace: Micros,
    /// How long the last three answers took, whoever's: if two were late, the ways from here are long.
    took: [Micros; 3],
    trusts_itself: bool,
}

impl Detector {
    pub(crate) fn new(
        period: Micros,
        now: Micros,
        names: impl Iterator<Item = PeerName>,
        trusts_itself: bool,
    ) -> Self {
        Detector {
            period,
            order: Vec::new(),
            first: VecDeque::new(),
            probe: None,
            peers: names.map(|name| (name, Peer::default())).collect(),
            last_heard: now,
            health: 0,
            grace: now,
            took: [0; 3],
            trusts_itself,
        }
    }

    /// This gateway was stopped or starved until now.
    pub(crate) fn late(&mut self, now: Micros) {
        self.probe = None;
        self.health = MOST_HEALTH;
        self.grace = now + GRACE * self.period;
        self.last_heard = now;
        self.peers.values_mut().for_each(|p| p.missed = 0);
    }

    pub(crate) fn is_in_grace(&self, now: Micros) -> bool {
        now < self.grace
    }

    /// Until when it doubts nobody.
    pub(crate) fn grace_ends(&self) -> Micros {
        self.grace
    }

    /// When this gateway last heard anybody.
    pub(crate) fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// When this gateway last heard this member itself.
    pub(crate) fn heard_at(&self, name: &PeerName) -> Option<Micros> {
        self.peers.get(name)?.heard
    }

    /// A member was heard itself, perhaps in answer to a ping of that number.
    pub(crate) fn heard(&mut self, now: Micros, name: &PeerName, number: Option<Micros>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.heard = Some(now);
        peer.missed = 0;
        // Who hears again after it heard nobody has to find out first how the others are.
        if now - self.last_heard > 4 * self.period && !self.trusts_itself {
            self.grace = self.grace.max(now + GRACE * self.period);
        }
        self.last_heard = now;
        // An answer that comes after its probe has ended still says how long the way is, so that the next one waits longer.
        if let Some(took) =
            number.map(|n| now.saturating_sub(n)).filter(|t| (0..16 * self.period).contains(t))
        {
            self.took.rotate_left(1);
            self.took[2] = took;
            peer.round_trip = if took > peer.round_trip { took } else { (peer.round_trip * 7 + took) / 8 };
        }
    }

    /// A helper says that the member has answered to the probe of that number.
    pub(crate) fn reached(&mut self, now: Micros, helper: &PeerName, name: &PeerName, number: Micros) {
        self.heard(now, helper, None);
        if self.probe.as_ref().is_some_and(|p| p.target == *name && p.began == number)
            && let Some(peer) = self.peers.get_mut(name)
        {
            peer.heard = Some(now);
            peer.missed = 0;
            peer.through = Some(helper.clone());
        }
    }

    /// The member refuted a doubt: the next one takes more.
    pub(crate) fn refuted(&mut self, now: Micros, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.vain = (peer.vain + 2).min(MOST_PROBES - PROBES);
            peer.vain_at = now;
        }
    }

    /// The member lives anew: what was learnt of its former life is void.
    pub(crate) fn renewed(&mut self, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.vain, peer.missed, peer.round_trip) = (0, 0, 0);
        }
    }

    /// The member should be probed next; if others doubt it, one more probe of this gateway's own is enough.
    pub(crate) fn hurry(&mut self, name: &PeerName, doubted: bool) {
        if !self.first.contains(name) {
            self.first.push_back(name.clone());
        }
        if doubted && let Some(peer) = self.peers.get_mut(name) {
            peer.missed = peer.missed.max((PROBES + peer.vain).saturating_sub(1));
        }
    }

    /// The next time at which something is to be done for the probe.
    pub(crate) fn due(&self) -> Option<Micros> {
        self.probe.as_ref().map(|p| p.relay_at.unwrap_or(p.ends))
    }

    /// Begins the next probe unless one is open; whom to ping. `wanted` says who is in the order.
    pub(crate) fn begin(
        &mut self,
        now: Micros,
        rng: &mut SmallRng,
        wanted: impl Fn(&PeerName) -> bool,
    ) -> Option<PeerName> {
        if self.probe.is_some() {
            return None;
        }
        let target = loop {
            let next = self.first.pop_front().or_else(|| self.order.pop());
            match next {
                Some(name) if wanted(&name) => break name,
                Some(_) => {}
                None => {
                    self.order = self.peers.keys().filter(|name| wanted(name)).cloned().collect();
                    self.order.shuffle(rng);
                    if self.order.is_empty() {
                        return None;
                    }
                }
            }
        };
        let times = Micros::from(1 + self.health);
        let mut took = self.took;
        took.sort_unstable();
        let known = self.peers.get(&target).map_or(0, |p| p.round_trip);
        let round_trip = known.max(took[1]).min(4 * self.period);
        // The quarter and the whole of a period are lengthened by doubt, the ways by what they are known to take; together
        // they stay under five periods, or a silence would take too long to find out.
        let relay = (self.period / 4 * times).max(2 * round_trip).min(4 * self.period);
        let ends = (self.period * times).max(relay + self.period / 2);
        self.probe =
            Some(Probe { target: target.clone(), began: now, relay_at: Some(now + relay), ends: now + ends });
        Some(target)
    }

    /// The probe if it is time to ask others to probe too.
    pub(crate) fn relay(&mut self, now: Micros) -> Option<Probe> {
        let probe = self.probe.as_mut()?;
        probe.relay_at.filter(|at| now >= *at)?;
        probe.relay_at = None;
        let heard = self.peers.get(&probe.target)?.heard;
        heard.is_none_or(|at| at < probe.began).then(|| probe.clone())
    }

    /// Judges the probe if it has ended.
    pub(crate) fn judge(&mut self, now: Micros) -> Option<Judged> {
        let probe = self.probe.take_if(|p| now >= p.ends)?;
        let grace = self.is_in_grace(now);
        let peer = self.peers.get_mut(&probe.target)?;
        if peer.heard.is_some_and(|at| at >= probe.began) {
            self.health = self.health.saturating_sub(1);
            return Some(Judged::Answered);
        }
        // Danger: who is cut off or was stopped would doubt all the others, and each of them would have to refute it.
        // Harm: who is alone in hearing nobody finds out by its own silence, later than by probes.
        let deaf = self.last_heard < probe.began - self.period;
        if (deaf || grace) && !self.trusts_itself {
            self.health = (self.health + 1).min(MOST_HEALTH);
            return Some(Judged::Deaf);
        }
        let forgotten = u32::try_from((now - peer.vain_at) / (VAIN * self.period)).unwrap_or(u32::MAX);
        if forgotten > 0 {
            peer.vain = peer.vain.saturating_sub(forgotten);
            peer.vain_at = now;
        }
        // A miss may be this gateway's own slowness: the next probe has longer (Lifeguard).
        self.health = (self.health + 1).min(MOST_HEALTH);
        peer.missed += 1;
        if peer.missed >= PROBES + peer.vain {
            peer.missed = 0;
            return Some(Judged::Doubted(probe.target));
        }
        self.first.push_front(probe.target);
        Some(Judged::Missed)
    }

    /// Draws helpers for a probe among those offered: the one that reached the target last, then those heard of late, then
    /// others; so many, and as many again for each probe in a row that failed.
    pub(crate) fn helpers(
        &self,
        now: Micros,
        rng: &mut SmallRng,
        most: usize,
        target: &PeerName,
        offered: Vec<PeerName>,
    ) -> Vec<PeerName> {
        let recent = |name: &PeerName| self.heard_at(name).is_some_and(|at| now - at <= 3 * self.period);
        let (mut near, mut far): (Vec<_>, Vec<_>) = offered.into_iter().partition(recent);
        near.shuffle(rng);
        far.shuffle(rng);
        let peer = self.peers.get(target);
        let through =
            peer.and_then(|p| p.through.clone()).filter(|name| near.contains(name) || far.contains(name));
        let rest = near.into_iter().chain(far).filter(|name| Some(name) != through.as_ref());
        let most = most * (1 + peer.map_or(0, |p| p.missed) as usize);
        through.clone().into_iter().chain(rest).take(most).collect()
    }
}

/// One of those offered.
pub(crate) fn one_of(rng: &mut SmallRng, offered: &[PeerName]) -> Option<PeerName> {
    (!offered.is_empty()).then(|| offered[rng.random_range(0..offered.len())].clone())
}
