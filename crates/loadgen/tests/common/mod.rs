//! A stand-in node that takes the times of a script, and a scenario against it.
#![allow(dead_code)]

use emulator::{Node, NodeOptions};
use loadgen::*;
use records::Recorder;
use settings::Site;

const SITE: &str = r#"
[site]
name = "sleeper"
subsystem = "nqn.2026-12.example.crowbay:sleeper"
unit_kib = 4
most_units = 8
mean_units = 1
share_worth = 0.35
spare_worth = 0.08
[rules]
most_attempts = 4
most_advice_ms = 1000
drain_grace_ms = 500
order_rest_ms = 200
cold_units = 20
cold_window_ms = 1000
cold_from = 0.2
warm_after_ms = 5000
fall_multiple = 3
[[class]]
name = "read"
op = "read"
repeats = "safe"
aim_ms = 300
patience_ms = 1000
worth = 1
[[class]]
name = "write"
op = "write"
repeats = "safe"
aim_ms = 300
patience_ms = 1000
worth = 1
[[class]]
name = "flush"
op = "flush"
repeats = "safe"
aim_ms = 300
patience_ms = 1000
worth = 1
[[plan]]
name = "p"
rate = 1000
reserve = 1000
weight = 1
price = 1
[[volume]]
name = "v"
nsid = 1
blocks = 4096
plan = "p"
extent_blocks = 4096
shards = [0]
[[gateway]]
name = "unused"
[[node]]
name = "sleeper"
shard = 0
cores = 64
queue = 100000
base_us = 10
"#;

/// A node whose commands take the script's times in turn; without a script, 10 us.
pub fn sleeper(script: Vec<Micros>, recorder: Recorder) -> Node {
    let site = Site::parse(SITE).expect("well formed");
    let options = site.node_options(0, false);
    let model = emulator::ModelOptions { cores: 100_000, script, ..options.model.clone() };
    Node::start(NodeOptions { model, ..options }, recorder).expect("a node")
}

pub fn class(name: &str, op: Op) -> Class {
    Class {
        name: name.into(),
        op,
        kib: if op == Op::Flush { 0 } else { 4 },
        share: 1.0,
        aim_ms: 100.0,
        patience_ms: 30_000.0,
        worth: 1.0,
        late_worth: 0.1,
        repeats: 0,
        try_ms: 0.0,
    }
}

pub fn phase(shape: Shape, seconds: f64, rate: f64) -> Phase {
    Phase { shape, seconds, rate, to_rate: 0.0, burst: 0, every_s: 0.0, on_s: 0.0, off_s: 0.0 }
}

/// Reads of one volume, straight at the node.
pub fn scenario(node: &Node, phases: Vec<Phase>) -> Scenario {
    Scenario {
        load: Load {
            seed: 7,
            subsystem: "nqn.2026-12.example.crowbay:sleeper".into(),
            hosts: 2,
            queues: 2,
            depth: 127,
            keep_alive_ms: 10_000,
            reconnect_ms: 50,
            late_ms: 2.0,
            host_dies_every_s: 0.0,
        },
        gateway: vec![Gateway { name: "node".into(), address: node.address() }],
        volume: vec![Volume {
            name: "v".into(),
            nsid: 1,
            blocks: 4096,
            block_kib: 4,
            weight: 1.0,
            skew: 0.0,
            gateways: Vec::new(),
            lead: 0.0,
            lead_moves_s: 0.0,
        }],
        class: vec![class("read", Op::Read)],
        phase: phases,
        trace: None,
    }
}
