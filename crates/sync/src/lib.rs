//! What threads share: the standard library's primitives, or those of a checker (`loom`) under `--cfg loom`, and two handovers
//! built on them. Code that is to be checked in all interleavings is written on this package and on nothing else that waits.
//!
//! - [`Arc`], [`Mutex`], [`Condvar`], [`atomic`], [`thread`]: as in `std`.
//! - [`Published`]: a snapshot that one thread replaces and others read.
//! - [`handover`]: things given by one thread and taken by another, in order, until either is gone.
//!
//! It is not a scheduler and knows no clock: a time to wait for is a fallback, which the checker leaves out (a wait that only its
//! time would end is a deadlock there). The package `interleavings` compiles this very source on the checker and runs the
//! checks; nothing of the checker is compiled into the product.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Whether a mistake of `checker::Plant` is planted, in code that is checked. In the product it is the word `false`.
#[cfg(loom)]
#[macro_export]
macro_rules! planted {
    ($plant:ident) => {
        $crate::checker::Plant::$plant.is_set()
    };
}

/// Whether a mistake of `checker::Plant` is planted, in code that is checked. In the product it is the word `false`.
#[cfg(not(loom))]
#[macro_export]
macro_rules! planted {
    ($plant:ident) => {
        false
    };
}

#[cfg(loom)]
pub mod checker;
mod handover;
mod published;

pub use handover::{Giver, Taker, handover};
pub use published::{Published, Snapshot};

#[cfg(loom)]
pub use loom::sync::{Arc, Condvar, Mutex, MutexGuard};
#[cfg(not(loom))]
pub use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use std::time::Duration;

/// Atomics and their fence. Two threads that each write one and then read the other's need the fence between: the checker
/// takes sequentially consistent accesses for weaker ones and only believes the fence.
pub mod atomic {
    #[cfg(loom)]
    pub use loom::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering, fence};
    #[cfg(not(loom))]
    pub use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering, fence};
}

/// Threads and their parking.
pub mod thread {
    #[cfg(loom)]
    pub use loom::thread::{JoinHandle, Thread, current, park, spawn, yield_now};
    #[cfg(not(loom))]
    pub use std::thread::{JoinHandle, Thread, current, park, spawn, yield_now};
}

/// Locks. A thread that panicked under the lock has ended its own work only: what is kept under these locks is whole after each
/// statement that changes it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits to be notified; may wake for nothing.
pub fn wait<'a, T>(condvar: &Condvar, guard: MutexGuard<'a, T>) -> MutexGuard<'a, T> {
    condvar.wait(guard).unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits to be notified, or for a time; may wake for nothing. The checker's time never passes.
pub fn wait_for<'a, T>(condvar: &Condvar, guard: MutexGuard<'a, T>, time: Duration) -> MutexGuard<'a, T> {
    condvar.wait_timeout(guard, time).unwrap_or_else(|poisoned| poisoned.into_inner()).0
}
