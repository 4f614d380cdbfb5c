//! The buffer of a connection's outgoing data and its writer, independent of the socket and the runtime.

use std::io;
use std::net::Shutdown;

use bytes::Bytes;
use gather::GatherList;
use sync::{Mutex, MutexGuard, injected, lock};

/// The socket as the buffer sees it. No operation blocks.
pub(crate) trait WriteSide {
    /// Writes as much as the socket accepts.
    fn write_now(&self, pending: &mut GatherList) -> io::Result<()>;

    /// Shuts the socket down.
    fn shut_down(&self, how: Shutdown);
}

/// A buffer of outgoing bytes in the order in which they were appended, shared by the appending threads and
/// at most one writer.
///
/// Every accepted byte is written once and in order until the connection is closed; nothing is written after
/// a shutdown.
#[derive(Debug)]
pub(crate) struct SendBuffer<S> {
    socket: S,
    /// Most bytes buffered.
    limit: usize,
    /// The owner flushes again when data has no writer.
    owner_flushes_again: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    pending: GatherList,
    /// Whether a writer is writing the buffered data.
    writing: bool,
    /// Whether a batch was not accepted whole, and a writer waits until the socket accepts more.
    awaiting_room: bool,
    closed: bool,
    /// Whether data was unwritten when the connection closed.
    cut: bool,
    /// What to shut down once everything is written.
    shutdown_when_written: Option<Shutdown>,
}

impl State {
    fn has_room(&self) -> bool {
        !self.writing && !self.awaiting_room && self.pending.is_empty()
    }
}

impl<S: WriteSide> SendBuffer<S> {
    pub(crate) fn new(socket: S, limit: usize) -> Self {
        SendBuffer { socket, limit, owner_flushes_again: false, state: Mutex::new(State::default()) }
    }

    /// Like `new`, for an owner that flushes again when data has no writer.
    pub(crate) fn with_owner_flushes(self) -> Self {
        SendBuffer { owner_flushes_again: true, ..self }
    }

    /// Whether data waits without a writer and has to be flushed again.
    pub(crate) fn is_starved(&self) -> bool {
        let state = self.state();
        !state.closed && !state.writing && !state.pending.is_empty()
    }

