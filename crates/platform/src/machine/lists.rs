//! Updates from discovery.

use super::*;

impl Machine {
    /// Carries out the steps of the discovery client.
    pub(super) fn run_discovery_steps(&mut self, now: Micros, steps: Vec<discovery::Step>) {
        for step in steps {
            match step {
                discovery::Step::Connect(id, address) => {
                    self.outputs.push(Output::Connect(SocketId::Discovery(id), address));
                }
                discovery::Step::Close(id) => self.outputs.push(Output::Close(SocketId::Discovery(id))),
                discovery::Step::List(list) => {
                    if list.malformed > 0 {
                        tracing::warn!(
                            entries = list.malformed,
                            "discovery listed entries that cannot be read"
                        );
                    }
                    self.apply_list(now, &list, false);
                }
                discovery::Step::LiveWatchEnded => {
                    self.dispatcher.node_list_failed(now);
                    self.run_dispatcher_commands(now);
                }
            }
        }
    }

    pub(super) fn apply_list(&mut self, now: Micros, list: &EndpointList, remembered: bool) {
        let listed = list.to_listed_nodes(&mut self.zones);
        self.dispatcher.update_nodes(now, list.is_complete, remembered, &listed);
        let mut idle = Vec::new();
        if list.is_complete {
            let gone = self.dispatcher.node_views().iter().filter(|(_, view)| view.state == NodeState::Gone);
            self.gone_nodes = gone.map(|(node, _)| *node).collect();
        }
        for entry in &list.members {
            let node = self.dispatcher.node_id(&entry.id);
            let address = NodeAddress { address: entry.address, started: entry.started };
            let previous = self.nodes.insert(node, address);
            let restarted_or_moved =
                previous.is_some_and(|b| b.started != entry.started || b.address != entry.address);
            idle.extend(self.connections.set_address(node, entry.address, restarted_or_moved));
            // Only the entries of a partial list are looked at, so that a change costs its own size and not
            // that of the whole list.
            if entry.state == NodeState::Gone {
                self.gone_nodes.insert(node);
            } else {
                self.gone_nodes.remove(&node);
            }
        }
        for &node in &self.gone_nodes {
            idle.extend(self.connections.drop_idle_of_gone(node));
        }
        self.close_connections(idle);
        self.run_dispatcher_commands(now);
        self.withdraw_invalid_attempts(now);
    }

    pub(super) fn close_connections(&mut self, connections: Vec<u64>) {
        self.outputs.extend(connections.into_iter().map(|id| Output::Close(SocketId::Node(id))));
    }
}
