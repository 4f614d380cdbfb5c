//! A small catalogue with one volume on two shards, and helpers to build operations on it.
#![allow(dead_code)]

use bytes::Bytes;
use decisions::*;
use storage_core::{Action, Catalogue, ClassRule, Core, ListedNode, Opcode, Operation, OperationId, Volume};

pub fn settings() -> Settings {
    let class = |idempotency, in_order| Class {
        latency_target: 200_000,
        latency_target_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.1,
        idempotency,
        in_order,
        stream: false,
    };
    Settings {
        classes: vec![
            class(Idempotency::Safe, false),
            class(Idempotency::Keyed { scope: DedupScope::Shard, window: 2_000_000 }, true),
            class(Idempotency::Unsafe, false),
            class(Idempotency::Safe, false),
        ],
        plans: vec![Plan {
            rate: 1000.0,
            reserve: 1000.0,
            limit: 0.0,
            limit_burst: 0.0,
            limit_slack: 0.0,
            weight: 1.0,
            price: 1.0,
        }],
        hosts: 1,
        index: 0,
        needs_subscription: false,
        max_attempts: 4,
        hedging: false,
        cancellation: false,
        probing: false,
        retry_advice: true,
        max_retry_after: 1_000_000,
        cold_units: 30.0,
        cold_window: 2_000_000,
        cold_start_fraction: 0.2,
        warm_after: 10_000_000,
        drain_grace: 500_000,
        key_pause: 200_000,
        retry_budget: None,
        max_request_units: 8.0,
        mean_request_units: 1.0,
        share_worth: 0.4,
        spare_worth: 0.1,
        waste_cost: 0.0,
    }
}

pub fn catalogue() -> Catalogue {
    catalogue_of(settings())
}

pub fn catalogue_of(settings: Settings) -> Catalogue {
    let rule = |name: &str, opcode, max_bytes| ClassRule {
        name: name.into(),
        opcode,
        max_bytes,
        timeout: 1_000_000,
    };
    let rules = vec![
        rule("read", Opcode::Read, None),
        rule("post", Opcode::Write, Some(4096)),
        rule("bulk", Opcode::Write, None),
        rule("flush", Opcode::Flush, None),
    ];
    let volume = Volume {
        name: "vol1".into(),
        nsid: 1,
        blocks: 1 << 20,
        block_size: 4096,
        plan: 0,
        hosts: 1,
        extent_blocks: 8,
        shards: vec![ShardId(0), ShardId(1)],
    };
    Catalogue::new(settings, rules, 4096, vec![volume]).expect("catalogue is valid")
}

pub fn node(name: &str, shard: u32, state: NodeState) -> ListedNode {
    ListedNode { name: name.into(), zone: 0, shard, state, started: None }
}

pub fn core() -> Core {
    core_of(catalogue())
}

pub fn core_of(catalogue: Catalogue) -> Core {
    let mut core = Core::new(catalogue, 7);
    let nodes = [node("a", 0, NodeState::On), node("b", 1, NodeState::On)];
    core.update_nodes(0, true, false, &nodes, &mut Vec::new());
    core
}

pub fn operation(id: u64, opcode: Opcode, slba: u64, blocks: u32, data: Bytes) -> Operation {
    let action = match opcode {
        Opcode::Read => Action::Read { slba, blocks },
        Opcode::Write => Action::Write { slba, blocks, data },
        Opcode::Flush => Action::Flush,
    };
    Operation { id: OperationId(id), nsid: 1, action, token: id, retry: false, client: None }
}
