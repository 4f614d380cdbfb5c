//! HTTP/1.1 without I/O: decoders that turn bytes into messages within given limits, and encoders.
//!
//! [`RequestDecoder`] reads requests, [`AnswerDecoder`] reads responses, and [`StreamDecoder`] reads a
//! response whose body is processed as it arrives. The first two return a message once it is complete.
//! Ambiguous framing is a [`Fault`], never guessed at. The package is neither a server nor a client: it has
//! no sockets and no clock, and manages no connections.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod body;
mod chunked;
mod fault;
mod fields;
mod request;
mod stream;
mod write;

pub use answer::{Answer, AnswerDecoder};
pub use fault::Fault;
pub use fields::{Fields, Repeated};
pub use request::{Incoming, Request, RequestDecoder};
pub use stream::StreamDecoder;
pub use write::{answer, answer_head, request};

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
pub const FIELDS: usize = 64;
