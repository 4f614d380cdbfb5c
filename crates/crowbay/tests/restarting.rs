//! Starts and ends: signals at every moment, a new life at once under the same address, and nothing owed at the exit.

mod stage;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use stage::asked::Asked;
use stage::departure::{sent, settle};
use stage::discovery::Discovery;
use stage::puppet::Puppet;
use stage::request::{self, ONCE, READ};
use stage::starting::Starting;
use stage::*;

/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at the most, and 0.7 s.
const KILLED: Duration = Duration::from_millis(3700);
/// Nine in ten that start are ready within this.
const READY: Duration = Duration::from_secs(10);

fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A node that serves every request, and its address.
fn node() -> SocketAddr {
    let node = Arc::new(Node::default());
    node.start()
}

fn settings(discovery: SocketAddr, known: &Value) -> Value {
    request::site(discovery, known, true)
}

/// Asks whether it is ready; how long that took.
fn until_ready(address: SocketAddr, begun: Instant) -> Duration {
    until("it is ready", || {
        let ready = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let answer = Client::new(address).and_then(|mut c| c.ask(ready));
        answer.is_ok_and(|a| a.is_some_and(|a| a.status == 200))
    });
    begun.elapsed()
}

/// Asks until it is served.
fn until_served(address: SocketAddr) {
    let mut n = 0;
    until("a request is served", || {
        n += 1;
        let answer = Client::new(address).and_then(|mut c| c.ask(&request::read(&format!("served-{n}"))));
        answer.is_ok_and(|a| a.is_some_and(|a| a.status == 200))
    });
}

/// It ends by itself before SIGKILL would come.
fn ends_in_time(process: &mut Process, told: Instant) {
    assert_eq!(process.end().code(), Some(0));
    let took = told.elapsed();
    assert!(took < KILLED, "SIGKILL would have found it after {took:?}");
}

/// An agent that says half of a list and no more.
fn half_a_list(list: &Value, indented: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let (count, text) = (calls.clone(), if indented { format!("{list:#}") } else { list.to_string() });
    let address = serve(move |mut stream| {
        if next_request(&mut stream, &mut http1::RequestDecoder::new(LIMITS)).is_none() {
            return;
        }
        let half = &text[..text.len() / 2];
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{:x}\r\n{half}\r\n", half.len()).as_bytes());
        count.fetch_add(1, Ordering::SeqCst);
        let _ = stream.read(&mut [0]);
    });
    (address, calls)
}

#[test]
fn told_to_leave_while_a_list_is_being_read() {
    let at = node();
    for indented in [false, true] {
        let known = list(1, &[("a", at)]);
        let (agent, calls) = half_a_list(&list(2, &[("a", at), ("b", nobody())]), indented);
        let mut process = Process::start(&settings(agent, &known));
        until("half a list is told", || calls.load(Ordering::SeqCst) > 0);
        until_served(process.address);
        process.signal(Signal::SIGTERM);
        let told = Instant::now();
        until_served(process.address);
        ends_in_time(&mut process, told);
    }
}

#[test]
fn told_to_leave_twice_with_a_new_configuration_beside_it() {
    let at = node();
    let agent = Arc::new(Discovery::default());
    agent.set("a", at, "in_service");
    let discovery = agent.start();
    let known = list(1, &[("a", at)]);
    let orders: [&[Signal]; 5] = [
        &[Signal::SIGTERM, Signal::SIGTERM],
        &[Signal::SIGTERM, Signal::SIGHUP],
        &[Signal::SIGHUP, Signal::SIGTERM],
        &[Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP],
        &[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP],
    ];
    thread::scope(|scope| {
        for (n, signals) in orders.iter().enumerate() {
            let known = &known;
            scope.spawn(move || {
                // Where it is told of another discovery, that one says nothing, or is not there.
                let mut process = Process::start(&settings(discovery, known));
                until_served(process.address);
                let other = if n % 2 == 0 { nobody() } else { discovery };
                std::fs::write(process.file(), settings(other, known).to_string()).expect("a file");
                let mut stays = Client::new(process.address).expect("a connection");
                signals.iter().for_each(|s| process.signal(*s));
                let told = Instant::now();
                let answer = stays.ask(&request::read("stays")).expect("an answer").expect("an answer");
                assert_eq!(answer.status, 200);
                until_served(process.address);
                drop(stays);
                ends_in_time(&mut process, told);
            });
        }
    });
}

