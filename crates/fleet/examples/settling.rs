//! Measures convergence time and traffic of fleets of 3 to 150 members, compared with heartbeats between all pairs:
//! `cargo run --release -p fleet --example settling -- --seeds 5`,
//! with `--members 150` for one size only.

#[path = "../tests/net/mod.rs"]
mod net;

use fleet::Micros;
use net::{MS, PERIOD, SimulatedNetwork};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SIZES: [usize; 7] = [3, 6, 12, 25, 40, 80, 150];
const QUIET_PERIODS: i64 = 60;

/// Results of one run: times in thousandths of a period, messages and bytes sent per member and period.
#[derive(Default)]
struct Measurement {
    start: Micros,
    killed: Micros,
    returned: Micros,
    merged: Micros,
    quiet: (f64, f64),
    busy: (f64, f64),
}

fn traffic_rate(net: &SimulatedNetwork, before: (u64, u64), time: Micros) -> (f64, f64) {
    let share = net.hosts.len() as f64 * time as f64 / PERIOD as f64;
    let notes = net.sum(|c| c.notes_out) - before.0;
    let bytes = net.sum(|c| c.bytes_out) - before.1;
    (notes as f64 / share, bytes as f64 / share)
}

fn traffic(net: &SimulatedNetwork) -> (u64, u64) {
    (net.sum(|c| c.notes_out), net.sum(|c| c.bytes_out))
}

fn measure(count: usize, seed: u64) -> Result<Measurement, String> {
    let mut net = SimulatedNetwork::started(count, seed);
    let (all, bound) = (net.all(), net.convergence_bound());
    let start = net.converge(&all, bound)?;
    net.run(30 * PERIOD);
    let before = traffic(&net);
    net.run(QUIET_PERIODS * PERIOD);
    let quiet = traffic_rate(&net, before, QUIET_PERIODS * PERIOD);
    net.kill(1);
    let rest: Vec<usize> = all.iter().copied().filter(|at| *at != 1).collect();
    let killed = net.converge(&rest, bound)?;
    net.start(1);
    let returned = net.converge(&all, bound)?;
    let (one, other) = all.split_at(count / 2);
    net.partition(one, other);
    net.converge(one, bound)?;
    net.converge(other, bound)?;
    net.heal();
    let (before, began) = (traffic(&net), net.now);
    let merged = net.converge(&all, bound)?;
    let busy = traffic_rate(&net, before, net.now - began);
    Ok(Measurement { start, killed, returned, merged, quiet, busy })
}

/// Baseline of heartbeats between all pairs: each member sends its record to every other once in a period, and declares
/// another unreachable after receiving nothing from it for five periods.
struct HeartbeatBaseline {
    notes: f64,
    bytes: f64,
    /// Time until all have detected a killed member, in thousandths of a period.
    killed: Micros,
    /// Share of pairs of viewer and healthy member in which the member was expelled, with [`one_way_failures`].
    expelled_share: f64,
}

/// One of this many directed links fails.
const ONE_WAY_FAILURE_RATIO: u32 = 24;

fn one_way_failures(count: usize, seed: u64) -> Vec<(usize, usize)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pairs = (0..count).flat_map(|a| (0..count).filter(move |b| a != *b).map(move |b| (a, b)));
    pairs.filter(|_| rng.random_range(0..ONE_WAY_FAILURE_RATIO) == 0).collect()
}

/// Bytes of a message with one record, which is what a heartbeat would carry.
fn single_record_bytes() -> f64 {
    let net = SimulatedNetwork::new(3, 1);
    let mut fleet = fleet::Fleet::new(net.options(0), net::life(1), 0, 1);
    let mut out = Vec::new();
    fleet.handle(fleet.next_due(), fleet::Input::Tick, &mut out);
    let body = out.iter().find_map(|o| match o {
        fleet::Output::Send { body, .. } => Some(body.len()),
        _ => None,
    });
    body.unwrap_or(0) as f64
}

