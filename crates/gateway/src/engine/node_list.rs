//! The node list and the operators' orders in force.

use std::collections::{BTreeSet, HashMap};

use decisions::{NodeId, NodeState};
use recovery::{Place, Word};
use storage_core::{Action, Answer, Effect, ListedNode, Micros, Operation, OperationId};

use super::Engine;
use crate::node_connection::NodeConnection;
use crate::options::NodeLine;
use crate::recovery_driver::{EngineAction, RecoveryDriver};

impl Engine {
    /// Applies a node list. With `replace_all` it is the complete list, otherwise only the changed entries;
    /// `remembered` means that it comes from this gateway's own storage and may be out of date.
    pub(super) fn apply_node_list(
        &mut self,
        now: Micros,
        replace_all: bool,
        remembered: bool,
        lines: &[NodeLine],
    ) {
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = self.core.node_id(&line.name);
            let state = NodeState::from(line.state);
            self.node_starts.insert(node, line.started);
            self.ordered_states.insert(node, state);
            if state != NodeState::Gone {
                self.connect_node(node, line);
            }
            listed.push(ListedNode {
                name: line.name.clone(),
                zone: line.zone,
                shard: line.shard,
                state: effective_state(&self.control_plane_drains, &line.name, state),
                started: {
                    let listed = (line.started > 0).then_some(line.started);
                    self.recovery.as_ref().map_or(listed, |r| r.effective_start(listed))
                },
            });
        }
        self.update_nodes(now, replace_all, remembered, &listed);
    }

    fn update_nodes(&mut self, now: Micros, replace_all: bool, remembered: bool, listed: &[ListedNode]) {
        self.core.update_nodes(now, replace_all, remembered, listed, &mut self.effects);
        let nodes: Vec<NodeId> = if replace_all {
            self.node_connections.keys().copied().collect()
        } else {
            listed.iter().map(|entry| self.core.node_id(&entry.name)).collect()
        };
        self.drop_unwanted_attempts(now, nodes);
    }

    pub(super) fn with_recovery(
        &mut self,
        now: Micros,
        act: impl FnOnce(&mut RecoveryDriver, &mut Vec<EngineAction>),
    ) {
        let Some(recovery) = &mut self.recovery else { return };
        let mut actions = Vec::new();
        act(recovery, &mut actions);
        for action in actions {
            match action {
                EngineAction::AdoptOrders(state) => self.adopt_orders(now, &state),
                EngineAction::TreatNodesAsCold => self.restate_nodes(now, |_| None),
                EngineAction::ReadBack(write) => {
                    self.next_operation_id += 1;
                    let operation_id = OperationId(self.next_operation_id);
                    let Place { nsid, slba, blocks, .. } = write.place;
                    self.settling_reads.insert(operation_id, write);
                    let read = Operation {
                        id: operation_id,
                        nsid,
                        action: Action::Read { slba, blocks },
                        token: 0,
                        retry: false,
                        client: None,
                    };
                    if let Err(invalid) = self.core.submit(now, read, &mut self.effects) {
                        tracing::error!(%invalid, "a write of the journal cannot be read back");
                        self.effects.push(Effect::Answer(operation_id, Answer::Refused { retry_after: 0 }));
                    }
                }
            }
        }
        self.apply_effects(now);
    }

    /// Applies orders received from a peer or read from this gateway's own disk: drained nodes, volumes on
    /// hold, pause.
    pub(super) fn adopt_orders(&mut self, now: Micros, state: &Word) {
        (self.revision, self.paused) = (state.orders, self.options.await_orders || state.paused);
        self.held_volumes = self.volume_ids(&state.held);
        let drained: HashMap<&str, bool> = state.nodes.iter().map(|n| (n.name.as_str(), n.drained)).collect();
        self.restate_nodes(now, |name| drained.get(name).copied());
    }

    /// Namespace identifiers of the volumes with these names; unknown names are skipped.
    pub(super) fn volume_ids(&self, names: &[String]) -> BTreeSet<u32> {
        let volume = |name: &String| {
            let mut volumes = self.options.catalogue.volumes();
            volumes.find(|v| &v.name == name).map(|v| v.nsid)
        };
        names.iter().filter_map(volume).collect()
    }

    /// Restates the node list with drains as given. Nodes for which `drained` returns `None` keep their
    /// ordered state; only their effective start times may change.
    pub(super) fn restate_nodes(&mut self, now: Micros, drained: impl Fn(&str) -> Option<bool>) {
        let mut listed = Vec::new();
        for (id, n) in self.core.node_views().iter().filter(|(_, n)| n.state != NodeState::Gone) {
            let ordered = match drained(&n.name) {
                Some(true) => NodeState::Draining,
                Some(false) => NodeState::On,
                None => self.ordered_states.get(id).copied().unwrap_or(n.state),
            };
            self.ordered_states.insert(*id, ordered);
            listed.push(ListedNode {
                name: n.name.clone(),
                zone: n.zone,
                shard: n.shard,
                state: effective_state(&self.control_plane_drains, &n.name, ordered),
                started: self.recovery.as_ref().map_or(n.started, |r| r.effective_start(n.started)),
            });
        }
        self.update_nodes(now, false, false, &listed);
    }

    pub(super) fn connect_node(&mut self, node: NodeId, line: &NodeLine) {
        if let Some(connection) = self.node_connections.get(&node) {
            if connection.address == line.address {
                return;
            }
            connection.close();
        }
        let host = format!("nqn.2026-12.crowbay:gateway:{}", self.options.name);
        let mut host_id = [0; 16];
        host_id[..8].copy_from_slice(&self.options.seed.to_le_bytes());
        host_id[8] = 1;
        let inbox = self.inbox.clone();
        let options = self.options.node_connection.clone();
        match NodeConnection::start(node, line.address, options, host, host_id, inbox) {
            Ok(connection) => {
                self.node_connections.insert(node, connection);
            }
            Err(error) => {
                tracing::error!(node = line.name, %error, "cannot start a coroutine for a node connection")
            }
        }
    }
}

/// A node's effective state: a drain by the control plane overrides a list entry of `On`.
fn effective_state(drains: &BTreeSet<String>, node: &str, ordered: NodeState) -> NodeState {
    if ordered == NodeState::On && drains.contains(node) { NodeState::Draining } else { ordered }
}
