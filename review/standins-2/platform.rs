//! Stand-ins for the platform around one gateway process: a discovery agent, storage nodes and clients, all on
//! loopback addresses, and the checks of the cases that need them. Only the standard library is used.
//!
//! `platform ports N` prints N free ports. `platform CASE RECORD RUN FOLDER` plays a case: it starts the gateway by
//! the command RUN (the `run` line of the deploy file) with a configuration in FOLDER, writes what was sent,
//! answered and run to RECORD, and ends the gateway. Exit code: 0 the rule held, 1 it was broken, 2 the case could
//! not run. `TROUBLE=0` in the environment plays the case without its disruption.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the platform's pages add to a request's time before an answer that is missing counts as lost: half a second,
/// and 50 ms on sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// Work of one request at a storage node.
const WORK: Duration = Duration::from_millis(30);

/// The record of a case; each line begins with the milliseconds since its start.
#[derive(Clone)]
struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn new(path: &str) -> io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64() * 1e3;
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }
}

/// Reads one HTTP/1.1 message with a stated length, or without a body: its head and its body. `None`: the peer has
/// closed the connection in order.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut chunk = [0; 64 << 10];
    let mut more = |buffer: &mut Vec<u8>, stream: &mut TcpStream| -> io::Result<bool> {
        let n = stream.read(&mut chunk)?;
        buffer.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    };
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !more(buffer, stream)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length = field(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if !more(buffer, stream)? {
            return Ok(None);
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Ok(Some((head, body)))
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// What a storage node does with a request.
#[derive(Clone, Copy, PartialEq)]
enum Act {
    Answer,
    /// It has taken the request and says nothing, as one that hangs.
    Hang,
}

/// Starts a storage node; it names itself and the request in each answer.
fn start_node(name: String, act: Act, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), name, record) = (stream, name.clone(), record.clone()) else { return };
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(Some((head, body))) = read_message(&mut stream, &mut buffer) {
                    let id = field(&head, "x-request-id").unwrap_or("none").to_owned();
                    record.line(&format!("{name} got {id}, {} bytes of body", body.len()));
                    if act == Act::Hang {
                        thread::sleep(Duration::from_secs(3600));
                    }
                    thread::sleep(WORK);
                    let body = format!("{name} ran {id}");
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=1\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    record.line(&format!("{name} answered {id}"));
                }
            });
        }
    });
    Ok(address)
}

/// The node list as discovery has it: node number n holds shard n.
fn list(nodes: &[SocketAddr]) -> String {
    let member = |(n, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"node-{n}","host_port":"{address}","locality":"hall","flavor":"one","cell":{n},"phase":"in_service","size":1.0,"up_since_ms":0}}"#
        )
    };
    let members: Vec<String> = nodes.iter().enumerate().map(member).collect();
    format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, members.join(","))
}

/// Starts the discovery agent: each watch gets the whole list, and an empty line every 2 s.
fn start_agent(list: String) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), list) = (stream, list.clone()) else { return };
            thread::spawn(move || -> io::Result<()> {
                if read_message(&mut stream, &mut Vec::new())?.is_none() {
                    return Ok(());
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                let line = format!("{list}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
                loop {
                    thread::sleep(Duration::from_secs(2));
                    stream.write_all(b"1\r\n\n\r\n")?;
                }
            });
        }
    });
    Ok(address)
}

/// Settings of a small deployment: three classes, two plans, three gateways, no limit that binds.
fn settings(shards: usize) -> String {
    format!(
        r#"{{"classes":[
{{"name":"look","targetUs":150000,"deadlineUs":750000,"worth":2,"lateValue":0.15,"idempotency":"read_like"}},
{{"name":"post","targetUs":250000,"deadlineUs":1500000,"worth":2,"lateValue":0.1,"idempotency":"idempotency_key","group":"cell","keyTtlUs":2500000}},
{{"name":"scan","targetUs":750000,"deadlineUs":2500000,"worth":1,"lateValue":0.25,"idempotency":"read_like"}}],
"policies":[{{"name":"plain","usualRate":100,"floorRate":50,"ceilingRate":0,"limitBurst":0,"capSlack":0,"shares":1,"price":1}}],
"peersTotal":3,"index":0,"discovery":"push","azs":["hall"],"locality":0,
"familyInfo":{{"coldBears":15,"fairWorth":0.35,"idleWorth":0.08,"largest":8,"meanUnits":2,"slotsTotal":{shards},"writes":[false,true,false]}},
"policyLimits":{{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"maxRetryAfterUs":1000000,"mayDuplicate":false,"probing":false,"retryAfter":true,"sendCap":4}},
"rules":{{"coldFrom":0.16,"warmUpUs":18000000,"fallUs":2000000,"fallMultiple":3,"drainGraceUs":1000000}},
"fees":{{"waste":0.03}}}}"#
    )
}

