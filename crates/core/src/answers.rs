//! The one final answer of each operation.

use bytes::BytesMut;
use decisions::{DedupScope, Idempotency};
use dispatch::Verdict;

use crate::catalogue::Catalogue;
use crate::core::{Core, Open, PieceState};
use crate::effect::Effect;
use crate::operation::{Answer, Opcode, Ticket};
use crate::views::EndedView;
use crate::wanted::Wanted;

/// Operations that ended unserved and are kept for people.
const ENDED_KEPT: usize = 200;

impl Core {
    /// The module ended a request unserved: the whole operation ends with it. Danger: a write of several parts of
    /// which one went through must not be called refused; it is only where repeating all of it is harmless.
    pub(crate) fn end(&mut self, ticket: Ticket, index: usize, verdict: Verdict, effects: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        open.pieces[index].state = PieceState::Over;
        let Some(open) = self.open.get(&ticket) else { return };
        let answer = match verdict {
            Verdict::Refused { come_back } if self.repeat_is_harmless(open) => Answer::Refused { come_back },
            _ => Answer::Failed,
        };
        let piece = &open.pieces[index];
        if piece.sent > 0 || open.operation.retry {
            let Catalogue { settings, rules, .. } = &self.catalogue;
            let plan = self.catalogue.volume(open.operation.nsid).map_or(0, |v| v.plan);
            self.wants.ended(Wanted {
                shard: piece.part.shard,
                worth: settings.classes[open.class].worth * settings.plans[plan].price,
                left: open.taken + rules[open.class].patience - self.now,
            });
        }
        self.count_unserved(ticket, &answer);
        self.drop_operation(ticket);
        effects.push(Effect::Answer(ticket, answer));
    }

    /// Whether the client may repeat the whole operation without a second effect: nothing of it can have run, or nodes
    /// discard the repeat. Danger: a client that sets no token repeats under another one, which no node can recognise;
    /// once any part of its write may have run it is not told that a repeat is safe, whatever the class's group. Also
    /// covers hosts of other makers, which know of no tokens. Harm: more failures for them, fewer refusals.
    pub(crate) fn repeat_is_harmless(&self, open: &Open) -> bool {
        let idempotency = self.catalogue.settings.classes[open.class].idempotency;
        let known = open.named && matches!(idempotency, Idempotency::Keyed { scope: DedupScope::All, .. });
        let untouched = open.pieces.iter().all(|p| p.doubt == 0);
        untouched || known || open.operation.opcode != Opcode::Write || idempotency == Idempotency::Safe
    }

    pub(crate) fn count_unserved(&mut self, ticket: Ticket, answer: &Answer) {
        let Some(open) = self.open.get(&ticket) else { return };
        let failed = u64::from(*answer == Answer::Failed);
        let ended = EndedView {
            at: self.now,
            ticket,
            nsid: open.operation.nsid,
            opcode: open.operation.opcode,
            class: open.class,
            refused: match answer {
                Answer::Refused { come_back } => Some(*come_back),
                _ => None,
            },
            age: self.now - open.taken,
            attempts: open.pieces.iter().map(|p| p.sent).sum(),
            last: open.last,
        };
        if let Some(view) = self.volumes.get_mut(&ended.nsid) {
            view.failed += failed;
            view.refused += 1 - failed;
        }
        self.tally.failed += failed;
        self.tally.refused += 1 - failed;
        *self.reasons.entry(ended.reason()).or_default() += 1;
        self.ended.push_back(ended);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }

    /// Answers an operation of which all parts are served.
    pub(crate) fn answer_if_whole(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&ticket) else { return };
        if open.pieces.iter().any(|p| !matches!(p.state, PieceState::Served(_))) {
            return;
        }
        let Some(open) = self.open.remove(&ticket) else { return };
        let mut parts = open.pieces.into_iter().filter_map(|p| match p.state {
            PieceState::Served(data) => Some(data),
            _ => None,
        });
        let first = parts.next().unwrap_or_default();
        let data = match parts.next() {
            None => first,
            Some(second) => {
                let mut whole = BytesMut::from(&first[..]);
                std::iter::once(second).chain(parts).for_each(|p| whole.extend_from_slice(&p));
                whole.freeze()
            }
        };
        if let Some(view) = self.volumes.get_mut(&open.operation.nsid) {
            view.served += 1;
            view.open -= 1;
        }
        self.tally.served += 1;
        effects.push(Effect::Answer(ticket, Answer::Served(data)));
    }
}
