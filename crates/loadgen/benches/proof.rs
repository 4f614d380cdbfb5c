//! The generator against a stand-in that sleeps on purpose: fixed, two-valued, and a stall of 5 s.
//!
//! What it reports must be within 1 ms of what the script and the stall's own record say; the longest latency, within 1 ms
//! beyond the generator's own greatest lateness, which it tells and which counts from the intended time as a client's wait
//! would. Exits with 1 if it is not. Wants a quiet machine: what the system takes is in every figure.

#[path = "../tests/common/mod.rs"]
mod common;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use common::{phase, scenario, sleeper};
use emulator::Fault;
use loadgen::{Micros, Results, Shape, run};
use records::{NodeLine, Recorder};

const MS: Micros = 1000;

/// The percentiles of what the script says, by the same definition as the histogram's.
fn expected(mut all: Vec<Micros>) -> [Micros; 4] {
    all.sort_unstable();
    let at = |q: f64| all[((all.len() as f64 * q).ceil() as usize).clamp(1, all.len()) - 1];
    [at(0.5), at(0.99), at(0.999), at(1.0)]
}

fn compare(name: &str, results: &Results, want: [Micros; 4]) -> bool {
    let (l, own) = (&results.latency, results.lateness.max as Micros);
    let told = [l.p50, l.p99, l.p999, l.max].map(|us| us as Micros);
    let off: Vec<Micros> = told.iter().zip(&want).map(|(a, b)| a - b).collect();
    println!(
        "{name:12} p50, p99, p99.9, max: told {told:?} us, script {want:?} us, off by {off:?}; itself late {own} us at most"
    );
    off[..3].iter().all(|o| o.abs() <= MS) && off[3].abs() <= MS + own
}

fn scripted(name: &str, script: &[Micros], rate: f64, seconds: f64) -> bool {
    let node = sleeper(script.to_vec(), Recorder::none());
    let scenario = scenario(&node, vec![phase(Shape::Steady, seconds, rate)]);
    let results = run(&scenario, &AtomicBool::new(false), &mut |_| {}).expect("it runs");
    assert!(results.valid, "the generator was late: {:?}", results.lateness);
    let all = (0..results.wanted as usize).map(|n| script[n % script.len()]).collect();
    compare(name, &results, expected(all))
}

/// A stall of 5 s in a load of 20 s.
fn stalled() -> bool {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("node.jsonl");
    let node = sleeper(vec![2 * MS], Recorder::append(&file).expect("a file"));
    let (rate, seconds) = (10.0, 20.0);
    let scenario = scenario(&node, vec![phase(Shape::Steady, seconds, rate)]);
    let results = std::thread::scope(|scope| {
        let runs = scope.spawn(|| run(&scenario, &AtomicBool::new(false), &mut |_| {}).expect("it runs"));
        std::thread::sleep(Duration::from_secs(3));
        node.fault(Fault::Stall(true));
        std::thread::sleep(Duration::from_secs(5));
        node.fault(Fault::Stall(false));
        runs.join().expect("it ends")
    });
    let lines: Vec<NodeLine> = records::read(&file).expect("its record");
    let arrived = lines.iter().find_map(|l| match l {
        NodeLine::Arrive { t, .. } => Some(*t),
        _ => None,
    });
    let switched = lines.iter().filter_map(|l| match l {
        NodeLine::Fault { t, .. } => Some(*t),
        _ => None,
    });
    let start = arrived.expect("a command came");
    let stall: Vec<Micros> = switched.map(|t| t - start).collect();
    let (from, to, work) = (stall[0], stall[1], 2 * MS);
    let told = |n: u64| {
        let intended = (n as f64 / rate * 1e6) as Micros;
        match intended {
            t if t + work <= from || t >= to => work,
            t if t < from => work + to - from,
            t => to - t + work,
        }
    };
    compare("stall of 5 s", &results, expected((0..results.wanted).map(told).collect()))
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let mut two = vec![2 * MS; 19];
    two.push(40 * MS);
    let good =
        [scripted("fixed", &[5 * MS], 500.0, 10.0), scripted("two-valued", &two, 500.0, 10.0), stalled()];
    if good.contains(&false) {
        eprintln!("off by more than 1 ms");
        std::process::exit(1);
    }
}
