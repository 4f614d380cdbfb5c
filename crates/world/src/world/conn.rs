//! Connections, and what reaches their ends at gateways.

use std::collections::VecDeque;

use bytes::Bytes;
use http1::{RequestDecoder, ResponseDecoder};
use platform::{ConnectionEnd, SocketId};

use super::{AT_ONCE, Event, World};
use crate::node::ConnId;
use crate::{Micros, Plant};

pub(super) enum Peer {
    Node {
        face: usize,
        up: bool,
        decoder: RequestDecoder,
        /// Nothing more will be heard on it: the node fell silent, or over.
        lost: bool,
        /// A request has come on it.
        used: bool,
        /// A planted mistake: the answer that was kept.
        kept: Option<Bytes>,
    },
    Agent(Watch),
    Client {
        decoder: ResponseDecoder,
        /// Asked on it and not answered, in order.
        requests: VecDeque<u64>,
        /// What came before the gateway accepted it.
        early: Vec<u8>,
        /// The client has seen its end.
        over: bool,
    },
}

/// A connection to an agent.
#[derive(Default)]
pub(super) struct Watch {
    pub(super) up: bool,
    /// It says nothing more, or never said anything.
    pub(super) mute: bool,
    /// The version told last on it, once it was asked.
    pub(super) told: Option<u64>,
    /// When all that was told on it has come.
    pub(super) clear: Micros,
}

impl Watch {
    pub(super) fn speaks(&self) -> bool {
        self.up && !self.mute && self.told.is_some()
    }
}

pub(super) struct Conn {
    pub(super) gateway: usize,
    pub(super) socket: Option<SocketId>,
    pub(super) peer: Peer,
}

impl World {
    pub(super) fn conns_where(&self, is: impl Fn(&Conn) -> bool) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| is(c)).map(|(id, _)| *id).collect()
    }

    pub(super) fn add_conn(&mut self, gateway: usize, socket: Option<SocketId>, peer: Peer) -> ConnId {
        let id = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(id, Conn { gateway, socket, peer });
        if let Some(socket) = socket {
            self.gateways[gateway].sockets.insert(socket, id);
        }
        id
    }

    /// Takes a connection out of the world; nobody is told.
    pub(super) fn drop_conn(&mut self, conn: ConnId) {
        let Some(c) = self.conns.remove(&conn) else { return };
        if let Peer::Node { face, up: true, .. } = c.peer {
            self.nodes[face].connections -= 1;
        }
    }

    pub(super) fn up(&mut self, conn: ConnId) {
        let now = self.line.now();
        let Some(c) = self.conns.get_mut(&conn) else { return };
        match &mut c.peer {
            Peer::Node { face, up, .. } => {
                let node = &mut self.nodes[*face];
                if node.silent {
                    return;
                }
                if node.gone || node.connections >= self.scenario.places {
                    self.tally.crowded += u64::from(!node.gone);
                    return self.end_at_gateway(conn);
                }
                *up = true;
                node.connections += 1;
                self.tally.came_up += 1;
                self.tally.most_connections = self.tally.most_connections.max(node.connections);
            }
            Peer::Agent(watch) => watch.up = true,
            Peer::Client { .. } => {}
        }
        let (g, Some(socket)) = (c.gateway, c.socket) else { return };
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.connection_established(now, socket);
            self.drive(g);
        }
    }

    pub(super) fn reach_gateway(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.line.now();
        let spoilt = self.spoilt(conn, bytes);
        let bytes = spoilt.as_deref().unwrap_or(bytes);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let Peer::Node { face, lost, .. } = &c.peer
            && (*lost || self.nodes[*face].silent)
        {
            return;
        }
        let g = c.gateway;
        if let Peer::Agent(_) = c.peer {
            self.gateways[g].spoke = now;
        }
        let Some(socket) = c.socket else {
            if let Peer::Client { early, .. } = &mut c.peer {
                early.extend_from_slice(bytes);
            }
            return;
        };
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.received(now, socket, now, bytes);
            self.drive(g);
        }
    }

    /// What comes instead of an answer, where handing it to the next request is planted.
    fn spoilt(&mut self, conn: ConnId, bytes: &[u8]) -> Option<Bytes> {
        if self.plant != Plant::NextAnswer {
            return None;
        }
        let Peer::Node { kept, .. } = &mut self.conns.get_mut(&conn)?.peer else { return None };
        kept.replace(Bytes::copy_from_slice(bytes))
    }

    /// A connection ends at its gateway: the other side closed or reset it, or it never came.
    pub(super) fn end_at_gateway(&mut self, conn: ConnId) {
        let now = self.line.now();
        let Some(c) = self.conns.get(&conn) else { return };
        let (g, socket) = (c.gateway, c.socket);
        let (was_up, node) = match c.peer {
            Peer::Node { up, face, .. } => (up, Some(face)),
            Peer::Agent(Watch { up, .. }) => (up, None),
            Peer::Client { .. } => (true, None),
        };
        self.drop_conn(conn);
        if let (Plant::ReconnectsAtOnce, Some(face)) = (self.plant, node) {
            let life = self.gateways[g].life;
            self.line.plan(AT_ONCE, Event::Reconnects(g, life, face));
        }
        let Some(socket) = socket else { return };
        self.gateways[g].sockets.remove(&socket);
        if let Some(machine) = &mut self.gateways[g].machine {
            machine.connection_ended(
                now,
                socket,
                if was_up { ConnectionEnd::Broken } else { ConnectionEnd::Cut },
            );
            self.drive(g);
        }
    }
}
