//! What waits on a connection's way out, and who writes it; without the socket and without the runtime.

use std::io;
use std::net::Shutdown;

use bytes::Bytes;
use gather::GatherList;
use sync::{Mutex, MutexGuard, lock, planted};

/// The socket as the spill sees it. Neither waits.
pub(crate) trait Way {
    /// Writes as far as the socket takes it.
    fn write_now(&self, rest: &mut GatherList) -> io::Result<()>;

    /// Shuts it down.
    fn shut(&self, how: Shutdown);
}

/// Bytes on their way out, in the order in which they were appended, between whoever appends and at most one writer.
///
/// Whatever was accepted is written once, in order, until the connection is closed; after a shutdown nothing is written.
#[derive(Debug)]
pub(crate) struct Spill<W> {
    way: W,
    /// Most bytes kept.
    limit: usize,
    /// Its owner flushes again what has no writer.
    is_retried: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rest: GatherList,
    /// A writer is writing the rest.
    writing: bool,
    closed: bool,
    /// Something was not written when it closed.
    cut: bool,
    /// What to close once the rest is written.
    last: Option<Shutdown>,
}

impl<W: Way> Spill<W> {
    pub(crate) fn new(way: W, limit: usize) -> Self {
        Spill { way, limit, is_retried: false, state: Mutex::new(State::default()) }
    }

    /// The same, whose owner flushes again what has no writer.
    pub(crate) fn retried(self) -> Self {
        Spill { is_retried: true, ..self }
    }

    /// Whether something waits that nobody writes: it is to be flushed again.
    pub(crate) fn is_starved(&self) -> bool {
        let state = self.state();
        !state.closed && !state.writing && !state.rest.is_empty()
    }

    pub(crate) fn way(&self) -> &W {
        &self.way
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Whether the connection was closed, or broke, with something unwritten.
    pub(crate) fn was_cut(&self) -> bool {
        self.state().cut
    }

    /// Whether something that was appended may not have gone out.
    pub(crate) fn is_pending(&self) -> bool {
        let state = self.state();
        state.writing || !state.rest.is_empty()
    }

    /// Appends bytes that go out with the next [`Spill::flush`]. Whether one is due.
    pub(crate) fn append(&self, write: impl FnOnce(&mut GatherList)) -> bool {
        let mut state = self.state();
        if (state.closed || state.last.is_some()) && !planted!(SpillAfterClose) {
            return false;
        }
        let first = state.rest.is_empty();
        write(&mut state.rest);
        if state.rest.len() > self.limit {
            tracing::warn!(limit = self.limit, "a peer does not read its answers; its connection is closed");
            self.shut(&mut state);
        }
        first && !state.writing
    }

    /// Writes what was appended, as far as the socket takes it. `start` starts a writer for the rest ([`Spill::next`]); it is
    /// called under the lock and must not wait.
    pub(crate) fn flush(&self, start: impl FnOnce() -> io::Result<()>) {
        let mut state = self.state();
        if state.closed || (state.writing && !planted!(TwoWriters)) {
            return;
        }
        match self.way.write_now(&mut state.rest) {
            Ok(()) if state.rest.is_empty() => {
                if let Some(how) = state.last.filter(|_| self.is_retried) {
                    self.end(&mut state, how);
                }
            }
            Ok(()) => self.begin(&mut state, start),
            Err(_) => self.shut(&mut state),
        }
    }

    /// Danger: a writer takes a descriptor of its own, and answers were cut off where none was left. What has no writer is kept for the
    /// next flush where the owner sees to that. Harm: it goes out as often as the owner looks.
    fn begin(&self, state: &mut State, start: impl FnOnce() -> io::Result<()>) {
        state.writing = true;
        if let Err(error) = start() {
            state.writing = false;
            if self.is_retried {
                tracing::debug!(%error, "no writer for a slow connection; what waits is flushed again");
            } else {
                tracing::warn!(%error, "no writer for a slow connection; it is closed");
                self.shut(state);
            }
        }
    }

    /// Closes one way or both, once everything appended so far is written. `start` as in [`Spill::flush`].
    pub(crate) fn last(&self, how: Shutdown, start: impl FnOnce() -> io::Result<()>) {
        let mut state = self.state();
        state.last = Some(how);
        if !state.closed && !state.writing {
            // Danger: what was appended and not flushed yet, and which the socket does not take at once, would be lost with
            // the shutdown. Harm: a writer for it, as for any rest.
            match self.way.write_now(&mut state.rest) {
                Ok(()) if state.rest.is_empty() || planted!(FinishDrops) => {}
                Ok(()) => self.begin(&mut state, start),
                Err(_) => self.shut(&mut state),
            }
        }
        let is_kept = self.is_retried && !state.rest.is_empty();
        if !state.writing && !is_kept {
            self.end(&mut state, how);
        }
    }

    /// Closes now.
    pub(crate) fn close(&self) {
        self.shut(&mut self.state());
    }

    fn shut(&self, state: &mut State) {
        state.cut |= !state.closed && !state.rest.is_empty();
        state.closed = true;
        state.rest = GatherList::new();
        self.way.shut(Shutdown::Both);
    }

    fn end(&self, state: &mut State, how: Shutdown) {
        if how == Shutdown::Write && !state.closed {
            self.way.shut(how);
        } else {
            self.shut(state);
        }
    }

    /// What the writer is to write next, at most so many bytes; `None` when its work is over.
    pub(crate) fn next(&self, most: usize) -> Option<Bytes> {
        let mut state = self.state();
        if !state.closed && !state.rest.is_empty() {
            return Some(state.rest.take(most));
        }
        state.writing = false;
        if let Some(how) = state.last {
            self.end(&mut state, how);
        }
        None
    }

    /// The writer could not write all that it was given.
    ///
    /// Danger: with nothing behind what the writer held, the connection looked as if all had gone out, and an attempt that its
    /// node never got whole counted as one that may have run. Harm: none; it says so only where bytes were surely not taken.
    pub(crate) fn failed(&self) {
        let mut state = self.state();
        state.cut |= !planted!(CutForgotten);
        self.shut(&mut state);
    }
}
