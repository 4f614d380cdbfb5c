//! Long seeded sequences of legal events under settings of several shapes, held against the rules.

mod common;
use common::*;
use decisions::*;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

fn shapes() -> Vec<Settings> {
    let mut all = settings();
    let group = Group::Shard;
    all.classes = vec![
        class(Repeats::Safe),
        class(Repeats::Keyed { group, window: 2 * SECOND }),
        class(Repeats::Unsafe),
        class(Repeats::Keyed { group: Group::Zone, window: SECOND }),
    ];
    all.classes[1].in_order = true;
    all.classes[2].aim = 600_000;
    let limited = Plan { limit: 40.0, limit_burst: 64.0, limit_slack: 8.0, ..plan() };
    all.plans = vec![limited, Plan { reserve: 0.0, weight: 3.0, ..plan() }];
    all.budget = Some(RetryBudget { window: 5 * SECOND, free: 3.0, share: 0.15 });
    let mut copies = all.clone();
    copies.second_copies = true;
    copies.must_ask = true;
    copies.budget = None;
    copies.classes[1].repeats = Repeats::Keyed { group: Group::All, window: SECOND };
    let mut bare = settings();
    bare.classes = all.classes.clone();
    (bare.advice, bare.cold_window, bare.order_rest, bare.most_attempts) = (false, 0, 0, 1);
    bare.plans = vec![plan(), Plan { rate: 0.0, reserve: 0.0, weight: 0.0, ..plan() }];
    vec![all, copies, bare]
}

fn node_event(dice: &mut Dice, h: &mut Host) {
    let mut e = entry(dice.roll(8) as u32, 0);
    e.shard = ShardId(e.node.0 % 5);
    match dice.roll(6) {
        0 => e.state = NodeState::Draining,
        1 => e.state = NodeState::Gone,
        2 | 3 => e.started = Some(h.now - dice.roll(SECOND as u64) as Micros),
        _ => {}
    }
    if dice.roll(40) == 0 {
        h.nodes(true, &[]);
    } else {
        h.nodes(false, &[e]);
    }
}

fn play(set: Settings, seed: u64, steps: u64) -> Host {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let start = 1000 * SECOND;
    let mut h = Host::at(set, start);
    let first: Vec<NodeEntry> = (0..5).map(|n| entry(n, n)).collect();
    h.nodes(true, &first);
    let mut id = 0;
    for step in 0..steps {
        h.wait(dice.roll(20_000) as Micros);
        let surge = step % 500 < 60;
        for _ in 0..if surge { 4 } else { dice.roll(2) } {
            let mut r = request(id);
            id += 1;
            r.class = dice.roll(4) as usize;
            let volume = if surge { 0 } else { dice.roll(12) };
            (r.volume, r.plan, r.hosts) = (VolumeId(volume), volume as usize % 2, volume as u32 % 3 + 1);
            r.key = (dice.roll(10) > 0).then(|| KeyId(dice.roll(30)));
            r.shard = (dice.roll(5) > 0).then(|| ShardId(dice.roll(6) as u32));
            (r.units, r.patience) = (1.0 + dice.roll(8) as f64, dice.roll(2_000_000) as Micros);
            h.ask(r);
        }
        for _ in 0..dice.roll(4) {
            let count = h.checker.out.len() as u64;
            if count == 0 {
                break;
            }
            let pick = dice.roll(count) as usize;
            let (&(request, attempt), _) = h.checker.out.iter().nth(pick).expect("counted");
            let outcome = match dice.roll(12) {
                0 => Outcome::Error,
                1 => Outcome::Full,
                2 => Outcome::TimedOut,
                3 => Outcome::Unreachable,
                4 => Outcome::Reset,
                5 => Outcome::NotSent,
                _ => Outcome::Served,
            };
            h.answer(request.0, attempt, outcome);
        }
        if dice.roll(30) == 0 {
            node_event(&mut dice, &mut h);
        }
        if dice.roll(200) == 0
            && let Some(&id) = h.checker.open.keys().next()
        {
            h.give(Event::Withdrawn(id));
        }
        if dice.roll(300) == 0 {
            h.give(Event::NodesFailed);
        }
    }
    h.wait(10 * SECOND);
    h
}

#[test]
fn no_rule_breaks_under_random_events() {
    for (shape, set) in shapes().into_iter().enumerate() {
        for seed in 1..=12 {
            let h = play(set.clone(), seed, 3000);
            assert!(h.checker.breaches.is_empty(), "shape {shape}, seed {seed}: {:#?}", h.checker.breaches);
            assert!(h.sent().len() > 500, "shape {shape}, seed {seed}: only {} sent", h.sent().len());
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for set in shapes() {
        let (a, b) = (play(set.clone(), 5, 1500), play(set, 5, 1500));
        assert_eq!(a.log, b.log);
    }
}

#[test]
fn timers_do_not_pile_up() {
    let h = play(shapes().remove(0), 3, 3000);
    assert!(h.timers_pending() < 20, "{} timers", h.timers_pending());
}
