//! Splits a stream into JSON objects.

use bytes::{Bytes, BytesMut};

/// Why a stream can't be split into objects. The rest of the stream can't be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// Something other than an object starts where one should.
    #[error("unexpected byte 0x{0:02x} where an object should start")]
    UnexpectedByte(u8),
    /// An object exceeds the size limit.
    #[error("an object is longer than {0} bytes")]
    TooLong(usize),
}

/// Finds where each object of a stream ends, whatever its lines and pieces: objects may be indented, on one
/// line or cut within a word, with white space between them. Each byte is examined once; otherwise a list of
/// megabytes in small pieces would be scanned again and again. Parsing the objects is left to `serde_json`.
pub struct ObjectSplitter {
    max_length: usize,
    data: BytesMut,
    /// Position up to which the data was scanned.
    scanned: usize,
    /// Number of open braces and brackets.
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Creates a splitter for objects of at most `max_length` bytes.
    pub fn new(max_length: usize) -> Self {
        ObjectSplitter {
            max_length,
            data: BytesMut::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Appends bytes of the stream.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Whether the scanned data ends between two objects.
    pub fn is_between(&self) -> bool {
        self.depth == 0
    }

    /// Returns the next complete object; none until more bytes arrive.
    ///
    /// # Errors
    /// The data is not an object, or is too long.
    pub fn poll(&mut self) -> Result<Option<Bytes>, SplitError> {
        while let Some(&byte) = self.data.get(self.scanned) {
            self.scanned += 1;
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        // Drops the white space between two objects.
                        drop(self.data.split_to(self.scanned - 1));
                        (self.scanned, self.depth) = (1, 1);
                    }
                    b' ' | b'\t' | b'\r' | b'\n' => {}
                    other => return Err(SplitError::UnexpectedByte(other)),
                }
                continue;
            }
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                let object = self.data.split_to(self.scanned).freeze();
                self.scanned = 0;
                return Ok(Some(object));
            }
            if self.scanned > self.max_length {
                return Err(SplitError::TooLong(self.max_length));
            }
        }
        if self.depth == 0 {
            self.data.clear();
            self.scanned = 0;
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn split(pieces: &[&[u8]]) -> (Vec<Bytes>, Option<SplitError>) {
        let (mut objects, mut found) = (ObjectSplitter::new(4096), Vec::new());
        for piece in pieces {
            objects.receive(piece);
            loop {
                match objects.poll() {
                    Ok(Some(object)) => found.push(object),
                    Ok(None) => break,
                    Err(why) => return (found, Some(why)),
                }
            }
        }
        (found, None)
    }

    #[test]
    fn data_outside_objects_and_objects_that_are_too_long_are_errors() {
        assert_eq!(
            split(&[b"\r\n {} \n[1]"]),
            (vec![Bytes::from("{}")], Some(SplitError::UnexpectedByte(b'[')))
        );
        assert_eq!(split(&[b"<html>"]), (Vec::new(), Some(SplitError::UnexpectedByte(b'<'))));
        let long = format!("{{\"a\":\"{}", "x".repeat(5000));
        assert_eq!(split(&[long.as_bytes()]), (Vec::new(), Some(SplitError::TooLong(4096))));
        // Empty lines are not kept.
        let mut objects = ObjectSplitter::new(16);
        (0..1000).for_each(|_| {
            objects.receive(b"\r\n");
            assert_eq!(objects.poll(), Ok(None));
        });
        assert!(objects.data.is_empty());
    }

    prop_compose! {
        fn value()(words in prop::collection::vec("[a-z\\\\\"{}\\[\\]\n ]{0,8}", 0..6), deep in 0..4usize) -> serde_json::Value {
            (0..deep).fold(serde_json::json!({"words": words}), |v, n| serde_json::json!({"in": [v, {"n": n}]}))
        }
    }

    proptest! {
        #[test]
        fn objects_are_found_in_any_layout_and_any_pieces(
            values in prop::collection::vec(value(), 0..6),
            pretty in any::<bool>(),
            gap in "[ \\n\\r\\t]{0,3}",
            places in prop::collection::vec(any::<prop::sample::Index>(), 0..100),
        ) {
            let written = |v: &serde_json::Value| if pretty { format!("{v:#}") } else { v.to_string() };
            let text: String = values.iter().map(|v| written(v) + &gap).collect();
            let mut at: Vec<usize> = places.iter().map(|p| p.index(text.len() + 1)).collect();
            at.extend([0, text.len()]);
            at.sort_unstable();
            let pieces: Vec<&[u8]> = at.windows(2).map(|w| &text.as_bytes()[w[0]..w[1]]).collect();
            let (found, fault) = split(&pieces);
            prop_assert_eq!(fault, None);
            let read: Vec<serde_json::Value> =
                found.iter().map(|o| serde_json::from_slice(o).expect("an object")).collect();
            prop_assert_eq!(read, values);
        }
    }
}
