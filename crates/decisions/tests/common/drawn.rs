//! Drawn sequences of events for settings of several shapes, legal ones only.

use super::*;

/// A small generator of its own: the sequences stay the same whatever the scheduler draws.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

/// Classes of all sorts (in order, with both groups), limits, and by name: one host under a budget; one of a crowd; two
/// attempts at once; nothing but the law.
pub fn shapes() -> Vec<(&'static str, Settings)> {
    let mut host = settings();
    host.classes = vec![
        class(Repeats::Safe),
        class(Repeats::Keyed { group: Group::Shard, window: 2 * SECOND }),
        class(Repeats::Unsafe),
        class(Repeats::Keyed { group: Group::Zone, window: SECOND }),
    ];
    host.classes[1].in_order = true;
    host.classes[2].aim = 600_000;
    let limited = Plan { limit: 40.0, limit_burst: 64.0, limit_slack: 8.0, ..plan() };
    host.plans = vec![limited, Plan { reserve: 0.0, weight: 3.0, ..plan() }];
    host.hosts = 1;
    host.budget = Some(RetryBudget { window: 5 * SECOND, free: 3.0, share: 0.15 });
    let mut crowd = host.clone();
    (crowd.hosts, crowd.index, crowd.budget) = (143, 17, None);
    crowd.cold_units = 200.0;
    let mut copies = host.clone();
    (copies.second_copies, copies.must_ask, copies.budget) = (true, true, None);
    copies.classes[1].repeats = Repeats::Keyed { group: Group::All, window: SECOND };
    let mut bare = settings();
    bare.classes = host.classes.clone();
    (bare.advice, bare.cold_window, bare.order_rest, bare.most_attempts) = (false, 0, 0, 1);
    bare.plans = vec![plan(), Plan { rate: 0.0, reserve: 0.0, weight: 0.0, ..plan() }];
    vec![("host", host), ("crowd", crowd), ("copies", copies), ("bare", bare)]
}

/// A request as drawn; in a surge all from one volume.
fn draw_request(dice: &mut Dice, id: u64, surge: bool) -> Request {
    let volume = if surge { 0 } else { dice.roll(12) };
    let mut r = request(id);
    r.class = dice.roll(4) as usize;
    (r.volume, r.plan, r.hosts) = (VolumeId(volume), volume as usize % 2, volume as u32 % 3 + 1);
    r.key = (dice.roll(10) > 0).then(|| KeyId(dice.roll(30)));
    r.shard = (dice.roll(5) > 0).then(|| ShardId(dice.roll(6) as u32));
    (r.units, r.patience) = (1.0 + dice.roll(8) as f64, dice.roll(2_000_000) as Micros);
    r.retry = dice.roll(6) == 0;
    r
}

/// Starts, drains and ends of nodes; now and then an empty list.
fn draw_nodes(dice: &mut Dice, h: &mut Host) {
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

/// Ends of attempts that are out. A mute node says nothing, and what its clients see is an end of their time.
fn draw_answers(dice: &mut Dice, h: &mut Host, mute: Option<NodeId>) {
    for _ in 0..dice.roll(4) {
        let count = h.checker.out.len() as u64;
        if count == 0 {
            break;
        }
        let pick = dice.roll(count) as usize;
        let (&(request, attempt), &(node, sent)) = h.checker.out.iter().nth(pick).expect("counted");
        let outcome = match dice.roll(12) {
            0 => Outcome::Error,
            1 => Outcome::Full,
            2 => Outcome::TimedOut,
            3 => Outcome::Unreachable,
            4 => Outcome::Reset,
            5 => Outcome::NotSent,
            _ => Outcome::Served,
        };
        if mute == Some(node) {
            if h.now - sent > SECOND {
                h.answer(request.0, attempt, Outcome::TimedOut);
            }
            continue;
        }
        let open = h.checker.open.contains_key(&request);
        if outcome == Outcome::Served && open && dice.roll(8) == 0 {
            h.give(Event::Started { request, attempt, node, latency: h.now - sent });
            h.wait(dice.roll(3_000) as Micros);
        }
        if h.checker.out.contains_key(&(request, attempt)) {
            h.answer(request.0, attempt, outcome);
        }
    }
}

/// Plays `steps` drawn steps, 10 ms each in the mean, and then ten quiet seconds. `each` is called before every step.
pub fn play(set: Settings, seed: u64, steps: u64, mut each: impl FnMut(&mut Host, u64)) -> Host {
    let mut dice = Dice::new(seed);
    let mut h = Host::at(set, 1000 * SECOND);
    let first: Vec<NodeEntry> = (0..5).map(|n| entry(n, n)).collect();
    h.nodes(true, &first);
    let (mut id, mut mute) = (0, None);
    for step in 0..steps {
        each(&mut h, step);
        h.wait(dice.roll(20_000) as Micros);
        if step % 700 == 0 {
            mute = (dice.roll(2) == 0).then(|| NodeId(dice.roll(5) as u32));
        }
        let surge = step % 500 < 60;
        for _ in 0..if surge { 4 } else { dice.roll(2) } {
            let r = draw_request(&mut dice, id, surge);
            id += 1;
            h.ask(r);
        }
        draw_answers(&mut dice, &mut h, mute);
        if dice.roll(30) == 0 {
            draw_nodes(&mut dice, &mut h);
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
