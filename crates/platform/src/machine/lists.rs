//! What discovery tells.

use super::*;

impl Machine {
    /// Does what following discovery asks for.
    pub(super) fn follow(&mut self, now: Micros, steps: Vec<discovery::Step>) {
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
                    self.list(now, &list, false);
                }
                discovery::Step::Lost => {
                    self.dispatcher.nodes_failed(now);
                    self.settle(now);
                }
            }
        }
    }

    pub(super) fn list(&mut self, now: Micros, list: &EndpointList, remembered: bool) {
        let listed = list.listed(&mut self.zones);
        self.dispatcher.nodes(now, list.whole, remembered, &listed);
        let mut idle = Vec::new();
        if list.whole {
            let gone = self.dispatcher.node_views().iter().filter(|(_, view)| view.state == NodeState::Gone);
            self.gone = gone.map(|(node, _)| *node).collect();
        }
        for entry in &list.members {
            let node = self.dispatcher.node_id(&entry.id);
            let address = Address { at: entry.address, started: entry.started };
            let before = self.nodes.insert(node, address);
            let anew = before.is_some_and(|b| b.started != entry.started || b.at != entry.address);
            idle.extend(self.links.moved(node, entry.address, anew));
            // Of a list of what changed only that is looked at: a change costs itself and not the list.
            if entry.state == NodeState::Gone {
                self.gone.insert(node);
            } else {
                self.gone.remove(&node);
            }
        }
        for &node in &self.gone {
            idle.extend(self.links.gone(node));
        }
        self.close_links(idle);
        self.settle(now);
        self.take_back_fallen(now);
    }

    pub(super) fn close_links(&mut self, links: Vec<u64>) {
        self.outputs.extend(links.into_iter().map(|id| Output::Close(SocketId::Node(id))));
    }
}
