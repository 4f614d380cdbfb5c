//! What goes wrong in a world.

use rand::Rng;
use rand::seq::SliceRandom;

use super::conn::Peer;
use super::{DRAIN, Event, NEAR, WAY, World};
use crate::Micros;
use crate::agent::Listed;
use crate::node::{ConnId, Node};
use crate::scenario::Trouble;

impl World {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Silence { zone, lasts, .. } => {
                self.nodes.iter_mut().filter(|n| n.zone == zone).for_each(|n| n.silent = true);
                self.line.plan(lasts, Event::Back(zone));
            }
            Trouble::Replace { part, lasts, .. } => {
                let mut live: Vec<usize> = (0..self.nodes.len()).filter(|&n| !self.nodes[n].gone).collect();
                live.shuffle(&mut self.rng);
                let many = (live.len() as f64 * part) as usize;
                for (k, n) in live.into_iter().take(many).enumerate() {
                    self.line.plan(lasts * k as Micros / many.max(1) as Micros, Event::Replaced(n));
                }
            }
            Trouble::Kill { part, back, .. } => {
                let many = (self.gateways.len() as f64 * part) as usize;
                let mut all: Vec<usize> = (0..self.gateways.len()).collect();
                all.shuffle(&mut self.rng);
                for g in all.into_iter().take(many) {
                    self.kill(g);
                    self.line.plan(back, Event::Start(g));
                }
            }
            Trouble::Roll { step, back, .. } => {
                let count = self.gateways.len();
                for tenth in 0..10 {
                    let range = count * tenth / 10..count * (tenth + 1) / 10;
                    let at = step * tenth as Micros;
                    for g in range.clone() {
                        self.line.plan(at + back, Event::Start(g));
                    }
                    self.line.plan(at, Event::Leave(range));
                }
            }
            Trouble::NoDiscovery { lasts, .. } => {
                self.discovery = false;
                let watches: Vec<ConnId> = self.conns_where(|c| matches!(c.peer, Peer::Agent { .. }));
                watches.into_iter().for_each(|c| self.line.plan(NEAR, Event::EndAtGateway(c)));
                self.line.plan(lasts, Event::Discovery(true));
            }
        }
    }

    /// The nodes of a zone are heard again, cold; what was open to them is reset.
    pub(super) fn back(&mut self, zone: usize) {
        let now = self.line.now();
        for n in 0..self.nodes.len() {
            if self.nodes[n].zone == zone && self.nodes[n].silent && !self.nodes[n].gone {
                self.reset_all(n);
                self.nodes[n].restart(now);
                self.list(n, Listed::InService);
            }
        }
    }

    pub(super) fn reset_all(&mut self, n: usize) {
        let open = self.conns_where(|c| matches!(c.peer, Peer::Node { face, .. } if face == n));
        open.into_iter().for_each(|c| self.line.plan(WAY, Event::EndAtGateway(c)));
    }

    pub(super) fn replaced(&mut self, n: usize) {
        let now = self.line.now();
        let (shard, zone) = (self.nodes[n].shard, self.nodes[n].zone);
        self.nodes.push(Node::new(&self.scenario.node, shard, zone, now, true));
        self.list(self.nodes.len() - 1, Listed::InService);
        self.list(n, Listed::Terminating);
        self.line.plan(DRAIN, Event::Gone(n));
    }

    pub(super) fn gone(&mut self, n: usize) {
        self.nodes[n].gone = true;
        self.reset_all(n);
        self.list(n, Listed::Terminated);
    }

    /// Lists a node, and plans when each agent hears of it.
    pub(super) fn list(&mut self, n: usize, state: Listed) {
        let node = &self.nodes[n];
        self.register.set(n, node.zone, node.shard, state, node.started);
        let revision = self.register.revision();
        for g in 0..self.gateways.len() {
            let lag = self.rng.random_range(self.scenario.lag.0..=self.scenario.lag.1);
            self.line.plan(lag, Event::Listed(g, revision));
        }
    }
}
