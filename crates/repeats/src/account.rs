//! One gateway's rights to one shard (or to all): what it has, until when, and what is out.
//!
//! Two sorts, and an argument for each that needs nobody else's honesty about time:
//!
//! - **Even.** Of its even part `E` a gateway has at any moment `E` less what is *out*. A spent right is out for a window, a lent
//!   one for its loan's life and a window: as if it were spent at the latest moment at which its borrower may. So whichever
//!   window is looked at, uses of this gateway's part that lie in it, its own and its borrowers', are at most `E`; over all
//!   members at most `free`, whoever is cut from whom.
//! - **Earned.** A served request gives `share` of a right that is used once, here or by whom it is lent to, within half a window.
//!   So the uses in a window are at most `share` x what was served in it and in the half window before it.

use std::collections::VecDeque;

use crate::Micros;
use crate::options::Terms;

/// Rights in thousandths, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Parcel {
    until: Micros,
    rights: u64,
}

/// A part of a grant: rights in thousandths, and what is left of their life in the judge's time, counted from the giving.
pub type Part = (u64, Micros);

/// What went through an account, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Turnover {
    /// Spent on sends.
    pub spent: u64,
    /// Lent to peers.
    pub lent: u64,
    /// Taken over from peers.
    pub borrowed: u64,
    /// Earned by what was served.
    pub earned: u64,
}

/// The account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Account {
    terms: Terms,
    even: u64,
    /// Even rights in use, by when they come back. Bounded by the steps in a window and a loan.
    out: Parcels,
    /// Earned and borrowed, by when they are dropped. Bounded by the slices of an earned life and the loans in one.
    have: Parcels,
    turnover: Turnover,
}

/// Parcels by when they fall due, and their sum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Parcels {
    queue: VecDeque<Parcel>,
    sum: u64,
}

impl Parcels {
    fn put(&mut self, until: Micros, rights: u64) {
        if rights == 0 {
            return;
        }
        self.sum = self.sum.saturating_add(rights);
        let at = self.queue.partition_point(|p| p.until < until);
        match self.queue.get_mut(at) {
            Some(p) if p.until == until => p.rights = p.rights.saturating_add(rights),
            _ => self.queue.insert(at, Parcel { until, rights }),
        }
    }

    /// Drops what fell due.
    fn settle(&mut self, now: Micros) {
        while let Some(parcel) = self.queue.pop_front_if(|p| p.until <= now) {
            self.sum -= parcel.rights;
        }
    }

    /// Changes what each has; drops those that have nothing any more.
    fn change(&mut self, mut change: impl FnMut(&mut Parcel)) {
        self.queue.iter_mut().for_each(&mut change);
        self.queue.retain(|p| p.rights > 0);
        self.sum = self.queue.iter().map(|p| p.rights).sum();
    }
}

impl Account {
    /// An account of a life that begins now: its even part is out, as a former life may have used all of it just now.
    pub fn new(terms: Terms, even: u64, now: Micros) -> Self {
        let mut account = Account::full(terms, even);
        account.out.put(terms.up(now + terms.empty()), even);
        account
    }

    /// An account with its whole even part: right for no life but the very first of a gateway.
    pub(crate) fn full(terms: Terms, even: u64) -> Self {
        Account {
            terms,
            even,
            out: Parcels::default(),
            have: Parcels::default(),
            turnover: Turnover::default(),
        }
    }

    /// Drops what fell due.
    pub fn settle(&mut self, now: Micros) {
        self.out.settle(now);
        self.have.settle(now);
    }

    /// Even rights that are not out, in thousandths; as of the last `settle`.
    pub fn even_left(&self) -> u64 {
        self.even.saturating_sub(self.out.sum)
    }

    /// Rights to spend, in thousandths; as of the last `settle`.
    pub fn left(&self) -> u64 {
        self.even_left() + self.have.sum
    }

    /// When the next of what it has is dropped.
    pub fn next_loss(&self) -> Option<Micros> {
        self.have.queue.front().map(|p| p.until)
    }

