//! How far, and for how long, the scheduler's allowances may differ from the accounts, under random
//! events.
//!
//! Bounds: an allowance never exceeds an account. Where a shard is allowed nothing although its own
//! account has a whole token, the fleet account has no whole token that is not in any allowance; where
//! it has one for each shard, that state lasts for at most a step.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce};
use proptest::prelude::*;
use repeats::{Cap, CapOptions, Input, Micros, Output};

const WINDOW: Micros = 1_000_000;
const SLICE: Micros = WINDOW / 16;
const STEP: Micros = SLICE / 4;
const SHARDS: [u32; 2] = [7, 8];

/// A random event.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// This many requests to the shard are served.
    Served(u32, u32),
    /// This many repeats arrive: as many as are allowed are sent, the remainder is rejected.
    Repeats(u32, u32),
    /// Time passes.
    Wait(Micros),
}

fn event() -> impl Strategy<Value = Event> {
    let shard = || prop::sample::select(&SHARDS[..]);
    prop_oneof![
        (shard(), 1..30u32).prop_map(|(shard, count)| Event::Served(shard, count)),
        (shard(), 1..8u32).prop_map(|(shard, count)| Event::Repeats(shard, count)),
        (1..STEP).prop_map(Event::Wait),
        (1..4 * SLICE).prop_map(Event::Wait),
    ]
}

/// The cap of one gateway, and the allowances that its scheduler was notified of.
struct Gateway {
    now: Micros,
    cap: Cap,
    allowed: BTreeMap<u32, u64>,
    /// Since when a shard has been allowed nothing although there is a token for each shard.
    starved: BTreeMap<u32, Micros>,
    /// Violations of the bounds.
    beyond_account: Vec<String>,
    unreported: Vec<String>,
    overdue: Vec<String>,
}

impl Gateway {
    /// A single gateway whose base tokens are available.
    fn new(free: f64, fleet_free: f64) -> Gateway {
        let options = CapOptions { free, fleet_free, ..CapOptions::new("g".into(), 1, SHARDS.into()) };
        let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let mut gateway = Gateway {
            now: 0,
            cap: Cap::new(options, life, 0, 1),
            allowed: BTreeMap::new(),
            starved: BTreeMap::new(),
            beyond_account: Vec::new(),
            unreported: Vec::new(),
            overdue: Vec::new(),
        };
        gateway.handle_input(Input::Tick);
        gateway.advance(2 * WINDOW);
        gateway
    }

    fn handle_input(&mut self, input: Input) {
        let mut out = Vec::new();
        if let Input::AttemptSent { shard, is_retry: true } = input {
            *self.allowed.entry(shard).or_default() -= 1;
        }
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            if let Output::Allow(allowance) = output {
                self.allowed.insert(allowance.shard, allowance.retries.into());
            }
        }
        self.check_bounds(true);
    }

    fn allowed(&self, shard: u32) -> u64 {
        self.allowed.get(&shard).copied().unwrap_or(0)
    }

    /// Whole tokens of a shard's account, or of the fleet account.
    fn left(&self, shard: Option<u32>) -> u64 {
        let snapshots = self.cap.snapshot(self.now);
        snapshots.iter().find(|snapshot| snapshot.shard == shard).expect("an account").available as u64
    }

    /// Compares the allowances with the accounts; `handled` is set right after the cap has handled an
    /// event.
    fn check_bounds(&mut self, handled: bool) {
        let fleet = self.left(None);
        let sum: u64 = self.allowed.values().sum();
        let state = format!("at {}, allowed {:?}, {fleet} available fleet-wide", self.now, self.allowed);
        if sum > fleet {
            self.beyond_account.push(state.clone());
        }
        for shard in SHARDS {
            let (left, allowed) = (self.left(Some(shard)), self.allowed(shard));
            let state = format!("{state}, {left} available at {shard}");
            if allowed > left {
                self.beyond_account.push(state.clone());
            }
            let empty = allowed == 0 && left > 0;
            if handled && empty && fleet > sum {
                self.unreported.push(state.clone());
            }
            if !empty || fleet < SHARDS.len() as u64 {
                self.starved.remove(&shard);
            } else if self.now - *self.starved.entry(shard).or_insert(self.now) > STEP {
                self.overdue.push(state);
            }
        }
    }

    /// Time passes; the cap gets its ticks when they are due.
    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            let step = (self.now / STEP + 1) * STEP;
            let due = self.cap.next_due().max(self.now);
            self.now = end.min(step).min(due.max(self.now + 1));
            if self.cap.next_due() <= self.now {
                self.handle_input(Input::Tick);
            }
            self.check_bounds(false);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Served(shard, count) => {
                for _ in 0..count {
                    self.handle_input(Input::AttemptEnded { shard, served: true, refused: false });
                }
            }
            Event::Repeats(shard, count) => {
                for _ in 0..count {
                    let input = match self.allowed(shard) {
                        0 => Input::RetryRejected { shard, worth: 1.0, remaining: WINDOW },
                        _ => Input::AttemptSent { shard, is_retry: true },
                    };
                    self.handle_input(input);
                }
            }
            Event::Wait(time) => self.advance(time),
        }
    }
}

