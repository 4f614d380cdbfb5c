//! Sound clients: one request at a time, a new id for each, on connections that are kept.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http1::{Limits, ResponseDecoder};
use serde::Serialize;

use crate::connection::RunEnd;
use crate::request::Target;

/// Pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a client gives a request.
const TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after that for which an answer counts as late and not as lost.
const GRACE: Duration = Duration::from_millis(500);
const LIMITS: Limits = Limits { head: 16 << 10, body: 1 << 20, informational: 8 };

/// What became of the requests of sound clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SoundCounts {
    /// Requests sent.
    pub asked: u64,
    /// Answered with 200 in their time.
    pub served: u64,
    /// Answered with 429 or 503 in their time.
    pub refused: u64,
    /// Answered in any other way in their time.
    pub failed: u64,
    /// Answered after their time, by half a second at most.
    pub late: u64,
    /// Answered later than that, or never.
    pub lost: u64,
    /// The longest wait for an answer, in microseconds.
    pub longest_us: u64,
}

impl SoundCounts {
    pub(crate) fn add(self, other: SoundCounts) -> SoundCounts {
        SoundCounts {
            asked: self.asked + other.asked,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            late: self.late + other.late,
            lost: self.lost + other.lost,
            longest_us: self.longest_us.max(other.longest_us),
        }
    }
}

/// Asks until the end of the run.
pub(crate) fn ask(client: usize, target: &Target, address: SocketAddr, end: RunEnd<'_>) -> SoundCounts {
    let mut counts = SoundCounts::default();
    let mut kept = None;
    while !end.is_over() {
        let text = target.read(&format!("sound-{client}-{}", counts.asked), TIMEOUT.as_millis() as u32);
        let begun = Instant::now();
        let status = exchange(&mut kept, address, &text, begun);
        let took = begun.elapsed();
        counts.asked += 1;
        counts.longest_us = counts.longest_us.max(took.as_micros() as u64);
        match status {
            Some(_) if took > TIMEOUT => counts.late += 1,
            Some(200) => counts.served += 1,
            Some(429 | 503) => counts.refused += 1,
            Some(_) => counts.failed += 1,
            None => counts.lost += 1,
        }
        end.wait(REQUEST_INTERVAL.saturating_sub(took));
    }
    counts
}

/// Sends a request and returns the status of its answer. A connection that the gateway closed while it stood
/// idle is replaced once, as the platform's clients do.
fn exchange(kept: &mut Option<TcpStream>, address: SocketAddr, text: &str, begun: Instant) -> Option<u16> {
    for _ in 0..2 {
        let was_idle = kept.is_some();
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(address).ok()) else { continue };
        match answer(&mut stream, text, begun) {
            Ok(Some(response)) => {
                *kept = response.keep_alive.then_some(stream);
                return Some(response.status);
            }
            Ok(None) if was_idle => {}
            Err(_) if was_idle && begun.elapsed() < TIMEOUT => {}
            _ => return None,
        }
    }
    None
}

/// Returns the answer, or none if the connection ended without one.
fn answer(stream: &mut TcpStream, text: &str, begun: Instant) -> std::io::Result<Option<http1::Response>> {
    stream.write_all(text.as_bytes())?;
    let mut decoder = ResponseDecoder::new(LIMITS);
    let mut buffer = [0; 8192];
    loop {
        if let Some(response) = decoder.poll().map_err(std::io::Error::other)? {
            return Ok(Some(response));
        }
        let left = (TIMEOUT + GRACE).saturating_sub(begun.elapsed());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            n => decoder.receive(&buffer[..n]),
        }
    }
}
