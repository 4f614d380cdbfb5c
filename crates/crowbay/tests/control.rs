//! A gateway as a process that follows a control machine, and what becomes of it when either is away.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::machine::Machine;
use common::process::{EXE, text};
use common::stage::{self, Stage};
use gateway::{ControlPlaneStatus, NodeLineState, Status};
use load::Found;

const GATEWAYS: [&str; 1] = ["g1"];
const NODE: &str = "node0";

/// A site with these machines of region 1, the first of which writes.
struct Plane {
    stage: Stage,
    site: PathBuf,
}

impl Plane {
    /// Nothing is up yet.
    fn dark(machines: &[&str]) -> Plane {
        let mut tables = "[control]\nspread_ms = 50\nmachine_spread_ms = 20\n".to_owned();
        for (n, name) in machines.iter().enumerate() {
            let (listen, writer) = (loopback::address().expect("an address"), n == 0);
            let machine =
                format!("name = \"{name}\"\nregion = 1\nlisten = \"{listen}\"\nwriter = {writer}\n");
            tables += &format!("\n[[control.machine]]\n{machine}");
        }
        let stage = Stage::dark(&GATEWAYS, &stage::site(&GATEWAYS, &(tables + "\n")));
        let site = stage.path("site.toml");
        Plane { stage, site }
    }

    /// One machine, one node and one gateway, which follows the machine.
    fn lit() -> (Plane, Machine) {
        let mut plane = Plane::dark(&["c1"]);
        let machine = plane.machine("c1").open();
        plane.stage.node(NODE, &[]);
        plane.stage.gateway("g1");
        plane.until("it is at its machine's level", |c| c.machine.as_deref() == Some("c1") && c.caught_up);
        (plane, machine)
    }

    fn machine(&self, name: &'static str) -> Machine {
        Machine::start(name, &self.site, self.stage.folder.path())
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(EXE).args(args).output().expect("it runs")
    }

    fn put(&self, args: &[&str]) -> Output {
        let all = ["control", "put", "--config", text(&self.site), "--region", "1", "--json"];
        self.run(&[&all, args].concat())
    }

    /// Has a change made, and waits until the gateway has it; its stamp.
    fn put_and_seen(&self, args: &[&str]) -> (u64, u64) {
        let done = self.put(args);
        assert!(done.status.success(), "{args:?}: {}", String::from_utf8_lossy(&done.stderr));
        let stamp: serde_json::Value = serde_json::from_slice(&done.stdout).expect("a stamp");
        let number = |key: &str| stamp[key].as_u64().expect("a number");
        let stamp = (number("epoch"), number("version"));
        self.until("the change reaches it", |c| held(c) == stamp);
        stamp
    }

    fn status(&self) -> Status {
        self.stage.status("g1")
    }

    fn control(&self) -> ControlPlaneStatus {
        self.status().control.expect("it follows a control plane")
    }

    fn until(&self, what: &str, done: impl Fn(&ControlPlaneStatus) -> bool) {
        self.stage.until("g1", what, |s| done(s.control.as_ref().expect("it follows a control plane")));
    }
}

/// Up to where region 1 is held.
fn held(control: &ControlPlaneStatus) -> (u64, u64) {
    let region = control.regions.iter().find(|r| r.region == 1).expect("it follows region 1");
    (region.epoch, region.version)
}

