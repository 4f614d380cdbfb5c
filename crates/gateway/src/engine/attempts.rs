//! Carries out the core's effects: attempts sent to nodes, answers sent to clients.

use bytes::Bytes;
use decisions::{NodeId, Outcome};
use nvme::{Completion, Status as NvmeStatus, StatusCode};
use storage_core::{Answer, AttemptEnd, AttemptId, Effect, Micros, Opcode, OperationId, OutgoingAttempt};

use super::Engine;
use crate::completion::completion_of;
use crate::recovery_driver::RecoveryDriver;

impl Engine {
    /// Carries out the core's effects until none is left.
    pub(super) fn apply_effects(&mut self, now: Micros) {
        while !self.effects.is_empty() || self.give_allowance(now) {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Send(send) => self.send(now, send),
                    Effect::Abandon(attempt, node, outcome) => {
                        self.forget_attempt(now, attempt, node, outcome)
                    }
                    Effect::Answer(operation_id, answer)
                        if self.settling_reads.contains_key(&operation_id) =>
                    {
                        self.finish_settling_read(now, operation_id, &answer);
                    }
                    Effect::Answer(operation_id, answer) => self.answer_command(now, operation_id, answer),
                    Effect::Subscribe => {}
                    Effect::Log(line) => tracing::info!("{line}"),
                }
            }
        }
    }

    /// Drops an attempt that the core no longer waits for.
    fn forget_attempt(&mut self, now: Micros, attempt: AttemptId, node: NodeId, outcome: Outcome) {
        if let Some(journal) = self.recovery.as_mut().and_then(RecoveryDriver::journal) {
            journal.attempt_forgotten(now, attempt, outcome);
        }
        self.report_attempt_forgotten(now, attempt, outcome);
        if let Some(connection) = self.node_connections.get(&node) {
            connection.forget(attempt);
        }
    }

    /// Passes the answer of a settling read to the recovery.
    fn finish_settling_read(&mut self, now: Micros, operation_id: OperationId, answer: &Answer) {
        if let Some(write) = self.settling_reads.remove(&operation_id) {
            let data = if let Answer::Served(data) = answer { Some(&data[..]) } else { None };
            self.with_recovery(now, |r, actions| r.on_read_back(now, &write, data, actions));
        }
    }

    /// Answers a client's command with the core's final answer.
    fn answer_command(&mut self, now: Micros, operation_id: OperationId, answer: Answer) {
        let accepted = self.accepted.get(&operation_id);
        let identity = accepted.and_then(|t| t.identity).filter(|_| !matches!(answer, Answer::Served(_)));
        let expected = accepted.and_then(|t| t.expected.as_ref());
        let completion = match (&answer, expected) {
            (Answer::Served(data), Some(expected)) => compare_completion(data, expected),
            _ => completion_of(answer, &self.options.target.retry_delays),
        };
        if let Some(identity) = identity {
            self.report_unserved(now, identity, self.was_any_attempt_sent(operation_id));
        }
        self.complete_command(operation_id, completion);
    }

    /// Takes an attempt on its way to its node; a write goes to the journal first, if one is kept.
    pub(super) fn send(&mut self, now: Micros, send: OutgoingAttempt) {
        self.report_attempt_sent(now, &send);
        if send.opcode == Opcode::Write
            && let Some(journal) = self.recovery.as_mut().and_then(RecoveryDriver::journal)
        {
            // A write sent before its record is durable could still run after a crash without anyone knowing
            // of it. The cost is that each group of writes waits for the disk.
            let view = self.core.node_views().get(&send.node);
            let (name, shard) = view.map_or((String::new(), 0), |v| (v.name.clone(), v.shard));
            let started = self.node_starts.get(&send.node).copied().unwrap_or(0);
            journal.append(&send, shard, &name, started);
            return self.core.await_write(now, send.attempt, &mut self.effects);
        }
        self.enqueue_attempt(now, send.attempt, send.node);
    }

    /// Passes on the writes whose records are now durable; writes whose records could not be made durable end as
    /// never sent.
    pub(super) fn on_journal_synced(&mut self, now: Micros, sequences: Vec<u64>, error: Option<String>) {
        if let Some(error) = &error {
            tracing::error!(
                error,
                writes = sequences.len(),
                "cannot write the write journal; writes are refused"
            );
        }
        for sequence in sequences {
            let Some(journal) = self.recovery.as_mut().and_then(RecoveryDriver::journal) else { return };
            let Some((attempt, node)) = journal.take_durable(sequence) else { continue };
            // One that was overtaken meanwhile is decided on anew now, and not once its connection is up.
            if error.is_none() && self.core.is_still_valid(now, attempt) {
                self.enqueue_attempt(now, attempt, node);
            } else {
                self.on_attempt_ended(now, attempt, AttemptEnd::without_data(Outcome::NotSent));
            }
        }
    }

    /// Handles the end of an attempt, reported by its node connection or known because it was never sent.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: AttemptEnd) {
        if let Some(journal) = self.recovery.as_mut().and_then(RecoveryDriver::journal) {
            journal.attempt_ended(now, attempt, end.outcome);
        }
        self.report_attempt_ended(now, attempt, &end);
        self.core.attempt_ended(now, attempt, end, &mut self.effects);
    }
}

/// The completion of a Compare (NVM 3.2.1): compares the blocks read with the data of the command.
fn compare_completion(data: &Bytes, expected: &Bytes) -> Completion {
    let status = if data == expected {
        NvmeStatus::SUCCESS
    } else {
        NvmeStatus::permanent(StatusCode::CompareFailure)
    };
    Completion::of(status)
}
