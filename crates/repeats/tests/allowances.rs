//! What the module may send at any moment, against the accounts: batches of sends that the cap counts one by one.

use peer::{Incarnation, Life, Nonce, PeerName};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use repeats::{Allowance, Allowances, Cap, CapOptions, Input, Micros, Output};

const SHARD: u32 = 7;
const SECOND: Micros = 1_000_000;

/// How the module is told.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    /// Through [`Allowances`].
    LessWhatWasSent,
    /// As the cap said it.
    AsSaid,
}

/// A cap, the module's own count of what it may send, and what lies between them.
struct Gateway {
    cap: Cap,
    allowances: Allowances,
    said: Vec<Allowance>,
    told: Told,
    module: u32,
    now: Micros,
}

impl Gateway {
    fn new(told: Told) -> Self {
        let options = CapOptions::new(PeerName("g0".into()), 1, vec![SHARD]);
        let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
        let cap = Cap::new(options, life, 0, 1);
        let (allowances, said) = (Allowances::default(), Vec::new());
        Gateway { cap, allowances, said, told, module: 0, now: 0 }
    }

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            if let Output::Allow(allowance) = output {
                self.said.push(allowance);
                self.allowances.say(allowance);
            }
        }
    }

    /// Tells the module all that was said.
    fn tell(&mut self) {
        let said = std::mem::take(&mut self.said);
        match self.told {
            Told::AsSaid => said.iter().for_each(|allowance| self.module = allowance.further),
            Told::LessWhatWasSent => {
                while let Some(allowance) = self.allowances.next_untold() {
                    self.module = allowance.further;
                }
            }
        }
    }

    /// The module sends so many in one batch, as far as it may; the cap counts them one by one, and only then is the module told.
    fn send(&mut self, most: u32) {
        let sent = self.module.min(most);
        self.module -= sent;
        for _ in 0..sent {
            self.allowances.spend(SHARD);
            self.hand(Input::Sent { shard: SHARD, further: true });
        }
        self.tell();
    }

    fn served(&mut self, times: u32) {
        for _ in 0..times {
            self.hand(Input::Ended { shard: SHARD, served: true, refused: false });
        }
        self.tell();
    }

    /// Time passes with no tick, as in a process that is stopped or busy with something else.
    fn stall(&mut self, time: Micros) {
        self.now += time;
    }

    /// What a gateway does before it lets the module decide.
    fn refresh(&mut self) {
        if self.cap.is_behind(self.now) {
            self.hand(Input::Tick);
            self.tell();
        }
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.cap.next_due() <= end {
            self.now = self.now.max(self.cap.next_due());
            self.hand(Input::Tick);
            self.tell();
        }
        self.now = end;
    }

    /// How many the module may send beyond what the accounts have.
    fn beyond(&self) -> u32 {
        let least = self.cap.look(self.now).iter().map(|look| look.left as u32).min().unwrap_or(0);
        self.module.saturating_sub(least)
    }
}

fn drawn(told: Told, steps: &[(u32, u32, Micros)]) -> u32 {
    let mut gateway = Gateway::new(told);
    gateway.pass(2 * SECOND);
    let mut beyond = 0;
    for &(served, sent, time) in steps {
        gateway.served(served);
        gateway.send(sent);
        beyond = beyond.max(gateway.beyond());
        gateway.pass(time);
        beyond = beyond.max(gateway.beyond());
    }
    beyond
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against an allowance that grants what was sent before it came once more.
    #[test]
    fn the_module_never_holds_more_than_the_accounts(
        steps in prop::collection::vec((0..60u32, 0..40u32, 1..40_000 as Micros), 1..40),
    ) {
        prop_assert_eq!(drawn(Told::LessWhatWasSent, &steps), 0);
    }
}

/// Serves, stalls, and decides: the most that the module held beyond the accounts as it decided.
fn stalled(refresh: bool, steps: &[(u32, Micros)]) -> u32 {
    let mut gateway = Gateway::new(Told::LessWhatWasSent);
    gateway.pass(2 * SECOND);
    let mut beyond = 0;
    for &(served, time) in steps {
        gateway.served(served);
        gateway.stall(time);
        if refresh {
            gateway.refresh();
        }
        beyond = beyond.max(gateway.beyond());
        gateway.send(3);
    }
    beyond
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against decisions on rights that fell due while nobody looked.
    #[test]
    fn after_a_stall_the_module_holds_no_more_than_the_accounts(
        steps in prop::collection::vec((0..400u32, 1..800_000 as Micros), 1..40),
    ) {
        prop_assert_eq!(stalled(true, &steps), 0);
    }
}

/// The property above finds a module that decides before the tick.
#[test]
fn decisions_before_the_tick_are_caught() {
    let steps = [(400, 20_000), (400, 20_000), (1, 700_000)];
    assert!(stalled(false, &steps) > 0);
    assert_eq!(stalled(true, &steps), 0);
}

/// The property above finds a module that is told as the cap says it.
#[test]
fn allowances_that_are_handed_on_as_said_are_caught() {
    // Rare: one of 2,000 drawn plays.
    let caught = (0..2000).filter(|&seed| drawn(Told::AsSaid, &steps_of(seed)) > 0);
    assert!(caught.count() > 0);
}

fn steps_of(seed: u64) -> Vec<(u32, u32, Micros)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut step = || {
        let served = rng.random_range(0..20) * rng.random_range(0..2);
        (served, rng.random_range(0..8), rng.random_range(1..20_000))
    };
    (0..60).map(|_| step()).collect()
}
