//! What a relay can be told to do.

use std::net::SocketAddr;

use records::Micros;
use serde::{Deserialize, Serialize};

/// Ways of a link that an order is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    /// From the one who connected.
    Forth,
    /// To the one who connected.
    Back,
    /// Both.
    #[default]
    Both,
}

impl Side {
    pub(crate) fn has(self, forth: bool) -> bool {
        match self {
            Side::Forth => forth,
            Side::Back => !forth,
            Side::Both => true,
        }
    }
}

/// What is done to a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Bytes are held, in order and without end, until `release`: a cut, if nobody lets go.
    Hold(Side),
    /// What was held goes on.
    Release(Side),
    /// Each piece comes so much later, in microseconds, and up to the jitter more, drawn.
    Delay {
        /// Ways.
        #[serde(default)]
        side: Side,
        /// How much later.
        us: Micros,
        /// Up to so much more.
        #[serde(default)]
        jitter_us: Micros,
    },
    /// At most so many bytes a second; 0: no bound.
    Throttle {
        /// Ways.
        #[serde(default)]
        side: Side,
        /// Bytes a second.
        bytes_per_s: u64,
    },
    /// Each connection is reset after so many more bytes on the way, wherever that is in a frame.
    BreakAfter {
        /// Ways.
        #[serde(default)]
        side: Side,
        /// Bytes that still pass.
        bytes: u64,
    },
    /// All connections are reset now.
    Reset,
    /// New connections are refused, or taken again.
    Refuse(bool),
    /// New connections are taken and nothing is carried on them; those that are there go on. Off: they are carried.
    Handshake(bool),
    /// New connections lead elsewhere.
    Lead(SocketAddr),
    /// All of it is over; what was held goes on.
    Clear,
}

pub(crate) fn every() -> String {
    "*".to_owned()
}

/// An order: what is done to which links. In a name, `*` at the end stands for any rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Who connects.
    #[serde(default = "every")]
    pub from: String,
    /// Whom it leads to.
    #[serde(default = "every")]
    pub to: String,
    /// What is done.
    pub what: What,
}

impl Order {
    /// An order for the links from one to another.
    pub fn new(from: &str, to: &str, what: What) -> Self {
        Order { from: from.to_owned(), to: to.to_owned(), what }
    }

    /// Whether a link with these ends is meant.
    pub fn meets(&self, from: &str, to: &str) -> bool {
        let one = |pattern: &str, name: &str| match pattern.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => pattern == name,
        };
        one(&self.from, from) && one(&self.to, to)
    }
}
