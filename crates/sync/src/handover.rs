//! Things given by one thread and taken by another.

use std::collections::VecDeque;

use crate::{Arc, Condvar, Mutex, lock, wait};

/// The giving end. Dropped, the taker still gets all that was given, and then the end.
#[derive(Debug)]
pub struct Giver<T>(Arc<Shared<T>>);

/// The taking end. Dropped, what was not taken is dropped with it, and whoever gives is told.
#[derive(Debug)]
pub struct Taker<T>(Arc<Shared<T>>);

#[derive(Debug)]
struct Shared<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

#[derive(Debug)]
struct State<T> {
    given: VecDeque<T>,
    /// Nothing more is given.
    over: bool,
    /// Nothing more is taken.
    gone: bool,
}

/// The two ends. How much may wait between them is its users' business: the peers' mesh counts what was not taken yet, and the
/// journal's engine how many writes wait.
pub fn handover<T>() -> (Giver<T>, Taker<T>) {
    let state = Mutex::new(State { given: VecDeque::new(), over: false, gone: false });
    let shared = Arc::new(Shared { state, changed: Condvar::new() });
    (Giver(shared.clone()), Taker(shared))
}

impl<T> Giver<T> {
    /// Gives a thing; whether there is somebody to take it.
    pub fn give(&self, thing: T) -> bool {
        let mut state = lock(&self.0.state);
        if state.gone {
            return false;
        }
        state.given.push_back(thing);
        drop(state);
        if !planted!(GivenUnsaid) {
            self.0.changed.notify_one();
        }
        true
    }
}

impl<T> Drop for Giver<T> {
    fn drop(&mut self) {
        lock(&self.0.state).over = true;
        if !planted!(EndUnsaid) {
            self.0.changed.notify_one();
        }
    }
}

impl<T> Taker<T> {
    /// The next thing, once there is one; `None` once there never will be.
    pub fn take(&self) -> Option<T> {
        self.when_any(|given| given.pop_front())
    }

    /// All that was given so far, once there is anything; `None` once there never will be.
    pub fn take_all(&self) -> Option<VecDeque<T>> {
        self.when_any(|given| Some(std::mem::take(given)))
    }

    fn when_any<R>(&self, take: impl FnOnce(&mut VecDeque<T>) -> Option<R>) -> Option<R> {
        let mut state = lock(&self.0.state);
        loop {
            if !(state.given.is_empty() || state.over && planted!(EndFirst)) {
                return take(&mut state.given);
            }
            if state.over {
                return None;
            }
            state = wait(&self.0.changed, state);
        }
    }
}

impl<T> Drop for Taker<T> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.gone = true;
        let left = std::mem::take(&mut state.given);
        drop(state);
        // What a thing does when it is dropped is not done under the lock.
        drop(left);
    }
}

#[cfg(all(test, not(loom)))]
mod tests {
    use super::*;

    #[test]
    fn all_that_was_given_is_taken_in_order_and_then_the_end() {
        let (giver, taker) = handover();
        assert!((0..3).all(|n| giver.give(n)));
        assert_eq!(taker.take(), Some(0));
        assert_eq!(taker.take_all(), Some(VecDeque::from([1, 2])));
        giver.give(3);
        drop(giver);
        assert_eq!((taker.take(), taker.take(), taker.take_all()), (Some(3), None, None));
    }

    #[test]
    fn whoever_gives_to_nobody_is_told() {
        let (giver, taker) = handover();
        let thing = Arc::new(());
        assert!(giver.give(thing.clone()));
        drop(taker);
        assert_eq!(Arc::strong_count(&thing), 1, "what was not taken is dropped");
        assert!(!giver.give(thing));
    }
}
