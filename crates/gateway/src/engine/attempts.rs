//! What the core wants carried out: attempts on their way out, answers on theirs.

use bytes::Bytes;
use nvme::{Completion, Status as NvmeStatus, StatusCode};
use storage_core::{Answer, AttemptId, Effect, End, Micros, Opcode, Send};

use super::Engine;
use crate::mapping::told;
use crate::returning::Returning;

impl Engine {
    /// Carries out the core's effects until none is left.
    pub(super) fn settle(&mut self, now: Micros) {
        while !self.effects.is_empty() || self.allow(now) {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Send(send) => self.send(now, send),
                    Effect::Abandon(attempt, node) => {
                        if let Some(work) = self.returning.as_mut().and_then(Returning::work) {
                            work.forgotten(now, attempt);
                        }
                        self.forgets(now, attempt);
                        if let Some(link) = self.links.get(&node) {
                            link.forget(attempt);
                        }
                    }
                    Effect::Answer(ticket, answer) if self.settling.contains_key(&ticket) => {
                        if let Some(work) = self.settling.remove(&ticket) {
                            let data =
                                if let Answer::Served(data) = &answer { Some(&data[..]) } else { None };
                            self.return_with(now, |r, orders| r.read_back(now, &work, data, orders));
                        }
                    }
                    Effect::Answer(ticket, answer) => {
                        let taken = self.tickets.get(&ticket);
                        let asked =
                            taken.and_then(|t| t.asked).filter(|_| !matches!(answer, Answer::Served(_)));
                        let expected = taken.and_then(|t| t.expected.as_ref());
                        let completion = match (&answer, expected) {
                            (Answer::Served(data), Some(expected)) => compared(data, expected),
                            _ => told(answer, &self.options.target.retry_delays),
                        };
                        if let Some(asked) = asked {
                            self.unserved(now, asked, self.was_sent(ticket));
                        }
                        self.complete(ticket, completion);
                    }
                    Effect::Subscribe => {}
                    Effect::Log(line) => tracing::info!("{line}"),
                }
            }
        }
    }

    pub(super) fn send(&mut self, now: Micros, send: Send) {
        self.sends(now, &send);
        if send.opcode == Opcode::Write
            && let Some(work) = self.returning.as_mut().and_then(Returning::work)
        {
            // Danger: a write that is sent before its record is durable may run after a loss that nobody knows it from. Harm: each
            // group of writes waits for the disk.
            let view = self.core.node_views().get(&send.node);
            let (name, shard) = view.map_or((String::new(), 0), |v| (v.name.clone(), v.shard));
            let started = self.starts.get(&send.node).copied().unwrap_or(0);
            return work.sent(send, shard, &name, started);
        }
        self.send_now(now, send);
    }

    /// Sends what is durable now; what could not be made so was never sent.
    pub(super) fn kept(&mut self, now: Micros, seqs: Vec<u64>, error: Option<String>) {
        if let Some(error) = &error {
            tracing::error!(
                error,
                writes = seqs.len(),
                "the journal of work in hand cannot be written: writes are turned away"
            );
        }
        for seq in seqs {
            let Some(work) = self.returning.as_mut().and_then(Returning::work) else { return };
            let Some(send) = work.kept(seq) else { continue };
            if error.is_none() {
                self.send_now(now, send);
            } else {
                self.over(now, send.attempt, End::of(decisions::Outcome::NotSent));
            }
        }
    }

    pub(super) fn send_now(&mut self, now: Micros, send: Send) {
        let attempt = send.attempt;
        let end = match self.links.get(&send.node) {
            Some(link) => link.send(send, &mut self.dirty),
            None => Some(End::of(decisions::Outcome::Unreachable)),
        };
        if let Some(end) = end {
            self.over(now, attempt, end);
        }
    }

    /// An attempt has ended, as its link tells, or never went out.
    pub(super) fn over(&mut self, now: Micros, attempt: AttemptId, end: End) {
        if let Some(work) = self.returning.as_mut().and_then(Returning::work) {
            work.ended(now, attempt, end.outcome);
        }
        self.ends(now, attempt, &end);
        self.core.attempt_ended(now, attempt, end, &mut self.effects);
    }
}

/// The end of a Compare (NVM 3.2.1): the blocks that were read against the data that came with it.
fn compared(data: &Bytes, expected: &Bytes) -> Completion {
    let status = if data == expected {
        NvmeStatus::SUCCESS
    } else {
        NvmeStatus::permanent(StatusCode::CompareFailure)
    };
    Completion::of(status)
}
