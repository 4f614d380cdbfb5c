//! Drawn schedules of troubles: whatever happens, all that run hold one view within the bound after it has ended.

use fleet::{Input, Micros, Plant, Presence};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::net::{Flap, MS, Net, PERIOD, name};

/// What one schedule came to.
#[derive(Clone, Copy, Debug)]
pub struct Played {
    /// Periods to settle after the last fault, in thousandths, and the bound in periods.
    pub settled: Micros,
    pub bound: u32,
    /// Changes of a standing for each member of each view and minute, of schedules with troubles of links only.
    pub flapping: Option<f64>,
}

/// Troubles of links only, with ways around each: nobody may be taken out.
fn links(net: &mut Net, rng: &mut SmallRng) {
    let count = net.hosts.len();
    let mut pairs: Vec<(usize, usize)> =
        (0..count).flat_map(|a| (0..count).filter(move |b| a != *b).map(move |b| (a, b))).collect();
    pairs.shuffle(rng);
    let some = rng.random_range(1..=count / 2);
    for (a, b) in pairs.into_iter().take(some) {
        if rng.random() {
            net.cut(&[a], &[b]);
        } else {
            let flap = Flap { up: rng.random_range(100..5000) * MS, down: rng.random_range(100..5000) * MS };
            net.flaps.insert((a.min(b), a.max(b)), flap);
        }
    }
    if rng.random() {
        net.slow.insert(rng.random_range(0..count), rng.random_range(0..1500) * MS);
    }
    net.loss = rng.random_range(0..50);
    net.double = rng.random_range(0..200);
}

/// One trouble of any kind.
fn trouble(net: &mut Net, rng: &mut SmallRng, left: &mut Vec<usize>) {
    let count = net.hosts.len();
    let one = rng.random_range(0..count);
    match rng.random_range(0..10) {
        0 => net.heal(),
        1 => {
            let mut all = net.all();
            all.shuffle(rng);
            let (a, b) = all.split_at(rng.random_range(0..count));
            net.part(a, b);
        }
        2 => {
            let rest: Vec<usize> = net.all().into_iter().filter(|at| *at != one).collect();
            if rng.random() { net.cut(&[one], &rest) } else { net.cut(&rest, &[one]) }
        }
        3 => links(net, rng),
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
                    left.retain(|gone| *gone != at);
                }
            }
        }
    }
}

/// Plays the schedule of this seed.
pub fn play(seed: u64, plant: Plant) -> Result<Played, String> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let gentle = rng.random_range(0..3) == 0;
    let count = if gentle { rng.random_range(6..=16) } else { rng.random_range(3..=16) };
    let mut net = Net::new(count, seed);
    net.plant = plant;
    net.delay = (0, rng.random_range(1..200) * MS);
    for at in 0..count {
        net.start(at);
        if rng.random() {
            net.run(rng.random_range(0..1000) * MS);
        }
    }
    let (mut left, mut flapping) = (Vec::new(), None);
    if gentle {
        let (all, bound) = (net.all(), net.bound());
        net.settle(&all, bound)?;
        net.healthy = all.into_iter().collect();
        let (before, time) = (net.sum(|c| c.standings), 60);
        links(&mut net, &mut rng);
        net.run(time * PERIOD);
        let changes = net.sum(|c| c.standings) - before;
        flapping = Some(changes as f64 / (count * count) as f64 / (time as f64 / 60.0));
        if let Some(expelled) = net.expelled.first() {
            return Err(format!("a healthy member was taken out: viewer, member, time {expelled:?}"));
        }
    } else {
        for _ in 0..rng.random_range(1..=6) {
            trouble(&mut net, &mut rng, &mut left);
            net.run(rng.random_range(100..20_000) * MS);
        }
    }
    net.heal();
    // Who leaves has gone by the end, whether its word got through or not.
    left.iter().for_each(|at| net.kill(*at));
    if net.running().is_empty() {
        net.start_all();
        left.clear();
    }
    let gone: Vec<usize> = left
        .iter()
        .copied()
        .filter(|gone| {
            let knows = |at: usize| net.view(at).is_some_and(|v| v.presence(&name(*gone)) == Presence::Not);
            net.running().into_iter().any(knows)
        })
        .collect();
    let (running, bound) = (net.running(), net.bound());
    let settled = net.settle(&running, bound)?;
    for gone in gone {
        for at in &running {
            if net.view(*at).is_some_and(|v| v.presence(&name(gone)) != Presence::Not) {
                return Err(format!("{at} does not hold {gone} for left"));
            }
        }
    }
    if net.most_body > net.options(0).most_body {
        return Err(format!("a body of {} bytes", net.most_body));
    }
    // What is settled stays so.
    net.run(5 * PERIOD);
    match net.unsettled(&running) {
        Some(why) => Err(format!("it did not stay settled: {why}")),
        None => Ok(Played { settled, bound, flapping }),
    }
}