/// The gateway's process; it is ended when this is dropped.
struct Gateway {
    process: Child,
    address: SocketAddr,
}

impl Gateway {
    fn start(run: &str, folder: &str, nodes: &[SocketAddr], record: &Record) -> io::Result<Gateway> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let list = list(nodes);
        let discovery = start_agent(list.clone())?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"5ad1c0de5ad1c0de","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},"settings":{}}}"#,
            settings(nodes.len())
        );
        let path = format!("{folder}/config.json");
        std::fs::write(&path, config)?;
        let log = File::create(format!("{folder}/gateway.log"))?;
        let process = Command::new("/bin/sh")
            .args(["-c", run])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        std::fs::write(format!("{folder}/pid"), process.id().to_string())?;
        let mut gateway = Gateway { process, address };
        for _ in 0..300 {
            if let Some(end) = gateway.process.try_wait()? {
                return Err(io::Error::other(format!("the gateway ended before it was ready: {end}")));
            }
            if gateway.is_ready().unwrap_or(false) {
                record.line(&format!("the gateway is ready at {address}"));
                return Ok(gateway);
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the gateway was not ready within 30 s"))
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = self.connect()?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")?;
        let answer = read_message(&mut stream, &mut Vec::new())?;
        Ok(answer.is_some_and(|(head, _)| status(&head) == 200))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill(); // It may have ended.
        let _ = self.process.wait();
    }
}

/// A request of a client.
#[derive(Clone)]
struct Ask {
    id: String,
    time: Duration,
    bytes: Vec<u8>,
}

