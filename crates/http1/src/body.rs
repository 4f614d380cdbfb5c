//! Framing and decoding of message bodies.

use bytes::{Bytes, BytesMut};

use crate::Limits;
use crate::chunked::Chunked;
use crate::error::DecodeError;
use crate::fields::Fields;

/// How a body is framed.
#[derive(Clone, Debug)]
pub(crate) enum Framing {
    Length(usize),
    Chunked(Chunked),
    /// The head states neither length nor coding: a request then has no body, and the body of a response ends
    /// with the connection.
    Unstated,
    /// The body ends with an orderly close of the connection: a response without a length.
    UntilEnd,
}

/// Determines the framing that a head states. Two lengths, or a length together with a transfer coding, are
/// rejected: they allow request smuggling, where a second message is hidden in the body of the first and
/// peers read different messages. The check rejects no legitimate message, because legitimate peers do not
/// send such heads.
pub(crate) fn framing(fields: &Fields, limits: &Limits) -> Result<Framing, DecodeError> {
    let length = fields.unique("content-length").map_err(|_| DecodeError::InvalidLength)?;
    let coding = fields.unique("transfer-encoding").map_err(|_| DecodeError::InvalidLength)?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(DecodeError::InvalidLength),
        (None, None) => Ok(Framing::Unstated),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked(Chunked::new()))
        }
        (None, Some(_)) => Err(DecodeError::UnsupportedCoding),
        (Some(length), None) => {
            let digits = length.trim_ascii();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(DecodeError::InvalidLength);
            }
            // A number with too many digits to parse is too long, not malformed.
            let text = std::str::from_utf8(digits).map_err(|_| DecodeError::InvalidLength)?;
            match text.parse::<usize>() {
                Ok(n) if n <= limits.body => Ok(Framing::Length(n)),
                _ => Err(DecodeError::BodyTooLong),
            }
        }
    }
}

/// Decodes one body.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    framing: Framing,
    bytes: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Self {
        Body { framing, bytes: BytesMut::new() }
    }

    /// Returns the body once it is complete. A body that ends with the connection is returned by
    /// [`Body::end`].
    pub(crate) fn read(
        &mut self,
        input: &mut BytesMut,
        limits: &Limits,
    ) -> Result<Option<Bytes>, DecodeError> {
        match &mut self.framing {
            // Not reached: callers replace `Unstated` first.
            Framing::Unstated => Ok(Some(Bytes::new())),
            Framing::UntilEnd => {
                if self.bytes.len() + input.len() > limits.body {
                    return Err(DecodeError::BodyTooLong);
                }
                self.bytes.unsplit(input.split());
                Ok(None)
            }
            Framing::Length(length) => {
                let length = *length;
                Ok((input.len() >= length).then(|| input.split_to(length).freeze()))
            }
            Framing::Chunked(chunked) => {
                let is_complete = chunked.read(input, &mut self.bytes, limits.body, limits.head)?;
                Ok(is_complete.then(|| std::mem::take(&mut self.bytes).freeze()))
            }
        }
    }

    /// Returns the stated length; none if the end of the body is marked in another way.
    pub(crate) fn stated_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Unstated => Some(0),
            Framing::Chunked(_) | Framing::UntilEnd => None,
        }
    }

    /// Reserves memory for the rest of a body of stated length, once instead of growing repeatedly. The
    /// operating system provides reserved memory only when it is written to, so a large stated length alone
    /// uses hardly any.
    pub(crate) fn reserve(&self, input: &mut BytesMut) {
        if let Some(length) = self.stated_length() {
            input.reserve(length.saturating_sub(input.len()));
        }
    }

    /// Returns the body if it ends with the orderly close of the connection.
    pub(crate) fn end(self) -> Option<Bytes> {
        matches!(self.framing, Framing::UntilEnd).then(|| self.bytes.freeze())
    }

    /// Number of bytes buffered for an incomplete body.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}
