//! Discovery: the list, and an agent on each gateway's machine that is told of changes late.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::{Value, json};

use crate::Micros;
use crate::config::address;

/// Whether a face takes work, in discovery's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    InService,
    Terminating,
    Terminated,
}

struct Line {
    revision: u64,
    member: Value,
}

/// The list over time.
#[derive(Default)]
pub(crate) struct Register {
    revision: u64,
    changes: Vec<Line>,
}

impl Register {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// An entry is new or has changed.
    pub(crate) fn set(
        &mut self,
        face: usize,
        zone: usize,
        shard: usize,
        state: Listed,
        started: Option<Micros>,
    ) {
        self.revision += 1;
        let phase = match state {
            Listed::InService => "in_service",
            Listed::Terminating => "terminating",
            Listed::Terminated => "terminated",
        };
        let member = json!({
            "id": format!("n{face}"), "host_port": address(face).to_string(), "locality": format!("z{zone}"),
            "flavor": "k", "cell": shard, "phase": phase, "size": 1.0,
            "up_since_ms": started.map_or(0, |s| s / 1000)
        });
        self.changes.push(Line { revision: self.revision, member });
    }

    /// What changed after one version up to another, as discovery writes it.
    pub(crate) fn changes(&self, after: u64, until: u64) -> Value {
        let lines = self.changes.iter().filter(|l| l.revision > after && l.revision <= until);
        let members: Vec<&Value> = lines.map(|l| &l.member).collect();
        json!({"revision": until, "complete": false, "members": members})
    }

    /// The whole list as of a version.
    pub(crate) fn whole(&self, until: u64) -> Value {
        let mut last: BTreeMap<&str, &Value> = BTreeMap::new();
        for line in self.changes.iter().filter(|l| l.revision <= until) {
            last.insert(line.member["id"].as_str().unwrap_or_default(), &line.member);
        }
        let members: Vec<&Value> = last.into_values().filter(|m| m["phase"] != "terminated").collect();
        json!({"revision": until, "complete": true, "members": members})
    }
}

/// A piece of a watch as a chunk.
pub(crate) fn chunk(text: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", text.len()).into_bytes();
    chunk.extend_from_slice(text);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Where discovery is from the word that it is elsewhere on.
pub(crate) const ELSEWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 255, 0, 3)), 80);
/// What an agent answers that fails.
pub(crate) const FAILED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\ndown\n";
/// What an agent writes that is out of its mind: an object, but no list.
pub(crate) const GARBLED: &str = "{\"error\": {\"code\": 13, \"retry\": true}}\n";
/// The head of a watch's answer.
pub(crate) const WATCHED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
