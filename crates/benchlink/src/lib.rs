//! Connects schedulers to the simulator's wire: framing of messages, and their translation to and from the
//! events and actions of the decision module. One [`Adapter`] hosts any number of schedulers, which share
//! nothing. No decision is made here.

#![forbid(unsafe_code)]

mod instance;
mod wire;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::Deserialize;
use serde_json::value::RawValue;

use decisions::*;
use instance::{Instance, TrackedRequest};
use wire::*;

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// Reading or writing failed.
    Io(io::Error),
    /// A message is invalid: its line number and the reason.
    Malformed(usize, String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "input or output failed: {e}"),
            WireError::Malformed(line, reason) => write!(f, "line {line}: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

/// Hosts the scheduler instances of one process.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    /// Node lists by their number `bank`.
    ledgers: HashMap<u32, Vec<LedgerEntry>>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

fn parse<'a, T: Deserialize<'a>>(name: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("{name}: {e}"))
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
                .handle_line(&line, &mut batch, &mut reply)
                .map_err(|reason| WireError::Malformed(number, reason))?;
            if done {
                output.write_all(&reply)?;
                output.flush()?;
                reply.clear();
            }
        }
    }

    /// Handles one message; returns whether it ended the batch.
    fn handle_line(
        &mut self,
        line: &str,
        batch: &mut Option<Sync>,
        reply: &mut Vec<u8>,
    ) -> Result<bool, String> {
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
                write_reply(reply, &Reply::Ack { seq: b.seq })?;
                *batch = None;
                Ok(true)
            }
            (_, Some(b)) => {
                let now = b.t_us;
                self.handle_message(now, name, raw, reply)?;
                Ok(false)
            }
        }
    }

    /// Handles a message inside a batch. Messages of unknown names are ignored, as are those for instances,
    /// requests and nodes that are unknown.
    fn handle_message(
        &mut self,
        now: Micros,
        name: &str,
        raw: &RawValue,
        reply: &mut Vec<u8>,
    ) -> Result<(), String> {
        match name {
            "Launch" => {
                let m: Launch = parse(name, raw)?;
                let settings = m.profile_data.settings().map_err(|e| format!("Launch: profileData.{e}"))?;
                self.instances.insert(m.i, Instance::new(Scheduler::new(settings, m.prng)));
                Ok(())
            }
            "Destroy" => {
                let m: Destroy = parse(name, raw)?;
                self.instances.remove(&m.i);
                Ok(())
            }
            "Ledger" => {
                let m: Ledger = parse(name, raw)?;
                self.ledgers.insert(m.bank, m.hosts);
                Ok(())
            }
            "PeersKnown" => self.on_peers_known(now, &parse(name, raw)?, reply),
            "Ask" => self.on_ask(now, parse(name, raw)?, reply),
            "Accepted" => {
                let m: Accepted = parse(name, raw)?;
                let Some((node, request)) = self.lookup(m.i, &m.node, &m.rid) else {
                    return Ok(());
                };
                let event = Event::AnswerStarted { request, attempt: m.n, node, latency: m.spent_us };
                self.deliver(m.i, now, event, reply)
            }
            "Answer" => self.on_answer(now, &parse(name, raw)?, reply),
            "Left" => self.on_left(now, &parse(name, raw)?, reply),
            "Fired" => {
                let m: Fired = parse(name, raw)?;
                self.deliver(m.i, now, Event::Timer(m.handle), reply)
            }
            _ => Ok(()),
        }
    }

    fn on_peers_known(&mut self, now: Micros, m: &PeersKnown, reply: &mut Vec<u8>) -> Result<(), String> {
        if m.how == "error" {
            return self.deliver(m.i, now, Event::NodeListFailed, reply);
        }
        let Some(ledger) = m.bank.and_then(|b| self.ledgers.get(&b)).cloned() else {
            return Err(format!("PeersKnown: no Ledger has the number {:?}", m.bank));
        };
        let Some(instance) = self.instances.get_mut(&m.i) else {
            return Ok(());
        };
        let entries = ledger.into_iter().map(|entry| instance.node_entry(entry)).collect();
        let complete = m.how != "diff";
        let from_cache = m.how == "disk";
        self.deliver(m.i, now, Event::Nodes { complete, from_cache, entries }, reply)
    }

    fn on_ask(&mut self, now: Micros, m: Ask, reply: &mut Vec<u8>) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&m.i) else {
            return Ok(());
        };
        let id = instance.next_request_id();
        let request = Request {
            id,
            class: m.lane,
            plan: m.qos_class.unwrap_or(0),
            volume: VolumeId(parse_hex("storeUser", m.store_user.as_deref().unwrap_or("0"))?),
            key: m.item.as_deref().map(|k| parse_hex("item", k)).transpose()?.map(KeyId),
            shard: m.slot_no.filter(|&s| s >= 0.0).map(|s| ShardId(s as u32)),
            units: m.units.unwrap_or(1.0),
            hosts: m.hosts.map_or(0, |h| h as u32),
            timeout: m.ttl_us,
            is_retry: m.is_retry.unwrap_or(false),
            client: None,
        };
        instance.by_rid.insert(m.rid.clone(), id);
        instance.requests.insert(id, TrackedRequest { rid: m.rid, in_flight: 0, open: true });
        self.deliver(m.i, now, Event::Request(request), reply)
    }

    fn on_answer(&mut self, now: Micros, m: &WireAnswer, reply: &mut Vec<u8>) -> Result<(), String> {
        let Some((node, request)) = self.lookup(m.i, &m.node, &m.rid) else {
            return Ok(());
        };
        let answer = Answer {
            request,
            attempt: m.n,
            node,
            outcome: parse_outcome(&m.outcome)?,
            settled: m.settled,
            latency: m.spent_us,
            metered_use: m.metered.filter(|&x| x >= 1.0).map(|x| (x - 1.0) / 100.0),
            units_elsewhere: m.delta.unwrap_or(0.0),
        };
        if let Some(tracked) = self.tracked_request(m.i, request) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
            tracked.open &= !m.settled;
        }
        self.deliver(m.i, now, Event::Answer(answer), reply)?;
        if let Some(instance) = self.instances.get_mut(&m.i) {
            instance.remove_if_done(request);
        }
        Ok(())
    }

    fn on_left(&mut self, now: Micros, m: &Left, reply: &mut Vec<u8>) -> Result<(), String> {
        let Some(instance) = self.instances.get(&m.i) else {
            return Ok(());
        };
        let Some(&id) = instance.by_rid.get(&m.rid) else {
            return Ok(());
        };
        self.deliver(m.i, now, Event::Withdrawn(id), reply)?;
        if let Some(instance) = self.instances.get_mut(&m.i) {
            instance.close(id);
        }
        Ok(())
    }

    fn tracked_request(&mut self, i: u32, id: RequestId) -> Option<&mut TrackedRequest> {
        self.instances.get_mut(&i)?.requests.get_mut(&id)
    }

    /// The ids of a node and a request of an instance, if both are known.
    fn lookup(&self, i: u32, node: &str, rid: &str) -> Option<(NodeId, RequestId)> {
        let instance = self.instances.get(&i)?;
        Some((*instance.by_node.get(node)?, *instance.by_rid.get(rid)?))
    }

    /// Passes an event to an instance's scheduler and writes the messages of its actions.
    fn deliver(&mut self, i: u32, now: Micros, event: Event, reply: &mut Vec<u8>) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&i) else {
            return Ok(());
        };
        self.actions.clear();
        instance.scheduler.handle(now, event, &mut self.actions);
        for action in &self.actions {
            instance.write_action(i, action, reply)?;
        }
        Ok(())
    }
}

fn write_reply(output: &mut Vec<u8>, reply: &Reply) -> Result<(), String> {
    serde_json::to_writer(&mut *output, reply).map_err(|e| format!("cannot write a reply: {e}"))?;
    output.push(b'\n');
    Ok(())
}
