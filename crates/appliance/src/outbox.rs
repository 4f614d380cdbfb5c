//! What waits to be written to one console; without its socket and without the threads.

use std::collections::VecDeque;
use std::time::Instant;

use sync::{Condvar, Mutex, MutexGuard, Published, Snapshot, injected, lock, wait, wait_timeout};

/// Updates that wait for a console; one more, and it gets a fresh snapshot in place of them all.
const BACKLOG: usize = 64;
/// Questions of one console that are open at a time; its next is read when one is answered.
const OPEN: usize = 16;

/// Between the site, which answers and publishes and never waits, and the console's two threads.
#[derive(Default)]
pub(crate) struct Outbox {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    answers: VecDeque<Vec<u8>>,
    /// Each with the number of the first view that it is in.
    updates: VecDeque<(u64, Vec<u8>)>,
    subscribed: bool,
    /// It missed updates, all of which are in the view of this number and in later ones.
    behind: Option<u64>,
    open: usize,
    closed: bool,
    /// An answer is being written.
    writing: bool,
}

/// What is written next.
#[derive(Debug)]
pub(crate) enum Piece<V> {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The whole view.
    Whole(Snapshot<V>),
}

impl Outbox {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// A question was read; waits until fewer are open than may be.
    pub(crate) fn admit(&self) {
        let mut state = self.state();
        while state.open >= OPEN && !state.closed {
            state = wait(&self.changed, state);
        }
        state.open += 1;
    }

    /// Answers a question; without bytes it only counts as answered.
    pub(crate) fn answer(&self, bytes: Option<Vec<u8>>) {
        let mut state = self.state();
        state.open = state.open.saturating_sub(1);
        state.answers.extend(bytes);
        self.changed.notify_all();
    }

    /// From now on it gets updates, and first the view.
    pub(crate) fn subscribe<V>(&self, view: &Published<V>) {
        let mut state = self.state();
        (state.subscribed, state.behind) = (true, Some(view.number()));
        self.changed.notify_all();
    }

    /// Hands on an update. The next view that is published has it in; then this is woken ([`Outbox::wake`]).
    ///
    /// Danger: an update that is dropped because a snapshot is due anyway, and that is not in that snapshot, is lost to the
    /// console; one that is in the snapshot and follows it is shown twice. So each knows the view that it is in. Harm: a
    /// console that fell behind waits for the next view.
    pub(crate) fn publish<V>(&self, bytes: &[u8], view: &Published<V>) {
        let mut state = self.state();
        if !state.subscribed {
            return;
        }
        let is_in = view.number() + 1;
        if injected!(UpdateDroppedForSnapshot) && state.behind.is_some() {
            return;
        }
        if state.updates.len() >= BACKLOG {
            state.updates.clear();
            state.behind = Some(is_in);
        } else {
            state.updates.push_back((is_in, bytes.to_vec()));
        }
        self.changed.notify_all();
    }

    /// There is another view.
    pub(crate) fn wake(&self) {
        // Under the lock: whoever found the view too old waits already.
        let _state = self.state();
        self.changed.notify_all();
    }

    /// The console is gone.
    pub(crate) fn close(&self) {
        self.state().closed = true;
        self.changed.notify_all();
    }

    /// Waits until the answers given so far are written, the console is gone, or the time is up.
    pub(crate) fn settle(&self, end: Instant) {
        let mut state = self.state();
        while (state.writing || !state.answers.is_empty()) && !state.closed {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = wait_timeout(&self.changed, state, left);
        }
    }

    /// What is to be written next: answers first, then a snapshot if one is due, then updates; `None` once it is closed.
    pub(crate) fn next<V>(&self, view: &Published<V>) -> Option<Piece<V>> {
        let mut state = self.state();
        loop {
            state.writing = false;
            self.changed.notify_all();
            if let Some(answer) = state.answers.pop_front() {
                state.writing = true;
                return Some(Piece::Bytes(answer));
            }
            if state.closed {
                return None;
            }
            match state.behind {
                Some(least) if least <= view.number() => {
                    state.behind = None;
                    let whole = view.latest();
                    if !injected!(UpdateAfterSnapshot) {
                        state.updates.retain(|(is_in, _)| *is_in > whole.number());
                    }
                    return Some(Piece::Whole(whole));
                }
                Some(_) => {}
                None => {
                    if let Some((_, update)) = state.updates.pop_front() {
                        return Some(Piece::Bytes(update));
                    }
                }
            }
            state = wait(&self.changed, state);
        }
    }
}
