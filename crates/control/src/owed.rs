//! Answers that are owed, and whoever waits until none is.

use std::time::{Duration, Instant};

use sync::{Condvar, Mutex, injected, lock, wait_timeout};

/// Requests that were read and whose answers are not written yet.
#[derive(Default)]
pub(crate) struct Owed {
    count: Mutex<usize>,
    none: Condvar,
}

/// One such request, until it is dropped: a handler that panics owes nothing any more.
pub(crate) struct Owing<'a>(&'a Owed);

impl Owed {
    /// A request was read.
    pub(crate) fn owe(&self) -> Owing<'_> {
        *lock(&self.count) += 1;
        Owing(self)
    }

    /// Waits until nothing is owed; whether that was so within the time.
    pub(crate) fn settle(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        let mut count = lock(&self.count);
        while *count > 0 {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            count = wait_timeout(&self.none, count, left);
        }
        true
    }
}

impl Drop for Owing<'_> {
    fn drop(&mut self) {
        let mut count = lock(&self.0.count);
        *count -= 1;
        if *count == 0 && !injected!(PaidWithoutWake) {
            self.0.none.notify_all();
        }
    }
}
