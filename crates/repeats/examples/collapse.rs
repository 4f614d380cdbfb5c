//! The collapse of a shard with each source of tokens: all nodes of a shard are silent for 5 s at 0.8 of
//! their capacity, while clients retry at other gateways. Prints for each source and scenario
//!
//! - amplified: attempts for each first one in the worst second; excess: the worst window beyond the
//!   limit, in attempts (negative: that many were left); recovering: the same under the limit that
//!   applies while the shard recovers, from a second after that began (-inf: there was none);
//! - back-s: seconds from the end of the silence until goodput is 0.95 of its earlier value and stays
//!   there;
//! - use, its-excess: the fraction of the cap that is used in a scenario in which half of the gateways
//!   have all clients and need more than the cap allows, under the same faults of messages and gateways,
//!   and the worst window of that scenario;
//! - messages and bytes a second, all gateways together.
//!
//!     cargo run --release -p repeats --example collapse -- [SEED]

#[path = "../tests/rig/mod.rs"]
mod rig;

use rig::gateway::Source;
use rig::scenario::Scenario;
use rig::{Rig, SECOND};

fn main() {
    let seed = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(1);
    let sources = [Source::None, Source::Even, Source::Earned, Source::Escrow, Source::Steward];
    println!("seed {seed}; 12 gateways, 2 shards of 3 nodes, 100 requests a second each, warming 5 s");
    println!("source   day          amplified  excess  recovering  back-s   use  its-excess  notes/s  KiB/s");
    for source in sources {
        let scenarios = [
            ("whole", Scenario::collapse(source, seed)),
            ("halves", Scenario::collapse(source, seed).with_partition()),
            ("kills", Scenario::collapse(source, seed).with_kills()),
            ("bad notes", Scenario::collapse(source, seed).with_bad_messages()),
            ("all three", Scenario::collapse(source, seed).with_partition().with_kills().with_bad_messages()),
        ];
        for (what, scenario) in scenarios {
            let run = Rig::run(scenario.clone());
            let recovery_time = run
                .recovery_time(&scenario)
                .map_or("never".into(), |t| format!("{:.1}", t as f64 / SECOND as f64));
            let recovering = run.worst_recovering(&scenario).map_or(0.0, |w| w.excess);
            let uneven_load = Scenario {
                partition: scenario.partition,
                kills: scenario.kills,
                lost: scenario.lost,
                ..Scenario::uneven_load(source, seed)
            };
            let uneven_load =
                Scenario { late: scenario.late, duplicated: scenario.duplicated, ..uneven_load };
            let other = Rig::run(uneven_load.clone());
            let (usage, its) = (other.usage(&uneven_load), other.worst(&uneven_load).excess);
            let seconds = (scenario.end / SECOND) as f64;
            println!(
                "{:8} {what:12} {:9.2} {:7.1} {recovering:11.1} {recovery_time:>7} {usage:5.2} {its:11.1} {:8.0} {:6.1}",
                format!("{source:?}").to_lowercase(),
                run.records.amplification(0, SECOND),
                run.worst(&scenario).excess,
                run.messages as f64 / seconds,
                run.bytes as f64 / 1024.0 / seconds,
            );
        }
    }
}
