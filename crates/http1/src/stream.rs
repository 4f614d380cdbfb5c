//! Decoding of responses whose body is processed as it arrives.

use bytes::{Bytes, BytesMut};

use crate::Limits;
use crate::body::{Framing, framing};
use crate::error::DecodeError;
use crate::response::head;

enum State {
    Head,
    Body(Framing),
    Complete,
}

/// Decodes the body of a response as it arrives. The boundaries of the returned pieces have no meaning: the
/// caller must find the messages in the stream and limit their size. The limit on the length of a body does
/// not apply to streams.
pub struct StreamDecoder {
    limits: Limits,
    input: BytesMut,
    state: State,
    status: Option<u16>,
    /// The error that ends the stream. It is returned after the data that was received before it.
    error: Option<DecodeError>,
}

impl StreamDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        let limits = Limits { body: usize::MAX, ..limits };
        StreamDecoder { limits, input: BytesMut::new(), state: State::Head, status: None, error: None }
    }

    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the status code of the response once it is known.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Returns the data of the body received since the last call, or `None` if there is none.
    ///
    /// # Errors
    /// The input is not a valid response; the connection must be closed.
    pub fn poll(&mut self) -> Result<Option<Bytes>, DecodeError> {
        let mut piece = BytesMut::new();
        while self.error.is_none() {
            let lengths_before = (piece.len(), self.input.len());
            self.error = self.advance(&mut piece).err();
            if lengths_before == (piece.len(), self.input.len()) {
                break;
            }
        }
        match self.error {
            Some(error) if piece.is_empty() => Err(error),
            _ => Ok((!piece.is_empty()).then(|| piece.freeze())),
        }
    }

    /// Decodes the next element of the input, if it is complete, and appends body data to `piece`.
    fn advance(&mut self, piece: &mut BytesMut) -> Result<(), DecodeError> {
        match &mut self.state {
            State::Head => {
                if let Some(response) = head(&mut self.input, &self.limits)?
                    && !(100..200).contains(&response.status)
                {
                    self.status = Some(response.status);
                    self.state = State::Body(framing(&response.fields, &self.limits)?);
                }
            }
            State::Body(Framing::Chunked(chunked)) => {
                if chunked.read(&mut self.input, piece, usize::MAX, self.limits.head)? {
                    self.state = State::Complete;
                }
            }
            State::Body(Framing::Length(left)) => {
                let n = (*left).min(self.input.len());
                piece.extend_from_slice(&self.input.split_to(n));
                *left -= n;
                if *left == 0 {
                    self.state = State::Complete;
                }
            }
            State::Body(Framing::Unstated | Framing::UntilEnd) => {
                piece.extend_from_slice(&self.input.split())
            }
            State::Complete => {}
        }
        Ok(())
    }
}
