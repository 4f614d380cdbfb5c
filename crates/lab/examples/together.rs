//! What a gateway pays on a request's path for the fleet's view, the cap and a candidate in the shadow: a gateway without them against
//! one of four with all three, in pairs in one process. Arguments: seconds for each point, rounds, part of the extents tried.
//!
//!     cargo run --release -p lab --example together -- 1 5 0

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use emulator::Node;
use gateway::{ControlAnswer, ControlRequest, Gateway, NodeLine};
use lab::{BenchRow, median, point};
use records::{Op, Recorder};
use settings::Site;

const GATEWAYS: usize = 4;

/// The bench's site with two shards and four gateways; with the tables, or without.
fn site(tables: &str, peers: &[SocketAddr]) -> Result<Site, Box<dyn Error>> {
    let text = include_str!("../src/bench.toml");
    let first = text.find("[[gateway]]").ok_or("no gateway in bench.toml")?;
    let mut text = text[..first]
        .replace("extent_blocks = 65536", "extent_blocks = 64")
        .replace("shards = [0]", "shards = [0, 1]");
    for (n, peer) in peers.iter().enumerate() {
        text += &format!("[[gateway]]\nname = \"g{n}\"\npeer = \"{peer}\"\n\n");
    }
    for n in 0..2 {
        text += &format!(
            "[[node]]\nname = \"node{n}\"\nshard = {n}\ncores = 64\nqueue = 4096\nbase_us = 0\nus_per_kib = 0\n\n"
        );
    }
    let told = |problems: Vec<settings::Problem>| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    Ok(Site::parse(&(text + tables)).map_err(told)?)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let mut next = |or: f64| args.next().map_or(Ok(or), |a| a.parse::<f64>());
    let (seconds, rounds, slice) = (next(1.0)?, next(5.0)? as usize, next(0.0)?);
    let peers: Vec<SocketAddr> = (0..GATEWAYS).map(|_| loopback::address()).collect::<Result<_, _>>()?;
    let tables = format!(
        "[fleet]\n\n[repeats]\n\n[candidate]\nnumber = 1\nslice = {slice:?}\n\n[[candidate.volume]]\nname = \"bench\"\n\
         extent_blocks = 64\nshards = [1, 0]\n"
    );
    let (off, on) = (site("", &peers)?, site(&tables, &peers)?);
    let nodes: Vec<Node> = (0..2)
        .map(|n| Node::start(off.node_options(n, false), Recorder::none()))
        .collect::<Result<_, _>>()?;
    let lines: Vec<NodeLine> =
        nodes.iter().enumerate().map(|(n, node)| off.node_line(n, node.address(), 0)).collect();
    let folder = tempfile::tempdir()?;
    let without = Gateway::start(off.gateway_options(0, 1, lines.clone(), None)?)?;
    let mut with = Vec::new();
    for index in 0..GATEWAYS {
        let mut options = on.gateway_options(index, index as u64 + 2, lines.clone(), None)?;
        options.peer_network =
            on.company_options(index, folder.path().join(format!("g{index}")), &BTreeMap::new());
        with.push(Gateway::start(options)?);
    }
    let span = Duration::from_secs_f64(seconds);
    println!("slice {slice}; 'straight' is the gateway without, 'through' the one with all three");
    println!("{}", BenchRow::head());
    for op in [Op::Read, Op::Write] {
        for depth in [1, 32] {
            let (mut a, mut b) = (Vec::new(), Vec::new());
            for _ in 0..rounds.max(1) {
                a.push(point(&off, without.address(), op, 4, depth, span)?);
                b.push(point(&off, with[0].address(), op, 4, depth, span)?);
            }
            let row = BenchRow { depth, kib: 4, op, straight: median(a), through: median(b) };
            println!("{}", row.line());
        }
    }
    if let ControlAnswer::Status(status) = with[0].ask(ControlRequest::Status)? {
        for look in status.repeats.iter().flat_map(|repeats| &repeats.shards) {
            let shard = look.shard.map_or("all shards".into(), |shard| format!("shard {shard}"));
            println!(
                "{shard}, all rounds: {} sends with a right, {} refused for want of one, {} of these while there was one",
                look.spent, look.rejected, look.rejected_with_token
            );
        }
        println!("not served, by reason: {:?}", status.causes);
    }
    let up = with[0].view().map_or(0, |view| view.up().count());
    println!("members up in the view of the one that was measured: {up} of {GATEWAYS}");
    with.iter().chain([&without]).for_each(|g| _ = g.stop());
    Ok(())
}
