//! What a block may hold: every read is held against the writes that this run has sent.

use std::collections::HashMap;

use load::Found;

use crate::behaviour::{Outcome, Token};
use crate::scenario::Micros;

/// A write that was overwritten so long ago is forgotten: no read is out for that long.
const KEPT: Micros = 60_000_000;

#[derive(Clone, Copy, Debug)]
struct Write {
    token: Token,
    issued: Micros,
    /// When it ended; none while it is out, and for ever where its effect is unknown: it may come late.
    ended: Option<Micros>,
}

/// What is wrong with a block that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Its bytes do not belong together, or to this block.
    Torn,
    /// A write that went elsewhere, or to nobody's knowledge.
    Foreign,
    /// A write that a later one, served before the read was sent, had overwritten; or the block is empty although a write
    /// to it was served.
    Stale,
}

/// Everything that the blocks may hold.
#[derive(Debug, Default)]
pub struct Proof {
    salt: u64,
    blocks: HashMap<(u32, u64), Vec<Write>>,
    spans: HashMap<Token, (u32, u64, u32)>,
}

impl Proof {
    /// `salt` are the upper 16 bits of this run's tokens; others are from earlier runs.
    pub fn new(salt: u16) -> Self {
        Proof { salt: u64::from(salt.max(1)), ..Proof::default() }
    }

    /// A write goes out.
    pub fn issued(&mut self, now: Micros, token: Token, nsid: u32, slba: u64, blocks: u32) {
        self.spans.insert(token, (nsid, slba, blocks));
        for lba in slba..slba + u64::from(blocks) {
            let writes = self.blocks.entry((nsid, lba)).or_default();
            let old =
                writes.iter().filter_map(|g| g.ended.filter(|&e| e < now - KEPT).map(|_| g.issued)).max();
            if let Some(old) = old {
                writes.retain(|w| w.ended.is_none_or(|e| e >= old));
            }
            writes.push(Write { token, issued: now, ended: None });
        }
    }

    /// A write ended.
    pub fn ended(&mut self, now: Micros, token: Token, outcome: Outcome) {
        let Some((nsid, slba, blocks)) = self.spans.remove(&token) else { return };
        for lba in slba..slba + u64::from(blocks) {
            let Some(writes) = self.blocks.get_mut(&(nsid, lba)) else { continue };
            match outcome {
                Outcome::Served => {
                    writes.iter_mut().filter(|w| w.token == token).for_each(|w| w.ended = Some(now));
                }
                // It never ran.
                Outcome::Refused { .. } | Outcome::Invalid | Outcome::NotOffered => {
                    writes.retain(|w| w.token != token);
                }
                Outcome::Failed | Outcome::Lost => {}
            }
        }
    }

    /// Holds a block of a read, sent at `issued`, against what it may hold.
    pub fn check(&self, nsid: u32, lba: u64, found: Found, issued: Micros) -> Option<Breach> {
        let none = Vec::new();
        let writes = self.blocks.get(&(nsid, lba)).unwrap_or(&none);
        // The last write that was surely in place when the read was sent.
        let settled = writes.iter().filter(|w| w.ended.is_some_and(|e| e < issued)).map(|w| w.issued).max();
        match found {
            Found::Torn => Some(Breach::Torn),
            Found::Empty => settled.map(|_| Breach::Stale),
            Found::Written(token) if token >> 48 != self.salt => settled.map(|_| Breach::Stale),
            Found::Written(token) => match writes.iter().find(|w| w.token.0 == token) {
                None => Some(Breach::Foreign),
                Some(w) => w.ended.filter(|&e| settled.is_some_and(|s| e < s)).map(|_| Breach::Stale),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_read_may_see_what_is_there_what_is_out_and_what_is_in_doubt_and_nothing_else() {
        let salted = |n: u64| Token(5 << 48 | n);
        let seen = |n: u64| Found::Written(5 << 48 | n);
        let mut p = Proof::new(5);
        assert_eq!(p.check(1, 0, Found::Empty, 1), None);
        assert_eq!(p.check(1, 0, Found::Written(4 << 48 | 9), 1), None, "an earlier run's");
        p.issued(10, salted(1), 1, 0, 2);
        p.ended(20, salted(1), Outcome::Served);
        assert_eq!(p.check(1, 0, seen(1), 30), None);
        assert_eq!(p.check(1, 0, Found::Empty, 30), Some(Breach::Stale), "a served write is lost");
        assert_eq!(p.check(1, 0, Found::Empty, 15), None, "the read was sent before its end");
        assert_eq!(p.check(1, 2, seen(1), 30), Some(Breach::Foreign), "it never went there");
        p.issued(30, salted(2), 1, 0, 1);
        assert_eq!(
            (p.check(1, 0, seen(1), 35), p.check(1, 0, seen(2), 35)),
            (None, None),
            "either, while it is out"
        );
        p.ended(40, salted(2), Outcome::Served);
        assert_eq!(p.check(1, 0, seen(1), 50), Some(Breach::Stale));
        assert_eq!(p.check(1, 1, seen(1), 50), None, "the other block was not written again");
        p.issued(60, salted(3), 1, 0, 1);
        p.ended(70, salted(3), Outcome::Failed);
        assert_eq!((p.check(1, 0, seen(2), 80), p.check(1, 0, seen(3), 80)), (None, None), "in doubt");
        p.issued(90, salted(4), 1, 0, 1);
        p.ended(95, salted(4), Outcome::Refused { advice: 0 });
        assert_eq!(p.check(1, 0, seen(4), 99), Some(Breach::Foreign), "told that it never ran");
        assert_eq!(p.check(1, 0, Found::Torn, 99), Some(Breach::Torn));
    }
}
