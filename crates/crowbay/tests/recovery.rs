//! Gateways, nodes with disks and a relay as processes; the power goes, for all or some, and comes back in drawn or bad orders.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use common::process::{EXE, text, until};
use common::stage::{self, NODES, Stage, hurried};
use gateway::{ControlRequest, NodeLine, NodeLineState, Status};
use load::{Found, Word};
use recovery::Phase;
use relay::{Side, What};

const GATEWAYS: [&str; 3] = ["g1", "g2", "g3"];
/// Peers are waited for so long.
const ASK_FOR: Duration = Duration::from_millis(600);

fn site() -> String {
    let table = format!("[recovery]\nask_for_ms = {}\n", ASK_FOR.as_millis());
    hurried(stage::site(&GATEWAYS, &table), 1500)
}

/// The relay alone: nothing else has power yet.
fn dark() -> Stage {
    Stage::dark(&GATEWAYS, &site())
}

/// All of it, up and serving.
fn lit() -> Stage {
    let mut stage = dark();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
    stage
}

fn phase(status: &Status) -> Option<Phase> {
    status.recovery.as_ref().map(|r| r.phase)
}

fn incarnation(status: &Status) -> u64 {
    status.recovery.as_ref().map_or(0, |r| r.life.incarnation.0)
}

#[test]
fn all_lose_their_power_and_what_was_answered_is_there_when_gateways_come_first() {
    let mut stage = lit();
    let host = stage.host("g1");
    // Blocks 0 to 7 lie on shard 0, 8 to 15 on shard 1.
    let written: Vec<(u64, u64)> = (0..16).map(|b| (b, stage.write_served(&host, b))).collect();
    drop(host);
    stage.power_off();
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it joins", |s| phase(s) > Some(Phase::Joining)));
    for gateway in GATEWAYS {
        assert_eq!(incarnation(&stage.status(gateway)), 2);
    }
    let host = stage.host("g2");
    assert!(matches!(stage.read(&host, 0), Err(Word::Refused(_))), "no node is there");
    // One shard's node comes, the other's later: what is there is served.
    stage.node("node1", &[]);
    for (block, token) in &written[8..] {
        assert_eq!(stage.read_served(&host, *block), Found::Written(*token));
    }
    assert!(matches!(stage.read(&host, 0), Err(Word::Refused(_))), "the first shard's node is not there");
    stage.node("node0", &[]);
    for (block, token) in &written[..8] {
        assert_eq!(stage.read_served(&host, *block), Found::Written(*token));
    }
    let token = stage.write_served(&host, 3);
    assert_eq!(stage.read_served(&host, 3), Found::Written(token));
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
}

#[test]
fn power_goes_again_in_the_middle_of_coming_back_twice() {
    let mut stage = lit();
    let host = stage.host("g3");
    let token = stage.write_served(&host, 5);
    drop(host);
    stage.power_off();
    // Cut while they ask each other; then while cold nodes are spared, and for half of the fleet only.
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    stage.until("g1", "it lets in", |s| phase(s) >= Some(Phase::Settling));
    stage.gateways.remove("g1");
    stage.nodes.remove("node0");
    emulator::cut_power(&stage.path("node0.disk"), b"torn").expect("a mark");
    stage.node("node0", &["--forget-tokens"]);
    stage.gateway("g1");
    assert_eq!(incarnation(&stage.status("g1")), 4);
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
    for gateway in GATEWAYS {
        let host = stage.host(gateway);
        assert_eq!(stage.read_served(&host, 5), Found::Written(token), "{gateway}");
    }
}

#[test]
fn a_gateway_whose_peers_never_return_serves_within_the_stated_time() {
    let mut stage = lit();
    let host = stage.host("g1");
    let token = stage.write_served(&host, 1);
    drop(host);
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    let begun = Instant::now();
    stage.gateway("g2");
    let host = stage.host("g2");
    assert_eq!(stage.read_served(&host, 1), Found::Written(token));
    assert!(begun.elapsed() >= ASK_FOR, "it has waited for its peers");
    stage.write_served(&host, 1);
    stage.until("g2", "it serves", |s| phase(s) == Some(Phase::Serving));
}

