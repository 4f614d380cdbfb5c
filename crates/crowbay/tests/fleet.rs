//! Gateways as processes that hold a view of their fleet, with cuts between them.

mod common;

use std::time::{Duration, Instant};

use common::process::{LONG, until};
use common::stage::{self, NODES, Stage};
use gateway::{FleetStatus, Status, ViewLine};
use load::Found;
use relay::{Side, What};

const GATEWAYS: [&str; 4] = ["g1", "g2", "g3", "g4"];
const PERIOD_MS: u32 = 100;

fn site(tables: &str) -> String {
    stage::site(&GATEWAYS, tables)
}

/// All of it, up; each gateway holds the others for up.
fn lit() -> Stage {
    let mut stage = Stage::dark(&GATEWAYS, &site(&format!("[fleet]\nperiod_ms = {PERIOD_MS}\n")));
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    settled(&stage, &GATEWAYS);
    stage
}

fn fleet(status: &Status) -> &FleetStatus {
    status.fleet.as_ref().expect("it holds a view")
}

fn standing<'a>(status: &'a Status, member: &str) -> &'a str {
    fleet(status).members.iter().find(|m| m.name == member).map_or("nobody", |m| m.standing.as_str())
}

/// Waits until these gateways hold each other for up, all others for unreachable, and one digest.
fn settled(stage: &Stage, there: &[&'static str]) {
    let end = Instant::now() + LONG;
    loop {
        let seen: Vec<Status> = there.iter().map(|g| stage.status(g)).collect();
        let wanted = |g: &str| if there.contains(&g) { "up" } else { "unreachable" };
        let agreed = seen.iter().all(|s| GATEWAYS.iter().all(|g| standing(s, g) == wanted(g)));
        if agreed && seen.iter().all(|s| fleet(s).digest == fleet(&seen[0]).digest) {
            return;
        }
        assert!(
            Instant::now() < end,
            "{there:?} never settle: {:#?}",
            seen.iter().map(fleet).collect::<Vec<_>>()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Cuts these pairs, both ways of each.
fn cut(stage: &Stage, here: &[&str], there: &[&str]) {
    for (a, b) in here.iter().flat_map(|a| there.iter().map(move |b| (*a, *b))) {
        for (from, to) in [(a, b), (b, a)] {
            stage.order(from, to, What::Hold(Side::Both));
        }
    }
}

fn lines(stage: &Stage, gateway: &str) -> Vec<ViewLine> {
    records::read(&stage.path(&format!("view-{gateway}.jsonl"))).expect("its records")
}

#[test]
fn all_that_start_at_once_settle_on_one_view_and_write_it_down() {
    let stage = lit();
    for gateway in GATEWAYS {
        let status = stage.status(gateway);
        let seen = fleet(&status);
        assert_eq!(seen.members.len(), 4);
        assert!(seen.members.iter().all(|m| m.volumes == [1] && m.life.is_some()), "{seen:?}");
        until("the view is written down", || {
            lines(&stage, gateway).last().is_some_and(|l| format!("{:016x}", l.digest) == seen.digest)
        });
        let lines = lines(&stage, gateway);
        assert!(lines.windows(2).all(|w| w[0].number < w[1].number), "{lines:?}");
        assert!(lines.iter().all(|l| l.gateway == gateway && l.life == seen.life && l.members.len() == 4));
    }
}

#[test]
fn two_halves_hold_a_view_each_and_serve_and_merge_when_the_cut_is_over() {
    let mut stage = lit();
    let host = stage.host("g1");
    let token = stage.write_served(&host, 5);
    cut(&stage, &["g1", "g2"], &["g3", "g4"]);
    settled(&stage, &["g1", "g2"]);
    settled(&stage, &["g3", "g4"]);
    for gateway in ["g1", "g4"] {
        let host = stage.host(gateway);
        assert_eq!(stage.read_served(&host, 5), Found::Written(token), "{gateway}");
    }
    stage.order("*", "*", What::Clear);
    settled(&stage, &GATEWAYS);
    for gateway in GATEWAYS {
        assert_eq!(fleet(&stage.status(gateway)).rejected_messages, 0, "{gateway}");
    }
}

#[test]
fn one_that_is_killed_is_unreachable_and_comes_back_in_another_life() {
    let mut stage = lit();
    let before = fleet(&stage.status("g2")).life.clone();
    stage.gateways.remove("g2");
    settled(&stage, &["g1", "g3", "g4"]);
    stage.gateway("g2");
    settled(&stage, &GATEWAYS);
    let status = stage.status("g1");
    let life = fleet(&status).members.iter().find(|m| m.name == "g2").and_then(|m| m.life.clone());
    assert_eq!(life.as_ref(), Some(&fleet(&stage.status("g2")).life));
    assert_ne!(life, Some(before));
}

#[test]
fn a_cut_one_way_makes_nobody_unreachable() {
    let stage = lit();
    // What g1 says to g2 never arrives; what g2 says does, for as long as the connection lasts.
    stage.order("g1", "g2", What::Hold(Side::Forth));
    let said: Vec<u64> = GATEWAYS.iter().map(|g| fleet(&stage.status(g)).notes_out).collect();
    let went = |g: usize| fleet(&stage.status(GATEWAYS[g])).notes_out - said[g];
    // The connection has ended by then, as its silence ended it, and suspicions would have run out.
    until("the cut lasts for many periods", || (0..4).all(|g| went(g) > 250));
    for gateway in GATEWAYS {
        let lines = lines(&stage, gateway);
        let gone = lines.iter().flat_map(|l| &l.members).find(|(_, _, standing)| standing == "unreachable");
        assert_eq!(gone, None, "{gateway}");
    }
    settled(&stage, &GATEWAYS);
    stage.order("*", "*", What::Clear);
    settled(&stage, &GATEWAYS);
}

#[test]
fn one_that_is_told_to_stop_leaves_by_its_own_word() {
    let mut stage = lit();
    stage.ask("g3", &gateway::ControlRequest::Stop).expect("it stops");
    for gateway in ["g1", "g2", "g4"] {
        stage.until(gateway, "it knows that g3 has left", |s| standing(s, "g3") == "left");
    }
    let lines = lines(&stage, "g1");
    let leaving = lines.iter().flat_map(|l| &l.members).any(|(name, _, s)| name == "g3" && s == "leaving");
    assert!(leaving, "{lines:?}");
    let doubted = lines.iter().flat_map(|l| &l.members).any(|(name, _, s)| name == "g3" && s == "suspected");
    assert!(!doubted, "its own word came before anybody's doubt: {lines:?}");
    stage.gateways.remove("g3");
    stage.gateway("g3");
    settled(&stage, &GATEWAYS);
}

#[test]
fn without_the_tables_a_gateway_listens_for_nobody_and_keeps_nothing() {
    let mut stage = Stage::dark(&GATEWAYS, &site(""));
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    stage.gateway("g1");
    assert_eq!(stage.gateways["g1"].ready().peer, None);
    let host = stage.host("g1");
    let token = stage.write_served(&host, 3);
    assert_eq!(stage.read_served(&host, 3), Found::Written(token));
    let status = stage.status("g1");
    assert!(status.fleet.is_none());
    assert!(!stage.path("g1.state").exists() && !stage.path("view-g1.jsonl").exists());
}
