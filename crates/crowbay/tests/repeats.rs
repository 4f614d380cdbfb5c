//! Gateways as processes that hold one cap on repeats.

mod common;

use std::time::Duration;

use common::process::until;
use common::stage::{self, NODES, Stage, hurried};
use gateway::Status;
use load::{Host, Word};
use relay::{Side, What};
use repeats::{ShardSnapshot, ShardState};

const GATEWAYS: [&str; 3] = ["g1", "g2", "g3"];

fn site(repeats: &str) -> String {
    hurried(stage::site(&GATEWAYS, &format!("[fleet]\nperiod_ms = 100\n\n[repeats]\n{repeats}\n")), 1000)
}

fn lit(repeats: &str) -> Stage {
    let mut stage = Stage::dark(&GATEWAYS, &site(repeats));
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    for gateway in GATEWAYS {
        stage.until(gateway, "all are up", |s| {
            s.fleet.as_ref().is_some_and(|f| f.members.iter().all(|m| m.standing == "up" && m.cap > 0))
        });
    }
    stage
}

fn look(status: &Status, shard: u32) -> &ShardSnapshot {
    let repeats = status.repeats.as_ref().expect("it holds the cap");
    repeats.shards.iter().find(|l| l.shard == Some(shard)).expect("the shard")
}

#[test]
fn a_repeat_at_another_gateway_is_known_there_and_takes_a_right() {
    let mut stage = lit("window_ms = 2000\nfree = 30.0\nfleet_free = 60.0");
    let host = stage.host("g1");
    stage.write_served(&host, 0);
    for gateway in GATEWAYS {
        stage.until(gateway, "its rights are there", |s| {
            look(s, 0).available >= 2.0 && look(s, 0).allowed >= 2
        });
    }
    let other = stage.host("g2");
    stage.read(&other, 1).expect("it is served");
    assert_eq!(look(&stage.status("g2"), 0).spent, 0.0, "a first read takes no right");
    // What node0 answers to g1 is lost: the read was sent and ends unserved.
    stage.order("g1", "node0", What::Hold(Side::Back));
    assert!(stage.read(&host, 0).is_err(), "no answer comes");
    until("g2 has heard of it, and takes it for a repeat", || {
        let before = look(&stage.status("g2"), 0).spent;
        // Each try is one read; it is served whether it is known as a repeat or not.
        let token = 1_000_000 + stage.status("g2").taken;
        other.read(1, 1, 0, 1, 4096, token).expect("it is sent");
        matches!(stage.answer(token), Word::Served(_)) && look(&stage.status("g2"), 0).spent > before
    });
}

/// Reads from both shards through all gateways until these are in no trouble anywhere.
fn serve_until_well(stage: &mut Stage, hosts: &[Host]) {
    let mut block = 0;
    until("served answers show that all is well", || {
        for host in hosts {
            block = (block + 3) % 16;
            stage.read_served(host, block);
        }
        let well = |s: &Status| [0, 1].iter().all(|shard| look(s, *shard).state != ShardState::Recovering);
        GATEWAYS.iter().all(|g| well(&stage.status(g)))
    });
}

#[test]
fn a_shard_whose_node_is_gone_recovers_at_all_gateways_and_is_normal_again_once_it_serves() {
    let mut stage = lit("window_ms = 1000");
    let hosts: Vec<Host> = GATEWAYS.into_iter().map(|g| stage.host(g)).collect();
    // Its nodes have just started, so that their shards recover from that first.
    serve_until_well(&mut stage, &hosts);
    stage.nodes.remove("node0");
    for gateway in GATEWAYS {
        stage.until(gateway, "its shard recovers", |s| look(s, 0).state == ShardState::Recovering);
        assert_ne!(look(&stage.status(gateway), 1).state, ShardState::Recovering, "{gateway}");
    }
    stage.node("node0", &[]);
    serve_until_well(&mut stage, &hosts);
}

/// The pause between two tries of a host.
const ADVICE: Duration = Duration::from_millis(250);
/// Tries that a host needs at most for a block on a node that is idle again.
const TRIES: usize = 8;

/// Guards against repeats that are refused for as long as they come, on an idle node, as the aim of the first try is over.
#[test]
fn a_host_that_comes_again_after_its_aim_is_served_by_an_idle_node() {
    let mut stage = lit("window_ms = 5000\nfree = 30.0\nfleet_free = 60.0");
    let host = stage.host("g1");
    stage.write_served(&host, 0);
    stage.until("g1", "its rights are there", |s| look(s, 0).available >= 2.0 && look(s, 0).allowed >= 2);
    stage.order("g1", "node0", What::Hold(Side::Back));
    assert!(stage.read(&host, 0).is_err(), "no answer comes");
    stage.order("g1", "node0", What::Release(Side::Back));
    let before = look(&stage.status("g1"), 0).spent;
    let served = (0..TRIES).find(|_| {
        std::thread::sleep(ADVICE);
        stage.read(&host, 0).is_ok()
    });
    assert!(served.is_some(), "refused {TRIES} times");
    assert!(look(&stage.status("g1"), 0).spent > before, "it was not taken for a repeat");
}

/// Guards against one host's failure that makes the reads of all others of the same block repeats.
#[test]
fn a_block_that_one_host_could_not_read_is_no_repeat_for_another() {
    let mut stage = lit("window_ms = 5000\nfree = 30.0\nfleet_free = 60.0");
    let (host, other) = (stage.host("g1"), stage.host_named("g1", "nqn.2026-12.example:host2"));
    stage.write_served(&host, 0);
    stage.until("g1", "its rights are there", |s| look(s, 0).available >= 2.0 && look(s, 0).allowed >= 2);
    stage.order("g1", "node0", What::Hold(Side::Back));
    assert!(stage.read(&host, 0).is_err(), "no answer comes");
    stage.order("g1", "node0", What::Release(Side::Back));
    let before = look(&stage.status("g1"), 0).spent;
    stage.read_served(&other, 0);
    assert_eq!(look(&stage.status("g1"), 0).spent, before, "the other host's read took a right");
    stage.read_served(&host, 0);
    assert!(look(&stage.status("g1"), 0).spent > before, "the repeat took none");
}
