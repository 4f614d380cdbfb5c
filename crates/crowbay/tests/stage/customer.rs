//! Other customers' settings, requests by these, and storage nodes that do to each attempt what a test wants.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

use http1::{Request, RequestDecoder, RequestEvent};
use serde_json::{Value, json};

use super::{LIMITS, serve};

/// What a node does with an attempt once its last byte has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Serve,
    /// The connection is reset.
    Reset,
    /// Nothing until the stage lets go; then it is served.
    Hold,
    /// Nothing until the stage lets go; then the connection is reset.
    HoldAndReset,
}

/// An attempt that a node got whole.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub node: &'static str,
    /// Connections of all nodes count from 0, as they come.
    pub connection: usize,
    pub at: Instant,
    pub timeout_ms: u64,
}

type Plot = dyn Fn(&Seen, usize) -> Act + Send + Sync;

/// What all nodes of a test share: their plot, and what they got. The plot is told an attempt, and how many of the same request came
/// before it.
pub struct Nodes {
    plot: Box<Plot>,
    seen: Mutex<Vec<Seen>>,
    connections: Mutex<usize>,
    let_go: Mutex<bool>,
    free: Condvar,
}

impl Nodes {
    pub fn new(plot: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static) -> Arc<Nodes> {
        Arc::new(Nodes {
            plot: Box::new(plot),
            seen: Mutex::default(),
            connections: Mutex::default(),
            let_go: Mutex::default(),
            free: Condvar::new(),
        })
    }

    /// One more node; where it listens.
    pub fn start(self: &Arc<Self>, name: &'static str) -> SocketAddr {
        let own = self.clone();
        serve(move |stream| own.face(name, stream))
    }

    pub fn let_go(&self) {
        *self.let_go.lock().expect("held") = true;
        self.free.notify_all();
    }

    /// Attempts of a request, in order.
    pub fn of(&self, id: &str) -> Vec<Seen> {
        self.seen.lock().expect("seen").iter().filter(|s| s.id == id).cloned().collect()
    }

    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().expect("seen").clone()
    }

    fn face(&self, node: &'static str, mut stream: TcpStream) {
        let connection = {
            let mut connections = self.connections.lock().expect("connections");
            *connections += 1;
            *connections - 1
        };
        while let Some((request, bytes)) = waiting(&stream) {
            let field = |name: &str| {
                let value = request.fields.unique(name).ok().flatten().unwrap_or_default();
                String::from_utf8_lossy(value).into_owned()
            };
            let (id, timeout_ms) = (field("x-request-id"), field("x-timeout-ms").parse().expect("a timeout"));
            let seen = Seen { id, node, connection, at: Instant::now(), timeout_ms };
            let before = {
                let mut all = self.seen.lock().expect("seen");
                let before = all.iter().filter(|s| s.id == seen.id).count();
                all.push(seen.clone());
                before
            };
            let act = (self.plot)(&seen, before);
            if matches!(act, Act::Hold | Act::HoldAndReset) {
                let held = self.let_go.lock().expect("held");
                drop(self.free.wait_while(held, |let_go| !*let_go).expect("held"));
            }
            if matches!(act, Act::Reset | Act::HoldAndReset) {
                // Closed over unread bytes: the system resets it.
                return;
            }
            let answer = http1::encode_response(200, &[], seen.id.as_bytes(), true);
            let taken = std::io::Read::read_exact(&mut stream, &mut vec![0; bytes]);
            if taken.and_then(|()| std::io::Write::write_all(&mut stream, &answer)).is_err() {
                return;
            }
        }
    }
}

/// The next request that has come whole, left in the socket, and its length; none once the connection ends.
fn waiting(stream: &TcpStream) -> Option<(Request, usize)> {
    let mut buffer = vec![0; 128 << 10];
    loop {
        let n = stream.peek(&mut buffer).ok().filter(|&n| n > 0)?;
        let mut decoder = RequestDecoder::new(LIMITS);
        decoder.receive(&buffer[..n]);
        if let Some(RequestEvent::Complete(request)) = decoder.poll().ok()? {
            return Some((request, n));
        }
        thread::yield_now();
    }
}

fn class(name: &str, aim_ms: u64, deadline_ms: u64, effect: &str) -> Value {
    json!({"name": name, "targetUs": aim_ms * 1000, "deadlineUs": deadline_ms * 1000, "worth": 1.0, "lateValue": 0.5,
           "idempotency": effect, "group": "all", "keyTtlUs": 5_000_000})
}

fn keyed(name: &str, deadline_ms: u64, group: &str, window_ms: u64) -> Value {
    let mut class = class(name, deadline_ms, deadline_ms, "idempotency_key");
    (class["group"], class["keyTtlUs"]) = (json!(group), json!(window_ms * 1000));
    class
}

