//! Runs random fault schedules against fleets in virtual time:
//! `cargo run --release -p fleet --example schedules -- --count 10000 --seed 1`.

#[path = "../tests/net/mod.rs"]
mod net;
#[path = "../tests/net/schedule.rs"]
mod schedule;

use fleet::Plant;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |key: &str, or: u64| {
        let at = args.iter().position(|a| a == key);
        at.and_then(|at| args.get(at + 1)?.parse().ok()).unwrap_or(or)
    };
    let (count, first) = (number("--count", 1000), number("--seed", 1));
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(3) as u64;
    let parts: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let seeds = (first..first + count).filter(|seed| seed % threads == thread);
                seeds.map(|seed| (seed, schedule::run_schedule(seed, Plant::None))).collect::<Vec<_>>()
            })
        })
        .collect();
    let mut all: Vec<_> = parts.into_iter().flat_map(|p| p.join().expect("a schedule panicked")).collect();
    all.sort_by_key(|(seed, _)| *seed);
    let (mut settled, mut parts, mut flapping, mut failed) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for (seed, result) in all {
        match result {
            Ok(result) => {
                let share = result.settled / 10 / i64::from(result.bound);
                if share > 60 {
                    println!("seed {seed}: {share} % of its bound of {} periods", result.bound);
                }
                settled.push(result.settled);
                parts.push(share);
                flapping.extend(result.flapping);
            }
            Err(why) => {
                failed += 1;
                println!("seed {seed}: {why}");
            }
        }
    }
    settled.sort_unstable();
    parts.sort_unstable();
    flapping.sort_by(f64::total_cmp);
    println!("{count} schedules from seed {first}: {failed} failed");
    let at = |share: usize| settled.get((settled.len() * share / 1000).min(settled.len().saturating_sub(1)));
    println!(
        "periods to converge, in thousandths: median {:?}, 99% {:?}, 99.9% {:?}, most {:?}",
        at(500),
        at(990),
        at(999),
        settled.last()
    );
    println!("most of its bound that a schedule needed: {:?} %", parts.last());
    let flaps =
        |share: usize| flapping.get((flapping.len() * share / 100).min(flapping.len().saturating_sub(1)));
    println!(
        "{} with link faults only: standing changes per view, member and minute: median {:?}, 99% {:?}, most {:?}",
        flapping.len(),
        flaps(50),
        flaps(99),
        flapping.last()
    );
    std::process::exit(i32::from(failed > 0));
}
