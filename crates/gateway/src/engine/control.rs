//! Requests and orders from operators on the control socket.

use recovery::{NodeWord, Word};
use storage_core::Micros;

use super::Engine;
use crate::options::{NodeLine, NodeLineState};
use crate::status::{ControlAnswer, ControlRequest};

impl Engine {
    pub(super) fn handle_control_request(
        &mut self,
        now: Micros,
        request: ControlRequest,
    ) -> Result<ControlAnswer, String> {
        match request {
            ControlRequest::Status => {
                if let Some(trial) = self.coordination.as_mut().and_then(|c| c.trial.as_mut()) {
                    trial.update_summary(now);
                }
                Ok(ControlAnswer::Status(Box::new(self.status(now))))
            }
            ControlRequest::Requests { limit } => {
                let views = self.core.open_views();
                Ok(ControlAnswer::Requests(
                    views.into_iter().take(limit).map(|v| self.request_status(now, v)).collect(),
                ))
            }
            ControlRequest::Nodes { replace_all, lines } => {
                self.apply_node_list(now, replace_all, false, &lines);
                self.apply_effects(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Orders { revision, lines, held, paused } => {
                if let Some(recovery) = &mut self.recovery {
                    let node = |l: &NodeLine| NodeWord {
                        name: l.name.clone(),
                        shard: l.shard,
                        drained: l.state == NodeLineState::Draining,
                    };
                    let state = Word {
                        orders: revision,
                        nodes: lines.iter().map(node).collect(),
                        held: held.clone(),
                        paused,
                        ..recovery.own_orders().clone()
                    };
                    recovery.set_orders(state)?;
                }
                (self.revision, self.paused) = (revision, paused);
                self.held_volumes = self.volume_ids(&held);
                self.apply_node_list(now, true, false, &lines);
                self.apply_effects(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Recovery { stop_waiting, release } => {
                let Some(recovery) = &self.recovery else {
                    return Err("this gateway has no [recovery] and serves from its start".into());
                };
                let progress = recovery.progress();
                if let Some(number) = release
                    && !progress.unsettled.iter().any(|k| k.number == number)
                {
                    return Err(format!("no unsettled write has the number {number}"));
                }
                tracing::warn!(hurry = stop_waiting, ?release, phase = ?progress.phase, "recovery overridden by an operator");
                self.with_recovery(now, |r, actions| {
                    if stop_waiting {
                        r.stop_waiting(now, actions);
                    }
                    if let Some(number) = release {
                        r.release_key(now, number, actions);
                    }
                });
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Ended => {
                let ended = self.core.unserved_views().map(|e| self.ended_status(e)).collect();
                Ok(ControlAnswer::Ended(ended))
            }
            ControlRequest::Stop => {
                self.begin_stop(now);
                Ok(ControlAnswer::Done(now))
            }
        }
    }
}