#[test]
fn told_to_leave_before_it_is_ready() {
    // Its configuration does not come: it waits for it.
    let folder = tempfile::tempdir().expect("a folder");
    let pipe = Command::new("mkfifo").arg(folder.path().join("config.json")).status();
    assert!(pipe.expect("a pipe").success());
    let mut starting = Starting::within(folder, &[]);
    let file = format!("/proc/{}/stat", starting.process.child.id());
    until("it waits", || std::fs::read_to_string(&file).is_ok_and(|s| s.contains("(crowbay) S ")));
    starting.process.signal(Signal::SIGTERM);
    let status = starting.process.end();
    assert!(status.code() == Some(0) || status.signal() == Some(Signal::SIGTERM as i32), "{status:?}");

    // At any moment of its start.
    let known = list(1, &[("a", node())]);
    for n in 0..40 {
        let mut starting = Starting::new(&settings(nobody(), &known), &[]);
        let told = Instant::now() + Duration::from_micros(250 * n);
        while Instant::now() < told {
            std::hint::spin_loop();
        }
        starting.process.signal(Signal::SIGTERM);
        let status = starting.process.end();
        assert!(
            status.code() == Some(0) || status.signal() == Some(Signal::SIGTERM as i32),
            "{n}: {status:?}"
        );
        assert!(told.elapsed() < KILLED, "{n}: {:?}", told.elapsed());
    }
}

#[test]
fn killed_and_started_at_once_under_the_same_address() {
    let puppet = Puppet::start();
    let (at, own) = (puppet.address, loopback::address().expect("an address"));
    let mut config = settings(nobody(), &list(1, &[("a", at)]));
    config["listen"] = json!(own.to_string());
    let mut slowest = Duration::ZERO;
    let mut held = Vec::new();
    for life in 0..8 {
        let begun = Instant::now();
        let mut process = Process::start(&config);
        assert_eq!(process.address, own);
        slowest = slowest.max(until_ready(own, begun));
        // It dies with connections of every kind: resting, half a request, a request that is out.
        let rests = sent(own, "");
        let half = sent(own, "GET /look");
        let out = sent(own, &request::read(&format!("out-{life}")));
        held.push((puppet.next(), rests, half, out));
        settle(own);
        process.signal(Signal::SIGKILL);
        assert_eq!(process.end().signal(), Some(Signal::SIGKILL as i32));
    }
    println!("killed and started again: ready after {slowest:?} at most");
    assert!(slowest < READY, "{slowest:?}");
}

#[test]
fn it_starts_with_discovery_down_refusing_or_silent() {
    let at = node();
    let known = list(1, &[("a", at)]);
    // Nobody listens; nobody accepts; somebody accepts and says nothing; somebody answers with an error.
    let deaf = TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent = serve(|mut stream| while stream.read(&mut [0; 64]).is_ok_and(|n| n > 0) {});
    let broken = serve(|mut stream| {
        let _ = stream.write_all(&http1::encode_response(500, &[], b"", false));
    });
    for discovery in [nobody(), deaf.local_addr().expect("its address"), silent, broken] {
        let begun = Instant::now();
        let process = Process::start(&settings(discovery, &known));
        let took = until_ready(process.address, begun);
        assert!(took < READY, "{discovery}: {took:?}");
        until_served(process.address);
    }
}

#[test]
fn it_starts_knowing_nobody_and_serves_once_it_is_told() {
    let agent = Arc::new(Discovery::default());
    let begun = Instant::now();
    let process = Process::start(&settings(agent.start(), &list(0, &[])));
    assert!(until_ready(process.address, begun) < READY);
    // What it cannot send is refused in time, as it never ran.
    let text = request::text(ONCE, "nowhere", 600, "", "");
    let answer = Client::new(process.address).and_then(|mut c| c.ask(&text)).expect("an answer");
    assert_eq!(answer.expect("an answer").status, 503);
    agent.set("a", node(), "in_service");
    until_served(process.address);
}

