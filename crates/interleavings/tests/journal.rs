//! Records are handed to the journal's thread, made durable in groups, and acknowledged.

extern crate interleavings as sync;

#[path = "../../gateway/src/journal_writer.rs"]
mod journal_writer;

use journal_writer::{Job, RecordStore, run};
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Mutex, lock, queue, thread};

/// The disk, as whoever reads it after a cut of power finds it.
#[derive(Debug, Default)]
struct Disk {
    pending: Vec<Vec<u8>>,
    durable: Vec<Vec<u8>>,
    syncs: usize,
    /// This sync fails, and what was pending is gone.
    fails_at: Option<usize>,
    /// Numbers in the order told, and whether without an error.
    told: Vec<(u64, bool)>,
}

/// Only the journal's thread writes to it, and only its order matters: the lock is not the checker's.
type Shared = std::sync::Arc<std::sync::Mutex<Disk>>;

struct Log(Shared);

impl RecordStore for Log {
    type Error = String;

    fn append(&mut self, record: &[u8]) -> Result<(), String> {
        self.0.lock().expect("whole").pending.push(record.to_vec());
        Ok(())
    }

    fn sync(&mut self) -> Result<(), String> {
        let mut disk = self.0.lock().expect("whole");
        disk.syncs += 1;
        let pending = std::mem::take(&mut disk.pending);
        if disk.fails_at == Some(disk.syncs) {
            return Err("no space".into());
        }
        disk.durable.extend(pending);
        Ok(())
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), String> {
        self.0.lock().expect("whole").durable = records.to_vec();
        Ok(())
    }
}

fn record(seq: u64) -> Vec<u8> {
    vec![seq as u8]
}

/// What the engine does on an acknowledgement: the write goes out, so its record must be there after a cut.
fn tell(disk: &Shared, seqs: Vec<u64>, error: Option<String>) {
    let mut disk = disk.lock().expect("whole");
    for seq in seqs {
        let is_there = disk.durable.contains(&record(seq));
        assert!(is_there || error.is_some(), "{seq} was acknowledged before it was durable");
        disk.told.push((seq, error.is_none()));
    }
}

/// Three writes from the engine; each is acknowledged once, in order, after its record is durable.
fn kept(fails_at: Option<usize>) {
    let disk = Shared::default();
    disk.lock().expect("whole").fails_at = fails_at;
    let (jobs, taken) = queue();
    let own = disk.clone();
    let thread = thread::spawn(move || {
        let mut log = Log(own.clone());
        run(&taken, &mut log, |seqs, error| tell(&own, seqs, error));
    });
    for seq in 1..=3 {
        assert!(jobs.send(Job::Append(seq, vec![record(seq)])));
    }
    drop(jobs);
    thread.join().expect("it kept");
    let disk = disk.lock().expect("whole");
    let seqs: Vec<u64> = disk.told.iter().map(|t| t.0).collect();
    assert_eq!(seqs, [1, 2, 3], "each is acknowledged once");
    assert_eq!(disk.told.iter().all(|t| t.1), fails_at.is_none() || disk.syncs < fails_at.unwrap_or(0));
}

/// The engine waits for an acknowledgement before it goes on; nobody else wakes the thread.
fn kept_one_by_one() {
    let disk = Shared::default();
    let (jobs, taken) = queue();
    let (acknowledges, acknowledged) = queue();
    let own = disk.clone();
    let thread = thread::spawn(move || {
        let mut log = Log(own.clone());
        run(&taken, &mut log, |seqs, error| {
            assert!(acknowledges.send(seqs.clone()));
            tell(&own, seqs, error);
        });
    });
    jobs.send(Job::Append(1, vec![record(1)]));
    assert_eq!(acknowledged.receive(), Some(vec![1]));
    // What nobody waits for, and the journal written anew: none of it is acknowledged.
    jobs.send(Job::Append(0, vec![record(7)]));
    jobs.send(Job::Rewrite(vec![record(9)]));
    jobs.send(Job::Append(2, vec![record(2)]));
    assert_eq!(acknowledged.receive(), Some(vec![2]));
    drop(jobs);
    thread.join().expect("it kept");
    assert_eq!(disk.lock().expect("whole").durable, [record(9), record(2)]);
}

/// Two threads share the counter of what was given; the facade's lock is theirs.
fn given_by_turns() {
    let disk = Shared::default();
    let (jobs, taken) = queue();
    let jobs = Arc::new(Mutex::new((0, jobs)));
    let (own, other) = (disk.clone(), jobs.clone());
    let thread = thread::spawn(move || {
        let mut log = Log(own.clone());
        run(&taken, &mut log, |seqs, error| tell(&own, seqs, error));
    });
    let give = |jobs: &Mutex<(u64, sync::QueueSender<Job>)>| {
        let mut jobs = lock(jobs);
        jobs.0 += 1;
        jobs.1.send(Job::Append(jobs.0, vec![record(jobs.0)]));
    };
    let gives = thread::spawn(move || give(&other));
    give(&jobs);
    gives.join().expect("it gave");
    drop(jobs);
    thread.join().expect("it kept");
    let told: Vec<u64> = disk.lock().expect("whole").told.iter().map(|t| t.0).collect();
    assert_eq!(told, [1, 2], "each is acknowledged once");
}

#[test]
fn records_are_acknowledged_once_and_in_order_after_they_are_durable() {
    println!("groups: {}", check(None, || kept(None)));
    println!("one by one: {}", check(Some(3), kept_one_by_one));
    println!("two give: {}", check(Some(2), given_by_turns));
}

#[test]
fn a_group_that_could_not_be_written_is_told_as_a_whole() {
    for at in 1..=2 {
        println!("sync {at} fails: {}", check(Some(2), move || kept(Some(at))));
    }
}

#[test]
fn an_acknowledgement_before_the_groups_write_is_caught() {
    assert_detected(Fault::AckBeforeSync, "before it was durable", None, || kept(None));
}

#[test]
fn a_group_of_which_only_the_last_is_acknowledged_is_caught() {
    assert_detected(Fault::AckLastOnly, "acknowledged once", None, || kept(None));
}
