//! What a whole fleet sends to nodes that start cold: the sum over hosts that know only their number and their count.
//! `examples/cold.rs` plays thousands of nodes; here is a short form of it.

mod cold_fleet;
mod common;

use cold_fleet::{Fleet, SECOND, Sum};
use common::{Host, entry, request, settings};
use decisions::{Action, Outcome, RequestId};

/// A day of a fleet around so many nodes.
fn day(fleet: Fleet, nodes: u32) -> Sum {
    let sum = Fleet { seed: 1, nodes, ..fleet.clone() }.play();
    println!("{fleet:?}\n{sum}");
    sum
}

/// Told at once of nodes that hardly warm, and asked for more than they may send in requests that fill a turn.
fn full(hosts: u32, calls: f64) -> Fleet {
    Fleet { mean_work: true, load: 4.0, cold_from: 0.9, lag: SECOND / 10, ..Fleet::new(0, hosts, calls) }
}

#[test]
fn fleets_of_any_size_keep_to_what_chance_allows() {
    for (hosts, calls) in [(3, 12.0), (20, 7.5), (30, 12.0), (300, 12.0)] {
        let sum = day(Fleet::new(0, hosts, calls), 20);
        assert_eq!((sum.nodes, sum.passed), (20, 0), "{hosts} hosts");
        assert!(sum.came > 0.1 * sum.allowed, "{hosts} hosts leave cold nodes idle: {sum}");
    }
}

#[test]
fn fleets_that_use_every_turn_to_the_full_keep_to_it() {
    // Few volumes at each node, of two or three hosts each: the sum varies most.
    for (hosts, calls) in [(20, 7.5), (30, 4.0), (300, 12.0)] {
        let sum = day(Fleet { volumes: 2, ..full(hosts, calls) }, 40);
        assert_eq!(sum.passed, 0, "{hosts} hosts");
        assert!(sum.came > 0.25 * sum.allowed, "{hosts} hosts leave cold nodes idle: {sum}");
    }
}

#[test]
fn a_fleet_whose_hosts_are_killed_in_one_moment_keeps_to_it() {
    let herd = Fleet { herd: true, starts: (0, 70), ..Fleet::new(0, 300, 12.0) };
    assert_eq!(day(herd, 20).passed, 0);
}

#[test]
fn a_ramp_that_is_too_fast_is_caught() {
    let sum = day(Fleet { too_fast: 3.0, ..full(300, 12.0) }, 10);
    assert!(sum.passed > 0 && sum.worst > 3.0, "{sum}");
}

#[test]
fn what_was_sent_counts_whatever_became_of_it() {
    let outcomes = [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::Unreachable];
    for outcome in outcomes {
        let mut set = settings();
        (set.hosts, set.cold_units, set.cold_from, set.plans[0].reserve) = (1, 8.0, 1.0, 1e6);
        let mut node = entry(0, 0);
        node.started = Some(SECOND);
        let mut h = Host::with_nodes(set, &[entry(0, 0)]);
        h.until(SECOND);
        h.nodes(false, &[node]);
        for id in 0..200 {
            let mut ask = request(id);
            ask.units = 2.0;
            h.ask(ask);
            let out: Vec<(RequestId, u32)> = h.checker.out.keys().copied().collect();
            out.into_iter().for_each(|(id, attempt)| drop(h.answer(id.0, attempt, outcome)));
            h.wait(20_000);
        }
        let sends: Vec<i64> =
            h.log.iter().filter(|l| matches!(l.1, Action::Send { .. })).map(|l| l.0).collect();
        assert!(sends.len() >= 6, "{outcome:?}: {} sent in four seconds", sends.len());
        let most = sends.iter().map(|&t| sends.iter().filter(|&&s| s >= t && s < t + 2 * SECOND).count());
        assert!(most.max() <= Some(4), "{outcome:?}: the node bears four in a window");
    }
}
