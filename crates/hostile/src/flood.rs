//! Clients that write requests at full speed.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

use crate::Kind;
use crate::connection::{RunEnd, read_input, reconnect, write_all};
use crate::request::Target;

/// Requests written at once.
const BATCH: u64 = 64;
/// How an answer begins.
const STATUS_LINE: &[u8] = b"HTTP/1.1 ";
/// Spreads the volumes over all numbers.
const VOLUME_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time left to the requests of [`Kind::Reads`].
const SHORT_TIMEOUT_MS: u32 = 1;

/// Floods on one connection after the other. Returns the number of connections and of requests written.
pub(crate) fn flood(
    kind: Kind,
    client: usize,
    target: &Target,
    address: SocketAddr,
    end: RunEnd<'_>,
) -> (u64, u64) {
    let mut requests = 0;
    let connections = reconnect(address, end, |stream| {
        let answers = Answers::default();
        thread::scope(|scope| {
            scope.spawn(|| {
                read_input(&stream, end, |bytes| answers.count(bytes));
                answers.end();
            });
            while !end.is_over() && write_batch(kind, client, requests, target, &stream, end) {
                requests += BATCH;
                if matches!(kind, Kind::Reads | Kind::Volumes) && !answers.wait_for(BATCH) {
                    break;
                }
            }
            // Ends the reader; the peer may have closed the connection before.
            let _ = stream.shutdown(Shutdown::Both);
        });
    });
    (connections, requests)
}

fn write_batch(
    kind: Kind,
    client: usize,
    first: u64,
    target: &Target,
    stream: &TcpStream,
    end: RunEnd<'_>,
) -> bool {
    let batch: String = (first..first + BATCH).map(|n| request(kind, client, n, target)).collect();
    write_all(stream, batch.as_bytes(), end)
}

fn request(kind: Kind, client: usize, number: u64, target: &Target) -> String {
    match kind {
        Kind::Ready => "GET /ready HTTP/1.1\r\nHost: gateway\r\n\r\n".to_owned(),
        Kind::Classes => target.unknown_class(&format!("{client}-{number}")),
        Kind::Reads => target.read(&format!("flood-{client}-{number}"), SHORT_TIMEOUT_MS),
        Kind::Volumes => {
            let volume = number.wrapping_mul(VOLUME_STEP) ^ client as u64;
            target.read_elsewhere(volume, &format!("flood-{client}-{number}"), SHORT_TIMEOUT_MS)
        }
        // Neither id nor time.
        _ => format!(
            "GET /{}/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: gateway\r\n\r\n",
            target.read_class
        ),
    }
}

/// Answers read on a connection, counted by their status lines.
#[derive(Default)]
struct Answers {
    state: Mutex<AnswersState>,
    changed: Condvar,
}

#[derive(Default)]
struct AnswersState {
    count: u64,
    /// Bytes of [`STATUS_LINE`] with which the input ended.
    matched: usize,
    ended: bool,
}

impl Answers {
    fn count(&self, bytes: &[u8]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        for &byte in bytes {
            // A part of the status line begins with its first byte only.
            let matched = if byte == STATUS_LINE[state.matched] { state.matched } else { 0 };
            state.matched = if byte == STATUS_LINE[matched] { matched + 1 } else { 0 };
            if state.matched == STATUS_LINE.len() {
                (state.count, state.matched) = (state.count + 1, 0);
            }
        }
        self.changed.notify_all();
    }

    fn end(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
        self.changed.notify_all();
    }

    /// Waits for this many further answers; returns false if the connection ends before.
    fn wait_for(&self, count: u64) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.count < count && !state.ended {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let have_come = state.count >= count;
        state.count = state.count.saturating_sub(count);
        have_come
    }
}
