//! Plays drawn schedules of troubles against fleets in virtual time:
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
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (first..first + count).filter(|seed| seed % threads == part);
                seeds.map(|seed| (seed, schedule::play(seed, Plant::None))).collect::<Vec<_>>()
            })
        })
        .collect();
    let mut all: Vec<_> = parts.into_iter().flat_map(|p| p.join().expect("a schedule panicked")).collect();
    all.sort_by_key(|(seed, _)| *seed);
    let (mut settled, mut parts, mut flapping, mut failed) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for (seed, played) in all {
        match played {
            Ok(played) => {
                let part = played.settled / 10 / i64::from(played.bound);
                if part > 60 {
                    println!("seed {seed}: {part} % of its bound of {} periods", played.bound);
                }
                settled.push(played.settled);
                parts.push(part);
                flapping.extend(played.flapping);
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
    let at = |part: usize| settled.get((settled.len() * part / 1000).min(settled.len().saturating_sub(1)));
    println!(
        "periods to settle, in thousandths: median {:?}, 99% {:?}, 99.9% {:?}, most {:?}",
        at(500),
        at(990),
        at(999),
        settled.last()
    );
    println!("most of its bound that a schedule needed: {:?} %", parts.last());
    let flaps =
        |part: usize| flapping.get((flapping.len() * part / 100).min(flapping.len().saturating_sub(1)));
    println!(
        "{} with troubles of links only: changes for each member of a view and minute: median {:?}, 99% {:?}, most {:?}",
        flapping.len(),
        flaps(50),
        flaps(99),
        flapping.last()
    );
    std::process::exit(i32::from(failed > 0));
}
