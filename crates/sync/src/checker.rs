//! Running checks, and the injected faults that prove that a check would find them. Compiled for the model
//! checker only.

use std::cell::Cell;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A fault injected for the duration of one check. Product code refers to it only under `cfg(loom)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A snapshot is published in two steps, its number first.
    NumberFirst,
    /// Giving an item does not wake the taker.
    SendWithoutWake,
    /// Dropping the giver does not wake the taker.
    DropWithoutWake,
    /// The end is checked before the remaining items.
    EndBeforeItems,
    /// A write to a peer that accepts nothing waits without a timeout.
    NoWriteTimeout,
    /// A failed writer ends without reporting it.
    WriterFailureUnreported,
    /// Bytes are reported as taken before they are written.
    TakenBeforeWritten,
    /// Data appended after a close is kept.
    AppendAfterClose,
    /// A second writer is started while one is running.
    TwoWriters,
    /// A connection is finished with unwritten data.
    FinishDropsData,
    /// A batch that was not accepted whole does not keep the next from starting another writer.
    RoomNotAwaited,
    /// Data is pushed in two steps, and is seen without a writer in between.
    PushInTwoSteps,
    /// Messages of a batch that have not begun are buffered all the same.
    UnbegunBuffered,
    /// A writer's failure is not recorded as a cut.
    CutNotRecorded,
    /// The ticker does not check the due time again after publishing how long it sleeps, and its user does
    /// not wake it.
    DueNotRechecked,
    /// Due time and sleep time are written and read without a fence in between.
    NoFence,
    /// Stopping the ticker does not wake it.
    StopWithoutWake,
    /// Records are acknowledged before their group is durable.
    AckBeforeSync,
    /// Of each group only the last record is acknowledged.
    AckLastOnly,
    /// A connection checks whether it is admitted before it is registered.
    CheckBeforeRegister,
    /// A written answer is accounted for without waking the thread that waits for it.
    PaidWithoutWake,
    /// An update is dropped because a snapshot is due, although the snapshot may predate the update.
    UpdateDroppedForSnapshot,
    /// An update follows a snapshot that already contains it.
    UpdateAfterSnapshot,
}

/// Environment variable that names the fault to inject in a test's child process.
const FAULT_VARIABLE: &str = "INTERLEAVINGS_PLANT";

thread_local! {
    /// All threads of a check are coroutines of the one thread that runs it.
    static INJECTED_FAULT: Cell<Option<Fault>> = const { Cell::new(None) };
}

impl Fault {
    /// Whether this fault is injected in the current check.
    pub fn is_injected(self) -> bool {
        INJECTED_FAULT.get() == Some(self)
    }
}

/// Runs a check in all interleavings with at most `preemptions` switches away from a thread that could have
/// continued, without a bound if it is `None` or if the variable `INTERLEAVINGS_UNBOUNDED` is set. Returns
/// the number of interleavings.
pub fn check(preemptions: Option<usize>, run: impl Fn() + Send + Sync + 'static) -> usize {
    let interleavings = Arc::new(AtomicUsize::new(0));
    let count = interleavings.clone();
    let mut builder = loom::model::Builder::new();
    builder.max_branches = 20_000;
    builder.preemption_bound = preemptions.filter(|_| std::env::var_os("INTERLEAVINGS_UNBOUNDED").is_none());
    builder.check(move || {
        count.fetch_add(1, Ordering::Relaxed);
        run();
    });
    interleavings.load(Ordering::Relaxed)
}

/// Runs a check with a fault injected, and expects the checker to find it and to report `expected`.
///
/// The check runs in a child process: where the checker finds a deadlock it unwinds threads whose destructors
/// take locks, which may abort the process.
///
/// # Panics
///
/// The fault was not found, or something else was.
pub fn assert_detected(
    fault: Fault,
    expected: &str,
    preemptions: Option<usize>,
    run: impl Fn() + Send + Sync + 'static,
) {
    let name = format!("{fault:?}");
    match std::env::var(FAULT_VARIABLE) {
        Ok(other) if other != name => {}
        Ok(_) => {
            INJECTED_FAULT.set(Some(fault));
            check(preemptions, run);
            std::process::exit(0);
        }
        Err(_) => {
            let test = std::thread::current().name().unwrap_or_default().to_owned();
            let child = Command::new(std::env::current_exe().expect("path of the test executable"))
                .args(["--exact", &test, "--nocapture", "--test-threads=1"])
                .env(FAULT_VARIABLE, &name)
                .env("RUST_BACKTRACE", "0")
                .output()
                .expect("run the test in a child process");
            let output = String::from_utf8_lossy(&child.stderr);
            assert!(!child.status.success(), "{name} was not found");
            assert!(output.contains(expected), "{name} was found in another way: {output}");
        }
    }
}
