//! Link failures: a member that is reachable through others is not expelled from any view, and views do not flap.

mod net;

use net::{Flap, MS, PERIOD, SimulatedNetwork};

const COUNT: usize = 12;

/// A converged fleet in which from now on no member may be declared unreachable.
fn converged(count: usize, seed: u64) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::started(count, seed);
    let all = net.all();
    let bound = net.convergence_bound();
    net.converge(&all, bound).expect("a fleet that starts settles");
    net.protected = all.into_iter().collect();
    net
}

/// Standing changes per view, member and minute since `before`.
fn flapping(net: &SimulatedNetwork, before: u64, time: i64) -> f64 {
    let pairs = (net.hosts.len() * net.hosts.len()) as f64;
    (net.sum(|c| c.standings) - before) as f64 / pairs / (time as f64 / (60 * PERIOD) as f64)
}

/// Runs with the fault, then ends it; returns the rate of standing changes.
fn run_with_fault(
    mut net: SimulatedNetwork,
    inject: impl Fn(&mut SimulatedNetwork),
    periods: i64,
) -> (SimulatedNetwork, f64) {
    inject(&mut net);
    let before = net.sum(|c| c.standings);
    net.run(periods * PERIOD);
    let flapping = flapping(&net, before, periods * PERIOD);
    assert_eq!(net.expelled, [], "a healthy member was taken out");
    let all = net.all();
    assert_eq!(net.convergence_failure(&all), None, "under the trouble");
    net.heal();
    let bound = net.convergence_bound();
    net.converge(&all, bound).expect("it settles after the trouble");
    (net, flapping)
}

#[test]
fn fleet_without_faults_has_no_standing_changes() {
    let (net, flapping) = run_with_fault(converged(COUNT, 1), |_| {}, 100);
    assert_eq!(flapping, 0.0);
    assert_eq!(net.sum(|c| c.refutations), 0);
}

#[test]
fn one_way_link_failure_changes_no_standing() {
    for (from, to) in [(0, 1), (1, 0), (3, 11)] {
        let (net, flapping) = run_with_fault(converged(COUNT, 2), |net| net.cut_one_way(&[from], &[to]), 100);
        assert_eq!(flapping, 0.0);
        assert_eq!(net.sum(|c| c.suspicions), 0);
    }
}

#[test]
fn many_one_way_link_failures_expel_nobody() {
    // Each member reaches two others only through a third one.
    let cut = |net: &mut SimulatedNetwork| {
        (0..COUNT).for_each(|at| net.cut_one_way(&[at], &[(at + 1) % COUNT, (at + 5) % COUNT]))
    };
    let (_, flapping) = run_with_fault(converged(COUNT, 3), cut, 100);
    assert!(flapping < 0.05, "{flapping} changes a minute");
}

#[test]
fn flapping_links_expel_nobody() {
    for (up, down) in [(300 * MS, 300 * MS), (PERIOD, PERIOD), (7 * PERIOD, 4 * PERIOD)] {
        let flap = |net: &mut SimulatedNetwork| {
            for at in 0..4 {
                net.flaps.insert((at, at + 4), Flap { up, down });
            }
        };
        let (_, flapping) = run_with_fault(converged(COUNT, 4), flap, 100);
        assert!(flapping < 0.05, "{flapping} changes a minute with {up}/{down}");
    }
}

#[test]
fn slow_member_is_not_expelled() {
    // Up to two periods in each direction, so that an answer takes four: longer than it takes to suspect a member. The
    // others adapt in the first minute, from its refutations and its late answers.
    for (slow, most) in [(200 * MS, 0.0), (900 * MS, 0.0), (2 * PERIOD, 1.0)] {
        let mut net = converged(COUNT, 5);
        net.extra_delay.insert(7, slow);
        let before = net.sum(|c| c.standings);
        net.run(60 * PERIOD);
        let first = flapping(&net, before, 60 * PERIOD);
        assert!(first <= most, "{first} changes in the first minute at {slow}");
        let (_, later) = run_with_fault(net, |_| {}, 100);
        assert!(later < 0.02, "{later} changes a minute at {slow}, the first {first}");
    }
}

#[test]
fn lost_duplicate_and_reordered_messages_expel_nobody() {
    let inject = |net: &mut SimulatedNetwork| {
        (net.loss_permille, net.duplicate_permille) = (150, 200);
        net.delay = (0, 400 * MS);
    };
    let mut net = converged(COUNT, 6);
    inject(&mut net);
    net.run(100 * PERIOD);
    assert_eq!(net.expelled, []);
    net.heal();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles after the trouble");
}

#[test]
fn isolated_member_suspects_nobody_and_causes_no_refutations() {
    let mut net = converged(COUNT, 7);
    net.protected.remove(&5);
    let others: Vec<usize> = net.all().into_iter().filter(|at| *at != 5).collect();
    net.cut_one_way(&others, &[5]);
    let before: u64 = net.sum(|c| c.refutations);
    net.run(100 * PERIOD);
    assert_eq!(net.expelled, []);
    let view = net.view(5).expect("it runs");
    assert_eq!(view.up().count(), 1, "who hears nobody holds nobody for up");
    assert_eq!(net.counts(5).suspicions, 0);
    net.heal();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles after the trouble");
    // Only the isolated member was suspected and had to refute that.
    assert_eq!(net.sum(|c| c.refutations) - before, net.counts(5).refutations);
}

#[test]
fn partitioned_halves_converge_and_merge() {
    for seed in 0..4 {
        let mut net = converged(COUNT, 8 + seed);
        let (one, other): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (5..COUNT).collect());
        net.protected.clear();
        net.partition(&one, &other);
        let bound = net.convergence_bound();
        net.converge(&one, bound).expect("one half settles");
        net.converge(&other, bound).expect("the other half settles");
        net.run(50 * PERIOD);
        assert_eq!((net.convergence_failure(&one), net.convergence_failure(&other)), (None, None));
        net.heal();
        let all = net.all();
        net.converge(&all, bound).expect("the halves merge");
    }
}

#[test]
fn one_way_partition_converges_after_it_heals() {
    let mut net = converged(COUNT, 20);
    let (one, other): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (5..COUNT).collect());
    net.protected.clear();
    net.cut_one_way(&one, &other);
    net.run(100 * PERIOD);
    net.heal();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("the halves merge");
}

#[test]
fn messages_per_period_are_bounded() {
    let mut net = converged(40, 30);
    net.max_messages_per_period = 0;
    net.partition(&(0..20).collect::<Vec<_>>(), &(20..40).collect::<Vec<_>>());
    net.protected.clear();
    net.run(60 * PERIOD);
    net.heal();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("the halves merge");
    assert!(net.max_body_seen <= net.options(0).most_body, "a body of {}", net.max_body_seen);
    assert!(net.max_messages_per_period <= 64, "{} notes in a period", net.max_messages_per_period);
}
