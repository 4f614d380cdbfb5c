//! The node list and the orders that the gateways are given.

use gateway::{NodeLine, NodeLineState};
use steering::{Facts, Kind, Listed, Micros, NodeFact, Phase, State, VolumeFact, orders};

use super::Appliance;
use super::agents::Desired;

impl Appliance {
    /// The node list: stand-ins as their processes run, other nodes as the file states them.
    pub(super) fn list(&self) -> Vec<(NodeLine, State)> {
        let line = |(index, n): (usize, &settings::Node)| {
            if !self.site.appliance.run_nodes {
                return Some((self.site.node_line(index, n.address, 0), State::On));
            }
            // Nodes come first among the processes, in the order of the file.
            let status = self.nodes.get(index)?.as_ref()?;
            let runs = self.supervision.phase(index) == Some(Phase::Up) && status.up;
            let state = if runs { State::On } else { State::Gone };
            Some((self.site.node_line(index, status.address, status.started), state))
        };
        self.site.node.iter().enumerate().filter_map(line).collect()
    }

    /// Hands the gateways the orders, if they have changed.
    pub(super) fn order(&mut self) {
        let list = self.list();
        let listed: Vec<Listed> =
            list.iter().map(|(l, state)| Listed { name: l.name.clone(), state: *state }).collect();
        let orders = orders(&listed, &self.intents);
        let lines: Vec<NodeLine> = list
            .into_iter()
            .zip(&orders.nodes)
            .map(|((mut line, _), (listed, _))| {
                line.state = match listed.state {
                    State::On => NodeLineState::On,
                    State::Draining => NodeLineState::Draining,
                    State::Gone => NodeLineState::Gone,
                };
                line
            })
            .collect();
        if self.ordered.as_ref().is_some_and(|(l, o)| *l == lines && *o == orders) {
            return;
        }
        self.seq += 1;
        let held = orders.held.iter().cloned().collect();
        let desired = Desired { seq: self.seq, lines: lines.clone(), held, paused: orders.paused };
        for (slot, kind) in self.slots.iter().zip(&self.kinds) {
            if *kind == Kind::Gateway {
                *slot.desired.lock().unwrap_or_else(|p| p.into_inner()) = Some(desired.clone());
                slot.wake.notify_all();
            }
        }
        self.ordered = Some((lines, orders));
    }

    pub(super) fn facts(&self) -> Facts {
        let list = self.list();
        let now = self.clock.now();
        let warm = Micros::from(self.site.rules.warm_after_ms) * 1000;
        let node = |n: &settings::Node| {
            let line = list.iter().find(|(l, _)| l.name == n.name);
            NodeFact {
                name: n.name.clone(),
                shard: n.shard,
                on: line.is_some_and(|(_, state)| *state == State::On),
                warming: line.is_some_and(|(l, _)| l.started > 0 && now - l.started < warm),
            }
        };
        let volume = |v: &settings::Volume| VolumeFact { name: v.name.clone(), shards: v.shards.clone() };
        Facts {
            nodes: self.site.node.iter().map(node).collect(),
            volumes: self.site.volume.iter().map(volume).collect(),
        }
    }
}