    /// When the next even right comes back.
    pub fn next_gain(&self) -> Option<Micros> {
        self.out.queue.front().map(|p| p.until)
    }

    /// What went through.
    pub fn turnover(&self) -> Turnover {
        self.turnover
    }

    /// From now on the even part is this. What is out stays out, so a smaller part holds at once.
    pub fn set_even(&mut self, even: u64) {
        self.even = even;
    }

    /// What it has of earned and borrowed rights shrinks to this part: they were earned at a share that holds no longer.
    pub fn narrow(&mut self, part: f64) {
        self.have.change(|p| p.rights = (p.rights as f64 * part.clamp(0.0, 1.0)).floor() as u64);
    }

    /// Adds what a served request gives.
    pub fn earn(&mut self, now: Micros, rights: u64) {
        self.have.put(self.terms.down(now + self.terms.earned), rights);
        self.turnover.earned += rights;
    }

    /// Adds what a peer gave, until that moment of our clock; nothing if it is past.
    pub fn borrow(&mut self, now: Micros, until: Micros, rights: u64) -> bool {
        // On a grid, so that parcels stay few; rounded down, as a right may not outlive what the giver counts it for.
        let until = until.div_euclid(self.terms.step) * self.terms.step;
        if until <= now {
            return false;
        }
        self.have.put(until, rights);
        self.turnover.borrowed += rights;
        true
    }

    /// Takes rights for a send: first those that are dropped first, then even ones. What lacks is taken from even rights to
    /// come.
    ///
    /// Danger: a send that went out without a right (the caller was stopped between a fall due and its tick) must count.
    /// Harm: the account gives nothing until that is made good.
    pub fn spend(&mut self, now: Micros, rights: u64) {
        self.settle(now);
        let rest = rights - self.take(rights, 0).iter().map(|p| p.0).sum::<u64>();
        self.out.put(self.terms.up(now + self.terms.window), rest);
        self.turnover.spent += rights;
    }

    /// Takes at most so many from earned and borrowed ones that live beyond `least` from the beginning of time.
    fn take(&mut self, most: u64, least: Micros) -> Vec<Part> {
        let (mut rest, mut taken) = (most, Vec::new());
        if rest == 0 {
            return taken;
        }
        self.have.change(|p| {
            let rights = if p.until < least { 0 } else { p.rights.min(rest) };
            p.rights -= rights;
            rest -= rights;
            if rights > 0 {
                taken.push((rights, p.until));
            }
        });
        taken
    }

    /// What could be lent now with that much of the even part kept back.
    pub fn lendable(&self, now: Micros, keep: u64) -> u64 {
        let least = now + self.terms.loan / 2;
        let have: u64 = self.have.queue.iter().filter(|p| p.until >= least).map(|p| p.rights).sum();
        have + self.even_left().saturating_sub(keep)
    }

    /// Takes at most `most` off this account to be lent, and keeps that much of the even part back. What is returned is no
    /// longer here, whether it ever arrives or not.
    ///
    /// Lives: an earned right that is dropped here at `until` was served at most `earned * (1 - drift) - (until - now)` of our
    /// clock ago; `until - now` of the *judge's* time from now is then no more than is left of half a window, as our clock may
    /// be slow but not by more than the drift. An even right is out for `loan_held` of our clock, which is `loan` of the
    /// judge's even if ours is fast, and then for a window.
    pub fn lend(&mut self, now: Micros, most: u64, keep: u64, back_early: bool) -> Vec<Part> {
        self.settle(now);
        let least = now + self.terms.loan / 2;
        let earned = self.take(most, least);
        let given: u64 = earned.iter().map(|p| p.0).sum();
        let left = earned.iter().map(|p| p.1 - now).min().unwrap_or(0).min(self.terms.loan);
        let even = self.even_left().saturating_sub(keep).min(most - given);
        let held = if back_early { 0 } else { self.terms.loan_held };
        self.out.put(self.terms.up(now + held + self.terms.window), even);
        self.turnover.lent += given + even;
        [(given, left), (even, self.terms.loan)].into_iter().filter(|p| p.0 > 0).collect()
    }
}