fn state(status: &Status) -> NodeLineState {
    status.nodes.iter().find(|n| n.name == NODE).map(|n| n.state).expect("it knows the node")
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// The address of a machine that was replaced is given to another one. An operator whose site file still names the old one there
/// proposed a change to it, and whoever answered took the change, or refused it in the old one's name. The cause: the greeting,
/// which says who answers, was passed over by `Proposer::connect`. What showed it: "1/volume/letters 1.1, durable at c9" was
/// printed for a change that c1 had taken.
#[test]
fn a_change_for_one_machine_is_not_taken_by_another_that_answers_at_its_address() {
    let (plane, _machine) = Plane::lit();
    let outdated = plane.stage.path("outdated.toml");
    let present = std::fs::read_to_string(&plane.site).expect("the site file");
    let present = present.replace("[[control.machine]]\nname = \"c1\"", "[[control.machine]]\nname = \"c9\"");
    std::fs::write(&outdated, present).expect("a file");
    let done = plane.run(&[
        "control",
        "put",
        "--config",
        text(&outdated),
        "--region",
        "1",
        "volume",
        "letters",
        "x",
    ]);
    let said = told(&done);
    assert!(!done.status.success(), "it was taken: {}", String::from_utf8_lossy(&done.stdout));
    assert!(said.contains("c9") && said.contains("c1"), "it says whom it wanted and whom it met: {said}");
    // One from the present file is the first that comes into force.
    plane.put_and_seen(&["volume", "ledger", "x"]);
    assert_eq!(plane.control().entries, 1);
}

#[test]
fn a_change_reaches_the_gateway_and_its_status_shows_the_version() {
    let (plane, machine) = Plane::lit();
    let first = plane.put_and_seen(&["volume", "ledger", "{\"owner\":\"anna\"}"]);
    let second = plane.put_and_seen(&["volume", "letters", "x"]);
    assert_eq!(second, (first.0, first.1 + 1));
    let control = plane.control();
    assert_eq!((control.entries, control.rejected_messages), (2, 0), "{control:?}");
    assert!(control.bytes_in > 0 && control.bytes_out > 0, "{control:?}");
    plane.put_and_seen(&["--delete", "volume", "letters"]);
    assert_eq!(plane.control().entries, 1);
    machine.until("it serves the gateway", |said| said["subscribers"] == 1 && said["entries"] == 1);
    let shown = plane.run(&["status", "--control", text(&plane.stage.path("g1"))]);
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    let (epoch, version) = held(&plane.control());
    assert!(
        shown.contains("control: c1 for ") && shown.contains(&format!("1: {epoch}.{version}")),
        "{shown}"
    );
    assert!(machine.leaves(), "it leaves in order when it is told to");
}

#[test]
fn a_node_that_an_entry_drains_drains_and_an_operators_drain_stands_beside_it() {
    let (plane, _machine) = Plane::lit();
    assert_eq!(state(&plane.status()), NodeLineState::On);
    plane.put_and_seen(&["node", NODE, "{\"state\":\"draining\"}"]);
    plane.stage.until("g1", "the node drains", |s| state(s) == NodeLineState::Draining);
    assert_eq!(plane.control().drains, [NODE]);
    // An operator's order that says on does not lift what the entry says, as an entry does not lift an operator's.
    let line = plane.stage.line("g1", 0);
    let nodes = |line| gateway::ControlRequest::Nodes { replace_all: false, lines: vec![line] };
    plane.stage.ask("g1", &nodes(line.clone())).expect("it is carried out");
    assert_eq!(state(&plane.status()), NodeLineState::Draining);
    plane.put_and_seen(&["node", NODE, "{\"state\":\"on\"}"]);
    plane.stage.until("g1", "the node is on", |s| state(s) == NodeLineState::On);
    let drained = gateway::NodeLine { state: NodeLineState::Draining, ..line };
    plane.stage.ask("g1", &nodes(drained)).expect("it is carried out");
    plane.put_and_seen(&["node", NODE, "{\"state\":\"on\",\"zone\":3}"]);
    assert_eq!(state(&plane.status()), NodeLineState::Draining);
    // What cannot be read drains nothing, and neither does another kind of entry.
    plane.stage.ask("g1", &nodes(plane.stage.line("g1", 0))).expect("it is carried out");
    plane.put_and_seen(&["node", NODE, "draining"]);
    plane.put_and_seen(&["shard", NODE, "{\"state\":\"draining\"}"]);
    assert_eq!(plane.control().drains, [""; 0]);
    assert_eq!(state(&plane.status()), NodeLineState::On);
}

#[test]
fn while_its_machine_is_away_it_serves_on_and_then_resumes_without_a_whole_state() {
    let (mut plane, machine) = Plane::lit();
    let before = plane.put_and_seen(&["node", NODE, "{\"state\":\"on\"}"]);
    let host = plane.stage.host("g1");
    let followed = plane.control();
    drop(machine);
    plane.until("it has no machine", |c| c.machine.is_none() && !c.caught_up);
    let alone = plane.control();
    assert!(alone.since > followed.since, "{followed:?} {alone:?}");
    let token = plane.stage.write_served(&host, 3);
    assert_eq!(plane.stage.read_served(&host, 3), Found::Written(token));
    assert_eq!((held(&plane.control()), plane.control().since), (before, alone.since));
    let shown = plane.run(&["status", "--control", text(&plane.stage.path("g1"))]);
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.contains("control: NO MACHINE for "), "{shown}");
    let machine = plane.machine("c1").open();
    let after = plane.put_and_seen(&["node", NODE, "{\"state\":\"on\",\"zone\":1}"]);
    assert_eq!(after, (before.0 + 1, before.1 + 1), "a later epoch, and the next version");
    assert_eq!(plane.control().snapshots_received, followed.snapshots_received);
    machine.until("it has served it", |said| said["subscribers"] == 1);
    assert_eq!(machine.said()["wholes"], 0);
    assert_eq!(plane.control().rejected_messages, 0);
}

