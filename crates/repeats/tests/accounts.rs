//! Accounts and loans under drawn schedules: what is used in any window never exceeds the parts, and what arrives late or twice
//! adds nothing.

use peer::{Incarnation, Life, Nonce, PeerName};
use proptest::prelude::*;
use repeats::account::Account;
use repeats::lending::{Lending, Untaken};
use repeats::message::{Grant, Want};
use repeats::{CapOptions, Micros, Plant, RIGHT};

const WINDOW: Micros = 64_000;
const EVEN: u64 = 2;

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn options() -> CapOptions {
    CapOptions { window: WINDOW, drift: 0.05, ..CapOptions::new("a".into(), 3, vec![0]) }
}

/// One gateway with a clock of its own.
struct Side {
    name: PeerName,
    /// Its clock's rate in hundredths of the judge's.
    rate: Micros,
    life: u64,
    account: Account,
    lending: Lending,
}

/// Notes on their way, the uses that were made, all in the judge's time.
struct Fleet {
    now: Micros,
    sides: Vec<Side>,
    wants: Vec<(usize, usize, Want)>,
    grants: Vec<(usize, usize, Grant)>,
    uses: Vec<Micros>,
    served: Vec<Micros>,
    plant: Option<Plant>,
}

impl Fleet {
    fn new(rates: &[Micros], plant: Option<Plant>) -> Self {
        let sides = rates.iter().enumerate().map(|(i, &rate)| Side {
            name: PeerName(format!("g{i}")),
            rate,
            life: 1,
            account: Account::new(options().terms(), EVEN * RIGHT, 0),
            lending: Lending::new(options().terms(), life(1), 3, plant),
        });
        let sides = sides.collect();
        let mut fleet = Fleet {
            now: 0,
            sides,
            wants: Vec::new(),
            grants: Vec::new(),
            uses: Vec::new(),
            served: Vec::new(),
            plant,
        };
        fleet.now = 2 * WINDOW;
        fleet
    }

    fn clock(&self, side: usize) -> Micros {
        self.now * self.sides[side].rate / 100
    }

    fn spend(&mut self, side: usize) {
        let now = self.clock(side);
        let account = &mut self.sides[side].account;
        account.settle(now);
        if account.left() >= RIGHT {
            account.spend(now, RIGHT);
            self.uses.push(self.now);
        }
    }

    fn serve(&mut self, side: usize) {
        let now = self.clock(side);
        // A tenth of a right for each.
        self.sides[side].account.earn(now, RIGHT / 10);
        self.served.push(self.now);
    }

    fn ask(&mut self, side: usize, of: usize) {
        let now = self.clock(side);
        if side != of {
            let name = self.sides[of].name.clone();
            let want = self.sides[side].lending.ask(now, Some(0), 2 * RIGHT, 1.0, &[name]);
            self.wants.push((side, of, want));
        }
    }

    fn hear_want(&mut self, at: usize, keep: bool) {
        if self.wants.is_empty() {
            return;
        }
        let at = at % self.wants.len();
        let (from, to, want) = if keep { self.wants[at].clone() } else { self.wants.remove(at) };
        let (now, name) = (self.clock(to), self.sides[from].name.clone());
        let side = &mut self.sides[to];
        if side.lending.is_new(&name, &want) {
            let grant = side.lending.give(now, &want, 2 * RIGHT, 0, false, &mut side.account);
            self.grants.extend(grant.map(|g| (to, from, g)));
        }
    }

    fn hear_grant(&mut self, at: usize, keep: bool) {
        if self.grants.is_empty() {
            return;
        }
        let at = at % self.grants.len();
        let (from, to, grant) = if keep { self.grants[at].clone() } else { self.grants.remove(at) };
        let (now, name) = (self.clock(to), self.sides[from].name.clone());
        let side = &mut self.sides[to];
        let _ = side.lending.take(now, &name, &grant, &mut side.account);
    }

    fn restart(&mut self, side: usize) {
        let now = self.clock(side);
        let plant = self.plant;
        let side = &mut self.sides[side];
        side.life += 1;
        side.account = match plant {
            Some(Plant::NewLifeFull) => {
                let mut account = Account::new(options().terms(), 0, now);
                account.set_even(EVEN * RIGHT);
                account
            }
            _ => Account::new(options().terms(), EVEN * RIGHT, now),
        };
        side.lending = Lending::new(options().terms(), life(side.life), 3, plant);
    }

    /// The most uses in a window beyond what even parts and earned rights allow; nought if none.
    fn excess(&self) -> i64 {
        let mut worst = 0;
        for (i, &from) in self.uses.iter().enumerate() {
            let uses = self.uses[i..].iter().take_while(|&&u| u < from + WINDOW).count() as i64;
            let served =
                self.served.iter().filter(|&&s| s >= from - WINDOW / 2 && s < from + WINDOW).count() as i64;
            let cap = (EVEN as i64) * self.sides.len() as i64 + served / 10;
            worst = worst.max(uses - cap);
        }
        worst
    }

    fn step(&mut self, what: u8, a: usize, b: usize, time: Micros) {
        self.now += time;
        let (a, b) = (a % self.sides.len(), b % self.sides.len());
        match what {
            0..=2 => self.spend(a),
            3 => self.ask(a, b),
            4 => self.hear_want(a + 7 * b, false),
            5 => self.hear_want(a + 7 * b, true),
            6 => self.hear_grant(a + 7 * b, false),
            7 => self.hear_grant(a + 7 * b, true),
            8 => (0..4).for_each(|_| self.serve(a)),
            9 => self.restart(a),
            _ => (0..4).for_each(|_| self.spend(a)),
        }
    }
}

