//! The shadow's copies: sent behind the clients' answers, where cap and links bear them.

use bytes::Bytes;
use decisions::{Outcome, ShardId};
use shadow::ShadowOptions;
use storage_core::{AttemptId, End, Micros, Opcode, Send};

use super::Engine;
use crate::status::ShadowStatus;
use crate::together::Together;
use crate::trial::{Copy, Trial};

impl Engine {
    /// The end of a copy.
    pub(super) fn copied(&mut self, now: Micros, attempt: AttemptId, end: &End) {
        if let Some(trial) = self.together.as_mut().and_then(|t| t.trial.as_mut()) {
            trial.copied(now, attempt, end);
            self.copies(now);
        }
    }

    /// The answers of the batch have gone out: their copies may.
    pub(super) fn shade(&mut self, now: Micros) {
        let Some(trial) = self.together.as_mut().and_then(|t| t.trial.as_mut()) else { return };
        if !trial.has_answered() {
            return;
        }
        let views = self.core.node_views();
        let waits = |id: &decisions::NodeId| self.core.look(*id).is_some_and(|l| l.waiting > 0);
        let is_busy = !self.turns.is_empty() || views.keys().any(waits);
        trial.copy(now, is_busy, |node| views.get(&node).map_or(String::new(), |v| v.name.clone()));
        self.copies(now);
        self.settle(now);
    }

    /// Sends what the shadow wants sent, where the cap bears it; what cannot go at once does not go.
    pub(super) fn copies(&mut self, now: Micros) {
        loop {
            let Some(Together { trial: Some(trial), rights, .. }) = &mut self.together else { return };
            for (attempt, node) in std::mem::take(&mut trial.to_forget) {
                let id = self.core.node_id(&node);
                if let Some(link) = self.links.get(&id) {
                    link.forget(attempt);
                }
            }
            let copies = std::mem::take(&mut trial.to_send);
            if copies.is_empty() {
                return;
            }
            for Copy { attempt, node, shard, nsid, slba, blocks } in copies {
                let node = self.core.node_id(&node);
                let size = self.options.catalogue.volume(nsid).map_or(0, |v| v.block_size);
                let bears = rights.as_ref().is_none_or(|r| r.bears_copy(shard));
                let link = self.links.get(&node).filter(|link| bears && link.phase() == "up");
                let Some(link) = link else {
                    trial.copied(now, attempt, &End::of(Outcome::NotSent));
                    continue;
                };
                let send = Send {
                    attempt,
                    node,
                    opcode: Opcode::Read,
                    nsid,
                    slba,
                    blocks,
                    bytes: blocks * size,
                    data: Bytes::new(),
                    shard: ShardId(shard),
                    further: true,
                    // Of its own: no client's and no other copy's.
                    token: attempt.request.0 ^ self.options.seed,
                    keyed: false,
                };
                if let Some(rights) = rights {
                    rights.copied(now, shard);
                }
                if let Some(end) = link.send(send, &mut self.dirty) {
                    trial.copied(now, attempt, &end);
                }
            }
        }
    }

    /// Another candidate, or none, is to be tried.
    pub(super) fn try_instead(&mut self, now: Micros, candidate: Option<ShadowOptions>) {
        let Some(together) = &mut self.together else { return };
        match together.try_instead(now, candidate) {
            Ok(()) => {
                let number = together.trial.as_ref().map_or(0, Trial::number);
                tracing::info!(number, "this candidate is tried from now on; 0: none");
                together.hold(now);
                self.agree(now, true);
            }
            Err(error) => tracing::error!(%error, "the candidate cannot be tried; the one before stays"),
        }
    }

    /// What is known of the candidate, as it was shown last.
    pub(super) fn shadow_status(&self) -> Option<ShadowStatus> {
        self.together.as_ref()?.trial.as_ref()?.shown()
    }
}
