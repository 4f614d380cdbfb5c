//! Random sequences of legal events for several kinds of settings.

use super::*;

/// A random number generator of its own, so that the sequences do not depend on what the scheduler draws.
pub struct TestRng(u64);

impl TestRng {
    pub fn new(seed: u64) -> Self {
        TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

/// Settings by name, all with classes of every kind: `host`, a single host with limits and a retry budget;
/// `large_fleet`, one of 143 hosts; `copies`, with hedging; `bare`, with no rule but the admission law.
pub fn variants() -> Vec<(&'static str, Settings)> {
    let mut single = settings();
    single.classes = vec![
        class(Idempotency::Safe),
        class(Idempotency::Keyed { scope: DedupScope::Shard, window: 2 * SECOND }),
        class(Idempotency::Unsafe),
        class(Idempotency::Keyed { scope: DedupScope::Zone, window: SECOND }),
    ];
    single.classes[1].in_order = true;
    single.classes[2].latency_target = 600_000;
    let limited = Plan { limit: 40.0, limit_burst: 64.0, limit_slack: 8.0, ..plan() };
    single.plans = vec![limited, Plan { reserve: 0.0, weight: 3.0, ..plan() }];
    single.hosts = 1;
    single.retry_budget = Some(RetryBudget { window: 5 * SECOND, base: 3.0, per_request: 0.15 });
    let mut large_fleet = single.clone();
    (large_fleet.hosts, large_fleet.index, large_fleet.retry_budget) = (143, 17, None);
    large_fleet.cold_units = 200.0;
    let mut copies = single.clone();
    (copies.hedging, copies.needs_subscription, copies.retry_budget) = (true, true, None);
    copies.classes[1].idempotency = Idempotency::Keyed { scope: DedupScope::All, window: SECOND };
    let mut bare = settings();
    bare.classes = single.classes.clone();
    (bare.retry_advice, bare.cold_window, bare.key_pause, bare.max_attempts) = (false, 0, 0, 1);
    bare.plans = vec![plan(), Plan { rate: 0.0, reserve: 0.0, weight: 0.0, ..plan() }];
    vec![("host", single), ("large_fleet", large_fleet), ("copies", copies), ("bare", bare)]
}

/// A random request; in a surge always from the same volume.
fn random_request(rng: &mut TestRng, id: u64, surge: bool) -> Request {
    let volume = if surge { 0 } else { rng.below(12) };
    let mut r = request(id);
    r.class = rng.below(4) as usize;
    (r.volume, r.plan, r.hosts) = (VolumeId(volume), volume as usize % 2, volume as u32 % 3 + 1);
    r.key = (rng.below(10) > 0).then(|| KeyId(rng.below(30)));
    r.shard = (rng.below(5) > 0).then(|| ShardId(rng.below(6) as u32));
    (r.units, r.timeout) = (1.0 + rng.below(8) as f64, rng.below(2_000_000) as Micros);
    r.is_retry = rng.below(6) == 0;
    r
}

/// A random change of a node (start, drain or removal), or rarely an empty node list.
fn change_random_node(rng: &mut TestRng, host: &mut Host) {
    let mut e = entry(rng.below(8) as u32, 0);
    e.shard = ShardId(e.node.0 % 5);
    match rng.below(6) {
        0 => e.state = NodeState::Draining,
        1 => e.state = NodeState::Gone,
        2 | 3 => e.started = Some(host.now - rng.below(SECOND as u64) as Micros),
        _ => {}
    }
    if rng.below(40) == 0 {
        host.update_nodes(true, &[]);
    } else {
        host.update_nodes(false, &[e]);
    }
}

/// Ends of random attempts in flight. Attempts at the mute node get no answer and time out.
fn end_random_attempts(rng: &mut TestRng, host: &mut Host, mute: Option<NodeId>) {
    for _ in 0..rng.below(4) {
        let count = host.checker.in_flight.len() as u64;
        if count == 0 {
            break;
        }
        let pick = rng.below(count) as usize;
        let (&(request, attempt), &(node, sent)) = host.checker.in_flight.iter().nth(pick).expect("counted");
        let outcome = match rng.below(12) {
            0 => Outcome::Error,
            1 => Outcome::Full,
            2 => Outcome::TimedOut,
            3 => Outcome::Unreachable,
            4 => Outcome::Reset,
            5 => Outcome::NotSent,
            _ => Outcome::Served,
        };
        if mute == Some(node) {
            if host.now - sent > SECOND {
                host.answer(request.0, attempt, Outcome::TimedOut);
            }
            continue;
        }
        let open = host.checker.open.contains_key(&request);
        if outcome == Outcome::Served && open && rng.below(8) == 0 {
            host.handle(Event::AnswerStarted { request, attempt, node, latency: host.now - sent });
            host.advance(rng.below(3_000) as Micros);
        }
        if host.checker.in_flight.contains_key(&(request, attempt)) {
            host.answer(request.0, attempt, outcome);
        }
    }
}

/// Runs `steps` random steps, 10 ms each in the mean, and then ten seconds without events. `each` is called
/// before every step.
pub fn run_events(settings: Settings, seed: u64, steps: u64, mut each: impl FnMut(&mut Host, u64)) -> Host {
    let mut rng = TestRng::new(seed);
    let mut host = Host::at(settings, 1000 * SECOND);
    let first: Vec<NodeEntry> = (0..5).map(|n| entry(n, n)).collect();
    host.update_nodes(true, &first);
    let (mut id, mut mute) = (0, None);
    for step in 0..steps {
        each(&mut host, step);
        host.advance(rng.below(20_000) as Micros);
        if step % 700 == 0 {
            mute = (rng.below(2) == 0).then(|| NodeId(rng.below(5) as u32));
        }
        let surge = step % 500 < 60;
        for _ in 0..if surge { 4 } else { rng.below(2) } {
            let r = random_request(&mut rng, id, surge);
            id += 1;
            host.submit(r);
        }
        end_random_attempts(&mut rng, &mut host, mute);
        if rng.below(30) == 0 {
            change_random_node(&mut rng, &mut host);
        }
        if rng.below(200) == 0
            && let Some(&id) = host.checker.open.keys().next()
        {
            host.handle(Event::Withdrawn(id));
        }
        if rng.below(300) == 0 {
            host.handle(Event::NodeListFailed);
        }
    }
    host.advance(10 * SECOND);
    host
}
