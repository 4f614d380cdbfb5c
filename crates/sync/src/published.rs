//! A snapshot that is replaced while it is read.

use std::ops::Deref;

use crate::atomic::{AtomicU64, Ordering};
use crate::{Arc, Mutex, lock};

/// The latest snapshot of something. One thread publishes, others read; nobody sees half of one, and no reader is ever given
/// an earlier one than it had.
///
/// The pair of number and value stands under a lock that is held for two words' time, never while a value is made or dropped.
/// The number stands beside it once more, so that a reader who keeps its snapshot asks for a newer one with a single load
/// ([`Published::refresh`]).
#[derive(Debug)]
pub struct Published<T> {
    /// The number of what is under the lock, or, for whoever holds no lock, one from before.
    number: AtomicU64,
    current: Mutex<Snapshot<T>>,
}

/// What was published, with its number. It doesn't change.
#[derive(Debug)]
pub struct Snapshot<T> {
    number: u64,
    value: Arc<T>,
}

impl<T> Snapshot<T> {
    /// Its number: 0 is what the publisher began with, each next is one more.
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
    /// Begins with a value, number 0.
    pub fn new(value: T) -> Self {
        let first = Snapshot { number: 0, value: Arc::new(value) };
        Published { number: AtomicU64::new(0), current: Mutex::new(first) }
    }

    /// Puts a value in place of the one before; its number.
    pub fn publish(&self, value: T) -> u64 {
        let value = Arc::new(value);
        if planted!(NumberFirst) {
            let number = self.number() + 1;
            lock(&self.current).number = number;
            self.number.store(number, Ordering::Release);
            lock(&self.current).value = value;
            return number;
        }
        let mut current = lock(&self.current);
        let number = current.number + 1;
        let before = std::mem::replace(&mut *current, Snapshot { number, value });
        // Under the lock: whoever sees the number and then locks finds it there, or a later one.
        self.number.store(number, Ordering::Release);
        drop(current);
        // Danger: to drop the last hold on a large value takes long, and readers would wait for it.
        drop(before);
        number
    }

    /// The latest.
    pub fn latest(&self) -> Snapshot<T> {
        lock(&self.current).clone()
    }

    /// The number of the latest.
    pub fn number(&self) -> u64 {
        self.number.load(Ordering::Acquire)
    }

    /// Puts the latest in place of what a reader holds, if there is a later one; whether there was.
    pub fn refresh(&self, held: &mut Snapshot<T>) -> bool {
        if self.number() == held.number {
            return false;
        }
        let latest = self.latest();
        let is_later = latest.number > held.number;
        if is_later {
            *held = latest;
        }
        is_later
    }
}

#[cfg(all(test, not(loom)))]
mod tests {
    use super::*;

    #[test]
    fn a_reader_gets_each_later_one_once_and_keeps_what_it_holds() {
        let published = Published::new("a");
        let mut held = published.latest();
        assert_eq!((held.number(), *held), (0, "a"));
        assert!(!published.refresh(&mut held));
        let early = held.clone();
        assert_eq!((published.publish("b"), published.publish("c")), (1, 2));
        assert!(published.refresh(&mut held));
        assert_eq!((held.number(), *held), (2, "c"));
        assert!(!published.refresh(&mut held));
        assert_eq!((early.number(), *early), (0, "a"));
        assert_eq!(published.number(), 2);
    }
}
