//! The write of an attempt: what a connection to a node asks for when it can write.

use decisions::{Micros, NodeId};
use dispatch::AttemptId;

use crate::core::{Core, Piece};
use crate::effect::{Effect, OutgoingAttempt, PermittedAttempt};

impl Core {
    /// Marks an attempt that cannot be written now as waiting, also one that was permitted and of which nothing
    /// was written. It is asked about again by [`Core::begin_write`]; if its deadline passes first, it was
    /// never sent.
    pub fn await_write(&mut self, now: Micros, attempt: AttemptId, effects: &mut Vec<Effect>) {
        self.advance(now);
        if self.dispatcher.has_begun(attempt)
            && let Some(piece) = self.piece_mut(attempt)
        {
            piece.attempts_sent -= 1;
            piece.attempts_possibly_run -= 1;
        }
        self.dispatcher.await_connection(attempt);
        self.carry_out_commands(effects);
    }

    /// Whether an attempt that waits may still be written.
    pub fn is_still_valid(&self, now: Micros, attempt: AttemptId) -> bool {
        self.dispatcher.is_still_valid(self.now.max(now), attempt)
    }

    /// Begins the write of an attempt. From its first byte that the system has accepted the attempt may have
    /// run; if nothing of it is accepted, [`Core::await_write`] takes it back.
    ///
    /// Returns `None` if the attempt is no longer wanted: its operation has ended, its deadline has passed, its
    /// node drains or was replaced, or the nodes have forgotten its token. Its end must then be reported as
    /// `NotSent`.
    pub fn begin_write(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        effects: &mut Vec<Effect>,
    ) -> Option<PermittedAttempt> {
        self.advance(now);
        let permit = self.dispatcher.begin_write(self.now, attempt)?;
        let outgoing = self.outgoing_attempt(attempt, permit.node())?;
        let piece = self.piece_mut(attempt)?;
        let sent_before = piece.attempts_sent;
        piece.attempts_sent += 1;
        piece.attempts_possibly_run += 1;
        self.carry_out_commands(effects);
        Some(PermittedAttempt::new(permit, outgoing, sent_before))
    }

    /// Begins the write of a copy of a read that belongs to no operation. Returns `None` if its node takes no
    /// requests, or no time is left.
    pub fn begin_copy(&self, copy: OutgoingAttempt, time_left: Micros) -> Option<PermittedAttempt> {
        let node: NodeId = copy.node;
        let permit = self.dispatcher.begin_copy(copy.attempt, node, time_left)?;
        Some(PermittedAttempt::new(permit, copy, 0))
    }

    /// The part of an open operation that an attempt belongs to.
    pub(crate) fn piece_mut(&mut self, attempt: AttemptId) -> Option<&mut Piece> {
        let &(id, index) = self.dispatcher.payload(attempt.request)?;
        self.open.get_mut(&id)?.pieces.get_mut(index)
    }
}
