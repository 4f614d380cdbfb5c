//! HTTP/1.1 without I/O: bytes in, messages out, within stated limits.
//!
//! [`RequestDecoder`] reads what clients send, [`AnswerDecoder`] what servers answer, [`StreamDecoder`] an answer that stays
//! open and brings data. A message is given out once it is whole. Framing that can be read in two ways is a [`Fault`],
//! never a guess. It is not a server or a client: it holds no socket, no clock and no connection's fate.

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

/// What a peer may send at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message's head, and of the trailers behind a chunked body.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Answers of the 1xx class ahead of the one that counts.
    pub informational: u32,
}

/// Header fields of a head at most.
pub const FIELDS: usize = 64;
