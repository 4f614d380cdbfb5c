//! Prints how long a fleet takes to settle and what it costs, from 3 to 150 members, against heartbeats between all pairs:
//! `cargo run --release -p fleet --example settling -- --seeds 5`,
//! with `--members 150` for one size only.

#[path = "../tests/net/mod.rs"]
mod net;

use fleet::Micros;
use net::{MS, Net, PERIOD};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SIZES: [usize; 7] = [3, 6, 12, 25, 40, 80, 150];
const QUIET: i64 = 60;

/// What one run has shown: periods in thousandths, notes and bytes out for each member and period.
#[derive(Default)]
struct Seen {
    start: Micros,
    killed: Micros,
    returned: Micros,
    merged: Micros,
    quiet: (f64, f64),
    busy: (f64, f64),
}

fn cost(net: &Net, before: (u64, u64), time: Micros) -> (f64, f64) {
    let share = net.hosts.len() as f64 * time as f64 / PERIOD as f64;
    let notes = net.sum(|c| c.notes_out) - before.0;
    let bytes = net.sum(|c| c.bytes_out) - before.1;
    (notes as f64 / share, bytes as f64 / share)
}

fn spent(net: &Net) -> (u64, u64) {
    (net.sum(|c| c.notes_out), net.sum(|c| c.bytes_out))
}

fn measure(count: usize, seed: u64) -> Result<Seen, String> {
    let mut net = Net::started(count, seed);
    let (all, bound) = (net.all(), net.bound());
    let start = net.settle(&all, bound)?;
    net.run(30 * PERIOD);
    let before = spent(&net);
    net.run(QUIET * PERIOD);
    let quiet = cost(&net, before, QUIET * PERIOD);
    net.kill(1);
    let rest: Vec<usize> = all.iter().copied().filter(|at| *at != 1).collect();
    let killed = net.settle(&rest, bound)?;
    net.start(1);
    let returned = net.settle(&all, bound)?;
    let (one, other) = all.split_at(count / 2);
    net.part(one, other);
    net.settle(one, bound)?;
    net.settle(other, bound)?;
    net.heal();
    let (before, began) = (spent(&net), net.now);
    let merged = net.settle(&all, bound)?;
    let busy = cost(&net, before, net.now - began);
    Ok(Seen { start, killed, returned, merged, quiet, busy })
}

/// Heartbeats between all pairs, the simplest baseline: each member sends its record to each other once in a period, and
/// holds another for unreachable that it has not heard itself for five.
struct Beats {
    notes: f64,
    bytes: f64,
    /// Periods until all have found a killed member, in thousandths.
    killed: Micros,
    /// Pairs of viewer and healthy member out of all in which it was taken out, with the cuts of [`cuts`].
    expelled: f64,
}

/// One link in so many carries nothing one way.
const ONE_IN: u32 = 24;

fn cuts(count: usize, seed: u64) -> Vec<(usize, usize)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pairs = (0..count).flat_map(|a| (0..count).filter(move |b| a != *b).map(move |b| (a, b)));
    pairs.filter(|_| rng.random_range(0..ONE_IN) == 0).collect()
}

/// Bytes of a note that carries one record: what a heartbeat would carry.
fn one_record() -> f64 {
    let net = Net::new(3, 1);
    let mut fleet = fleet::Fleet::new(net.options(0), net::life(1), 0, 1);
    let mut out = Vec::new();
    fleet.handle(fleet.next_due(), fleet::Input::Tick, &mut out);
    let body = out.iter().find_map(|o| match o {
        fleet::Output::Send { body, .. } => Some(body.len()),
        _ => None,
    });
    body.unwrap_or(0) as f64
}

fn beats(count: usize, seed: u64) -> Beats {
    const MISSED: Micros = 5 * PERIOD;
    let mut rng = SmallRng::seed_from_u64(seed);
    let phases: Vec<Micros> = (0..count).map(|_| rng.random_range(0..PERIOD)).collect();
    let cut: std::collections::BTreeSet<_> = cuts(count, seed).into_iter().collect();
    let mut heard = vec![vec![0; count]; count];
    let (mut notes, mut expelled) = (0_u64, std::collections::BTreeSet::new());
    for period in 0..QUIET {
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
        expelled.extend((0..count).flat_map(|to| (0..count).map(move |from| (to, from))).filter(silent));
    }
    // The first member is killed as the last of these periods ends.
    let ends = QUIET * PERIOD;
    let found = (1..count).map(|to| heard[to][0] + MISSED - ends).max().unwrap_or(0);
    let notes = notes as f64 / (count as i64 * QUIET) as f64;
    let pairs = (count * (count - 1)) as f64;
    Beats {
        notes,
        bytes: notes * one_record(),
        killed: found * 1000 / PERIOD,
        expelled: expelled.len() as f64 / pairs,
    }
}

/// The same share with the same cuts in this fleet.
fn expelled(count: usize, seed: u64) -> Result<f64, String> {
    let mut net = Net::started(count, seed);
    let (all, bound) = (net.all(), net.bound());
    net.settle(&all, bound)?;
    net.cuts.extend(cuts(count, seed));
    net.healthy = all.into_iter().collect();
    net.run(QUIET * PERIOD);
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
                Ok(seen) => runs.push(seen),
                Err(why) => println!("{count} members, seed {seed}: {why}"),
            }
        }
        let periods = |of: fn(&Seen) -> Micros| {
            let mut all: Vec<Micros> = runs.iter().map(of).collect();
            all.sort_unstable();
            let show = |at: Option<&Micros>| at.map_or(f64::NAN, |t| *t as f64 / 1000.0);
            format!("{:.1} {:.1}", show(all.get(all.len() / 2)), show(all.last()))
        };
        let mean = |of: fn(&Seen) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let beats = beats(count, 1);
        println!(
            "{count} | {} | {} | {} | {} | {} | {:.1}, {:.0} | {:.1}, {:.0} | {:.3} | {:.0}, {:.0}, {:.1}, {:.3}",
            Net::new(count, 0).bound(),
            periods(|s| s.start),
            periods(|s| s.killed),
            periods(|s| s.returned),
            periods(|s| s.merged),
            mean(|s| s.quiet.0),
            mean(|s| s.quiet.1),
            mean(|s| s.busy.0),
            mean(|s| s.busy.1),
            expelled(count, 1).unwrap_or(f64::NAN),
            beats.notes,
            beats.bytes,
            beats.killed as f64 / 1000.0,
            beats.expelled,
        );
    }
}
