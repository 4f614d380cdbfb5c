//! Final answers of operations.

use bytes::BytesMut;
use decisions::{DedupScope, Idempotency, Micros};
use dispatch::Verdict;

use crate::catalogue::Catalogue;
use crate::core::{Core, OpenOperation, PieceState};
use crate::effect::Effect;
use crate::operation::{Answer, Opcode, OperationId};
use crate::retry_demand::RetryDemand;
use crate::views::UnservedView;

/// Number of operations that ended unserved to keep for the status page.
const MAX_UNSERVED_VIEWS: usize = 200;

impl Core {
    /// Ends an operation of which one request ended unserved. The operation is refused only if the client may
    /// safely retry all of it: a write of which another part was carried out must not be reported as refused.
    pub(crate) fn end_unserved(
        &mut self,
        id: OperationId,
        index: usize,
        verdict: Verdict,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.pieces[index].state = PieceState::Unserved;
        let Some(open) = self.open.get(&id) else { return };
        let answer = match verdict {
            Verdict::Refused { retry_after } if self.retry_is_safe(open) => Answer::Refused { retry_after },
            _ => Answer::Failed,
        };
        let piece = &open.pieces[index];
        if piece.attempts_sent > 0 || open.operation.retry {
            let Catalogue { settings, rules, .. } = &self.catalogue;
            let plan = self.catalogue.volume(open.operation.nsid).map_or(0, |v| v.plan);
            self.retry_demands.record_unserved(RetryDemand {
                shard: piece.part.shard,
                worth: settings.classes[open.class].worth * settings.plans[plan].price,
                remaining_time: open.accepted_at + rules[open.class].timeout - self.now,
            });
        }
        self.count_unserved(id, &answer);
        self.remove_operation(id);
        effects.push(Effect::Answer(id, answer));
    }

    /// Answers every open operation at shutdown: refused if the client may safely retry it, failed otherwise.
    pub fn answer_all_open(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        let mut ids: Vec<OperationId> = self.open.keys().copied().collect();
        ids.sort();
        for id in ids {
            let Some(open) = self.open.get(&id) else { continue };
            let answer = if self.retry_is_safe(open) {
                Answer::Refused { retry_after: self.catalogue.settings.max_retry_after }
            } else {
                Answer::Failed
            };
            self.count_unserved(id, &answer);
            self.remove_operation(id);
            effects.push(Effect::Answer(id, answer));
        }
        self.carry_out_commands(effects);
    }

    /// Whether the client may retry the whole operation without a second effect: no part can have run, or the
    /// nodes discard duplicates.
    ///
    /// A client that sets no token, such as a host by another vendor that knows nothing of tokens, retries
    /// under a different generated token, which no node recognizes as a duplicate. Once any part of such a
    /// client's write may have run, a retry is not safe, whatever the class's group. These clients therefore
    /// see more failures and fewer refusals.
    pub(crate) fn retry_is_safe(&self, open: &OpenOperation) -> bool {
        let idempotency = self.catalogue.settings.classes[open.class].idempotency;
        let is_deduplicated =
            open.has_client_token && matches!(idempotency, Idempotency::Keyed { scope: DedupScope::All, .. });
        let never_ran = open.pieces.iter().all(|piece| piece.attempts_possibly_run == 0);
        never_ran
            || is_deduplicated
            || open.operation.action.opcode() != Opcode::Write
            || idempotency == Idempotency::Safe
    }

    /// Counts an operation that ended unserved and keeps a view of it.
    pub(crate) fn count_unserved(&mut self, id: OperationId, answer: &Answer) {
        let Some(open) = self.open.get(&id) else { return };
        let failed = u64::from(*answer == Answer::Failed);
        let view = UnservedView {
            at: self.now,
            id,
            nsid: open.operation.nsid,
            opcode: open.operation.action.opcode(),
            class: open.class,
            refused: match answer {
                Answer::Refused { retry_after } => Some(*retry_after),
                _ => None,
            },
            age: self.now - open.accepted_at,
            attempts: open.pieces.iter().map(|piece| piece.attempts_sent).sum(),
            last: open.last_outcome,
        };
        if let Some(volume) = self.volume_views.get_mut(&view.nsid) {
            volume.failed += failed;
            volume.refused += 1 - failed;
        }
        self.tally.failed += failed;
        self.tally.refused += 1 - failed;
        *self.reasons.entry(view.reason()).or_default() += 1;
        self.unserved.push_back(view);
        if self.unserved.len() > MAX_UNSERVED_VIEWS {
            self.unserved.pop_front();
        }
    }

    /// Answers an operation once all of its parts are served.
    pub(crate) fn answer_if_complete(&mut self, id: OperationId, effects: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&id) else { return };
        if open.pieces.iter().any(|piece| !matches!(piece.state, PieceState::Served(_))) {
            return;
        }
        let Some(open) = self.open.remove(&id) else { return };
        let mut parts = open.pieces.into_iter().filter_map(|piece| match piece.state {
            PieceState::Served(data) => Some(data),
            _ => None,
        });
        let first = parts.next().unwrap_or_default();
        let data = match parts.next() {
            None => first,
            Some(second) => {
                let mut joined = BytesMut::from(&first[..]);
                std::iter::once(second).chain(parts).for_each(|part| joined.extend_from_slice(&part));
                joined.freeze()
            }
        };
        if let Some(view) = self.volume_views.get_mut(&open.operation.nsid) {
            view.served += 1;
            view.open -= 1;
        }
        self.tally.served += 1;
        effects.push(Effect::Answer(id, Answer::Served(data)));
    }
}
