//! Work in hand: writes whose journal is durable before their first byte goes out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::thread;

use decisions::Outcome;
use filelog::{Log, LogError, Opened};
use recovery::{Digest, Hand, InHand, Note, Place};
use storage_core::{AttemptId, Micros, Send};
use sync::Giver;

use crate::journal::{self, Job, Keeps};
use crate::message::{Inbox, Message};

/// The writes in hand at this gateway, and the thread that keeps their journal.
pub(crate) struct WorkInHand {
    hand: Hand,
    /// Attempts out, by the number of their record. Each has its own: where and when it may run differs.
    held: HashMap<AttemptId, u64>,
    /// Attempts whose end is not known, by when they cannot run any more.
    doubtful: BTreeSet<(Micros, u64)>,
    /// Sends that wait for their record to be durable, by number.
    waiting: BTreeMap<u64, Send>,
    next: u64,
    rest: Micros,
    jobs: Giver<Job>,
    /// Records of what is over, which nobody waits for.
    over: Vec<Note>,
}

impl WorkInHand {
    /// Reads the journal of the last life. A damaged one is moved aside and named: what it told of is not known, so that there is
    /// none for the recovery.
    pub(crate) fn open(
        path: &Path,
        seed: u64,
        mark: bool,
        rest: Micros,
        inbox: Inbox,
    ) -> Result<(WorkInHand, bool), LogError> {
        let mut known = true;
        let opened = match Log::open(path, seed) {
            Err(error @ (LogError::Damaged { .. } | LogError::Foreign(_))) => {
                tracing::error!(%error, "the journal of work in hand is not believed; it is moved aside, and all writes rest");
                known = false;
                aside(path)?;
                Log::open(path, seed)?
            }
            other => other?,
        };
        let Opened { mut log, records, torn, fresh } = opened;
        if torn > 0 {
            // What was torn was not durable, so that nothing of it was sent.
            tracing::info!(torn, "a torn end was cut off the journal of work in hand");
        }
        let hand = Hand::replay(records.iter().map(Vec::as_slice)).unwrap_or_else(|error| {
            tracing::error!(%error, "the journal of work in hand is not believed");
            known = false;
            Hand::default()
        });
        if mark {
            log.keep_mark()?;
        }
        let (jobs, jobs_of_thread) = sync::handover();
        let keeps = thread::Builder::new().name("journal".into()).spawn(move || {
            let mut journal = Journal { log, draw: seed };
            let tell = |seqs, error| inbox.send(Message::Kept { seqs, error });
            journal::keep(&jobs_of_thread, &mut journal, tell);
        });
        if let Err(error) = keeps {
            return Err(LogError::Io { what: "no thread for", path: path.to_owned(), error });
        }
        // A journal that did not exist tells that nothing was in hand only to a gateway that never lived.
        let work = WorkInHand {
            hand,
            held: HashMap::new(),
            doubtful: BTreeSet::new(),
            waiting: BTreeMap::new(),
            next: 0,
            rest,
            jobs,
            over: Vec::new(),
        };
        Ok((work, known && !fresh))
    }

    /// What the journal told of.
    pub(crate) fn hand(&self) -> &Hand {
        &self.hand
    }

    /// A write is to be sent to a node with this start; it goes out once its record is durable.
    pub(crate) fn sent(&mut self, send: Send, shard: u32, node: &str, started: i64) {
        let number = self.hand.number();
        self.held.insert(send.attempt, number);
        let place = Place { nsid: send.nsid, slba: send.slba, blocks: send.blocks, shard };
        let work = InHand {
            number,
            token: send.token,
            place,
            digest: Digest::of(&send.data),
            node: node.to_owned(),
            started,
        };
        let note = self.hand.sent(work);
        self.next += 1;
        self.waiting.insert(self.next, send);
        let mut notes = std::mem::take(&mut self.over);
        notes.push(note);
        self.give(Job::Keep(self.next, bytes(notes)));
    }

    /// A send whose record is durable, or could not be made so; none if nobody waits for it any more.
    pub(crate) fn kept(&mut self, seq: u64) -> Option<Send> {
        self.waiting.remove(&seq)
    }

    /// An attempt has ended, as its link tells, or was never sent.
    pub(crate) fn ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(number) = self.held.remove(&attempt) else { return };
        // Danger: an attempt whose end is not known may run at its node for as long as the rules say. Its record stays until then.
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.doubtful.insert((now + self.rest, number));
        } else {
            self.over.extend(self.hand.over(number));
        }
    }

    /// Nobody waits for an attempt any more. One whose record was still waited for is not sent at all.
    pub(crate) fn forgotten(&mut self, now: Micros, attempt: AttemptId) {
        let seq = self.waiting.iter().find(|(_, s)| s.attempt == attempt).map(|(seq, _)| *seq);
        match seq {
            Some(seq) => {
                self.waiting.remove(&seq);
                self.ended(now, attempt, Outcome::NotSent);
            }
            None => self.ended(now, attempt, Outcome::TimedOut),
        }
    }

    /// A key from the last life is settled.
    pub(crate) fn settled(&mut self, number: u64) {
        self.over.extend(self.hand.over(number));
    }

    /// Releases what cannot run any more, and hands on records that nobody waits for.
    pub(crate) fn tidy(&mut self, now: Micros) {
        while let Some(&(until, number)) = self.doubtful.first()
            && until <= now
        {
            self.doubtful.pop_first();
            self.over.extend(self.hand.over(number));
        }
        if self.hand.is_long() && self.waiting.is_empty() {
            self.over.clear();
            let notes = self.hand.anew();
            self.give(Job::Anew(bytes(notes)));
        } else if !self.over.is_empty() {
            let notes = std::mem::take(&mut self.over);
            self.give(Job::Keep(0, bytes(notes)));
        }
    }

    fn give(&self, job: Job) {
        // The thread ends with the process only.
        self.jobs.give(job);
    }
}

/// The journal's file, and what numbers the next one.
struct Journal {
    log: Log,
    draw: u64,
}

impl Keeps for Journal {
    type Error = LogError;

    fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        self.log.append(record)
    }

    fn sync(&mut self) -> Result<(), LogError> {
        self.log.sync()
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.draw = self.draw.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        self.log.rewrite(self.draw, records.iter().map(Vec::as_slice))
    }
}

fn bytes(notes: Vec<Note>) -> Vec<Vec<u8>> {
    notes.into_iter().map(|note| note.0).collect()
}

/// Moves a file that is not believed aside, for whoever looks into it.
fn aside(path: &Path) -> Result<(), LogError> {
    let mut to = path.as_os_str().to_owned();
    to.push(".damaged");
    std::fs::rename(path, to).map_err(|error| LogError::Io {
        what: "cannot move aside",
        path: path.to_owned(),
        error,
    })
}