    pub(crate) fn socket(&self) -> &S {
        &self.socket
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Whether the connection was closed or broke with data unwritten.
    pub(crate) fn was_cut(&self) -> bool {
        self.state().cut
    }

    /// Whether some appended data may not have been written.
    pub(crate) fn is_pending(&self) -> bool {
        let state = self.state();
        state.writing || !state.pending.is_empty()
    }

    /// Whether a batch may be written now: nothing is still to be written, and no writer waits for room.
    pub(crate) fn has_room(&self) -> bool {
        self.state().has_room()
    }

    /// Whether a writer has to wait until the socket accepts more.
    pub(crate) fn is_awaiting_room(&self) -> bool {
        self.state().awaiting_room
    }

    /// Records that the socket accepts more.
    pub(crate) fn room_found(&self) {
        self.state().awaiting_room = false;
    }

    /// Number of buffered bytes; a chunk that the writer holds counts as `chunk` bytes.
    pub(crate) fn pending_bytes(&self, chunk: usize) -> usize {
        let state = self.state();
        state.pending.len() + if state.writing { chunk } else { 0 }
    }

    /// Buffers bytes and writes them as far as the socket accepts them. Nobody sees them pending without a
    /// writer: one who waits for a writer to end would wait for ever. `start` is used as in `flush`.
    pub(crate) fn push(&self, bytes: GatherList, start: impl FnOnce() -> io::Result<()>) {
        let mut state = self.state();
        self.append_to(&mut state, |pending| pending.append(bytes));
        if injected!(PushInTwoSteps) {
            drop(state);
            state = self.state();
        }
        self.flush_state(&mut state, start);
    }

    /// Buffers bytes until the next flush. Returns whether a flush is needed.
    pub(crate) fn append(&self, write: impl FnOnce(&mut GatherList)) -> bool {
        self.append_to(&mut self.state(), write)
    }

    fn append_to(&self, state: &mut State, write: impl FnOnce(&mut GatherList)) -> bool {
        if (state.closed || state.shutdown_when_written.is_some()) && !injected!(AppendAfterClose) {
            return false;
        }
        let was_empty = state.pending.is_empty();
        write(&mut state.pending);
        if state.pending.len() > self.limit {
            tracing::warn!(limit = self.limit, "a peer does not read its answers; closing its connection");
            self.close_now(state);
        }
        was_empty && !state.writing
    }

    /// Writes a batch of messages as far as the socket accepts them, unless something else is still to be
    /// written. `ends` holds the offset of the end of each message. Returns how many of them have begun: of
    /// these the socket has accepted at least one byte, and the rest of the last one is buffered. Nothing of
    /// the others is or will be written. `start` is used as in `flush`.
    pub(crate) fn write_batch(
        &self,
        mut batch: GatherList,
        ends: &[usize],
        start: impl FnOnce() -> io::Result<()>,
    ) -> usize {
        let mut state = self.state();
        let is_ending = state.closed || state.shutdown_when_written.is_some();
        if is_ending || !state.has_room() {
            return 0;
        }
        let total = batch.len();
        let result = self.socket.write_now(&mut batch);
        let accepted = total - batch.len();
        let begun = begun_messages(ends, accepted);
        let end_of_begun = begun.checked_sub(1).and_then(|last| ends.get(last)).copied().unwrap_or(0);
        if !injected!(UnbegunBuffered) {
            batch.truncate(end_of_begun - accepted);
        }
        state.pending = batch;
        if result.is_err() {
            self.close_now(&mut state);
        } else if begun < ends.len() || !state.pending.is_empty() {
            // Also where nothing is left to write: the writer waits until the socket accepts more. Only one does:
            // each holds a descriptor, and batches may come for as long as the peer does not read.
            state.awaiting_room = !injected!(RoomNotAwaited);
            self.start_writer(&mut state, start);
        }
        begun
    }

    /// Writes the buffered data, as far as the socket accepts it. `start` starts a writer for the remainder,
    /// which calls `next_chunk`; `start` is called under the lock and must not block.
    pub(crate) fn flush(&self, start: impl FnOnce() -> io::Result<()>) {
        self.flush_state(&mut self.state(), start);
    }

    fn flush_state(&self, state: &mut State, start: impl FnOnce() -> io::Result<()>) {
        if state.closed || (state.writing && !injected!(TwoWriters)) {
            return;
        }
        match self.socket.write_now(&mut state.pending) {
            Ok(()) if state.pending.is_empty() => {
                if let Some(how) = state.shutdown_when_written.filter(|_| self.owner_flushes_again) {
                    self.shut_down(state, how);
                }
            }
            Ok(()) => self.start_writer(state, start),
            Err(_) => self.close_now(state),
        }
    }

    /// Starts a writer for the remaining data. A writer needs a descriptor of its own, and answers were cut
    /// off when none was left. If the owner flushes again, data without a writer is kept for its next flush;
    /// the cost is that it is written only as often as the owner flushes.
    fn start_writer(&self, state: &mut State, start: impl FnOnce() -> io::Result<()>) {
        state.writing = true;
        if let Err(error) = start() {
            state.writing = false;
            if self.owner_flushes_again {
                tracing::debug!(%error, "cannot start a writer for a slow connection; flushing again later");
            } else {
                tracing::warn!(%error, "cannot start a writer for a slow connection; closing it");
                self.close_now(state);
            }
        }
    }

    /// Shuts down one side or both, once everything appended so far is written. `start` is used as in
    /// `flush`.
    pub(crate) fn shutdown_when_written(&self, how: Shutdown, start: impl FnOnce() -> io::Result<()>) {
        let mut state = self.state();
        state.shutdown_when_written = Some(how);
        if !state.closed && !state.writing {
            // Data that was appended but not flushed yet, and that the socket does not accept immediately,
            // would be lost with the shutdown; it gets a writer like any remainder.
            match self.socket.write_now(&mut state.pending) {
                Ok(()) if state.pending.is_empty() || injected!(FinishDropsData) => {}
                Ok(()) => self.start_writer(&mut state, start),
                Err(_) => self.close_now(&mut state),
            }
        }
        let is_kept_for_owner = self.owner_flushes_again && !state.pending.is_empty();
        if !state.writing && !is_kept_for_owner {
            self.shut_down(&mut state, how);
        }
    }

    /// Closes immediately.
    pub(crate) fn close(&self) {
        self.close_now(&mut self.state());
    }

    fn close_now(&self, state: &mut State) {
        state.cut |= !state.closed && !state.pending.is_empty();
        state.closed = true;
        state.pending = GatherList::new();
        self.socket.shut_down(Shutdown::Both);
    }

    fn shut_down(&self, state: &mut State, how: Shutdown) {
        if how == Shutdown::Write && !state.closed {
            self.socket.shut_down(how);
        } else {
            self.close_now(state);
        }
    }

    /// The next chunk for the writer, of at most `max` bytes; `None` when its work is done.
    pub(crate) fn next_chunk(&self, max: usize) -> Option<Bytes> {
        let mut state = self.state();
        if !state.closed && !state.pending.is_empty() {
            return Some(state.pending.take(max));
        }
        state.writing = false;
        if let Some(how) = state.shutdown_when_written {
            self.shut_down(&mut state, how);
        }
        None
    }

    /// Records that the writer could not write all of its chunk.
    ///
    /// If nothing was buffered behind that chunk, the connection would otherwise look as if everything had
    /// been written, and an attempt that its node never received completely would count as one that may have
    /// run. This is set only where bytes were certainly not accepted.
    pub(crate) fn writer_failed(&self) {
        let mut state = self.state();
        state.cut |= !injected!(CutNotRecorded);
        self.close_now(&mut state);
    }
}

/// Number of messages of which at least one byte was accepted, if each ends at one of `ends` and this many
/// bytes of all were accepted.
fn begun_messages(ends: &[usize], accepted: usize) -> usize {
    let starts = std::iter::once(0).chain(ends.iter().copied());
    starts.take(ends.len()).filter(|start| *start < accepted).count()
}
