//! Watches on the list, and what agents tell on them.

use bytes::Bytes;
use platform::SocketId;
use rand::Rng;
use serde_json::Value;

use super::conn::{Conn, Peer, Watch};
use super::{BEAT, Event, NEAR, World};
use crate::agent::{ELSEWHERE, FAILED, GARBLED, WATCHED, chunk};
use crate::learning::Change;
use crate::node::ConnId;
use crate::scenario::{Outage, Trouble};
use crate::{Micros, Plant};

/// Between two pieces of what an agent tells.
const PIECES: Micros = 200;
/// The planted reader that learns late does so after this.
const PUT_OFF: Micros = 2_000_000;
/// Between a planted mistake's calls.
const POLLS: Micros = 200_000;
/// After SIGHUP the discovery before ends what is open.
const OLD_ENDS: Micros = 1_500_000;

impl World {
    pub(super) fn call(&mut self, g: usize, socket: SocketId) {
        let now = self.line.now();
        let first = !std::mem::replace(&mut self.gateways[g].called, true);
        self.tally.list_call(now, first);
        let mute = matches!(self.outage, Some(Outage::Silent | Outage::Hangs));
        let conn = self.add_conn(g, Some(socket), Peer::Agent(Watch { mute, ..Watch::default() }));
        match self.outage {
            Some(Outage::Hangs) => {}
            Some(Outage::Refuses) => self.line.plan(NEAR, Event::EndAtGateway(conn)),
            _ => self.line.plan(NEAR, Event::Up(conn)),
        }
    }

    /// A planted mistake: one call more, of which nothing comes.
    pub(super) fn polls(&mut self, g: usize) {
        self.tally.list_call(self.line.now(), false);
        self.line.plan(POLLS, Event::Polls(g));
    }

    /// A gateway asks for the list after the version that it has.
    pub(super) fn watched(&mut self, g: usize, conn: ConnId, ask: &[u8]) {
        let after = std::str::from_utf8(ask).ok().and_then(|text| {
            let digits = text.split("after=").nth(1)?;
            digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        });
        let outage = self.outage;
        let Some(Conn { peer: Peer::Agent(watch), .. }) = self.conns.get_mut(&conn) else { return };
        if watch.mute {
            return;
        }
        match outage {
            Some(Outage::Resets) => return self.line.plan(NEAR, Event::EndAtGateway(conn)),
            Some(Outage::Fails) => return self.tell_bytes(conn, FAILED.as_bytes()),
            Some(Outage::Garbles) => {
                watch.mute = true;
                self.tell_bytes(conn, WATCHED.as_bytes());
                return self.tell_bytes(conn, &chunk(GARBLED.as_bytes()));
            }
            _ => {}
        }
        watch.told = Some(after.unwrap_or(0));
        // A watch that is answered is none that fell silent: from here on what the agent has counts at once.
        self.gateways[g].learning.silent = None;
        self.tell_bytes(conn, WATCHED.as_bytes());
        let knows = self.gateways[g].learning.knows;
        if after.unwrap_or(0) >= knows {
            // The first object comes at once, also where nothing has changed: seen on the platform's clock, within 2 ms of 120 calls.
            let text = self.written(&self.register.changes(knows, knows));
            self.tell_text(conn, &text);
        }
        self.tell(g);
        if let Some(after) = self.gateways[g].mutes_again {
            self.line.plan(after, Event::Mute(conn));
        }
    }

    /// An agent has a version of the list.
    pub(super) fn listed(&mut self, g: usize, revision: u64) {
        let now = self.line.now();
        let back = self.outage.map(|_| self.outage_until);
        let learning = &mut self.gateways[g].learning;
        if revision <= learning.knows {
            return;
        }
        for (&revision, &change) in self.changes.range(learning.knows + 1..=revision) {
            learning.has(now, revision, change, back);
        }
        learning.knows = revision;
        self.tell(g);
    }

    /// The connections of a gateway to its agent on which the agent speaks.
    fn watches(&self, g: usize) -> Vec<ConnId> {
        let sockets = self.gateways[g].sockets.iter();
        let agents = sockets.filter(|(s, _)| matches!(s, SocketId::Discovery(_))).map(|(_, c)| *c);
        let mut speak: Vec<ConnId> = agents.filter(|c| self.watch(*c).is_some_and(Watch::speaks)).collect();
        speak.sort_unstable();
        speak
    }

    pub(super) fn watch(&self, conn: ConnId) -> Option<&Watch> {
        match &self.conns.get(&conn)?.peer {
            Peer::Agent(watch) => Some(watch),
            _ => None,
        }
    }

    /// Tells a gateway what its agent knows and has not told.
    fn tell(&mut self, g: usize) {
        let knows = self.gateways[g].learning.knows;
        for conn in self.watches(g) {
            let Some(told) = self.watch(conn).and_then(|w| w.told).filter(|&t| t < knows) else { continue };
            let list = self.register.changes(told, knows);
            let text = self.written(&list);
            self.line.plan_at(self.clear(conn), Event::Begins(g));
            self.tell_text(conn, &text);
            self.line.plan_at(self.clear(conn), Event::Heard(g, knows));
            if let Some(Conn { peer: Peer::Agent(watch), .. }) = self.conns.get_mut(&conn) {
                watch.told = Some(knows);
            }
        }
    }

