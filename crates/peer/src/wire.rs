//! Frames between gateways.
//!
//! A frame is its length (4 bytes, little endian), a CRC32C of the rest (4) and a map in MessagePack with named fields.
//! Fields that are not known are passed over, as are whole frames of a sort that is not known, so that a later version may
//! add either. A sum that does not match ends the connection: nothing behind it can be trusted to be in step.

use std::borrow::Borrow;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::life::Life;

/// The longest frame, in bytes, without its first eight.
pub const MOST: usize = 256 << 10;
/// Versions of this protocol that are spoken here: least and most.
pub const VERSIONS: (u16, u16) = (1, 1);
const HEAD: usize = 8;
/// Bytes of room that a connection keeps between frames.
const KEPT: usize = 16 << 10;

/// A gateway's name, the same at all its peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PeerName(pub String);

impl fmt::Display for PeerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Borrow<str> for PeerName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for PeerName {
    fn from(name: &str) -> Self {
        PeerName(name.to_owned())
    }
}

/// What a question or a note is about; the numbers are its users'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Kind(pub u16);

/// Why a frame ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// It is longer than [`MOST`].
    #[error("a frame of {0} bytes is longer than the {MOST} that are taken")]
    TooLong(usize),
    /// Its sum does not match.
    #[error("a frame's checksum does not match")]
    Checksum,
    /// It is no frame.
    #[error("a frame cannot be read")]
    Form,
}

/// First words on a connection, both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) least: u16,
    pub(crate) most: u16,
    pub(crate) site: u64,
    pub(crate) name: PeerName,
    pub(crate) life: Life,
    /// The latest life that the sender has seen of the receiver.
    #[serde(default)]
    pub(crate) seen: Option<Life>,
}

/// Why a connection is ended by the one who says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The receiver's life is over, as a later one of its name was seen.
    Stale(Life),
    /// No version in common.
    Version,
    /// Another site's gateway, or one that is not in the list.
    Stranger,
    /// Anything a later version may say.
    Else,
}

/// A reason as it is written.
#[derive(Serialize, Deserialize)]
struct Bye {
    why: u8,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    seen: Option<Life>,
}

impl From<Reason> for Bye {
    fn from(reason: Reason) -> Bye {
        match reason {
            Reason::Stale(life) => Bye { why: 1, seen: Some(life) },
            Reason::Version => Bye { why: 2, seen: None },
            Reason::Stranger => Bye { why: 3, seen: None },
            Reason::Else => Bye { why: 0, seen: None },
        }
    }
}

impl From<Bye> for Reason {
    fn from(bye: Bye) -> Reason {
        match (bye.why, bye.seen) {
            (1, Some(life)) => Reason::Stale(life),
            (2, _) => Reason::Version,
            (3, _) => Reason::Stranger,
            _ => Reason::Else,
        }
    }
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    Hello(Hello),
    Beat,
    Ask {
        id: u64,
        kind: Kind,
        body: Vec<u8>,
    },
    Answer {
        id: u64,
        body: Vec<u8>,
    },
    /// The question is not understood, or too many are open: it will get no answer.
    Pass {
        id: u64,
    },
    Note {
        kind: Kind,
        body: Vec<u8>,
    },
    Bye(Reason),
    /// Of a sort that is not known here.
    Unknown,
}

/// All sorts of frames as one map; what a sort does not need is left out.
#[derive(Default, Serialize, Deserialize)]
struct Envelope {
    t: u8,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    id: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    kind: Option<Kind>,
    #[serde(default, skip_serializing_if = "Option::is_none", with = "serde_bytes")]
    body: Option<Vec<u8>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    hello: Option<Hello>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bye: Option<Bye>,
}

impl Frame {
    fn envelope(&self) -> Envelope {
        let e = Envelope::default();
        match self.clone() {
            Frame::Hello(hello) => Envelope { t: 1, hello: Some(hello), ..e },
            Frame::Beat => Envelope { t: 2, ..e },
            Frame::Ask { id, kind, body } => {
                Envelope { t: 3, id: Some(id), kind: Some(kind), body: Some(body), ..e }
            }
            Frame::Answer { id, body } => Envelope { t: 4, id: Some(id), body: Some(body), ..e },
            Frame::Pass { id } => Envelope { t: 5, id: Some(id), ..e },
            Frame::Note { kind, body } => Envelope { t: 6, kind: Some(kind), body: Some(body), ..e },
            Frame::Bye(reason) => Envelope { t: 7, bye: Some(reason.into()), ..e },
            Frame::Unknown => Envelope { t: 0, ..e },
        }
    }

    fn of(e: Envelope) -> Option<Frame> {
        Some(match e.t {
            1 => Frame::Hello(e.hello?),
            2 => Frame::Beat,
            3 => Frame::Ask { id: e.id?, kind: e.kind?, body: e.body? },
            4 => Frame::Answer { id: e.id?, body: e.body? },
            5 => Frame::Pass { id: e.id? },
            6 => Frame::Note { kind: e.kind?, body: e.body? },
            7 => Frame::Bye(e.bye.map_or(Reason::Else, Reason::from)),
            _ => Frame::Unknown,
        })
    }

