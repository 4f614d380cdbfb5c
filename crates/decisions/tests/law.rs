//! The bound of a node: its initial value, growth and fall, and its robustness against quick errors and hung
//! attempts.

mod common;
use common::*;
use decisions::*;

fn host() -> Host {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    Host::with_nodes(host_settings, &[entry(0, 0)])
}

fn fill(host: &mut Host, ids: std::ops::Range<u64>) {
    for id in ids {
        let mut r = request(id);
        r.timeout = 20 * SECOND;
        host.submit(r);
    }
}

#[test]
fn the_bound_starts_at_four_and_other_requests_wait() {
    let mut host = host();
    fill(&mut host, 0..10);
    assert_eq!(host.sent(), [0, 1, 2, 3]);
}

#[test]
fn fast_answers_raise_the_bound_by_the_formula() {
    let mut host = host();
    fill(&mut host, 0..40);
    host.advance(20_000);
    host.answer(0, 0, Outcome::Served);
    // N = 4, L = 0.1: 4 / (1 - 0.72) = 14.3, one of them answered.
    assert_eq!(host.checker.in_flight.len(), 14);
}

#[test]
fn slow_answers_lower_the_bound_to_its_minimum() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    host_settings.classes.push(Class { latency_target: 10 * SECOND, ..class(Idempotency::Safe) });
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    fill(&mut host, 0..4);
    host.advance(500_000);
    for id in 0..4 {
        host.answer(id, 0, Outcome::Served);
    }
    for id in 4..10 {
        let mut r = request(id);
        (r.class, r.timeout) = (1, 20 * SECOND);
        host.submit(r);
    }
    assert_eq!(
        host.checker.in_flight.len(),
        2,
        "their latency target is long, but the bound is at its minimum"
    );
}

#[test]
fn quick_errors_do_not_raise_the_bound() {
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    host_settings.max_attempts = 1;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    fill(&mut host, 0..40);
    host.advance(1_000);
    host.answer(0, 0, Outcome::Error);
    host.answer(1, 0, Outcome::Error);
    assert!(host.checker.in_flight.len() <= 4, "{} in flight", host.checker.in_flight.len());
}

#[test]
fn hung_attempts_do_not_raise_the_bound() {
    let mut host = host();
    fill(&mut host, 0..4);
    host.advance(700_000);
    // Three attempts hang for more than three latency targets; the fourth is answered, and a new one quickly.
    host.answer(3, 0, Outcome::Served);
    host.advance(2_000_000);
    fill(&mut host, 4..60);
    let trial = *host.sent().last().expect("a trial");
    host.advance(20_000);
    host.answer(trial, 0, Outcome::Served);
    assert!(host.checker.in_flight.len() <= 5, "{} in flight", host.checker.in_flight.len());
}

#[test]
fn an_attempt_overtaken_by_later_ones_occupies_no_place() {
    let mut host = host();
    fill(&mut host, 0..2);
    for id in 2..8 {
        host.advance(150_000);
        host.answer(id - 1, 0, Outcome::Served);
        fill(&mut host, id..id + 1);
    }
    fill(&mut host, 8..12);
    let in_flight: Vec<u64> = host.checker.in_flight.keys().map(|o| o.0.0).collect();
    assert_eq!(in_flight, [0, 7, 8], "the lost attempt and two within the least bound");
}

#[test]
fn a_time_out_of_an_overtaken_attempt_is_no_latency_sample() {
    let load_after = |overtaken: bool| {
        let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
        host.submit(request(0));
        host.advance(1_000);
        if overtaken {
            host.submit(request(1));
            host.advance(20_000);
            host.answer(1, 0, Outcome::Served);
        }
        host.advance(800_000);
        host.answer(0, 0, Outcome::TimedOut);
        host.scheduler.node_snapshot(NodeId(0)).expect("the node").latency_ratio
    };
    assert!(load_after(true) < 0.5, "{}", load_after(true));
    assert!(load_after(false) > 1.0, "{}", load_after(false));
}
