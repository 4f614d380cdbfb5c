//! Output buffers made of several pieces, which share large data instead of copying it and are sent with one
//! vectored write. The write itself is done by the `transport` package.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::VecDeque;
use std::io::IoSlice;

use bytes::{Buf, Bytes, BytesMut};

/// Minimum size of data to share, in bytes. Smaller data is cheaper to copy than to keep as a separate piece.
const MIN_SHARED_BYTES: usize = 4096;

/// A destination for encoded PDUs (protocol data units).
pub trait PduSink {
    /// Appends a copy of the bytes.
    fn append_copy(&mut self, bytes: &[u8]);

    /// Appends data, which the sink may share instead of copying it.
    fn append_shared(&mut self, data: &Bytes) {
        self.append_copy(data);
    }

    /// Announces how many bytes will be appended.
    fn reserve(&mut self, bytes: usize);
}

impl PduSink for BytesMut {
    fn append_copy(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }

    fn reserve(&mut self, bytes: usize) {
        self.reserve(bytes);
    }
}

/// A queue of bytes that consists of several pieces.
///
/// When the responses of a batch were copied into one buffer, the buffer grew to megabytes, and most of the
/// cost of a large read in the gateway was that copy and the memory pages it touched.
#[derive(Debug, Default)]
pub struct GatherList {
    pieces: VecDeque<Bytes>,
    /// Copied bytes that follow all pieces.
    tail: BytesMut,
    len: usize,
}

impl GatherList {
    /// Creates an empty list.
    pub fn new() -> Self {
        GatherList::default()
    }

    /// Number of bytes in the list.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the list has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends the bytes of another list without copying its pieces.
    pub fn append(&mut self, mut other: GatherList) {
        if other.pieces.is_empty() {
            self.append_copy(&other.tail);
            return;
        }
        self.seal_tail();
        self.len += other.len;
        self.pieces.append(&mut other.pieces);
        self.tail = other.tail;
    }

    /// Drops the first `n` bytes, or all if there are fewer.
    pub fn advance(&mut self, n: usize) {
        let mut left = n.min(self.len);
        self.len -= left;
        while left > 0 {
            let Some(first) = self.pieces.front_mut() else {
                self.tail.advance(left);
                return;
            };
            if first.len() > left {
                first.advance(left);
                return;
            }
            left -= first.len();
            self.pieces.pop_front();
        }
    }

    /// Keeps the first `len` bytes and drops those behind them.
    pub fn truncate(&mut self, len: usize) {
        let tail_start = self.len - self.tail.len();
        self.tail.truncate(len.saturating_sub(tail_start));
        self.len = self.len.min(len.max(tail_start));
        while self.len > len
            && let Some(last) = self.pieces.back_mut()
        {
            let excess = (self.len - len).min(last.len());
            last.truncate(last.len() - excess);
            self.len -= excess;
            if last.is_empty() {
                self.pieces.pop_back();
            }
        }
    }

    /// Removes and returns a piece from the front, with at most `max_bytes` bytes.
    pub fn take(&mut self, max_bytes: usize) -> Bytes {
        let piece = match self.pieces.front_mut() {
            Some(first) if first.len() > max_bytes => first.split_to(max_bytes),
            Some(_) => self.pieces.pop_front().unwrap_or_default(),
            None => self.tail.split_to(max_bytes.min(self.tail.len())).freeze(),
        };
        self.len -= piece.len();
        piece
    }

    /// Fills `slices` with the first pieces for a vectored write; returns the number of slices filled.
    pub fn slices<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let tail = (!self.tail.is_empty()).then_some(&self.tail[..]);
        let all_pieces = self.pieces.iter().map(|p| &p[..]).chain(tail);
        let mut count = 0;
        for (slot, piece) in slices.iter_mut().zip(all_pieces) {
            *slot = IoSlice::new(piece);
            count += 1;
        }
        count
    }

    /// Turns the tail into a piece, so that pieces can be appended after it.
    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            self.pieces.push_back(self.tail.split().freeze());
        }
    }
}

impl PduSink for GatherList {
    fn append_copy(&mut self, bytes: &[u8]) {
        self.len += bytes.len();
        self.tail.extend_from_slice(bytes);
    }

    fn append_shared(&mut self, data: &Bytes) {
        if data.len() < MIN_SHARED_BYTES {
            return self.append_copy(data);
        }
        self.seal_tail();
        self.len += data.len();
        self.pieces.push_back(data.clone());
    }

    fn reserve(&mut self, bytes: usize) {
        // Large data is shared, so only small amounts need space in the tail.
        self.tail.reserve(bytes.min(MIN_SHARED_BYTES));
    }
}

#[cfg(test)]
mod tests;
