//! Accounts and leases under random schedules: the uses in any window never exceed the base tokens and
//! the earned ones, and late or duplicated messages add no tokens.

use peer::{Incarnation, Life, Nonce, PeerName};
use proptest::prelude::*;
use repeats::account::{Account, SpentTokens};
use repeats::leases::{GrantRejected, LeaseBook};
use repeats::message::{LeaseGrant, LeaseRequest};
use repeats::{CapOptions, InjectedFault, Micros, ONE_TOKEN};

const WINDOW: Micros = 64_000;
const BASE: u64 = 2;

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn options() -> CapOptions {
    CapOptions { window: WINDOW, drift: 0.05, ..CapOptions::new("a".into(), 3, vec![0]) }
}

/// A gateway with its own clock.
struct Gateway {
    name: PeerName,
    /// The rate of its clock, in hundredths of the reference clock.
    rate: Micros,
    life: u64,
    account: Account,
    leases: LeaseBook,
    /// Attempts that have taken a token and are not sent yet.
    unsent: Vec<SpentTokens>,
}

/// Messages in flight and the tokens used, all by the reference clock.
struct Fleet {
    now: Micros,
    gateways: Vec<Gateway>,
    requests: Vec<(usize, usize, LeaseRequest)>,
    grants: Vec<(usize, usize, LeaseGrant)>,
    uses: Vec<Micros>,
    served: Vec<Micros>,
    fault: Option<InjectedFault>,
}

impl Fleet {
    fn new(rates: &[Micros], fault: Option<InjectedFault>) -> Self {
        let gateways = rates.iter().enumerate().map(|(i, &rate)| Gateway {
            name: PeerName(format!("g{i}")),
            rate,
            life: 1,
            account: Account::new(options().durations(), BASE * ONE_TOKEN, 0),
            leases: LeaseBook::new(options().durations(), life(1), 3, fault),
            unsent: Vec::new(),
        });
        let gateways = gateways.collect();
        let mut fleet = Fleet {
            now: 0,
            gateways,
            requests: Vec::new(),
            grants: Vec::new(),
            uses: Vec::new(),
            served: Vec::new(),
            fault,
        };
        fleet.now = 2 * WINDOW;
        fleet
    }

    fn clock(&self, gateway: usize) -> Micros {
        self.now * self.gateways[gateway].rate / 100
    }

    fn spend(&mut self, gateway: usize) {
        let now = self.clock(gateway);
        let account = &mut self.gateways[gateway].account;
        account.settle(now);
        if account.available() >= ONE_TOKEN {
            account.spend(now, ONE_TOKEN);
            self.uses.push(self.now);
        }
    }

    /// An attempt takes a token and waits to be sent.
    fn spend_unsent(&mut self, gateway: usize) {
        let now = self.clock(gateway);
        let Gateway { account, unsent, .. } = &mut self.gateways[gateway];
        account.settle(now);
        if account.available() >= ONE_TOKEN {
            unsent.push(account.spend(now, ONE_TOKEN));
        }
    }

    /// An attempt that waits is not sent after all.
    fn take_back(&mut self, gateway: usize, at: usize) {
        let now = self.clock(gateway);
        let Gateway { account, unsent, .. } = &mut self.gateways[gateway];
        if !unsent.is_empty() {
            account.take_back(now, unsent.remove(at % unsent.len()));
        }
    }

    fn serve(&mut self, gateway: usize) {
        let now = self.clock(gateway);
        // A tenth of a token each.
        self.gateways[gateway].account.earn(now, ONE_TOKEN / 10);
        self.served.push(self.now);
    }

    fn request_lease(&mut self, gateway: usize, lender: usize) {
        let now = self.clock(gateway);
        if gateway != lender {
            let name = self.gateways[lender].name.clone();
            let request =
                self.gateways[gateway].leases.create_request(now, Some(0), 2 * ONE_TOKEN, 1.0, &[name]);
            self.requests.push((gateway, lender, request));
        }
    }

    fn deliver_request(&mut self, at: usize, duplicate: bool) {
        if self.requests.is_empty() {
            return;
        }
        let at = at % self.requests.len();
        let (from, to, request) =
            if duplicate { self.requests[at].clone() } else { self.requests.remove(at) };
        let (now, name) = (self.clock(to), self.gateways[from].name.clone());
        let gateway = &mut self.gateways[to];
        if gateway.leases.is_new_request(&name, &request) {
            let grant =
                gateway.leases.grant_lease(now, &request, 2 * ONE_TOKEN, 0, false, &mut gateway.account);
            self.grants.extend(grant.map(|g| (to, from, g)));
        }
    }

    fn deliver_grant(&mut self, at: usize, duplicate: bool) {
        if self.grants.is_empty() {
            return;
        }
        let at = at % self.grants.len();
        let (from, to, grant) = if duplicate { self.grants[at].clone() } else { self.grants.remove(at) };
        let (now, name) = (self.clock(to), self.gateways[from].name.clone());
        let gateway = &mut self.gateways[to];
        let _ = gateway.leases.accept_grant(now, &name, &grant, &mut gateway.account);
    }