fn heartbeat_baseline(count: usize, seed: u64) -> HeartbeatBaseline {
    const MISSED: Micros = 5 * PERIOD;
    let mut rng = SmallRng::seed_from_u64(seed);
    let phases: Vec<Micros> = (0..count).map(|_| rng.random_range(0..PERIOD)).collect();
    let cut: std::collections::BTreeSet<_> = one_way_failures(count, seed).into_iter().collect();
    let mut heard = vec![vec![0; count]; count];
    let (mut notes, mut expelled_share) = (0_u64, std::collections::BTreeSet::new());
    for period in 0..QUIET_PERIODS {
        for from in 0..count {
            let at = period * PERIOD + phases[from];
            for to in (0..count).filter(|to| *to != from) {
                notes += 1;
                if !cut.contains(&(from, to)) {
                    heard[to][from] = at + rng.random_range(MS / 5..=2 * MS);
                }
            }
        }
        let now = (period + 1) * PERIOD;
        let silent = |(to, from): &(usize, usize)| to != from && now - heard[*to][*from] > MISSED;
        expelled_share
            .extend((0..count).flat_map(|to| (0..count).map(move |from| (to, from))).filter(silent));
    }
    // The first member is killed as the last of these periods ends.
    let ends = QUIET_PERIODS * PERIOD;
    let found = (1..count).map(|to| heard[to][0] + MISSED - ends).max().unwrap_or(0);
    let notes = notes as f64 / (count as i64 * QUIET_PERIODS) as f64;
    let pairs = (count * (count - 1)) as f64;
    HeartbeatBaseline {
        notes,
        bytes: notes * single_record_bytes(),
        killed: found * 1000 / PERIOD,
        expelled_share: expelled_share.len() as f64 / pairs,
    }
}

/// The same share with the same link failures in this fleet.
fn expelled_share(count: usize, seed: u64) -> Result<f64, String> {
    let mut net = SimulatedNetwork::started(count, seed);
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound)?;
    net.cuts.extend(one_way_failures(count, seed));
    net.protected = all.into_iter().collect();
    net.run(QUIET_PERIODS * PERIOD);
    let pairs = (count * (count - 1)) as f64;
    Ok(net.expelled.len() as f64 / pairs)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |key: &str| {
        let at = args.iter().position(|a| a == key);
        at.and_then(|at| args.get(at + 1)?.parse::<usize>().ok())
    };
    let seeds = number("--seeds").unwrap_or(5) as u64;
    let sizes = number("--members").map_or(SIZES.to_vec(), |count| vec![count]);
    println!("periods (median and most of {seeds} seeds); notes and bytes out for each member and period");
    println!(
        "members | bound | start | killed | returned | halves merged | quiet notes, bytes | merging notes, bytes \
         | expelled | beats: notes, bytes, killed, expelled"
    );
    for count in sizes {
        let mut runs = Vec::new();
        for seed in 0..seeds {
            match measure(count, seed) {
                Ok(measurement) => runs.push(measurement),
                Err(why) => println!("{count} members, seed {seed}: {why}"),
            }
        }
        let periods = |of: fn(&Measurement) -> Micros| {
            let mut all: Vec<Micros> = runs.iter().map(of).collect();
            all.sort_unstable();
            let show = |at: Option<&Micros>| at.map_or(f64::NAN, |t| *t as f64 / 1000.0);
            format!("{:.1} {:.1}", show(all.get(all.len() / 2)), show(all.last()))
        };
        let mean = |of: fn(&Measurement) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let heartbeat_baseline = heartbeat_baseline(count, 1);
        println!(
            "{count} | {} | {} | {} | {} | {} | {:.1}, {:.0} | {:.1}, {:.0} | {:.3} | {:.0}, {:.0}, {:.1}, {:.3}",
            SimulatedNetwork::new(count, 0).convergence_bound(),
            periods(|s| s.start),
            periods(|s| s.killed),
            periods(|s| s.returned),
            periods(|s| s.merged),
            mean(|s| s.quiet.0),
            mean(|s| s.quiet.1),
            mean(|s| s.busy.0),
            mean(|s| s.busy.1),
            expelled_share(count, 1).unwrap_or(f64::NAN),
            heartbeat_baseline.notes,
            heartbeat_baseline.bytes,
            heartbeat_baseline.killed as f64 / 1000.0,
            heartbeat_baseline.expelled_share,
        );
    }
}
