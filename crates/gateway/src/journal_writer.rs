//! The loop of the journal thread: makes records durable in groups and acknowledges them. The file and the
//! thread are the caller's.

use std::fmt::Display;

use sync::{QueueReceiver, injected};

/// A job for the journal thread.
pub(crate) enum Job {
    /// Records to append. A number other than 0 is acknowledged once they are durable.
    Append(u64, Vec<Vec<u8>>),
    /// Records that replace all existing ones.
    Rewrite(Vec<Vec<u8>>),
}

/// A store of records.
pub(crate) trait RecordStore {
    /// Why an operation failed.
    type Error: Display;

    /// Appends a record; it is durable only once a sync has returned.
    fn append(&mut self, record: &[u8]) -> Result<(), Self::Error>;

    /// Makes all appended records durable.
    fn sync(&mut self) -> Result<(), Self::Error>;

    /// Durably replaces all records.
    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Self::Error>;
}

/// Carries out jobs until there are no more. All jobs that arrive while one group is being written are made
/// durable with a single sync. After that sync `acknowledge` receives the numbers of the group once, in
/// order, with the error if they could not be stored.
pub(crate) fn run<S: RecordStore>(
    jobs: &QueueReceiver<Job>,
    store: &mut S,
    acknowledge: impl Fn(Vec<u64>, Option<String>),
) {
    while let Some(group) = jobs.receive_all() {
        let (mut sequences, mut result) = (Vec::new(), Ok(()));
        for job in group {
            match job {
                Job::Append(sequence, records) => {
                    if injected!(AckLastOnly) {
                        sequences.clear();
                    }
                    sequences.extend((sequence > 0).then_some(sequence));
                    result = result.and_then(|()| records.iter().try_for_each(|r| store.append(r)));
                }
                Job::Rewrite(records) => {
                    let rewritten = store.sync().and_then(|()| store.rewrite(&records));
                    result = result.and(rewritten);
                }
            }
        }
        if injected!(AckBeforeSync) {
            acknowledge(std::mem::take(&mut sequences), None);
        }
        let error = result.and_then(|()| store.sync()).err().map(|e| e.to_string());
        if !sequences.is_empty() || error.is_some() {
            acknowledge(sequences, error);
        }
    }
}
