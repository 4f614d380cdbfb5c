//! Synchronization primitives: those of the standard library, or those of a model checker (`loom`) under
//! `--cfg loom`, and two data structures built on them. Code that is to be checked in all interleavings uses
//! only this crate to wait.
//!
//! - [`Arc`], [`Mutex`], [`Condvar`], [`atomic`], [`thread`]: as in `std`.
//! - [`Published`]: a snapshot that one thread replaces and others read.
//! - [`queue`]: a queue that hands items from one thread to another, in order, until either end is gone.
//!
//! This crate contains no scheduler and no clock: timeouts are only a fallback, which the checker ignores (a
//! wait that only its timeout would end is a deadlock there). The crate `interleavings` compiles this same
//! source for the checker and runs the checks; nothing of the checker is compiled into the product.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Whether a fault of `checker::Fault` is injected, in code that is checked. In the product it expands to
/// `false`.
#[cfg(loom)]
#[macro_export]
macro_rules! injected {
    ($fault:ident) => {
        $crate::checker::Fault::$fault.is_injected()
    };
}

/// Whether a fault of `checker::Fault` is injected, in code that is checked. In the product it expands to
/// `false`.
#[cfg(not(loom))]
#[macro_export]
macro_rules! injected {
    ($fault:ident) => {
        false
    };
}

#[cfg(loom)]
pub mod checker;
mod published;
mod queue;

pub use published::{Published, Snapshot};
pub use queue::{QueueReceiver, QueueSender, queue};

#[cfg(loom)]
pub use loom::sync::{Arc, Condvar, Mutex, MutexGuard};
#[cfg(not(loom))]
pub use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use std::time::Duration;

/// Atomics and their fence. Two threads that each write one variable and then read the other's need a fence
/// in between: the checker treats sequentially consistent accesses as weaker ones and honours only the fence.
pub mod atomic {
    #[cfg(loom)]
    pub use loom::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering, fence};
    #[cfg(not(loom))]
    pub use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering, fence};
}

/// Threads and parking.
pub mod thread {
    #[cfg(loom)]
    pub use loom::thread::{JoinHandle, Thread, current, park, spawn, yield_now};
    #[cfg(not(loom))]
    pub use std::thread::{JoinHandle, Thread, current, park, spawn, yield_now};
}

/// Locks a mutex, ignoring poisoning. A thread that panicked under the lock has ended only its own work: data
/// under these locks is consistent after every statement that changes it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits for a notification; may wake spuriously.
pub fn wait<'a, T>(condvar: &Condvar, guard: MutexGuard<'a, T>) -> MutexGuard<'a, T> {
    condvar.wait(guard).unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Waits for a notification or until the timeout; may wake spuriously. Under the checker the timeout never
/// expires.
pub fn wait_timeout<'a, T>(condvar: &Condvar, guard: MutexGuard<'a, T>, time: Duration) -> MutexGuard<'a, T> {
    condvar.wait_timeout(guard, time).unwrap_or_else(|poisoned| poisoned.into_inner()).0
}
