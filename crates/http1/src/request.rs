//! Decoding of requests.

use bytes::{Buf, Bytes, BytesMut};

use crate::body::{Body, Framing, framing};
use crate::error::DecodeError;
use crate::fields::Fields;
use crate::{Limits, MAX_FIELDS};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// Body.
    pub body: Bytes,
    /// The client may send another request on the connection.
    pub keep_alive: bool,
}

/// An event of a [`RequestDecoder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The client expects a `100 Continue` response before it sends the body.
    ExpectsContinue,
    /// A complete request.
    Complete(Request),
}

/// Decodes the requests on a connection.
#[derive(Clone, Debug)]
pub struct RequestDecoder {
    limits: Limits,
    input: BytesMut,
    /// The request being read, its body, and whether its client is still to be sent `100 Continue`.
    current: Option<(Request, Body, bool)>,
}

impl RequestDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        RequestDecoder { limits, input: BytesMut::new(), current: None }
    }

    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Number of received bytes that are not part of a returned request.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() + self.current.as_ref().map_or(0, |(_, body, _)| body.buffered_bytes())
    }

    /// Whether no part of another request has been received.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.input.is_empty()
    }

    /// Returns the size of the body that is being received: its stated length, or the limit if it states none;
    /// `None` while no body is being received.
    pub fn body_size(&self) -> Option<usize> {
        let (_, body, _) = self.current.as_ref()?;
        Some(body.stated_length().unwrap_or(self.limits.body))
    }

    /// Reserves memory for the rest of the body that is being received. Without it, the memory grows with
    /// what has been received.
    pub fn reserve_body(&mut self) {
        if let Some((_, body, _)) = &self.current {
            body.reserve(&mut self.input);
        }
    }

    /// Returns the next event, or `None` if more input is needed.
    ///
    /// # Errors
    /// The input is not a valid request; the connection must be closed.
    pub fn poll(&mut self) -> Result<Option<RequestEvent>, DecodeError> {
        if self.current.is_none() {
            let Some((request, framing, expects_continue)) = self.head()? else { return Ok(None) };
            let body = match framing {
                // A request without a stated length has no body.
                Framing::Unstated => Body::new(Framing::Length(0)),
                stated => Body::new(stated),
            };
            self.current = Some((request, body, expects_continue));
        }
        let Some((_, body, expects_continue)) = &mut self.current else { return Ok(None) };
        match body.read(&mut self.input, &self.limits)? {
            Some(bytes) => {
                if self.input.is_empty() && !bytes.is_empty() {
                    // It would keep the memory that it shares with the body.
                    self.input = BytesMut::new();
                }
                Ok(self.current.take().map(|(mut request, _, _)| {
                    request.body = bytes;
                    RequestEvent::Complete(request)
                }))
            }
            None if std::mem::take(expects_continue) && self.input.is_empty() => {
                Ok(Some(RequestEvent::ExpectsContinue))
            }
            None => Ok(None),
        }
    }

    /// Takes the head of a request off the input once it is complete; returns whether the client expects `100
    /// Continue` as the last element.
    fn head(&mut self) -> Result<Option<(Request, Framing, bool)>, DecodeError> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&self.input) {
            Ok(httparse::Status::Complete(n)) if n <= self.limits.head => n,
            Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
                return Err(DecodeError::HeadTooLong);
            }
            Ok(httparse::Status::Partial) if self.input.len() > self.limits.head => {
                return Err(DecodeError::HeadTooLong);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::Version) => return Err(DecodeError::UnsupportedVersion),
            Err(_) => return Err(DecodeError::MalformedHead),
        };
        let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
            return Err(DecodeError::MalformedHead);
        };
        let fields = Fields::read(parsed.headers);
        let (framing, keep_alive) = (framing(&fields, &self.limits)?, keeps_alive(version, &fields));
        let expects_continue = version == 1 && fields.list_contains("expect", "100-continue");
        let (method, target) = (method.to_owned(), target.to_owned());
        self.input.advance(length);
        Ok(Some((
            Request { method, target, fields, body: Bytes::new(), keep_alive },
            framing,
            expects_continue,
        )))
    }
}

/// Whether a peer with this minor version and these header fields keeps the connection open after the
/// message.
pub(crate) fn keeps_alive(version: u8, fields: &Fields) -> bool {
    match version {
        1 => !fields.list_contains("connection", "close"),
        _ => fields.list_contains("connection", "keep-alive") && !fields.list_contains("connection", "close"),
    }
}
