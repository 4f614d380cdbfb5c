//! Watches on the list, and what agents tell on them.

use bytes::Bytes;
use platform::SocketId;

use super::conn::{Conn, Peer};
use super::{Event, NEAR, World};
use crate::agent::{WATCHED, chunk};
use crate::node::ConnId;

impl World {
    pub(super) fn call(&mut self, g: usize, socket: SocketId) {
        let now = self.line.now();
        let first = !std::mem::replace(&mut self.gateways[g].called, true);
        self.tally.list_call(now, first);
        let conn = self.add_conn(g, Some(socket), Peer::Agent { up: false });
        let event = if self.discovery { Event::Up(conn) } else { Event::EndAtGateway(conn) };
        self.line.plan(NEAR, event);
    }

    /// A gateway asks to watch the list after the version that it has.
    pub(super) fn watched(&mut self, g: usize, conn: ConnId, ask: &[u8]) {
        let after = std::str::from_utf8(ask).ok().and_then(|text| {
            let digits = text.split("after=").nth(1)?;
            digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        });
        self.gateways[g].agent.told = after.unwrap_or(0);
        self.line.plan(NEAR, Event::ToGateway(conn, Bytes::from_static(WATCHED.as_bytes())));
        self.tell(g);
    }

    /// Tells a gateway what its agent knows and has not told.
    pub(super) fn tell(&mut self, g: usize) {
        let agent = &self.gateways[g].agent;
        if agent.knows > agent.told {
            let line = self.register.changes(agent.told, agent.knows).to_string();
            if self.tell_line(g, &line) {
                let agent = &mut self.gateways[g].agent;
                agent.told = agent.knows;
            }
        }
    }

    pub(super) fn tell_line(&mut self, g: usize, line: &str) -> bool {
        let sockets = &self.gateways[g].sockets;
        let watch =
            sockets.iter().filter(|(s, _)| matches!(s, SocketId::Discovery(_))).map(|(_, c)| *c).max();
        let up = |c: &ConnId| matches!(self.conns.get(c), Some(Conn { peer: Peer::Agent { up: true }, .. }));
        let Some(conn) = watch.filter(up).filter(|_| self.discovery) else { return false };
        self.line.plan(NEAR, Event::ToGateway(conn, Bytes::from(chunk(line))));
        true
    }
}
