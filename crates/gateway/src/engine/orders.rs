//! The node list, and orders in force.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use decisions::{NodeId, NodeState};
use recovery::{Place, Word};
use storage_core::{ListedNode, Micros, Opcode, Operation, Ticket};

use super::Engine;
use crate::link::Link;
use crate::options::NodeLine;
use crate::returning::{Order, Returning};

impl Engine {
    pub(super) fn list(&mut self, now: Micros, whole: bool, remembered: bool, lines: &[NodeLine]) {
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = self.core.node_id(&line.name);
            let state = NodeState::from(line.state);
            self.starts.insert(node, line.started);
            self.ordered.insert(node, state);
            if state != NodeState::Gone {
                self.link_to(node, line);
            }
            listed.push(ListedNode {
                name: line.name.clone(),
                zone: line.zone,
                shard: line.shard,
                state: steered(&self.drains, &line.name, state),
                started: {
                    let listed = (line.started > 0).then_some(line.started);
                    self.returning.as_ref().map_or(listed, |r| r.started(listed))
                },
            });
        }
        self.core.nodes(now, whole, remembered, &listed, &mut self.effects);
    }

    pub(super) fn return_with(&mut self, now: Micros, what: impl FnOnce(&mut Returning, &mut Vec<Order>)) {
        let Some(returning) = &mut self.returning else { return };
        let mut orders = Vec::new();
        what(returning, &mut orders);
        for order in orders {
            match order {
                Order::Adopt(word) => self.adopt(now, &word),
                Order::HoldCold => self.restate(now, |_| None),
                Order::ReadBack(work) => {
                    self.next_ticket += 1;
                    let ticket = Ticket(self.next_ticket);
                    let Place { nsid, slba, blocks, .. } = work.place;
                    self.settling.insert(ticket, work);
                    let read = Operation {
                        ticket,
                        opcode: Opcode::Read,
                        nsid,
                        slba,
                        blocks,
                        data: Bytes::new(),
                        token: 0,
                        retry: false,
                        client: None,
                    };
                    self.core.submit(now, read, &mut self.effects);
                }
            }
        }
        self.settle(now);
    }

    /// Takes orders that came by a peer, or from this gateway's own disk, as facts: what drains, what is held.
    pub(super) fn adopt(&mut self, now: Micros, word: &Word) {
        let volume = |name: &String| {
            let mut volumes = self.options.catalogue.volumes();
            volumes.find(|v| &v.name == name).map(|v| v.nsid)
        };
        (self.revision, self.paused) = (word.orders, self.options.await_orders || word.paused);
        self.held = word.held.iter().filter_map(volume).collect();
        let drained: HashMap<&str, bool> = word.nodes.iter().map(|n| (n.name.as_str(), n.drained)).collect();
        self.restate(now, |name| drained.get(name).copied());
    }

    /// States the list again, with nodes drained or not as told; of the others nothing changes but what holds for all starts.
    pub(super) fn restate(&mut self, now: Micros, drained: impl Fn(&str) -> Option<bool>) {
        let mut listed = Vec::new();
        for (id, n) in self.core.node_views().iter().filter(|(_, n)| n.state != NodeState::Gone) {
            let ordered = match drained(&n.name) {
                Some(true) => NodeState::Draining,
                Some(false) => NodeState::On,
                None => self.ordered.get(id).copied().unwrap_or(n.state),
            };
            self.ordered.insert(*id, ordered);
            listed.push(ListedNode {
                name: n.name.clone(),
                zone: n.zone,
                shard: n.shard,
                state: steered(&self.drains, &n.name, ordered),
                started: self.returning.as_ref().map_or(n.started, |r| r.started(n.started)),
            });
        }
        self.core.nodes(now, false, false, &listed, &mut self.effects);
    }

    pub(super) fn link_to(&mut self, node: NodeId, line: &NodeLine) {
        if let Some(link) = self.links.get(&node) {
            if link.address == line.address {
                return;
            }
            link.end();
        }
        let host = format!("nqn.2026-12.crowbay:gateway:{}", self.options.name);
        let mut host_id = [0; 16];
        host_id[..8].copy_from_slice(&self.options.seed.to_le_bytes());
        host_id[8] = 1;
        let inbox = self.inbox.clone();
        match Link::start(line.address, self.options.link.clone(), host, host_id, inbox) {
            Ok(link) => {
                self.links.insert(node, link);
            }
            Err(error) => tracing::error!(node = line.name, %error, "no coroutine for a link"),
        }
    }
}

/// A node's state, as ordered and as the control plane has it: a drain of either stands over a list that says *on*.
fn steered(drains: &BTreeSet<String>, node: &str, ordered: NodeState) -> NodeState {
    if ordered == NodeState::On && drains.contains(node) { NodeState::Draining } else { ordered }
}
