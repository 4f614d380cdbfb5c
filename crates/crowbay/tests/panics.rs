//! What a panic does to a process: it ends at once with a non-zero exit code, or loses one connection alone.
//!
//! A test asks for the panic by a file; only builds with debug assertions look for one.
#![cfg(debug_assertions)]

mod common;
mod stage;

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::machine::Machine;
use common::process::{Running, ended, text, until};
use common::stage::Stage;
use load::Found;
use stage::starting::Starting;

const GATEWAYS: [&str; 1] = ["g1"];
const VARIABLE: &str = "CROWBAY_TEST_PANIC";
const EXIT_CODE: i32 = 101;
/// Within this a process whose engine has panicked has ended, and its connections with it.
const AT_ONCE: Duration = Duration::from_secs(1);

fn site(tables: &str) -> String {
    common::stage::site(&GATEWAYS, tables)
}

/// Two nodes, and a gateway that panics at a point once the file that is returned is there.
fn gateway_with_panic_at(point: &str, tables: &str) -> (Stage, PathBuf) {
    let mut stage = Stage::dark(&GATEWAYS, &site(tables));
    common::stage::NODES.into_iter().for_each(|node| stage.node(node, &[]));
    let trigger = stage.path("panic");
    stage.environment.push((VARIABLE, format!("{point}:{}", text(&trigger))));
    stage.gateway("g1");
    (stage, trigger)
}

/// The lines of a log at a level.
fn lines(stage: &Stage, level: &str) -> Vec<String> {
    let log = std::fs::read_to_string(stage.path("gateways.log")).expect("a log");
    log.lines().filter(|line| line.contains(level)).map(str::to_owned).collect()
}

/// Makes a process panic; how it ended, which it must have done at once.
fn panicked(trigger: &PathBuf, ended: impl FnOnce() -> ExitStatus) {
    let asked = Instant::now();
    std::fs::write(trigger, "").expect("a file");
    let status = ended();
    assert!(asked.elapsed() < AT_ONCE, "it took {:?}", asked.elapsed());
    assert_eq!(status.code(), Some(EXIT_CODE), "{status}");
}

/// Guards against a gateway whose engine has panicked and that ends with exit code 0, or does not end.
#[test]
fn a_gateway_whose_engine_panics_ends_at_once_and_says_so() {
    let (mut stage, trigger) = gateway_with_panic_at("engine", "");
    let host = stage.host("g1");
    stage.write_served(&host, 1);
    let mut gateway = stage.gateways.remove("g1").expect("it runs");
    panicked(&trigger, || gateway.ended());
    until("the host's connections have ended", || !host.is_up());
    let errors = lines(&stage, "ERROR");
    assert_eq!(errors.len(), 1, "{errors:#?}");
    for part in
        ["task=\"engine\"", "place=\"crates/panics/src/test_trigger.rs", "asked for by a test", "report"]
    {
        assert!(errors[0].contains(part), "{part}: {}", errors[0]);
    }
}

#[test]
fn a_client_connection_that_panics_ends_alone_and_is_counted() {
    let (mut stage, trigger) = gateway_with_panic_at("front", "");
    let (first, second) = (stage.host("g1"), stage.host_named("g1", "nqn.2026-12.example:host2"));
    let token = stage.write_served(&second, 1);
    std::fs::write(&trigger, "").expect("a file");
    let lost = stage.next_token();
    first.read(1, 1, 1, 1, 4096, lost).expect("it is sent");
    assert_eq!(stage.answer(lost), load::Word::Lost);
    assert_eq!(stage.read_served(&second, 1), Found::Written(token), "the other host goes on");
    stage
        .until("g1", "the connection is gone and counted", |s| (s.contained_panics, s.connections) == (1, 3));
    let errors = lines(&stage, "ERROR");
    assert!(errors.len() == 1 && errors[0].contains("task=\"front\""), "{errors:#?}");
    assert!(errors[0].contains("its connection is closed"), "{}", errors[0]);
    let third = stage.host_named("g1", "nqn.2026-12.example:host3");
    assert_eq!(stage.read_served(&third, 1), Found::Written(token), "new hosts are served");
}

