//! Attempts that wait for a node connection, and their write.
//!
//! A connection is handed no data to send. It keeps the ids of the attempts that wait for it; when it can write,
//! the engine takes the next ones from it, asks the core whether each is still wanted, and brings back those that
//! are. From the first byte that the system has accepted an attempt may have run; one of which it has accepted
//! nothing waits again, and is asked about again.

use std::time::Instant;

use decisions::Outcome;
use storage_core::{AttemptEnd, AttemptId, PermittedAttempt};

use super::command_queue::CommandBatch;
use super::{NodeConnection, Phase, State};

/// Where an attempt is after it was added to those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiting {
    /// It can be written now.
    ToBeWritten,
    /// It waits for the connection, or for room in its socket.
    ForConnection,
    /// The connection is closed for good; the attempt ended without being sent.
    Unreachable,
}

/// What became of permitted attempts that were not written.
#[derive(Debug, Default)]
pub(crate) struct Unwritten {
    /// The socket accepted nothing of them, in the order of the attempts.
    pub(crate) not_begun: Vec<AttemptId>,
    /// They ended without being sent.
    pub(crate) ended: Vec<(AttemptId, AttemptEnd)>,
}

impl NodeConnection {
    /// Adds an attempt to those that wait to be written.
    pub(crate) fn enqueue(&self, attempt: AttemptId) -> Waiting {
        let mut state = self.state();
        if state.phase == Phase::Closed {
            return Waiting::Unreachable;
        }
        state.waiting.push_back(attempt);
        if state.is_writable() {
            return Waiting::ToBeWritten;
        }
        if state.phase == Phase::Down {
            state.enter(Phase::Connecting);
            drop(state);
            self.connect_requested.post();
        }
        Waiting::ForConnection
    }

    /// Takes the attempts that waited longest, `max` at most, if they can be written now.
    pub(crate) fn take_waiting(&self, max: usize) -> Vec<AttemptId> {
        let mut state = self.state();
        let count = if state.is_writable() { state.waiting.len().min(max) } else { 0 };
        state.waiting.drain(..count).collect()
    }

    /// The attempts that wait.
    pub(crate) fn waiting(&self) -> Vec<AttemptId> {
        self.state().waiting.iter().copied().collect()
    }

    /// Puts attempts that were not begun back to the front of those that wait.
    pub(crate) fn put_back(&self, attempts: &[AttemptId]) {
        let mut state = self.state();
        attempts.iter().rev().for_each(|attempt| state.waiting.push_front(*attempt));
    }

    /// Drops an attempt that is no longer awaited, if it waits.
    pub(crate) fn forget(&self, attempt: AttemptId) {
        self.state().waiting.retain(|a| *a != attempt);
    }

    /// Whether an attempt could be written now, and none waits.
    pub(crate) fn is_free(&self) -> bool {
        let state = self.state();
        state.waiting.is_empty() && state.is_writable()
    }

    /// Writes permitted attempts, as far as the socket accepts them. The end of each that is written is
    /// reported once.
    pub(crate) fn write(&self, permitted: Vec<PermittedAttempt>) -> Unwritten {
        let mut unwritten = Unwritten::default();
        let Some(batch) = self.encode(permitted, &mut unwritten) else { return unwritten };
        // The socket is written without the lock, so that the reader of the replies does not wait.
        let not_begun = batch.write();
        if not_begun.is_empty() {
            return unwritten;
        }
        let mut state = self.state();
        let State { queue, in_flight, .. } = &mut *state;
        for command in not_begun {
            // If the connection was lost meanwhile, the end of the attempt has been reported with all others.
            if in_flight.remove(&command.submission).is_some() {
                queue.iter_mut().for_each(|queue| queue.take_back(&command));
                unwritten.not_begun.push(command.attempt);
            }
        }
        unwritten
    }

    /// Encodes permitted attempts into a batch and records them as in flight. Without a connection none has
    /// begun.
    ///
    /// Attempts that are no longer awaited still occupy slots in the node's queue. If the queue has no room,
    /// the attempt is reported as never run; if moreover some attempt has been in flight for longer than the
    /// command timeout, the connection is closed and re-established. This handles nodes that lose commands;
    /// the cost is that everything else in flight is lost too.
    fn encode(&self, permitted: Vec<PermittedAttempt>, unwritten: &mut Unwritten) -> Option<CommandBatch> {
        let mut state = self.state();
        let State { queue, in_flight, next_submission, .. } = &mut *state;
        let Some(queue) = queue else {
            unwritten.not_begun = permitted.iter().map(|p| p.attempt().attempt).collect();
            return None;
        };
        let mut batch = queue.start_batch();
        for attempt in permitted {
            let id = attempt.attempt().attempt;
            if queue.add(&mut batch, attempt, *next_submission) {
                in_flight.insert(*next_submission, (id, Instant::now()));
                *next_submission += 1;
            } else {
                unwritten.ended.push((id, AttemptEnd::without_data(Outcome::Unreachable)));
            }
        }
        let is_full = !unwritten.ended.is_empty();
        if is_full && in_flight.values().any(|f| f.1.elapsed() > self.options.command_timeout) {
            tracing::warn!(address = %self.address, "commands are stuck at a node; reconnecting");
            queue.close();
        }
        Some(batch)
    }
}

impl State {
    /// Whether a command can be written now.
    fn is_writable(&self) -> bool {
        self.phase == Phase::Up && self.queue.as_ref().is_some_and(|queue| queue.is_writable())
    }
}
