//! Measures the cost of the records of unanswered requests: the time for a request that is served, and the
//! memory of a full log.
//!
//!     cargo run --release -p platform --example unanswered_cost
//!
//! The machine runs without I/O in virtual time, in the test harness. The time covers machine and harness;
//! the records' share is the difference to a build without them. The memory is that of many machines, each
//! with as many disconnected clients as the log holds, less that of the same machines before; here too the
//! records' share is the difference to a build without them.

use std::hint::black_box;
use std::time::Instant;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../src/unanswered.rs"]
#[allow(dead_code)] // What lies outside of an attempt is measured through the machine.
mod unanswered;

/// The module path that `unanswered.rs` imports.
mod socket {
    pub(crate) use platform::ConnectionEnd;
}

use common::{TestGateway, ok_response, read_request};
use decisions::{NodeId, Outcome};
use platform::{ConnectionEnd, SocketId};
use unanswered::AttemptRecords;

/// Requests per round, measured rounds, and warm-up rounds.
const REQUESTS: usize = 50;
const ROUNDS: usize = 2_001;
const WARM_UP_ROUNDS: usize = 200;
/// Machines whose log is filled, and records that a log holds.
const MACHINES: usize = 1_000;
const MAX_RECORDS: usize = 64;

fn main() -> std::io::Result<()> {
    let rounds = measure_served_requests();
    let at = |part: usize| rounds[rounds.len() * part / 100];
    println!(
        "a request that is served: {:.0} ns in the median round of {ROUNDS}, {:.0} in the hundredth",
        at(50),
        at(1)
    );
    println!("the record of its one attempt by itself: {:.0} ns", measure_records());
    let before_any = resident_bytes()?;
    let mut gateways: Vec<TestGateway> = (0..MACHINES).map(|_| warmed_up_gateway()).collect();
    let before = resident_bytes()?;
    gateways.iter_mut().for_each(|gateway| disconnect_clients(gateway, "k"));
    let full = resident_bytes()?;
    let each = |bytes: usize| bytes as f64 / MACHINES as f64;
    println!("a machine with its test harness: {:.0} bytes", each(before.saturating_sub(before_any)));
    println!(
        "{MAX_RECORDS} clients that disconnected with one attempt each: {:.0} bytes a machine",
        each(full.saturating_sub(before)),
    );
    black_box(&gateways);
    Ok(())
}

/// Returns the nanoseconds per request served at its first attempt, by round, the fastest first.
fn measure_served_requests() -> Vec<f64> {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    let ids: Vec<String> = (0..REQUESTS).map(|n| read_request(&format!("{n:016x}"), 0)).collect();
    let answer = ok_response("body");
    gateway.receive(client, &ids[0]);
    let node = gateway.establish_node();
    gateway.receive(node, &answer);
    let mut rounds: Vec<f64> = (0..WARM_UP_ROUNDS + ROUNDS)
        .map(|_| {
            let mut spent = 0;
            for request in &ids {
                // A connection that has just delivered a response is cooling down.
                gateway.finish_cooldown();
                gateway.written.clear();
                let began = Instant::now();
                gateway.receive(client, request);
                gateway.receive(node, &answer);
                spent += began.elapsed().as_nanos();
            }
            assert_eq!(gateway.take_statuses(client), [200], "each is served");
            spent as f64 / REQUESTS as f64
        })
        .skip(WARM_UP_ROUNDS)
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds
}

/// Returns the nanoseconds for recording an attempt from its decision to the end of its request.
fn measure_records() -> f64 {
    const CALLS: i64 = 1_000_000;
    let mut rounds: Vec<f64> = (0..11)
        .map(|_| {
            let began = Instant::now();
            for now in 0..CALLS {
                let mut records = AttemptRecords::default();
                records.add(black_box(now), NodeId(0));
                records.ended(black_box(now + 1), 0, Outcome::Served);
                black_box(&records);
            }
            began.elapsed().as_nanos() as f64 / CALLS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[rounds.len() / 2]
}

/// Returns a gateway on which as many clients as a log holds were served and disconnected; the log is empty
/// and has no memory allocated.
fn warmed_up_gateway() -> TestGateway {
    let mut gateway = TestGateway::with_two_nodes();
    let answer = ok_response("body");
    for n in 0..MAX_RECORDS {
        let client = gateway.connect_client();
        gateway.receive(client, read_request(&format!("w{n:015x}"), 0));
        gateway.connecting_to_nodes().into_iter().for_each(|node| gateway.establish(node));
        let node = gateway.written.keys().copied().find(|socket| matches!(socket, SocketId::Node(_)));
        gateway.receive(node.expect("its request is out"), &answer);
        gateway.end_with(client, ConnectionEnd::Orderly);
        gateway.finish_cooldown();
        gateway.written.clear();
        gateway.closed.clear();
    }
    assert!(gateway.machine.take_unanswered_lines().is_empty(), "all were served");
    gateway
}

/// Disconnects as many clients as a log holds, each with a request in progress at a node.
fn disconnect_clients(gateway: &mut TestGateway, name: &str) {
    for n in 0..MAX_RECORDS {
        let client = gateway.connect_client();
        gateway.receive(client, read_request(&format!("{name}{n:015x}"), 0));
        gateway.connecting_to_nodes().into_iter().for_each(|node| gateway.establish(node));
        gateway.end_with(client, ConnectionEnd::Orderly);
        gateway.written.clear();
        gateway.closed.clear();
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> std::io::Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kilobytes: usize = line.split_ascii_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Ok(kilobytes << 10)
}
