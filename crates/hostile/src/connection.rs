//! Connections of hostile clients.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a blocked read or write lasts until the end of the run is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a connection that was turned away at once.
const RECONNECT_PAUSE: Duration = Duration::from_millis(2);

/// The end of a run: its time is up, or it was stopped.
#[derive(Clone, Copy)]
pub(crate) struct RunEnd<'a> {
    pub(crate) deadline: Instant,
    pub(crate) stopped: &'a AtomicBool,
}

impl RunEnd<'_> {
    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.deadline || self.stopped.load(Ordering::Relaxed)
    }

    /// Waits for a time, or until the end of the run.
    pub(crate) fn wait(&self, time: Duration) {
        let until = Instant::now() + time;
        while !self.is_over() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(POLL_INTERVAL));
        }
    }
}

/// Opens connections one after the other until the end of the run; each is used until `use_one` returns.
pub(crate) fn reconnect(address: SocketAddr, end: RunEnd<'_>, mut use_one: impl FnMut(TcpStream)) -> u64 {
    let mut connections = 0;
    while !end.is_over() {
        let opened = Instant::now();
        if let Ok(stream) = TcpStream::connect(address)
            && stream.set_read_timeout(Some(POLL_INTERVAL)).is_ok()
            && stream.set_write_timeout(Some(POLL_INTERVAL)).is_ok()
        {
            connections += 1;
            use_one(stream);
        }
        if opened.elapsed() < RECONNECT_PAUSE {
            end.wait(RECONNECT_PAUSE);
        }
    }
    connections
}

/// Writes all bytes, as fast as the peer takes them. Returns whether the connection is still of use.
pub(crate) fn write_all(mut stream: &TcpStream, mut bytes: &[u8], end: RunEnd<'_>) -> bool {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(0) => return false,
            Ok(n) => bytes = &bytes[n..],
            Err(e) if is_timeout(&e) && !end.is_over() => {}
            Err(_) => return false,
        }
    }
    true
}

/// Reads and discards until the connection or the run ends.
pub(crate) fn discard_input(stream: &TcpStream, end: RunEnd<'_>) {
    read_input(stream, end, |_| {});
}

/// Waits for the end of the connection or the run without reading.
pub(crate) fn wait_for_end(stream: &TcpStream, end: RunEnd<'_>) {
    // An end shows as an error: unread answers are lost with it.
    while !end.is_over() && stream.take_error().is_ok_and(|error| error.is_none()) {
        end.wait(POLL_INTERVAL);
    }
}

/// Reads and passes on what is read until the connection or the run ends.
pub(crate) fn read_input(mut stream: &TcpStream, end: RunEnd<'_>, mut handle: impl FnMut(&[u8])) {
    let mut buffer = [0; 16 << 10];
    while !end.is_over() {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => handle(&buffer[..n]),
            Err(e) if is_timeout(&e) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
