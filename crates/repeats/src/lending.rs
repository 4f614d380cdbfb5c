//! Rights lent between gateways.
//!
//! The borrower asks (`Want`), the giver takes the rights off its account and then answers (`Grant`). Nothing else is said:
//! a want or a grant that is lost loses at most the rights of that grant until they come back to the giver.
//!
//! Why a late or doubled note cannot add rights. A grant says how long its rights may live from the moment of giving, in the
//! judge's time. The borrower does not know that moment, but it knows one before it: when its want went out. From there it counts,
//! on its own clock, shortened by the drift. So it drops the rights no later than the giver counts on, however long either note
//! took; a grant that took longer than a loan's life can only come expired. A want has a number of the asker's life; a
//! giver's grant on it is taken once, and a grant on another life's want never.

use std::collections::BTreeMap;

use peer::{Life, PeerName};

use crate::Micros;
use crate::account::Account;
use crate::message::{Grant, Want};
use crate::options::{Plant, RIGHT, Terms};

/// Wants of which grants may still come; older ones are over.
const MOST_OPEN: usize = 64;

/// A want that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open {
    sent: Micros,
    account: Option<u32>,
    amount: u64,
    /// Whom was asked and has not given yet.
    asked: Vec<PeerName>,
}

/// What a gateway has asked for, and what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lending {
    terms: Terms,
    life: Life,
    next: u64,
    open: BTreeMap<u64, Open>,
    /// The last want of each asker: a doubled one costs the giver nothing. At most as many as there are members.
    heard: BTreeMap<PeerName, (Life, BTreeMap<Option<u32>, u64>)>,
    most_askers: usize,
    plant: Option<Plant>,
}

/// Why a grant was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Untaken {
    /// It came too late to be used: the ordinary fate of a late note.
    Late,
    /// It is for a want of another life.
    OtherLife,
    /// It was not asked for, or was taken already.
    Unasked,
}

impl Lending {
    /// Nothing asked, nothing heard.
    pub fn new(terms: Terms, life: Life, members: usize, plant: Option<Plant>) -> Self {
        let open = BTreeMap::new();
        Lending { terms, life, next: 1, open, heard: BTreeMap::new(), most_askers: members, plant }
    }

    /// A want for so many thousandths, to go to these peers now.
    pub fn ask(
        &mut self,
        now: Micros,
        account: Option<u32>,
        amount: u64,
        worth: f64,
        of: &[PeerName],
    ) -> Want {
        let (terms, number) = (self.terms, self.next);
        self.next += 1;
        if self.plant != Some(Plant::GrantUsedLate) {
            self.open.retain(|_, o| o.sent + terms.loan > now);
        }
        // Harm: with more wants out than this, grants on the oldest are lost.
        while self.open.len() >= MOST_OPEN {
            self.open.pop_first();
        }
        self.open.insert(number, Open { sent: now, account, amount, asked: of.to_vec() });
        Want { number, shard: account, amount, worth, life: self.life }
    }

    /// Whether a want is a new one; remembers it.
    pub fn is_new(&mut self, from: &PeerName, want: &Want) -> bool {
        if !self.heard.contains_key(from) && self.heard.len() >= self.most_askers {
            return false;
        }
        let (life, last) = self.heard.entry(from.clone()).or_insert_with(|| (want.life, BTreeMap::new()));
        if *life != want.life {
            if want.life.is_behind(*life) {
                return false;
            }
            (*life, *last) = (want.life, BTreeMap::new());
        }
        let last = last.entry(want.shard).or_insert(0);
        let new = want.number > *last;
        *last = want.number.max(*last);
        new
    }

    /// Gives at most so many on a want, keeping that much of the even part; the rights are off the account when this returns.
    pub fn give(
        &self,
        now: Micros,
        want: &Want,
        most: u64,
        keep: u64,
        recovering: bool,
        account: &mut Account,
    ) -> Option<Grant> {
        let most = most.min(want.amount);
        let back_early = self.plant == Some(Plant::LoanBackEarly);
        let parts = if self.plant == Some(Plant::LentBeforeTaken) {
            account.clone().lend(now, most, keep, back_early)
        } else {
            account.lend(now, most, keep, back_early)
        };
        let grant = Grant { number: want.number, shard: want.shard, parts, life: want.life, recovering };
        (!grant.parts.is_empty()).then_some(grant)
    }

    /// Takes a grant over into the account; what was added, in thousandths.
    pub fn take(
        &mut self,
        now: Micros,
        from: &PeerName,
        grant: &Grant,
        account: &mut Account,
    ) -> Result<u64, Untaken> {
        if grant.life != self.life {
            return Err(Untaken::OtherLife);
        }
        let open = self.open.get_mut(&grant.number).ok_or(Untaken::Late)?;
        let at = open.asked.iter().position(|p| p == from).ok_or(Untaken::Unasked)?;
        if open.account != grant.shard {
            return Err(Untaken::Unasked);
        }
        if self.plant != Some(Plant::GrantTakenTwice) {
            open.asked.swap_remove(at);
        }
        let began = if self.plant == Some(Plant::GrantUsedLate) { now } else { open.sent };
        let mut added = 0;
        for &(rights, left) in &grant.parts {
            // A giver states at most a loan's life; one that states more is held to it.
            let until = began + self.terms.kept(left.clamp(0, self.terms.loan));
            // Nor is more taken than was asked for.
            let rights = rights.min(open.amount - added);
            if account.borrow(now, until, rights) {
                added += rights;
            }
        }
        if added == 0 { Err(Untaken::Late) } else { Ok(added) }
    }

    /// What is lacking in whole rights, as an amount to ask for: never less than one right, as parts of one may be in several hands.
    pub fn amount(need: u64, left: u64) -> u64 {
        (need * RIGHT).saturating_sub(left)
    }
}
