//! What the control plane says of nodes, carried out as operators' orders are.

use std::collections::BTreeSet;

use storage_core::Micros;

use super::Engine;
use crate::status::ControlStatus;

impl Engine {
    /// These nodes and no others are drained by the control plane's entries; the rest of the list stands as it was ordered.
    pub(super) fn drained(&mut self, now: Micros, nodes: BTreeSet<String>) {
        for node in nodes.difference(&self.drains) {
            tracing::info!(node, "the control plane drains a node");
        }
        for node in self.drains.difference(&nodes) {
            tracing::info!(node, "the control plane drains a node no more");
        }
        self.drains = nodes;
        self.restate(now, |_| None);
    }

    /// What operators see of it.
    pub(super) fn control_status(&self) -> Option<ControlStatus> {
        Some(self.following.as_ref()?.status(&self.drains))
    }
}
