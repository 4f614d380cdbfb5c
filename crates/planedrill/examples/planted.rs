//! By what planted mistakes are found: `cargo run --release -p planedrill --example planted -- --count 200 --seed 1`.

use std::collections::BTreeMap;

use plane::{Plant, plant};
use planedrill::play;

/// All mistakes that can be planted.
const ALL: [Plant; 5] = [
    Plant::ResumeSkips,
    Plant::PiecesInForce,
    Plant::EpochIgnored,
    Plant::EmptyBelieved,
    Plant::QueueUnbounded,
];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |key: &str, or: u64| {
        let at = args.iter().position(|arg| arg == key);
        at.and_then(|at| args.get(at + 1)?.parse().ok()).unwrap_or(or)
    };
    let (count, first) = (number("--count", 200), number("--seed", 1));
    for mistake in ALL {
        let (mut whys, mut digests) = (BTreeMap::<String, (u64, u64)>::new(), 0);
        for seed in first..first + count {
            plant(Some(mistake));
            let played = play(seed);
            plant(None);
            match played {
                Ok(played) => digests += u64::from(played.digests > 0),
                Err(failure) => {
                    // Names and numbers apart, so that one sort is one line.
                    let letters = |c: char| if c.is_ascii_digit() { '#' } else { c };
                    let why: String = failure.why.chars().map(letters).take(90).collect();
                    let (times, _) =
                        whys.entry(why.replace("##", "#").replace("##", "#")).or_insert((0, seed));
                    *times += 1;
                }
            }
        }
        let failed: u64 = whys.values().map(|(times, _)| times).sum();
        println!("{mistake:?}: {failed} of {count} schedules failed, {digests} others turned away a digest");
        for (why, (times, seed)) in whys {
            println!("  {times:>5} (first seed {seed}): {why}");
        }
    }
}
