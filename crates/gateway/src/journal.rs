//! How the journal's thread makes records durable in groups and says so; without the file and without the thread.

use std::fmt::Display;

use sync::{Taker, planted};

/// What the journal's thread is given.
pub(crate) enum Job {
    /// Records; a number other than 0 waits for them to be durable.
    Keep(u64, Vec<Vec<u8>>),
    /// All records in place of those that are there.
    Anew(Vec<Vec<u8>>),
}

/// Where records are kept.
pub(crate) trait Keeps {
    /// Why it could not.
    type Error: Display;

    /// Appends a record, which counts once a sync has returned.
    fn append(&mut self, record: &[u8]) -> Result<(), Self::Error>;

    /// Makes durable all that was appended.
    fn sync(&mut self) -> Result<(), Self::Error>;

    /// Puts other records in place of all, durably.
    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Self::Error>;
}

/// Carries jobs out until there are no more. All that came while the last group was written is made durable with one sync.
/// `tell` gets the numbers of a group once, in their order, after its sync has returned; or with them why it could not be kept.
pub(crate) fn keep<K: Keeps>(jobs: &Taker<Job>, log: &mut K, tell: impl Fn(Vec<u64>, Option<String>)) {
    while let Some(group) = jobs.take_all() {
        let (mut seqs, mut kept) = (Vec::new(), Ok(()));
        for job in group {
            match job {
                Job::Keep(seq, records) => {
                    if planted!(AckLast) {
                        seqs.clear();
                    }
                    seqs.extend((seq > 0).then_some(seq));
                    kept = kept.and_then(|()| records.iter().try_for_each(|r| log.append(r)));
                }
                Job::Anew(records) => {
                    let all = log.sync().and_then(|()| log.rewrite(&records));
                    kept = kept.and(all);
                }
            }
        }
        if planted!(AckBeforeSync) {
            tell(std::mem::take(&mut seqs), None);
        }
        let error = kept.and_then(|()| log.sync()).err().map(|e| e.to_string());
        if !seqs.is_empty() || error.is_some() {
            tell(seqs, error);
        }
    }
}
