//! Hosts that connect in order and send odd, well-framed commands, beside one that must be served throughout.
//!
//! `CROWBAY_FUZZ_SECONDS` and `CROWBAY_FUZZ_SEED` play it longer, or with another seed.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use lab::DemoReady;
use serde_json::Value;

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");

/// A demonstration that is killed when the test is over.
struct Demo(Child);

impl Demo {
    fn start() -> (Demo, DemoReady) {
        let mut command = Command::new(EXE);
        command.args(["demo", "--hold"]).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("it starts");
        let mut out = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        out.read_line(&mut line).expect("its first line");
        (Demo(child), serde_json::from_str(&line).expect("it says where it listens"))
    }

    fn leaves(&mut self) -> bool {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args(["-s", "INT", &pid]).status().expect("a signal").success());
        self.0.wait().expect("its end").success()
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn setting(name: &str, usual: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| usual.to_owned())
}

/// Guards against a command of one host that ends the gateway, or keeps it from serving the others.
#[test]
fn a_host_is_served_throughout_and_reads_what_it_wrote_beside_eight_that_send_odd_commands() {
    let (mut demo, ready) = Demo::start();
    let (seed, seconds) = (setting("CROWBAY_FUZZ_SEED", "67"), setting("CROWBAY_FUZZ_SECONDS", "10"));
    let address = ready.address.to_string();
    let args =
        ["fuzz", "--address", &address, "--subsystem", &ready.nqn, "--seed", &seed, "--seconds", &seconds];
    let done = Command::new(EXE).args(args).output().expect("it runs");
    let said = String::from_utf8_lossy(&done.stdout);
    println!("{said}{}", String::from_utf8_lossy(&done.stderr));
    assert!(done.status.success(), "{said}{}", String::from_utf8_lossy(&done.stderr));
    let report: Value = serde_json::from_str(&said).expect("a report");
    for count in ["associations", "sent", "data_requests", "terminated"] {
        assert!(report["odd"][count].as_u64() > Some(10), "{count}: {report}");
    }
    assert!(report["odd"]["completions"].as_object().expect("by code").len() > 8, "{report}");
    assert!(demo.leaves(), "the demonstration was still there and left in order");
}

/// Guards against hosts that write at full speed and keep the others' commands from being read.
#[test]
fn a_host_is_served_throughout_beside_hosts_that_write_at_full_speed() {
    let (mut demo, ready) = Demo::start();
    let address = ready.address.to_string();
    let args = ["fuzz", "--address", &address, "--subsystem", &ready.nqn, "--hosts", "0", "--floods", "6"];
    let done = Command::new(EXE).args(args).args(["--seconds", "7"]).output().expect("it runs");
    let said = String::from_utf8_lossy(&done.stdout);
    println!("{said}{}", String::from_utf8_lossy(&done.stderr));
    assert!(done.status.success(), "{said}{}", String::from_utf8_lossy(&done.stderr));
    let report: Value = serde_json::from_str(&said).expect("a report");
    assert!(report["flood"]["commands"].as_u64() > Some(1000), "{report}");
    assert!(demo.leaves(), "the demonstration was still there and left in order");
}
