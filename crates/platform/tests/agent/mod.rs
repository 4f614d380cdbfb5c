//! A simulated discovery agent that treats each call in any possible way, and the machine that makes the
//! calls, in virtual time.

#![allow(dead_code)] // Each test file uses a part of it.

mod schedule;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::common::*;
use platform::SocketId;
pub use schedule::*;

pub const SECOND: i64 = 1_000_000;
/// Time that a ready agent takes to accept a connection, and to answer.
pub const NETWORK_DELAY: i64 = 1_000;
/// A watch without progress for this long is suspect: the platform's empty line every 2 s, and half a second.
pub const SILENCE: i64 = 2_500_000;
/// Interval at which agents write an empty line.
const EMPTY_LINE_INTERVAL: i64 = 2_000_000;
/// Time after SIGHUP at which the previous discovery closes its open watches.
const OLD_WATCH_CLOSE_DELAY: i64 = 1_500_000;
/// The revision that the machine remembers at its start.
const KNOWN_REVISION: u64 = 5;

enum Event {
    Established(SocketId),
    Answer(SocketId),
    EmptyLine(SocketId),
    SendChanges(SocketId),
    /// The next byte of a list that is never complete.
    NextByte(SocketId, usize),
    UnknownObject(SocketId),
    End(SocketId),
    Ready(bool),
    Change,
    Sighup,
}

struct Call {
    outcome: Option<CallOutcome>,
    /// The revision sent last, once a request was received.
    sent_revision: Option<u64>,
    /// Every change is sent on it, and an empty line every 2 s.
    streaming: bool,
}

/// What the simulation recorded.
#[derive(Default)]
pub struct Observations {
    /// When each call was made.
    pub calls: Vec<i64>,
    /// The largest number of calls open at a time.
    pub max_open_calls: usize,
    /// When each revision was first applied.
    pub applied_at: BTreeMap<u64, i64>,
    /// For each time at which the agent became ready, the last progress of a useless watch that was open
    /// then.
    pub stale_progress: BTreeMap<i64, i64>,
}

/// A gateway and its discovery agent.
pub struct AgentSimulation<'a> {
    pub gateway: TestGateway,
    schedule: &'a AgentSchedule,
    ready: bool,
    revision: u64,
    queue: BTreeMap<(i64, u64), Event>,
    number: u64,
    calls: BTreeMap<SocketId, Call>,
    /// When data that counts as progress was last sent on each watch.
    progress_at: BTreeMap<SocketId, i64>,
    outcomes_used: usize,
    address: u16,
    pub observed: Observations,
}

impl<'a> AgentSimulation<'a> {
    pub fn new(seed: u64, grace: i64, schedule: &'a AgentSchedule) -> Self {
        let members =
            [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
        let mut config = config(address(1), 512, &node_list(KNOWN_REVISION, true, &members));
        (config.seed, config.settings.drain_grace) = (seed, grace);
        let mut simulation = AgentSimulation {
            gateway: TestGateway::from_config(&config, LARGE_LIMITS),
            schedule,
            ready: true,
            revision: KNOWN_REVISION,
            queue: BTreeMap::new(),
            number: 0,
            calls: BTreeMap::new(),
            progress_at: BTreeMap::new(),
            outcomes_used: 0,
            address: 1,
            observed: Observations::default(),
        };
        let begin = simulation.gateway.now;
        let mut at = begin;
        for &(unready, ready) in &schedule.phases {
            simulation.schedule_at(at + unready, Event::Ready(true));
            if at > begin {
                simulation.schedule_at(at, Event::Ready(false));
            }
            at += unready + ready;
        }
        // The first phase begins with the process: the agent is unusable from the first moment.
        simulation.ready = schedule.phases.first().is_none_or(|t| t.0 == 0);
        schedule.changes.iter().for_each(|&c| simulation.schedule_at(begin + c, Event::Change));
        schedule.sighups.iter().for_each(|&h| simulation.schedule_at(begin + h, Event::Sighup));
        simulation
    }

    fn schedule_at(&mut self, at: i64, event: Event) {
        self.queue.insert((at, self.number), event);
        self.number += 1;
    }

    fn schedule_after(&mut self, after: i64, event: Event) {
        self.schedule_at(self.gateway.now + after, event);
    }

    /// Runs the simulation for a time span.
    pub fn run(&mut self, span: i64) {
        let end = self.gateway.now + span;
        self.observe();
        loop {
            let event = self.queue.first_key_value().map_or(i64::MAX, |(k, _)| k.0);
            let until = event.min(self.gateway.machine.next_due()).min(end).max(self.gateway.now);
            self.gateway.advance(until - self.gateway.now);
            self.observe();
            while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= until) {
                let event = first.remove();
                self.handle(event);
                self.observe();
            }
            if until >= end {
                return;
            }
        }
    }

