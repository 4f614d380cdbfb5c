//! Stand-ins of the platform: storage nodes and discovery over HTTP/1.1, and the gateway's configuration.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// One message: its head, and its body by Content-Length.
pub struct HttpMessage {
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (n, value) = line.split_once(':')?;
            n.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Reads messages from a connection. `Ok(None)`: it ended between two messages.
pub struct HttpReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpReader {
    pub fn new(stream: TcpStream) -> HttpReader {
        HttpReader { stream, buffer: Vec::new() }
    }

    pub fn next(&mut self) -> std::io::Result<Option<HttpMessage>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.more()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(std::io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut message = HttpMessage { head, body: Vec::new() };
        let length = message.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + length {
            if !self.more()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Ok(Some(message))
    }

    fn more(&mut self) -> std::io::Result<bool> {
        let mut piece = [0; 65536];
        let n = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n > 0)
    }
}

/// A sound storage node: answers each request with 200 and its id after `work`, on any number of connections.
pub fn node(ip: &str, work: Duration, record: Record) -> Result<String, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = HttpReader::new(stream);
                while let Ok(Some(request)) = reader.next() {
                    let id = request.field("x-request-id").unwrap_or("").to_owned();
                    thread::sleep(work);
                    record.line(format!("node: ran {id}"));
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if reader.stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// The agent of discovery: sends the whole list on each watch, and an empty line every 2 s.
pub fn discovery(ip: &str, list: String) -> Result<String, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut reader = HttpReader::new(stream);
                if !matches!(reader.next(), Ok(Some(_))) {
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut piece = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
                while reader.stream.write_all(piece.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_secs(2));
                    piece = "1\r\n\n\r\n".into();
                }
            });
        }
    });
    Ok(address)
}

/// The list with one storage node for each cell.
pub fn list(nodes: &[String]) -> String {
    let member = |(cell, address): (usize, &String)| {
        format!(
            r#"{{"id":"s-{cell}","host_port":"{address}","locality":"a","flavor":"m","cell":{cell},"phase":"in_service","size":1.0,"up_since_ms":0}}"#
        )
    };
    let members: Vec<String> = nodes.iter().enumerate().map(member).collect();
    format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","))
}

/// The gateway's configuration with the classes of almaty-ledger.
pub fn configuration(
    listen: &str,
    discovery: &str,
    list: &str,
    memory_mb: u32,
    sockets: u32,
    cells: usize,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{list},
"settings":{{"classes":[
{{"name":"balance-read","targetUs":150000,"deadlineUs":750000,"worth":2.0,"lateValue":0.15,"idempotency":"read_like"}},
{{"name":"transfer-write","targetUs":250000,"deadlineUs":1500000,"worth":2.0,"lateValue":0.1,"idempotency":"idempotency_key","group":"cell","keyTtlUs":2500000}},
{{"name":"statement-scan","targetUs":750000,"deadlineUs":2500000,"worth":1.0,"lateValue":0.25,"idempotency":"read_like"}}],
"policies":[{{"name":"priority","usualRate":200.0,"floorRate":240.0,"ceilingRate":0.0,"limitBurst":0.0,"capSlack":0.0,"shares":3.0,"price":1.2}}],
"peersTotal":1,"index":0,"discovery":"push",
"policyLimits":{{"sendCap":4,"mayDuplicate":false,"cancel":true,"retryAfter":true,"maxRetryAfterUs":1000000,"connIdleUs":15000000,"connectTimeoutUs":250000}},
"familyInfo":{{"largest":8.0,"meanUnits":2.0,"slotsTotal":{cells},"coldBears":20.0,"writes":[false,true,false]}},
"rules":{{"fallUs":2000000,"warmUpUs":18000000,"coldFrom":0.16,"fallMultiple":3.0,"drainGraceUs":1000000}}}}}}"#
    )
}

/// Starts the gateway by the deploy file's command and waits until it is ready; returns its process id.
pub fn gateway(
    root: &Path,
    folder: &Path,
    children: &mut Children,
    listen: &str,
    configuration: &str,
) -> Result<u32, String> {
    let config = folder.join("config.json");
    std::fs::write(&config, configuration).map_err(|e| e.to_string())?;
    let mut command = Command::new("/bin/sh");
    command.current_dir(root).arg("-c").arg(run_command(root)?);
    command
        .env("PROXY_CONFIG", &config)
        .env("PROXY_LISTEN", listen)
        .env("PROXY_NAME", "n0")
        .env("TMPDIR", folder);
    // The shell becomes the gateway by `exec`.
    let pid = children.start("gateway", &mut command, folder)?.id();
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
            let mut reader = HttpReader::new(stream);
            if asked.is_ok() && matches!(reader.next(), Ok(Some(m)) if m.head.starts_with("HTTP/1.1 200")) {
                return Ok(pid);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err("the gateway was not ready in 30 s".into())
}

/// A client's request.
pub struct Ask<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub timeout_ms: u64,
    pub shard: usize,
    pub object: u64,
    /// The body of a write.
    pub body: Option<&'a [u8]>,
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Ask { class, id, timeout_ms, shard, object, body } = *self;
        let method = if body.is_some() { "PUT" } else { "GET" };
        let mut text = format!(
            "{method} /{class}/{object:016x}/{object:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Plan: priority\r\nX-Timeout-Ms: {timeout_ms}\r\n\
             X-IO: units=1,shard={shard},hosts=1\r\n"
        );
        if let Some(body) = body {
            text += &format!("Idempotency-Key: {id}\r\nContent-Length: {}\r\n", body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(body.unwrap_or_default());
        bytes
    }
}

/// What clients were told, by request.
#[derive(Clone, Default)]
pub struct Told(pub Arc<Mutex<Vec<(String, Option<u16>, bool)>>>);

impl Told {
    /// Notes the end of a request: the status of its whole answer, or none; and whether it is lost.
    pub fn note(&self, id: &str, status: Option<u16>, lost: bool) {
        self.0.lock().unwrap_or_else(|p| p.into_inner()).push((id.to_owned(), status, lost));
    }
}

pub fn status(message: &HttpMessage) -> u16 {
    message.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}