fn plan(name: &str, limit: f64, burst: f64) -> Value {
    json!({"name": name, "usualRate": 50.0, "floorRate": 500.0, "ceilingRate": limit, "limitBurst": burst,
           "capSlack": 0.0, "shares": 1.0, "price": 1.0})
}

/// Two classes far apart in time, one of which may not be repeated; nothing may be cancelled, drains have to be heeded sooner than a way
/// up takes, one plan is bound tightly.
pub fn vault() -> Value {
    json!({
        "classes": [class("glance", 150, 150, "read_like"), class("transfer-out", 5000, 5000, "non_idempotent")],
        "policies": [plan("house", 20.0, 2.0), plan("founders club", 0.0, 0.0)],
        "peersTotal": 1, "index": 0, "discovery": "push",
        "policyLimits": {"sendCap": 5, "cancel": false, "mayDuplicate": false, "retryAfter": false,
                         "connIdleUs": 10_000_000, "connectTimeoutUs": 400_000},
        "familyInfo": {"largest": 2, "meanUnits": 1.0, "slotsTotal": 1, "writes": [false, true]},
        "rules": {"fallUs": 1_000_000, "warmUpUs": 1_000_000, "coldFrom": 0.5, "drainGraceUs": 150_000}
    })
}

/// Five classes of all effects and groups, windows under a second.
pub fn orders() -> Value {
    json!({
        "classes": [class("price", 5000, 5000, "read_like"), keyed("place_order", 5000, "all", 900),
                    keyed("Reserve.Stock", 5000, "zone", 900), keyed("pay-in", 5000, "cell", 300),
                    class("capture", 5000, 5000, "non_idempotent")],
        "policies": [plan("market", 0.0, 0.0)],
        "peersTotal": 3, "index": 2, "discovery": "push",
        "policyLimits": {"sendCap": 4, "cancel": true, "mayDuplicate": true, "probing": true, "retryAfter": true,
                         "maxRetryAfterUs": 400_000, "connIdleUs": 30_000_000, "connectTimeoutUs": 150_000},
        "familyInfo": {"largest": 6, "meanUnits": 2.5, "slotsTotal": 2, "writes": [false, true, true, true, true]},
        "rules": {"fallUs": 800_000, "warmUpUs": 9_000_000, "coldFrom": 0.2, "drainGraceUs": 2_500_000}
    })
}

/// One class, whose window is over before an attempt can have failed; one attempt and none beyond it.
pub fn single() -> Value {
    json!({
        "classes": [keyed("x", 5000, "all", 40)],
        "policies": [plan("~", 0.0, 0.0)],
        "peersTotal": 1, "index": 0, "discovery": "push",
        "policyLimits": {"sendCap": 1, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 100_000},
        "familyInfo": {"writes": [true]},
        "rules": {"drainGraceUs": 0, "lookBackUs": 1_000_000, "spareAttempts": 0.0, "resendRatio": 0.0}
    })
}

/// Names of the classes, whether they write, and the last plan's name.
pub fn names(settings: &Value) -> (Vec<(String, bool)>, String) {
    let name = |v: &Value| v["name"].as_str().expect("a name").to_owned();
    let classes = settings["classes"].as_array().expect("classes");
    let writes = |i: usize| settings["familyInfo"]["writes"][i].as_bool().expect("whether it writes");
    let plans = settings["policies"].as_array().expect("plans");
    (
        classes.iter().enumerate().map(|(i, c)| (name(c), writes(i))).collect(),
        name(plans.last().expect("a plan")),
    )
}

/// A customer's configuration: this list is known, and discovery has nothing to add.
pub fn customer(settings: &Value, discovery: SocketAddr, known: &Value) -> Value {
    let mut config = super::config(discovery, 256, known);
    config["settings"] = settings.clone();
    config
}

/// A list of nodes that all hold the first shard, each in a zone of its own.
pub fn copies(nodes: &[(&str, SocketAddr)]) -> Value {
    let mut list = super::list(7, nodes);
    for (i, member) in list["members"].as_array_mut().expect("members").iter_mut().enumerate() {
        (member["cell"], member["locality"]) = (json!(0), json!(format!("z{i}")));
    }
    list
}

/// A request as a usual client words it.
pub fn words((class, writes): &(String, bool), plan: &str, id: &str, timeout_ms: u64) -> String {
    let (method, rest) = if *writes {
        ("PUT", "Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody")
    } else {
        ("GET", "\r\n")
    };
    format!(
        "{method} /{class}/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Plan: {plan}\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-IO: units=1,shard=0,hosts=1\r\n{rest}"
    )
}
