//! One connection's frames for those who are not in a mesh of pairs: who is at the other end, notes, questions, beats.
//!
//! It has no time, retries or limits: its user bounds what it leaves unwritten and how long it bears silence.

use crate::life::Life;
use crate::wire::{Decoder, Frame, Hello, Kind, PeerName, Reason, VERSIONS, WireError};

/// Who one end of a connection is.
#[derive(Clone, Debug, PartialEq)]
pub struct Greeting {
    /// What tells this site from another.
    pub site: u64,
    /// Its name.
    pub name: PeerName,
    /// The life it is in.
    pub life: Life,
}

/// What the other end said.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// Its first words; told once, before all else.
    Hello(Greeting),
    /// It is there.
    Beat,
    /// A question.
    Ask {
        /// The number that its answer has to bear.
        id: u64,
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// An answer to a question of this side.
    Answer {
        /// The question's number.
        id: u64,
        /// Its body.
        body: Vec<u8>,
    },
    /// A question of this side will get no answer.
    Pass {
        /// The question's number.
        id: u64,
    },
    /// Something it tells.
    Note {
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// It ends the connection; in words, why.
    Bye(&'static str),
}

/// Why a connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChannelError {
    /// What came is no frame, or none that is taken.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The other end belongs to another site.
    #[error("the other end is of another site ({0:016x})")]
    Site(u64),
    /// No version of the protocol in common.
    #[error("the other end speaks versions {0} to {1} of the protocol, this one {least} to {most}", least = VERSIONS.0, most = VERSIONS.1)]
    Version(u16, u16),
    /// It did not begin with its greeting, or gave it twice.
    #[error("the other end does not keep to the order of the protocol")]
    Order,
}

/// Frames of one connection.
#[derive(Debug)]
pub struct Channel {
    site: u64,
    greeted: bool,
    decoder: Decoder,
}

impl Channel {
    /// A connection on which the other end has to be of this site.
    pub fn new(site: u64) -> Self {
        Channel { site, greeted: false, decoder: Decoder::default() }
    }

    /// Whether the other end has said who it is.
    pub fn is_greeted(&self) -> bool {
        self.greeted
    }

    /// Takes bytes that came in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.decoder.receive(bytes);
    }

    /// The next word; none until more bytes come.
    ///
    /// # Errors
    /// The connection has to end: nothing behind this can be trusted.
    pub fn poll(&mut self) -> Result<Option<Word>, ChannelError> {
        loop {
            let Some(frame) = self.decoder.poll()? else { return Ok(None) };
            let word = match frame {
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
                    Reason::Else => "it does not say why",
                }),
                Frame::Hello(_) => return Err(ChannelError::Order),
                _ if !self.greeted => return Err(ChannelError::Order),
                Frame::Beat => Word::Beat,
                Frame::Ask { id, kind, body } => Word::Ask { id, kind, body },
                Frame::Answer { id, body } => Word::Answer { id, body },
                Frame::Pass { id } => Word::Pass { id },
                Frame::Note { kind, body } => Word::Note { kind, body },
                // A later version's.
                Frame::Unknown => continue,
            };
            return Ok(Some(word));
        }
    }
}

/// Bytes of the first frame on a connection.
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

/// Bytes of a sign of life.
pub fn beat() -> Vec<u8> {
    bytes(&Frame::Beat)
}

/// Bytes of a note; none if it is longer than a frame may be.
pub fn note(kind: Kind, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Note { kind, body }.encode()
}

/// Bytes of a question; none if it is longer than a frame may be.
pub fn ask(id: u64, kind: Kind, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Ask { id, kind, body }.encode()
}

/// Bytes of an answer; none if it is longer than a frame may be.
pub fn answer(id: u64, body: Vec<u8>) -> Option<Vec<u8>> {
    Frame::Answer { id, body }.encode()
}

/// Bytes that pass a question.
pub fn pass(id: u64) -> Vec<u8> {
    bytes(&Frame::Pass { id })
}

/// Bytes of last words to a stranger.
pub fn bye_stranger() -> Vec<u8> {
    bytes(&Frame::Bye(Reason::Stranger))
}

/// Frames that are short whatever they hold.
fn bytes(frame: &Frame) -> Vec<u8> {
    frame.encode().unwrap_or_default()
}
