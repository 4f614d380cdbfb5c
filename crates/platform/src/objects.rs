//! A stream of JSON objects, cut apart.

use bytes::{Bytes, BytesMut};

/// Why a stream cannot be cut into objects. Nothing behind it can be trusted to be in step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoObject {
    /// Something other than an object begins where one should.
    #[error("byte 0x{0:02x} stands where an object should begin")]
    Foreign(u8),
    /// An object is longer than allowed.
    #[error("an object is longer than {0} bytes")]
    TooLong(usize),
}

/// Finds where each object of a stream ends, however it is broken into lines and pieces: objects may be indented, stand in one line or
/// be cut in the middle of a word, with white space between them. Each byte is looked at once, as a list of megabytes in small pieces
/// would be read again and again otherwise. It does not read objects: what is in them is `serde_json`'s to say.
pub struct Objects {
    most: usize,
    data: BytesMut,
    /// How far the data was looked at.
    seen: usize,
    /// Braces and brackets that are open.
    depth: u32,
    in_text: bool,
    escaped: bool,
}

impl Objects {
    /// One that has seen nothing. `most`: bytes of an object.
    pub fn new(most: usize) -> Self {
        Objects { most, data: BytesMut::new(), seen: 0, depth: 0, in_text: false, escaped: false }
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// No object has begun that has not ended.
    pub fn is_between(&self) -> bool {
        self.depth == 0
    }

    /// The next whole object; none until more has come.
    ///
    /// # Errors
    /// What comes is no object, or is too long.
    pub fn poll(&mut self) -> Result<Option<Bytes>, NoObject> {
        while let Some(&byte) = self.data.get(self.seen) {
            self.seen += 1;
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        // What stood between two objects belongs to neither.
                        drop(self.data.split_to(self.seen - 1));
                        (self.seen, self.depth) = (1, 1);
                    }
                    b' ' | b'\t' | b'\r' | b'\n' => {}
                    other => return Err(NoObject::Foreign(other)),
                }
                continue;
            }
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_text => self.escaped = true,
                b'"' => self.in_text = !self.in_text,
                _ if self.in_text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                let object = self.data.split_to(self.seen).freeze();
                self.seen = 0;
                return Ok(Some(object));
            }
            if self.seen > self.most {
                return Err(NoObject::TooLong(self.most));
            }
        }
        if self.depth == 0 {
            self.data.clear();
            self.seen = 0;
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn cut(pieces: &[&[u8]]) -> (Vec<Bytes>, Option<NoObject>) {
        let (mut objects, mut found) = (Objects::new(4096), Vec::new());
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
    fn what_is_no_object_and_what_is_too_long_are_told() {
        assert_eq!(cut(&[b"\r\n {} \n[1]"]), (vec![Bytes::from("{}")], Some(NoObject::Foreign(b'['))));
        assert_eq!(cut(&[b"<html>"]), (Vec::new(), Some(NoObject::Foreign(b'<'))));
        let long = format!("{{\"a\":\"{}", "x".repeat(5000));
        assert_eq!(cut(&[long.as_bytes()]), (Vec::new(), Some(NoObject::TooLong(4096))));
        // Empty lines for hours are not kept.
        let mut objects = Objects::new(16);
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
        fn objects_are_the_same_in_one_line_or_indented_however_they_are_cut(
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
            let (found, fault) = cut(&pieces);
            prop_assert_eq!(fault, None);
            let read: Vec<serde_json::Value> =
                found.iter().map(|o| serde_json::from_slice(o).expect("an object")).collect();
            prop_assert_eq!(read, values);
        }
    }
}
