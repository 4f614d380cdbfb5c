//! HTTP/1.1 without I/O: decoders that turn bytes into messages within given limits, and encoders.
//!
//! [`RequestDecoder`] reads requests, [`ResponseDecoder`] reads responses, and [`StreamDecoder`] reads a
//! response whose body is processed as it arrives. The first two return a message once it is complete.
//! Ambiguous framing is a [`DecodeError`], never guessed at. The package is neither a server nor a client: it
//! has no sockets and no clock, and manages no connections.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod chunked;
mod encode;
mod error;
mod fields;
mod request;
mod response;
mod stream;

pub use encode::{encode_request, encode_request_head, encode_response, encode_response_head};
pub use error::DecodeError;
pub use fields::{Fields, RepeatedField};
pub use request::{Request, RequestDecoder, RequestEvent};
pub use response::{Response, ResponseDecoder};
pub use stream::StreamDecoder;

/// Limits on what a peer may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message's head, and of the trailers after a chunked body.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Number of 1xx responses before a final response.
    pub informational: u32,
}

/// Maximum number of header fields in a message.
pub const MAX_FIELDS: usize = 64;
