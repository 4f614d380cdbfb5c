//! Gateways: their machines, and what these say.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use platform::{Machine, Output, Sizes, SocketId};

use super::conn::Peer;
use super::{Event, NEAR, WAY, World};
use crate::agent::Agent;
use crate::client::PATIENCE;
use crate::config::{config, face};
use crate::node::ConnId;
use crate::{Micros, Plant};

pub(super) struct Gateway {
    pub(super) machine: Option<Machine>,
    pub(super) life: u32,
    pub(super) sockets: HashMap<SocketId, ConnId>,
    pub(super) due: Micros,
    /// Leave to accept, and clients that wait for it.
    pub(super) leaves: usize,
    pub(super) waiting: VecDeque<ConnId>,
    pub(super) listening: bool,
    pub(super) next_client: u64,
    /// Connections of clients on which nothing is asked.
    pub(super) idle: Vec<ConnId>,
    pub(super) agent: Agent,
    /// It has called for the list in this life.
    pub(super) called: bool,
}

impl World {
    pub(super) fn start(&mut self, g: usize) {
        let now = self.line.now();
        let gateway = &mut self.gateways[g];
        gateway.life += 1;
        gateway.called = false;
        self.tally.starts += 1;
        let known = self.register.whole(gateway.agent.knows);
        let config = config(&self.scenario, g, gateway.life, &known);
        let sizes = Sizes::of(config.limits.sockets, config.limits.memory_mb);
        gateway.machine = Some(Machine::new(now, &config, sizes));
        gateway.listening = true;
        gateway.due = Micros::MAX;
        self.drive(g);
    }

    /// A gateway is no more, with all that it had.
    pub(super) fn kill(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        gateway.machine = None;
        gateway.listening = false;
        gateway.leaves = 0;
        gateway.waiting.clear();
        gateway.sockets.clear();
        for conn in self.conns_where(|c| c.gateway == g) {
            match self.conns[&conn].peer {
                Peer::Client { request, .. } => {
                    self.tally.killed_open += u64::from(request.is_some());
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.socket = None;
                    }
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                }
                _ => self.drop_conn(conn),
            }
        }
    }

    pub(super) fn wake(&mut self, g: usize, life: u32) {
        let now = self.line.now();
        let gateway = &mut self.gateways[g];
        if gateway.life != life || gateway.due > now {
            return;
        }
        gateway.due = Micros::MAX;
        if let Some(machine) = &mut gateway.machine {
            machine.tick(now);
            self.drive(g);
        }
    }

    /// Does what a machine says until it says nothing more, and plans its next wake.
    pub(super) fn drive(&mut self, g: usize) {
        let now = self.line.now();
        loop {
            let Some(machine) = &mut self.gateways[g].machine else { return };
            let outputs: Vec<Output> = machine.drain().collect();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.output(g, output);
            }
            self.admit(g);
        }
        let gateway = &mut self.gateways[g];
        let Some(machine) = &gateway.machine else { return };
        self.tally.most_held = self.tally.most_held.max(machine.held());
        if machine.is_over() {
            return self.kill(g);
        }
        let due = machine.next_due();
        if due < gateway.due {
            gateway.due = due;
            let life = gateway.life;
            self.line.plan_at(due.max(now), Event::Wake(g, life));
        }
    }

    /// Accepts as far as there is leave.
    pub(super) fn admit(&mut self, g: usize) {
        let now = self.line.now();
        loop {
            let gateway = &mut self.gateways[g];
            if gateway.leaves == 0 || gateway.machine.is_none() {
                return;
            }
            let Some(conn) = gateway.waiting.pop_front() else { return };
            gateway.leaves -= 1;
            self.accept(g, now, conn);
        }
    }

    pub(super) fn accept(&mut self, g: usize, now: Micros, conn: ConnId) {
        let gateway = &mut self.gateways[g];
        let (Some(machine), Some(c)) = (&mut gateway.machine, self.conns.get_mut(&conn)) else { return };
        gateway.next_client += 1;
        let socket = SocketId::Client(gateway.next_client);
        c.socket = Some(socket);
        gateway.sockets.insert(socket, conn);
        machine.accepted(now, gateway.next_client);
        if let Peer::Client { early, .. } = &mut c.peer
            && !early.is_empty()
        {
            machine.received(now, socket, now, &std::mem::take(early));
        }
    }

    pub(super) fn output(&mut self, g: usize, output: Output) {
        let now = self.line.now();
        match output {
            Output::Connect(socket @ SocketId::Node(_), at) => {
                self.connect(g, Some(socket), face(at));
                if self.plant == Plant::OpensUnasked {
                    self.connect(g, None, face(at));
                }
            }
            Output::Connect(socket, _) if self.plant == Plant::InStep => {
                let life = self.gateways[g].life;
                self.line.plan_at(now / 1_000_000 * 1_000_000 + 1_000_000, Event::Calls(g, life, socket));
            }
            Output::Connect(socket, _) => self.call(g, socket),
            Output::Write(socket, bytes) => self.write(g, socket, bytes),
            Output::Reuse(socket, bytes) => {
                if self.gateways[g].sockets.contains_key(&socket) {
                    self.write(g, socket, bytes);
                } else if let Some(machine) = &mut self.gateways[g].machine {
                    machine.stale(now, socket, bytes);
                }
            }
            Output::Finish(socket) => {
                if let Some(&conn) = self.gateways[g].sockets.get(&socket) {
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                }
            }
            Output::Close(socket) => {
                let Some(conn) = self.gateways[g].sockets.remove(&socket) else { return };
                if let SocketId::Client(_) = socket {
                    if let Some(c) = self.conns.get_mut(&conn) {
                        c.socket = None;
                    }
                    self.line.plan(NEAR, Event::EndAtClient(conn));
                } else {
                    self.drop_conn(conn);
                }
            }
            Output::Resume(_) => {}
            Output::Accept => self.gateways[g].leaves += 1,
            Output::Unlisten => {
                self.gateways[g].listening = false;
                while let Some(conn) = self.gateways[g].waiting.pop_front() {
                    self.accept(g, now, conn);
                }
                if let Some(machine) = &mut self.gateways[g].machine {
                    machine.shut();
                }
            }
        }
    }

    pub(super) fn write(&mut self, g: usize, socket: SocketId, bytes: Bytes) {
        let Some(&conn) = self.gateways[g].sockets.get(&socket) else { return };
        match &self.conns[&conn].peer {
            Peer::Node { .. } => {
                if self.plant == Plant::SendsTwice {
                    self.line.plan(WAY, Event::ToNode(conn, bytes.clone()));
                }
                self.line.plan(WAY, Event::ToNode(conn, bytes));
            }
            Peer::Agent { .. } => self.watched(g, conn, &bytes),
            Peer::Client { request, .. } => {
                let held = self.plant == Plant::HoldsBack && !bytes.starts_with(b"HTTP/1.1 200");
                let asked = request.and_then(|r| self.requests.get(&r)).filter(|_| held);
                let after = asked.map_or(NEAR, |a| a.asked + PATIENCE * 9 / 10 - self.line.now());
                self.line.plan(after.max(NEAR), Event::ToClient(conn, bytes));
            }
        }
    }
}
