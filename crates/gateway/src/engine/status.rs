//! The state of the gateway as shown on the control socket.

use std::collections::BTreeMap;

use decisions::UnservedCause;
use storage_core::{Micros, OpenOperationView, UnservedView};

use super::Engine;
use crate::recovery_driver::RecoveryDriver;
use crate::status::{EndedStatus, NodeStatus, RequestStatus, Status, VolumeStatus};

impl Engine {
    pub(super) fn request_status(&self, now: Micros, view: OpenOperationView) -> RequestStatus {
        let volume = self.options.catalogue.volume(view.nsid).map_or(String::new(), |v| v.name.clone());
        let nodes = self.core.node_views();
        RequestStatus {
            id: view.id.0,
            volume,
            op: view.opcode.name().to_owned(),
            class: self.options.catalogue.rules[view.class].name.clone(),
            age: now - view.accepted_at,
            attempts: view.attempts,
            nodes: view.nodes.iter().filter_map(|n| nodes.get(n)).map(|n| n.name.clone()).collect(),
        }
    }

    pub(super) fn ended_status(&self, operation: &UnservedView) -> EndedStatus {
        EndedStatus {
            at: operation.at,
            id: operation.id.0,
            volume: self.options.catalogue.volume(operation.nsid).map_or(String::new(), |v| v.name.clone()),
            op: operation.opcode.name().to_owned(),
            class: self.options.catalogue.rules[operation.class].name.clone(),
            refused: operation.refused,
            age: operation.age,
            attempts: operation.attempts,
            reason: operation.reason().to_owned(),
        }
    }

    /// Counts of requests that ended unserved, by class and cause.
    fn unserved_causes(&self) -> BTreeMap<String, u64> {
        let rules = &self.options.catalogue.rules;
        let label = |(class, cause): &(usize, UnservedCause)| format!("{}: {cause}", rules[*class].name);
        self.core.unserved_by_cause().iter().map(|(key, count)| (label(key), *count)).collect()
    }

    /// The state of every node.
    fn node_statuses(&self) -> Vec<NodeStatus> {
        let nodes = self.core.node_views().iter().map(|(id, n)| {
            let connection = self.node_connections.get(id);
            let state = self.core.node_snapshot(*id);
            NodeStatus {
                bound: state.map_or(0.0, |l| l.bound),
                latency_ratio: state.map_or(0.0, |l| l.latency_ratio),
                waiting: state.map_or(0, |l| l.waiting),
                silent: state.is_some_and(|l| l.silent),
                cold: state.is_some_and(|l| l.cold),
                name: n.name.clone(),
                address: connection.map_or(String::new(), |c| c.address.to_string()),
                zone: n.zone,
                shard: n.shard,
                state: n.state.into(),
                started: n.started.unwrap_or(0),
                link: connection.map_or("none", |c| c.phase()).to_owned(),
                out: n.in_flight,
                sent: n.sent,
                served: n.served,
                unserved: n.unserved,
                load: n.load,
                last_heard: n.last_heard.unwrap_or(0),
                latency: n.latency,
            }
        });
        nodes.collect()
    }

    /// The state of every volume.
    fn volume_statuses(&self) -> Vec<VolumeStatus> {
        let views = self.core.volume_views();
        let volumes = self.options.catalogue.volumes().map(|v| {
            let view = views.get(&v.nsid).cloned().unwrap_or_default();
            VolumeStatus {
                name: v.name.clone(),
                nsid: v.nsid,
                open: view.open,
                taken: view.accepted,
                served: view.served,
                refused: view.refused,
                failed: view.failed,
                units: view.units,
            }
        });
        volumes.collect()
    }

    pub(super) fn status(&self, now: Micros) -> Status {
        let tally = self.core.counts();
        let client_limits = self.front_end.client_limits();
        let ((connections, handshakes), (held_commands, held_bytes)) =
            (client_limits.connections(), client_limits.held());
        let (hosts, refused) = (client_limits.hosts(), client_limits.rejections().iter());
        let limit_refusals = refused.map(|(over, n)| (over.to_string(), *n)).collect();
        drop(client_limits);
        Status {
            name: self.options.name.clone(),
            pid: std::process::id(),
            revision: self.revision,
            // Volumes on hold by operators; `held_commands` counts commands in memory.
            held: self
                .held_volumes
                .iter()
                .filter_map(|n| self.options.catalogue.volume(*n))
                .map(|v| v.name.clone())
                .collect(),
            paused: self.paused,
            address: self.address.clone(),
            started: self.started,
            now,
            stopping: self.stop_deadline.is_some(),
            connections,
            handshakes,
            hosts,
            held_commands,
            held_bytes,
            queued_commands: self.host_queues.len(),
            limit_refusals,
            open: self.core.open_operations(),
            out: self.core.attempts_in_flight(),
            taken: tally.accepted,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            aborted: tally.aborted,
            withdrawn: tally.withdrawn,
            sent: tally.sent,
            retries: tally.retries,
            late_ends: tally.late,
            causes: self.unserved_causes(),
            contained_panics: panics::contained_count(),
            lost_log_lines: output::lost_lines(),
            reasons: self.core.reasons().iter().map(|(k, n)| ((*k).to_owned(), *n)).collect(),
            recovery: self.recovery.as_ref().map(RecoveryDriver::progress),
            fleet: self.fleet_status(),
            repeats: self.repeats_status(now),
            shadow: self.shadow_status(),
            control: self.control_status(),
            nodes: self.node_statuses(),
            volumes: self.volume_statuses(),
        }
    }
}
