//! An answer that stays open and brings data for as long as it lasts.

use bytes::{Bytes, BytesMut};

use crate::Limits;
use crate::answer::head;
use crate::body::{Framing, framing};
use crate::fault::Fault;

enum State {
    Head,
    Body(Framing),
    Over,
}

/// Reads the body of an answer piece by piece as it comes. How it is cut into pieces, chunks or lines means nothing: whoever reads it
/// finds its messages, and holds each against a limit. The limit on a body does not count here, as a stream has no length.
pub struct StreamDecoder {
    limits: Limits,
    input: BytesMut,
    state: State,
    status: Option<u16>,
    /// What ends it, behind what came before that.
    fault: Option<Fault>,
}

impl StreamDecoder {
    /// One that has read nothing.
    pub fn new(limits: Limits) -> Self {
        let limits = Limits { body: usize::MAX, ..limits };
        StreamDecoder { limits, input: BytesMut::new(), state: State::Head, status: None, fault: None }
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The answer's status, once it is known.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// The answer has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// What has come of the body since the last call; none if nothing has.
    ///
    /// # Errors
    /// It is no answer; the connection is to be closed.
    pub fn poll(&mut self) -> Result<Option<Bytes>, Fault> {
        let mut piece = BytesMut::new();
        while self.fault.is_none() {
            let before = (piece.len(), self.input.len());
            self.fault = self.advance(&mut piece).err();
            if before == (piece.len(), self.input.len()) {
                break;
            }
        }
        match self.fault {
            Some(fault) if piece.is_empty() => Err(fault),
            _ => Ok((!piece.is_empty()).then(|| piece.freeze())),
        }
    }

    fn advance(&mut self, piece: &mut BytesMut) -> Result<(), Fault> {
        match &mut self.state {
            State::Head => {
                if let Some(answer) = head(&mut self.input, &self.limits)?
                    && !(100..200).contains(&answer.status)
                {
                    self.status = Some(answer.status);
                    self.state = State::Body(framing(&answer.fields, &self.limits)?);
                }
            }
            State::Body(Framing::Chunked(chunked)) => {
                if chunked.read(&mut self.input, piece, usize::MAX, self.limits.head)? {
                    self.state = State::Over;
                }
            }
            State::Body(Framing::Length(left)) => {
                let n = (*left).min(self.input.len());
                piece.extend_from_slice(&self.input.split_to(n));
                *left -= n;
                if *left == 0 {
                    self.state = State::Over;
                }
            }
            State::Body(Framing::Unstated | Framing::UntilEnd) => {
                piece.extend_from_slice(&self.input.split())
            }
            State::Over => {}
        }
        Ok(())
    }
}
