//! How checks run, and the planted mistakes that show that they would find one. Compiled on the checker only.

use std::cell::Cell;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A mistake for the time of one check. The product's code names it under `cfg(loom)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// A snapshot is published in two steps, its number first.
    NumberFirst,
    /// What is given wakes nobody.
    GivenUnsaid,
    /// A giver's end wakes nobody.
    EndUnsaid,
    /// The end is looked for before what was given.
    EndFirst,
    /// A write to a peer that takes nothing waits for ever.
    NoWriteTimeout,
    /// A writer that failed ends without telling.
    WriterSilent,
    /// Bytes are told as taken before they are written.
    TakenFirst,
    /// What is appended after a close is kept.
    SpillAfterClose,
    /// A second writer is started while there is one.
    TwoWriters,
    /// A connection is finished with something unwritten.
    FinishDrops,
    /// A writer's failure does not count as a cut.
    CutForgotten,
    /// The ticker does not look at the due time again after it said how long it sleeps, and its user does not wake it.
    DueMissed,
    /// Due time and sleep are written and read without an order between.
    NoFence,
    /// Its stop does not wake the ticker.
    StopUnsaid,
    /// Records are acknowledged before their group's write is durable.
    AckBeforeSync,
    /// Of a group only the last is acknowledged.
    AckLast,
    /// A connection looks whether it is let in before it is known.
    HeldFirst,
    /// An answer that was written is taken off without waking who waits for it.
    PaidUnsaid,
    /// An update is dropped because a snapshot is due, which may be from before it.
    SnapshotStale,
    /// An update follows a snapshot that it is in.
    UpdateTwice,
}

/// Names the mistake that a test's second process plants.
const VARIABLE: &str = "INTERLEAVINGS_PLANT";

thread_local! {
    /// All threads of a check are coroutines of the one thread that runs it.
    static PLANTED: Cell<Option<Plant>> = const { Cell::new(None) };
}

impl Plant {
    /// Whether it is planted in the check that runs.
    pub fn is_set(self) -> bool {
        PLANTED.get() == Some(self)
    }
}

/// Runs a check in all interleavings with at most `preemptions` switches away from a thread that could have gone on; without
/// a bound if there is none, or if the variable `INTERLEAVINGS_UNBOUNDED` is set. How many there were.
pub fn check(preemptions: Option<usize>, run: impl Fn() + Send + Sync + 'static) -> usize {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = runs.clone();
    let mut builder = loom::model::Builder::new();
    builder.max_branches = 20_000;
    builder.preemption_bound = preemptions.filter(|_| std::env::var_os("INTERLEAVINGS_UNBOUNDED").is_none());
    builder.check(move || {
        count.fetch_add(1, Ordering::Relaxed);
        run();
    });
    runs.load(Ordering::Relaxed)
}

/// Runs a check with a mistake planted, and expects the checker to find it and to say `expected`.
///
/// It runs in a process of its own: where the checker finds a deadlock it unwinds threads whose destructors lock, and that may
/// abort the process.
///
/// # Panics
/// It was not caught, or something else was.
pub fn caught(
    plant: Plant,
    expected: &str,
    preemptions: Option<usize>,
    run: impl Fn() + Send + Sync + 'static,
) {
    let name = format!("{plant:?}");
    match std::env::var(VARIABLE) {
        Ok(other) if other != name => {}
        Ok(_) => {
            PLANTED.set(Some(plant));
            check(preemptions, run);
            std::process::exit(0);
        }
        Err(_) => {
            let test = std::thread::current().name().unwrap_or_default().to_owned();
            let child = Command::new(std::env::current_exe().expect("this test's program"))
                .args(["--exact", &test, "--nocapture", "--test-threads=1"])
                .env(VARIABLE, &name)
                .env("RUST_BACKTRACE", "0")
                .output()
                .expect("this test runs again");
            let said = String::from_utf8_lossy(&child.stderr);
            assert!(!child.status.success(), "{name} was not caught");
            assert!(said.contains(expected), "{name} was caught otherwise: {said}");
        }
    }
}
