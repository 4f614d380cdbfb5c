//! The program as a person runs it: files, processes, signals, exit codes.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use lab::{DemoReady, Ready};

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");

fn run(args: &[&str]) -> Output {
    Command::new(EXE).args(args).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn bad_day() -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/bad-day.toml")).unwrap()
}

#[test]
fn check_tells_every_problem_with_file_line_and_key_and_exits_with_2() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("site.toml");
    std::fs::write(
        &file,
        bad_day().replace("plan = \"priority\"", "plan = \"gold\"").replace("nsid = 3", "nsid = 0"),
    )
    .unwrap();
    let done = run(&["check", file.to_str().unwrap()]);
    let told = text(&done.stderr);
    assert_eq!(done.status.code(), Some(2), "{told}");
    assert_eq!(told.lines().count(), 2, "{told}");
    assert!(told.contains("site.toml: line ") && told.contains("volume[0].plan"), "{told}");
    let done = run(&["check", "no-such-file.toml"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(text(&done.stderr).contains("no-such-file.toml"));
}

#[test]
fn a_gateway_that_is_not_in_the_file_and_a_wrong_argument_exit_with_2() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("site.toml");
    std::fs::write(&file, bad_day()).unwrap();
    let done = run(&["gateway", "--config", file.to_str().unwrap(), "--name", "gw9"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(text(&done.stderr).contains("no [[gateway]] is named 'gw9'"));
    assert_eq!(run(&["bench", "sideways"]).status.code(), Some(2));
    assert_eq!(
        run(&["judge", dir.path().to_str().unwrap()]).status.code(),
        Some(2),
        "no day was played there"
    );
}

/// A child that is killed when the test is over.
struct Running(Child);

impl Running {
    fn start(args: &[&str]) -> (Running, String) {
        let mut child = Command::new(EXE)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        out.read_line(&mut line).expect("its first line");
        (Running(child), line)
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &pid]).status().unwrap().success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn demo_hold_prints_one_line_serves_and_leaves_on_sigint() {
    let (mut demo, line) = Running::start(&["demo", "--hold"]);
    let ready: DemoReady = serde_json::from_str(&line).expect("one JSON line");
    assert_eq!(ready.volumes.len(), 2);
    let control = ready.control.to_str().unwrap();
    let done = run(&["status", "--control", control, "--json"]);
    assert!(done.status.success(), "{}", text(&done.stderr));
    assert!(text(&done.stdout).contains("\"taken\": 0"));
    assert!(text(&run(&["status", "--control", control]).stdout).contains("node5"));
    assert!(run(&["requests", "--control", control]).status.success());
    demo.signal("INT");
    assert!(demo.0.wait().unwrap().success());
    let done = run(&["status", "--control", control]);
    assert_eq!(done.status.code(), Some(1));
    assert!(text(&done.stderr).contains("is the process running?"), "{}", text(&done.stderr));
}

#[test]
fn a_gateway_process_killed_and_started_again_serves_and_one_told_to_stop_leaves_with_0() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("site.toml");
    std::fs::write(&file, bad_day()).unwrap();
    let (file, control) = (file.to_str().unwrap(), dir.path().join("gw.sock"));
    let control = control.to_str().unwrap();
    let args = ["gateway", "--config", file, "--name", "gw1", "--control", control];
    let (first, line) = Running::start(&args);
    let ready: Ready = serde_json::from_str(&line).unwrap();
    assert_eq!(ready.name, "gw1");
    let again = Command::new(EXE).args(args).output().unwrap();
    assert_eq!(again.status.code(), Some(1), "a second gateway on one control socket");
    first.signal("KILL");
    drop(first);
    let (mut second, line) = Running::start(&args);
    assert!(serde_json::from_str::<Ready>(&line).is_ok(), "{line}");
    assert!(run(&["stop", "--control", control]).status.success());
    assert!(second.0.wait().unwrap().success());
}

/// A day short enough for CI: real processes, overlapping troubles, a gateway killed, one restarted, one stalled.
#[test]
fn a_short_bad_day_through_processes_keeps_all_rules() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("day.toml");
    std::fs::write(&file, include_str!("short-day.toml")).unwrap();
    let out = dir.path().join("out");
    let done = run(&["badday", file.to_str().unwrap(), "--out", out.to_str().unwrap()]);
    let told = text(&done.stdout);
    assert!(done.status.success(), "{told}\n{}", text(&done.stderr));
    let report: judge::Report =
        serde_json::from_slice(&std::fs::read(out.join("report.json")).unwrap()).expect("a report");
    assert!(report.kept() && report.commands > 500, "{report:#?}");
    for rule in
        ["1 one final answer", "2 no double effect", "3 drains", "4 cold nodes", "5 order", "7 limits"]
    {
        assert!(report.rules[rule].checked > 0, "{rule}: {report:#?}");
    }
    assert!(report.served > report.commands / 4, "{report:#?}");
}

#[test]
fn verbs_and_appliance_take_the_same_defaults_and_say_so() {
    let dir = tempfile::tempdir().unwrap();
    let here =
        |args: &[&str]| Command::new(EXE).args(args).current_dir(dir.path()).output().expect("it runs");
    for verb in ["appliance", "doctor", "status", "nodes", "console", "stop"] {
        let help = text(&here(&[verb, "--help"]).stdout);
        assert!(help.contains("[default: site.state]"), "{verb}: {help}");
    }
    let told = text(&here(&["doctor"]).stdout);
    assert!(told.contains("site.toml"), "{told}");
    let done = here(&["status"]);
    assert_eq!(done.status.code(), Some(1));
    assert!(text(&done.stderr).contains("site.state/appliance.sock"), "{}", text(&done.stderr));
    assert_eq!(here(&["status", "--state", "a", "--control", "b"]).status.code(), Some(2));
}
