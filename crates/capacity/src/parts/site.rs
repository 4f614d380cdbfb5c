//! A site of some size as one gateway is told of it: its configuration, its list of nodes, its requests.

use std::net::SocketAddr;

use decisions::{KeyId, NodeState, Request, RequestId, ShardId, VolumeId};
use dispatch::ListedNode;
use platform::Config;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::MeasureError;
use crate::coming::{GATEWAYS, NODES, REQUESTS, SHARD_NODES, gateways_beside};

/// Volumes for each node.
const VOLUMES: usize = 5;
/// How long a client waits, and the aim, microseconds.
const PATIENCE: i64 = 800_000;
const AIM: i64 = 200_000;

/// Shards of so many nodes.
pub(super) fn shards(nodes: usize) -> usize {
    (nodes / SHARD_NODES).max(1)
}

fn name(node: usize) -> String {
    format!("node-{node:05}")
}

fn address(node: usize) -> SocketAddr {
    let [_, b, c, d] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 8080))
}

/// A line of discovery's list.
pub(super) fn member(node: usize, phase: &str) -> Value {
    json!({"id": name(node), "host_port": address(node).to_string(), "locality": format!("zone-{}", node % 3),
           "flavor": "usual", "cell": node / SHARD_NODES, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A list as discovery writes it, on one line.
pub(super) fn list(revision: u64, whole: bool, members: &[Value]) -> String {
    json!({"revision": revision, "complete": whole, "members": members}).to_string()
}

/// The whole list, all in service.
pub(super) fn whole(revision: u64, nodes: usize) -> String {
    let members: Vec<Value> = (0..nodes).map(|node| member(node, "in_service")).collect();
    list(revision, true, &members)
}

/// The whole list as the dispatcher takes it.
pub(super) fn listed(nodes: usize) -> Vec<ListedNode> {
    let line = |node: usize| ListedNode {
        name: name(node),
        zone: node as u32 % 3,
        shard: (node / SHARD_NODES) as u32,
        state: NodeState::On,
        started: None,
    };
    (0..nodes).map(line).collect()
}

/// What a gateway is told at its start: the site has gateways in the proportion that is coming, and a node the same load at every size.
pub(super) fn config(nodes: usize, known: &str, seed: u64) -> Result<Config, MeasureError> {
    // Units a second of a volume, over all gateways.
    let rate = f64::from(REQUESTS) * GATEWAYS as f64 / (NODES * VOLUMES) as f64;
    let known: Value = serde_json::from_str(known).map_err(|e| MeasureError::Failed(e.to_string()))?;
    let settings = json!({
        "classes": [{"name": "look", "targetUs": AIM, "deadlineUs": PATIENCE, "worth": 2.0, "lateValue": 0.15,
                     "idempotency": "read_like"}],
        "policies": [{"name": "plain", "usualRate": rate, "floorRate": rate / 2.0, "ceilingRate": 0.0,
                      "limitBurst": 0.0, "capSlack": 0.0, "shares": 1.0, "price": 1.0}],
        "peersTotal": gateways_beside(nodes), "index": 0, "discovery": "push",
        "policyLimits": {"sendCap": 4, "mayDuplicate": false, "cancel": true, "probing": false, "retryAfter": true,
                         "maxRetryAfterUs": 1_000_000, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
        "familyInfo": {"coldBears": 24.0, "largest": 8, "meanUnits": 1.0, "fairWorth": 0.35, "idleWorth": 0.08,
                       "slotsTotal": shards(nodes), "writes": [false]},
        "rules": {"coldFrom": 0.25, "warmUpUs": 12_000_000, "fallUs": 2_000_000, "drainGraceUs": 1_000_000},
        "fees": {"waste": 0.03}
    });
    let text = json!({
        "name": "gw-0000", "listen": "10.255.0.1:80", "discovery": "10.255.0.2:80", "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": known, "settings": settings,
    })
    .to_string();
    Config::parse("the measured site", text.as_bytes()).map_err(|e| MeasureError::Failed(e.to_string()))
}

/// A request of a volume and a shard that are drawn evenly over the site.
pub(super) fn request(nodes: usize, rng: &mut SmallRng) -> Request {
    let shard = rng.random_range(0..shards(nodes));
    let volume = shard * SHARD_NODES * VOLUMES + rng.random_range(0..SHARD_NODES * VOLUMES);
    Request {
        id: RequestId(0),
        class: 0,
        plan: 0,
        volume: VolumeId(volume as u64),
        key: Some(KeyId(rng.random())),
        shard: Some(ShardId(shard as u32)),
        units: 1.0,
        hosts: 3,
        timeout: PATIENCE,
        is_retry: false,
        client: None,
    }
}
