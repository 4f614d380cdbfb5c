//! One gateway over NVMe/TCP with one stand-in node, the project's load generator as a sound client, and a
//! second client. The trouble: the second client sends one malformed command, a Read of one block whose capsule
//! brings 512 bytes of data that a Read has no use for. Without the trouble it sends the same Read without them.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::nvme_client::{Host, Sqe};

const SUBSYSTEM: &str = "nqn.2026-12.example.crowbay:stray";
const BLOCK: u32 = 4096;
const READ: u8 = 2;
const STRAY: usize = 512;

const SITE: &str = r#"[site]
name = "stray"
subsystem = "nqn.2026-12.example.crowbay:stray"
unit_kib = 4
most_units = 8
mean_units = 2
share_worth = 0.35
spare_worth = 0.08

[rules]
most_attempts = 4
most_advice_ms = 1000
drain_grace_ms = 1000
order_rest_ms = 200
cold_units = 20
cold_window_ms = 2000
cold_from = 0.2
warm_after_ms = 5000
fall_multiple = 3

[[class]]
name = "balance-read"
op = "read"
repeats = "safe"
aim_ms = 750
patience_ms = 2500
worth = 2
late_worth = 0.15

[[class]]
name = "transfer-write"
op = "write"
repeats = "keyed"
window_ms = 2500
in_order = true
aim_ms = 750
patience_ms = 1500
worth = 2
late_worth = 0.1

[[class]]
name = "flush"
op = "flush"
repeats = "safe"
aim_ms = 500
patience_ms = 2000
worth = 1

[[plan]]
name = "priority"
rate = 200
reserve = 200
weight = 3
price = 1.2

[[volume]]
name = "ledger"
nsid = 1
blocks = 4096
plan = "priority"
extent_blocks = 4096
shards = [0]

[[gateway]]
name = "gw1"

[[node]]
name = "node0"
shard = 0
cores = 4
base_us = 40000
"#;

const LOAD: &str = r#"[load]
seed = 7
subsystem = "nqn.2026-12.example.crowbay:stray"
hosts = 1
queues = 1

[[gateway]]
name = "gw1"
address = "127.0.0.1:1"

[[volume]]
name = "ledger"
nsid = 1
blocks = 4096

[[class]]
name = "transfer-write"
op = "write"
kib = 4
share = 0.5
aim_ms = 750
patience_ms = 1500
worth = 2
repeats = 0

[[class]]
name = "balance-read"
op = "read"
kib = 4
share = 0.5
aim_ms = 750
patience_ms = 2500
worth = 2
repeats = 0

[[phase]]
shape = "steady"
seconds = 8
rate = 50
"#;

pub fn run(root: &Path, folder: &Path, record: &Record) -> Outcome {
    let trouble = trouble();
    let program = root.join("target/release/crowbay");
    let path = |name: &str| folder.join(name).display().to_string();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).map_err(|e| e.to_string());
    write("site.toml", SITE)?;
    write("load.toml", LOAD)?;
    let crowbay = |args: &[&str]| {
        let mut command = Command::new(&program);
        command.current_dir(root).args(args);
        command
    };
    let (config, any) = (path("site.toml"), format!("{}:0", own_ip()));
    let mut children = Children::new(folder);
    let records = path("node0.jsonl");
    let mut command = crowbay(&["node", "--config", &config, "--name", "node0", "--listen", &any]);
    let line = started(&mut children, "node0", command.args(["--records", &records]), folder)?;
    let node = json_field(&line, "address").ok_or("the node has no address")?;
    let listed =
        format!(r#"[{{"name":"node0","address":"{node}","shard":0,"zone":0,"state":"on","started":0}}]"#);
    write("nodes.json", &listed)?;
    let mut command = crowbay(&["gateway", "--config", &config, "--name", "gw1", "--listen", &any]);
    command.args(["--control", &path("gw1.sock"), "--nodes", &path("nodes.json"), "--state", &path("state")]);
    let line = started(&mut children, "gateway", &mut command, folder)?;
    let gateway = json_field(&line, "address").ok_or("the gateway has no address")?.to_owned();
    record.line(format!("gateway at {gateway}; malformed command: {trouble}"));

    let mut command = crowbay(&["load", &path("load.toml"), "--out", &path("out"), "--gateway", &gateway]);
    children.start("load", command.arg("--json"), folder)?;
    std::thread::sleep(Duration::from_secs(4));

    let mut host = Host::connect(&gateway, SUBSYSTEM).map_err(|e| format!("the second client: {e}"))?;
    let read = Sqe::new(READ, 1, 1).transport(BLOCK).blocks(7, 1);
    let stray = if trouble { vec![0; STRAY] } else { Vec::new() };
    record.line(format!(
        "second client: sends a Read of block 7 with {} bytes of data in its capsule",
        stray.len()
    ));
    host.io.send(&read, &stray).map_err(|e| e.to_string())?;
    match host.io.answer() {
        Ok(done) => record.line(format!("second client: status {:#x}, {} bytes", done.status, done.data)),
        Err(error) => record.line(format!("second client: the connection ended: {error}")),
    }
    let summary = children.output("load")?;
    let progress = std::fs::read_to_string(folder.join("load.log")).unwrap_or_default();
    progress.lines().for_each(|line| record.line(format!("client: {line}")));
    let count = |name: &str| json_field(&summary, name).and_then(|t| t.parse::<u64>().ok());
    let (served, lost) = (count("served").unwrap_or(0), count("lost").unwrap_or(0));
    record.line(format!("client: served {served}, without an answer {lost}"));
    for line in std::fs::read_to_string(folder.join("node0.jsonl")).unwrap_or_default().lines() {
        record.line(format!("node0: {line}"));
    }

    let end = Instant::now() + Duration::from_secs(2);
    let mut ended = None;
    while ended.is_none() && Instant::now() < end {
        ended = children.child("gateway")?.try_wait().map_err(|e| e.to_string())?;
        std::thread::sleep(Duration::from_millis(50));
    }
    let log = std::fs::read_to_string(folder.join("gateway.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(format!("gateway's log: {line}")));
    if served == 0 {
        return Err("the sound client was served nothing".into());
    }
    if let Some(status) = ended {
        record.line(format!("BROKEN: the gateway's process has ended without being told to: {status}"));
    }
    if lost > 0 {
        record.line(format!("BROKEN: {lost} commands of the sound client got no answer"));
    }
    Ok(if ended.is_some() || lost > 0 { BROKEN } else { HELD })
}