    fn next_outcome(&mut self) -> CallOutcome {
        self.outcomes_used += 1;
        self.schedule.outcomes[(self.outcomes_used - 1) % self.schedule.outcomes.len()]
    }

    /// Records what the machine did: calls made and abandoned, and revisions applied.
    fn observe(&mut self) {
        let now = self.gateway.now;
        self.calls.retain(|socket, _| !self.gateway.closed.contains(socket));
        let new: Vec<(SocketId, SocketAddr)> = self
            .gateway
            .connecting
            .iter()
            .filter(|c| matches!(c.0, SocketId::Discovery(_)))
            .copied()
            .collect();
        for (socket, at) in new {
            let still_connecting = self.gateway.connecting.iter().any(|c| c.0 == socket);
            if self.calls.contains_key(&socket) || !still_connecting {
                continue;
            }
            assert_eq!(at, address(self.address), "the discovery in force is called");
            self.observed.calls.push(now);
            let outcome = (!self.ready).then(|| self.next_outcome());
            self.calls.insert(socket, Call { outcome, sent_revision: None, streaming: false });
            self.observed.max_open_calls = self.observed.max_open_calls.max(self.calls.len());
            match outcome {
                Some(CallOutcome::Refused) => self.ended(socket),
                Some(CallOutcome::Hangs) => {}
                Some(CallOutcome::EstablishedLate(late)) => {
                    self.schedule_after(late, Event::Established(socket))
                }
                _ => self.schedule_after(NETWORK_DELAY, Event::Established(socket)),
            }
        }
        let nodes = self.gateway.machine.summary();
        let nodes = nodes.split(' ').find_map(|part| part.strip_prefix("nodes=")?.parse::<u64>().ok());
        let applied_revision = KNOWN_REVISION + nodes.expect("a count of nodes") - 2;
        for revision in KNOWN_REVISION + 1..=applied_revision {
            self.observed.applied_at.entry(revision).or_insert(now);
        }
    }

    fn ended(&mut self, socket: SocketId) {
        if self.calls.remove(&socket).is_some() {
            self.gateway.end(socket, true);
            self.observe();
        }
    }

    /// Sends bytes on an open call. `is_progress`: they count as progress.
    fn send(&mut self, socket: SocketId, text: &str, is_progress: bool) {
        if self.calls.contains_key(&socket) {
            if is_progress {
                self.progress_at.insert(socket, self.gateway.now);
            }
            self.gateway.receive(socket, text);
            self.observe();
        }
    }

    fn send_chunk(&mut self, socket: SocketId, text: &str, is_progress: bool) {
        self.send(socket, &format!("{:x}\r\n{text}\r\n", text.len()), is_progress);
    }

    /// Returns the changes after a revision.
    fn changes(&self, after: u64) -> String {
        let new = |v: u64| list_entry(&format!("n{v}"), address(200 + v as u16), 0, "in_service");
        let members: Vec<serde_json::Value> = (after + 1..=self.revision).map(new).collect();
        let list = node_list(self.revision, false, &members);
        if self.schedule.indented { format!("\n{list:#}\n") } else { format!("{list}\n") }
    }

