//! How answers of nodes end: what is whole is served, and what was cut off never is. What comes beside an answer, or half of one on
//! a connection that rests, reaches nobody.

mod stage;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http1::Response;
use stage::asked::Asked;
use stage::departure::{sent, settle};
use stage::figure::pass;
use stage::late::Late;
use stage::pause::Pause;
use stage::puppet::Puppet;
use stage::request::{self, ONCE, READ};
use stage::script::{End, Script};
use stage::*;

const fn script(pieces: &'static [&'static str], end: End) -> Script {
    Script { pieces, end }
}

/// Whole answers with the body `whole`, which say how long they are.
const WHOLE: &[(&str, Script)] = &[
    ("length", script(&["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"], End::Stays)),
    ("length, and an end", script(&["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"], End::Orderly)),
    (
        "length, and a reset",
        script(&["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"], End::ResetOnceRead),
    ),
    (
        "length in pieces",
        script(&["HTTP/1.", "1 200 OK\r\nContent-Le", "ngth: 5\r\n\r", "\n", "who", "le"], End::Stays),
    ),
    (
        "close",
        script(&["HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole"], End::Stays),
    ),
    (
        "chunks",
        script(
            &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"],
            End::Stays,
        ),
    ),
    (
        "chunks, trailer, in pieces",
        script(
            &[
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2",
                "\r\nw",
                "h\r\n3\r\nole\r",
                "\n0\r\nX: y\r\n",
                "\r\n",
            ],
            End::Orderly,
        ),
    ),
    (
        "1xx ahead",
        script(
            &[
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            ],
            End::Stays,
        ),
    ),
];

/// The same without a length: they are whole by their orderly end.
const WHOLE_BY_END: &[(&str, Script)] = &[
    ("no length", script(&["HTTP/1.1 200 OK\r\n\r\nwhole"], End::Orderly)),
    ("no length, in pieces", script(&["HTTP/1.1 200 OK\r\n", "\r\n", "who", "le"], End::Orderly)),
    ("no length, close", script(&["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwh", "ole"], End::Orderly)),
    ("no length, of the older version", script(&["HTTP/1.0 200 OK\r\n\r\nwhole"], End::Orderly)),
    (
        "1xx ahead of no length",
        script(&["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nwhole"], End::Orderly),
    ),
];

