//! Clients of the platform that send several commands at once on a connection, as on `herd+brink` with
//! `pipeline`. Without the trouble the same commands go one at a time on the same connections.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::platform::{self, Ask, HttpReader, Told};

const CLIENTS: usize = 6;
/// Commands that a client sends at once, and the length of a write's body.
const COMMANDS: usize = 8;
const BODY: usize = 4096;
/// Every second client writes, the others write with longer bodies: two commands, one of 20 KiB behind the other.
const LONG_BODY: usize = 20_000;
const TIMEOUT_MS: u64 = 1500;
/// An answer may come half a second after its request's time (the page of the standing days), and 50 ms of slack.
const PATIENCE: Duration = Duration::from_millis(TIMEOUT_MS + 550);

fn client(address: &str, name: usize, at_once: bool, record: &Record, told: &Told) -> Result<(), String> {
    let (count, length) = if name % 2 == 0 { (COMMANDS, BODY) } else { (2, LONG_BODY) };
    let body = vec![b'x'; length];
    let asks: Vec<(String, Vec<u8>)> = (0..count)
        .map(|n| {
            let id = format!("{name:08x}{n:08x}");
            let object = (name * 100 + n) as u64;
            let ask = Ask {
                class: "transfer-write",
                id: &id,
                timeout_ms: TIMEOUT_MS,
                shard: n % 2,
                object,
                body: Some(&body),
            };
            let bytes = ask.bytes();
            (id, bytes)
        })
        .collect();
    let mut stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let mut reader = HttpReader::new(stream.try_clone().map_err(|e| e.to_string())?);
    if at_once {
        let all: Vec<u8> = asks.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
        stream.write_all(&all).map_err(|e| e.to_string())?;
        record
            .line(format!("client {name}: sent {count} commands at once, {} bytes, in one write", all.len()));
    }
    let mut sent = Instant::now();
    let mut ended = false;
    for (id, bytes) in &asks {
        if !at_once {
            stream.write_all(bytes).map_err(|e| e.to_string())?;
            sent = Instant::now();
            record.line(format!("client {name}: sent {id}"));
        }
        let left = PATIENCE.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
        let _ = reader.stream.set_read_timeout(Some(left));
        let answer = if ended { Ok(None) } else { reader.next() };
        match answer {
            Ok(Some(message)) => {
                let status = platform::status(&message);
                let closes = message.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                record.line(format!("client {name}: {id} answered {status}, close: {closes}"));
                told.note(id, Some(status), false);
            }
            Ok(None) => {
                ended = true;
                record.line(format!(
                    "client {name}: LOST {id}: the gateway ended the connection without an answer"
                ));
                told.note(id, None, true);
            }
            Err(error) => {
                ended = true;
                record.line(format!("client {name}: LOST {id}: no whole answer ({error})"));
                told.note(id, None, true);
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    Ok(())
}

pub fn run(root: &Path, folder: &Path, record: &Record) -> Outcome {
    let at_once = trouble();
    let ip = own_ip();
    let mut nodes = Vec::new();
    for _ in 0..2 {
        nodes.push(platform::node(&ip, Duration::from_millis(10), record.clone())?);
    }
    let list = platform::list(&nodes);
    let discovery = platform::discovery(&ip, list.clone())?;
    let listen = format!("{ip}:{}", free_port(&ip)?);
    let config = platform::configuration(&listen, &discovery, &list, 64, 512, nodes.len());
    let mut children = Children::new(folder);
    platform::gateway(root, folder, &mut children, &listen, &config)?;
    record.line(format!("gateway at {listen}; several commands at once: {at_once}"));
    std::thread::sleep(Duration::from_millis(500));
    let told = Told::default();
    for name in 0..CLIENTS {
        client(&listen, name, at_once, record, &told)?;
        std::thread::sleep(Duration::from_millis(200));
    }
    if let Some(status) = children.child("gateway")?.try_wait().map_err(|e| e.to_string())? {
        record.line(format!("the gateway ended: {status}"));
        return Ok(BROKEN);
    }
    let all = told.0.lock().unwrap_or_else(|p| p.into_inner());
    let lost = all.iter().filter(|t| t.2).count();
    record.line(format!("{} commands, {lost} lost", all.len()));
    children.terminate("gateway", Duration::from_secs(10))?;
    Ok(if lost > 0 { BROKEN } else { HELD })
}