    /// Sends the changes that were not sent yet, or an empty line.
    fn send_changes(&mut self, socket: SocketId) {
        let Some(call) = self.calls.get_mut(&socket) else { return };
        let after = call.sent_revision.replace(self.revision).unwrap_or(KNOWN_REVISION);
        let text = if after < self.revision { self.changes(after) } else { "\n".to_owned() };
        self.send_chunk(socket, &text, true);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Established(socket) if self.calls.contains_key(&socket) => {
                self.gateway.establish(socket);
                let request = self.gateway.take_written(socket);
                let after = request.split("after=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
                if let Some(call) = self.calls.get_mut(&socket) {
                    call.sent_revision = after;
                    if matches!(call.outcome, Some(CallOutcome::EstablishedLate(_))) {
                        call.outcome = (!self.ready).then_some(CallOutcome::NoAnswer);
                    }
                }
                self.schedule_after(NETWORK_DELAY, Event::Answer(socket));
            }
            Event::Answer(socket) => self.answer(socket),
            Event::EmptyLine(socket) if self.calls.get(&socket).is_some_and(|c| c.streaming) => {
                self.send_changes(socket);
                self.schedule_after(EMPTY_LINE_INTERVAL, Event::EmptyLine(socket));
            }
            Event::SendChanges(socket) if self.calls.get(&socket).is_some_and(|c| c.streaming) => {
                self.send_changes(socket)
            }
            Event::NextByte(socket, at) => {
                let text = format!("{}\"long\":\"{}", r#"{"revision":9,"#, "x".repeat(200));
                if let Some(byte) = text.get(at..at + 1) {
                    self.send_chunk(socket, byte, at == 0);
                    self.schedule_after(300_000, Event::NextByte(socket, at + 1));
                }
            }
            Event::UnknownObject(socket) => {
                self.send_chunk(socket, "{\"error\": \"later\"}\n", false);
                if self.calls.contains_key(&socket) {
                    self.schedule_after(SECOND, Event::UnknownObject(socket));
                }
            }
            Event::End(socket) => self.ended(socket),
            Event::Ready(ready) => self.set_ready(ready),
            Event::Change => {
                self.revision += 1;
                self.streaming()
                    .into_iter()
                    .for_each(|c| self.schedule_after(NETWORK_DELAY, Event::SendChanges(c)));
            }
            Event::Sighup => {
                self.address += 1;
                let old: Vec<SocketId> = self.calls.keys().copied().collect();
                old.into_iter().for_each(|c| self.schedule_after(OLD_WATCH_CLOSE_DELAY, Event::End(c)));
                self.gateway.machine.set_discovery_address(self.gateway.now, address(self.address));
                self.gateway.perform_outputs();
            }
            Event::Established(_) | Event::EmptyLine(_) | Event::SendChanges(_) => {}
        }
    }

    fn streaming(&self) -> Vec<SocketId> {
        self.calls.iter().filter(|(_, c)| c.streaming).map(|(socket, _)| *socket).collect()
    }

    fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
        if ready {
            let open = self.calls.keys().filter_map(|c| self.progress_at.get(c)).max();
            self.observed.stale_progress.insert(self.gateway.now, open.copied().unwrap_or(0));
            let mute = |c: &Call| c.outcome == Some(CallOutcome::NoAnswer) && c.sent_revision.is_some();
            let mute: Vec<SocketId> =
                self.calls.iter().filter(|(_, c)| mute(c)).map(|(socket, _)| *socket).collect();
            for call in mute.into_iter().filter(|_| self.schedule.answers_later) {
                self.calls.get_mut(&call).expect("it is open").outcome = None;
                self.schedule_after(NETWORK_DELAY, Event::Answer(call));
            }
            return;
        }
        for socket in self.streaming() {
            let outcome = self.next_outcome();
            let call = self.calls.get_mut(&socket).expect("it is open");
            call.streaming = false;
            match outcome {
                CallOutcome::Refused
                | CallOutcome::Reset
                | CallOutcome::Error
                | CallOutcome::AnsweredThenEnded => self.ended(socket),
                CallOutcome::InvalidJson => self.send_chunk(socket, "<html>", false),
                CallOutcome::InvalidHttp => self.send(socket, "zz\r\n", false),
                CallOutcome::UnknownObject => {
                    self.schedule_after(NETWORK_DELAY, Event::UnknownObject(socket))
                }
                CallOutcome::EndlessList => self.schedule_after(NETWORK_DELAY, Event::NextByte(socket, 0)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, socket: SocketId) {
        let Some(call) = self.calls.get_mut(&socket) else { return };
        // Requests received while the agent is ready are answered, others are not.
        match call.outcome {
            None if !self.ready => call.outcome = Some(CallOutcome::NoAnswer),
            Some(outcome) if self.ready && outcome != CallOutcome::NoAnswer => call.outcome = None,
            _ => {}
        }
        match call.outcome {
            None => {
                call.streaming = true;
                self.send(socket, WATCH_RESPONSE_HEAD, false);
                self.send_changes(socket);
                self.schedule_after(EMPTY_LINE_INTERVAL, Event::EmptyLine(socket));
            }
            Some(CallOutcome::Reset) => self.ended(socket),
            Some(CallOutcome::Error) => {
                self.send(socket, "HTTP/1.1 503 Down\r\nContent-Length: 2\r\n\r\nno", false)
            }
            Some(CallOutcome::InvalidHttp) => self.send(socket, "what is this\r\n\r\n", false),
            Some(CallOutcome::InvalidJson) => {
                self.send(socket, WATCH_RESPONSE_HEAD, false);
                self.send_chunk(socket, "<html>", false);
            }
            Some(CallOutcome::HeadOnly) => self.send(socket, WATCH_RESPONSE_HEAD, false),
            Some(CallOutcome::UnknownObject) => {
                self.send(socket, WATCH_RESPONSE_HEAD, false);
                self.schedule_after(0, Event::UnknownObject(socket));
            }
            Some(CallOutcome::EndlessList) => {
                self.send(socket, WATCH_RESPONSE_HEAD, false);
                self.schedule_after(0, Event::NextByte(socket, 0));
            }
            Some(outcome @ (CallOutcome::AnsweredThenEnded | CallOutcome::AnsweredThenSilent)) => {
                self.send(socket, WATCH_RESPONSE_HEAD, false);
                self.send_changes(socket);
                if outcome == CallOutcome::AnsweredThenEnded {
                    self.schedule_after(NETWORK_DELAY, Event::End(socket));
                }
            }
            Some(
                CallOutcome::Refused
                | CallOutcome::Hangs
                | CallOutcome::EstablishedLate(_)
                | CallOutcome::NoAnswer,
            ) => {}
        }
    }
}