    /// The frame's bytes; none if it is longer than [`MOST`].
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![0; HEAD];
        // A vector takes all that is written to it.
        rmp_serde::encode::write_named(&mut bytes, &self.envelope()).ok()?;
        let length = bytes.len() - HEAD;
        if length > MOST {
            return None;
        }
        let sum = crc32c::crc32c(&bytes[HEAD..]);
        bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
        bytes[4..HEAD].copy_from_slice(&sum.to_le_bytes());
        Some(bytes)
    }
}

/// Cuts a connection's bytes into frames.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Takes what came in.
    pub(crate) fn receive(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        // A connection keeps no more for good than its usual frames need: there may be thousands.
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame.
    pub(crate) fn poll(&mut self) -> Result<Option<Frame>, WireError> {
        let rest = &self.bytes[self.read..];
        let Some((head, rest)) = rest.split_at_checked(HEAD) else { return Ok(None) };
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let length = word(0) as usize;
        // Danger: a broken length would have us wait for bytes that never come, and hold what does.
        if length > MOST {
            return Err(WireError::TooLong(length));
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        if crc32c::crc32c(body) != word(4) {
            return Err(WireError::Checksum);
        }
        let envelope: Envelope = rmp_serde::from_slice(body).map_err(|_| WireError::Form)?;
        self.read += HEAD + length;
        Frame::of(envelope).ok_or(WireError::Form).map(Some)
    }
}

/// The body of a question, an answer or a note in the form that frames use.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Only a value that refuses to be serialized fails here; its reader then finds no body it can read.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Reads a body; none if it is not one of these.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::life::{Incarnation, Nonce};

    fn hello() -> Frame {
        let life = Life { incarnation: Incarnation(7), nonce: Nonce(9) };
        Frame::Hello(Hello { least: 1, most: 3, site: 5, name: "a".into(), life, seen: Some(life) })
    }

    #[test]
    fn frames_come_back_as_they_were_however_the_bytes_are_cut() {
        let frames = [
            hello(),
            Frame::Beat,
            Frame::Ask { id: 1, kind: Kind(3), body: vec![1, 2, 3] },
            Frame::Answer { id: 1, body: Vec::new() },
            Frame::Pass { id: 2 },
            Frame::Note { kind: Kind(4), body: vec![0; 3000] },
            Frame::Bye(Reason::Version),
            Frame::Bye(Reason::Stale(Life { incarnation: Incarnation(1), nonce: Nonce(2) })),
        ];
        let bytes: Vec<u8> = frames.iter().flat_map(|f| f.encode().expect("it fits")).collect();
        for step in [1, 2, 7, 1000, bytes.len()] {
            let (mut decoder, mut found) = (Decoder::default(), Vec::new());
            for piece in bytes.chunks(step) {
                decoder.receive(piece);
                while let Some(frame) = decoder.poll().expect("it is whole") {
                    found.push(frame);
                }
            }
            assert_eq!(found, frames, "in pieces of {step}");
        }
    }

    #[test]
    fn what_a_later_version_adds_is_passed_over() {
        #[derive(Serialize)]
        struct Later {
            t: u8,
            id: u64,
            body: serde_bytes::ByteBuf,
            colour: &'static str,
            more: Vec<(u8, String)>,
        }
        let frame = |t| {
            let later = Later {
                t,
                id: 4,
                body: serde_bytes::ByteBuf::from(vec![8]),
                colour: "blue",
                more: vec![(1, "x".into())],
            };
            let body = rmp_serde::to_vec_named(&later).expect("a body");
            let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
            bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
            bytes.extend_from_slice(&body);
            bytes
        };
        let mut decoder = Decoder::default();
        decoder.receive(&frame(4));
        decoder.receive(&frame(99));
        assert_eq!(decoder.poll(), Ok(Some(Frame::Answer { id: 4, body: vec![8] })));
        assert_eq!(decoder.poll(), Ok(Some(Frame::Unknown)));
        assert_eq!(decoder.poll(), Ok(None));
    }

    #[test]
    fn damage_and_lengths_without_end_are_told() {
        let good = hello().encode().expect("it fits");
        for at in 4..good.len() {
            let mut bytes = good.clone();
            bytes[at] ^= 0x10;
            let mut decoder = Decoder::default();
            decoder.receive(&bytes);
            assert_eq!(decoder.poll(), Err(WireError::Checksum), "byte {at}");
        }
        let mut decoder = Decoder::default();
        decoder.receive(&[255; 8]);
        assert_eq!(decoder.poll(), Err(WireError::TooLong(u32::MAX as usize)));
        assert_eq!(Frame::Note { kind: Kind(1), body: vec![0; MOST] }.encode(), None);
    }
}
