//! Requests of clients, and settings with a class of each effect.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::config;

/// Class of reads.
pub const READ: &str = "look";
/// Class whose requests may not be repeated.
pub const ONCE: &str = "post";
/// Class whose requests carry a key and may be repeated at all nodes.
pub const KEYED: &str = "keep";

/// A site with a class of each effect; ways up may take long, and so may clients. `cancel`: attempts may be taken back.
pub fn site(discovery: SocketAddr, known: &Value, cancel: bool) -> Value {
    let mut site = config(discovery, 256, known);
    let class = |name: &str, effect: &str| {
        json!({"name": name, "targetUs": 8_000_000, "deadlineUs": 9_000_000, "worth": 1.0, "lateValue": 0.1,
               "idempotency": effect, "group": "all", "keyTtlUs": 60_000_000})
    };
    let settings = &mut site["settings"];
    settings["classes"] =
        json!([class(READ, "read_like"), class(ONCE, "non_idempotent"), class(KEYED, "idempotency_key")]);
    settings["familyInfo"]["writes"] = json!([false, true, true]);
    settings["policyLimits"]["cancel"] = json!(cancel);
    settings["policyLimits"]["connectTimeoutUs"] = json!(6_000_000);
    site
}

/// The whole text of a request of shard 0. `fields`: lines beside the usual ones.
pub fn text(class: &str, id: &str, wait_ms: u32, fields: &str, body: &str) -> String {
    let (method, length) = match class {
        READ => ("GET", String::new()),
        _ => ("PUT", format!("Content-Length: {}\r\n", body.len())),
    };
    let key = if class == KEYED { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{class}/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Plan: plain\r\nX-Timeout-Ms: {wait_ms}\r\nX-IO: units=1,shard=0,hosts=1\r\n\
         {key}{length}{fields}\r\n{body}"
    )
}

/// A read by a client that waits for 8 s.
pub fn read(id: &str) -> String {
    text(READ, id, 8000, "", "")
}
