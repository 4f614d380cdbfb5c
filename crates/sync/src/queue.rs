//! A queue that hands items from one thread to another.

use std::collections::VecDeque;

use crate::{Arc, Condvar, Mutex, lock, wait};

/// The sending end. After it is dropped, the receiver still receives all items sent, and then the end.
#[derive(Debug)]
pub struct QueueSender<T>(Arc<Shared<T>>);

/// The receiving end. When it is dropped, the remaining items are dropped too, and further sends report that.
#[derive(Debug)]
pub struct QueueReceiver<T>(Arc<Shared<T>>);

#[derive(Debug)]
struct Shared<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

#[derive(Debug)]
struct State<T> {
    items: VecDeque<T>,
    /// Nothing more will be sent.
    sender_dropped: bool,
    /// Nothing more will be received.
    receiver_dropped: bool,
}

/// Creates a queue. Its length is bounded by its users: the peer mesh counts the items not received yet, and
/// the engine bounds the number of writes that wait for the journal.
pub fn queue<T>() -> (QueueSender<T>, QueueReceiver<T>) {
    let state = Mutex::new(State { items: VecDeque::new(), sender_dropped: false, receiver_dropped: false });
    let shared = Arc::new(Shared { state, changed: Condvar::new() });
    (QueueSender(shared.clone()), QueueReceiver(shared))
}

impl<T> QueueSender<T> {
    /// Sends an item. Returns whether the receiver still exists.
    pub fn send(&self, item: T) -> bool {
        let mut state = lock(&self.0.state);
        if state.receiver_dropped {
            return false;
        }
        state.items.push_back(item);
        drop(state);
        if !injected!(SendWithoutWake) {
            self.0.changed.notify_one();
        }
        true
    }
}

impl<T> Drop for QueueSender<T> {
    fn drop(&mut self) {
        lock(&self.0.state).sender_dropped = true;
        if !injected!(DropWithoutWake) {
            self.0.changed.notify_one();
        }
    }
}

impl<T> QueueReceiver<T> {
    /// Waits for the next item; `None` once no more will be sent.
    pub fn receive(&self) -> Option<T> {
        self.wait_for_items(|items| items.pop_front())
    }

    /// Waits for at least one item and takes all that are there; `None` once no more will be sent.
    pub fn receive_all(&self) -> Option<VecDeque<T>> {
        self.wait_for_items(|items| Some(std::mem::take(items)))
    }

    fn wait_for_items<R>(&self, take: impl FnOnce(&mut VecDeque<T>) -> Option<R>) -> Option<R> {
        let mut state = lock(&self.0.state);
        loop {
            if !(state.items.is_empty() || state.sender_dropped && injected!(EndBeforeItems)) {
                return take(&mut state.items);
            }
            if state.sender_dropped {
                return None;
            }
            state = wait(&self.0.changed, state);
        }
    }
}

impl<T> Drop for QueueReceiver<T> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.receiver_dropped = true;
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
    fn items_are_received_in_order_and_then_the_end() {
        let (sender, receiver) = queue();
        assert!((0..3).all(|n| sender.send(n)));
        assert_eq!(receiver.receive(), Some(0));
        assert_eq!(receiver.receive_all(), Some(VecDeque::from([1, 2])));
        sender.send(3);
        drop(sender);
        assert_eq!((receiver.receive(), receiver.receive(), receiver.receive_all()), (Some(3), None, None));
    }

    #[test]
    fn sending_reports_that_the_taker_was_dropped() {
        let (sender, receiver) = queue();
        let item = Arc::new(());
        assert!(sender.send(item.clone()));
        drop(receiver);
        assert_eq!(Arc::strong_count(&item), 1, "remaining items are dropped");
        assert!(!sender.send(item));
    }
}
