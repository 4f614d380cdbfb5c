//! Applies the control plane's node drains as operators' orders are applied.

use std::collections::BTreeSet;

use storage_core::Micros;

use super::Engine;
use crate::status::ControlPlaneStatus;

impl Engine {
    /// Replaces the set of nodes drained by the control plane; the rest of the node list stays as ordered.
    pub(super) fn apply_drains(&mut self, now: Micros, nodes: BTreeSet<String>) {
        for node in nodes.difference(&self.control_plane_drains) {
            tracing::info!(node, "the control plane drains a node");
        }
        for node in self.control_plane_drains.difference(&nodes) {
            tracing::info!(node, "the control plane no longer drains a node");
        }
        self.control_plane_drains = nodes;
        self.restate_nodes(now, |_| None);
    }

    /// The control plane's state for the status answer.
    pub(super) fn control_status(&self) -> Option<ControlPlaneStatus> {
        Some(self.control_plane.as_ref()?.status(&self.control_plane_drains))
    }
}
