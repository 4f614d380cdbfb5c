//! Connections through a relay on real sockets, under each order.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use relay::{Link, Order, Plan, PlanError, Relay, RelayLine, Side, What};

const LONG: Duration = Duration::from_secs(20);

/// An echo: what comes goes back.
fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(n) = stream.read(&mut buffer) {
                    if n == 0 || stream.write_all(&buffer[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Stage {
    folder: tempfile::TempDir,
    at: Vec<std::net::SocketAddr>,
}

impl Stage {
    fn new() -> Stage {
        let folder = tempfile::tempdir().expect("a folder");
        let target = echo();
        let link = |from: &str, to: &str| Link {
            from: from.into(),
            to: to.into(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            target,
        };
        let plan = Plan {
            control: Some(folder.path().join("c")),
            records: Some(folder.path().join("relay.jsonl")),
            seed: 1,
            link: vec![link("g1", "n1"), link("g1", "n2")],
            order: Vec::new(),
        };
        let mut relay = Relay::open(&plan).expect("it opens");
        let at = relay.listening().iter().map(|l| l.address).collect();
        thread::spawn(move || relay.run());
        Stage { folder, at }
    }

    fn order(&self, to: &str, what: What) -> (usize, usize) {
        let order = Order::new("g*", to, what);
        control::call(&self.folder.path().join("c"), &order, LONG).expect("it is carried out")
    }

    fn connect(&self, link: usize) -> TcpStream {
        let stream = TcpStream::connect(self.at[link]).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    fn records(&self) -> Vec<RelayLine> {
        records::read(&self.folder.path().join("relay.jsonl")).expect("its records")
    }
}

fn ask(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text)?;
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer)?;
    Ok(answer)
}

/// Nothing comes for a while: the one thing here that only time can show.
fn nothing_comes(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(Duration::from_millis(60))).expect("a time-out");
    let read = stream.read(&mut [0]);
    assert!(read.is_err(), "{read:?}");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
}

#[test]
fn bytes_pass_and_a_hold_one_way_keeps_them_until_it_lets_go() {
    let stage = Stage::new();
    let (mut one, mut two) = (stage.connect(0), stage.connect(1));
    let large: Vec<u8> = (0..3_000_000u32).map(|n| n as u8).collect();
    let mut writer = one.try_clone().expect("a handle");
    let sent = large.clone();
    let sends = thread::spawn(move || writer.write_all(&sent));
    let mut back = vec![0; large.len()];
    one.read_exact(&mut back).expect("all of it");
    sends.join().expect("no panic").expect("sent");
    assert!(back == large);
    assert_eq!(stage.order("n1", What::Hold(Side::Back)), (1, 1));
    one.write_all(b"held").expect("sent");
    nothing_comes(&mut one);
    assert_eq!(ask(&mut two, b"other").expect("an answer"), b"other");
    stage.order("*", What::Release(Side::Both));
    let mut answer = [0; 4];
    one.read_exact(&mut answer).expect("it comes later");
    assert_eq!(&answer, b"held");
}

#[test]
fn a_delay_a_break_in_the_middle_and_a_reset() {
    let stage = Stage::new();
    let mut one = stage.connect(0);
    stage.order("n1", What::Delay { side: Side::Forth, us: 80_000, jitter_us: 1000 });
    let begun = Instant::now();
    ask(&mut one, b"late").expect("an answer");
    assert!(begun.elapsed() >= Duration::from_millis(80));
    stage.order("n1", What::Clear);
    stage.order("n1", What::BreakAfter { side: Side::Back, bytes: 3 });
    one.write_all(b"frame").expect("sent");
    let mut answer = Vec::new();
    let ended = one.read_to_end(&mut answer);
    assert!(ended.is_err() && answer.len() <= 3, "{ended:?} {answer:?}");
    let mut two = stage.connect(1);
    ask(&mut two, b"x").expect("an answer");
    stage.order("n2", What::Reset);
    assert!(matches!(ask(&mut two, b"x"), Err(e) if e.kind() != std::io::ErrorKind::WouldBlock));
    let broken = |l: &RelayLine| matches!(l, RelayLine::End { why, back, .. } if why == "broken by order" && *back == 7);
    assert!(stage.records().iter().any(broken), "{:?}", stage.records());
}

#[test]
fn refused_only_the_handshake_and_led_elsewhere() {
    let stage = Stage::new();
    stage.order("n1", What::Refuse(true));
    assert!(TcpStream::connect(stage.at[0]).is_err());
    stage.order("n1", What::Refuse(false));
    assert_eq!(ask(&mut stage.connect(0), b"back").expect("an answer"), b"back");
    stage.order("n1", What::Handshake(true));
    let mut mute = stage.connect(0);
    mute.write_all(b"hello").expect("taken by the system");
    nothing_comes(&mut mute);
    stage.order("n1", What::Handshake(false));
    let mut answer = [0; 5];
    mute.read_exact(&mut answer).expect("carried now");
    // Another node behind the same address.
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    stage.order("n1", What::Lead(other.local_addr().expect("its address")));
    let mut moved = stage.connect(0);
    moved.write_all(b"y").expect("sent");
    let (mut taken, _) = other.accept().expect("it leads here");
    let mut byte = [0];
    taken.read_exact(&mut byte).expect("carried");
    assert_eq!(&byte, b"y");
    // An end passes, too.
    drop(moved);
    assert_eq!(taken.read(&mut byte).expect("an end"), 0);
}

#[test]
fn a_plan_that_does_not_fit_is_told_with_its_file_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("plan.toml");
    let load = |text: &str| {
        std::fs::write(&path, text).expect("a file");
        Plan::load(&path).expect_err("it does not fit").to_string()
    };
    let good = "[[link]]\nfrom = \"g1\"\nto = \"n1\"\ntarget = \"127.0.0.1:9\"\n";
    for (text, names) in [
        ("seed = 1\n".to_owned(), "link"),
        (format!("{good}{good}"), "twice"),
        (good.replace("127.0.0.1:9", "10.0.0.1:9"), "loopback"),
        (format!("{good}[[order]]\nat_ms = 1\nto = \"n7\"\nwhat = \"reset\"\n"), "n7"),
        (format!("{good}[[order]]\nat_ms = 1\nwhat = {{ melt = 1 }}\n"), "melt"),
    ] {
        let said = load(&text);
        assert!(said.contains("plan.toml") && said.contains(names), "{said}");
    }
    assert!(matches!(Plan::load(Path::new("/nowhere/plan.toml")), Err(PlanError::Io(..))));
    std::fs::write(
        &path,
        format!("{good}[[order]]\nat_ms = 5\nfrom = \"g*\"\nwhat = {{ delay = {{ us = 5 }} }}\n[[order]]\nat_ms = 9\nwhat = {{ hold = \"forth\" }}\n"),
    )
    .expect("a file");
    let plan = Plan::load(&path).expect("it fits");
    assert_eq!(plan.order[1].what, What::Hold(Side::Forth));
}

#[test]
fn orders_of_the_plan_are_carried_out_at_their_times() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("plan.toml");
    let records = folder.path().join("r.jsonl");
    let target = echo();
    std::fs::write(
        &path,
        format!(
            "records = {records:?}\n[[link]]\nfrom = \"a\"\nto = \"b\"\ntarget = \"{target}\"\n\
             [[order]]\nat_ms = 40\nwhat = \"reset\"\n[[order]]\nat_ms = 20\nwhat = {{ hold = \"both\" }}\n"
        ),
    )
    .expect("a file");
    let mut relay = Relay::open(&Plan::load(&path).expect("it fits")).expect("it opens");
    let at = relay.listening()[0].address;
    thread::spawn(move || relay.run());
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    assert!(stream.read(&mut [0]).is_err(), "it is reset");
    // An order is written down once it is carried out: its effect may be seen first.
    let carried_out = || -> Vec<What> {
        let lines: Vec<RelayLine> = records::read(&records).expect("its records");
        let order = |l| if let RelayLine::Order { order, .. } = l { Some(order.what) } else { None };
        lines.into_iter().filter_map(order).collect()
    };
    let deadline = std::time::Instant::now() + LONG;
    while carried_out().len() < 2 && std::time::Instant::now() < deadline {
        thread::yield_now();
    }
    assert_eq!(carried_out(), [What::Hold(Side::Both), What::Reset]);
}
