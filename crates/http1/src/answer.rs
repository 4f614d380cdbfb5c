//! What servers answer.

use bytes::{Buf, Bytes, BytesMut};

use crate::body::{Body, Framing, framing};
use crate::fault::Fault;
use crate::fields::Fields;
use crate::request::keeps;
use crate::{FIELDS, Limits};

/// An answer, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Body.
    pub body: Bytes,
    /// The server keeps the connection.
    pub keep: bool,
}

/// Reads one answer after the other. An answer that does not state where it ends lasts until its connection ends, in order
/// ([`AnswerDecoder::end`]); after a reset nobody can tell whether it was whole, and it is not.
#[derive(Clone, Debug)]
pub struct AnswerDecoder {
    limits: Limits,
    input: BytesMut,
    current: Option<(Answer, Body)>,
    informational: u32,
}

impl AnswerDecoder {
    /// One that has read nothing.
    pub fn new(limits: Limits) -> Self {
        AnswerDecoder { limits, input: BytesMut::new(), current: None, informational: 0 }
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Bytes that were taken in and are not part of an answer given out.
    pub fn held(&self) -> usize {
        self.input.len() + self.current.as_ref().map_or(0, |(_, body)| body.held())
    }

    /// Nothing has come behind the last answer.
    pub fn is_between(&self) -> bool {
        self.current.is_none() && self.input.is_empty()
    }

    /// An answer, once it is whole. Those of the 1xx class are passed over.
    ///
    /// # Errors
    /// It is no answer; the connection is to be closed.
    pub fn poll(&mut self) -> Result<Option<Answer>, Fault> {
        while self.current.is_none() {
            let Some(head) = head(&mut self.input, &self.limits)? else { return Ok(None) };
            if (100..200).contains(&head.status) {
                self.informational += 1;
                if head.status == 101 || self.informational > self.limits.informational {
                    return Err(Fault::Informational);
                }
                continue;
            }
            let framing = match framing(&head.fields, &self.limits)? {
                // These have no body, whatever their fields say.
                _ if matches!(head.status, 204 | 304) => Framing::Length(0),
                Framing::Unstated => Framing::UntilEnd,
                stated => stated,
            };
            let head = Answer { keep: head.keep && !matches!(framing, Framing::UntilEnd), ..head };
            self.current = Some((head, Body::new(framing)));
        }
        let Some((_, body)) = &mut self.current else { return Ok(None) };
        let Some(bytes) = body.read(&mut self.input, &self.limits)? else { return Ok(None) };
        self.informational = 0;
        Ok(self.current.take().map(|(mut answer, _)| {
            answer.body = bytes;
            answer
        }))
    }

    /// The connection ended in order, and everything that came on it was [polled](AnswerDecoder::poll): the answer that ends
    /// with it, if one does. What states its length and is short of it is none.
    pub fn end(&mut self) -> Option<Answer> {
        let (answer, body) = self.current.take()?;
        Some(Answer { body: body.end()?, ..answer })
    }
}

/// The head of an answer, once it is there, taken off the input.
pub(crate) fn head(input: &mut BytesMut, limits: &Limits) -> Result<Option<Answer>, Fault> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(n)) if n <= limits.head => n,
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Fault::HeadTooLong);
        }
        Ok(httparse::Status::Partial) if input.len() > limits.head => return Err(Fault::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Version) => return Err(Fault::Version),
        Err(_) => return Err(Fault::Head),
    };
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else { return Err(Fault::Head) };
    let fields = Fields::read(parsed.headers);
    input.advance(length);
    let keep = keeps(version, &fields);
    Ok(Some(Answer { status, fields, body: Bytes::new(), keep }))
}
