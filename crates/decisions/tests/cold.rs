//! What a whole fleet sends to cold nodes: the sum over hosts that know only their own index and the number
//! of hosts. `examples/cold.rs` simulates thousands of nodes; this is a short form of it.

mod cold_fleet;
mod common;

use cold_fleet::{Fleet, SECOND, Summary};
use common::{Host, entry, request, settings};
use decisions::{Action, Outcome, RequestId};

/// Runs a fleet with this many nodes.
fn run(fleet: Fleet, nodes: u32) -> Summary {
    let summary = Fleet { seed: 1, nodes, ..fleet.clone() }.run();
    println!("{fleet:?}\n{summary}");
    summary
}

/// A fleet that uses its slow-start slots fully: it learns of the nodes at once, they hardly warm up, and
/// there are more requests than it may send, each of which fills a slot.
fn saturated(hosts: u32, requests_per_window: f64) -> Fleet {
    Fleet {
        mean_work: true,
        load: 4.0,
        cold_start_fraction: 0.9,
        list_delay: SECOND / 10,
        ..Fleet::new(0, hosts, requests_per_window)
    }
}

#[test]
fn fleets_of_any_size_stay_within_the_statistical_bound() {
    for (hosts, requests_per_window) in [(3, 12.0), (20, 7.5), (30, 12.0), (300, 12.0)] {
        let summary = run(Fleet::new(0, hosts, requests_per_window), 20);
        assert_eq!((summary.nodes, summary.over_two_roots), (20, 0), "{hosts} hosts");
        assert!(summary.received > 0.1 * summary.capacity, "{hosts} hosts leave cold nodes idle: {summary}");
    }
}

#[test]
fn saturated_fleets_stay_within_the_bound() {
    // Few volumes at each node, of two or three hosts each, so that the sum varies most.
    for (hosts, requests_per_window) in [(20, 7.5), (30, 4.0), (300, 12.0)] {
        let summary = run(Fleet { volumes: 2, ..saturated(hosts, requests_per_window) }, 40);
        assert_eq!(summary.over_two_roots, 0, "{hosts} hosts");
        assert!(summary.received > 0.25 * summary.capacity, "{hosts} hosts leave cold nodes idle: {summary}");
    }
}

#[test]
fn a_fleet_whose_hosts_are_killed_at_once_stays_within_the_bound() {
    let fleet = Fleet { killed_together: true, starts: (0, 70), ..Fleet::new(0, 300, 12.0) };
    assert_eq!(run(fleet, 20).over_two_roots, 0);
}

#[test]
fn a_slow_start_that_is_too_fast_is_detected() {
    let summary = run(Fleet { cold_units_factor: 3.0, ..saturated(300, 12.0) }, 10);
    assert!(summary.over_two_roots > 0 && summary.worst > 3.0, "{summary}");
}

#[test]
fn sends_count_whatever_their_outcome() {
    let outcomes = [Outcome::Served, Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::Unreachable];
    for outcome in outcomes {
        let mut host_settings = settings();
        (
            host_settings.hosts,
            host_settings.cold_units,
            host_settings.cold_start_fraction,
            host_settings.plans[0].reserve,
        ) = (1, 8.0, 1.0, 1e6);
        let mut node = entry(0, 0);
        node.started = Some(SECOND);
        let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
        host.advance_to(SECOND);
        host.update_nodes(false, &[node]);
        for id in 0..200 {
            let mut r = request(id);
            r.units = 2.0;
            host.submit(r);
            let in_flight: Vec<(RequestId, u32)> = host.checker.in_flight.keys().copied().collect();
            in_flight.into_iter().for_each(|(id, attempt)| drop(host.answer(id.0, attempt, outcome)));
            host.advance(20_000);
        }
        let sends: Vec<i64> =
            host.log.iter().filter(|l| matches!(l.1, Action::Send { .. })).map(|l| l.0).collect();
        assert!(sends.len() >= 6, "{outcome:?}: {} sent in four seconds", sends.len());
        let most = sends.iter().map(|&t| sends.iter().filter(|&&s| s >= t && s < t + 2 * SECOND).count());
        assert!(most.max() <= Some(4), "{outcome:?}: the node can take four in a window");
    }
}
