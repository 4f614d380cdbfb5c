//! The simulator's wire: its messages, their framing, and the translation to and from the module's own
//! words. One [`Adapter`] hosts any number of schedulers, which share nothing. No decision is made here.

#![forbid(unsafe_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use decisions::*;
use profile::Profile;

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// Reading or writing failed.
    Io(io::Error),
    /// A message could not be understood; the line number and what is wrong with it.
    Malformed(usize, String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "input or output failed: {e}"),
            WireError::Malformed(line, what) => write!(f, "line {line}: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Sync {
    t_us: Micros,
    seq: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Launch {
    i: u32,
    prng: u64,
    profile_data: Profile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Only {
    i: u32,
}

#[derive(Deserialize)]
struct Ledger {
    bank: u32,
    hosts: Vec<Listed>,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
struct Listed {
    node: String,
    site: Option<u32>,
    bay: Option<i64>,
    stage_state: String,
    came_up_us: Option<Micros>,
}

#[derive(Deserialize)]
struct PeersKnown {
    i: u32,
    how: String,
    bank: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Ask {
    i: u32,
    rid: String,
    lane: usize,
    qos_class: Option<usize>,
    item: Option<String>,
    ttl_us: Micros,
    store_user: Option<String>,
    units: Option<f64>,
    slot_no: Option<f64>,
    hosts: Option<f64>,
    is_retry: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Accepted {
    i: u32,
    rid: String,
    n: u32,
    node: String,
    spent_us: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireAnswer {
    i: u32,
    rid: String,
    n: u32,
    outcome: String,
    settled: bool,
    metered: Option<f64>,
    delta: Option<f64>,
    node: String,
    spent_us: Micros,
}

#[derive(Deserialize)]
struct Left {
    i: u32,
    rid: String,
}

#[derive(Deserialize)]
struct Fired {
    i: u32,
    handle: u64,
}

#[derive(Serialize)]
enum Sent<'a> {
    #[serde(rename_all = "camelCase")]
    SubmitTo {
        i: u32,
        rid: &'a str,
        node: &'a str,
        patience_us: Micros,
    },
    #[serde(rename_all = "camelCase")]
    Busy {
        i: u32,
        rid: &'a str,
        retry_after_us: Micros,
    },
    GiveUp {
        i: u32,
        rid: &'a str,
    },
    DropAttempt {
        i: u32,
        rid: &'a str,
        n: u32,
    },
    #[serde(rename_all = "camelCase")]
    WakeAt {
        i: u32,
        span_us: Micros,
        handle: u64,
    },
    Follow {
        i: u32,
        on: bool,
    },
    #[serde(rename_all = "camelCase")]
    Log {
        i: u32,
        note_text: &'a str,
    },
    Ack {
        seq: u64,
    },
}

/// Wire id of a request, and what still keeps it from being forgotten.
struct Held {
    rid: String,
    out: u32,
    open: bool,
}

/// One scheduler with the ids that it and the wire call things by.
struct Instance {
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, Held>,
    by_rid: HashMap<String, RequestId>,
    next_request: u64,
    nodes: Vec<String>,
    by_node: HashMap<String, NodeId>,
}

impl Instance {
    fn node(&mut self, word: &str) -> NodeId {
        if let Some(&id) = self.by_node.get(word) {
            return id;
        }
        let id = NodeId(self.nodes.len() as u32);
        self.nodes.push(word.to_owned());
        self.by_node.insert(word.to_owned(), id);
        id
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|h| !h.open && h.out == 0)
            && let Some(held) = self.requests.remove(&id)
        {
            self.by_rid.remove(&held.rid);
        }
    }

    fn close(&mut self, id: RequestId) {
        if let Some(held) = self.requests.get_mut(&id) {
            held.open = false;
        }
        self.forget_if_over(id);
    }
}

/// Hosts the instances of one process.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    banks: HashMap<u32, Vec<Listed>>,
    actions: Vec<Action>,
}

fn parse<'a, T: Deserialize<'a>>(name: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("{name}: {e}"))
}

fn hex(what: &str, text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("Ask: {what} '{text}' is not hexadecimal"))
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Full,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::Unreachable,
        "dropped" => Outcome::Reset,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => return Err(format!("Answer: unknown outcome '{other}'")),
    })
}

