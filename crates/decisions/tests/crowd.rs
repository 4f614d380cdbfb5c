//! A hundred hosts and more at one node: each has a bound below one attempt, and the rules hold for their
//! sum.
//! One test sets invalid numbers (of hosts, units and metered use) instead.

mod common;
use common::*;
use decisions::*;

/// How many of three successive requests are sent when the first two take `latency`.
fn sent_of_three(hosts: u32, reserve: f64, latency: Micros) -> usize {
    let mut host_settings = settings();
    (host_settings.hosts, host_settings.plans[0].reserve) = (hosts, reserve);
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for id in 0..2 {
        host.submit(request(id));
        host.advance(latency);
        if host.checker.in_flight.contains_key(&(RequestId(id), 0)) {
            host.answer(id, 0, Outcome::Served);
        }
    }
    host.submit(request(2));
    host.advance(50_000);
    host.checker.assert_no_breach();
    host.sent().len()
}

#[test]
fn in_a_large_fleet_even_reserved_units_are_paced_under_overload() {
    assert_eq!(sent_of_three(3, 1e6, 190_000), 3, "one of three hosts keeps its least bound");
    assert_eq!(sent_of_three(150, 1e6, 190_000), 2, "the bound of one of 150 hosts is kept by pacing");
}

#[test]
fn units_beyond_the_reserve_are_paced_from_a_lower_latency() {
    assert_eq!(sent_of_three(3, 0.0, 190_000), 3);
    assert_eq!(sent_of_three(16, 0.0, 190_000), 2);
}

#[test]
fn a_fast_node_delays_nothing() {
    assert_eq!(sent_of_three(150, 1e6, 10_000), 3);
    assert_eq!(sent_of_three(150, 0.0, 10_000), 3);
}

#[test]
fn the_load_of_a_node_decays_toward_that_of_all_nodes() {
    let mut host_settings = settings();
    (host_settings.hosts, host_settings.plans[0].reserve) = (150, 1e6);
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0), entry(1, 1)]);
    host.submit(request(0));
    host.advance(900_000);
    host.answer(0, 0, Outcome::Served);
    // The other node is fast; after a few seconds its load counts for the first one too.
    for id in 1..40 {
        let mut r = request(id);
        r.shard = Some(ShardId(1));
        host.submit(r);
        host.advance(60_000);
        if host.checker.in_flight.contains_key(&(RequestId(id), 0)) {
            host.answer(id, 0, Outcome::Served);
        }
        host.advance(60_000);
    }
    host.submit(request(100));
    assert!(host.sent().contains(&100));
}

/// Times and units of what `hosts` hosts send to a node from its start on. All request all the time and are
/// answered at once; every third host is killed and restarted on the way.
fn sent_to_a_cold_node(hosts: u32, cold_units: f64) -> Vec<(Micros, f64)> {
    let mut sent = Vec::new();
    for index in 0..hosts {
        let mut host_settings = settings();
        (
            host_settings.hosts,
            host_settings.index,
            host_settings.cold_units,
            host_settings.plans[0].reserve,
        ) = (hosts, index, cold_units, 1e6);
        let mut node = entry(0, 0);
        node.started = Some(10 * SECOND);
        let mut host = Host::at(host_settings.clone(), 0);
        host.update_nodes(true, &[entry(0, 0)]);
        host.advance_to(10 * SECOND);
        host.update_nodes(false, std::slice::from_ref(&node));
        let mut log = Vec::new();
        for id in 0..110 {
            if index % 3 == 1 && id == 50 + u64::from(index % 7) {
                log.append(&mut host.log);
                host = Host::at(host_settings.clone(), host.now);
                host.update_nodes(true, std::slice::from_ref(&node));
            }
            let mut r = request(id);
            r.units = (1 + id % 3) as f64;
            host.submit(r);
            host.advance(100_000);
            let in_flight: Vec<_> = host.checker.in_flight.keys().copied().collect();
            for (request, attempt) in in_flight {
                host.answer(request.0, attempt, Outcome::Served);
            }
        }
        log.append(&mut host.log);
        for (at, action) in &log {
            if let Action::Send { request, .. } = action {
                sent.push((*at - 10 * SECOND, (1 + request.0 % 3) as f64));
            }
        }
    }
    sent.sort_by_key(|s| s.0);
    sent
}