#[test]
fn a_gateway_that_is_killed_starts_from_its_own_disk_while_its_machine_is_away() {
    let (mut plane, machine) = Plane::lit();
    plane.put_and_seen(&["volume", "ledger", "x"]);
    let before = plane.put_and_seen(&["node", NODE, "{\"state\":\"draining\"}"]);
    plane.stage.gateways.remove("g1");
    drop(machine);
    plane.stage.gateway("g1");
    let control = plane.control();
    assert_eq!((held(&control), control.entries, control.machine), (before, 2, None));
    plane.stage.until("g1", "the node drains, as its disk says", |s| state(s) == NodeLineState::Draining);
    let _machine = plane.machine("c1").open();
    plane.put_and_seen(&["--delete", "node", NODE]);
    plane.stage.until("g1", "the node is on", |s| state(s) == NodeLineState::On);
    assert_eq!(plane.control().rejected_messages, 0);
}

#[test]
fn a_writer_that_waits_takes_nothing_and_says_for_whom() {
    let plane = Plane::dark(&["c1", "c2"]);
    let unreached = plane.put(&["volume", "ledger", "x"]);
    assert_eq!(unreached.status.code(), Some(1), "{}", told(&unreached));
    let writer = plane.machine("c1");
    writer.until("it waits", |said| said["open"] == false && said["waits_for"] == serde_json::json!(["c2"]));
    let waits = plane.put(&["volume", "ledger", "x"]);
    assert_eq!(waits.status.code(), Some(3), "{}", told(&waits));
    assert!(told(&waits).contains("c2"), "{}", told(&waits));
    let other = plane.machine("c2");
    let _writer = writer.open();
    let done = plane.put(&["volume", "ledger", "x"]);
    assert!(done.status.success(), "{}", told(&done));
    other.until("it holds the change", |said| said["entries"] == 1 && said["open"].is_null());
}

