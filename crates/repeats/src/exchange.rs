//! What a cap says to peers and makes of what they say.

use peer::PeerName;
use rand::Rng;

use crate::Micros;
use crate::cap::{Cap, Output};
use crate::message::{Grant, Want, Word};
use crate::options::{Plant, RESERVE, RIGHT, Way};

/// Peers that one want goes to.
const ASKED: usize = 3;
/// The least that is given on a want, in thousandths.
const LEAST: u64 = 50;
/// Causes of turning away that are named.
const MOST_TURNED: usize = 1_024;

impl Cap {
    fn send(&mut self, to: PeerName, word: &Word, out: &mut Vec<Output>) {
        let body = peer::wire::encode(word);
        self.counts.notes_out += 1;
        self.counts.bytes_out += body.len() as u64;
        out.push(Output::Send { to, body });
    }

    fn turn_away(&mut self, from: PeerName, why: &'static str, out: &mut Vec<Output>) {
        if self.turned.len() < MOST_TURNED && self.turned.insert((from.clone(), why)) {
            out.push(Output::TurnedAway { from, why });
        }
    }

    /// Asks a few drawn peers for these accounts' amounts.
    pub(crate) fn ask_for(
        &mut self,
        now: Micros,
        wants: Vec<(Option<u32>, u64, f64)>,
        out: &mut Vec<Output>,
    ) {
        if wants.is_empty() {
            return;
        }
        let mut drawn = self.peers.clone();
        let asked = ASKED.min(drawn.len());
        for at in 0..asked {
            let other = self.rng.random_range(at..drawn.len());
            drawn.swap(at, other);
        }
        drawn.truncate(asked);
        let wants: Vec<Want> = wants
            .into_iter()
            .map(|(account, amount, worth)| self.lending.ask(now, account, amount, worth, &drawn))
            .collect();
        self.counts.wants += wants.len() as u64;
        let word = Word { wants, ..Word::default() };
        for to in drawn {
            self.send(to, &word, out);
        }
    }

    /// Tells all peers what was seen here and which requests ended unserved; nothing if nothing was.
    pub(crate) fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        let pass_on = self.trial.plant == Some(Plant::WordPassedOn);
        let facts = self.posts.values().filter_map(|p| p.ward.fact(now, p.shard, pass_on)).collect();
        let word = Word { facts, unserved: self.sketch.tell(now), ..Word::default() };
        if word.is_empty() {
            return;
        }
        for to in self.peers.clone() {
            self.send(to, &word, out);
        }
    }

    /// A peer's note.
    pub(crate) fn heard(&mut self, now: Micros, from: PeerName, body: &[u8], out: &mut Vec<Output>) {
        self.counts.notes_in += 1;
        let word = match Word::read(body) {
            Ok(word) => word,
            Err(why) => return self.turn_away(from, why, out),
        };
        for fact in &word.facts {
            match self.posts.get_mut(&fact.shard) {
                Some(post) => post.ward.hear(now, &from, fact),
                None => {
                    self.turn_away(from.clone(), "it tells of a shard that the cap does not hold for", out)
                }
            }
        }
        if !word.facts.is_empty() {
            self.roll(now, 0, out);
        }
        if word.unserved.is_some_and(|bits| !self.sketch.hear(now, &bits)) {
            self.turn_away(from.clone(), "its sketch of unserved requests cannot be read", out);
        }
        for grant in &word.grants {
            self.take(now, &from, grant);
        }
        let grants: Vec<Grant> = word.wants.iter().filter_map(|want| self.give(now, &from, want)).collect();
        if !grants.is_empty() {
            self.counts.given += grants.len() as u64;
            // What the module was allowed is lowered before the note goes out: it may not spend what is another's from now on.
            self.share_out();
            self.allow(now, out);
            self.send(from, &Word { grants, ..Word::default() }, out);
        }
    }

    fn take(&mut self, now: Micros, from: &PeerName, grant: &Grant) {
        let account = match grant.shard {
            None => &mut self.fleet,
            Some(shard) => match self.posts.get_mut(&shard) {
                // Rights of a time in which no node recovered may not be used while one does.
                Some(post) if grant.recovering || !post.is_narrow() => &mut post.account,
                _ => {
                    self.counts.untaken += 1;
                    return;
                }
            },
        };
        match self.lending.take(now, from, grant, account) {
            Ok(_) => {
                self.counts.taken += 1;
                self.grant_came(now, grant.shard);
            }
            // The ordinary fate of late and doubled notes: counted, not named.
            Err(_) => self.counts.untaken += 1,
        }
    }

    /// Half of what is not needed here, by the want's worth among those heard in this slice.
    fn give(&mut self, now: Micros, from: &PeerName, want: &Want) -> Option<Grant> {
        if self.trial.way != Way::Escrow || !self.lending.is_new(from, want) {
            return None;
        }
        let worth = if want.worth.is_finite() { want.worth.clamp(1.0, 1e12) } else { 1.0 };
        let sum = self.heard_worth.entry(want.shard).or_insert(0.0);
        *sum += worth;
        let part = worth / *sum;
        let all: u64 = self.posts.values().map(|p| p.need()).sum();
        let held: u32 = self.posts.values().map(|p| p.ward.sum(2).held + p.waiting).sum();
        let (account, need, held, narrow, free) = match want.shard {
            None => (&mut self.fleet, all, held, false, self.options.fleet_free),
            Some(shard) => {
                let post = self.posts.get_mut(&shard)?;
                let held = post.ward.sum(2).held + post.waiting;
                let (need, narrow) = (post.need(), post.is_narrow());
                let free = post.free(&self.options);
                (&mut post.account, need, held, narrow, free)
            }
        };
        // Who holds requests back itself has nothing to give.
        if held > 0 {
            return None;
        }
        let even = self.options.even(free, self.options.members);
        let keep = (even as f64 * RESERVE).ceil() as u64 + need * RIGHT;
        let most = (account.lendable(now, keep) as f64 * part / 2.0) as u64;
        if most < LEAST {
            return None;
        }
        self.lending.give(now, want, most, keep, narrow, account)
    }
}
