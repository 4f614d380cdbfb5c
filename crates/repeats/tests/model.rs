//! Model check of accounts and leases over all orders of a few actions: two gateways, messages that are
//! lost and duplicated, a restart, time in steps. Property: no window has more uses than base tokens.

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::account::Account;
use repeats::leases::LeaseBook;
use repeats::message::{LeaseGrant, LeaseRequest};
use repeats::{CapOptions, InjectedFault, Micros, ONE_TOKEN};
use stateright::{Checker, Model, Property};

const WINDOW: Micros = 64_000;
const BASE: u64 = ONE_TOKEN;

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn name(i: usize) -> PeerName {
    PeerName(format!("g{i}"))
}

struct Accounts {
    fault: Option<InjectedFault>,
    /// Number and length of the time steps.
    steps: u8,
    step: Micros,
    /// The most lease requests, duplicated messages and restarts.
    remaining: (u8, u8, u8),
}

/// A lease request without its worth, as a state must be hashable.
type RequestKey = (usize, u64, Life);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    gateways: Vec<(Account, LeaseBook, u64)>,
    requests: Vec<RequestKey>,
    grants: Vec<(usize, LeaseGrant)>,
    uses: Vec<Micros>,
    remaining: (u8, u8, u8),
}

#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    Time,
    Use(usize),
    RequestLease(usize),
    /// A message arrives; if the flag is set, a duplicate stays in flight.
    DeliverRequest(usize, bool),
    DeliverGrant(usize, bool),
    Restart(usize),
}

impl Accounts {
    fn options(&self) -> CapOptions {
        CapOptions { window: WINDOW, drift: 0.0, ..CapOptions::new("a".into(), 2, vec![0]) }
    }

    fn now(&self, state: &State) -> Micros {
        10 * WINDOW + Micros::from(state.time) * self.step
    }
}

impl Model for Accounts {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let durations = self.options().durations();
        let gateway =
            |_| (Account::new(durations, BASE, 0), LeaseBook::new(durations, life(1), 2, self.fault), 1);
        let (requests, grants, uses) = (Vec::new(), Vec::new(), Vec::new());
        let mut state = State {
            time: 0,
            gateways: (0..2).map(gateway).collect(),
            requests,
            grants,
            uses,
            remaining: self.remaining,
        };
        let now = self.now(&state);
        state.gateways.iter_mut().for_each(|s| s.0.settle(now));
        vec![state]
    }

    fn actions(&self, state: &State, possible: &mut Vec<ModelAction>) {
        if state.time < self.steps {
            possible.push(ModelAction::Time);
        }
        for gateway in 0..2 {
            if state.gateways[gateway].0.available() >= ONE_TOKEN {
                possible.push(ModelAction::Use(gateway));
            }
            if state.remaining.0 > 0 {
                possible.push(ModelAction::RequestLease(gateway));
            }
            if state.remaining.2 > 0 {
                possible.push(ModelAction::Restart(gateway));
            }
        }
        // A lost message is one that is never delivered.
        for duplicate in [false, true] {
            if !duplicate || state.remaining.1 > 0 {
                possible.extend((0..state.requests.len()).map(|i| ModelAction::DeliverRequest(i, duplicate)));
                possible.extend((0..state.grants.len()).map(|i| ModelAction::DeliverGrant(i, duplicate)));
            }
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut state = last.clone();
        let now = self.now(last);
        match action {
            ModelAction::Time => {
                state.time += 1;
                let now = self.now(&state);
                state.gateways.iter_mut().for_each(|s| s.0.settle(now));
            }
            ModelAction::Use(gateway) => {
                state.gateways[gateway].0.spend(now, ONE_TOKEN);
                state.uses.push(now);
            }
            ModelAction::RequestLease(gateway) => {
                state.remaining.0 -= 1;
                let request = state.gateways[gateway].1.create_request(
                    now,
                    Some(0),
                    ONE_TOKEN,
                    1.0,
                    &[name(1 - gateway)],
                );
                state.requests.push((gateway, request.number, request.life));
            }
            ModelAction::DeliverRequest(at, duplicate) => {
                let (from, number, life) = state.requests[at];
                if duplicate {
                    state.remaining.1 -= 1;
                } else {
                    state.requests.remove(at);
                }
                let request = LeaseRequest { number, shard: Some(0), amount: ONE_TOKEN, worth: 1.0, life };
                let (account, leases, _) = &mut state.gateways[1 - from];
                if leases.is_new_request(&name(from), &request) {
                    state.grants.extend(
                        leases.grant_lease(now, &request, ONE_TOKEN, 0, false, account).map(|g| (from, g)),
                    );
                }
            }
            ModelAction::DeliverGrant(at, duplicate) => {
                let (to, grant) = state.grants[at].clone();
                if duplicate {
                    state.remaining.1 -= 1;
                } else {
                    state.grants.remove(at);
                }
                let (account, leases, _) = &mut state.gateways[to];
                let _ = leases.accept_grant(now, &name(1 - to), &grant, account);
            }
            ModelAction::Restart(gateway) => {
                state.remaining.2 -= 1;
                let durations = self.options().durations();
                let number = state.gateways[gateway].2 + 1;
                let mut account = Account::new(
                    durations,
                    if self.fault == Some(InjectedFault::NewLifeStartsFull) { 0 } else { BASE },
                    now,
                );
                account.set_base(BASE);
                state.gateways[gateway] =
                    (account, LeaseBook::new(durations, life(number), 2, self.fault), number);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no window has more uses than base tokens", |_: &Accounts, state: &State| {
                state.uses.iter().all(|&from| {
                    state.uses.iter().filter(|&&u| (from..from + WINDOW).contains(&u)).count() <= 2
                })
            }),
            // Shows that tokens are leased at all.
            Property::sometimes("one gateway uses the base tokens of both", |_: &Accounts, state: &State| {
                state.gateways.iter().any(|(account, _, _)| account.totals().spent >= 2 * ONE_TOKEN)
                    && state.time == 0
            }),
        ]
    }
}

fn check(
    fault: Option<InjectedFault>,
    steps: u8,
    step: Micros,
    remaining: (u8, u8, u8),
) -> impl Checker<Accounts> {
    Accounts { fault, steps, step, remaining }.checker().threads(2).spawn_bfs().join()
}

#[test]
fn no_order_of_actions_exceeds_the_base_tokens() {
    // Time steps that span more than a window, and steps within the term of a lease.
    for (steps, step) in [(4, WINDOW / 3), (3, WINDOW / 20)] {
        let checker = check(None, steps, step, (1, 1, 1));
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
        assert!(checker.unique_state_count() > 1_000);
    }
}

#[test]
#[ignore = "some minutes"]
fn no_order_of_more_actions_exceeds_the_base_tokens() {
    for (steps, step) in [(5, WINDOW / 3), (4, WINDOW / 20)] {
        let checker = check(None, steps, step, (2, 2, 1));
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}

#[test]
fn injected_faults_are_found_in_some_order() {
    for fault in [
        InjectedFault::LeaseNotDebited,
        InjectedFault::GrantAcceptedTwice,
        InjectedFault::LeaseCountedFromArrival,
        InjectedFault::NewLifeStartsFull,
    ] {
        let checker = check(Some(fault), 4, WINDOW / 3, (1, 1, 1));
        assert!(checker.discovery("no window has more uses than base tokens").is_some(), "{fault:?}");
    }
}