    /// A list as the agents of this world write it.
    fn written(&self, list: &Value) -> String {
        if !self.scenario.writing.indented {
            return format!("{list}\n");
        }
        let text = serde_json::to_string_pretty(list).unwrap_or_default();
        let whole =
            |line: &&str| line.is_empty() || serde_json::from_str::<Value>(line).is_ok_and(|v| v.is_object());
        let lines: Vec<&str> = text.lines().filter(|l| self.plant != Plant::LineReader || whole(l)).collect();
        format!("\n{}\n\n", lines.join("\n"))
    }

    /// When what is told on a connection next begins to come.
    fn clear(&self, conn: ConnId) -> Micros {
        let late = if self.plant == Plant::LearnsLate { PUT_OFF } else { 0 };
        self.watch(conn).map_or(0, |w| w.clear).max(self.line.now() + NEAR + late)
    }

    /// Tells text, as chunks and pieces.
    fn tell_text(&mut self, conn: ConnId, text: &str) {
        let most = self.scenario.writing.piece;
        let mut chunks = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let n = if most == 0 { rest.len() } else { self.rng.random_range(1..=most * 4).min(rest.len()) };
            chunks.extend(chunk(&rest[..n]));
            rest = &rest[n..];
        }
        self.tell_bytes(conn, &chunks);
    }

    fn tell_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let (most, mut at, mut rest) = (self.scenario.writing.piece, self.clear(conn), bytes);
        while !rest.is_empty() {
            let n = if most == 0 { rest.len() } else { self.rng.random_range(1..=most).min(rest.len()) };
            self.line.plan_at(at, Event::ToGateway(conn, Bytes::copy_from_slice(&rest[..n])));
            rest = &rest[n..];
            at += if rest.is_empty() { 0 } else { PIECES };
        }
        if let Some(Conn { peer: Peer::Agent(watch), .. }) = self.conns.get_mut(&conn) {
            watch.clear = at;
        }
    }

    /// An empty line on each watch, as the platform has it every 2 s.
    pub(super) fn beat(&mut self, g: usize) {
        for conn in self.watches(g) {
            if self.watch(conn).is_some_and(|w| w.told.is_some()) {
                self.tell_text(conn, "\n");
            }
        }
        self.line.plan(BEAT, Event::Beat(g));
    }

    /// A list has come whole at a gateway that may have learnt it.
    pub(super) fn heard(&mut self, g: usize, revision: u64) {
        let now = self.line.now();
        if !self.gateways[g].grew() {
            return;
        }
        self.gateways[g].tries = 0;
        for (since_has, since_counts) in self.gateways[g].learning.learnt(now, revision) {
            self.tally.learnt(since_has, since_counts);
        }
    }

    /// A watch falls silent.
    pub(super) fn mute(&mut self, conn: ConnId) {
        let now = self.line.now();
        let Some(Conn { gateway, peer: Peer::Agent(watch), .. }) = self.conns.get_mut(&conn) else { return };
        let g = *gateway;
        watch.mute = true;
        self.tally.silenced += 1;
        if self.watches(g).is_empty() {
            self.gateways[g].learning.silent.get_or_insert(now);
        }
    }

    pub(super) fn outage_begins(&mut self, how: Outage, lasts: Micros) {
        (self.outage, self.outage_until) = (Some(how), self.line.now() + lasts);
        let watches = self.conns_where(|c| matches!(c.peer, Peer::Agent(_)));
        for conn in watches {
            if !matches!(how, Outage::Silent | Outage::Hangs | Outage::Garbles) {
                self.line.plan(NEAR, Event::EndAtGateway(conn));
                continue;
            }
            if how == Outage::Garbles {
                self.tell_bytes(conn, &chunk(GARBLED.as_bytes()));
            }
            if let Some(Conn { peer: Peer::Agent(watch), .. }) = self.conns.get_mut(&conn) {
                watch.mute = true;
            }
        }
        self.line.plan(lasts, Event::Discovery);
    }

    pub(super) fn outage_ends(&mut self) {
        self.outage = None;
    }

    /// The watches of some gateways fall silent.
    pub(super) fn mute_some(&mut self, gateways: Vec<usize>, again: Option<Micros>) {
        for g in gateways {
            self.gateways[g].mutes_again = again;
            let open = self.conns_where(|c| c.gateway == g && matches!(c.peer, Peer::Agent(_)));
            open.into_iter().for_each(|c| self.mute(c));
        }
    }

    /// A gateway is told of another discovery.
    pub(super) fn moves(&mut self, g: usize) {
        let now = self.line.now();
        let open = self.conns_where(|c| c.gateway == g && matches!(c.peer, Peer::Agent(_)));
        open.into_iter().for_each(|c| self.line.plan(OLD_ENDS, Event::EndAtGateway(c)));
        let Some(machine) = &mut self.gateways[g].machine else { return };
        machine.set_discovery_address(now, ELSEWHERE);
        self.drive(g);
    }

    /// A node drains and a cold one takes its place: one version of the list says both.
    pub(super) fn change(&mut self, drains: Option<usize>, starts: usize) {
        self.changes.insert(self.register.revision(), Change { drains, starts });
    }

    /// How long all outages last, for the bound on calls.
    pub(super) fn note_outages(&mut self) {
        let lasts = |t: &Trouble| if let Trouble::NoDiscovery { lasts, .. } = t { *lasts } else { 0 };
        self.tally.outages = self.scenario.troubles.iter().map(lasts).sum();
    }
}
