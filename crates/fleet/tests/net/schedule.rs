//! Random fault schedules: all running members converge on one view within the bound after the last fault.

use fleet::{Input, Micros, Plant, Presence};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::net::{Flap, MS, PERIOD, SimulatedNetwork, name};

/// The result of one schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleResult {
    /// Time to converge after the last fault, in thousandths of a period.
    pub settled: Micros,
    /// The bound, in periods.
    pub bound: u32,
    /// Standing changes per view, member and minute, for schedules with link faults only.
    pub flapping: Option<f64>,
}

/// Injects link faults that leave a path around each; no member may be expelled.
fn inject_link_faults(net: &mut SimulatedNetwork, rng: &mut SmallRng) {
    let count = net.hosts.len();
    let mut pairs: Vec<(usize, usize)> =
        (0..count).flat_map(|a| (0..count).filter(move |b| a != *b).map(move |b| (a, b))).collect();
    pairs.shuffle(rng);
    let some = rng.random_range(1..=count / 2);
    for (a, b) in pairs.into_iter().take(some) {
        if rng.random() {
            net.cut_one_way(&[a], &[b]);
        } else {
            let flap = Flap { up: rng.random_range(100..5000) * MS, down: rng.random_range(100..5000) * MS };
            net.flaps.insert((a.min(b), a.max(b)), flap);
        }
    }
    if rng.random() {
        net.extra_delay.insert(rng.random_range(0..count), rng.random_range(0..1500) * MS);
    }
    net.loss_permille = rng.random_range(0..50);
    net.duplicate_permille = rng.random_range(0..200);
}

/// Injects one fault of any kind.
fn inject_fault(net: &mut SimulatedNetwork, rng: &mut SmallRng, left: &mut Vec<usize>) {
    let count = net.hosts.len();
    let one = rng.random_range(0..count);
    match rng.random_range(0..10) {
        0 => net.heal(),
        1 => {
            let mut all = net.all();
            all.shuffle(rng);
            let (a, b) = all.split_at(rng.random_range(0..count));
            net.partition(a, b);
        }
        2 => {
            let rest: Vec<usize> = net.all().into_iter().filter(|at| *at != one).collect();
            if rng.random() { net.cut_one_way(&[one], &rest) } else { net.cut_one_way(&rest, &[one]) }
        }
        3 => inject_link_faults(net, rng),
        4 | 5 if net.hosts[one].fleet.is_some() => net.kill(one),
        6 if net.hosts[one].fleet.is_some() => net.freeze(one, rng.random_range(200..30_000) * MS),
        7 => {
            let all = net.all();
            all.iter().for_each(|at| net.kill(*at));
        }
        8 if net.running().len() > 2 && net.hosts[one].fleet.is_some() && left.is_empty() => {
            net.input(one, Input::Leave);
            left.push(one);
        }
        _ => {
            for at in net.all() {
                if net.hosts[at].fleet.is_none() && rng.random() {
                    net.start(at);
                    left.retain(|departed| *departed != at);
                }
            }
        }
    }
}

/// Runs the schedule of this seed.
pub fn run_schedule(seed: u64, injected_fault: Plant) -> Result<ScheduleResult, String> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let links_only = rng.random_range(0..3) == 0;
    let count = if links_only { rng.random_range(6..=16) } else { rng.random_range(3..=16) };
    let mut net = SimulatedNetwork::new(count, seed);
    net.injected_fault = injected_fault;
    net.delay = (0, rng.random_range(1..200) * MS);
    for at in 0..count {
        net.start(at);
        if rng.random() {
            net.run(rng.random_range(0..1000) * MS);
        }
    }
    let (mut left, mut flapping) = (Vec::new(), None);
    if links_only {
        let (all, bound) = (net.all(), net.convergence_bound());
        net.converge(&all, bound)?;
        net.protected = all.into_iter().collect();
        let (before, time) = (net.sum(|c| c.standings), 60);
        inject_link_faults(&mut net, &mut rng);
        net.run(time * PERIOD);
        let changes = net.sum(|c| c.standings) - before;
        flapping = Some(changes as f64 / (count * count) as f64 / (time as f64 / 60.0));
        if let Some(expelled) = net.expelled.first() {
            return Err(format!("a healthy member was taken out: viewer, member, time {expelled:?}"));
        }
    } else {
        for _ in 0..rng.random_range(1..=6) {
            inject_fault(&mut net, &mut rng, &mut left);
            net.run(rng.random_range(100..20_000) * MS);
        }
    }
    net.heal();
    // Members that leave are stopped by the end, whether their announcement arrived or not.
    left.iter().for_each(|at| net.kill(*at));
    if net.running().is_empty() {
        net.start_all();
        left.clear();
    }
    let departed: Vec<usize> = left
        .iter()
        .copied()
        .filter(|departed| {
            let knows =
                |at: usize| net.view(at).is_some_and(|v| v.presence(&name(*departed)) == Presence::Not);
            net.running().into_iter().any(knows)
        })
        .collect();
    let (running, bound) = (net.running(), net.convergence_bound());
    let settled = net.converge(&running, bound)?;
    for departed in departed {
        for at in &running {
            if net.view(*at).is_some_and(|v| v.presence(&name(departed)) != Presence::Not) {
                return Err(format!("{at} does not hold {departed} for left"));
            }
        }
    }
    if net.max_body_seen > net.options(0).most_body {
        return Err(format!("a body of {} bytes", net.max_body_seen));
    }
    // Converged views stay converged.
    net.run(5 * PERIOD);
    match net.convergence_failure(&running) {
        Some(why) => Err(format!("it did not stay settled: {why}")),
        None => Ok(ScheduleResult { settled, bound, flapping }),
    }
}
