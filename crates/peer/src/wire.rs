//! Frames between gateways.
//!
//! A frame is its length (4 bytes, little endian), a CRC32C of the rest (4) and a map in MessagePack with named fields.
//! Unknown fields and frames of unknown types are skipped, so that a later version may add either. A checksum mismatch ends
//! the connection, because the position of later frames can no longer be trusted.

use std::borrow::Borrow;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::life::Life;

/// Maximum frame length in bytes, without the 8-byte header.
pub const MOST: usize = 256 << 10;
/// Lowest and highest supported protocol version.
pub const VERSIONS: (u16, u16) = (1, 1);
const HEADER_BYTES: usize = 8;
/// Buffer capacity that a connection retains between frames.
const RETAINED_CAPACITY_BYTES: usize = 16 << 10;

/// A gateway's name, the same on all its peers.
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

/// Topic of a question or note; users of the protocol assign the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Kind(pub u16);

/// Why a frame cannot be accepted, which ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame is longer than [`MOST`].
    #[error("a frame of {0} bytes exceeds the limit of {MOST}")]
    TooLong(usize),
    /// The checksum does not match.
    #[error("a frame's checksum does not match")]
    Checksum,
    /// The frame is malformed.
    #[error("a frame cannot be decoded")]
    Form,
}

/// The first frame on a connection, sent by both ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) least: u16,
    pub(crate) most: u16,
    pub(crate) site: u64,
    pub(crate) name: PeerName,
    pub(crate) life: Life,
    /// The latest life of the receiver that the sender has seen.
    #[serde(default)]
    pub(crate) seen: Option<Life>,
}

/// Why the sender closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The receiver's life is over: a later one was seen under its name.
    Stale(Life),
    /// There is no common protocol version.
    Version,
    /// The gateway is of another site or not a configured peer.
    Stranger,
    /// Any other reason, including those of later versions.
    Else,
}

/// A reason as it is encoded.
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

/// A decoded frame.
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
    /// The question is not understood, or too many are open; there will be no answer.
    Pass {
        id: u64,
    },
    Note {
        kind: Kind,
        body: Vec<u8>,
    },
    Bye(Reason),
    /// A frame of an unknown type.
    Unknown,
}

/// The encoded map for all frame types; unused fields are omitted.
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
        let empty = Envelope::default();
        match self.clone() {
            Frame::Hello(hello) => Envelope { t: 1, hello: Some(hello), ..empty },
            Frame::Beat => Envelope { t: 2, ..empty },
            Frame::Ask { id, kind, body } => {
                Envelope { t: 3, id: Some(id), kind: Some(kind), body: Some(body), ..empty }
            }
            Frame::Answer { id, body } => Envelope { t: 4, id: Some(id), body: Some(body), ..empty },
            Frame::Pass { id } => Envelope { t: 5, id: Some(id), ..empty },
            Frame::Note { kind, body } => Envelope { t: 6, kind: Some(kind), body: Some(body), ..empty },
            Frame::Bye(reason) => Envelope { t: 7, bye: Some(reason.into()), ..empty },
            Frame::Unknown => Envelope { t: 0, ..empty },
        }
    }

    fn from_envelope(envelope: Envelope) -> Option<Frame> {
        Some(match envelope.t {
            1 => Frame::Hello(envelope.hello?),
            2 => Frame::Beat,
            3 => Frame::Ask { id: envelope.id?, kind: envelope.kind?, body: envelope.body? },
            4 => Frame::Answer { id: envelope.id?, body: envelope.body? },
            5 => Frame::Pass { id: envelope.id? },
            6 => Frame::Note { kind: envelope.kind?, body: envelope.body? },
            7 => Frame::Bye(envelope.bye.map_or(Reason::Else, Reason::from)),
            _ => Frame::Unknown,
        })
    }

    /// Encodes the frame; `None` if it is longer than [`MOST`].
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![0; HEADER_BYTES];
        // Writing to a vector does not fail.
        rmp_serde::encode::write_named(&mut bytes, &self.envelope()).ok()?;
        let length = bytes.len() - HEADER_BYTES;
        if length > MOST {
            return None;
        }
        let checksum = crc32c::crc32c(&bytes[HEADER_BYTES..]);
        bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
        bytes[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        Some(bytes)
    }
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub(crate) fn receive(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        // Releases a buffer larger than usual frames need, because there may be thousands of connections.
        if self.bytes.is_empty() && self.bytes.capacity() > RETAINED_CAPACITY_BYTES {
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete frame.
    pub(crate) fn poll(&mut self) -> Result<Option<Frame>, WireError> {
        let rest = &self.bytes[self.read..];
        let Some((head, rest)) = rest.split_at_checked(HEADER_BYTES) else { return Ok(None) };
        let header_field =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let length = header_field(0) as usize;
        // A corrupt length would otherwise make the decoder buffer data while waiting for bytes that never come.
        if length > MOST {
            return Err(WireError::TooLong(length));
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        if crc32c::crc32c(body) != header_field(4) {
            return Err(WireError::Checksum);
        }
        let envelope: Envelope = rmp_serde::from_slice(body).map_err(|_| WireError::Form)?;
        self.read += HEADER_BYTES + length;
        Frame::from_envelope(envelope).ok_or(WireError::Form).map(Some)
    }
}

/// Encodes the body of a question, answer or note in the format of frames.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Only a value that refuses serialization fails here; its receiver then cannot decode the empty body.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a body; `None` if it does not have this type.
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
    fn frames_round_trip_in_chunks_of_any_size() {
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
            assert_eq!(found, frames, "in chunks of {step}");
        }
    }

    #[test]
    fn unknown_fields_and_frames_are_skipped() {
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
    fn damaged_and_oversized_frames_are_errors() {
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