#[test]
fn what_is_wrong_is_named_and_ends_with_2() {
    let plane = Plane::dark(&["c1"]);
    let site = text(&plane.site);
    let cases: [(&[&str], &str); 6] = [
        (&["control", "machine", "--config", site, "--name", "c9"], "no [[control.machine]] is named 'c9'"),
        (&["control", "put", "--config", site, "--region", "7", "node", "n", "x"], "of region 7"),
        (
            &["control", "put", "--config", site, "--region", "1", "nodes", "n", "x"],
            "it is one of member, node",
        ),
        (&["control", "put", "--config", site, "--region", "1", "node", "n"], "<VALUE>"),
        (
            &["control", "hollow", "--config", site, "--names", "g9..g1", "--process", "h", "--state", "x"],
            "the lower first",
        ),
        (&["control", "machine", "--config", "no-such-file", "--name", "c1"], "no-such-file"),
    ];
    for (args, what) in cases {
        let done = plane.run(args);
        assert_eq!(done.status.code(), Some(2), "{args:?}: {}", told(&done));
        assert!(told(&done).contains(what), "{args:?}: {}", told(&done));
    }
    let text = std::fs::read_to_string(&plane.site).expect("the file");
    let line = text.lines().position(|l| l == "writer = true").expect("a writer") + 1;
    std::fs::write(&plane.site, text.replace("writer = true", "writer = false")).expect("a file");
    let done = plane.run(&["check", site]);
    assert_eq!(done.status.code(), Some(2));
    let wanted = format!("line {line}: control.machine[0].writer: region 1 has no writer");
    assert!(told(&done).contains(&wanted), "{}", told(&done));
}

#[test]
fn without_the_table_nothing_is_followed_or_kept() {
    let mut stage = Stage::dark(&GATEWAYS, &stage::site(&GATEWAYS, ""));
    stage.node(NODE, &[]);
    stage.gateway("g1");
    let status = stage.status("g1");
    assert!(status.control.is_none());
    assert!(!stage.path("g1.state").exists());
}

/// Three machines and sixty gateways as processes; a machine and a process of gateways are killed.
#[test]
fn a_short_day_keeps_the_rules_and_a_record_that_was_tampered_with_is_found() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().join("day");
    let run = |args: &[&str]| Command::new(EXE).args(args).output().expect("it runs");
    let spans = ["--ordinary", "2", "--spread", "1", "--down", "1", "--patience", "60"];
    let day = ["control", "day", "--out", text(&out), "--days", "short", "--json"];
    let done = run(&[&day[..], &spans].concat());
    assert_eq!(done.status.code(), Some(0), "{}", told(&done));
    let report: serde_json::Value = serde_json::from_slice(&done.stdout).expect("a report");
    assert_eq!((&report["gateways"], &report["machines"]), (&60.into(), &3.into()));
    assert!(report["verdict"]["in_force"].as_u64() > Some(1000), "{}", report["verdict"]);
    let check = || run(&["control", "check", text(&out), "--json"]);
    assert_eq!(check().status.code(), Some(0));
    // One entry of one gateway, with content that nobody wrote.
    let file = out.join("records/inforce-h1.log");
    let records = std::fs::read_to_string(&file).expect("records");
    let line = records.lines().find(|l| l.starts_with("E ") && !l.ends_with(" -")).expect("an entry");
    let (start, _) = line.rsplit_once(' ').expect("its hash");
    std::fs::write(&file, records.replacen(line, &format!("{start} 0123456789abcdef"), 1)).expect("a file");
    let found = check();
    assert_eq!(found.status.code(), Some(1), "{}", told(&found));
    let verdict: serde_json::Value = serde_json::from_slice(&found.stdout).expect("a verdict");
    assert!(verdict["breaks"].as_array().is_some_and(|all| !all.is_empty()), "{verdict}");
    // Nothing is checked where nothing is, and no day is played over another.
    assert_eq!(run(&["control", "check", text(folder.path())]).status.code(), Some(2));
    let again = run(&[&day[..], &spans].concat());
    assert_eq!(again.status.code(), Some(2), "{}", told(&again));
    assert!(told(&again).contains("play into a new folder"), "{}", told(&again));
    let vast = run(&["control", "day", "--out", text(folder.path()), "--size", "vast"]);
    assert_eq!(vast.status.code(), Some(2), "{}", told(&vast));
}
