//! Each node has a bound on this host's attempts out, moved on every answer by the law of the thesis
//! (eq. 6.1). Where more hosts share a node than a fresh bound has places (a crowd), bounds below one are
//! kept in time. When the node may take the next attempt, and what a volume's share of it is.

use crate::interface::*;
use crate::state::*;

/// Gain of the law.
const GAIN: f64 = 0.8;
/// Bound of a node that has not answered yet.
const START: f64 = 4.0;
/// Bound of a fresh node for all hosts together: more hosts than this share it in time.
pub(crate) const ALL: f64 = 6.0;
/// Time over which a bound below one is kept in the mean.
const CREDIT: Micros = 1_000_000;
/// Least bound; one attempt alone would starve the measurement.
const FLOOR: f64 = 2.0;
/// Greatest bound.
pub(crate) const CEILING: f64 = 26.0;
/// Smoothing time of the latency ratio, of use and of service, in microseconds.
pub(crate) const SMOOTHING: f64 = 1e6;
/// An attempt out for more than this many aims is hung and does not count as load in the law.
const HUNG: f64 = 3.0;
/// So is one that this many later ones have overtaken: nodes serve in turn of arrival.
pub(crate) const OVERTAKEN: u32 = 4;
/// No word from a node for this long, with attempts out, makes it silent.
const SILENT: Micros = 1_000_000;
/// Pause between two trials of a silent node; a crowd shares them.
const TRIAL: Micros = 400_000;
/// The part of a node's service that is dealt out in shares.
const DEALT: f64 = 0.9;

/// What a unit earns: within the reserve, within the share, beyond both.
pub(crate) const RESERVE: usize = 0;
pub(crate) const SHARE: usize = 1;
pub(crate) const SPARE: usize = 2;
pub(crate) const STEPS: [usize; 3] = [RESERVE, SHARE, SPARE];

impl Node {
    /// The law's L: smoothed mean of latency over aim; 1 until the node answers.
    pub(crate) fn load(&self, v: &View) -> f64 {
        let (prior, sum) = (v.prior, self.own.weight.read(v.now));
        if sum + prior > 0.0 { (self.own.ratio.read(v.now) + prior * v.load) / (sum + prior) } else { 1.0 }
    }

    /// Smoothed mean latency, in microseconds.
    pub(crate) fn delay(&self, v: &View) -> f64 {
        let (prior, sum) = (v.prior, self.own.weight.read(v.now));
        if sum + prior > 0.0 { (self.own.delay.read(v.now) + prior * v.delay) / (sum + prior) } else { 0.0 }
    }

    /// Places taken: attempts out that are not lost.
    pub(crate) fn held(&self) -> f64 {
        self.out.values().filter(|f| f.overtaken < OVERTAKEN).count() as f64
    }

    /// Attempts out that are neither lost nor hung, as a step counts them: one sent under a bound below one
    /// is that part of one.
    pub(crate) fn working(&self, now: Micros, step: usize) -> f64 {
        let works = |f: &&Flight| f.overtaken < OVERTAKEN && (now - f.sent) as f64 <= HUNG * f.aim as f64;
        self.out.values().filter(works).map(|f| f.part[step]).sum()
    }

    /// One update of the law. Danger: hung attempts sit in the count out and inflate the bound, so those
    /// far over their aim are left out of it. Also answers resets that nobody told of. Harm: on a node
    /// that is only very slow the bound falls faster than the law's; it still rises with the first answers.
    pub(crate) fn learn(&mut self, now: Micros, ratio: f64, latency: Micros) {
        self.count = Some(STEPS.map(|step| self.working(now, step)));
        self.last_answer = now;
        self.own.add(now, ratio, latency as f64);
    }