type Steps = Vec<(u8, usize, usize, Micros)>;

fn steps(most: usize) -> impl Strategy<Value = Steps> {
    let time = prop_oneof![Just(0), Just(0), 0..WINDOW / 16, 0..WINDOW / 2];
    prop::collection::vec((0..11u8, 0..3usize, 0..3usize, time), 0..most)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn uses_in_any_window_are_within_the_parts_and_what_was_earned(steps in steps(120)) {
        // One clock fast by the whole drift, one slow by it.
        let mut fleet = Fleet::new(&[100, 105, 95], None);
        for (what, a, b, time) in steps {
            fleet.step(what, a, b, time);
        }
        prop_assert!(fleet.excess() <= 0, "{} too many", fleet.excess());
    }
}

#[test]
fn all_even_parts_and_no_more_are_used_when_all_need_them() {
    let mut fleet = Fleet::new(&[100, 105, 95], None);
    for _ in 0..400 {
        fleet.now += WINDOW / 100;
        (0..3).for_each(|side| fleet.spend(side));
    }
    assert_eq!(fleet.excess(), 0);
    let last = fleet.uses.iter().filter(|&&u| u > fleet.now - 2 * WINDOW).count();
    assert!(last >= 9, "{last} of 12 in two windows");
}

/// A loan from the second to the first; what was used in the worst window beyond the parts.
fn loan(plant: Option<Plant>) -> i64 {
    let mut fleet = Fleet::new(&[100, 100], plant);
    fleet.ask(0, 1);
    fleet.hear_want(0, false);
    if plant == Some(Plant::GrantUsedLate) {
        fleet.now += WINDOW + WINDOW / 4;
    }
    fleet.hear_grant(0, true);
    fleet.hear_grant(0, false);
    for _ in 0..10 {
        (0..2).for_each(|side| fleet.spend(side));
    }
    if plant == Some(Plant::NewLifeFull) {
        fleet.restart(0);
        (0..10).for_each(|_| fleet.spend(0));
    }
    fleet.excess()
}

/// A loan used at the end of its life, and all that the giver has as soon as it is back, by clocks that agree.
fn loan_used_last(plant: Option<Plant>) -> i64 {
    let mut fleet = Fleet::new(&[100, 100], plant);
    let terms = CapOptions { drift: 0.0, ..options() }.terms();
    for side in &mut fleet.sides {
        side.account = Account::new(terms, EVEN * RIGHT, 0);
        side.lending = Lending::new(terms, life(1), 3, plant);
    }
    fleet.ask(0, 1);
    fleet.hear_want(0, false);
    fleet.hear_grant(0, false);
    fleet.now += WINDOW / 8 - 1_000;
    (0..5).for_each(|_| fleet.spend(0));
    // Each unit of time, so that nothing is lost to a grid.
    for _ in 0..WINDOW / 50 {
        fleet.now += 50;
        fleet.spend(1);
    }
    fleet.excess()
}

#[test]
fn a_loan_that_is_back_at_the_giver_before_its_last_use_is_a_window_old_is_caught() {
    assert_eq!(loan_used_last(None), 0);
    assert!(loan_used_last(Some(Plant::LoanBackEarly)) > 0);
}

#[test]
fn a_loan_adds_nothing_to_the_sum() {
    assert_eq!(loan(None), 0);
}

#[test]
fn a_grant_taken_twice_is_caught() {
    assert!(loan(Some(Plant::GrantTakenTwice)) > 0);
}

#[test]
fn lent_before_taken_off_is_caught() {
    assert!(loan(Some(Plant::LentBeforeTaken)) > 0);
}

#[test]
fn a_grant_used_late_is_caught() {
    assert!(loan(Some(Plant::GrantUsedLate)) > 0);
}

#[test]
fn a_new_life_that_starts_full_is_caught() {
    assert!(loan(Some(Plant::NewLifeFull)) > 0);
}

#[test]
fn a_grant_is_taken_once_in_its_time_by_the_life_that_asked() {
    let mut fleet = Fleet::new(&[100, 100], None);
    fleet.ask(0, 1);
    fleet.hear_want(0, false);
    let (name, grant) = (fleet.sides[1].name.clone(), fleet.grants[0].2.clone());
    let now = fleet.now;
    let take = |side: &mut Side, now| side.lending.take(now, &name, &grant, &mut side.account);
    let mut late = Lending::new(options().terms(), life(1), 3, None);
    late.ask(now, Some(0), RIGHT, 1.0, std::slice::from_ref(&name));
    let mut account = Account::new(options().terms(), 0, 0);
    assert_eq!(late.take(now + WINDOW / 8, &name, &grant, &mut account), Err(Untaken::Late));
    assert_eq!(take(&mut fleet.sides[0], now), Ok(2 * RIGHT));
    assert_eq!(take(&mut fleet.sides[0], now), Err(Untaken::Unasked));
    let lie = Grant { parts: vec![(u64::MAX, Micros::MAX); 3], ..grant.clone() };
    let mut asker = Lending::new(options().terms(), life(1), 3, None);
    asker.ask(now, Some(0), RIGHT, 1.0, std::slice::from_ref(&name));
    let lie = Grant { number: 1, ..lie };
    assert_eq!(asker.take(now, &name, &lie, &mut account), Ok(RIGHT), "no more than was asked for");
    fleet.restart(0);
    assert_eq!(take(&mut fleet.sides[0], now), Err(Untaken::OtherLife));
    let other = PeerName::from("g9");
    let grant = Grant { life: life(2), ..grant.clone() };
    assert_eq!(fleet.sides[0].lending.take(now, &other, &grant, &mut account), Err(Untaken::Late));
}
