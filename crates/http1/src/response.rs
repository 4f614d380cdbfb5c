//! Decoding of responses.

use bytes::{Buf, Bytes, BytesMut};

use crate::body::{Body, Framing, framing};
use crate::error::DecodeError;
use crate::fields::Fields;
use crate::request::keeps_alive;
use crate::{Limits, MAX_FIELDS};

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Body.
    pub body: Bytes,
    /// The server keeps the connection open.
    pub keep_alive: bool,
}

/// Decodes the responses on a connection. A response without a stated length ends with the orderly close of
/// the connection ([`ResponseDecoder::end`]). After a reset it is unknown whether such a response was
/// complete, so it counts as incomplete.
#[derive(Clone, Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    input: BytesMut,
    current: Option<(Response, Body)>,
    /// Number of 1xx responses since the last final response.
    informational: u32,
}

impl ResponseDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        ResponseDecoder { limits, input: BytesMut::new(), current: None, informational: 0 }
    }

    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Number of received bytes that are not part of a returned response.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() + self.current.as_ref().map_or(0, |(_, body)| body.buffered_bytes())
    }

    /// Whether nothing has been received after the last returned response.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.input.is_empty()
    }

    /// Returns the next response once it is complete. 1xx responses are skipped.
    ///
    /// # Errors
    /// The input is not a valid response; the connection must be closed.
    pub fn poll(&mut self) -> Result<Option<Response>, DecodeError> {
        while self.current.is_none() {
            let Some(head) = head(&mut self.input, &self.limits)? else { return Ok(None) };
            if (100..200).contains(&head.status) {
                self.informational += 1;
                if head.status == 101 || self.informational > self.limits.informational {
                    return Err(DecodeError::TooManyInformational);
                }
                continue;
            }
            let framing = match framing(&head.fields, &self.limits)? {
                // Responses with these status codes have no body, whatever their header fields say.
                _ if matches!(head.status, 204 | 304) => Framing::Length(0),
                Framing::Unstated => Framing::UntilEnd,
                stated => stated,
            };
            let head =
                Response { keep_alive: head.keep_alive && !matches!(framing, Framing::UntilEnd), ..head };
            self.current = Some((head, Body::new(framing)));
        }
        let Some((_, body)) = &mut self.current else { return Ok(None) };
        let Some(bytes) = body.read(&mut self.input, &self.limits)? else {
            body.reserve(&mut self.input);
            return Ok(None);
        };
        self.informational = 0;
        Ok(self.current.take().map(|(mut response, _)| {
            response.body = bytes;
            response
        }))
    }

    /// Returns the response that ends with the orderly close of the connection, if there is one. All input
    /// must have been [polled](AnswerDecoder::poll) before. A response that is shorter than its stated length
    /// is discarded.
    pub fn end(&mut self) -> Option<Response> {
        let (response, body) = self.current.take()?;
        Some(Response { body: body.end()?, ..response })
    }
}

/// Takes the head of a response off the input once it is complete.
pub(crate) fn head(input: &mut BytesMut, limits: &Limits) -> Result<Option<Response>, DecodeError> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(n)) if n <= limits.head => n,
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(DecodeError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) if input.len() > limits.head => return Err(DecodeError::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Version) => return Err(DecodeError::UnsupportedVersion),
        Err(_) => return Err(DecodeError::MalformedHead),
    };
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(DecodeError::MalformedHead);
    };
    let fields = Fields::read(parsed.headers);
    input.advance(length);
    let keep_alive = keeps_alive(version, &fields);
    Ok(Some(Response { status, fields, body: Bytes::new(), keep_alive }))
}
