//! The shadow trial of a candidate shard map: copies of reads, sent after their clients have been answered.
//!
//! A copy is sent on the node's connection under a request number that neither the core nor the decision
//! module ever sees, and its end is handled here. A copy never queues ahead of a client's command: one that
//! cannot be sent at once is dropped.

use std::collections::{BTreeSet, HashMap};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Sender};
use std::thread;

use bytes::Bytes;
use decisions::{NodeId, Outcome, RequestId};
use peer::{PeerName, Told};
use shadow::{Digest, Input, KIND, Output, Shadow, ShadowOptions, Tried, TryId};
use storage_core::{AttemptEnd, AttemptId, Micros, Opcode, OutgoingAttempt};

use crate::gateway::GatewayError;
use crate::peer_network::PeerNetwork;
use crate::status::ShadowStatus;

/// First request number of copies; the core counts from 0 and never gets this far.
const FIRST_COPY_REQUEST: u64 = 1 << 63;

/// Shortest interval between two summaries for operators.
const SUMMARY_INTERVAL: Micros = 1_000_000;

/// File of the trial's counts, in the gateway's state folder.
const COUNTS_FILE: &str = "shadow";

/// A sampled read in flight.
struct SampledRead {
    nsid: u32,
    slba: u64,
    blocks: u32,
    node: NodeId,
    began: Micros,
}

/// A copy for the engine to send.
pub(crate) struct ReadCopy {
    pub(crate) attempt: AttemptId,
    pub(crate) node: String,
    pub(crate) shard: u32,
    pub(crate) nsid: u32,
    pub(crate) slba: u64,
    pub(crate) blocks: u32,
    /// When it is no longer awaited.
    pub(crate) due: Micros,
}

/// The trial of one candidate: its sampled reads, the copies in flight and the results so far.
pub(crate) struct ShadowTrial {
    shadow: Shadow,
    options: ShadowOptions,
    peer_network: PeerNetwork,
    counts_writer: Sender<Vec<u8>>,
    sampled_reads: HashMap<AttemptId, SampledRead>,
    /// Write attempts that may run, with the token under which the shadow knows each.
    writes: HashMap<AttemptId, u64>,
    next_number: u64,
    /// Copies in flight, and their deadlines.
    copies: HashMap<AttemptId, TryId>,
    copy_deadlines: BTreeSet<(Micros, AttemptId)>,
    /// Reads whose clients have been answered, with the time of the answer and its data.
    answered_reads: Vec<(SampledRead, Micros, Bytes)>,
    empty_digest: Digest,
    nodes: Vec<(u32, String)>,
    peers: Vec<PeerName>,
    is_busy: bool,
    summary: Option<(Micros, ShadowStatus)>,
    outputs: Vec<Output>,
    /// Copies for the engine to send.
    pub(crate) to_send: Vec<ReadCopy>,
}

impl ShadowTrial {
    /// Starts in the peer network's life, with the counts that earlier lives kept in the folder.
    pub(crate) fn start(
        options: ShadowOptions,
        peer_network: PeerNetwork,
        folder: &Path,
        now: Micros,
        seed: u64,
    ) -> Result<ShadowTrial, GatewayError> {
        let file = folder.join(COUNTS_FILE);
        let stored_counts = filelog::read(&file)?;
        let shadow = Shadow::new(options.clone(), peer_network.life(), stored_counts.as_deref(), now, seed)?;
        let counts_writer = start_counts_writer(file).map_err(GatewayError::Start)?;
        Ok(ShadowTrial {
            shadow,
            options,
            peer_network,
            counts_writer,
            sampled_reads: HashMap::new(),
            writes: HashMap::new(),
            // Larger than the numbers of any earlier trial, whose copies may still be in flight.
            next_number: now as u64,
            copies: HashMap::new(),
            copy_deadlines: BTreeSet::new(),
            answered_reads: Vec::new(),
            empty_digest: Digest::of(&[]),
            nodes: Vec::new(),
            peers: Vec::new(),
            is_busy: false,
            summary: None,
            outputs: Vec::new(),
            to_send: Vec::new(),
        })
    }

    /// Whether an attempt is a copy of the shadow trial.
    pub(crate) fn is_copy(attempt: AttemptId) -> bool {
        attempt.request.0 >= FIRST_COPY_REQUEST
    }

    pub(crate) fn number(&self) -> u64 {
        self.options.candidate.number
    }

    pub(crate) fn digest(&self) -> u64 {
        self.shadow.digest()
    }

    /// Summarizes the results, at most once a second because this takes a pass over all counts.
    pub(crate) fn update_summary(&mut self, now: Micros) {
        if self.summary.as_ref().is_none_or(|(at, _)| now - at >= SUMMARY_INTERVAL) {
            let status = ShadowStatus::of(self.number(), self.digest(), self.shadow.verdict());
            self.summary = Some((now, status));
        }
    }

    /// The latest summary.
    pub(crate) fn summary(&self) -> Option<ShadowStatus> {
        self.summary.as_ref().map(|(_, status)| status.clone())
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.shadow.next_due().min(self.copy_deadlines.first().map_or(Micros::MAX, |d| d.0))
    }

    /// An attempt is about to be sent: a write may run from now on, a read may be sampled.
    pub(crate) fn attempt_sent(&mut self, now: Micros, send: &OutgoingAttempt) {
        if send.opcode == Opcode::Flush || !self.shadow.wants(send.nsid, send.slba, send.blocks) {
            return;
        }
        let OutgoingAttempt { nsid, slba, blocks, node, .. } = *send;
        if send.opcode == Opcode::Read {
            self.sampled_reads.insert(send.attempt, SampledRead { nsid, slba, blocks, node, began: now });
        } else {
            self.next_number += 1;
            self.writes.insert(send.attempt, self.next_number);
            self.handle(now, Input::WriteBegan { nsid, slba, blocks, token: self.next_number });
        }
    }

