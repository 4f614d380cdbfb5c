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
    fn copy(&mut self, bytes: &[u8]);

    /// Appends data, which the sink may share instead of copying it.
    fn share(&mut self, data: &Bytes) {
        self.copy(data);
    }

    /// Announces how many bytes will be appended.
    fn expect(&mut self, bytes: usize);
}

impl PduSink for BytesMut {
    fn copy(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }

    fn expect(&mut self, bytes: usize) {
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
            self.copy(&other.tail);
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
    fn copy(&mut self, bytes: &[u8]) {
        self.len += bytes.len();
        self.tail.extend_from_slice(bytes);
    }

    fn share(&mut self, data: &Bytes) {
        if data.len() < MIN_SHARED_BYTES {
            return self.copy(data);
        }
        self.seal_tail();
        self.len += data.len();
        self.pieces.push_back(data.clone());
    }

    fn expect(&mut self, bytes: usize) {
        // Large data is shared, so only small amounts need space in the tail.
        self.tail.reserve(bytes.min(MIN_SHARED_BYTES));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Step {
        Copy(usize),
        Share(usize),
        Append(usize, usize),
        Advance(usize),
        Take(usize),
        Write(usize),
    }

    fn step() -> impl Strategy<Value = Step> {
        let size = || prop_oneof![0..100usize, MIN_SHARED_BYTES - 1..MIN_SHARED_BYTES + 2, 0..20_000usize];
        prop_oneof![
            size().prop_map(Step::Copy),
            size().prop_map(Step::Share),
            (size(), size()).prop_map(|(a, b)| Step::Append(a, b)),
            size().prop_map(Step::Advance),
            size().prop_map(Step::Take),
            size().prop_map(Step::Write),
        ]
    }

    proptest! {
        #[test]
        fn bytes_are_returned_in_the_order_they_were_appended(steps in proptest::collection::vec(step(), 1..40)) {
            let (mut list, mut expected, mut out) = (GatherList::new(), Vec::new(), Vec::new());
            let mut last_byte = 0u8;
            let mut next_bytes = |len: usize| -> Vec<u8> {
                (0..len).map(|_| { last_byte = last_byte.wrapping_mul(31).wrapping_add(7); last_byte }).collect()
            };
            for step in steps {
                match step {
                    Step::Copy(n) => { let b = next_bytes(n); list.copy(&b); expected.extend(b); }
                    Step::Share(n) => { let b = next_bytes(n); list.share(&b.clone().into()); expected.extend(b); }
                    Step::Append(a, b) => {
                        let mut other = GatherList::new();
                        let (a, b) = (next_bytes(a), next_bytes(b));
                        other.share(&a.clone().into());
                        other.copy(&b);
                        list.append(other);
                        expected.extend(a);
                        expected.extend(b);
                    }
                    Step::Advance(n) => {
                        let n = n.min(expected.len());
                        out.extend(expected.drain(..n));
                        list.advance(n);
                    }
                    Step::Take(n) => {
                        let piece = list.take(n);
                        prop_assert!(piece.len() <= n);
                        prop_assert_eq!(&piece[..], &expected[..piece.len()]);
                        out.extend(expected.drain(..piece.len()));
                    }
                    Step::Write(n) => {
                        let mut slices = [IoSlice::new(&[]); 8];
                        let count = list.slices(&mut slices);
                        let seen: Vec<u8> = slices[..count].iter().flat_map(|s| s.to_vec()).collect();
                        let n = n.min(seen.len());
                        prop_assert_eq!(&seen[..n], &expected[..n]);
                        out.extend(expected.drain(..n));
                        list.advance(n);
                    }
                }
                prop_assert_eq!(list.len(), expected.len());
                prop_assert_eq!(list.is_empty(), expected.is_empty());
            }
            let mut rest = Vec::new();
            while !list.is_empty() {
                rest.extend(list.take(1000));
            }
            prop_assert_eq!(rest, expected);
        }
    }
}
