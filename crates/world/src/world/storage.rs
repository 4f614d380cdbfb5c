//! What reaches storage nodes, and what they answer.

use emulator::Arrival;
use http1::{RequestDecoder, RequestEvent};
use platform::SocketId;

use super::conn::{Conn, Peer};
use super::{Event, HANDSHAKE, LIMITS, WAY, World};
use crate::Micros;
use crate::node::{ConnId, Work};
use crate::scenario::Ill;
use rand::Rng;

/// Connections that come up late do so within this.
const UP_LATE: Micros = 1_000_000;

impl World {
    pub(super) fn connect(&mut self, g: usize, socket: Option<SocketId>, face: usize) {
        self.tally.connects += 1;
        let decoder = RequestDecoder::new(LIMITS);
        let conn = self.add_conn(
            g,
            socket,
            Peer::Node { face, up: false, decoder, lost: false, used: false, kept: None },
        );
        let late = match self.nodes.get(face).and_then(|n| n.ill) {
            Some(Ill::UpLate(part)) if self.rng.random_bool(part) => self.rng.random_range(0..UP_LATE),
            _ => 0,
        };
        if self.nodes.get(face).is_none_or(|n| n.gone) {
            self.line.plan(WAY * 2, Event::EndAtGateway(conn));
        } else if !self.nodes[face].silent {
            self.line.plan(WAY * 2 + HANDSHAKE + late, Event::Up(conn));
        }
    }

    pub(super) fn reach_node(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(Conn { peer: Peer::Node { face, decoder, lost, used, .. }, .. }) = self.conns.get_mut(&conn)
        else {
            return;
        };
        let n = *face;
        if *lost || self.nodes[n].silent || self.nodes[n].gone || self.nodes[n].fallen {
            *lost = true;
            return;
        }
        decoder.receive(bytes);
        let mut whole = Vec::new();
        while let Ok(Some(RequestEvent::Complete(request))) = decoder.poll() {
            whole.push(request);
        }
        if !whole.is_empty() && !std::mem::replace(used, true) {
            self.tally.used += 1;
        }
        for request in whole {
            let id = request.fields.unique("x-request-id").ok().flatten();
            let id = id.and_then(|id| std::str::from_utf8(id).ok()?.parse().ok());
            if let Some(id) = id {
                self.arrives(n, conn, id);
            }
        }
    }

    pub(super) fn arrives(&mut self, n: usize, conn: ConnId, id: u64) {
        let now = self.line.now();
        let Some(asking) = self.requests.get_mut(&id) else { return };
        self.tally.attempts += 1;
        self.tally.further += u64::from(asking.reached > 0);
        asking.reached += 1;
        let (units, g) = (asking.units, asking.gateway);
        let told = self.gateways[g].learning.starts.get(&n).is_some_and(|&counts| now >= counts);
        self.tally.cold_blamed += u64::from(self.nodes[n].pressed(now, units, told));
        match self.nodes[n].ill {
            Some(Ill::Hangs) => return,
            Some(Ill::Fails(part)) if self.rng.random_bool(part) => {
                let answer = http1::encode_response(500, &[], b"", true);
                return self.line.plan(WAY, Event::ToGateway(conn, answer));
            }
            _ => {}
        }
        let Some(asking) = self.requests.get(&id) else { return };
        let key = asking.write.then_some(asking.object);
        match self.nodes[n].arrive(now, Work { conn, request: id, key }, units) {
            Arrival::Taken => self.plan_node(n),
            Arrival::Full => {
                self.tally.full += 1;
                let answer = http1::encode_response(503, &[("X-Not-Processed", "1")], b"", true);
                self.line.plan(WAY, Event::ToGateway(conn, answer));
            }
            Arrival::Fallen => {
                self.tally.fallen += u64::from(!self.nodes[n].fallen);
                self.nodes[n].fallen = true;
            }
        }
    }

    pub(super) fn plan_node(&mut self, n: usize) {
        if let Some(due) = self.nodes[n].next_due() {
            self.line.plan_at(due, Event::NodeDue(n));
        }
    }

    pub(super) fn node_due(&mut self, n: usize) {
        let now = self.line.now();
        if self.nodes[n].next_due().is_none_or(|due| due > now) {
            return;
        }
        for (work, fresh) in self.nodes[n].advance(now) {
            if let (true, Some(key)) = (fresh, work.key) {
                let effects = self.effects.entry(key).or_default();
                *effects += 1;
                self.tally.doubled += u64::from(*effects == 2);
            }
            let body = work.request.to_string();
            let load = [("X-Server-Load", "TEXT inflight=1")];
            let answer = http1::encode_response(200, &load, body.as_bytes(), true);
            if let Some(Ill::Repeats(part, most)) = self.nodes[n].ill
                && self.rng.random_bool(part)
            {
                let after = self.rng.random_range(1..=most);
                self.tally.repeated += 1;
                self.line.plan(WAY + after, Event::ToGateway(work.conn, answer.clone()));
            }
            self.line.plan(WAY, Event::ToGateway(work.conn, answer));
        }
        self.plan_node(n);
    }
}
