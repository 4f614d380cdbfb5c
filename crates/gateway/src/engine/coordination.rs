//! Fleet coordination in the engine: feeds the membership view, the retry cap and the shadow trial with what
//! the engine observes, and carries out what they ask for.
//!
//! Each request pays one call at each step that concerns them; everything else runs at housekeeping, at their
//! own deadlines and on peer messages. The membership view is never on the path of a request.

use std::collections::BTreeMap;

use decisions::{NodeState, Outcome, ShardId};
use fleet::{NodeSight, Standing};
use nvme::IoCommand;
use peer::Told;
use storage_core::{AttemptEnd, AttemptId, Micros, OperationId, OutgoingAttempt};

use super::Engine;
use crate::retry_cap::{RetryCap, RetryIdentity};
use crate::status::{FleetStatus, RetryCapStatus};

/// A node connection that has been down for longer than this counts as silence.
const SILENCE_THRESHOLD: Micros = 1_000_000;

impl Engine {
    /// Runs what is due in the membership view, the retry cap and the shadow trial.
    pub(super) fn run_coordination(&mut self, now: Micros) {
        let Some(coordination) = &mut self.coordination else { return };
        let mut changed = now >= coordination.membership.next_due() && coordination.membership.tick(now);
        changed |= coordination.announce_left_if_due(now);
        if let Some(retry_cap) = coordination.retry_cap.as_mut().filter(|r| now >= r.next_due()) {
            retry_cap.tick(now);
        }
        if let Some(trial) = coordination.trial.as_mut().filter(|t| now >= t.next_due()) {
            trial.tick(now);
        }
        self.apply_view(now, changed);
    }

    /// Updates the module's retry allowance to the current time before it decides anything.
    ///
    /// After a wait, retry tokens may have fallen due, and decisions made before the cap's tick would be
    /// based on the old allowance. The cost is at most one tick for each of the cap's steps.
    pub(super) fn refresh_retry_allowance(&mut self, now: Micros) {
        let retry_cap = self.coordination.as_mut().and_then(|coordination| coordination.retry_cap.as_mut());
        if let Some(retry_cap) = retry_cap.filter(|retry_cap| retry_cap.is_stale(now)) {
            retry_cap.tick(now);
            self.apply_effects(now);
        }
    }

    /// Passes a peer event to the membership view, the retry cap and the shadow trial.
    pub(super) fn on_coordination_event(&mut self, now: Micros, event: &Told) {
        let Some(coordination) = &mut self.coordination else { return };
        let changed = coordination.membership.on_peer_event(now, event.clone());
        if let Some(retry_cap) = &mut coordination.retry_cap {
            retry_cap.on_peer_event(now, event.clone());
        }
        if let Some(trial) = &mut coordination.trial {
            trial.on_peer_event(now, event.clone());
        }
        self.apply_view(now, changed);
    }

    /// Reports a changed view to the retry cap and the shadow trial, then sends copies and carries out
    /// effects.
    pub(super) fn apply_view(&mut self, now: Micros, changed: bool) {
        if let Some(coordination) = self.coordination.as_mut().filter(|_| changed) {
            let view = coordination.membership.view();
            let others = || view.members.iter().filter(|m| m.name != view.own);
            if let Some(retry_cap) = &mut coordination.retry_cap {
                let up = others().filter(|m| m.standing == Standing::Up);
                retry_cap.set_peers(now, up.map(|m| m.name.clone()).collect());
            }
            if let Some(trial) = &mut coordination.trial {
                let present = others().filter(|m| m.standing != Standing::Left);
                trial.set_peers(now, present.map(|m| m.name.clone()).collect());
            }
        }
        self.send_copies(now);
        self.apply_effects(now);
    }

    /// Reports retries refused for lack of a token, and retries waiting for one, to the cap, and one shard's
    /// new allowance to the module. Returns whether there was an allowance to report.
    pub(super) fn give_allowance(&mut self, now: Micros) -> bool {
        let Some(retry_cap) = self.coordination.as_mut().and_then(|c| c.retry_cap.as_mut()) else {
            return false;
        };
        for demand in self.core.take_retry_demands() {
            retry_cap.tokens_wanted(now, demand);
        }
        for shortage in self.core.take_shortages() {
            retry_cap.waiting_changed(now, shortage);
        }
        let Some(allowance) = retry_cap.next_allowance() else { return false };
        let shard = ShardId(allowance.shard);
        if let Some(limit) = retry_cap.new_waiting_limit(allowance.shard) {
            self.core.limit_token_waiters(now, shard, limit);
        }
        self.core.set_retry_tokens(now, shard, allowance.retries, allowance.retry_after, &mut self.effects);
        true
    }

    /// Identifies a command to the retry cap; `None` without a cap.
    pub(super) fn retry_identity(
        &self,
        now: Micros,
        host: &str,
        command: &IoCommand,
    ) -> Option<RetryIdentity> {
        let retry_cap = self.coordination.as_ref()?.retry_cap.as_ref()?;
        let volume = self.options.catalogue.volume(command.nsid)?;
        let extent = (command.slba / volume.extent_blocks.max(1)) as usize;
        let shard = volume.shards.get(extent % volume.shards.len().max(1))?.0;
        let key = RetryCap::key(host, command);
        Some(RetryIdentity { key, shard, is_retry: retry_cap.is_retry(now, key) })
    }

