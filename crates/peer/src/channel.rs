//! Framing of a single connection for users outside a mesh: greeting, notes, questions and heartbeats.
//!
//! It has no timers, retries or limits: the user bounds unwritten bytes and the tolerated silence.

use crate::life::Life;
use crate::wire::{Decoder, Frame, Hello, Kind, PeerName, Reason, VERSIONS, WireError};

/// The identity of one end of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Greeting {
    /// Identifies the site.
    pub site: u64,
    /// The gateway's name.
    pub name: PeerName,
    /// Its current life.
    pub life: Life,
}

/// A message received from the other end.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// The greeting; returned once, before any other message.
    Hello(Greeting),
    /// A heartbeat.
    Beat,
    /// A question.
    Ask {
        /// The question's number, which its answer repeats.
        id: u64,
        /// The topic.
        kind: Kind,
        /// The body.
        body: Vec<u8>,
    },
    /// An answer to a question of this side.
    Answer {
        /// The question's number.
        id: u64,
        /// The body.
        body: Vec<u8>,
    },
    /// The other end declines to answer a question of this side.
    Pass {
        /// The question's number.
        id: u64,
    },
    /// A one-way message.
    Note {
        /// The topic.
        kind: Kind,
        /// The body.
        body: Vec<u8>,
    },
    /// The other end closes the connection, with a reason for operators.
    Bye(&'static str),
}

/// Why a connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChannelError {
    /// The bytes are not an acceptable frame.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The other end belongs to another site.
    #[error("the other end is of another site ({0:016x})")]
    Site(u64),
    /// There is no common protocol version.
    #[error("the other end speaks versions {0} to {1} of the protocol, this one {least} to {most}", least = VERSIONS.0, most = VERSIONS.1)]
    Version(u16, u16),
    /// The greeting was not first, or came twice.
    #[error("the other end violates the message order of the protocol")]
    Order,
}

/// Decodes the frames of one connection.
#[derive(Debug)]
pub struct Channel {
    site: u64,
    greeted: bool,
    decoder: Decoder,
}

impl Channel {
    /// Creates a channel that accepts only the given site.
    pub fn new(site: u64) -> Self {
        Channel { site, greeted: false, decoder: Decoder::default() }
    }

    /// Whether the other end has sent its greeting.
    pub fn is_greeted(&self) -> bool {
        self.greeted
    }

    /// Appends received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.decoder.receive(bytes);
    }

    /// Returns the next message; `None` until more bytes arrive.
    ///
    /// # Errors
    /// The connection must be closed: nothing after the error can be trusted.
    pub fn poll(&mut self) -> Result<Option<Word>, ChannelError> {
        loop {
            let Some(frame) = self.decoder.poll()? else { return Ok(None) };
            let message = match frame {
                Frame::Hello(hello) if !self.greeted => {
                    if hello.site != self.site {
                        return Err(ChannelError::Site(hello.site));
                    }
                    if hello.least > VERSIONS.1 || hello.most < VERSIONS.0 {
                        return Err(ChannelError::Version(hello.least, hello.most));
                    }
                    self.greeted = true;
                    Word::Hello(Greeting { site: hello.site, name: hello.name, life: hello.life })
                }
                Frame::Bye(reason) => Word::Bye(match reason {
                    Reason::Stale(_) => "a later life of this name was seen",
                    Reason::Version => "no version in common",
                    Reason::Stranger => "it does not know this name or site",
                    Reason::Else => "it gives no reason",
                }),
                Frame::Hello(_) => return Err(ChannelError::Order),
                _ if !self.greeted => return Err(ChannelError::Order),
                Frame::Beat => Word::Beat,
                Frame::Ask { id, kind, body } => Word::Ask { id, kind, body },
                Frame::Answer { id, body } => Word::Answer { id, body },
                Frame::Pass { id } => Word::Pass { id },
                Frame::Note { kind, body } => Word::Note { kind, body },
                // A frame of a later version.
                Frame::Unknown => continue,
            };
            return Ok(Some(message));
        }
    }
}

/// Encodes the greeting, the first frame on a connection.
pub fn hello(greeting: &Greeting) -> Vec<u8> {
    let hello = Hello {
        least: VERSIONS.0,
        most: VERSIONS.1,
        site: greeting.site,
        name: greeting.name.clone(),
        life: greeting.life,
        seen: None,
    };
    bytes(&Frame::Hello(hello))
}

/// Encodes a heartbeat.
pub fn beat() -> Vec<u8> {
    bytes(&Frame::Beat)
}

/// Encodes a note; `None` if it exceeds the frame limit.
pub fn note(kind: Kind, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Note { kind, body }.encode()
}

/// Encodes a question; `None` if it exceeds the frame limit.
pub fn ask(id: u64, kind: Kind, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Ask { id, kind, body }.encode()
}

/// Encodes an answer; `None` if it exceeds the frame limit.
pub fn answer(id: u64, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Answer { id, body }.encode()
}

/// Encodes the refusal to answer a question.
pub fn pass(id: u64) -> Vec<u8> {
    bytes(&Frame::Pass { id })
}

/// Encodes the closing frame for an unknown peer.
pub fn bye_stranger() -> Vec<u8> {
    bytes(&Frame::Bye(Reason::Stranger))
}

/// Encodes a frame that is always below the size limit.
fn bytes(frame: &Frame) -> Vec<u8> {
    frame.encode().unwrap_or_default()
}