/// Runs the events.
fn run_events(free: u32, fleet_free: u32, events: &[Event]) -> Gateway {
    let mut gateway = Gateway::new(free.into(), fleet_free.into());
    events.iter().for_each(|&event| gateway.apply(event));
    gateway
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..60)
}

proptest! {
    #[test]
    fn an_allowance_never_exceeds_an_account(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let gateway = run_events(free, fleet_free, &events);
        prop_assert!(gateway.beyond_account.is_empty(), "{}", gateway.beyond_account.join("\n"));
    }

    /// Guards against repeats that are rejected for lack of a token that the gateway has.
    #[test]
    fn a_shard_is_allowed_nothing_only_where_no_token_is_unreported(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let gateway = run_events(free, fleet_free, &events);
        prop_assert!(gateway.unreported.is_empty(), "{} times, first {}", gateway.unreported.len(), gateway.unreported[0]);
    }

    /// Guards against fleet-wide tokens that one shard keeps from another for longer than a step.
    #[test]
    fn a_shard_is_allowed_nothing_for_at_most_a_step_where_each_could_have_a_token(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let gateway = run_events(free, fleet_free, &events);
        prop_assert!(gateway.overdue.is_empty(), "{} times, first {}", gateway.overdue.len(), gateway.overdue[0]);
    }

    /// Guards against scarce fleet-wide tokens that stay with a shard which needs none.
    #[test]
    fn a_shard_in_need_has_a_token_within_a_step_where_an_idle_one_has_all(
        idle in prop::sample::select(&SHARDS[..]),
        fleet_free in 1..4u32,
        needed in 0..12u32,
        rest in 0..2 * SLICE,
        rejected in 1..8u32,
    ) {
        let other = SHARDS.into_iter().find(|shard| *shard != idle).expect("another");
        let mut gateway = Gateway::new(8.0, fleet_free.into());
        // The shard needs many tokens, uses those it gets, has all that return, and is then idle for
        // longer than its need is counted.
        gateway.apply(Event::Repeats(idle, needed));
        gateway.advance(3 * WINDOW / 2);
        gateway.apply(Event::Served(idle, 10));
        gateway.advance(2 * SLICE + rest);
        gateway.apply(Event::Repeats(other, gateway.allowed(other) as u32 + rejected));
        let (all, since) = (gateway.left(None), gateway.now);
        gateway.advance(STEP);
        let state = format!("{all} available fleet-wide, allowed {:?} since {since}", gateway.allowed);
        prop_assert!(all == 0 || gateway.allowed(other) > 0, "{state}");
    }
}
