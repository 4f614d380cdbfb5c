//! The write journal: the record of each write is durable before the first byte of the write is sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::thread;

use decisions::{NodeId, Outcome};
use filelog::{Log, LogError, Opened};
use recovery::{Digest, Hand, InHand, Note, Place};
use storage_core::{AttemptId, Micros, OutgoingAttempt};
use sync::QueueSender;

use crate::journal_writer::{self, Job, RecordStore};
use crate::message::{Inbox, Message};

/// The writes in progress at this gateway, and the thread that keeps their journal.
pub(crate) struct WriteJournal {
    in_progress: Hand,
    /// Attempts in flight, by the number of their record. Each has a record of its own because attempts
    /// differ in where and until when they may run.
    record_numbers: HashMap<AttemptId, u64>,
    /// Attempts whose outcome is unknown, by the time after which they cannot run any more.
    unknown_outcomes: BTreeSet<(Micros, u64)>,
    /// Attempts that wait for their record to become durable, with their nodes, by sequence number.
    waiting: BTreeMap<u64, (AttemptId, NodeId)>,
    next_sequence: u64,
    max_execution_time: Micros,
    jobs: QueueSender<Job>,
    /// Records of finished writes; nothing waits for them to be durable.
    finished: Vec<Note>,
}

impl WriteJournal {
    /// Opens the journal of the previous life. A damaged one is moved aside and logged; what it contained is
    /// unknown, so `false` is returned and the recovery gets no journal.
    pub(crate) fn open(
        path: &Path,
        seed: u64,
        keep_mark: bool,
        max_execution_time: Micros,
        inbox: Inbox,
    ) -> Result<(WriteJournal, bool), LogError> {
        let mut is_trusted = true;
        let opened = match Log::open(path, seed) {
            Err(error @ (LogError::Damaged { .. } | LogError::Foreign(_))) => {
                tracing::error!(
                    %error,
                    "the write journal is damaged and moved aside; all writes wait until earlier ones have ended"
                );
                is_trusted = false;
                move_aside(path)?;
                Log::open(path, seed)?
            }
            other => other?,
        };
        let Opened { mut log, records, torn, fresh } = opened;
        if torn > 0 {
            // The torn tail was never durable, so none of its writes was sent.
            tracing::info!(torn, "truncated a torn tail of the write journal");
        }
        let in_progress = Hand::replay(records.iter().map(Vec::as_slice)).unwrap_or_else(|error| {
            tracing::error!(%error, "the write journal cannot be replayed");
            is_trusted = false;
            Hand::default()
        });
        if keep_mark {
            log.keep_mark()?;
        }
        let (jobs, thread_jobs) = sync::queue();
        let started = thread::Builder::new().name("journal".into()).spawn(move || {
            let mut file = JournalFile { log, number_seed: seed };
            let acknowledge = |sequences, error| inbox.send(Message::JournalSynced { sequences, error });
            journal_writer::run(&thread_jobs, &mut file, acknowledge);
        });
        if let Err(error) = started {
            return Err(LogError::Io { what: "no thread for", path: path.to_owned(), error });
        }
        // A missing journal means that no write was in progress only for a gateway that never ran before.
        let journal = WriteJournal {
            in_progress,
            record_numbers: HashMap::new(),
            unknown_outcomes: BTreeSet::new(),
            waiting: BTreeMap::new(),
            next_sequence: 0,
            max_execution_time,
            jobs,
            finished: Vec::new(),
        };
        Ok((journal, is_trusted && !fresh))
    }

    /// The writes that the journal contained.
    pub(crate) fn in_progress(&self) -> &Hand {
        &self.in_progress
    }

    /// Journals a write to a node with this start time; it may be written once its record is durable.
    pub(crate) fn append(&mut self, send: &OutgoingAttempt, shard: u32, node: &str, started: i64) {
        let number = self.in_progress.number();
        self.record_numbers.insert(send.attempt, number);
        let place = Place { nsid: send.nsid, slba: send.slba, blocks: send.blocks, shard };
        let write = InHand {
            number,
            token: send.token,
            place,
            digest: Digest::of(&send.data),
            node: node.to_owned(),
            started,
        };
        let note = self.in_progress.sent(write);
        self.next_sequence += 1;
        self.waiting.insert(self.next_sequence, (send.attempt, send.node));
        let mut notes = std::mem::take(&mut self.finished);
        notes.push(note);
        self.submit(Job::Append(self.next_sequence, encode(notes)));
    }

    /// The attempt whose record is durable, or could not be made so, and its node; `None` if it is no longer
    /// awaited.
    pub(crate) fn take_durable(&mut self, sequence: u64) -> Option<(AttemptId, NodeId)> {
        self.waiting.remove(&sequence)
    }

    /// An attempt has ended, as its node connection reports, or was never sent.
    pub(crate) fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(number) = self.record_numbers.remove(&attempt) else { return };
        // An attempt with an unknown outcome may still run at its node for the configured time; its record
        // stays until then.
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.unknown_outcomes.insert((now + self.max_execution_time, number));
        } else {
            self.finished.extend(self.in_progress.over(number));
        }
    }

    /// An attempt is no longer awaited; if its record is not durable yet, it is never sent.
    pub(crate) fn attempt_forgotten(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        self.waiting.retain(|_, (waiting, _)| *waiting != attempt);
        self.attempt_ended(now, attempt, outcome);
    }

    /// A key of the previous life is settled.
    pub(crate) fn key_settled(&mut self, number: u64) {
        self.finished.extend(self.in_progress.over(number));
    }

    /// Releases the records of attempts that cannot run any more, and writes out the records that nothing
    /// waits for.
    pub(crate) fn release_expired(&mut self, now: Micros) {
        while let Some(&(until, number)) = self.unknown_outcomes.first()
            && until <= now
        {
            self.unknown_outcomes.pop_first();
            self.finished.extend(self.in_progress.over(number));
        }
        if self.in_progress.is_long() && self.waiting.is_empty() {
            self.finished.clear();
            let notes = self.in_progress.anew();
            self.submit(Job::Rewrite(encode(notes)));
        } else if !self.finished.is_empty() {
            let notes = std::mem::take(&mut self.finished);
            self.submit(Job::Append(0, encode(notes)));
        }
    }

    fn submit(&self, job: Job) {
        // The thread ends only with the process.
        self.jobs.send(job);
    }
}

/// The journal's file, and the seed of the next file's number.
struct JournalFile {
    log: Log,
    number_seed: u64,
}

impl RecordStore for JournalFile {
    type Error = LogError;

    fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        self.log.append(record)
    }

    fn sync(&mut self) -> Result<(), LogError> {
        self.log.sync()
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.number_seed = self.number_seed.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        self.log.rewrite(self.number_seed, records.iter().map(Vec::as_slice))
    }
}

fn encode(notes: Vec<Note>) -> Vec<Vec<u8>> {
    notes.into_iter().map(|note| note.0).collect()
}

/// Renames a damaged file, so that it can be examined later.
fn move_aside(path: &Path) -> Result<(), LogError> {
    let mut to = path.as_os_str().to_owned();
    to.push(".damaged");
    std::fs::rename(path, to).map_err(|error| LogError::Io {
        what: "cannot rename",
        path: path.to_owned(),
        error,
    })
}
