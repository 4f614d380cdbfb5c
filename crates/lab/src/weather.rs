//! What holds on the links between processes, as troubles begin and end. Without I/O.

use std::collections::{BTreeMap, BTreeSet};

use records::Micros;
use settings::{Site, Trouble, TroubleKind};

/// What one trouble does to links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Effect {
    of: BTreeSet<String>,
    /// Empty: all others.
    to: BTreeSet<String>,
    both: bool,
    way: WayState,
}

impl Effect {
    /// The effect of a trouble of links while it holds.
    pub(crate) fn of(site: &Site, trouble: &Trouble) -> Effect {
        let way = match trouble.what {
            TroubleKind::SlowLink => WayState {
                held: false,
                delay: Micros::from(trouble.delay_ms) * 1000,
                jitter: Micros::from(trouble.jitter_ms) * 1000,
            },
            _ => WayState { held: true, ..WayState::default() },
        };
        let (of, to) = (site.processes(&trouble.of), site.processes(&trouble.to));
        Effect { of, to, both: trouble.both, way }
    }

    /// Whether it holds for what one sends to another.
    fn meets(&self, source: &str, sink: &str) -> bool {
        let other = |name: &str| match self.to.is_empty() {
            true => !self.of.contains(name),
            false => self.to.contains(name),
        };
        (self.of.contains(source) && other(sink)) || (self.both && self.of.contains(sink) && other(source))
    }
}

/// What holds for one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WayState {
    pub(crate) held: bool,
    pub(crate) delay: Micros,
    pub(crate) jitter: Micros,
}

impl WayState {
    fn with(self, other: WayState) -> WayState {
        WayState {
            held: self.held || other.held,
            delay: self.delay.max(other.delay),
            jitter: self.jitter.max(other.jitter),
        }
    }

    /// The longest that a piece is put off.
    pub(crate) fn late(&self) -> Micros {
        self.delay + self.jitter
    }
}

/// A link of which something changed: who connects, to whom, what held and what holds forth and back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Changed {
    pub(crate) from: String,
    pub(crate) to: String,
    pub(crate) before: [WayState; 2],
    pub(crate) now: [WayState; 2],
}

/// The weather on all links of a day. Troubles may overlap: what any of them does holds until the last has ended.
pub(crate) struct Weather {
    links: BTreeMap<(String, String), [WayState; 2]>,
    on: BTreeMap<usize, Effect>,
}

impl Weather {
    pub(crate) fn new(links: impl IntoIterator<Item = (String, String)>) -> Self {
        let links = links.into_iter().map(|l| (l, [WayState::default(); 2])).collect();
        Weather { links, on: BTreeMap::new() }
    }

    /// A trouble with this number begins, or has ended.
    pub(crate) fn switch(&mut self, number: usize, effect: Option<Effect>) -> Vec<Changed> {
        match effect {
            Some(effect) => self.on.insert(number, effect),
            None => self.on.remove(&number),
        };
        let mut changed = Vec::new();
        for ((from, to), state) in &mut self.links {
            let way = |source: &str, sink: &str| {
                let met = self.on.values().filter(|e| e.meets(source, sink));
                met.fold(WayState::default(), |all, e| all.with(e.way))
            };
            let now = [way(from, to), way(to, from)];
            if now != *state {
                let before = std::mem::replace(state, now);
                changed.push(Changed { from: from.clone(), to: to.clone(), before, now });
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn effect(of: &[&str], to: &[&str], both: bool, way: WayState) -> Option<Effect> {
        let set = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Some(Effect { of: set(of), to: set(to), both, way })
    }

    fn weather() -> Weather {
        let links = [("c", "g1"), ("c", "g2"), ("g1", "n"), ("g2", "n"), ("g1", "g2")];
        Weather::new(links.map(|(a, b)| (a.to_owned(), b.to_owned())))
    }

    const HELD: WayState = WayState { held: true, delay: 0, jitter: 0 };
    const CLEAR: WayState = WayState { held: false, delay: 0, jitter: 0 };

    fn held(changed: &[Changed]) -> Vec<String> {
        changed.iter().map(|c| format!("{}{} {} {}", c.from, c.to, c.now[0].held, c.now[1].held)).collect()
    }

    #[test]
    fn a_part_meets_the_links_between_its_sides_and_one_way_only_what_its_side_sends() {
        let mut w = weather();
        assert_eq!(
            held(&w.switch(0, effect(&["g1"], &[], true, HELD))),
            ["cg1 true true", "g1g2 true true", "g1n true true"]
        );
        assert_eq!(w.switch(0, None).len(), 3);
        assert_eq!(held(&w.switch(1, effect(&["n"], &["g2"], false, HELD))), ["g2n false true"]);
        assert_eq!(held(&w.switch(1, None)), ["g2n false false"]);
    }

    #[test]
    fn overlapping_troubles_hold_until_the_last_has_ended_and_the_slowest_counts() {
        let mut w = weather();
        let slow = |delay| WayState { held: false, delay, jitter: 1 };
        assert_eq!(w.switch(0, effect(&["n"], &["g1"], true, HELD)).len(), 1);
        assert!(w.switch(1, effect(&["g1"], &["n"], true, HELD)).is_empty(), "it is held already");
        assert!(w.switch(0, None).is_empty());
        assert_eq!(w.switch(2, effect(&["g1"], &["n"], true, slow(5)))[0].now[0], HELD.with(slow(5)));
        assert_eq!(w.switch(3, effect(&["g1"], &["n"], true, slow(3))), []);
        assert_eq!(w.switch(1, None)[0].now, [slow(5); 2]);
        assert_eq!(w.switch(2, None)[0].now, [slow(3); 2]);
        assert_eq!(w.switch(3, None)[0].now, [CLEAR; 2]);
    }
}
