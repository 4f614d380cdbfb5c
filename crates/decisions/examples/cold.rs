//! What fleets send to nodes that start cold, for docs/design.md: `cargo run --release -p decisions --example cold [DAYS] [NAME]`,
//! so many days of each fleet whose name holds NAME.

#[path = "../tests/cold_fleet/mod.rs"]
mod cold_fleet;

use std::thread;

use cold_fleet::{Fleet, SECOND, Sum};

fn fleets() -> Vec<(String, Fleet)> {
    let mut all = Vec::new();
    for hosts in [3, 20, 30, 300] {
        for calls in [4.0, 7.5, 12.0, 30.0] {
            all.push((format!("{hosts} hosts, N {calls}"), Fleet::new(0, hosts, calls)));
        }
    }
    for hosts in [20, 30, 300] {
        for calls in [4.0, 7.5, 12.0, 30.0] {
            // Known at once, all but warm, with more asked than anybody takes in requests that fill a turn: what the bound is for.
            let full = Fleet { mean_work: true, load: 5.0, cold_from: 0.9, ..Fleet::new(0, hosts, calls) };
            let full = Fleet { lag: SECOND / 10, ..full };
            all.push((format!("full: {hosts} hosts, N {calls}"), full.clone()));
            all.push((format!("full, thin: {hosts} hosts, N {calls}"), Fleet { volumes: 2, ..full }));
        }
    }
    let crowd = || Fleet::new(0, 300, 12.0);
    all.push(("even: 300 hosts, N 12, no skew".into(), Fleet { skew: (1.0, 1.0), ..crowd() }));
    all.push(("skewed: 300 hosts, N 12, shards 6 to 1".into(), Fleet { skew: (8.0, 6.0), ..crowd() }));
    all.push(("busy: 300 hosts, N 12, load 1.5".into(), Fleet { load: 1.5, ..crowd() }));
    all.push((
        "narrow: 300 hosts, N 12, 2 volumes a node, load 1.5".into(),
        Fleet { volumes: 2, load: 1.5, ..crowd() },
    ));
    all.push(("herd: 300 hosts, N 12, 70% killed".into(), Fleet { herd: true, starts: (0, 70), ..crowd() }));
    for hosts in [20, 30] {
        let few = Fleet { volumes: 1, load: 1.5, ..Fleet::new(0, hosts, 7.5) };
        all.push((format!("thin: {hosts} hosts, N 7.5, 1 volume a node, load 1.5"), few));
    }
    all
}

fn main() {
    let days: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(25);
    let name = std::env::args().nth(2).unwrap_or_default();
    let lanes = thread::available_parallelism().map_or(1, |n| n.get() as u64).min(4);
    for (name, fleet) in fleets().into_iter().filter(|(n, _)| n.contains(&name)) {
        let mut sum = Sum::default();
        thread::scope(|scope| {
            let lane = |lane: u64| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let mut sum = Sum::default();
                    for seed in (0..days).filter(|d| d % lanes == lane) {
                        sum += Fleet { seed: 1 + seed, ..fleet.clone() }.play();
                    }
                    sum
                })
            };
            let running: Vec<_> = (0..lanes).map(lane).collect();
            running.into_iter().filter_map(|r| r.join().ok()).for_each(|s| sum += s);
        });
        println!("{name}: {sum}");
    }
}