    /// An operation ended unserved, or its client has gone.
    pub(super) fn report_unserved(&mut self, now: Micros, identity: RetryIdentity, was_sent: bool) {
        if let Some(retry_cap) = self.coordination.as_mut().and_then(|c| c.retry_cap.as_mut()) {
            retry_cap.operation_unserved(now, identity, was_sent);
        }
    }

    /// Whether any attempt of an unserved operation was sent; assumed when its record is no longer kept.
    pub(super) fn was_any_attempt_sent(&self, id: OperationId) -> bool {
        self.core.unserved_views().rev().find(|e| e.id == id).is_none_or(|e| e.attempts > 0)
    }

    /// An attempt is about to be sent.
    pub(super) fn report_attempt_sent(&mut self, now: Micros, send: &OutgoingAttempt) {
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(retry_cap) = &mut coordination.retry_cap {
            retry_cap.attempt_sent(now, send);
        }
        if let Some(trial) = &mut coordination.trial {
            trial.attempt_sent(now, send);
        }
    }

    /// An attempt has ended, as its node connection reports.
    pub(super) fn report_attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd) {
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(retry_cap) = &mut coordination.retry_cap {
            retry_cap.attempt_ended(now, attempt, end.outcome);
        }
        if let Some(trial) = &mut coordination.trial {
            trial.attempt_ended(now, attempt, end);
        }
    }

    /// An attempt's end is no longer awaited.
    pub(super) fn report_attempt_forgotten(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(coordination) = &mut self.coordination else { return };
        if let Some(retry_cap) = &mut coordination.retry_cap {
            retry_cap.attempt_ended(now, attempt, outcome);
        }
        if let Some(trial) = &mut coordination.trial {
            trial.attempt_forgotten(now, attempt, outcome);
        }
    }

    /// Reports the observed state of all nodes to the membership view, the retry cap and the shadow trial.
    pub(super) fn report_observations(&mut self, now: Micros) {
        let Some(coordination) = &mut self.coordination else { return };
        let view = coordination.membership.view();
        let (mut observations, mut troubled_shards, mut copy_targets) =
            (Vec::new(), BTreeMap::new(), Vec::new());
        let warm_after = self.options.catalogue.settings.warm_after;
        for (id, node) in self.core.node_views().iter().filter(|(_, n)| n.state != NodeState::Gone) {
            let is_up = self.node_connections.get(id).is_some_and(|connection| connection.phase() == "up");
            let down_since = if is_up {
                coordination.down_since.remove(id);
                None
            } else {
                Some(*coordination.down_since.entry(*id).or_insert(now))
                    .filter(|since| now - since > SILENCE_THRESHOLD)
            };
            let state = self.core.node_snapshot(*id);
            let unheard =
                state.filter(|l| l.silent).map(|_| (now - node.last_heard.unwrap_or(self.started)).max(1));
            let silent_for = down_since.map(|since| now - since).max(unheard).unwrap_or(0);
            let is_cold = state.is_some_and(|l| l.cold);
            let cold_for =
                if is_cold { (warm_after - (now - node.started.unwrap_or(now))).max(1) } else { 0 };
            // A node's start is a fact about the node, whoever observed it; silence is a fact about one
            // connection.
            let fact = view.nodes.iter().find(|f| f.node == node.name);
            let is_warming = is_cold || fact.is_some_and(|f| f.cold_for > 0 && view.at + f.cold_for > now);
            *troubled_shards.entry(node.shard).or_insert(false) |= is_warming || silent_for > 0;
            let is_suspect = fact.is_some_and(|f| !f.silent_for.is_empty());
            if is_up && node.state == NodeState::On && !is_warming && silent_for == 0 && !is_suspect {
                copy_targets.push((node.shard, node.name.clone()));
            }
            let started = self.node_starts.get(id).copied().unwrap_or(0);
            observations.push(NodeSight { node: node.name.clone(), started, cold_for, silent_for });
        }
        coordination.down_since.retain(|id, _| self.node_connections.contains_key(id));
        let changed = coordination.membership.report_nodes(now, observations);
        if let Some(retry_cap) = &mut coordination.retry_cap {
            retry_cap.report_trouble(now, troubled_shards);
            copy_targets.retain(|(shard, _)| retry_cap.allows_copy(*shard));
        }
        if let Some(trial) = &mut coordination.trial {
            trial.set_nodes(now, copy_targets);
        }
        self.apply_view(now, changed);
    }

    /// The membership view for the status answer.
    pub(super) fn fleet_status(&self) -> Option<FleetStatus> {
        let membership = &self.coordination.as_ref()?.membership;
        Some(FleetStatus::of(&membership.view(), membership.life(), &membership.counts()))
    }

    pub(super) fn repeats_status(&self, now: Micros) -> Option<RetryCapStatus> {
        let (shards, counts) = self.coordination.as_ref()?.retry_cap.as_ref()?.snapshot(now);
        Some(RetryCapStatus { shards, counts })
    }
}
