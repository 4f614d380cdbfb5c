//! Whole runs against a stand-in node, and each hard case by name. Bounds on time are lower bounds only: a busy machine
//! makes nothing faster.

mod common;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use common::{class, phase, scenario, sleeper};
use emulator::Fault;
use loadgen::*;
use records::Recorder;

fn play(scenario: &Scenario) -> Results {
    assert_eq!(scenario.problems(), Vec::<String>::new());
    run(scenario, &AtomicBool::new(false), &mut |_| {}).expect("it runs")
}

fn ends(r: &Results) -> u64 {
    r.ends.values().sum()
}

fn of(r: &Results, end: End) -> u64 {
    r.ends.get(&end).copied().unwrap_or(0)
}

#[test]
fn a_stall_shows_in_every_command_that_was_due_in_it() {
    let node = sleeper(Vec::new(), Recorder::none());
    let scenario = scenario(&node, vec![phase(Shape::Steady, 3.0, 100.0)]);
    let results = std::thread::scope(|scope| {
        let runs = scope.spawn(|| play(&scenario));
        std::thread::sleep(Duration::from_millis(800));
        node.fault(Fault::Stall(true));
        std::thread::sleep(Duration::from_millis(1500));
        node.fault(Fault::Stall(false));
        runs.join().unwrap()
    });
    assert_eq!((results.wanted, of(&results, End::Served)), (300, 300));
    assert!(results.latency.max >= 1_400_000, "{:?}", results.latency);
    // 150 commands were due in the stall; the wait of the median of them is half of it.
    let p75 = results.percentiles.iter().find(|p| p.0 == 75.0).unwrap().1;
    assert!(p75 >= 500_000, "{:?}", results.percentiles);
}

#[test]
fn what_is_written_is_checked_when_it_is_read_and_damage_is_told() {
    let node = sleeper(Vec::new(), Recorder::none());
    let mut s = scenario(&node, vec![phase(Shape::Poisson, 1.5, 400.0)]);
    s.volume[0].blocks = 8;
    s.class.push(class("write", Op::Write));
    s.class.push(class("flush", Op::Flush));
    let results = play(&s);
    assert_eq!(of(&results, End::Served), results.wanted);
    assert!(results.blocks_checked > 100 && results.data_is_right(), "{results:?}");
    node.fault(Fault::Corrupt(true));
    let damaged = play(&s);
    assert!(damaged.torn > 0, "{damaged:?}");
}

#[test]
fn a_host_that_dies_loses_what_it_had_out_and_comes_back() {
    let node = sleeper(vec![20_000], Recorder::none());
    let mut s = scenario(&node, vec![phase(Shape::Steady, 2.0, 500.0)]);
    s.load.host_dies_every_s = 0.3;
    s.class[0].repeats = 3;
    let results = play(&s);
    assert!(results.lost_connections >= 4, "{results:?}");
    assert!(results.connections > results.lost_connections, "it comes back");
    assert_eq!(ends(&results), results.wanted);
    assert_eq!(of(&results, End::Served), results.wanted, "reads are repeated: {:?}", results.ends);
    let mut writes = s.clone();
    writes.class = vec![Class { repeats: 3, ..class("write", Op::Write) }];
    let results = play(&writes);
    assert!(of(&results, End::Lost) > 0, "a write of which nothing is known is not: {:?}", results.ends);
    assert!(results.data_is_right());
}

#[test]
fn an_impatient_client_gives_a_try_up_and_its_late_answer_goes_to_nobody() {
    // Each command's first try takes 300 ms, its repeat nothing.
    let node = sleeper(vec![300_000, 10], Recorder::none());
    let mut s = scenario(&node, vec![phase(Shape::Steady, 1.0, 4.0)]);
    (s.class[0].try_ms, s.class[0].repeats) = (50.0, 1);
    let results = play(&s);
    assert_eq!(of(&results, End::Served), 4, "{results:?}");
    assert!(results.classes[0].tries > 4, "some were repeated");
    assert!(results.latency.max >= 50_000, "from the intended time of the first: {:?}", results.latency);
}

#[test]
fn a_client_whose_patience_is_over_gives_up_in_time() {
    // Every command takes far longer than its client waits.
    let node = sleeper(vec![60_000_000], Recorder::none());
    let mut s = scenario(&node, vec![phase(Shape::Steady, 0.5, 20.0)]);
    s.class[0].aim_ms = 50.0;
    s.class[0].patience_ms = 200.0;
    let results = play(&s);
    assert_eq!((results.wanted, of(&results, End::GaveUp)), (10, 10), "{:?}", results.ends);
    assert_eq!(results.worth_part, 0.0);
}

#[test]
fn nobody_there_and_too_many_connections_are_told_before_the_load() {
    let node = sleeper(Vec::new(), Recorder::none());
    let mut s = scenario(&node, vec![phase(Shape::Steady, 0.1, 10.0)]);
    s.load.hosts = 10_000;
    s.load.queues = 64;
    let told = run(&s, &AtomicBool::new(false), &mut |_| {}).unwrap_err();
    assert!(matches!(told, RunError::Files { .. }) && told.to_string().contains("ulimit"), "{told}");
}

#[test]
fn results_are_kept_as_json_csv_table_and_charts() {
    let node = sleeper(vec![1000, 2000, 9000], Recorder::none());
    let s = scenario(&node, vec![phase(Shape::Poisson, 2.2, 100.0)]);
    let results = play(&s);
    let dir = tempfile::tempdir().unwrap();
    save(&results, dir.path()).unwrap();
    let json: Results =
        serde_json::from_slice(&std::fs::read(dir.path().join("results.json")).unwrap()).unwrap();
    assert_eq!(json, results);
    let csv = std::fs::read_to_string(dir.path().join("seconds.csv")).unwrap();
    assert_eq!(csv.lines().count(), results.seconds.len() + 1);
    let served: u64 = csv.lines().skip(1).map(|l| l.split(',').nth(2).unwrap().parse::<u64>().unwrap()).sum();
    assert_eq!(served, of(&results, End::Served));
    for chart in ["latency", "percentiles", "answers", "worth"] {
        let svg = std::fs::read_to_string(dir.path().join(format!("{chart}.svg"))).unwrap();
        assert!(svg.starts_with("<svg") && svg.contains("polyline"), "{chart}");
    }
}
