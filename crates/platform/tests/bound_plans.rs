//! A plan's limit as storage nodes see it: a request takes its units when its last byte has come to a node, however long its way was.

mod common;

use std::collections::BTreeSet;

use common::*;
use platform::{Config, SocketId};
use serde_json::json;

const RATE: f64 = 2.0;
const BURST: f64 = 16.0;
const SLACK: f64 = 4.0;
/// The platform's slack grows by what the limit allows in this time.
const LATE: i64 = 150_000;

fn stage() -> Stage {
    let known = list(5, true, &[member("a", address(100), 0, "in_service")]);
    let mut config: serde_json::Value =
        serde_json::from_str(&config_text(address(1), 512, &known)).expect("a configuration");
    let settings = &mut config["settings"];
    let plan = &mut settings["policies"][0];
    (plan["ceilingRate"], plan["limitBurst"], plan["capSlack"]) = (json!(RATE), json!(BURST), json!(SLACK));
    let class = &mut settings["classes"][0];
    (class["targetUs"], class["deadlineUs"]) = (json!(5_000_000), json!(5_000_000));
    (settings["policyLimits"]["sendCap"], settings["policyLimits"]["connectTimeoutUs"]) =
        (json!(50), json!(400_000));
    let config = Config::parse("test", config.to_string().as_bytes()).unwrap_or_else(|e| panic!("{e}"));
    Stage::of(&config, ROOMY)
}

fn ask(s: &mut Stage, id: &str, units: u32) {
    let client = s.client();
    s.bytes(client, look(id, 0).replace("units=1", &format!("units={units}")).replace("400", "5000"));
}

#[test]
fn what_was_on_its_way_up_for_long_does_not_pass_its_plans_limit_when_it_arrives() {
    let mut s = stage();
    // The store begins empty and is full by then.
    let warm = s.client();
    s.bytes(warm, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    s.pass(11_000_000);
    for n in 0..4 {
        ask(&mut s, &format!("first{n}"), 5);
    }
    // No connection comes up for a while; those attempts have never reached a node.
    s.pass(1_600_000);
    for n in 0..4 {
        ask(&mut s, &format!("then{n}"), 1);
    }
    let (mut seen, mut units, mut first) = (BTreeSet::new(), 0.0, None);
    for _ in 0..60 {
        for socket in s.rising() {
            s.up(socket);
        }
        let sockets: Vec<SocketId> =
            s.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_))).collect();
        for socket in sockets {
            let text = s.take(socket);
            let id = text.split("X-Request-ID: ").nth(1).and_then(|t| t.lines().next()).unwrap_or_default();
            if seen.insert(id.to_owned()) {
                units += if id.starts_with("first") { 5.0 } else { 1.0 };
            }
            let begun = *first.get_or_insert(s.now);
            let most = BURST + SLACK + RATE * (s.now - begun + LATE) as f64 / 1e6;
            assert!(units <= most, "{units} units have come where {most} may, with {id}: {seen:?}");
            s.bytes(socket, ok("good"));
        }
        s.pass(5_000);
    }
    assert!(seen.len() > 2, "{seen:?}");
}
