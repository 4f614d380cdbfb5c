//! Peers that may write to the same volumes, and the words they gave: at which time here each had said which tick.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use peer::{Life, PeerName};

use crate::Micros;

/// Words that are remembered of a peer, a beat apart: reads that began before the oldest find none.
const MOST_WORDS: usize = 24;

/// A peer that has said no word for so many beats is silent: what it writes now will hardly be known.
const LATELY: Micros = 4;

/// What a peer had said before a read began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Word {
    pub(crate) life: Life,
    pub(crate) seat: u64,
    pub(crate) tick: u64,
}

struct Known {
    listed: bool,
    /// When it was taken off the list.
    gone: Micros,
    source: Option<(Life, u64)>,
    words: VecDeque<(Micros, u64)>,
    answered: Option<Micros>,
    told: BTreeSet<&'static str>,
}

impl Known {
    /// Whether it may have written since `start`: also when it was taken off the list, as long as its writes rest.
    fn may_write(&self, start: Micros, rest: Micros) -> bool {
        self.listed || self.gone.saturating_add(rest) >= start
    }
}

pub(crate) struct Peers {
    rest: Micros,
    /// Words closer than this replace nothing.
    apart: Micros,
    known: BTreeMap<PeerName, Known>,
}

impl Peers {
    pub(crate) fn new(rest: Micros, beat: Micros) -> Peers {
        Peers { rest, apart: beat / 2, known: BTreeMap::new() }
    }

    fn of(&mut self, name: &PeerName) -> &mut Known {
        self.known.entry(name.clone()).or_insert_with(|| Known {
            listed: false,
            gone: Micros::MIN,
            source: None,
            words: VecDeque::new(),
            answered: None,
            told: BTreeSet::new(),
        })
    }

    /// The peers are these.
    pub(crate) fn list(&mut self, now: Micros, names: &[PeerName]) {
        for (name, known) in &mut self.known {
            if known.listed && !names.contains(name) {
                known.listed = false;
                known.gone = now;
            }
        }
        for name in names {
            self.of(name).listed = true;
        }
        // What a peer that left had in flight rests as long as this gateway's own writes.
        let rest = self.rest;
        self.known.retain(|_, known| known.listed || known.gone.saturating_add(rest) >= now);
    }

    pub(crate) fn listed(&self) -> impl Iterator<Item = &PeerName> {
        self.known.iter().filter(|(_, known)| known.listed).map(|(name, _)| name)
    }

    pub(crate) fn is_listed(&self, name: &PeerName) -> bool {
        self.known.get(name).is_some_and(|known| known.listed)
    }

    /// A peer said a tick, or that it has none to say. Whether it counts: an earlier life's late note does not.
    ///
    /// Danger: a note may come twice or late; it then says less than was known, and never more. What was said last counts.
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        name: &PeerName,
        life: Life,
        seat: u64,
        tick: Option<u64>,
    ) -> bool {
        let apart = self.apart;
        let known = self.of(name);
        match known.source {
            Some((of, _)) if of.incarnation > life.incarnation => return false,
            Some(source) if source == (life, seat) => {}
            _ => {
                known.source = Some((life, seat));
                known.words.clear();
            }
        }
        let Some(tick) = tick else { return true };
        let last = known.words.back().copied();
        let tick = last.map_or(tick, |(_, said)| said.max(tick));
        if last.is_none_or(|(at, _)| now - at >= apart) {
            known.words.push_back((now, tick));
            if known.words.len() > MOST_WORDS {
                known.words.pop_front();
            }
        }
        true
    }

    /// All who may have written since `start`, with the last word each gave before it: in an earlier microsecond, as what
    /// happened within one cannot be put in order.
    pub(crate) fn words_before(&self, start: Micros) -> Vec<(PeerName, Option<Word>)> {
        let word = |known: &Known| {
            let (life, seat) = known.source?;
            let (_, tick) = *known.words.iter().rev().find(|(at, _)| *at < start)?;
            Some(Word { life, seat, tick })
        };
        let all = self.known.iter().filter(|(_, known)| known.may_write(start, self.rest));
        all.map(|(name, known)| (name.clone(), word(known))).collect()
    }

    /// Whether each that may have written since `start` had said a word before it, and one not long ago.
    pub(crate) fn speak(&self, now: Micros, start: Micros) -> bool {
        let recent = now.saturating_sub(self.apart.saturating_mul(2 * LATELY));
        let speaks = |known: &Known| {
            known.words.front().is_some_and(|(at, _)| *at < start)
                && known.words.back().is_some_and(|(at, _)| *at >= recent)
        };
        self.known.values().all(|known| speaks(known) || !known.may_write(start, self.rest))
    }

    /// Whether a peer's counts may be answered now: once in half a beat, so that one who asks without end costs little.
    pub(crate) fn may_answer(&mut self, now: Micros, name: &PeerName) -> bool {
        let apart = self.apart;
        let known = self.of(name);
        let may = known.answered.is_none_or(|at| now - at >= apart);
        if may {
            known.answered = Some(now);
        }
        may
    }

    /// Whether a cause is new for a peer, and to be told.
    pub(crate) fn is_news(&mut self, name: &PeerName, why: &'static str) -> bool {
        self.of(name).told.insert(why)
    }
}
