//! Requests on the control socket that are well-formed and hold odd values.

use gateway::ControlRequest;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::bed::{TestBed, served};

const REQUESTS: usize = 2_000;

fn odd_number(rng: &mut StdRng) -> Value {
    let ends = [0, 1, -1, i64::MIN, i64::MIN + 1, i64::MAX - 1, i64::MAX, (1 << 32) - 1, 1 << 32];
    if rng.random_range(0..4) == 0 { json!(u64::MAX) } else { json!(ends[rng.random_range(0..ends.len())]) }
}

/// A request of which some values are odd; the addresses are those of nobody.
fn odd_request(rng: &mut StdRng) -> Value {
    let states = ["on", "draining", "gone"];
    let line = |rng: &mut StdRng| {
        let mut line = json!({
            "name": format!("odd{}", rng.random_range(0..4)), "address": "127.0.0.1:9",
            "shard": rng.random_range(0..2), "zone": 0, "state": states[rng.random_range(0..3)], "started": 0,
        });
        let field = ["shard", "zone", "started"][rng.random_range(0..3)];
        line[field] = odd_number(rng);
        line
    };
    let lines: Vec<Value> = (0..rng.random_range(0..4)).map(|_| line(rng)).collect();
    match rng.random_range(0..4) {
        0 => json!({"do": "requests", "most": odd_number(rng)}),
        1 => json!({"do": "recovery", "hurry": rng.random::<bool>(), "release": odd_number(rng)}),
        _ => json!({"do": "nodes", "whole": false, "lines": lines}),
    }
}

/// Guards against a start, shard or count that is added to unchecked, which would end the engine.
#[test]
fn odd_control_requests_are_answered_and_hosts_are_served() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let mut rng = StdRng::seed_from_u64(68);
    let mut carried_out = 0;
    for n in 0..REQUESTS {
        let Ok(request) = serde_json::from_value::<ControlRequest>(odd_request(&mut rng)) else { continue };
        match bed.gateway.ask(request) {
            Ok(_) => carried_out += 1,
            Err(gateway::GatewayError::Refused(_)) => {}
            Err(error) => panic!("request {n}: {error}"),
        }
    }
    assert!(carried_out > REQUESTS / 10, "{carried_out}");
    host.read(1, 1, 0, 1, 4096, 6).unwrap();
    served(&bed.answer());
}
