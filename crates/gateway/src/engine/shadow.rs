//! Copies of reads for the shadow trial: sent after the clients' answers, where the retry cap and the node
//! connections allow.

use bytes::Bytes;
use decisions::{Outcome, ShardId};
use shadow::ShadowOptions;
use storage_core::{AttemptEnd, AttemptId, Micros, Opcode, OutgoingAttempt};

use super::Engine;
use crate::coordination::Coordination;
use crate::shadow_trial::{ReadCopy, ShadowTrial};
use crate::status::ShadowStatus;

impl Engine {
    /// Handles the end of a copy.
    pub(super) fn on_copy_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd) {
        if let Some(trial) = self.coordination.as_mut().and_then(|c| c.trial.as_mut()) {
            trial.on_copy_ended(now, attempt, end);
            self.send_copies(now);
        }
    }

    /// Starts copies of the reads answered in this batch, now that the answers have been flushed.
    pub(super) fn copy_answered_reads(&mut self, now: Micros) {
        let Some(trial) = self.coordination.as_mut().and_then(|c| c.trial.as_mut()) else { return };
        if !trial.has_answered_reads() {
            return;
        }
        let views = self.core.node_views();
        let has_waiting =
            |id: &decisions::NodeId| self.core.node_snapshot(*id).is_some_and(|l| l.waiting > 0);
        let is_busy = !self.host_queues.is_empty() || views.keys().any(has_waiting);
        trial.copy_answered_reads(now, is_busy, |node| {
            views.get(&node).map_or(String::new(), |v| v.name.clone())
        });
        self.send_copies(now);
        self.apply_effects(now);
    }

    /// Sends the copies that the shadow trial asked for, where the retry cap allows; a copy that cannot be
    /// sent at once is dropped.
    pub(super) fn send_copies(&mut self, now: Micros) {
        loop {
            let Some(Coordination { trial: Some(trial), retry_cap, .. }) = &mut self.coordination else {
                return;
            };
            let copies = std::mem::take(&mut trial.to_send);
            if copies.is_empty() {
                return;
            }
            for ReadCopy { attempt, node, shard, nsid, slba, blocks, due } in copies {
                let node = self.core.node_id(&node);
                let size = self.options.catalogue.volume(nsid).map_or(0, |v| v.block_size);
                let is_allowed = retry_cap.as_ref().is_none_or(|r| r.allows_copy(shard));
                let connection =
                    self.node_connections.get(&node).filter(|connection| is_allowed && connection.is_free());
                let send = OutgoingAttempt {
                    attempt,
                    node,
                    opcode: Opcode::Read,
                    nsid,
                    slba,
                    blocks,
                    bytes: blocks * size,
                    data: Bytes::new(),
                    shard: ShardId(shard),
                    is_retry: true,
                    // A token of its own, shared with no client command and no other copy.
                    token: attempt.request.0 ^ self.options.seed,
                    keyed: false,
                };
                let permitted = self.core.begin_copy(send, due - now);
                let Some((connection, permitted)) = connection.zip(permitted) else {
                    trial.on_copy_ended(now, attempt, &AttemptEnd::without_data(Outcome::NotSent));
                    continue;
                };
                let unwritten = connection.write(vec![permitted]);
                if unwritten.not_begun.is_empty() && unwritten.ended.is_empty() {
                    if let Some(retry_cap) = retry_cap {
                        retry_cap.copy_sent(now, shard);
                    }
                } else {
                    trial.on_copy_ended(now, attempt, &AttemptEnd::without_data(Outcome::NotSent));
                }
            }
        }
    }

    /// Replaces the candidate on trial, or ends the trial.
    pub(super) fn replace_candidate(&mut self, now: Micros, candidate: Option<ShadowOptions>) {
        let Some(coordination) = &mut self.coordination else { return };
        match coordination.replace_candidate(now, candidate) {
            Ok(()) => {
                let number = coordination.trial.as_ref().map_or(0, ShadowTrial::number);
                tracing::info!(number, "candidate on trial changed (0: none)");
                coordination.announce(now);
                self.apply_view(now, true);
            }
            Err(error) => {
                tracing::error!(%error, "cannot start the candidate's trial; the previous one continues")
            }
        }
    }

    /// The latest summary of the candidate's trial.
    pub(super) fn shadow_status(&self) -> Option<ShadowStatus> {
        self.coordination.as_ref()?.trial.as_ref()?.summary()
    }
}