/// Service outlives all of control: a fault in what follows it does not end a gateway.
#[test]
fn a_follower_that_panics_leaves_its_gateway_in_service() {
    let listen = loopback::address().expect("an address");
    let machine = format!("name = \"c1\"\nregion = 1\nlisten = \"{listen}\"\nwriter = true\n");
    let tables = format!("[control]\nspread_ms = 50\n\n[[control.machine]]\n{machine}\n");
    let (mut stage, trigger) = gateway_with_panic_at("follower", &tables);
    let host = stage.host("g1");
    let token = stage.write_served(&host, 1);
    std::fs::write(&trigger, "").expect("a file");
    stage.until("g1", "the panic is counted", |s| s.contained_panics == 1);
    assert_eq!(stage.read_served(&host, 1), Found::Written(token));
}

#[test]
fn a_stand_in_node_that_panics_ends_with_a_non_zero_code() {
    let mut stage = Stage::dark(&GATEWAYS, &site(""));
    let trigger = stage.path("panic");
    stage.environment.push((VARIABLE, format!("node:{}", text(&trigger))));
    stage.node("node0", &[]);
    let mut node: Running = stage.nodes.remove("node0").expect("it runs");
    panicked(&trigger, || node.ended());
}

#[test]
fn a_control_machine_that_panics_ends_with_a_non_zero_code() {
    let folder = tempfile::tempdir().expect("a folder");
    let listen = loopback::address().expect("an address");
    let machine = format!("name = \"c1\"\nregion = 1\nlisten = \"{listen}\"\nwriter = true\n");
    let path = folder.path().join("site.toml");
    let tables = format!("[control]\nmachine_spread_ms = 20\n\n[[control.machine]]\n{machine}\n");
    std::fs::write(&path, site(&tables)).expect("a file");
    let trigger = folder.path().join("panic");
    let environment = [(VARIABLE, format!("machine:{}", text(&trigger)))];
    let mut machine = Machine::start_with("c1", &environment, &path, folder.path()).open();
    panicked(&trigger, || machine.ended());
}

#[test]
fn a_platform_gateway_whose_engine_panics_ends_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let trigger = folder.path().join("panic");
    let node = Arc::new(stage::Node::default());
    let config = stage::config(stage::serve(|_| {}), 64, &stage::list(1, &[("a", node.start())]));
    std::fs::write(folder.path().join("config.json"), config.to_string()).expect("a file");
    let variable = format!("{VARIABLE}=engine:{}", text(&trigger));
    let mut process = Starting::within(folder, &["env", &variable]).up();
    let mut client = stage::Client::new(process.address).expect("it connects");
    let answer = client.ask(&stage::look("before", 0)).expect("the connection stands").expect("an answer");
    assert_eq!(answer.status, 200);
    std::fs::write(&trigger, "").expect("a file");
    let asked = Instant::now();
    let answer = client.ask(&stage::look("after", 0));
    assert!(!matches!(answer, Ok(Some(_))), "the connection ends without an answer");
    assert_eq!(client.stream.read(&mut [0; 1]).unwrap_or(0), 0);
    assert_eq!(process.end().code(), Some(EXIT_CODE));
    assert!(asked.elapsed() < AT_ONCE, "it took {:?}", asked.elapsed());
}

/// Guards against a demonstration that is held and whose gateway is gone: it left with exit code 0.
#[test]
fn a_held_demonstration_whose_gateway_panics_ends_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let trigger = folder.path().join("panic");
    let mut command = Command::new(common::process::EXE);
    command.args(["demo", "--hold"]).env(VARIABLE, format!("engine:{}", text(&trigger)));
    let mut demo = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().expect("it starts");
    let mut line = String::new();
    let mut out = BufReader::new(demo.stdout.take().expect("its output"));
    out.read_line(&mut line).expect("its first line");
    panicked(&trigger, || ended(&mut demo));
}
