//! A snapshot that can be replaced while it is read.

use std::ops::Deref;

use crate::atomic::{AtomicU64, Ordering};
use crate::{Arc, Mutex, lock};

/// The latest snapshot of a value. One thread publishes and others read; no reader sees a partial value, and
/// no reader ever receives an older snapshot than it had.
///
/// Number and value are stored together under a lock that is held only to copy two words, never while a value
/// is created or dropped. The number is also stored outside the lock, so that a reader that keeps its
/// snapshot checks for a newer one with a single load ([`Published::refresh`]).
#[derive(Debug)]
pub struct Published<T> {
    /// The number of the snapshot under the lock; for a thread without the lock it may be outdated.
    number: AtomicU64,
    current: Mutex<Snapshot<T>>,
}

/// A published value with its number. It never changes.
#[derive(Debug)]
pub struct Snapshot<T> {
    number: u64,
    value: Arc<T>,
}

impl<T> Snapshot<T> {
    /// The snapshot's number: 0 for the publisher's first value, one more for each later one.
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl<T> Clone for Snapshot<T> {
    fn clone(&self) -> Self {
        Snapshot { number: self.number, value: self.value.clone() }
    }
}

impl<T> Deref for Snapshot<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Published<T> {
    /// Creates a publisher whose first value has number 0.
    pub fn new(value: T) -> Self {
        let initial = Snapshot { number: 0, value: Arc::new(value) };
        Published { number: AtomicU64::new(0), current: Mutex::new(initial) }
    }

    /// Replaces the value and returns the number of the new one.
    pub fn publish(&self, value: T) -> u64 {
        let value = Arc::new(value);
        if injected!(NumberFirst) {
            let number = self.number() + 1;
            lock(&self.current).number = number;
            self.number.store(number, Ordering::Release);
            lock(&self.current).value = value;
            return number;
        }
        let mut current = lock(&self.current);
        let number = current.number + 1;
        let previous = std::mem::replace(&mut *current, Snapshot { number, value });
        // Stored under the lock, so that a thread that sees the number and then locks finds this snapshot or
        // a later one.
        self.number.store(number, Ordering::Release);
        drop(current);
        // Dropping the last reference to a large value takes long, and readers would wait for it under the
        // lock.
        drop(previous);
        number
    }

    /// The latest snapshot.
    pub fn latest(&self) -> Snapshot<T> {
        lock(&self.current).clone()
    }

    /// The number of the latest snapshot.
    pub fn number(&self) -> u64 {
        self.number.load(Ordering::Acquire)
    }

    /// Replaces a reader's snapshot by the latest one, if that is newer. Returns whether it was.
    pub fn refresh(&self, held: &mut Snapshot<T>) -> bool {
        if self.number() == held.number {
            return false;
        }
        let latest = self.latest();
        let is_newer = latest.number > held.number;
        if is_newer {
            *held = latest;
        }
        is_newer
    }
}

#[cfg(all(test, not(loom)))]
mod tests {
    use super::*;

    #[test]
    fn a_reader_receives_each_newer_snapshot_once_and_keeps_those_it_holds() {
        let published = Published::new("a");
        let mut held = published.latest();
        assert_eq!((held.number(), *held), (0, "a"));
        assert!(!published.refresh(&mut held));
        let older = held.clone();
        assert_eq!((published.publish("b"), published.publish("c")), (1, 2));
        assert!(published.refresh(&mut held));
        assert_eq!((held.number(), *held), (2, "c"));
        assert!(!published.refresh(&mut held));
        assert_eq!((older.number(), *older), (0, "a"));
        assert_eq!(published.number(), 2);
    }
}
