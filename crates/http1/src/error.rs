//! Decoding errors.

/// Why bytes cannot be decoded as HTTP/1.1. Nothing after the error can be trusted: the connection must be
/// closed. Servers send the message to the client as the body of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The head of the message is malformed.
    #[error("the head cannot be read")]
    MalformedHead,
    /// The head, or the trailers of a chunked body, exceed the limit.
    #[error("the head is longer than allowed, or has too many fields")]
    HeadTooLong,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("this version of HTTP is not spoken here")]
    UnsupportedVersion,
    /// The content length is not a number, or is given twice or together with a transfer coding.
    #[error("the length of the body can be read in more than one way, or in none")]
    InvalidLength,
    /// The transfer coding is not `chunked`.
    #[error("this transfer coding is not known here")]
    UnsupportedCoding,
    /// The body exceeds the limit.
    #[error("the body is longer than allowed")]
    BodyTooLong,
    /// A chunk of the body is malformed.
    #[error("the body's chunks cannot be read")]
    MalformedChunk,
    /// There are too many 1xx responses before the final one, or one with status 101.
    #[error("too many answers of the 1xx class")]
    TooManyInformational,
}

impl DecodeError {
    /// Returns the status code with which a server reports the error to its client.
    pub fn status(self) -> u16 {
        match self {
            DecodeError::HeadTooLong => 431,
            DecodeError::UnsupportedVersion => 505,
            DecodeError::UnsupportedCoding => 501,
            DecodeError::BodyTooLong => 413,
            _ => 400,
        }
    }
}
