//! A plan's limit as storage nodes see it: a request counts when its last byte arrives at a node, however
//! long it took.

mod common;

use std::collections::BTreeSet;

use common::*;
use platform::{Config, SocketId};
use serde_json::json;

const UNITS_PER_SECOND: f64 = 2.0;
const BURST_UNITS: f64 = 16.0;
const SLACK_UNITS: f64 = 4.0;
/// The platform's slack grows by what the limit allows in this time.
const SLACK_WINDOW_US: i64 = 150_000;

fn limited_gateway() -> TestGateway {
    let known = node_list(5, true, &[list_entry("a", address(100), 0, "in_service")]);
    let mut config: serde_json::Value =
        serde_json::from_str(&config_text(address(1), 512, &known)).expect("a configuration");
    let settings = &mut config["settings"];
    let plan = &mut settings["policies"][0];
    (plan["ceilingRate"], plan["limitBurst"], plan["capSlack"]) =
        (json!(UNITS_PER_SECOND), json!(BURST_UNITS), json!(SLACK_UNITS));
    let class = &mut settings["classes"][0];
    (class["targetUs"], class["deadlineUs"]) = (json!(5_000_000), json!(5_000_000));
    (settings["policyLimits"]["sendCap"], settings["policyLimits"]["connectTimeoutUs"]) =
        (json!(50), json!(400_000));
    let config = Config::parse("test", config.to_string().as_bytes()).unwrap_or_else(|e| panic!("{e}"));
    TestGateway::from_config(&config, LARGE_LIMITS)
}

fn send_request(gateway: &mut TestGateway, id: &str, units: u32) {
    let client = gateway.connect_client();
    gateway.receive(
        client,
        read_request(id, 0).replace("units=1", &format!("units={units}")).replace("400", "5000"),
    );
}

#[test]
fn attempts_delayed_by_connecting_stay_within_the_plan_limit_on_arrival() {
    let mut gateway = limited_gateway();
    // The token bucket starts empty and is full after this time.
    let warm = gateway.connect_client();
    gateway.receive(warm, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    gateway.advance(11_000_000);
    for n in 0..4 {
        send_request(&mut gateway, &format!("first{n}"), 5);
    }
    // No connection is established for a while; those attempts never reach a node.
    gateway.advance(1_600_000);
    for n in 0..4 {
        send_request(&mut gateway, &format!("then{n}"), 1);
    }
    let (mut seen_ids, mut units, mut first_time) = (BTreeSet::new(), 0.0, None);
    for _ in 0..60 {
        for socket in gateway.connecting_to_nodes() {
            gateway.establish(socket);
        }
        let sockets: Vec<SocketId> =
            gateway.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_))).collect();
        for socket in sockets {
            let text = gateway.take_written(socket);
            let id = text.split("X-Request-ID: ").nth(1).and_then(|t| t.lines().next()).unwrap_or_default();
            if seen_ids.insert(id.to_owned()) {
                units += if id.starts_with("first") { 5.0 } else { 1.0 };
            }
            let first_arrival = *first_time.get_or_insert(gateway.now);
            let allowed_units = BURST_UNITS
                + SLACK_UNITS
                + UNITS_PER_SECOND * (gateway.now - first_arrival + SLACK_WINDOW_US) as f64 / 1e6;
            assert!(
                units <= allowed_units,
                "{units} units have come where {allowed_units} may, with {id}: {seen_ids:?}"
            );
            gateway.receive(socket, ok_response("good"));
        }
        gateway.advance(5_000);
    }
    assert!(seen_ids.len() > 2, "{seen_ids:?}");
}
