//! Failure detector: selects probe targets and decides when to suspect a member.
//!
//! One member is probed in each period, in a random order drawn anew for each round (SWIM), first directly and then through
//! other members. It is suspected after several failed probes in a row with nothing received from it in between. The
//! detector considers a local fault first (Lifeguard): while this gateway was late itself, or received nothing from
//! anybody, its probes say nothing about the others.

use std::collections::{BTreeMap, VecDeque};

use peer::PeerName;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::Micros;

/// Consecutive failed probes before a member is suspected. Each refuted suspicion adds two, up to the maximum.
const PROBES_BEFORE_SUSPICION: u32 = 2;
const MAX_PROBES_BEFORE_SUSPICION: u32 = 6;
/// Periods after which the requirement for extra probes falls by one.
const EXTRA_PROBE_DECAY_PERIODS: Micros = 30;
/// Maximum local health score; a score of `n` extends probe timeouts by `n` times their base.
const MAX_HEALTH_SCORE: u32 = 3;
/// Periods without new suspicions after this gateway was late.
const GRACE_PERIODS: Micros = 2;

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: PeerName,
    /// Start time, which also serves as the probe's number.
    pub(crate) began: Micros,
    indirect_at: Option<Micros>,
    ends_at: Micros,
}

/// The result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    Answered,
    /// Nothing was received from any member, or the grace period applies: the fault may be local.
    Isolated,
    Missed,
    /// Enough consecutive probes failed to suspect the member.
    Suspected(PeerName),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<Micros>,
    round_trip: Micros,
    missed: u32,
    extra_probes: u32,
    extra_probes_since: Micros,
    /// The last helper that reached this member.
    last_helper: Option<PeerName>,
}

pub(crate) struct Detector {
    period: Micros,
    probe_order: Vec<PeerName>,
    priority_targets: VecDeque<PeerName>,
    probe: Option<Probe>,
    peers: BTreeMap<PeerName, Peer>,
    last_heard: Micros,
    health_score: u32,
    grace_until: Micros,
    /// The last three round trips to any member. If two were slow, connections from here are slow.
    recent_round_trips: [Micros; 3],
    self_checks_disabled: bool,
}

impl Detector {
    pub(crate) fn new(
        period: Micros,
        now: Micros,
        names: impl Iterator<Item = PeerName>,
        self_checks_disabled: bool,
    ) -> Self {
        Detector {
            period,
            probe_order: Vec::new(),
            priority_targets: VecDeque::new(),
            probe: None,
            peers: names.map(|name| (name, Peer::default())).collect(),
            last_heard: now,
            health_score: 0,
            grace_until: now,
            recent_round_trips: [0; 3],
            self_checks_disabled,
        }
    }

    /// Resets the detector after this gateway was stopped or starved until now.
    pub(crate) fn resume_after_pause(&mut self, now: Micros) {
        self.probe = None;
        self.health_score = MAX_HEALTH_SCORE;
        self.grace_until = now + GRACE_PERIODS * self.period;
        self.last_heard = now;
        self.peers.values_mut().for_each(|p| p.missed = 0);
    }

    pub(crate) fn is_in_grace(&self, now: Micros) -> bool {
        now < self.grace_until
    }

    /// End of the grace period without new suspicions.
    pub(crate) fn grace_ends(&self) -> Micros {
        self.grace_until
    }

    /// When anything was last received from any member.
    pub(crate) fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// When this member was last heard directly, or confirmed by a helper.
    pub(crate) fn heard_at(&self, name: &PeerName) -> Option<Micros> {
        self.peers.get(name)?.heard
    }

    /// Records a message received from the member itself, with the ping number if it is an answer.
    pub(crate) fn heard(&mut self, now: Micros, name: &PeerName, number: Option<Micros>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.heard = Some(now);
        peer.missed = 0;
        // After hearing nobody, this gateway first has to learn the others' state.
        if now - self.last_heard > 4 * self.period && !self.self_checks_disabled {
            self.grace_until = self.grace_until.max(now + GRACE_PERIODS * self.period);
        }
        self.last_heard = now;
        // An answer after the end of its probe still measures the round trip, so that the next probe waits longer.
        if let Some(round_trip) =
            number.map(|n| now.saturating_sub(n)).filter(|t| (0..16 * self.period).contains(t))
        {
            self.recent_round_trips.rotate_left(1);
            self.recent_round_trips[2] = round_trip;
            peer.round_trip = if round_trip > peer.round_trip {
                round_trip
            } else {
                (peer.round_trip * 7 + round_trip) / 8
            };
        }
    }

    /// Records a helper's report that the member answered the probe with this number.
    pub(crate) fn reached(&mut self, now: Micros, helper: &PeerName, name: &PeerName, number: Micros) {
        self.heard(now, helper, None);
        if self.probe.as_ref().is_some_and(|p| p.target == *name && p.began == number)
            && let Some(peer) = self.peers.get_mut(name)
        {
            peer.heard = Some(now);
            peer.missed = 0;
            peer.last_helper = Some(helper.clone());
        }
    }

