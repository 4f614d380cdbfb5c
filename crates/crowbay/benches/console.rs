//! What a console costs its gateway: the same load with and without one, in pairs.
//!
//! A whole site runs as processes (a gateway, two stand-in nodes without work, the supervisor); the console runs on a
//! pseudo-terminal of 80 by 24 and draws. `CROWBAY_PAIRS` pairs of `CROWBAY_SECONDS` each, 15 and 1 if not set. Which of a
//! pair is first alternates.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use appliance::wire::Question;
use appliance::{Client, SiteView};
use portable_pty::{CommandBuilder, PtySize, native_pty_system};
use records::Op;
use settings::Site;

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");
const DEPTH: u32 = 32;

fn main() {
    // `cargo test --benches` and the like only want to know that it runs.
    let short = std::env::args().any(|a| a == "--test");
    let (pairs, seconds) =
        if short { (1.0, 0.1) } else { (size("CROWBAY_PAIRS", 15.0), size("CROWBAY_SECONDS", 1.0)) };
    let dir = tempfile::Builder::new().prefix("crb").tempdir().expect("a folder");
    let site = write_site(dir.path());
    let state = dir.path().join("s");
    let mut supervisor = Command::new(EXE)
        .arg("appliance")
        .arg("--config")
        .arg(dir.path().join("site.toml"))
        .arg("--state")
        .arg(&state)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let address = address(&state);
    let rates =
        (0..pairs as u32).map(|n| pair(&site, &state, address, Duration::from_secs_f64(seconds), n % 2 == 0));
    let rates: Vec<(f64, f64)> = rates.collect();
    report(&rates);
    stop(&state, &mut supervisor);
}

fn size(name: &str, usual: f64) -> f64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

fn write_site(dir: &Path) -> Site {
    let file = dir.join("site.toml");
    let args = ["--name", "t", "--volumes", "1", "--nodes", "2", "--gateways", "1", "--port", "4420"];
    let done = Command::new(EXE).arg("init").arg(&file).args(args).output().expect("it runs");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    let text = std::fs::read_to_string(&file).expect("it was written");
    let address = loopback::address().expect("an address");
    let text = text.replace("127.0.0.1:4420", &address.to_string());
    let text = text.replace("base_us = 500", "base_us = 0").replace("us_per_kib = 20", "us_per_kib = 0");
    let text =
        text.replace("rate = 2000 ", "rate = 1000000 ").replace("reserve = 1000 ", "reserve = 1000000 ");
    std::fs::write(&file, &text).expect("it can be written");
    Site::parse(&text).expect("well formed")
}

/// The gateway's address once everything is up.
fn address(state: &Path) -> SocketAddr {
    let end = Instant::now() + Duration::from_secs(30);
    let up = |v: &SiteView| {
        let linked = v.nodes.iter().all(|n| n.links == 1 && n.follows == 1);
        let status = v.gateways.first()?.status.as_ref()?;
        linked.then(|| status.address.parse().ok())?
    };
    loop {
        let view =
            Client::connect(&state.join("appliance.sock"), "bench").ok().and_then(|mut c| c.view().ok());
        if let Some(address) = view.as_ref().and_then(up) {
            return address;
        }
        assert!(Instant::now() < end, "the site does not come up: {view:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Rates without and with a console.
fn pair(site: &Site, state: &Path, address: SocketAddr, span: Duration, console_first: bool) -> (f64, f64) {
    let measure = || lab::point(site, address, Op::Read, 4, DEPTH, span).expect("it is served").rate;
    let with = || {
        let mut console = Console::open(state);
        let rate = measure();
        console.close();
        rate
    };
    if console_first {
        let with = with();
        (measure(), with)
    } else {
        (measure(), with())
    }
}

struct Console {
    child: Box<dyn portable_pty::Child + Send + Sync>,
    _master: Box<dyn portable_pty::MasterPty + Send>,
}

impl Console {
    fn open(state: &Path) -> Console {
        let size = PtySize { rows: 24, cols: 80, pixel_width: 0, pixel_height: 0 };
        let pair = native_pty_system().openpty(size).expect("a pseudo-terminal");
        let mut command = CommandBuilder::new(EXE);
        command.arg("console");
        command.arg("--state");
        command.arg(state);
        command.env("TERM", "xterm");
        let child = pair.slave.spawn_command(command).expect("it starts");
        drop(pair.slave);
        let mut reader = pair.master.try_clone_reader().expect("its output");
        let (told, shown) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let (mut buffer, mut seen) = ([0; 4096], Vec::new());
            while let Ok(n @ 1..) = reader.read(&mut buffer) {
                if seen.len() < 65_536 {
                    seen.extend_from_slice(&buffer[..n]);
                }
                if String::from_utf8_lossy(&seen).contains("node2") {
                    let _ = told.send(()); // Only the first is waited for.
                }
            }
        });
        shown.recv_timeout(Duration::from_secs(20)).expect("it draws");
        Console { child, _master: pair.master }
    }

    fn close(&mut self) {
        let _ = self.child.kill(); // It may have left already.
        let _ = self.child.wait();
    }
}

fn report(rates: &[(f64, f64)]) {
    println!("{:>12} {:>12} {:>7}", "without/s", "with/s", "ratio");
    let mut ratios: Vec<f64> = Vec::new();
    for (without, with) in rates {
        println!("{without:>12.0} {with:>12.0} {:>7.4}", with / without);
        ratios.push(with / without);
    }
    ratios.sort_by(f64::total_cmp);
    let at = |q: f64| ratios[((ratios.len() - 1) as f64 * q).round() as usize];
    println!(
        "median ratio {:.4}; quartiles {:.4} and {:.4}; {} pairs",
        at(0.5),
        at(0.25),
        at(0.75),
        ratios.len()
    );
}

fn stop(state: &Path, supervisor: &mut Child) {
    if let Ok(mut client) = Client::connect(&state.join("appliance.sock"), "bench") {
        let _ = client.ask(Question::Stop); // It ends with the answer or without.
    }
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end && matches!(supervisor.try_wait(), Ok(None)) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = supervisor.kill(); // It has left, but for a fault.
    let _ = supervisor.wait();
}
