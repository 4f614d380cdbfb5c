//! Three stand-in nodes behind a relay, one gateway over NVMe/TCP, and the project's load generator as a
//! client that sends keyed writes. The trouble: the connections to one node are reset under requests that have
//! begun, and one of the two new connections comes up late.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use crate::common::*;

const NODES: usize = 3;
/// How long nodes remember a keyed write, by the site file, in milliseconds. The project's stand-in nodes
/// remember it for twice as long.
const WINDOW_MS: u64 = 600;
/// How late the connection comes up, in milliseconds; the page's limit is 1,500.
const LATE_MS: u64 = 1400;
/// Times of the troubles since the relay's start, in milliseconds.
const TROUBLES: [u64; 4] = [3000, 6000, 9000, 12000];

fn site() -> String {
    let mut text = r#"[site]
name = "late"
subsystem = "nqn.2026-12.example.crowbay:late"
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

[link]
connect_ms = 1600

[[class]]
name = "balance-read"
op = "read"
repeats = "safe"
aim_ms = 750
patience_ms = 2500
worth = 2
late_worth = 0.1

[[class]]
name = "transfer-write"
op = "write"
repeats = "keyed"
window_ms = WINDOW
in_order = true
aim_ms = 2000
patience_ms = 2500
worth = 2
late_worth = 0.1

[[class]]
name = "flush"
op = "flush"
repeats = "safe"
aim_ms = 500
patience_ms = 2000
worth = 1
late_worth = 0.1

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
extent_blocks = 16
shards = [0, 1, 2]

[[gateway]]
name = "gw1"
"#
    .replace("WINDOW", &WINDOW_MS.to_string());
    for node in 0..NODES {
        // A write takes 150 ms, so that some have always begun.
        text += &format!("\n[[node]]\nname = \"node{node}\"\nshard = {node}\ncores = 16\nbase_us = 150000\n");
    }
    text
}

fn load() -> &'static str {
    r#"[load]
seed = 7
subsystem = "nqn.2026-12.example.crowbay:late"
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
share = 1
aim_ms = 2000
patience_ms = 2500
worth = 2
late_worth = 0.1
repeats = 0

[[phase]]
shape = "steady"
seconds = 15
rate = 60
"#
}

/// What the nodes wrote down of one write: arrivals and runs, each with time and attempt.
#[derive(Default)]
struct Seen {
    arrivals: Vec<(i64, u32)>,
    applied: Vec<(i64, u32)>,
}