    fn restart(&mut self, gateway: usize) {
        let now = self.clock(gateway);
        let fault = self.fault;
        let gateway = &mut self.gateways[gateway];
        gateway.life += 1;
        gateway.account = match fault {
            Some(InjectedFault::NewLifeStartsFull) => {
                let mut account = Account::new(options().durations(), 0, now);
                account.set_base(BASE * ONE_TOKEN);
                account
            }
            _ => Account::new(options().durations(), BASE * ONE_TOKEN, now),
        };
        gateway.leases = LeaseBook::new(options().durations(), life(gateway.life), 3, fault);
        gateway.unsent.clear();
    }

    /// The most uses in a window beyond what base tokens and earned tokens allow; zero if none.
    fn excess(&self) -> i64 {
        let mut worst = 0;
        for (i, &from) in self.uses.iter().enumerate() {
            let uses = self.uses[i..].iter().take_while(|&&u| u < from + WINDOW).count() as i64;
            let served =
                self.served.iter().filter(|&&s| s >= from - WINDOW / 2 && s < from + WINDOW).count() as i64;
            let cap = (BASE as i64) * self.gateways.len() as i64 + served / 10;
            worst = worst.max(uses - cap);
        }
        worst
    }

    fn step(&mut self, what: u8, a: usize, b: usize, time: Micros) {
        self.now += time;
        let (a, b) = (a % self.gateways.len(), b % self.gateways.len());
        match what {
            0..=2 => self.spend(a),
            3 => self.request_lease(a, b),
            4 => self.deliver_request(a + 7 * b, false),
            5 => self.deliver_request(a + 7 * b, true),
            6 => self.deliver_grant(a + 7 * b, false),
            7 => self.deliver_grant(a + 7 * b, true),
            8 => (0..4).for_each(|_| self.serve(a)),
            9 => self.restart(a),
            11 => self.spend_unsent(a),
            12 => self.take_back(a, b),
            _ => (0..4).for_each(|_| self.spend(a)),
        }
    }
}

type Steps = Vec<(u8, usize, usize, Micros)>;

fn steps(most: usize) -> impl Strategy<Value = Steps> {
    let time = prop_oneof![Just(0), Just(0), 0..WINDOW / 16, 0..WINDOW / 2];
    prop::collection::vec((0..13u8, 0..3usize, 0..3usize, time), 0..most)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn uses_in_any_window_stay_within_base_and_earned_tokens(steps in steps(120)) {
        // One clock is fast by the full drift, one slow by it.
        let mut fleet = Fleet::new(&[100, 105, 95], None);
        for (what, a, b, time) in steps {
            fleet.step(what, a, b, time);
        }
        prop_assert!(fleet.excess() <= 0, "{} too many", fleet.excess());
    }
}

#[test]
fn all_base_tokens_can_be_used_and_no_more() {
    let mut fleet = Fleet::new(&[100, 105, 95], None);
    for _ in 0..400 {
        fleet.now += WINDOW / 100;
        (0..3).for_each(|gateway| fleet.spend(gateway));
    }
    assert_eq!(fleet.excess(), 0);
    let last = fleet.uses.iter().filter(|&&u| u > fleet.now - 2 * WINDOW).count();
    assert!(last >= 9, "{last} of 12 in two windows");
}

/// A lease from the second gateway to the first; returns the uses beyond the limit in the worst window.
fn uses_beyond_limit(fault: Option<InjectedFault>) -> i64 {
    let mut fleet = Fleet::new(&[100, 100], fault);
    fleet.request_lease(0, 1);
    fleet.deliver_request(0, false);
    if fault == Some(InjectedFault::LeaseCountedFromArrival) {
        fleet.now += WINDOW + WINDOW / 4;
    }
    fleet.deliver_grant(0, true);
    fleet.deliver_grant(0, false);
    for _ in 0..10 {
        (0..2).for_each(|gateway| fleet.spend(gateway));
    }
    if fault == Some(InjectedFault::NewLifeStartsFull) {
        fleet.restart(0);
        (0..10).for_each(|_| fleet.spend(0));
    }
    fleet.excess()
}

/// A lease used at the end of its term, and the lender's base tokens used as soon as they return, with
/// clocks that agree.
fn uses_beyond_limit_at_lease_end(fault: Option<InjectedFault>) -> i64 {
    let mut fleet = Fleet::new(&[100, 100], fault);
    let durations = CapOptions { drift: 0.0, ..options() }.durations();
    for gateway in &mut fleet.gateways {
        gateway.account = Account::new(durations, BASE * ONE_TOKEN, 0);
        gateway.leases = LeaseBook::new(durations, life(1), 3, fault);
    }
    fleet.request_lease(0, 1);
    fleet.deliver_request(0, false);
    fleet.deliver_grant(0, false);
    fleet.now += WINDOW / 8 - 1_000;
    (0..5).for_each(|_| fleet.spend(0));
    // In small steps, so that no time is lost to the grid.
    for _ in 0..WINDOW / 50 {
        fleet.now += 50;
        fleet.spend(1);
    }
    fleet.excess()
}