#[test]
fn members_that_started_ahead_of_the_clock_are_served_by() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as i64;
    for ahead_ms in [500, 60_000, 3_600_000, i64::MAX / 2000] {
        let mut known = list(1, &[("a", node())]);
        known["members"][0]["up_since_ms"] = json!(now.saturating_add(ahead_ms));
        let mut config = settings(nobody(), &known);
        config["settings"]["familyInfo"]["coldBears"] = json!(20.0);
        let begun = Instant::now();
        let process = Process::start(&config);
        assert!(until_ready(process.address, begun) < READY);
        until_served(process.address);
        println!("ahead by {ahead_ms} ms: served after {:?}", begun.elapsed());
    }
}

/// Starts so many at once under a command; when each was ready.
fn readiness(count: usize, under: &[&str]) -> Vec<Duration> {
    let known = list(1, &[("a", node())]);
    let begun = Instant::now();
    let starts: Vec<Starting> =
        (0..count).map(|_| Starting::new(&settings(nobody(), &known), under)).collect();
    let waits = starts.into_iter().map(|s| {
        thread::spawn(move || {
            let process = s.up();
            let took = until_ready(process.address, begun);
            (process, took)
        })
    });
    let waits: Vec<_> = waits.collect();
    let mut ready: Vec<(Process, Duration)> =
        waits.into_iter().map(|w| w.join().expect("no panic")).collect();
    ready.sort_by_key(|r| r.1);
    ready.iter().map(|r| r.1).collect()
}

#[test]
fn nine_in_ten_of_thirty_that_start_at_once_are_ready_in_time() {
    let mut cases: Vec<(&str, Vec<&str>)> = vec![("on all cores", Vec::new())];
    if Command::new("taskset").arg("--version").output().is_ok_and(|o| o.status.success()) {
        cases.push(("on one core together", vec!["taskset", "-c", "0"]));
    }
    for (name, under) in cases {
        let ready = readiness(30, &under);
        let at = |part: usize| ready[(ready.len() * part).div_ceil(10) - 1];
        println!(
            "30 {name}: first {:?}, half {:?}, nine in ten {:?}, last {:?}",
            ready[0],
            at(5),
            at(9),
            at(10)
        );
        assert!(at(9) < READY, "{name}: {ready:?}");
    }
}

#[test]
fn what_was_taken_before_it_was_told_to_leave_is_answered_before_it_ends() {
    let puppet = Puppet::start();
    let mut process = Process::start(&settings(nobody(), &list(1, &[("a", puppet.address)])));
    let address = process.address;
    // One whose node answers late, one whose node never does, one whose node breaks off, one that is half there.
    let ids = ["late", "never", "broken"];
    let clients: Vec<TcpStream> =
        ids.iter().map(|id| sent(address, &request::text(ONCE, id, 2500, "", ""))).collect();
    let mut asked = Vec::new();
    for _ in ids {
        asked.push(puppet.next());
    }
    asked.sort_by_key(|a| ids.iter().position(|id| *id == a.id));
    let text = request::text(READ, "half", 2500, "", "");
    let mut half = sent(address, &text[..text.len() - 3]);
    settle(address);
    process.signal(Signal::SIGTERM);
    let told = Instant::now();
    settle(address);
    half.write_all(&text.as_bytes()[text.len() - 3..]).expect("written");
    let [late, never, broken]: [Asked; 3] = asked.try_into().ok().expect("three");
    late.serve();
    broken.reset();
    puppet.next().serve();
    let said = |mut stream: TcpStream| {
        let mut said = Vec::new();
        stream.read_to_end(&mut said).map(|_| String::from_utf8_lossy(&said).into_owned()).expect("an answer")
    };
    let said: Vec<String> = clients.into_iter().chain([half]).map(said).collect();
    drop(never);
    ends_in_time(&mut process, told);
    assert!(said[0].starts_with("HTTP/1.1 200 ") && said[0].ends_with("late"), "{said:?}");
    assert!(said[1].starts_with("HTTP/1.1 502 "), "{said:?}");
    assert!(said[2].starts_with("HTTP/1.1 502 "), "{said:?}");
    assert!(said[3].starts_with("HTTP/1.1 200 ") && said[3].ends_with("half"), "{said:?}");
}