pub fn run(root: &Path, folder: &Path, record: &Record) -> Outcome {
    let trouble = trouble();
    let ip = own_ip();
    let program = root.join("target/release/crowbay");
    let file = |name: &str| folder.join(name);
    let write = |name: &str, text: &str| std::fs::write(file(name), text).map_err(|e| e.to_string());
    write("site.toml", &site())?;
    write("load.toml", load())?;
    let crowbay = |args: &[&str]| {
        let mut command = Command::new(&program);
        command.current_dir(root).args(args);
        command
    };
    let path = |name: &str| file(name).display().to_string();
    let (config, any) = (path("site.toml"), format!("{ip}:0"));
    let mut children = Children::new(folder);

    let mut plan = format!("control = {:?}\nrecords = {:?}\n", path("relay.sock"), path("relay.jsonl"));
    for node in 0..NODES {
        let (name, records) = (format!("node{node}"), path(&format!("node{node}.jsonl")));
        let mut command = crowbay(&["node", "--config", &config, "--name", &name]);
        command.args(["--listen", &any, "--records", &records]);
        let line = started(&mut children, &name, &mut command, folder)?;
        let address = json_field(&line, "address").ok_or("the node has no address")?.to_owned();
        plan += &format!(
            "\n[[link]]\nfrom = \"gw1\"\nto = \"{name}\"\nlisten = \"{any}\"\ntarget = \"{address}\"\n"
        );
    }
    if trouble {
        for at in TROUBLES {
            // Answers and handshakes of one node are held from the reset on, for as long as the page allows a
            // connection to be late.
            let orders = [
                (at, "node0", "{ hold = \"back\" }"),
                (at, "node0", "\"reset\""),
                (at + LATE_MS, "node0", "{ release = \"back\" }"),
            ];
            for (at, to, what) in orders {
                plan += &format!("\n[[order]]\nat_ms = {at}\nto = \"{to}\"\nwhat = {what}\n");
            }
        }
    }
    write("plan.toml", &plan)?;
    let line = started(&mut children, "relay", &mut crowbay(&["relay", &path("plan.toml")]), folder)?;
    let mut nodes = Vec::new();
    for (node, part) in line.split("{").skip(1).enumerate() {
        let address = json_field(part, "address").ok_or("the relay has no address")?;
        nodes.push(format!(
            r#"{{"name":"node{node}","address":"{address}","shard":{node},"zone":0,"state":"on","started":0}}"#
        ));
    }
    write("nodes.json", &format!("[{}]", nodes.join(",")))?;
    let (listed, control) = (path("nodes.json"), path("gw1.sock"));
    let mut command = crowbay(&["gateway", "--config", &config, "--name", "gw1", "--listen", &any]);
    command.args(["--control", &control, "--nodes", &listed, "--state", &path("state")]);
    let line = started(&mut children, "gateway", &mut command, folder)?;
    let gateway = json_field(&line, "address").ok_or("the gateway has no address")?.to_owned();
    record
        .line(format!("gateway at {gateway}; trouble: {trouble}; writes are remembered for {WINDOW_MS} ms"));

    let out = path("out");
    let mut command = crowbay(&["load", &path("load.toml"), "--out", &out, "--gateway", &gateway]);
    children.start("load", &mut command, folder)?;
    for line in children.output("load")?.lines() {
        record.line(format!("client: {line}"));
    }
    std::thread::sleep(Duration::from_secs(2));
    children.terminate("gateway", Duration::from_secs(10))?;

    let mut writes: BTreeMap<(u64, u64), Seen> = BTreeMap::new();
    let mut runs = 0;
    for node in 0..NODES {
        let text = std::fs::read_to_string(file(&format!("node{node}.jsonl"))).map_err(|e| e.to_string())?;
        for line in text.lines() {
            record.line(format!("node{node}: {line}"));
            let number = |name| json_field(line, name).and_then(|t| t.parse::<u64>().ok());
            let (Some(t), Some(token), Some(slba)) = (number("t"), number("token"), number("slba")) else {
                continue;
            };
            let attempt = number("attempt").unwrap_or(0) as u32;
            let seen = writes.entry((token, slba)).or_default();
            match json_field(line, "ev") {
                Some("arrive") => seen.arrivals.push((t as i64, attempt)),
                Some("run") if json_field(line, "applied") == Some("true") => {
                    runs += 1;
                    seen.applied.push((t as i64, attempt));
                }
                _ => {}
            }
        }
    }
    for line in std::fs::read_to_string(file("relay.jsonl")).unwrap_or_default().lines() {
        record.line(format!("relay: {line}"));
    }
    if runs < 200 {
        return Err(format!("only {runs} writes ran"));
    }
    let (mut twice, mut resent_late) = (0, 0);
    for ((token, slba), seen) in &writes {
        if let [(first, _), (second, attempt), ..] = seen.applied[..] {
            twice += 1;
            let after = (second - first) / 1000;
            record.line(format!(
                "TWICE: write {token} of block {slba} ran, and {after} ms later attempt {attempt} of it"
            ));
        }
        if let [(first, _), (second, attempt), ..] = seen.arrivals[..]
            && (second - first) / 1000 > WINDOW_MS as i64 + 50
        {
            resent_late += 1;
            let after = (second - first) / 1000;
            record.line(format!("LATE: attempt {attempt} of write {token} came {after} ms after the first"));
        }
    }
    record.line(format!(
        "{runs} runs of writes; {twice} writes ran twice; {resent_late} were sent again after the window"
    ));
    Ok(if twice > 0 { BROKEN } else { HELD })
}
