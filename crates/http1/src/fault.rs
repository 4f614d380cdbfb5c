//! Why a peer's bytes cannot be read as HTTP/1.1.

/// Why a peer's bytes cannot be read as HTTP/1.1. Nothing behind a fault can be trusted: the connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Not a head.
    #[error("the head cannot be read")]
    Head,
    /// The head does not end.
    #[error("the head is longer than allowed, or has too many fields")]
    HeadTooLong,
    /// Not HTTP/1.0 or 1.1.
    #[error("this version of HTTP is not spoken here")]
    Version,
    /// A length that is no number, given twice, or given beside a transfer coding.
    #[error("the length of the body can be read in more than one way, or in none")]
    Framing,
    /// A transfer coding other than chunked.
    #[error("this transfer coding is not known here")]
    Coding,
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    BodyTooLong,
    /// A chunk that cannot be read.
    #[error("the body's chunks cannot be read")]
    Chunk,
    /// Too many 1xx answers.
    #[error("too many answers of the 1xx class")]
    Informational,
}

impl Fault {
    /// The status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            Fault::HeadTooLong => 431,
            Fault::Version => 505,
            Fault::Coding => 501,
            Fault::BodyTooLong => 413,
            _ => 400,
        }
    }
}