#[test]
fn a_lease_that_returns_too_early_is_detected() {
    assert_eq!(uses_beyond_limit_at_lease_end(None), 0);
    assert!(uses_beyond_limit_at_lease_end(Some(InjectedFault::LeaseReturnsEarly)) > 0);
}

#[test]
fn a_lease_adds_no_tokens() {
    assert_eq!(uses_beyond_limit(None), 0);
}

#[test]
fn a_grant_accepted_twice_is_detected() {
    assert!(uses_beyond_limit(Some(InjectedFault::GrantAcceptedTwice)) > 0);
}

#[test]
fn a_lease_not_debited_is_detected() {
    assert!(uses_beyond_limit(Some(InjectedFault::LeaseNotDebited)) > 0);
}

#[test]
fn a_lease_counted_from_arrival_is_detected() {
    assert!(uses_beyond_limit(Some(InjectedFault::LeaseCountedFromArrival)) > 0);
}

#[test]
fn a_new_life_that_starts_full_is_detected() {
    assert!(uses_beyond_limit(Some(InjectedFault::NewLifeStartsFull)) > 0);
}

#[test]
fn a_grant_is_accepted_once_in_time_by_the_requesting_life() {
    let mut fleet = Fleet::new(&[100, 100], None);
    fleet.request_lease(0, 1);
    fleet.deliver_request(0, false);
    let (name, grant) = (fleet.gateways[1].name.clone(), fleet.grants[0].2.clone());
    let now = fleet.now;
    let accept =
        |gateway: &mut Gateway, now| gateway.leases.accept_grant(now, &name, &grant, &mut gateway.account);
    let mut late = LeaseBook::new(options().durations(), life(1), 3, None);
    late.create_request(now, Some(0), ONE_TOKEN, 1.0, std::slice::from_ref(&name));
    let mut account = Account::new(options().durations(), 0, 0);
    assert_eq!(late.accept_grant(now + WINDOW / 8, &name, &grant, &mut account), Err(GrantRejected::Late));
    assert_eq!(accept(&mut fleet.gateways[0], now), Ok(2 * ONE_TOKEN));
    assert_eq!(accept(&mut fleet.gateways[0], now), Err(GrantRejected::NotRequested));
    let overstated = LeaseGrant { parts: vec![(u64::MAX, Micros::MAX); 3], ..grant.clone() };
    let mut asker = LeaseBook::new(options().durations(), life(1), 3, None);
    asker.create_request(now, Some(0), ONE_TOKEN, 1.0, std::slice::from_ref(&name));
    let overstated = LeaseGrant { number: 1, ..overstated };
    assert_eq!(
        asker.accept_grant(now, &name, &overstated, &mut account),
        Ok(ONE_TOKEN),
        "no more than was requested"
    );
    fleet.restart(0);
    assert_eq!(accept(&mut fleet.gateways[0], now), Err(GrantRejected::OtherLife));
    let other = PeerName::from("g9");
    let grant = LeaseGrant { life: life(2), ..grant.clone() };
    assert_eq!(
        fleet.gateways[0].leases.accept_grant(now, &other, &grant, &mut account),
        Err(GrantRejected::Late)
    );
}

/// Guards against attempts that take a token although nothing of them is sent.
#[test]
fn a_token_that_is_taken_back_was_never_taken() {
    let durations = options().durations();
    let mut account = Account::new(durations, BASE * ONE_TOKEN, 0);
    let now = 4 * WINDOW;
    account.earn(now, ONE_TOKEN / 2);
    account.settle(now);
    let before = (account.available(), account.next_expiry(), account.totals());
    let first = account.spend(now, ONE_TOKEN);
    let second = account.spend(now, ONE_TOKEN);
    account.take_back(now, first);
    account.take_back(now, second);
    assert_eq!((account.available(), account.next_expiry(), account.totals()), before);
}

/// Guards against a token that is had twice: it returned or expired while its attempt waited.
#[test]
fn a_token_that_is_taken_back_late_is_not_had_twice() {
    let durations = options().durations();
    let mut account = Account::new(durations, BASE * ONE_TOKEN, 0);
    let now = 4 * WINDOW;
    account.earn(now, ONE_TOKEN / 2);
    let spent = account.spend(now, ONE_TOKEN);
    let later = now + 2 * WINDOW;
    account.take_back(later, spent);
    assert_eq!(account.available(), BASE * ONE_TOKEN, "the base tokens, and no earned one");
    account.earn(later, ONE_TOKEN);
    let spent = account.spend(later, ONE_TOKEN);
    account.scale_held(0.5);
    account.take_back(later, spent);
    assert_eq!(account.available(), BASE * ONE_TOKEN, "what was earned at another share stays spent");
}