    /// An attempt has ended, as its node connection reports. Of a read only its data is retained: expensive
    /// work waits until the batch with the client's answer has been flushed.
    pub(crate) fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd) {
        if let Some(read) = self.sampled_reads.remove(&attempt)
            && end.outcome == Outcome::Served
        {
            self.answered_reads.push((read, now, end.data.clone()));
        }
        if let Some(token) = self.writes.remove(&attempt) {
            let is_unknown = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
            self.handle(now, Input::WriteEnded { token, known: !is_unknown });
        }
    }

    /// An attempt's end is no longer awaited; a write that was sent may still run.
    pub(crate) fn attempt_forgotten(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        self.sampled_reads.remove(&attempt);
        if let Some(token) = self.writes.remove(&attempt) {
            self.handle(now, Input::WriteEnded { token, known: outcome == Outcome::NotSent });
        }
    }

    /// Whether answered reads wait to be copied.
    pub(crate) fn has_answered_reads(&self) -> bool {
        !self.answered_reads.is_empty()
    }

    /// Hands over the answered reads, after their answers were flushed; `is_busy` tells whether requests are
    /// queued here.
    ///
    /// Computing digests while commands wait would delay those commands. The cost is that reads of a busy
    /// gateway are counted but not copied.
    pub(crate) fn copy_answered_reads(
        &mut self,
        now: Micros,
        is_busy: bool,
        name: impl Fn(NodeId) -> String,
    ) {
        if is_busy != self.is_busy {
            self.is_busy = is_busy;
            self.handle(now, Input::Busy(is_busy));
        }
        for (read, ended, data) in std::mem::take(&mut self.answered_reads) {
            let SampledRead { nsid, slba, blocks, node, began } = read;
            // A read that is not copied is compared with nothing.
            let digest = if is_busy { self.empty_digest } else { Digest::of(&data) };
            self.handle(now, Input::Read { nsid, slba, blocks, node: name(node), began, ended, digest });
        }
    }

    /// Handles the end of a copy.
    pub(crate) fn on_copy_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd) {
        let outcome = match end.outcome {
            Outcome::Served => Tried::Data(Digest::of(&end.data)),
            Outcome::Unreachable | Outcome::NotSent => Tried::NotSent,
            _ => Tried::Failed,
        };
        self.finish_copy(now, attempt, outcome);
    }

    fn finish_copy(&mut self, now: Micros, attempt: AttemptId, outcome: Tried) {
        // The end of this copy has been reported already.
        let Some(id) = self.copies.remove(&attempt) else { return };
        self.copy_deadlines.retain(|d| d.1 != attempt);
        self.handle(now, Input::Tried { id, ended: now, outcome });
    }

    /// Nodes that may receive copies, by shard.
    pub(crate) fn set_nodes(&mut self, now: Micros, nodes: Vec<(u32, String)>) {
        if nodes != self.nodes {
            self.nodes.clone_from(&nodes);
            self.handle(now, Input::Nodes(nodes));
        }
    }

    /// All other gateways except those that have left the fleet.
    pub(crate) fn set_peers(&mut self, now: Micros, peers: Vec<PeerName>) {
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.handle(now, Input::Peers(peers));
        }
    }

    pub(crate) fn on_peer_event(&mut self, now: Micros, event: Told) {
        match event {
            Told::Noted { peer, life, kind: KIND, body } => {
                self.handle(now, Input::Heard { from: peer, life, body })
            }
            Told::Renewed { life } => self.handle(now, Input::Renewed(life)),
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        while let Some(&(due, attempt)) = self.copy_deadlines.first()
            && due <= now
        {
            self.copy_deadlines.pop_first();
            if let Some(id) = self.copies.remove(&attempt) {
                self.handle(now, Input::Tried { id, ended: now, outcome: Tried::TimedOut });
            }
        }
        self.handle(now, Input::Tick);
    }

    fn handle(&mut self, now: Micros, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.shadow.handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Try { id, node, shard, nsid, slba, blocks, patience } => {
                    self.next_number += 1;
                    let attempt =
                        AttemptId { request: RequestId(FIRST_COPY_REQUEST | self.next_number), index: 0 };
                    self.copies.insert(attempt, id);
                    let due = now + patience;
                    self.copy_deadlines.insert((due, attempt));
                    self.to_send.push(ReadCopy { attempt, node, shard, nsid, slba, blocks, due });
                }
                Output::Send { to, body } => self.peer_network.note_to(&to, KIND, body),
                // Sending cannot fail: the receiving thread runs as long as this sender exists.
                Output::Keep(counts) => drop(self.counts_writer.send(counts)),
                Output::TurnedAway { from, why } => {
                    tracing::warn!(%from, why, "rejected a peer's message about the candidate");
                }
            }
        }
        self.outputs = outputs;
    }
}

/// Starts a thread that stores the counts durably, so that the engine does not wait for the disk; of several
/// pending versions only the last is stored.
fn start_counts_writer(file: PathBuf) -> std::io::Result<Sender<Vec<u8>>> {
    let (counts, inbox) = mpsc::channel::<Vec<u8>>();
    thread::Builder::new().name("shadow".into()).spawn(move || {
        while let Ok(first) = inbox.recv() {
            let last = inbox.try_iter().last().unwrap_or(first);
            if let Err(error) = filelog::replace(&file, &last) {
                tracing::error!(%error, "cannot store the shadow trial's counts; a power failure would lose them");
            }
        }
    })?;
    Ok(counts)
}
