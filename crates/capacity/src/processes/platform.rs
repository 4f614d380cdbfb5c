//! A platform gateway as a process, and what it is told: configuration, lists, requests.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};

use super::running::Running;
use super::{LONG, io_error, until};
use crate::{Ask, MeasureError};

/// Nodes that hold one shard, each in a zone of its own.
pub(super) const COPIES: usize = 3;

/// What the configuration grants.
#[derive(Clone, Copy)]
pub(super) struct Grants {
    pub(super) sockets: u64,
    pub(super) memory_mb: u64,
}

/// Killed when it is dropped.
pub(super) struct Platform {
    running: Running,
    address: SocketAddr,
}

impl Platform {
    /// Starts one, and waits until it listens.
    pub(super) fn start(ask: &Ask, folder: &Path, config: &Value) -> Result<Platform, MeasureError> {
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(io_error(&file.display().to_string()))?;
        let mut command = Command::new(&ask.program);
        command.arg("platform").env("PROXY_CONFIG", &file);
        let mut running = Running::start(&mut command, folder.join("platform.log"))?;
        let address = until("the platform gateway listens", LONG, || Ok(named(&running.log()?)))?;
        Ok(Platform { running, address })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn pid(&self) -> u32 {
        self.running.pid()
    }
}

/// The address that a log names, once the line is whole.
fn named(log: &str) -> Option<SocketAddr> {
    let rest = log.split("address=").nth(1)?;
    rest[..rest.find(char::is_whitespace)?].parse().ok()
}

/// A node's entry in a list.
pub(super) fn entry(n: usize, at: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("node-{n:05}"), "host_port": at.to_string(), "locality": format!("zone-{}", n % COPIES),
           "flavor": "standard", "cell": n / COPIES, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Where a node is said to listen that no request ever names the shard of; nobody does.
pub(super) fn nowhere(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 64, (n >> 8) as u8, n as u8], 9))
}

/// A list's entries: these nodes, and as many more that are never asked as are wanted.
pub(super) fn entries(count: usize, nodes: &[SocketAddr]) -> Vec<Value> {
    let at = |n: usize| nodes.get(n).copied().unwrap_or_else(|| nowhere(n));
    (0..count).map(|n| entry(n, at(n), "in_service")).collect()
}

/// A configuration: `known` is what this gateway remembers, as the list before the first.
pub(super) fn config(discovery: SocketAddr, grants: Grants, shards: usize, known: &[Value]) -> Value {
    json!({
        "name": "g0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0123456789abcdef",
        "limits": {"cores": 1.0, "memory_mb": grants.memory_mb, "sockets": grants.sockets},
        "known": {"revision": 0, "complete": true, "members": known},
        "settings": {
            "classes": [{"name": "look", "targetUs": 2_000_000, "deadlineUs": 3_000_000, "worth": 1.0,
                         "lateValue": 0.1, "idempotency": "read_like"}],
            "policies": [{"name": "plain", "usualRate": 1e6, "floorRate": 1e6, "ceilingRate": 0.0,
                          "limitBurst": 0.0, "capSlack": 0.0, "shares": 1.0, "price": 1.0}],
            "peersTotal": 1, "index": 0, "discovery": "push",
            "policyLimits": {"sendCap": 3, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                             "connIdleUs": 10_000_000, "connectTimeoutUs": 250_000},
            "familyInfo": {"largest": 8, "meanUnits": 2.0, "slotsTotal": shards, "writes": [false]},
            "rules": {"fallUs": 1_000_000, "warmUpUs": 1_000_000, "coldFrom": 0.5}
        }
    })
}

/// The text of a request, by its number: a read of one of the first shards.
pub(super) fn request(number: u64, shards: usize) -> String {
    let shard = number % shards as u64;
    format!(
        "GET /look/00000000000000aa/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: r{number}\r\n\
         X-Priority-Class: look\r\nX-Plan: plain\r\nX-Timeout-Ms: 3000\r\nX-IO: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}
