//! The candidate shard map in the shadow: copies of reads after their clients have their answers.
//!
//! A copy goes out on the node's link under a number that neither the core nor the module ever sees, and its end is taken here.
//! Nothing of it waits in line before a client's command: what does not go out at once does not go.

use std::collections::{BTreeSet, HashMap};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Sender};
use std::thread;

use bytes::Bytes;
use decisions::{NodeId, Outcome, RequestId};
use peer::{PeerName, Told};
use shadow::{Digest, Input, KIND, Output, Shadow, ShadowOptions, Tried, TryId};
use storage_core::{AttemptId, End, Micros, Opcode, Send};

use crate::company::Company;
use crate::gateway::GatewayError;
use crate::status::ShadowStatus;

/// Numbers of copies begin here; the core's begin at nought and never come so far.
const FIRST: u64 = 1 << 63;

/// What operators see is summed up this often at most.
const SHOWN: Micros = 1_000_000;

/// A read of the slice that is out.
struct Read {
    nsid: u32,
    slba: u64,
    blocks: u32,
    node: NodeId,
    began: Micros,
}

/// A copy that the engine is to send.
pub(crate) struct Copy {
    pub(crate) attempt: AttemptId,
    pub(crate) node: String,
    pub(crate) shard: u32,
    pub(crate) nsid: u32,
    pub(crate) slba: u64,
    pub(crate) blocks: u32,
}

pub(crate) struct Trial {
    shadow: Shadow,
    options: ShadowOptions,
    company: Company,
    keeps: Sender<Vec<u8>>,
    reads: HashMap<AttemptId, Read>,
    /// Attempts of writes that may run, by the name that the shadow has for each.
    writes: HashMap<AttemptId, u64>,
    next: u64,
    /// Copies that are out, and until when they are waited for.
    copies: HashMap<AttemptId, (TryId, String)>,
    dues: BTreeSet<(Micros, AttemptId)>,
    /// Reads whose clients have their answers, when these came, and what they were.
    answered: Vec<(Read, Micros, Bytes)>,
    nothing: Digest,
    nodes: Vec<(u32, String)>,
    peers: Vec<PeerName>,
    is_busy: bool,
    shown: Option<(Micros, ShadowStatus)>,
    out: Vec<Output>,
    /// For the engine.
    pub(crate) to_send: Vec<Copy>,
    /// Copies that nobody waits for any more, and their nodes.
    pub(crate) to_forget: Vec<(AttemptId, String)>,
}

impl Trial {
    /// Begins in the company's life, with what earlier ones kept in the folder.
    pub(crate) fn start(
        options: ShadowOptions,
        company: Company,
        folder: &Path,
        now: Micros,
        seed: u64,
    ) -> Result<Trial, GatewayError> {
        let file = folder.join("shadow");
        let kept = filelog::read(&file)?;
        let shadow = Shadow::new(options.clone(), company.life(), kept.as_deref(), now, seed)?;
        let keeps = keep(file).map_err(GatewayError::Start)?;
        Ok(Trial {
            shadow,
            options,
            company,
            keeps,
            reads: HashMap::new(),
            writes: HashMap::new(),
            // Above those of any instance before, whose copies may still be out.
            next: now as u64,
            copies: HashMap::new(),
            dues: BTreeSet::new(),
            answered: Vec::new(),
            nothing: Digest::of(&[]),
            nodes: Vec::new(),
            peers: Vec::new(),
            is_busy: false,
            shown: None,
            out: Vec::new(),
            to_send: Vec::new(),
            to_forget: Vec::new(),
        })
    }

    /// Whether an attempt is a copy of the shadow's.
    pub(crate) fn is_copy(attempt: AttemptId) -> bool {
        attempt.request.0 >= FIRST
    }

    pub(crate) fn number(&self) -> u64 {
        self.options.candidate.number
    }

    pub(crate) fn digest(&self) -> u64 {
        self.shadow.digest()
    }

    /// Sums up what is known, at most once a second: it costs a pass over all counts.
    pub(crate) fn sum_up(&mut self, now: Micros) {
        if self.shown.as_ref().is_none_or(|(at, _)| now - at >= SHOWN) {
            let status = ShadowStatus::of(self.number(), self.digest(), self.shadow.verdict());
            self.shown = Some((now, status));
        }
    }

    /// What was summed up last.
    pub(crate) fn shown(&self) -> Option<ShadowStatus> {
        self.shown.as_ref().map(|(_, status)| status.clone())
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.shadow.next_due().min(self.dues.first().map_or(Micros::MAX, |d| d.0))
    }

    /// An attempt is about to go out: a write may run from now on, a read may be one of the slice.
    pub(crate) fn sends(&mut self, now: Micros, send: &Send) {
        if send.opcode == Opcode::Flush || !self.shadow.wants(send.nsid, send.slba, send.blocks) {
            return;
        }
        let Send { nsid, slba, blocks, node, .. } = *send;
        if send.opcode == Opcode::Read {
            self.reads.insert(send.attempt, Read { nsid, slba, blocks, node, began: now });
        } else {
            self.next += 1;
            self.writes.insert(send.attempt, self.next);
            self.take(now, Input::WriteBegan { nsid, slba, blocks, token: self.next });
        }
    }

