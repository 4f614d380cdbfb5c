//! Simulates what fleets send to cold nodes, for docs/design.md. Runs each fleet whose name contains NAME
//! with DAYS seeds: `cargo run --release -p decisions --example cold [DAYS] [NAME]`.

#[path = "../tests/cold_fleet/mod.rs"]
mod cold_fleet;

use std::thread;

use cold_fleet::{Fleet, SECOND, Summary};

fn fleets() -> Vec<(String, Fleet)> {
    let mut all = Vec::new();
    for hosts in [3, 20, 30, 300] {
        for requests_per_window in [4.0, 7.5, 12.0, 30.0] {
            all.push((
                format!("{hosts} hosts, N {requests_per_window}"),
                Fleet::new(0, hosts, requests_per_window),
            ));
        }
    }
    for hosts in [20, 30, 300] {
        for requests_per_window in [4.0, 7.5, 12.0, 30.0] {
            // These fleets use their slow-start slots fully, the case that the bound is made for: they learn
            // of the nodes at once, the nodes are almost warm, and there are more requests than they may
            // send, each of which fills a slot.
            let saturated = Fleet {
                mean_work: true,
                load: 5.0,
                cold_start_fraction: 0.9,
                ..Fleet::new(0, hosts, requests_per_window)
            };
            let saturated = Fleet { list_delay: SECOND / 10, ..saturated };
            all.push((format!("full: {hosts} hosts, N {requests_per_window}"), saturated.clone()));
            all.push((
                format!("full, thin: {hosts} hosts, N {requests_per_window}"),
                Fleet { volumes: 2, ..saturated },
            ));
        }
    }
    let large_fleet = || Fleet::new(0, 300, 12.0);
    all.push(("even: 300 hosts, N 12, no skew".into(), Fleet { skew: (1.0, 1.0), ..large_fleet() }));
    all.push(("skewed: 300 hosts, N 12, shards 6 to 1".into(), Fleet { skew: (8.0, 6.0), ..large_fleet() }));
    all.push(("busy: 300 hosts, N 12, load 1.5".into(), Fleet { load: 1.5, ..large_fleet() }));
    all.push((
        "narrow: 300 hosts, N 12, 2 volumes a node, load 1.5".into(),
        Fleet { volumes: 2, load: 1.5, ..large_fleet() },
    ));
    all.push((
        "herd: 300 hosts, N 12, 70% killed".into(),
        Fleet { killed_together: true, starts: (0, 70), ..large_fleet() },
    ));
    for hosts in [20, 30] {
        let few = Fleet { volumes: 1, load: 1.5, ..Fleet::new(0, hosts, 7.5) };
        all.push((format!("thin: {hosts} hosts, N 7.5, 1 volume a node, load 1.5"), few));
    }
    all
}

fn main() {
    let days: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(25);
    let name = std::env::args().nth(2).unwrap_or_default();
    let threads = thread::available_parallelism().map_or(1, |n| n.get() as u64).min(4);
    for (name, fleet) in fleets().into_iter().filter(|(n, _)| n.contains(&name)) {
        let mut summary = Summary::default();
        thread::scope(|scope| {
            let worker = |index: u64| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let mut summary = Summary::default();
                    for seed in (0..days).filter(|d| d % threads == index) {
                        summary += Fleet { seed: 1 + seed, ..fleet.clone() }.run();
                    }
                    summary
                })
            };
            let running: Vec<_> = (0..threads).map(worker).collect();
            running.into_iter().filter_map(|r| r.join().ok()).for_each(|s| summary += s);
        });
        println!("{name}: {summary}");
    }
}
