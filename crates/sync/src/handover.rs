//! A queue that hands items from one thread to another.

use std::collections::VecDeque;

use crate::{Arc, Condvar, Mutex, lock, wait};

/// The giving end. After it is dropped, the taker still receives all items given, and then the end.
#[derive(Debug)]
pub struct Giver<T>(Arc<Shared<T>>);

/// The taking end. When it is dropped, the remaining items are dropped too, and further gives report that.
#[derive(Debug)]
pub struct Taker<T>(Arc<Shared<T>>);

#[derive(Debug)]
struct Shared<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

#[derive(Debug)]
struct State<T> {
    items: VecDeque<T>,
    /// Nothing more will be given.
    giver_dropped: bool,
    /// Nothing more will be taken.
    taker_dropped: bool,
}

/// Creates a queue. Its length is bounded by its users: the peer mesh counts the items not taken yet, and the
/// engine bounds the number of writes that wait for the journal.
pub fn handover<T>() -> (Giver<T>, Taker<T>) {
    let state = Mutex::new(State { items: VecDeque::new(), giver_dropped: false, taker_dropped: false });
    let shared = Arc::new(Shared { state, changed: Condvar::new() });
    (Giver(shared.clone()), Taker(shared))
}

impl<T> Giver<T> {
    /// Gives an item. Returns whether the taker still exists.
    pub fn give(&self, item: T) -> bool {
        let mut state = lock(&self.0.state);
        if state.taker_dropped {
            return false;
        }
        state.items.push_back(item);
        drop(state);
        if !planted!(GivenUnsaid) {
            self.0.changed.notify_one();
        }
        true
    }
}

impl<T> Drop for Giver<T> {
    fn drop(&mut self) {
        lock(&self.0.state).giver_dropped = true;
        if !planted!(EndUnsaid) {
            self.0.changed.notify_one();
        }
    }
}

impl<T> Taker<T> {
    /// Waits for the next item; `None` once no more will be given.
    pub fn take(&self) -> Option<T> {
        self.wait_for_items(|items| items.pop_front())
    }

    /// Waits for at least one item and takes all that are there; `None` once no more will be given.
    pub fn take_all(&self) -> Option<VecDeque<T>> {
        self.wait_for_items(|items| Some(std::mem::take(items)))
    }

    fn wait_for_items<R>(&self, take: impl FnOnce(&mut VecDeque<T>) -> Option<R>) -> Option<R> {
        let mut state = lock(&self.0.state);
        loop {
            if !(state.items.is_empty() || state.giver_dropped && planted!(EndFirst)) {
                return take(&mut state.items);
            }
            if state.giver_dropped {
                return None;
            }
            state = wait(&self.0.changed, state);
        }
    }
}

impl<T> Drop for Taker<T> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.taker_dropped = true;
        let remaining = std::mem::take(&mut state.items);
        drop(state);
        // The items' destructors must not run under the lock.
        drop(remaining);
    }
}

#[cfg(all(test, not(loom)))]
mod tests {
    use super::*;

    #[test]
    fn items_are_taken_in_order_and_then_the_end() {
        let (giver, taker) = handover();
        assert!((0..3).all(|n| giver.give(n)));
        assert_eq!(taker.take(), Some(0));
        assert_eq!(taker.take_all(), Some(VecDeque::from([1, 2])));
        giver.give(3);
        drop(giver);
        assert_eq!((taker.take(), taker.take(), taker.take_all()), (Some(3), None, None));
    }

    #[test]
    fn giving_reports_that_the_taker_was_dropped() {
        let (giver, taker) = handover();
        let item = Arc::new(());
        assert!(giver.give(item.clone()));
        drop(taker);
        assert_eq!(Arc::strong_count(&item), 1, "remaining items are dropped");
        assert!(!giver.give(item));
    }
}