    /// The law (eq. 6.1): count out over 1 + gain x (L / target - 1), as of the last answer; units beyond the
    /// reserve see a lower target. In a crowd the count ages toward this host's part of a fresh bound.
    pub(crate) fn bound(&self, step: usize, v: &View) -> f64 {
        let law = |n: f64| n / (1.0 + GAIN * (self.load(v) / v.target[step] - 1.0));
        if v.fresh < 1.0 {
            let age = (-((v.now - self.last_answer) as f64) / SMOOTHING).exp();
            let count = self.count.map_or(v.fresh, |c| v.fresh + (c[step] - v.fresh) * age);
            return law(count).clamp(v.fresh / ALL, CEILING);
        }
        let Some(count) = self.count else { return START };
        let floor = if step == RESERVE { FLOOR } else { 1.0 };
        law(count[step].max(1.0)).clamp(floor, CEILING)
    }

    /// Time between two attempts, one at a time, that keeps a bound below one.
    pub(crate) fn gap(&self, step: usize, v: &View) -> Micros {
        (self.delay(v) * (1.0 / self.bound(step, v) - 1.0)).clamp(0.0, 1e9) as Micros
    }

    /// Danger: in a crowd even one attempt of each host is too much for a node. A bound below one is kept in
    /// time: one attempt, and a pause that makes it that part of one, in the mean of `CREDIT`, so that short
    /// runs pass. Guards against jams of any cause. Harm: some node time passes unused after a short jam.
    pub(crate) fn pace(&self, step: usize, v: &View) -> Micros {
        if v.fresh < 1.0 { (self.last_send + self.gap(step, v)).min(self.paid[step] - CREDIT) } else { 0 }
    }

    pub(crate) fn silent(&self, now: Micros) -> bool {
        self.unheard.is_some_and(|t| now - t > SILENT)
    }

    /// Whether it can do more than is asked of it: by its load, or, where none is known, if nothing is out.
    pub(crate) fn has_spare(&self, v: &View) -> bool {
        let is_known = v.prior > 0.0 || v.now - self.last_answer < SMOOTHING as Micros;
        let is_light = self.failures == 0 && !self.silent(v.now) && self.load(v) < v.target[SPARE];
        if is_known { is_light } else { self.out.is_empty() }
    }

    /// When the node may take the next attempt, as far as its own state tells: `None` on an answer only.
    /// Danger: a node that is silent, unreachable or breaks off takes everything sent to it down with it.
    /// It gets single trials until it answers. Covers dead processes and machines, full connection
    /// tables and long stalls. Harm: after a stall the first requests wait for a trial's answer.
    pub(crate) fn ready(&self, v: &View) -> Result<(), Option<Micros>> {
        let now = v.now;
        if self.state != NodeState::On {
            return Err(None);
        }
        if now < self.hold {
            return Err(Some(self.hold));
        }
        if self.silent(now) {
            let next = self.last_send + (TRIAL as f64 / v.fresh) as Micros;
            return if now < next { Err(Some(next)) } else { Ok(()) };
        }
        let bound = if self.failures > 0 { 1.0 } else { self.bound(RESERVE, v).max(1.0) };
        if self.held() < bound.floor() && (self.out.len() as f64) < CEILING {
            Ok(())
        } else {
            Err(self.unheard.map(|t| t + SILENT + 1))
        }
    }
}

impl Shard {
    /// Danger: a few surging volumes fill the node and starve the rest. The level, in units a second and
    /// weight, up to which what the node can do beyond the reserves goes round among those who ask.
    pub(crate) fn level(&self, now: Micros) -> f64 {
        let mut left = (DEALT * self.peak - self.reserved.read(now)).max(0.0);
        let mut asks: Vec<(f64, f64)> = self.asked.values().map(|(f, w)| (f.read(now), *w)).collect();
        asks.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights: f64 = asks.iter().map(|a| a.1).sum();
        for (asked, weight) in asks {
            if asked / weight >= left / weights {
                return left / weights;
            }
            left -= asked;
            weights -= weight;
        }
        f64::INFINITY
    }
}
