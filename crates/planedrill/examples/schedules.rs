//! Plays drawn schedules of troubles: `cargo run --release -p planedrill --example schedules -- --count 10000 --seed 1`.

use planedrill::{Failure, Played, play};

/// Schedules that are printed whole.
const PRINTED: usize = 20;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |key: &str, or: u64| {
        let at = args.iter().position(|arg| arg == key);
        at.and_then(|at| args.get(at + 1)?.parse().ok()).unwrap_or(or)
    };
    let (count, first) = (number("--count", 1000), number("--seed", 1));
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(3) as u64;
    let parts: Vec<_> = (0..threads)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (first..first + count).filter(|seed| seed % threads == part);
                seeds.map(play).collect::<Vec<_>>()
            })
        })
        .collect();
    let all: Vec<_> = parts.into_iter().flat_map(|part| part.join().expect("a schedule panicked")).collect();
    let (mut played, mut failed): (Vec<Played>, Vec<Failure>) = (Vec::new(), Vec::new());
    for one in all {
        match one {
            Ok(one) => played.push(one),
            Err(failure) => failed.push(failure),
        }
    }
    failed.sort_by_key(|failure| failure.seed);
    for failure in failed.iter().take(PRINTED) {
        println!("{failure}");
    }
    for failure in failed.iter().skip(PRINTED) {
        println!("seed {}: {}", failure.seed, failure.why);
    }
    println!("{count} schedules from seed {first}: {} failed", failed.len());
    let sum = |of: fn(&Played) -> u64| played.iter().map(of).sum::<u64>();
    println!("events: {}", sum(|p| p.steps));
    println!("changes that became durable: {}, answered so: {}", sum(|p| p.changes), sum(|p| p.answered));
    println!("proposals turned down: {}", sum(|p| p.refused));
    println!("changes behind which a later epoch began: {}", sum(|p| p.abandoned));
    println!(
        "answered, and lost with the writer's disk before another had them: {}",
        sum(|p| p.unreplicated)
    );
    println!("whole states: {}, turned away: {}", sum(|p| p.wholes), sum(|p| p.turned_away));
    println!("of these digests: {}", sum(|p| p.digests));
    println!("writers started anew: {}, epochs given twice: {}", sum(|p| p.superseded), sum(|p| p.reused));
    println!("troubles passed over: {}", sum(|p| p.passed_over));
    let mut settled: Vec<_> = played.iter().map(|p| p.settled / 1000).collect();
    settled.sort_unstable();
    let at = |part: usize| settled.get((settled.len() * part / 1000).min(settled.len().saturating_sub(1)));
    println!("ms to one state: median {:?}, 99% {:?}, most {:?}", at(500), at(990), settled.last());
    std::process::exit(i32::from(!failed.is_empty()));
}
