//! When the ticker's thread sleeps, and who wakes it; without the thread and without a clock.

use records::Micros;
use sync::atomic::{AtomicBool, AtomicI64, Ordering, fence};
use sync::planted;

/// The longest sleep; what is due earlier wakes it.
pub(crate) const LONGEST: Micros = 100_000;
/// A tick that the engine has not handled yet is repeated after this.
pub(crate) const AGAIN: Micros = 1000;

/// What the ticker's thread and its user share.
///
/// Each writes one of the two times and then reads the other's, with a fence between: at least one of them sees what the other
/// wrote. So either the user wakes the thread or the thread doesn't go to sleep for longer than is left.
pub(crate) struct Wake {
    due: AtomicI64,
    /// The thread sleeps until then; the end of time while it looks what is due.
    sleeps_until: AtomicI64,
    over: AtomicBool,
}

impl Wake {
    /// Nothing is due.
    pub(crate) fn new() -> Wake {
        Wake {
            due: AtomicI64::new(Micros::MAX),
            sleeps_until: AtomicI64::new(0),
            over: AtomicBool::new(false),
        }
    }

    /// The next due time, in place of the one before; whether the thread has to be woken (unparked) for it.
    pub(crate) fn set(&self, at: Micros) -> bool {
        self.due.store(at, Ordering::Release);
        self.fence();
        at < self.sleeps_until.load(Ordering::Acquire)
    }

    /// It ends; the thread has to be woken.
    pub(crate) fn stop(&self) {
        self.over.store(true, Ordering::Release);
    }

    /// Keeps the time until it is over. `sleep` ends after the time, when it is woken, or earlier; a wake that comes before it
    /// is not lost, as a parked thread's is not.
    pub(crate) fn run(&self, now: impl Fn() -> Micros, tick: impl Fn(), sleep: impl Fn(Micros)) {
        while !self.over.load(Ordering::Acquire) {
            let now = now();
            // Said before the due time is read: whoever sets an earlier one after this sees it and wakes us.
            self.say(Micros::MAX);
            let due = self.due.load(Ordering::Acquire);
            let is_due = due <= now;
            let until = if is_due {
                tick();
                now + AGAIN
            } else {
                due.min(now + LONGEST)
            };
            self.say(until);
            // Looked at again: whoever set an earlier one meanwhile may not have known how long we sleep.
            if is_due || self.due.load(Ordering::Acquire) >= until || planted!(DueMissed) {
                sleep((until - now).max(1));
            }
        }
    }

    fn say(&self, until: Micros) {
        if until == Micros::MAX && planted!(DueMissed) {
            return;
        }
        self.sleeps_until.store(until, Ordering::Release);
        self.fence();
    }

    fn fence(&self) {
        if !planted!(NoFence) {
            fence(Ordering::SeqCst);
        }
    }
}