    /// The member refuted a suspicion: the next one requires more failed probes.
    pub(crate) fn refuted(&mut self, now: Micros, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.extra_probes =
                (peer.extra_probes + 2).min(MAX_PROBES_BEFORE_SUSPICION - PROBES_BEFORE_SUSPICION);
            peer.extra_probes_since = now;
        }
    }

    /// The member began a new life: discards what was learnt about the former one.
    pub(crate) fn forget_former_life(&mut self, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            (peer.extra_probes, peer.missed, peer.round_trip) = (0, 0, 0);
        }
    }

    /// Schedules the member as the next target. If others suspect it, one more failed probe from here is enough.
    pub(crate) fn probe_soon(&mut self, name: &PeerName, suspected_by_others: bool) {
        if !self.priority_targets.contains(name) {
            self.priority_targets.push_back(name.clone());
        }
        if suspected_by_others && let Some(peer) = self.peers.get_mut(name) {
            peer.missed = peer.missed.max((PROBES_BEFORE_SUSPICION + peer.extra_probes).saturating_sub(1));
        }
    }

    /// The next deadline of the open probe.
    pub(crate) fn due(&self) -> Option<Micros> {
        self.probe.as_ref().map(|p| p.indirect_at.unwrap_or(p.ends_at))
    }

    /// Starts the next probe unless one is open, and returns the member to ping. `is_eligible` selects possible targets.
    pub(crate) fn start_probe(
        &mut self,
        now: Micros,
        rng: &mut SmallRng,
        is_eligible: impl Fn(&PeerName) -> bool,
    ) -> Option<PeerName> {
        if self.probe.is_some() {
            return None;
        }
        let target = loop {
            let next = self.priority_targets.pop_front().or_else(|| self.probe_order.pop());
            match next {
                Some(name) if is_eligible(&name) => break name,
                Some(_) => {}
                None => {
                    self.probe_order = self.peers.keys().filter(|name| is_eligible(name)).cloned().collect();
                    self.probe_order.shuffle(rng);
                    if self.probe_order.is_empty() {
                        return None;
                    }
                }
            }
        };
        let scale = Micros::from(1 + self.health_score);
        let mut recent_round_trips = self.recent_round_trips;
        recent_round_trips.sort_unstable();
        let known = self.peers.get(&target).map_or(0, |p| p.round_trip);
        let round_trip = known.max(recent_round_trips[1]).min(4 * self.period);
        // The health score extends the base timeouts (a quarter of a period and a whole one); measured round trips raise them
        // further. The total stays under five periods, otherwise detecting a silent member would take too long.
        let indirect_after = (self.period / 4 * scale).max(2 * round_trip).min(4 * self.period);
        let ends_after = (self.period * scale).max(indirect_after + self.period / 2);
        self.probe = Some(Probe {
            target: target.clone(),
            began: now,
            indirect_at: Some(now + indirect_after),
            ends_at: now + ends_after,
        });
        Some(target)
    }

    /// Returns the probe when it is time to request indirect probes.
    pub(crate) fn indirect_probe_due(&mut self, now: Micros) -> Option<Probe> {
        let probe = self.probe.as_mut()?;
        probe.indirect_at.filter(|at| now >= *at)?;
        probe.indirect_at = None;
        let heard = self.peers.get(&probe.target)?.heard;
        heard.is_none_or(|at| at < probe.began).then(|| probe.clone())
    }

    /// Evaluates the probe if it has ended.
    pub(crate) fn finish_probe(&mut self, now: Micros) -> Option<ProbeVerdict> {
        let probe = self.probe.take_if(|p| now >= p.ends_at)?;
        let in_grace = self.is_in_grace(now);
        let peer = self.peers.get_mut(&probe.target)?;
        if peer.heard.is_some_and(|at| at >= probe.began) {
            self.health_score = self.health_score.saturating_sub(1);
            return Some(ProbeVerdict::Answered);
        }
        // Without this, a gateway that was cut off or stopped would suspect all others, and each would have to refute it. The
        // cost: an isolated gateway detects its isolation by silence, which takes longer than by probes.
        let isolated = self.last_heard < probe.began - self.period;
        if (isolated || in_grace) && !self.self_checks_disabled {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            return Some(ProbeVerdict::Isolated);
        }
        let decayed =
            u32::try_from((now - peer.extra_probes_since) / (EXTRA_PROBE_DECAY_PERIODS * self.period))
                .unwrap_or(u32::MAX);
        if decayed > 0 {
            peer.extra_probes = peer.extra_probes.saturating_sub(decayed);
            peer.extra_probes_since = now;
        }
        // The failure may be caused by this gateway's own slowness: allow the next probe more time (Lifeguard).
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        peer.missed += 1;
        if peer.missed >= PROBES_BEFORE_SUSPICION + peer.extra_probes {
            peer.missed = 0;
            return Some(ProbeVerdict::Suspected(probe.target));
        }
        self.priority_targets.push_front(probe.target);
        Some(ProbeVerdict::Missed)
    }

    /// Chooses helpers for an indirect probe among those offered: first the last one that reached the target, then randomly
    /// those heard recently, then others. At most `max_helpers`, and as many again for each consecutive failed probe.
    pub(crate) fn helpers(
        &self,
        now: Micros,
        rng: &mut SmallRng,
        max_helpers: usize,
        target: &PeerName,
        offered: Vec<PeerName>,
    ) -> Vec<PeerName> {
        let recent = |name: &PeerName| self.heard_at(name).is_some_and(|at| now - at <= 3 * self.period);
        let (mut near, mut far): (Vec<_>, Vec<_>) = offered.into_iter().partition(recent);
        near.shuffle(rng);
        far.shuffle(rng);
        let peer = self.peers.get(target);
        let last_helper =
            peer.and_then(|p| p.last_helper.clone()).filter(|name| near.contains(name) || far.contains(name));
        let rest = near.into_iter().chain(far).filter(|name| Some(name) != last_helper.as_ref());
        let max_helpers = max_helpers * (1 + peer.map_or(0, |p| p.missed) as usize);
        last_helper.clone().into_iter().chain(rest).take(max_helpers).collect()
    }
}

/// Chooses one of the offered members at random; `None` if there are none.
pub(crate) fn choose_one(rng: &mut SmallRng, offered: &[PeerName]) -> Option<PeerName> {
    (!offered.is_empty()).then(|| offered[rng.random_range(0..offered.len())].clone())
}