    /// An attempt has ended, as its link tells. Of a read only its data is held on to: what costs time waits until the batch with
    /// its client's answer has gone.
    pub(crate) fn ended(&mut self, now: Micros, attempt: AttemptId, end: &End) {
        if let Some(read) = self.reads.remove(&attempt)
            && end.outcome == Outcome::Served
        {
            self.answered.push((read, now, end.data.clone()));
        }
        if let Some(token) = self.writes.remove(&attempt) {
            let unknown = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
            self.take(now, Input::WriteEnded { token, known: !unknown });
        }
    }

    /// Nobody waits for an attempt any more: a write may yet run.
    pub(crate) fn forgotten(&mut self, now: Micros, attempt: AttemptId) {
        self.reads.remove(&attempt);
        if let Some(token) = self.writes.remove(&attempt) {
            self.take(now, Input::WriteEnded { token, known: false });
        }
    }

    /// Whether reads wait for their copies.
    pub(crate) fn has_answered(&self) -> bool {
        !self.answered.is_empty()
    }

    /// The clients have their answers; requests are held here, or not.
    ///
    /// Danger: digests taken while commands wait would hold these up. Harm: reads of a busy gateway are counted, and not tried.
    pub(crate) fn copy(&mut self, now: Micros, is_busy: bool, name: impl Fn(NodeId) -> String) {
        if is_busy != self.is_busy {
            self.is_busy = is_busy;
            self.take(now, Input::Busy(is_busy));
        }
        for (read, ended, data) in std::mem::take(&mut self.answered) {
            let Read { nsid, slba, blocks, node, began } = read;
            // One that isn't tried is compared with nothing.
            let digest = if is_busy { self.nothing } else { Digest::of(&data) };
            self.take(now, Input::Read { nsid, slba, blocks, node: name(node), began, ended, digest });
        }
    }

    /// What a copy came to.
    pub(crate) fn copied(&mut self, now: Micros, attempt: AttemptId, end: &End) {
        let outcome = match end.outcome {
            Outcome::Served => Tried::Data(Digest::of(&end.data)),
            Outcome::Unreachable | Outcome::NotSent => Tried::NotSent,
            _ => Tried::Failed,
        };
        self.over(now, attempt, outcome);
    }

    fn over(&mut self, now: Micros, attempt: AttemptId, outcome: Tried) {
        // One that is over already was told of.
        let Some((id, _)) = self.copies.remove(&attempt) else { return };
        self.dues.retain(|d| d.1 != attempt);
        self.take(now, Input::Tried { id, ended: now, outcome });
    }

    /// Nodes that may be tried, by shard.
    pub(crate) fn nodes(&mut self, now: Micros, nodes: Vec<(u32, String)>) {
        if nodes != self.nodes {
            self.nodes.clone_from(&nodes);
            self.take(now, Input::Nodes(nodes));
        }
    }

    /// All other gateways but those that have left.
    pub(crate) fn peers(&mut self, now: Micros, peers: Vec<PeerName>) {
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.take(now, Input::Peers(peers));
        }
    }

    pub(crate) fn told(&mut self, now: Micros, told: Told) {
        match told {
            Told::Noted { peer, life, kind: KIND, body } => {
                self.take(now, Input::Heard { from: peer, life, body })
            }
            Told::Renewed { life } => self.take(now, Input::Renewed(life)),
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        while let Some(&(due, attempt)) = self.dues.first()
            && due <= now
        {
            self.dues.pop_first();
            if let Some((id, node)) = self.copies.remove(&attempt) {
                self.to_forget.push((attempt, node));
                self.take(now, Input::Tried { id, ended: now, outcome: Tried::TimedOut });
            }
        }
        self.take(now, Input::Tick);
    }

    fn take(&mut self, now: Micros, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.shadow.handle(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                Output::Try { id, node, shard, nsid, slba, blocks, patience } => {
                    self.next += 1;
                    let attempt = AttemptId { request: RequestId(FIRST | self.next), n: 0 };
                    self.copies.insert(attempt, (id, node.clone()));
                    self.dues.insert((now + patience, attempt));
                    self.to_send.push(Copy { attempt, node, shard, nsid, slba, blocks });
                }
                Output::Send { to, body } => self.company.note_to(&to, KIND, body),
                // The thread ends with the process only.
                Output::Keep(counts) => drop(self.keeps.send(counts)),
                Output::TurnedAway { from, why } => {
                    tracing::warn!(%from, why, "something that was said of the candidate was turned away");
                }
            }
        }
        self.out = out;
    }
}

/// A thread that keeps the counts durably, so that the engine waits for no disk; of many that wait only the last is kept.
fn keep(file: PathBuf) -> std::io::Result<Sender<Vec<u8>>> {
    let (counts, inbox) = mpsc::channel::<Vec<u8>>();
    thread::Builder::new().name("shadow".into()).spawn(move || {
        while let Ok(first) = inbox.recv() {
            let last = inbox.try_iter().last().unwrap_or(first);
            if let Err(error) = filelog::replace(&file, &last) {
                tracing::error!(%error, "the shadow's counts cannot be kept: a loss of power costs all since");
            }
        }
    })?;
    Ok(counts)
}
