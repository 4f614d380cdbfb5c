//! The collapse of a shard with each source of rights: all nodes of a shard silent for 5 s at 0.8 of their capacity, clients repeat
//! at other gateways. Prints for each source and day
//!
//! - amplified: sends for each first one in the worst second; excess: the worst window beyond the rule, in sends (negative: so many were
//!   left); recovering: the same under the rule that holds while the shard recovers, from a second after that began (-inf: there was none);
//! - back-s: seconds from the end of the silence until goodput is 0.95 of before and stays there;
//! - use, its-excess: the part of the cap that is used on a day on which half of the gateways have all clients and more need than
//!   the cap bears, under the same faults of notes and gateways, and that day's worst window;
//! - notes and bytes a second, all gateways together.
//!
//!     cargo run --release -p repeats --example collapse -- [SEED]

#[path = "../tests/rig/mod.rs"]
mod rig;

use rig::day::Day;
use rig::gate::Source;
use rig::{Rig, SECOND};

fn main() {
    let seed = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(1);
    let sources = [Source::None, Source::Even, Source::Earned, Source::Escrow, Source::Steward];
    println!("seed {seed}; 12 gateways, 2 shards of 3 nodes, 100 requests a second each, warming 5 s");
    println!("source   day          amplified  excess  recovering  back-s   use  its-excess  notes/s  KiB/s");
    for source in sources {
        let days = [
            ("whole", Day::collapse(source, seed)),
            ("halves", Day::collapse(source, seed).in_halves()),
            ("kills", Day::collapse(source, seed).with_kills()),
            ("bad notes", Day::collapse(source, seed).with_bad_notes()),
            ("all three", Day::collapse(source, seed).in_halves().with_kills().with_bad_notes()),
        ];
        for (what, day) in days {
            let run = Rig::run(day.clone());
            let back = run.back(&day).map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64));
            let recovering = run.worst_recovering(&day).map_or(0.0, |w| w.excess);
            let lopsided =
                Day { halves: day.halves, kills: day.kills, lost: day.lost, ..Day::lopsided(source, seed) };
            let lopsided = Day { late: day.late, doubled: day.doubled, ..lopsided };
            let other = Rig::run(lopsided.clone());
            let (usage, its) = (other.usage(&lopsided), other.worst(&lopsided).excess);
            let seconds = (day.end / SECOND) as f64;
            println!(
                "{:8} {what:12} {:9.2} {:7.1} {recovering:11.1} {back:>7} {usage:5.2} {its:11.1} {:8.0} {:6.1}",
                format!("{source:?}").to_lowercase(),
                run.records.amplification(0, SECOND),
                run.worst(&day).excess,
                run.notes as f64 / seconds,
                run.bytes as f64 / 1024.0 / seconds,
            );
        }
    }
}
