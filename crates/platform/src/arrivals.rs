//! When the bytes of a connection came.

use std::collections::VecDeque;

use decisions::Micros;

/// Times that are kept of bytes which no message has taken yet.
const MARKS: usize = 32;

/// When the bytes of a connection came, as far as no message has taken them yet.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Bytes since the connection began.
    received: u64,
    /// Up to which byte something came, and when; in order.
    marks: VecDeque<(u64, Micros)>,
}

impl Arrivals {
    /// So many bytes came. Beyond [`MARKS`] pieces they count as having come with the piece before: a request may count as older than it is,
    /// and never as younger.
    pub(crate) fn note(&mut self, bytes: usize, at: Micros) {
        self.received += bytes as u64;
        let is_full = self.marks.len() >= MARKS;
        match self.marks.back_mut() {
            Some(last) if is_full => last.0 = self.received,
            _ => self.marks.push_back((self.received, at)),
        }
    }

    /// When the last byte of a message came behind which so many bytes are held; none where nothing came.
    pub(crate) fn last_byte(&mut self, held: usize) -> Option<Micros> {
        let end = self.received - (held as u64).min(self.received);
        while self.marks.front().is_some_and(|(upto, _)| *upto < end) {
            self.marks.pop_front();
        }
        let at = self.marks.front().map(|(_, at)| *at);
        if held == 0 {
            self.marks.clear();
        }
        at
    }
}