#[test]
fn a_cold_node_gets_work_from_any_number_of_hosts_within_its_capacity() {
    let limits = settings();
    for (hosts, cold_units) in [(1, 30.0), (4, 30.0), (40, 30.0), (170, 30.0), (170, 8.0), (40, 0.5)] {
        let sent = sent_to_a_cold_node(hosts, cold_units);
        let total: f64 = sent.iter().map(|s| s.1).sum();
        assert!(total > 3.0 * cold_units, "{hosts} hosts sent {total} in eleven seconds");
        for (i, first) in sent.iter().enumerate() {
            let inside = sent[i..].iter().take_while(|s| s.0 < first.0 + limits.cold_window);
            let units: f64 = inside.map(|s| s.1).sum();
            // Its capacity at the start of the window, with the slowest warming that is promised.
            let warm = (first.0 as f64 / limits.warm_after as f64).min(1.0);
            let capacity = cold_units * (1.0 + (1.0 / limits.cold_start_fraction - 1.0) * warm);
            assert!(units <= capacity + 1e-9, "{hosts} hosts: {units} of {capacity} at {}", first.0);
        }
    }
}

/// How many of 200 hosts send to a cold node in its first two seconds. Before, each has requested `rounds`
/// times from each of four shards out of a hundred.
fn hosts_with_a_slot(rounds: u64) -> usize {
    let mut senders = 0;
    for index in 0..200 {
        let mut host_settings = settings();
        (
            host_settings.hosts,
            host_settings.index,
            host_settings.cold_units,
            host_settings.plans[0].reserve,
        ) = (200, index, 8.0, 1e6);
        let shards: Vec<NodeEntry> = (0..100).map(|n| entry(n, n)).collect();
        let mut host = Host::with_nodes(host_settings, &shards);
        for id in 0..4 * rounds {
            let mut r = request(id);
            r.shard = Some(ShardId((id % 4) as u32));
            host.submit(r);
            host.advance(10_000);
            host.answer(id, 0, Outcome::Served);
        }
        host.advance_to(10 * SECOND);
        let mut node = entry(0, 0);
        node.started = Some(10 * SECOND);
        host.update_nodes(false, &[node]);
        host.submit(request(1000));
        host.advance(SECOND);
        // The checker only knows even parts, so that the number of slots is counted here.
        senders += usize::from(host.sent().contains(&1000));
    }
    senders
}

#[test]
fn slow_start_slots_are_drawn_among_the_hosts_that_share_a_node() {
    // The node has four slots. Eight of the 200 hosts share a node if each uses four shards of a hundred, so
    // that half of them get a slot: 100 of these 200, as all of them use it here.
    let known = hosts_with_a_slot(5);
    assert!((75..125).contains(&known), "{known} of 200");
    // A host that has used no shard twice cannot estimate the sharing: four slots are distributed among all.
    assert_eq!(hosts_with_a_slot(0), 4);
}

#[test]
fn invalid_numbers_neither_panic_nor_block_sends() {
    let mut host_settings = settings();
    (
        host_settings.hosts,
        host_settings.index,
        host_settings.plans[0].rate,
        host_settings.mean_request_units,
    ) = (0, 9, 0.0, f64::NAN);
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    for (id, metered) in [(0, f64::NAN), (1, -5.0), (2, f64::INFINITY), (3, 1e300)] {
        host.submit(request(id));
        if host.checker.in_flight.contains_key(&(RequestId(id), 0)) {
            host.handle(Event::Answer(Answer {
                request: RequestId(id),
                attempt: 0,
                node: NodeId(0),
                outcome: Outcome::Served,
                settled: true,
                latency: Micros::MAX / 8,
                metered_use: Some(metered),
                units_elsewhere: metered,
            }));
        }
        host.handle(Event::Withdrawn(RequestId(id)));
        host.advance(3 * SECOND);
    }
    assert!(!host.sent().is_empty());
    host.checker.assert_no_breach();
}

#[test]
fn the_trials_of_a_silent_node_are_shared_by_all_hosts() {
    let trials = |hosts: u32| {
        let mut host_settings = settings();
        (host_settings.hosts, host_settings.plans[0].reserve) = (hosts, 1e6);
        let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
        for id in 0..400 {
            let mut r = request(id);
            r.timeout = 30 * SECOND;
            host.submit(r);
            host.advance(10_000);
        }
        host.checker.assert_no_breach();
        host.sent().len()
    };
    let (few, many) = (trials(3), trials(150));
    assert!((6..=12).contains(&few), "{few} sent to a node that never answered");
    assert!((1..=2).contains(&many), "{many} sent by one of 150");
}
