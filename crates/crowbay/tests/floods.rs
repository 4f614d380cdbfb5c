//! Floods: bad clients get an error or a close in time, memory and descriptors are bounded, and usual clients are served on.

mod stage;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use stage::asked::reset;
use stage::departure::{sent, settle};
use stage::flood::{Owed, flood};
use stage::gauge::{Gauge, descriptors, memory_kb};
use stage::puppet::Puppet;
use stage::request;
use stage::starting::Starting;
use stage::usual::Usual;
use stage::*;

/// What this machine grants, as its configuration says.
const MEMORY_MB: u64 = 64;
const SOCKETS: usize = 256;
/// A bad client is owed an error or a close within this, by the page; with 60 MB to send, within the second.
const OWED: Duration = Duration::from_secs(3);
const OWED_LONG: Duration = Duration::from_secs(6);
/// Of the usual clients' requests, served in time beside a flood.
const SHARE: f64 = 0.9;

struct Site {
    process: Process,
    name: &'static str,
}

impl Site {
    /// A gateway that the system grants no more descriptors than its configuration says, before a node that serves.
    fn new(name: &'static str) -> Site {
        let puppet = Puppet::start();
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut site: Value = request::site(nobody, &list(1, &[("a", puppet.address)]), true);
        site["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
        let limit = format!("ulimit -n {SOCKETS}; exec \"$0\" \"$@\"");
        let process = Starting::new(&site, &["sh", "-c", &limit]).up();
        let _seen = puppet.play(|mut asked| {
            if asked.id.starts_with("large") {
                asked.say(&http1::encode_response(200, &[], &vec![b'y'; 64 << 10], true));
                asked.next();
            } else {
                asked.serve();
            }
        });
        Site { process, name }
    }

    /// Plays a flood beside usual clients that were measured alone before, and holds the gateway to its limits.
    fn bears<T>(&self, flood: impl FnOnce(SocketAddr) -> T) -> T {
        let (at, pid) = (self.process.address, self.process.child.id());
        let before = descriptors(pid);
        let alone = Usual::start(4, at, "alone").end();
        let (gauge, beside) = (Gauge::new(pid), Usual::start(4, at, "beside"));
        let result = flood(at);
        let beside = beside.end();
        let (memory, most) = gauge.most();
        println!(
            "{}: share alone {:.3} ({:.0}/s), beside {:.3} ({:.0}/s, {} asked); {memory} KB, {most} descriptors at most",
            self.name,
            alone.part(),
            alone.per_second,
            beside.part(),
            beside.per_second,
            beside.asked
        );
        assert!(memory < MEMORY_MB << 10, "{}: {memory} KB", self.name);
        assert!(most <= SOCKETS, "{}: {most} descriptors", self.name);
        assert!(alone.part() >= SHARE && beside.part() >= SHARE, "{}: {alone:?}, {beside:?}", self.name);
        settle(at);
        // The usual clients' connections are gone; those to nodes may stay.
        until("descriptors are back", || descriptors(pid) <= before + 16);
        until("memory is back", || memory_kb(pid) < (MEMORY_MB << 10) * 3 / 4);
        result
    }
}

/// Many of these at a time, each on a thread; what each was owed and got.
fn crowd(count: usize, each: impl Fn(usize) -> Owed + Sync) -> Vec<Owed> {
    thread::scope(|scope| {
        let each = &each;
        let running: Vec<_> = (0..count).map(|n| scope.spawn(move || each(n))).collect();
        running.into_iter().map(|r| r.join().expect("no panic")).collect()
    })
}

fn all_get_theirs(name: &str, owed: &[Owed], within: Duration) {
    let slowest = owed.iter().map(|o| o.after).max().expect("some");
    println!("{name}: {} of them, the last got its error or close after {slowest:?}", owed.len());
    for one in owed {
        assert!(one.is_right(), "{name}: {}", one.said);
        assert!(one.after < within, "{name}: after {:?}", one.after);
    }
}

#[test]
fn heads_without_end() {
    let site = Site::new("endless heads");
    let owed = site.bears(|at| {
        let line = "X-More: and more and more and more\r\n".repeat(400);
        crowd(60, |n| {
            let noise: &[u8] = if n % 2 == 0 { line.as_bytes() } else { &[b'x'; 8192] };
            flood(at, "GET /look HTTP/1.1\r\nX-Long: ", noise, usize::MAX)
        })
    });
    all_get_theirs("endless heads", &owed, OWED);
}

#[test]
fn bodies_of_60_mb() {
    let site = Site::new("bodies of 60 MB");
    let size = 60 << 20;
    let piece = vec![b'x'; 64 << 10];
    let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat();
    let owed = site.bears(|at| {
        crowd(24, |n| {
            let stated = request::text(request::ONCE, &format!("big-{n}"), 800, "", "")
                .replace("Content-Length: 0", &format!("Content-Length: {size}"));
            let chunked = stated.replace(&format!("Content-Length: {size}"), "Transfer-Encoding: chunked");
            if n % 2 == 0 { flood(at, &stated, &piece, size) } else { flood(at, &chunked, &chunk, size) }
        })
    });
    all_get_theirs("bodies of 60 MB", &owed, OWED_LONG);
}

#[test]
fn noise_and_wrong_lengths_at_full_speed() {
    let site = Site::new("noise");
    let owed = site.bears(|at| {
        let firsts = [
            "\u{1}\u{2} noise \r\n\r\n",
            "PUT /post HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            "PUT /post HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "PUT /post HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            "GET /no HTTP/1.1\r\nX-Timeout-Ms: soon\r\n\r\n",
        ];
        crowd(100, |n| flood(at, firsts[n % firsts.len()], &[b'z'; 16 << 10], 4 << 20))
    });
    all_get_theirs("noise", &owed, OWED);
}

#[test]
fn hundreds_of_silent_connections() {
    let site = Site::new("silent connections");
    let owed = site.bears(|at| crowd(300, |_| flood(at, "", b"", 0)));
    all_get_theirs("silent connections", &owed, OWED);
}

#[test]
fn hundreds_of_connections_with_half_a_request() {
    let site = Site::new("half requests");
    let owed = site.bears(|at| crowd(300, |_| flood(at, "GET /look/00", b"", 0)));
    all_get_theirs("half requests", &owed, OWED);
}

#[test]
fn clients_that_send_much_at_once_and_go() {
    let site = Site::new("much at once");
    site.bears(|at| {
        let much = request::read("much").repeat(1200);
        thread::scope(|scope| {
            for n in 0..8 {
                let much = &much;
                scope.spawn(move || {
                    for k in 0..10 {
                        let stream = sent(at, much);
                        if (n + k) % 2 == 0 { reset(stream) } else { drop(stream) }
                    }
                });
            }
        });
    });
}

#[test]
fn clients_that_leave_in_bursts() {
    let site = Site::new("bursts");
    site.bears(|at| {
        for burst in 0..6 {
            let streams: Vec<TcpStream> = (0..100)
                .map(|n| {
                    let mut stream = TcpStream::connect(at).expect("a connection");
                    let text = request::read(&format!("burst-{burst}-{n}"));
                    let some = if n % 3 == 0 { text.len() / 2 } else { text.len() };
                    let _ = stream.write_all(&text.as_bytes()[..some]);
                    stream
                })
                .collect();
            for (n, stream) in streams.into_iter().enumerate() {
                if n % 2 == 0 { reset(stream) } else { drop(stream) }
            }
        }
    });
}

#[test]
fn clients_that_ask_for_much_and_read_nothing() {
    let site = Site::new("much asked and not read");
    site.bears(|at| {
        let many: String = (0..100).map(|n| request::read(&format!("large-{n}"))).collect();
        let streams: Vec<TcpStream> = (0..60).map(|_| sent(at, &many)).collect();
        settle(at);
        drop(streams);
    });
}