#[test]
fn two_who_hear_each_other_one_way_only_serve_and_meet_once_it_is_over() {
    let mut stage = dark();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    // g1 dials; what it says never arrives, what g2 says would.
    stage.order("g1", "g2", What::Hold(Side::Forth));
    stage.gateway("g1");
    stage.gateway("g2");
    for gateway in ["g1", "g2"] {
        stage.until(gateway, "it lets in", |s| phase(s) > Some(Phase::Joining));
        let host = stage.host(gateway);
        stage.write_served(&host, 2);
    }
    // Orders that come to one meanwhile reach the other when the cut is over.
    let lines = vec![stage.line("g2", 0), NodeLine { state: NodeLineState::Draining, ..stage.line("g2", 1) }];
    let orders = ControlRequest::Orders { revision: 5, lines, held: vec!["ledger".into()], paused: false };
    stage.ask("g2", &orders).expect("they are in force");
    assert_eq!(stage.status("g1").revision, 0);
    stage.order("*", "*", What::Clear);
    stage.until("g1", "it has the orders", |s| s.revision == 5 && s.held == ["ledger"]);
    let state = |s: &Status| s.nodes.iter().find(|n| n.name == "node1").map(|n| n.state);
    assert_eq!(state(&stage.status("g1")), Some(NodeLineState::Draining));
}

#[test]
fn orders_from_before_the_cut_reach_one_that_was_away_and_older_ones_are_turned_down() {
    let mut stage = lit();
    stage.gateways.remove("g3");
    let lines = |stage: &Stage, g: &str| {
        vec![stage.line(g, 0), NodeLine { state: NodeLineState::Draining, ..stage.line(g, 1) }]
    };
    let orders =
        |lines, revision| ControlRequest::Orders { revision, lines, held: Vec::new(), paused: false };
    stage.ask("g1", &orders(lines(&stage, "g1"), 7)).expect("they are in force");
    stage.until("g2", "it has the orders", |s| s.revision == 7);
    // The power goes just after; only one that knows of them and one that was away come back.
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    stage.gateway("g3");
    stage.gateway("g2");
    stage.until("g3", "it has the orders", |s| s.revision == 7);
    for gateway in ["g2", "g3"] {
        let status = stage.status(gateway);
        let drained = status.nodes.iter().find(|n| n.name == "node1").map(|n| n.state);
        assert_eq!(drained, Some(NodeLineState::Draining), "{gateway}");
    }
    let told = stage.ask("g3", &orders(lines(&stage, "g3"), 6)).expect_err("they are older");
    assert!(told.contains("older"), "{told}");
}

#[test]
fn last_months_disk_and_an_empty_one_begin_a_life_above_all_that_were_seen() {
    let mut stage = lit();
    let life = stage.path("g2.state").join("life");
    let last_month = std::fs::read(&life).expect("its life");
    for n in 2..=4 {
        stage.gateways.remove("g2");
        stage.gateway("g2");
        stage.until("g2", "it lives anew", |s| incarnation(s) == n);
        until("a peer has seen it", || stage.seen("g1", "g2") == n);
    }
    stage.gateways.remove("g2");
    std::fs::write(&life, last_month).expect("put back");
    stage.gateway("g2");
    stage.until("g2", "it is above what was seen", |s| incarnation(s) == 5);
    until("a peer has seen it", || stage.seen("g1", "g2") == 5);
    stage.gateways.remove("g2");
    std::fs::remove_dir_all(stage.path("g2.state")).expect("emptied");
    stage.gateway("g2");
    stage.until("g2", "it is above what was seen", |s| incarnation(s) == 6);
    // A damaged one is named, and nothing starts on it.
    stage.gateways.remove("g2");
    let mut bytes = std::fs::read(&life).expect("its life");
    bytes[6] ^= 1;
    std::fs::write(&life, bytes).expect("damaged");
    let out = Command::new(EXE)
        .args(["gateway", "--name", "g2", "--config", text(&stage.path("site.toml"))])
        .args(["--state", text(&stage.path("g2.state"))])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && said.contains("life is damaged"), "{said}");
}

/// Power goes with two writes in hand at g1, one that ran and one that never arrived; their keys, and no others, rest.
#[test]
fn writes_in_hand_when_the_power_goes_are_settled_by_what_is_there() {
    let mut stage = lit();
    let host = stage.host("g1");
    let before = stage.write_served(&host, 1);
    stage.order("g1", "node0", What::Hold(Side::Back));
    stage.order("g1", "node1", What::Hold(Side::Forth));
    let ran = stage.write_in_hand("g1", &host, 0);
    let lost = stage.write_in_hand("g1", &host, 8);
    stage.until_run("node0", ran);
    drop(host);
    stage.power_off();
    stage.order("*", "*", What::Clear);
    // Its node is not there: the key stays closed, in whatever time; reads of other shards and other keys do not wait for it.
    stage.node("node1", &[]);
    stage.gateway("g1");
    stage.until("g1", "the other shard's key is settled", |s| {
        s.recovery.as_ref().is_some_and(|r| r.settled == [0, 1, 0] && r.unsettled.len() == 1)
    });
    let host = stage.host("g1");
    assert_eq!(stage.read_served(&host, 8), Found::Empty, "{lost:x} never arrived");
    stage.node("node0", &[]);
    stage.until("g1", "both are settled", |s| {
        s.recovery.as_ref().is_some_and(|r| r.settled == [1, 1, 0] && r.unsettled.is_empty())
    });
    assert_eq!(stage.read_served(&host, 0), Found::Written(ran));
    assert_eq!(stage.read_served(&host, 1), Found::Written(before));
    let token = stage.write_served(&host, 0);
    assert_eq!(stage.read_served(&host, 0), Found::Written(token));
    // What is settled is not settled again in the next life; the last write may be, as that it is over need not be durable yet.
    drop(host);
    stage.cut_gateway("g1");
    stage.gateway("g1");
    stage.until("g1", "it lets in", |s| phase(s) > Some(Phase::Settling));
    let settled = stage.status("g1").recovery.map(|r| r.settled).expect("it has come back");
    assert!(settled[0] <= 1 && settled[1..] == [0, 0], "{settled:?}");
}

