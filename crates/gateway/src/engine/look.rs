//! What operators see of it.

use std::collections::BTreeMap;

use decisions::Cause;
use storage_core::{EndedView, Micros, OpenView};

use super::Engine;
use crate::returning::Returning;
use crate::status::{EndedStatus, NodeStatus, RequestStatus, Status, VolumeStatus};

impl Engine {
    pub(super) fn request(&self, now: Micros, view: OpenView) -> RequestStatus {
        let volume = self.options.catalogue.volume(view.nsid).map_or(String::new(), |v| v.name.clone());
        let nodes = self.core.node_views();
        RequestStatus {
            id: view.ticket.0,
            volume,
            op: view.opcode.word().to_owned(),
            class: self.options.catalogue.rules[view.class].name.clone(),
            age: now - view.taken,
            attempts: view.attempts,
            nodes: view.nodes.iter().filter_map(|n| nodes.get(n)).map(|n| n.name.clone()).collect(),
        }
    }

    pub(super) fn ended(&self, e: &EndedView) -> EndedStatus {
        EndedStatus {
            at: e.at,
            id: e.ticket.0,
            volume: self.options.catalogue.volume(e.nsid).map_or(String::new(), |v| v.name.clone()),
            op: e.opcode.word().to_owned(),
            class: self.options.catalogue.rules[e.class].name.clone(),
            refused: e.refused,
            age: e.age,
            attempts: e.attempts,
            reason: e.reason().to_owned(),
        }
    }

    /// Requests that ended unserved, by class and cause.
    fn causes(&self) -> BTreeMap<String, u64> {
        let rules = &self.options.catalogue.rules;
        let named = |(class, cause): &(usize, Cause)| format!("{}: {cause}", rules[*class].name);
        self.core.causes().iter().map(|(key, count)| (named(key), *count)).collect()
    }

    pub(super) fn status(&self, now: Micros) -> Status {
        let tally = self.core.tally();
        let nodes = self.core.node_views().iter().map(|(id, n)| {
            let link = self.links.get(id);
            let look = self.core.look(*id);
            NodeStatus {
                bound: look.map_or(0.0, |l| l.bound),
                l: look.map_or(0.0, |l| l.load),
                waiting: look.map_or(0, |l| l.waiting),
                silent: look.is_some_and(|l| l.silent),
                cold: look.is_some_and(|l| l.cold),
                name: n.name.clone(),
                address: link.map_or(String::new(), |l| l.address.to_string()),
                zone: n.zone,
                shard: n.shard,
                state: n.state.into(),
                started: n.started.unwrap_or(0),
                link: link.map_or("none", |l| l.phase()).to_owned(),
                out: n.in_flight,
                sent: n.sent,
                served: n.served,
                unserved: n.unserved,
                load: n.load,
                heard: n.last_heard.unwrap_or(0),
                latency: n.latency,
            }
        });
        let views = self.core.volume_views();
        let volumes = self.options.catalogue.volumes().map(|v| {
            let seen = views.get(&v.nsid).cloned().unwrap_or_default();
            VolumeStatus {
                name: v.name.clone(),
                nsid: v.nsid,
                open: seen.open,
                taken: seen.taken,
                served: seen.served,
                refused: seen.refused,
                failed: seen.failed,
                units: seen.units,
            }
        });
        let gate = self.front.gate();
        let ((kept, rising), (held_commands, held_bytes)) = (gate.connections(), gate.held());
        let (hosts, away) = (gate.hosts(), gate.turned_away().iter());
        let turned_away = away.map(|(over, n)| (over.to_string(), *n)).collect();
        drop(gate);
        Status {
            name: self.options.name.clone(),
            pid: std::process::id(),
            revision: self.revision,
            held: self
                .held
                .iter()
                .filter_map(|n| self.options.catalogue.volume(*n))
                .map(|v| v.name.clone())
                .collect(),
            paused: self.paused,
            address: self.address.clone(),
            started: self.started,
            now,
            stopping: self.stop_by.is_some(),
            connections: kept,
            rising,
            hosts,
            held_commands,
            held_bytes,
            waiting_turn: self.turns.len(),
            turned_away,
            open: self.core.open_operations(),
            out: self.core.attempts_in_flight(),
            taken: tally.taken,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            aborted: tally.aborted,
            withdrawn: tally.withdrawn,
            sent: tally.sent,
            further: tally.further,
            late: tally.late,
            causes: self.causes(),
            reasons: self.core.reasons().iter().map(|(k, n)| ((*k).to_owned(), *n)).collect(),
            recovery: self.returning.as_ref().map(Returning::show),
            fleet: self.fleet_status(),
            repeats: self.repeats_status(now),
            shadow: self.shadow_status(),
            control: self.control_status(),
            nodes: nodes.collect(),
            volumes: volumes.collect(),
        }
    }
}
