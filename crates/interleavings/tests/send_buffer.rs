//! The outgoing side of a connection: answers are appended and flushed, a writer writes the remainder, and the
//! connection is finished or closed.

extern crate interleavings as sync;

#[path = "../../transport/src/send_buffer.rs"]
mod send_buffer;

use std::io;
use std::net::Shutdown;

use gather::{GatherList, PduSink};
use send_buffer::{SendBuffer, WriteSide};
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Mutex, MutexGuard, lock, thread};

/// What the peer sees of the socket.
#[derive(Debug, Default)]
struct Wire {
    bytes: Vec<u8>,
    /// It takes so many at once, and any number from a writer that waits.
    room: usize,
    shut: Option<Shutdown>,
    /// It breaks once it has taken so many.
    breaks_at: Option<usize>,
}

impl Wire {
    /// Whether it breaks, or is shut, before it has taken so many more bytes.
    fn check(&self, count: usize) -> io::Result<()> {
        let room = self.breaks_at.map_or(usize::MAX, |at| at.saturating_sub(self.bytes.len()));
        if self.shut.is_some() || room < count {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check(bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Socket(Mutex<Wire>);

impl Socket {
    fn wire(&self) -> MutexGuard<'_, Wire> {
        lock(&self.0)
    }
}

impl WriteSide for Socket {
    fn write_now(&self, pending: &mut GatherList) -> io::Result<()> {
        let mut wire = self.wire();
        // As with a system's socket, a write that fails takes nothing.
        let count = pending.len().min(wire.room);
        if count > 0 {
            wire.check(count)?;
        }
        let taken = pending.take(wire.room);
        wire.room -= taken.len();
        if taken.is_empty() { Ok(()) } else { wire.write(&taken) }
    }

    fn shut_down(&self, how: Shutdown) {
        let mut wire = self.wire();
        wire.shut = Some(if wire.shut == Some(Shutdown::Both) { Shutdown::Both } else { how });
    }
}

/// A send buffer with its writers, as `Outlet` has them.
struct Outlet {
    send_buffer: SendBuffer<Socket>,
    writers: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Outlet {
    fn new(room: usize, breaks_at: Option<usize>) -> Arc<Outlet> {
        let wire = Wire { room, breaks_at, ..Wire::default() };
        let send_buffer = SendBuffer::new(Socket(Mutex::new(wire)), 100);
        Arc::new(Outlet { send_buffer, writers: Mutex::new(Vec::new()) })
    }

    /// One whose owner flushes again what has no writer.
    fn with_owner_flushes(room: usize) -> Arc<Outlet> {
        let wire = Wire { room, ..Wire::default() };
        let send_buffer = SendBuffer::new(Socket(Mutex::new(wire)), 100).with_owner_flushes();
        Arc::new(Outlet { send_buffer, writers: Mutex::new(Vec::new()) })
    }
}

/// There is no descriptor for a writer.
fn refuse() -> io::Result<()> {
    Err(io::ErrorKind::OutOfMemory.into())
}

fn append(outlet: &Outlet, bytes: &[u8]) {
    outlet.send_buffer.append(|pending| pending.append_copy(bytes));
}

fn start(outlet: &Arc<Outlet>) -> io::Result<()> {
    let own = outlet.clone();
    let writes = thread::spawn(move || write_pending(&own));
    lock(&outlet.writers).push(writes);
    Ok(())
}

fn write_pending(outlet: &Outlet) {
    while let Some(chunk) = outlet.send_buffer.next_chunk(2) {
        let written = outlet.send_buffer.socket().wire().write(&chunk);
        if written.is_err() {
            outlet.send_buffer.writer_failed();
        }
    }
}

fn flush(outlet: &Arc<Outlet>) {
    outlet.send_buffer.flush(|| start(outlet));
}

fn finish(outlet: &Arc<Outlet>, how: Shutdown) {
    outlet.send_buffer.shutdown_when_written(how, || start(outlet));
}

/// Waits until all writers have ended; what the peer has.
fn settle(outlet: &Outlet) -> Vec<u8> {
    loop {
        let writer = lock(&outlet.writers).pop();
        match writer {
            Some(writer) => writer.join().expect("it wrote"),
            None => {
                assert!(!outlet.send_buffer.is_pending(), "it says that something is under way for ever");
                assert_eq!(outlet.send_buffer.pending_bytes(1), 0, "it counts what is written");
                return outlet.send_buffer.socket().wire().bytes.clone();
            }
        }
    }
}

fn is_shut(outlet: &Outlet) -> Option<Shutdown> {
    outlet.send_buffer.socket().wire().shut
}

/// Two answers, of which the socket takes a part at once; then it is finished by the thread that appended.
fn pushed_and_finished(how: Shutdown) {
    let outlet = Outlet::new(1, None);
    for answer in [b"abc", b"def"] {
        append(&outlet, answer);
        flush(&outlet);
    }
    // Who closes when nothing is said to be under way must not cut anything off.
    if !outlet.send_buffer.is_pending() {
        assert_eq!(outlet.send_buffer.socket().wire().bytes, b"abcdef");
    }
    finish(&outlet, how);
    assert!(!outlet.send_buffer.append(|pending| pending.append_copy(b"late")));
    assert_eq!(settle(&outlet), b"abcdef", "what was accepted was not written once and in order");
    assert_eq!(is_shut(&outlet), Some(how));
    assert!(!outlet.send_buffer.was_cut() || how == Shutdown::Both, "nothing was cut");
}

/// The engine appends and flushes in two steps, while the reader finishes.
fn finished_between(how: Shutdown) {
    let outlet = Outlet::new(1, None);
    append(&outlet, b"abc");
    let own = outlet.clone();
    let reader = thread::spawn(move || finish(&own, how));
    flush(&outlet);
    reader.join().expect("it finished");
    assert_eq!(settle(&outlet), b"abc", "what was accepted was not written once and in order");
    assert_eq!(is_shut(&outlet), Some(how));
    assert!(!outlet.send_buffer.was_cut(), "nothing was cut");
}

/// Two threads answer; a third closes.
fn closed_between() {
    let outlet = Outlet::new(1, None);
    let own = outlet.clone();
    let closer = thread::spawn(move || own.send_buffer.close());
    append(&outlet, b"abc");
    flush(&outlet);
    append(&outlet, b"def");
    flush(&outlet);
    closer.join().expect("it closed");
    let seen = settle(&outlet);
    assert!(b"abcdef".starts_with(&seen), "the peer got {seen:?}, which is no beginning of what was sent");
    assert_eq!(is_shut(&outlet), Some(Shutdown::Both));
    assert!(
        !outlet.send_buffer.append(|pending| pending.append_copy(b"late")),
        "something is kept after the close"
    );
    assert!(!outlet.send_buffer.was_cut() || seen != b"abcdef", "all was written, and yet it was cut");
    outlet.send_buffer.flush(|| panic!("a writer after the close"));
    assert_eq!(settle(&outlet), seen, "something is written after the close");
}

/// What is appended once it is closed is neither kept nor written.
fn appended_after() {
    let outlet = Outlet::new(100, None);
    let own = outlet.clone();
    let closer = thread::spawn(move || own.send_buffer.close());
    append(&outlet, b"abc");
    closer.join().expect("it closed");
    assert!(
        !outlet.send_buffer.append(|pending| pending.append_copy(b"late")),
        "something is kept after the close"
    );
}

/// Three messages in one batch, of which the socket takes one and a part of the second, or none, while another
/// thread pushes an answer of its own.
fn batch_beside_an_answer() {
    let outlet = Outlet::new(4, None);
    let own = outlet.clone();
    let answers = thread::spawn(move || {
        append(&own, b"xy");
        flush(&own);
    });
    let mut batch = GatherList::new();
    batch.append_copy(b"abcdefghi");
    let begun = outlet.send_buffer.write_batch(batch, &[3, 6, 9], || start(&outlet));
    answers.join().expect("it answered");
    let seen = settle(&outlet);
    let begun_bytes = &b"abcdefghi"[..3 * begun];
    let expected = [[b"xy", begun_bytes].concat(), [begun_bytes, b"xy"].concat()];
    assert!(expected.contains(&seen), "{begun} of the batch have begun, and the peer got {seen:?}");
}

/// Batches come while the socket takes nothing; then it has room.
fn batches_without_room() {
    let outlet = Outlet::new(3, None);
    let batch = |bytes: &[u8]| {
        let mut batch = GatherList::new();
        batch.append_copy(bytes);
        outlet.send_buffer.write_batch(batch, &[3, 6], || start(&outlet))
    };
    assert_eq!(batch(b"abcdef"), 1, "the socket takes one message and no more");
    while outlet.send_buffer.is_pending() {
        thread::yield_now();
    }
    assert_eq!((batch(b"defghi"), batch(b"defghi")), (0, 0));
    assert_eq!(lock(&outlet.writers).len(), 1, "each batch without room has started a writer");
    assert!(outlet.send_buffer.is_awaiting_room() && !outlet.send_buffer.has_room());
    outlet.send_buffer.socket().wire().room = 6;
    outlet.send_buffer.room_found();
    assert_eq!(batch(b"defghi"), 2);
    assert_eq!(settle(&outlet), b"abcdefghi");
}

/// An answer that the socket takes at once, while another thread asks whether it has to wait for a writer.
fn pushed_beside_a_question() {
    let outlet = Outlet::new(100, None);
    let own = outlet.clone();
    let answers = thread::spawn(move || {
        let mut answer = GatherList::new();
        answer.append_copy(b"xy");
        own.send_buffer.push(answer, || start(&own));
    });
    assert!(outlet.send_buffer.has_room(), "it waits for a writer that there is not");
    answers.join().expect("it answered");
    assert_eq!(settle(&outlet), b"xy");
}

/// The socket breaks within a batch.
fn batch_on_a_broken_socket() {
    let outlet = Outlet::new(100, Some(0));
    let mut batch = GatherList::new();
    batch.append_copy(b"abcdef");
    assert_eq!(outlet.send_buffer.write_batch(batch, &[3, 6], || start(&outlet)), 0, "nothing was accepted");
    assert_eq!(settle(&outlet), b"");
    assert_eq!(is_shut(&outlet), Some(Shutdown::Both));
}

/// The connection breaks under the writer while more is appended.
fn broken() {
    let outlet = Outlet::new(1, Some(2));
    append(&outlet, b"abc");
    flush(&outlet);
    append(&outlet, b"d");
    flush(&outlet);
    let seen = settle(&outlet);
    assert!(b"abcd".starts_with(&seen) && seen.len() < 3);
    assert!(outlet.send_buffer.was_cut(), "bytes were lost and it was not cut");
    assert_eq!(is_shut(&outlet), Some(Shutdown::Both));
}

/// No writer can be started at first; the owner flushes again until one can be, while another thread looks whether it is starved.
fn starved_at_first(how: Shutdown) {
    let outlet = Outlet::with_owner_flushes(1);
    append(&outlet, b"abc");
    outlet.send_buffer.flush(refuse);
    assert!(outlet.send_buffer.is_starved(), "what has no writer is not told");
    append(&outlet, b"def");
    outlet.send_buffer.shutdown_when_written(how, refuse);
    assert_eq!(is_shut(&outlet), None, "it was closed over what waits");
    let own = outlet.clone();
    let looks = thread::spawn(move || own.send_buffer.is_starved());
    flush(&outlet);
    assert!(!outlet.send_buffer.is_starved(), "it has a writer");
    looks.join().expect("it looked");
    assert_eq!(settle(&outlet), b"abcdef", "what was accepted was not written once and in order");
    assert_eq!(is_shut(&outlet), Some(how));
}

/// The socket takes the rest by and by, without any writer.
fn starved_to_its_end(how: Shutdown) {
    let outlet = Outlet::with_owner_flushes(1);
    append(&outlet, b"abc");
    outlet.send_buffer.shutdown_when_written(how, refuse);
    while outlet.send_buffer.is_starved() {
        outlet.send_buffer.socket().wire().room = 1;
        outlet.send_buffer.flush(refuse);
    }
    assert_eq!(settle(&outlet), b"abc");
    assert_eq!(is_shut(&outlet), Some(how), "it was not closed behind the last byte");
}

#[test]
fn what_has_no_writer_is_written_once_and_in_order_when_it_is_flushed_again() {
    for how in [Shutdown::Both, Shutdown::Write] {
        println!("starved at first, {how:?}: {}", check(None, move || starved_at_first(how)));
        println!("starved to its end, {how:?}: {}", check(None, move || starved_to_its_end(how)));
    }
}

#[test]
fn what_is_accepted_is_written_once_and_in_order_until_it_is_finished() {
    for how in [Shutdown::Both, Shutdown::Write] {
        println!("one thread, {how:?}: {}", check(None, move || pushed_and_finished(how)));
        println!("two threads, {how:?}: {}", check(None, move || finished_between(how)));
    }
}

#[test]
fn a_close_leaves_a_beginning_and_nothing_comes_after_it() {
    println!("{}", check(Some(3), closed_between));
    println!("appended after: {}", check(None, appended_after));
}

#[test]
fn a_writer_that_fails_has_cut_the_connection() {
    println!("{}", check(None, broken));
}

#[test]
fn a_batch_is_written_as_far_as_it_has_begun_and_no_further() {
    println!("beside an answer: {}", check(None, batch_beside_an_answer));
    println!("broken: {}", check(None, batch_on_a_broken_socket));
}

/// Guards against attempts that wait for ever for room in a socket that has room.
#[test]
fn what_is_pushed_is_never_seen_without_a_writer() {
    println!("{}", check(None, pushed_beside_a_question));
    assert_detected(Fault::PushInTwoSteps, "a writer that there is not", None, pushed_beside_a_question);
}

/// Guards against a writer, with its descriptor, for each batch that comes while a peer does not read.
#[test]
fn only_one_writer_waits_for_room() {
    println!("{}", check(Some(3), batches_without_room));
    assert_detected(Fault::RoomNotAwaited, "has started a writer", Some(3), batches_without_room);
}

#[test]
fn a_message_that_is_written_although_it_has_not_begun_is_caught() {
    assert_detected(Fault::UnbegunBuffered, "of the batch have begun", None, batch_beside_an_answer);
}

#[test]
fn what_is_kept_after_a_close_is_caught() {
    assert_detected(Fault::AppendAfterClose, "kept after the close", None, appended_after);
}

#[test]
fn what_is_written_by_two_is_caught() {
    assert_detected(Fault::TwoWriters, "once and in order", Some(3), || pushed_and_finished(Shutdown::Both));
}

#[test]
fn a_finish_that_drops_the_rest_is_caught() {
    assert_detected(Fault::FinishDropsData, "once and in order", None, || finished_between(Shutdown::Write));
}

#[test]
fn a_cut_that_is_forgotten_is_caught() {
    assert_detected(Fault::CutNotRecorded, "it was not cut", None, broken);
}