impl Adapter {
    /// Reads batches until the input ends and writes a reply to each.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
        let mut line = String::new();
        let mut number = 0;
        let mut batch: Option<Sync> = None;
        let mut reply = Vec::new();
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return match batch {
                    Some(b) => Err(WireError::Malformed(number, format!("batch {} has no Flush", b.seq))),
                    None => Ok(()),
                };
            }
            number += 1;
            if line.trim().is_empty() {
                continue;
            }
            let done = self
                .line(&line, &mut batch, &mut reply)
                .map_err(|what| WireError::Malformed(number, what))?;
            if done {
                output.write_all(&reply)?;
                output.flush()?;
                reply.clear();
            }
        }
    }

    fn line(&mut self, line: &str, batch: &mut Option<Sync>, reply: &mut Vec<u8>) -> Result<bool, String> {
        let message: BTreeMap<&str, &RawValue> =
            serde_json::from_str(line).map_err(|e| format!("not a message: {e}"))?;
        let mut entries = message.into_iter();
        let (Some((name, raw)), None) = (entries.next(), entries.next()) else {
            return Err("a message has one name".into());
        };
        match (name, &batch) {
            ("Sync", Some(_)) => Err("Sync inside a batch".into()),
            ("Sync", None) => {
                *batch = Some(parse(name, raw)?);
                Ok(false)
            }
            (_, None) => Err(format!("{name} outside a batch")),
            ("Flush", Some(b)) => {
                write_line(reply, &Sent::Ack { seq: b.seq })?;
                *batch = None;
                Ok(true)
            }
            (_, Some(b)) => {
                let now = b.t_us;
                self.event(now, name, raw, reply)?;
                Ok(false)
            }
        }
    }

    fn event(&mut self, now: Micros, name: &str, raw: &RawValue, reply: &mut Vec<u8>) -> Result<(), String> {
        match name {
            "Launch" => {
                let m: Launch = parse(name, raw)?;
                let settings = m.profile_data.settings().map_err(|e| format!("Launch: profileData.{e}"))?;
                let instance = Instance {
                    scheduler: Scheduler::new(settings, m.prng),
                    requests: BTreeMap::new(),
                    by_rid: HashMap::new(),
                    next_request: 0,
                    nodes: Vec::new(),
                    by_node: HashMap::new(),
                };
                self.instances.insert(m.i, instance);
                Ok(())
            }
            "Destroy" => {
                let m: Only = parse(name, raw)?;
                self.instances.remove(&m.i);
                Ok(())
            }
            "Ledger" => {
                let m: Ledger = parse(name, raw)?;
                self.banks.insert(m.bank, m.hosts);
                Ok(())
            }
            "PeersKnown" => {
                let m: PeersKnown = parse(name, raw)?;
                if m.how == "error" {
                    return self.give(m.i, now, Event::NodesFailed, reply);
                }
                let Some(listed) = m.bank.and_then(|b| self.banks.get(&b)).cloned() else {
                    return Err(format!("PeersKnown: no Ledger has the number {:?}", m.bank));
                };
                let Some(instance) = self.instances.get_mut(&m.i) else {
                    return Ok(());
                };
                let entries = listed
                    .into_iter()
                    .map(|l| NodeEntry {
                        node: instance.node(&l.node),
                        zone: l.site.unwrap_or(0),
                        shard: ShardId(l.bay.unwrap_or(0).max(0) as u32),
                        state: match l.stage_state.as_str() {
                            "on" => NodeState::On,
                            "fading" => NodeState::Draining,
                            _ => NodeState::Gone,
                        },
                        started: l.came_up_us.filter(|&t| t != 0),
                    })
                    .collect();
                let whole = m.how != "diff";
                let remembered = m.how == "disk";
                self.give(m.i, now, Event::Nodes { whole, remembered, entries }, reply)
            }
            "Ask" => {
                let m: Ask = parse(name, raw)?;
                let Some(instance) = self.instances.get_mut(&m.i) else {
                    return Ok(());
                };
                let id = RequestId(instance.next_request);
                instance.next_request += 1;
                let request = Request {
                    id,
                    class: m.lane,
                    plan: m.qos_class.unwrap_or(0),
                    volume: VolumeId(hex("storeUser", m.store_user.as_deref().unwrap_or("0"))?),
                    key: m.item.as_deref().map(|k| hex("item", k)).transpose()?.map(KeyId),
                    shard: m.slot_no.filter(|&s| s >= 0.0).map(|s| ShardId(s as u32)),
                    units: m.units.unwrap_or(1.0),
                    hosts: m.hosts.map_or(0, |h| h as u32),
                    patience: m.ttl_us,
                    retry: m.is_retry.unwrap_or(false),
                    client: None,
                };
                instance.by_rid.insert(m.rid.clone(), id);
                instance.requests.insert(id, Held { rid: m.rid, out: 0, open: true });
                self.give(m.i, now, Event::Request(request), reply)
            }
            "Accepted" => {
                let m: Accepted = parse(name, raw)?;
                let Some((node, request)) = self.known(m.i, &m.node, &m.rid) else {
                    return Ok(());
                };
                let event = Event::Started { request, attempt: m.n, node, latency: m.spent_us };
                self.give(m.i, now, event, reply)
            }
            "Answer" => {
                let m: WireAnswer = parse(name, raw)?;
                let Some((node, request)) = self.known(m.i, &m.node, &m.rid) else {
                    return Ok(());
                };
                let answer = Answer {
                    request,
                    attempt: m.n,
                    node,
                    outcome: outcome(&m.outcome)?,
                    settled: m.settled,
                    latency: m.spent_us,
                    metered: m.metered.filter(|&x| x >= 1.0).map(|x| (x - 1.0) / 100.0),
                    elsewhere: m.delta.unwrap_or(0.0),
                };
                if let Some(held) = self.held(m.i, request) {
                    held.out = held.out.saturating_sub(1);
                    held.open &= !m.settled;
                }
                self.give(m.i, now, Event::Answer(answer), reply)?;
                if let Some(instance) = self.instances.get_mut(&m.i) {
                    instance.forget_if_over(request);
                }
                Ok(())
            }
            "Left" => {
                let m: Left = parse(name, raw)?;
                let Some(instance) = self.instances.get(&m.i) else {
                    return Ok(());
                };
                let Some(&id) = instance.by_rid.get(&m.rid) else {
                    return Ok(());
                };
                self.give(m.i, now, Event::Withdrawn(id), reply)?;
                if let Some(instance) = self.instances.get_mut(&m.i) {
                    instance.close(id);
                }
                Ok(())
            }
            "Fired" => {
                let m: Fired = parse(name, raw)?;
                self.give(m.i, now, Event::Timer(m.handle), reply)
            }
            _ => Ok(()),
        }
    }

    fn held(&mut self, i: u32, id: RequestId) -> Option<&mut Held> {
        self.instances.get_mut(&i)?.requests.get_mut(&id)
    }

    fn known(&self, i: u32, node: &str, rid: &str) -> Option<(NodeId, RequestId)> {
        let instance = self.instances.get(&i)?;
        Some((*instance.by_node.get(node)?, *instance.by_rid.get(rid)?))
    }

    fn give(&mut self, i: u32, now: Micros, event: Event, reply: &mut Vec<u8>) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&i) else {
            return Ok(());
        };
        self.actions.clear();
        instance.scheduler.handle(now, event, &mut self.actions);
        for action in &self.actions {
            let rid = |id: &RequestId| instance.requests.get(id).map(|h| h.rid.as_str());
            let mut over = None;
            let sent = match action {
                Action::Send { request, node, patience } => {
                    let Some(held) = instance.requests.get_mut(request) else { continue };
                    held.out += 1;
                    let node = instance.nodes[node.0 as usize].as_str();
                    Sent::SubmitTo { i, rid: &held.rid, node, patience_us: *patience }
                }
                Action::Refuse { request, come_back } => {
                    over = Some(*request);
                    let Some(rid) = rid(request) else { continue };
                    Sent::Busy { i, rid, retry_after_us: *come_back }
                }
                Action::Fail { request } => {
                    over = Some(*request);
                    let Some(rid) = rid(request) else { continue };
                    Sent::GiveUp { i, rid }
                }
                Action::Cancel { request, attempt } => {
                    let Some(rid) = rid(request) else { continue };
                    Sent::DropAttempt { i, rid, n: *attempt }
                }
                Action::SetTimer { after, token } => Sent::WakeAt { i, span_us: *after, handle: *token },
                Action::Subscribe => Sent::Follow { i, on: true },
                Action::Log(text) => Sent::Log { i, note_text: text },
            };
            write_line(reply, &sent)?;
            if let Some(id) = over {
                instance.close(id);
            }
        }
        Ok(())
    }
}

fn write_line(reply: &mut Vec<u8>, sent: &Sent) -> Result<(), String> {
    serde_json::to_writer(&mut *reply, sent).map_err(|e| format!("cannot write a reply: {e}"))?;
    reply.push(b'\n');
    Ok(())
}
