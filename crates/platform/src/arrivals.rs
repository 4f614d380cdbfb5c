//! Arrival times of the bytes of a connection.

use std::collections::VecDeque;

use decisions::Micros;

/// Arrival times kept for bytes that no message has consumed yet.
const MAX_MARKS: usize = 32;

/// Arrival times of the bytes of a connection that no message has consumed yet.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Bytes received since the connection was established.
    received: u64,
    /// Stream position up to which bytes had arrived, and when; in order.
    marks: VecDeque<(u64, Micros)>,
}

impl Arrivals {
    /// Records that bytes arrived. Beyond [`MAX_MARKS`] pieces they count as having arrived with the previous
    /// piece: a request may then count as older than it is, but never as younger.
    pub(crate) fn record(&mut self, bytes: usize, at: Micros) {
        self.received += bytes as u64;
        let is_full = self.marks.len() >= MAX_MARKS;
        match self.marks.back_mut() {
            Some(last) if is_full => last.0 = self.received,
            _ => self.marks.push_back((self.received, at)),
        }
    }

    /// Returns when the last byte of a message arrived, given the number of bytes buffered behind it; none if
    /// nothing arrived.
    pub(crate) fn last_byte(&mut self, held: usize) -> Option<Micros> {
        let end = self.received - (held as u64).min(self.received);
        while self.marks.front().is_some_and(|(end_of_mark, _)| *end_of_mark < end) {
            self.marks.pop_front();
        }
        let at = self.marks.front().map(|(_, at)| *at);
        if held == 0 {
            self.marks.clear();
        }
        at
    }
}