/// Answers that were cut off; each is played with an orderly end and with both resets.
const CUT: &[(&str, &[&str])] = &[
    ("nothing", &[]),
    ("in the first line", &["HTTP/1.1 20"]),
    ("in the head", &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"]),
    ("behind a 1xx", &["HTTP/1.1 100 Continue\r\n\r\n"]),
    ("before a body", &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"]),
    ("in a body", &["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol"]),
    ("in a body, close", &["HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwh", "ol"]),
    ("before the first chunk", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]),
    ("in a size", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5"]),
    ("in a chunk", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhol"]),
    ("behind a chunk", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole"]),
    ("before the last chunk", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"]),
    ("in the last size", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0"]),
    ("before the trailer", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"]),
    ("in the trailer", &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: y"]),
    (
        "behind the trailer",
        &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n"],
    ),
];

/// Answers without a length, which only an orderly end makes whole.
const OPEN_ENDED: &[(&str, &[&str])] = &[
    ("no length", &["HTTP/1.1 200 OK\r\n\r\nwhole"]),
    ("no length, in pieces", &["HTTP/1.1 200 OK\r\n\r\nwho", "le"]),
    ("no length, close", &["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"]),
    ("no length and no body", &["HTTP/1.1 200 OK\r\n\r\n"]),
    ("no length, of the older version", &["HTTP/1.0 200 OK\r\n\r\nwhole"]),
];

fn gateway(node: SocketAddr) -> Process {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    Process::start(&request::site(nobody, &list(1, &[("a", node)]), true))
}

fn ask(gateway: SocketAddr, class: &str, id: &str, body: &str) -> Response {
    let mut client = Client::new(gateway).expect("a connection");
    client.ask(&request::text(class, id, 8000, "", body)).expect("an answer").expect("an answer")
}

/// One request of a class against a node that plays a script for the first `spoils` requests and then answers well. The answer,
/// and how often the node was asked.
fn play(class: &str, script: Script, spoils: usize) -> (Response, usize) {
    let puppet = Puppet::start();
    let process = gateway(puppet.address);
    let count = AtomicUsize::new(0);
    let seen = puppet.play(move |asked| {
        if count.fetch_add(1, Ordering::SeqCst) < spoils { script.play(asked) } else { asked.serve() }
    });
    let answer = ask(process.address, class, "good", "");
    let seen = seen.lock().expect("seen").len();
    (answer, seen)
}

/// Runs cases side by side; what is wrong with each that fails.
fn failures<T: Sync>(cases: &[T], case: impl Fn(&T) -> Result<(), String> + Sync) -> Vec<String> {
    thread::scope(|scope| {
        let own = &case;
        let running: Vec<_> = cases.iter().map(|c| scope.spawn(move || own(c))).collect();
        running.into_iter().filter_map(|r| r.join().expect("no panic").err()).collect()
    })
}

/// The same with many processes at a time, which one machine bears by tens.
fn none_fails<T: Sync>(cases: &[T], case: impl Fn(&T) -> Result<(), String> + Sync) {
    let wrong: Vec<String> = cases.chunks(8).flat_map(|some| failures(some, &case)).collect();
    assert!(wrong.is_empty(), "{} of {}: {wrong:#?}", wrong.len(), cases.len());
}

fn is_served(name: &str, script: Script) -> Result<(), String> {
    let (answer, asked) = play(ONCE, script, 1);
    let is_served = answer.status == 200 && &answer.body[..] == b"whole" && asked == 1;
    is_served.then_some(()).ok_or(format!("{name}: {} {:?} after {asked}", answer.status, answer.body))
}

#[test]
fn an_answer_that_is_whole_is_served_however_its_connection_ends() {
    none_fails(WHOLE, |(name, script)| is_served(name, *script));
}

#[test]
fn an_answer_without_a_length_is_whole_by_its_orderly_end() {
    none_fails(WHOLE_BY_END, |(name, script)| is_served(name, *script));
}

/// Not served by this alone: where it may not run again it has failed, and is asked for once; where it may, only the good answer
/// to a further attempt is served.
fn never_served(name: &str, script: Script) -> Result<(), String> {
    let (answer, asked) = play(ONCE, script, usize::MAX);
    if answer.status != 502 || asked != 1 {
        return Err(format!("{name}, {:?}, once: {} after {asked}", script.end, answer.status));
    }
    let (answer, asked) = play(READ, script, usize::MAX);
    if !matches!(answer.status, 502 | 503) {
        return Err(format!("{name}, {:?}, always: {} after {asked}", script.end, answer.status));
    }
    let (answer, asked) = play(READ, script, 1);
    let is_good = answer.status == 200 && &answer.body[..] == b"good";
    if !is_good && !matches!(answer.status, 502 | 503) {
        let body = &answer.body;
        return Err(format!("{name}, {:?}, the first: {} {body:?} after {asked}", script.end, answer.status));
    }
    Ok(())
}

#[test]
fn an_answer_that_is_cut_off_is_never_served() {
    let ends = [End::Orderly, End::Reset, End::ResetOnceRead];
    let cases: Vec<_> = CUT.iter().flat_map(|(name, p)| ends.map(|end| (*name, script(p, end)))).collect();
    none_fails(&cases, |(name, script)| never_served(name, *script));
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_never_served() {
    let ends = [End::Reset, End::ResetOnceRead];
    let cases: Vec<_> =
        OPEN_ENDED.iter().flat_map(|(name, p)| ends.map(|end| (*name, script(p, end)))).collect();
    none_fails(&cases, |(name, script)| never_served(name, *script));
}

#[test]
fn an_answer_without_a_length_that_never_ends_is_given_up_at_the_clients_time() {
    let puppet = Puppet::start();
    let process = gateway(puppet.address);
    let begun = Instant::now();
    let mut client = Client::new(process.address).expect("a connection");
    let asks = thread::spawn(move || client.ask(&request::text(ONCE, "long", 600, "", "")));
    let mut asked = puppet.next();
    asked.say(b"HTTP/1.1 200 OK\r\n\r\nwhole");
    let answer = asks.join().expect("no panic").expect("an answer").expect("an answer");
    assert!(!matches!(answer.status, 200 | 429 | 503), "it may have run: {}", answer.status);
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(1100), "half a second after its time it is lost: {took:?}");
}

/// Danger: whoever writes on a broken connection is told of the reset in place of the reader, who then sees an orderly end.
#[test]
fn a_reset_that_meets_the_rest_of_the_request_makes_no_answer_whole() {
    let cases = [End::Reset, End::ResetOnceRead, End::Orderly];
    none_fails(&cases, |&end| {
        let late = Late::narrow();
        let process = gateway(late.address);
        let address = process.address;
        let asks = thread::spawn(move || ask(address, ONCE, "wide", &"x".repeat(64 << 10)));
        let line = late.take();
        until("a part is written", || kernel::other(&line).is_some_and(|e| e.unsent > 0));
        // There is nobody for a further attempt.
        drop(late);
        // Nothing of the request is read here, so that also the orderly end breaks the connection.
        let (tell, _told) = std::sync::mpsc::channel();
        script(&["HTTP/1.1 200 OK\r\n\r\nwhole"], end).play(Asked::unread(line, tell));
        let answer = asks.join().expect("no panic");
        // All of it was never written: it never ran.
        let is_unserved = matches!(answer.status, 502 | 503);
        is_unserved.then_some(()).ok_or(format!("{end:?}: {} {:?}", answer.status, answer.body))
    });
}

/// Danger: the end of a node that dies under a request comes ahead of its reset; whoever meets only the end takes the answer for whole.
#[test]
fn an_end_that_comes_before_all_of_the_request_is_out_makes_no_answer_whole() {
    let late = Late::narrow();
    let process = gateway(late.address);
    let address = process.address;
    let asks = thread::spawn(move || ask(address, ONCE, "wide", &"x".repeat(64 << 10)));
    let mut line = late.take();
    until("a part is written", || kernel::other(&line).is_some_and(|e| e.unsent > 0));
    // There is nobody for a further attempt.
    drop(late);
    std::io::Write::write_all(&mut line, b"HTTP/1.1 200 OK\r\n\r\nwhole").expect("an answer");
    // The end without the reset: nothing of the request is read, and the connection stays.
    line.shutdown(std::net::Shutdown::Write).expect("an end");
    let answer = asks.join().expect("no panic");
    assert!(matches!(answer.status, 502 | 503), "{} {:?}", answer.status, answer.body);
}

/// A connection has served a request; while the gateway stands still, this comes on it, and the next request, that one first or last.
/// It gets the answer to itself, in one attempt.
fn beside(behind: &'static [&'static str], end: End, rests: bool, first: bool) -> Result<(), String> {
    let puppet = Puppet::start();
    let process = gateway(puppet.address);
    let address = process.address;
    let before = thread::spawn(move || ask(address, ONCE, "first", ""));
    let mut asked = puppet.next();
    asked.say(&http1::encode_response(200, &[], b"first", true));
    assert_eq!(before.join().expect("no panic").status, 200);
    if rests {
        // It has cooled: no further answer may come late.
        pass(Duration::from_millis(30));
        settle(address);
    }
    let mut client = TcpClient::new(address);
    let pause = Pause::new(&process);
    let text = request::text(ONCE, "second", 8000, "", "");
    if first {
        client.say(&text);
    }
    for piece in behind {
        asked.say(piece.as_bytes());
    }
    script(&[], end).play(asked);
    if !matches!(end, End::Stays) {
        // A busy system may take its time; what comes later than that crosses the request, which may then have run.
        until("the end has come", || kernel::open(puppet.address) == 0);
    }
    if !first {
        client.say(&text);
    }
    pause.over();
    let seen = puppet.play(Asked::serve);
    let said = client.answer();
    let times = seen.lock().expect("seen").iter().filter(|id| *id == "second").count();
    let is_right = said.ends_with("\r\n\r\nsecond") && times == 1;
    is_right
        .then_some(())
        .ok_or(format!("{behind:?}, {end:?}, rests {rests}, first {first}: {said:?} after {times}"))
}

/// A client's connection whose request and answer are minded one after the other.
struct TcpClient(std::net::TcpStream);

impl TcpClient {
    fn new(to: SocketAddr) -> TcpClient {
        let stream = sent(to, "");
        // It was accepted, and its reader waits.
        settle(to);
        TcpClient(stream)
    }

    fn say(&mut self, text: &str) {
        std::io::Write::write_all(&mut self.0, text.as_bytes()).expect("written");
    }

    fn answer(mut self) -> String {
        let (mut said, mut buffer) = (Vec::new(), [0; 4096]);
        until("an answer comes", || {
            let n = self.0.read(&mut buffer).unwrap_or(0);
            said.extend_from_slice(&buffer[..n]);
            let text = String::from_utf8_lossy(&said);
            n == 0 || text.split_once("\r\n\r\n").is_some_and(|(_, body)| !body.is_empty())
        });
        String::from_utf8_lossy(&said).into_owned()
    }
}

/// What may come on a connection that rests.
const BEHIND: [(&[&str], End); 9] = [
    (&[], End::Orderly),
    (&[], End::Reset),
    (&["HTTP/1.1 2"], End::Orderly),
    (&["HTTP/1.1 2"], End::Reset),
    (&["HTTP/1.1 200 OK\r\n\r\nfirst"], End::Orderly),
    (&["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"], End::Stays),
    (&["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"], End::Orderly),
    (&["noise \u{1} noise"], End::Stays),
    (&["\r\n"], End::Orderly),
];

/// Each of these, on a connection that has just brought an answer and on one that has rested.
fn comes_behind(first: bool) {
    let cases: Vec<_> = BEHIND.iter().flat_map(|b| [true, false].map(|rests| (b.0, b.1, rests))).collect();
    none_fails(&cases, |&(behind, end, rests)| beside(behind, end, rests, first));
}

#[test]
fn half_a_line_a_second_answer_or_noise_on_a_connection_that_rests_reaches_nobody() {
    comes_behind(false);
}

/// Danger: what a reader has taken from its socket, and the machine has not heard of yet, can't be seen by looking at the socket.
#[test]
fn nor_does_what_comes_at_the_same_time_as_the_next_request() {
    comes_behind(true);
}

#[test]
fn nothing_is_asked_on_a_connection_whose_answer_said_close() {
    let answers: [&str; 3] = [
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ];
    none_fails(&answers, |text| {
        let puppet = Puppet::start();
        let process = gateway(puppet.address);
        let address = process.address;
        let first = thread::spawn(move || ask(address, ONCE, "first", ""));
        let mut asked = puppet.next();
        asked.say(text.as_bytes());
        assert_eq!(&first.join().expect("no panic").body[..], b"whole");
        let kept = asked.stream.peer_addr().expect("its peer");
        let second = thread::spawn(move || ask(address, ONCE, "second", ""));
        let other = puppet.next();
        let is_other = other.stream.peer_addr().expect("its peer") != kept;
        other.serve();
        assert_eq!(second.join().expect("no panic").status, 200);
        is_other.then_some(()).ok_or(format!("{text:?}"))
    });
}
