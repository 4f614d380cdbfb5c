//! What operators ask and order.

use recovery::{NodeWord, Word};
use storage_core::Micros;

use super::Engine;
use crate::options::{NodeLine, NodeLineState};
use crate::status::{ControlAnswer, ControlRequest};

impl Engine {
    pub(super) fn control(&mut self, now: Micros, request: ControlRequest) -> Result<ControlAnswer, String> {
        match request {
            ControlRequest::Status => {
                if let Some(trial) = self.together.as_mut().and_then(|t| t.trial.as_mut()) {
                    trial.sum_up(now);
                }
                Ok(ControlAnswer::Status(Box::new(self.status(now))))
            }
            ControlRequest::Requests { most } => {
                let views = self.core.open_views();
                Ok(ControlAnswer::Requests(
                    views.into_iter().take(most).map(|v| self.request(now, v)).collect(),
                ))
            }
            ControlRequest::Nodes { whole, lines } => {
                self.list(now, whole, false, &lines);
                self.settle(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Orders { revision, lines, held, paused } => {
                if let Some(returning) = &mut self.returning {
                    let node = |l: &NodeLine| NodeWord {
                        name: l.name.clone(),
                        shard: l.shard,
                        drained: l.state == NodeLineState::Draining,
                    };
                    let word = Word {
                        orders: revision,
                        nodes: lines.iter().map(node).collect(),
                        held: held.clone(),
                        paused,
                        ..returning.word().clone()
                    };
                    returning.ordered(word)?;
                }
                let volume = |name: &String| {
                    let mut volumes = self.options.catalogue.volumes();
                    volumes.find(|v| &v.name == name).map(|v| v.nsid)
                };
                (self.revision, self.paused) = (revision, paused);
                self.held = held.iter().filter_map(volume).collect();
                self.list(now, true, false, &lines);
                self.settle(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Recovery { hurry, release } => {
                let Some(returning) = &self.returning else {
                    return Err("this gateway has no [recovery]: it is open at once".into());
                };
                let shown = returning.show();
                if let Some(number) = release
                    && !shown.unsettled.iter().any(|k| k.number == number)
                {
                    return Err(format!("no write from before has the number {number}, or it is settled"));
                }
                tracing::warn!(hurry, ?release, phase = ?shown.phase, "an operator forces the recovery");
                self.return_with(now, |r, orders| {
                    if hurry {
                        r.hurry(now, orders);
                    }
                    if let Some(number) = release {
                        r.release(now, number, orders);
                    }
                });
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Ended => {
                let ended = self.core.ended_views().map(|e| self.ended(e)).collect();
                Ok(ControlAnswer::Ended(ended))
            }
            ControlRequest::Stop => {
                self.stop(now);
                Ok(ControlAnswer::Done(now))
            }
        }
    }
}
