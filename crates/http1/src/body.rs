//! How long a body is, and reading it.

use bytes::{Bytes, BytesMut};

use crate::Limits;
use crate::chunked::Chunked;
use crate::fault::Fault;
use crate::fields::Fields;

/// How a body is framed.
#[derive(Clone, Debug)]
pub(crate) enum Framing {
    Length(usize),
    Chunked(Chunked),
    /// Nothing says how long it is.
    Unstated,
    /// It lasts until its connection ends, in order: an answer without a length.
    UntilEnd,
}

/// The framing that a head states. Danger: two lengths, or a length beside a transfer coding, let a second message hide in
/// the body of the first, so that a peer may read another message than we do. Harm: none; no honest peer sends that.
pub(crate) fn framing(fields: &Fields, limits: &Limits) -> Result<Framing, Fault> {
    let length = fields.only("content-length").map_err(|_| Fault::Framing)?;
    let coding = fields.only("transfer-encoding").map_err(|_| Fault::Framing)?;
    match (length, coding) {
        (Some(_), Some(_)) => Err(Fault::Framing),
        (None, None) => Ok(Framing::Unstated),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked(Chunked::new()))
        }
        (None, Some(_)) => Err(Fault::Coding),
        (Some(length), None) => {
            let digits = length.trim_ascii();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(Fault::Framing);
            }
            // More digits than fit are a length that is too long, not one that cannot be read.
            let text = std::str::from_utf8(digits).map_err(|_| Fault::Framing)?;
            match text.parse::<usize>() {
                Ok(n) if n <= limits.body => Ok(Framing::Length(n)),
                _ => Err(Fault::BodyTooLong),
            }
        }
    }
}

/// A body on its way in.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    framing: Framing,
    bytes: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Self {
        Body { framing, bytes: BytesMut::new() }
    }

    /// The body, once it is whole.
    pub(crate) fn read(&mut self, input: &mut BytesMut, limits: &Limits) -> Result<Option<Bytes>, Fault> {
        match &mut self.framing {
            Framing::Unstated => Ok(Some(Bytes::new())),
            Framing::UntilEnd => {
                if self.bytes.len() + input.len() > limits.body {
                    return Err(Fault::BodyTooLong);
                }
                self.bytes.unsplit(input.split());
                Ok(None)
            }
            Framing::Length(length) => {
                let length = *length;
                // Once, in place of growing by and by: what is not written to is no memory yet.
                input.reserve(length.saturating_sub(input.len()));
                Ok((input.len() >= length).then(|| input.split_to(length).freeze()))
            }
            Framing::Chunked(chunked) => {
                let over = chunked.read(input, &mut self.bytes, limits.body, limits.head)?;
                Ok(over.then(|| std::mem::take(&mut self.bytes).freeze()))
            }
        }
    }

    /// The connection ended in order: the body, if that is where it ends.
    pub(crate) fn end(self) -> Option<Bytes> {
        matches!(self.framing, Framing::UntilEnd).then(|| self.bytes.freeze())
    }

    /// Bytes taken in for a body that is not whole.
    pub(crate) fn held(&self) -> usize {
        self.bytes.len()
    }
}