fn ask(class: &str, id: String, shard: usize, object: u64, time_ms: u64, body: usize) -> Ask {
    let method = if class == "post" { "PUT" } else { "GET" };
    let mut head = format!(
        "{method} /{class}/{:016x}/{object:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Plan: plain\r\nX-Timeout-Ms: {time_ms}\r\nX-IO: units=1,shard={shard},hosts=1\r\n",
        shard + 1
    );
    if class == "post" {
        head += &format!("Idempotency-Key: key-{id}\r\nContent-Length: {body}\r\n");
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    Ask { id, time: Duration::from_millis(time_ms), bytes }
}

/// How the requests of one connection ended.
#[derive(Default)]
struct Tally {
    answered: usize,
    late: usize,
    lost: usize,
    foreign: usize,
}

/// Sends requests on one connection, all `at_once` or each after the answer to the one before, and takes their
/// answers. A request is lost if its connection ends without its answer, or if there is none within its time and
/// [`LOST_AFTER`].
fn play(gateway: &Gateway, asks: &[Ask], at_once: bool, record: &Record) -> io::Result<Tally> {
    let (mut stream, mut buffer, mut tally) = (gateway.connect()?, Vec::new(), Tally::default());
    let mut sent = HashMap::new();
    if at_once {
        let all: Vec<u8> = asks.iter().flat_map(|a| a.bytes.clone()).collect();
        stream.write_all(&all)?;
        sent.extend(asks.iter().map(|a| (a.id.clone(), Instant::now())));
        record.line(&format!("client sent {} requests at once, {} bytes", asks.len(), all.len()));
    }
    let mut ended = false;
    for each in asks {
        if ended {
            record.line(&format!("client LOST {}: its connection ended without its answer", each.id));
            tally.lost += 1;
            continue;
        }
        if !at_once {
            stream.write_all(&each.bytes)?;
            sent.insert(each.id.clone(), Instant::now());
            record.line(&format!("client sent {}", each.id));
        }
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let answer = read_message(&mut stream, &mut buffer);
        let took = sent[&each.id].elapsed();
        match answer {
            Ok(Some((head, body))) => {
                let (code, body) = (status(&head), String::from_utf8_lossy(&body).trim().to_owned());
                let closes = if field(&head, "connection").is_some() { ", connection: close" } else { "" };
                record.line(&format!("client got {code} for {} after {} ms: {body}{closes}", each.id, took.as_millis()));
                if code == 200 && !body.ends_with(&format!("ran {}", each.id)) {
                    record.line(&format!("client got a FOREIGN answer for {}", each.id));
                    tally.foreign += 1;
                }
                if took > each.time + LOST_AFTER {
                    record.line(&format!("client LOST {}: its time was {} ms", each.id, each.time.as_millis()));
                    tally.lost += 1;
                } else if took > each.time {
                    tally.late += 1;
                }
                tally.answered += 1;
            }
            Ok(None) => {
                record.line("client's connection was closed in order: all that it sent had been read");
                record.line(&format!("client LOST {}: its connection ended without its answer", each.id));
                (ended, tally.lost) = (true, tally.lost + 1);
            }
            Err(error) => {
                record.line(&format!("client LOST {}: {error}", each.id));
                (ended, tally.lost) = (true, tally.lost + 1);
            }
        }
    }
    Ok(tally)
}

/// Rounds of requests; the sum of how they ended.
fn rounds(
    gateway: &mut Gateway,
    count: usize,
    at_once: bool,
    record: &Record,
    asks: impl Fn(usize) -> Vec<Ask>,
) -> io::Result<Tally> {
    let mut sum = Tally::default();
    for round in 0..count {
        let tally = play(gateway, &asks(round), at_once, record)?;
        sum.answered += tally.answered;
        sum.late += tally.late;
        sum.lost += tally.lost;
        sum.foreign += tally.foreign;
        if let Some(end) = gateway.process.try_wait()? {
            record.line(&format!("the gateway's process has ended: {end}"));
            return Err(io::Error::other("the gateway's process has ended"));
        }
        thread::sleep(Duration::from_millis(300));
    }
    Ok(sum)
}

fn verdict(tally: &Tally, record: &Record) -> ExitCode {
    let text = format!(
        "answered {} (late, but not lost: {}), lost {}, foreign {}",
        tally.answered, tally.late, tally.lost, tally.foreign
    );
    record.line(&text);
    println!("{text}");
    if tally.lost + tally.foreign > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Clients that send many commands at once: writes of 8 KiB in fours, and small reads by the hundred.
fn many_at_once(record: &Record, run: &str, folder: &str) -> io::Result<ExitCode> {
    let nodes: Vec<SocketAddr> = (0..4)
        .map(|n| start_node(format!("node-{n}"), Act::Answer, record.clone()))
        .collect::<io::Result<_>>()?;
    let mut gateway = Gateway::start(run, folder, &nodes, record)?;
    let asks = |round: usize| -> Vec<Ask> {
        let id = |n: usize| format!("r{round}-{n}");
        let object = |n: usize| (round * 1000 + n) as u64;
        if round % 2 == 0 {
            (0..4).map(|n| ask("post", id(n), n % 4, object(n), 1500, 8192)).collect()
        } else {
            (0..100).map(|n| ask("look", id(n), n % 4, object(n), 750, 0)).collect()
        }
    };
    let tally = rounds(&mut gateway, 6, trouble(), record, asks)?;
    Ok(verdict(&tally, record))
}

/// A client's commands of two classes on one connection, at once, while one of eight storage nodes hangs.
fn behind_a_hung_node(record: &Record, run: &str, folder: &str) -> io::Result<ExitCode> {
    let act = |n: usize| if n == 0 && trouble() { Act::Hang } else { Act::Answer };
    let nodes: Vec<SocketAddr> = (0..8)
        .map(|n| start_node(format!("node-{n}"), act(n), record.clone()))
        .collect::<io::Result<_>>()?;
    let mut gateway = Gateway::start(run, folder, &nodes, record)?;
    let asks = |round: usize| -> Vec<Ask> {
        let object = (round * 10) as u64;
        vec![
            ask("scan", format!("r{round}-scan"), 0, object, 2500, 0),
            ask("look", format!("r{round}-look-1"), 1, object + 1, 750, 0),
            ask("look", format!("r{round}-look-2"), 2, object + 2, 750, 0),
        ]
    };
    let tally = rounds(&mut gateway, 5, true, record, asks)?;
    Ok(verdict(&tally, record))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args[..] {
        ["ports", count] => {
            let count = count.parse().unwrap_or(1);
            let held: Vec<TcpListener> = (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
            let ports: Vec<String> =
                held.iter().filter_map(|l| Some(l.local_addr().ok()?.port().to_string())).collect();
            println!("{}", ports.join(" "));
            return if ports.len() == count { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
        [case, record, run, folder] => Record::new(record).and_then(|record| match case {
            "many-at-once" => many_at_once(&record, run, folder),
            "behind-a-hung-node" => behind_a_hung_node(&record, run, folder),
            _ => Err(io::Error::other("no such case")),
        }),
        _ => Err(io::Error::other("usage: platform ports N | platform CASE RECORD RUN FOLDER")),
    };
    result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        ExitCode::from(2)
    })
}