#[test]
fn a_node_that_kept_its_power_may_still_run_what_it_has_so_the_key_rests() {
    let mut stage = lit();
    let host = stage.host("g1");
    stage.order("g1", "node0", What::Hold(Side::Back));
    let token = stage.write_in_hand("g1", &host, 2);
    stage.until_run("node0", token);
    drop(host);
    stage.cut_gateway("g1");
    stage.order("*", "*", What::Clear);
    let begun = Instant::now();
    stage.gateway("g1");
    stage.until("g1", "it is settled", |s| s.recovery.as_ref().is_some_and(|r| r.settled == [1, 0, 0]));
    // The longest patience and the rest behind it, as the file states them.
    assert!(begun.elapsed() >= Duration::from_millis(1200));
    let host = stage.host("g1");
    assert_eq!(stage.read_served(&host, 2), Found::Written(token));
}

#[test]
fn a_damaged_journal_is_moved_aside_and_all_writes_rest_once() {
    let mut stage = lit();
    let host = stage.host("g1");
    for block in 0..8 {
        stage.write_served(&host, block);
    }
    drop(host);
    stage.gateways.remove("g1");
    let journal = stage.path("g1.state").join("hand");
    let mut bytes = std::fs::read(&journal).expect("its journal");
    bytes[40] ^= 1;
    std::fs::write(&journal, bytes).expect("damaged");
    stage.gateway("g1");
    assert!(stage.path("g1.state").join("hand.damaged").exists());
    assert_eq!(stage.status("g1").recovery.map(|r| r.blind), Some(true));
    let host = stage.host("g1");
    assert!(matches!(stage.read_served(&host, 1), Found::Written(_)));
    stage.write_served(&host, 1);
    stage.until("g1", "it serves", |s| phase(s) == Some(Phase::Serving));
}

#[test]
fn operators_see_what_is_waited_for_and_force_it_only_when_they_confirm_what_it_costs() {
    let mut stage = lit();
    let host = stage.host("g1");
    stage.order("g1", "node0", What::Hold(Side::Back));
    stage.write_in_hand("g1", &host, 4);
    drop(host);
    stage.power_off();
    // Its node never returns.
    stage.node("node1", &[]);
    stage.gateway("g1");
    let control = stage.path("g1");
    let run = |args: &[&str]| {
        let out = Command::new(EXE).arg("recovery").args(args).args(["--control", text(&control)]).output();
        let out = out.expect("it runs");
        let said = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), said)
    };
    let (code, said) = run(&["hurry"]);
    assert!(code == Some(2) && said.contains("cold nodes may be pushed over"), "{said}");
    let (code, said) = run(&["hurry", "--confirm"]);
    assert_eq!(code, Some(0), "{said}");
    stage.until("g1", "it waits for its peers no longer", |s| phase(s) == Some(Phase::Settling));
    let (_, said) = run(&["status"]);
    assert!(said.contains("settling") && said.contains("blocks 4+1, at node0: waits for"), "{said}");
    let (_, said) = run(&["explain", "1", "4"]);
    assert!(said.contains("reads   open") && said.contains("writes  closed: write"), "{said}");
    let (_, said) = run(&["explain", "1", "8"]);
    assert!(said.contains("writes  open"), "{said}");
    let number = stage.status("g1").recovery.map(|r| r.unsettled[0].number.to_string()).expect("a key");
    let (code, said) = run(&["release", &number]);
    assert!(code == Some(2) && said.contains("may still run"), "{said}");
    let (code, said) = run(&["release", &number, "--confirm"]);
    assert_eq!(code, Some(0), "{said}");
    stage.until("g1", "it serves", |s| phase(s) == Some(Phase::Serving));
    let (code, said) = run(&["release", &number, "--confirm"]);
    assert!(code == Some(1) && said.contains("no unsettled write has the number"), "{said}");
    let (_, said) = run(&["status"]);
    assert!(said.contains("0 ran, 0 not there, 1 unknown, 0 open") && said.contains("all is open"), "{said}");
}
