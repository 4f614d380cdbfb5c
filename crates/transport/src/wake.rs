//! The sleep and wake-up protocol of the ticker's thread, independent of threads and clocks.

use records::Micros;
use sync::atomic::{AtomicBool, AtomicI64, Ordering, fence};
use sync::injected;

/// The longest sleep; anything due earlier wakes the thread.
pub(crate) const MAX_SLEEP: Micros = 100_000;
/// Interval at which a tick is repeated while the engine has not handled it.
pub(crate) const REPEAT_INTERVAL: Micros = 1000;

/// State shared by the ticker's thread and its user.
///
/// Each side writes one of the two times and then reads the other, with a fence in between, so at least one
/// side sees what the other wrote. Hence either the user wakes the thread, or the thread does not sleep past
/// the due time.
pub(crate) struct Wake {
    due: AtomicI64,
    /// When the thread's sleep ends; the maximum while it checks what is due.
    sleeps_until: AtomicI64,
    stopped: AtomicBool,
}

impl Wake {
    /// A new state with nothing due.
    pub(crate) fn new() -> Wake {
        Wake {
            due: AtomicI64::new(Micros::MAX),
            sleeps_until: AtomicI64::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Sets the next due time, replacing the previous one. Returns whether the thread has to be woken
    /// (unparked).
    pub(crate) fn set_due(&self, at: Micros) -> bool {
        self.due.store(at, Ordering::Release);
        self.fence();
        at < self.sleeps_until.load(Ordering::Acquire)
    }

    /// Ends the thread's loop; the thread has to be woken.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Keeps time until stopped. `sleep` returns after the given time, when woken, or earlier; as with a
    /// parked thread, a wake-up that precedes it must not be lost.
    pub(crate) fn run(&self, now: impl Fn() -> Micros, tick: impl Fn(), sleep: impl Fn(Micros)) {
        while !self.stopped.load(Ordering::Acquire) {
            let now = now();
            // Published before the due time is read, so that whoever sets an earlier due time afterwards sees
            // it and wakes this thread.
            self.publish_sleep_end(Micros::MAX);
            let due = self.due.load(Ordering::Acquire);
            let is_due = due <= now;
            let until = if is_due {
                tick();
                now + REPEAT_INTERVAL
            } else {
                due.min(now + MAX_SLEEP)
            };
            self.publish_sleep_end(until);
            // Checked again, because whoever set an earlier due time meanwhile may not have known when this
            // sleep ends.
            if is_due || self.due.load(Ordering::Acquire) >= until || injected!(DueNotRechecked) {
                sleep((until - now).max(1));
            }
        }
    }

    fn publish_sleep_end(&self, until: Micros) {
        if until == Micros::MAX && injected!(DueNotRechecked) {
            return;
        }
        self.sleeps_until.store(until, Ordering::Release);
        self.fence();
    }

    fn fence(&self) {
        if !injected!(NoFence) {
            fence(Ordering::SeqCst);
        }
    }
}
