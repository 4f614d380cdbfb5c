//! How far, and for how long, what the module was told may lag behind the accounts, under drawn events.
//!
//! In bounds: what was told never exceeds an account. Where a shard was told nought although its own account has a whole right, the
//! fleet's account has no whole right that no shard was told of, and where it has one for each shard, that lasts for a step at most.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce};
use proptest::prelude::*;
use repeats::{Cap, CapOptions, Input, Micros, Output};

const WINDOW: Micros = 1_000_000;
const SLICE: Micros = WINDOW / 16;
const STEP: Micros = SLICE / 4;
const SHARDS: [u32; 2] = [7, 8];

/// What is drawn.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// So many of a shard's answers were served.
    Served(u32, u32),
    /// So many repeats come: as many as were told go out, the rest is held back.
    Repeats(u32, u32),
    /// Time passes.
    Pass(Micros),
}

fn event() -> impl Strategy<Value = Event> {
    let shard = || prop::sample::select(&SHARDS[..]);
    prop_oneof![
        (shard(), 1..30u32).prop_map(|(shard, count)| Event::Served(shard, count)),
        (shard(), 1..8u32).prop_map(|(shard, count)| Event::Repeats(shard, count)),
        (1..STEP).prop_map(Event::Pass),
        (1..4 * SLICE).prop_map(Event::Pass),
    ]
}

/// One gateway's cap, and what its module was told.
struct Rig {
    now: Micros,
    cap: Cap,
    told: BTreeMap<u32, u64>,
    /// Since when a shard has been told nought, where each shard could have a right.
    starved: BTreeMap<u32, Micros>,
    /// What broke a bound.
    beyond: Vec<String>,
    untold: Vec<String>,
    late: Vec<String>,
}

impl Rig {
    /// A gateway alone, whose even parts are there.
    fn new(free: f64, fleet_free: f64) -> Rig {
        let options = CapOptions { free, fleet_free, ..CapOptions::new("g".into(), 1, SHARDS.into()) };
        let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let mut rig = Rig {
            now: 0,
            cap: Cap::new(options, life, 0, 1),
            told: BTreeMap::new(),
            starved: BTreeMap::new(),
            beyond: Vec::new(),
            untold: Vec::new(),
            late: Vec::new(),
        };
        rig.hand(Input::Tick);
        rig.pass(2 * WINDOW);
        rig
    }

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        if let Input::Sent { shard, further: true } = input {
            *self.told.entry(shard).or_default() -= 1;
        }
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            if let Output::Allow(allowance) = output {
                self.told.insert(allowance.shard, allowance.further.into());
            }
        }
        self.judge(true);
    }

    fn told(&self, shard: u32) -> u64 {
        self.told.get(&shard).copied().unwrap_or(0)
    }

    /// Whole rights of a shard's account; of the fleet's.
    fn left(&self, shard: Option<u32>) -> u64 {
        let looks = self.cap.look(self.now);
        looks.iter().find(|look| look.shard == shard).expect("an account").left as u64
    }

    /// Holds what was told beside the accounts; `handled`: the cap has just had its say.
    fn judge(&mut self, handled: bool) {
        let fleet = self.left(None);
        let sum: u64 = self.told.values().sum();
        let state = format!("at {}, told {:?}, {fleet} left over all", self.now, self.told);
        if sum > fleet {
            self.beyond.push(state.clone());
        }
        for shard in SHARDS {
            let (left, told) = (self.left(Some(shard)), self.told(shard));
            let state = format!("{state}, {left} at {shard}");
            if told > left {
                self.beyond.push(state.clone());
            }
            let dry = told == 0 && left > 0;
            if handled && dry && fleet > sum {
                self.untold.push(state.clone());
            }
            if !dry || fleet < SHARDS.len() as u64 {
                self.starved.remove(&shard);
            } else if self.now - *self.starved.entry(shard).or_insert(self.now) > STEP {
                self.late.push(state);
            }
        }
    }

    /// Time passes; the cap has its ticks when they are due.
    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            let step = (self.now / STEP + 1) * STEP;
            let due = self.cap.next_due().max(self.now);
            self.now = end.min(step).min(due.max(self.now + 1));
            if self.cap.next_due() <= self.now {
                self.hand(Input::Tick);
            }
            self.judge(false);
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Served(shard, count) => {
                for _ in 0..count {
                    self.hand(Input::Ended { shard, served: true, refused: false });
                }
            }
            Event::Repeats(shard, count) => {
                for _ in 0..count {
                    let input = match self.told(shard) {
                        0 => Input::Wanted { shard, worth: 1.0, left: WINDOW },
                        _ => Input::Sent { shard, further: true },
                    };
                    self.hand(input);
                }
            }
            Event::Pass(time) => self.pass(time),
        }
    }
}

/// A rig after these events.
fn played(free: u32, fleet_free: u32, events: &[Event]) -> Rig {
    let mut rig = Rig::new(free.into(), fleet_free.into());
    events.iter().for_each(|&event| rig.play(event));
    rig
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..60)
}

proptest! {
    #[test]
    fn what_was_told_is_never_beyond_an_account(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let rig = played(free, fleet_free, &events);
        prop_assert!(rig.beyond.is_empty(), "{}", rig.beyond.join("\n"));
    }

    /// Guards against repeats that are refused for want of a right which the gateway has.
    #[test]
    fn a_shard_was_told_nought_only_where_no_right_is_untold(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let rig = played(free, fleet_free, &events);
        prop_assert!(rig.untold.is_empty(), "{} times, first {}", rig.untold.len(), rig.untold[0]);
    }

    /// Guards against rights over all shards that one shard keeps from another for longer than a step.
    #[test]
    fn a_shard_was_told_nought_for_a_step_at_most_where_each_could_have_a_right(
        free in 0..6u32, fleet_free in 0..10u32, events in events()
    ) {
        let rig = played(free, fleet_free, &events);
        prop_assert!(rig.late.is_empty(), "{} times, first {}", rig.late.len(), rig.late[0]);
    }

    /// Guards against scarce rights over all shards that stay with a shard which needs none.
    #[test]
    fn a_shard_in_want_has_a_right_within_a_step_where_the_other_is_idle_with_all(
        idle in prop::sample::select(&SHARDS[..]),
        fleet_free in 1..4u32,
        needed in 0..12u32,
        rest in 0..2 * SLICE,
        held_back in 1..8u32,
    ) {
        let other = SHARDS.into_iter().find(|shard| *shard != idle).expect("another");
        let mut rig = Rig::new(8.0, fleet_free.into());
        // It needs much, uses what it gets, has all that comes back, and is then idle for longer than a need counts.
        rig.play(Event::Repeats(idle, needed));
        rig.pass(3 * WINDOW / 2);
        rig.play(Event::Served(idle, 10));
        rig.pass(2 * SLICE + rest);
        rig.play(Event::Repeats(other, rig.told(other) as u32 + held_back));
        let (all, since) = (rig.left(None), rig.now);
        rig.pass(STEP);
        let state = format!("{all} left over all, told {:?} since {since}", rig.told);
        prop_assert!(all == 0 || rig.told(other) > 0, "{state}");
    }
}
