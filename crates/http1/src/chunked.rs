//! The chunked transfer coding.

use bytes::{Buf, BytesMut};

use crate::error::DecodeError;

/// Maximum length of a chunk's size line, including extensions, in bytes.
const MAX_LINE_BYTES: usize = 256;
/// Maximum number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    /// Data of a chunk, with the number of bytes left.
    Data(usize),
    /// The CR LF after a chunk's data.
    DataEnd,
    Trailer,
    Complete,
}

/// Decodes a chunked body incrementally.
#[derive(Clone, Debug)]
pub(crate) struct Chunked {
    state: State,
    /// Bytes of trailers read.
    trailer_bytes: usize,
}

impl Chunked {
    pub(crate) fn new() -> Self {
        Chunked { state: State::Size, trailer_bytes: 0 }
    }

    /// Moves the data available in `input` to `out`, without the chunk framing. Returns whether the body is
    /// complete. `out` may hold at most `max_bytes`; the trailers may have at most `max_trailer_bytes`.
    pub(crate) fn read(
        &mut self,
        input: &mut BytesMut,
        out: &mut BytesMut,
        max_bytes: usize,
        max_trailer_bytes: usize,
    ) -> Result<bool, DecodeError> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = line(input)? else { return Ok(false) };
                    let size = size(&line)?;
                    if size > max_bytes.saturating_sub(out.len()) {
                        return Err(DecodeError::BodyTooLong);
                    }
                    self.state = if size == 0 { State::Trailer } else { State::Data(size) };
                }
                State::Data(left) => {
                    let n = left.min(input.len());
                    out.extend_from_slice(&input.split_to(n));
                    if n < left {
                        self.state = State::Data(left - n);
                        return Ok(false);
                    }
                    self.state = State::DataEnd;
                }
                State::DataEnd => {
                    if input.len() < 2 {
                        return if input.first().is_some_and(|&b| b != b'\r') {
                            Err(DecodeError::MalformedChunk)
                        } else {
                            Ok(false)
                        };
                    }
                    if &input[..2] != b"\r\n" {
                        return Err(DecodeError::MalformedChunk);
                    }
                    input.advance(2);
                    self.state = State::Size;
                }
                State::Trailer => {
                    let Some(line) = line(input)? else { return Ok(false) };
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > max_trailer_bytes {
                        return Err(DecodeError::HeadTooLong);
                    }
                    if line.is_empty() {
                        self.state = State::Complete;
                    }
                }
                State::Complete => return Ok(true),
            }
        }
    }
}

/// Takes a line, which must end with CR LF, off the input and returns it without its end. Returns `None` if
/// the line is incomplete.
fn line(input: &mut BytesMut) -> Result<Option<BytesMut>, DecodeError> {
    let Some(end) = input.iter().take(MAX_LINE_BYTES + 2).position(|&b| b == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err(DecodeError::MalformedChunk) } else { Ok(None) };
    };
    if end == 0 || input[end - 1] != b'\r' {
        return Err(DecodeError::MalformedChunk);
    }
    let mut line = input.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses the size of a chunk; extensions are ignored.
fn size(line: &[u8]) -> Result<usize, DecodeError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let ends_properly = rest.is_empty() || rest.trim_ascii_start().first() == Some(&b';');
    if digits == 0 || digits > MAX_SIZE_DIGITS || !ends_properly {
        return Err(DecodeError::MalformedChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| DecodeError::MalformedChunk)?;
    usize::from_str_radix(text, 16).map_err(|_| DecodeError::MalformedChunk)
}
