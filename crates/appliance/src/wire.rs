//! The protocol between consoles and the appliance.
//!
//! Each frame is its length as four bytes, little endian, and a JSON text of that length. The console begins with
//! [`Hello`]; the appliance answers with [`ToConsole::Welcome`], or with [`ToConsole::Turned`] and closes if it does not
//! speak the console's version. From then on every [`FromConsole::Ask`] gets one [`ToConsole::Answer`] under its number. A
//! console that subscribed gets a snapshot, then changes; one that reads too slowly gets a fresh snapshot in place of the
//! changes that it missed.

use std::io::{self, Read, Write};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use steering::{Entry, Request, Verdict};

use crate::view::{Event, GatewayView, SiteView};

/// The protocol's version. One of another major version is turned away with this one's number.
pub const VERSION: u32 = 1;
/// The longest frame.
pub const LONGEST: u32 = 8 << 20;

/// The first frame of a console.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its version of the protocol.
    pub version: u32,
    /// Who sits at it.
    pub who: String,
}

/// What a console asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Question {
    /// The whole view, once.
    View,
    /// The view, then its changes.
    Subscribe,
    /// Change what the operators want.
    Intent(Request),
    /// The audit record, the last so many entries.
    Log(usize),
    /// Start again what was given up.
    Revive,
    /// Stop the site in order.
    Stop,
}

/// A frame from a console.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FromConsole {
    /// Its number, handed back with the answer.
    pub number: u64,
    /// What.
    pub question: Question,
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// The whole view.
    View(Box<SiteView>),
    /// Subscribed, stopped, revived.
    Done,
    /// What became of an intent.
    Verdict(Verdict),
    /// Entries.
    Log(Vec<Entry>),
}

/// A change of the view.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Update {
    /// The whole view: the first, or in place of changes that were missed.
    Snapshot(Box<SiteView>),
    /// A gateway's state.
    Gateway(Box<GatewayView>),
    /// Everything of the view but the gateways.
    Site(Box<SiteView>),
    /// Something happened.
    Event(Event),
}

/// A frame to a console.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ToConsole {
    /// The console may ask.
    Welcome {
        /// The appliance's version of the protocol.
        version: u32,
        /// Name of the site.
        site: String,
    },
    /// The console is turned away.
    Turned {
        /// The appliance's version of the protocol.
        version: u32,
        /// Why, and what to do.
        why: String,
    },
    /// An answer.
    Answer {
        /// Number of the question.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// A change of the view.
    Update(Update),
}

/// A frame's bytes.
///
/// # Errors
/// It would be too long.
pub fn frame(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let json = serde_json::to_vec(value).map_err(io::Error::other)?;
    let length = u32::try_from(json.len()).ok().filter(|&n| n <= LONGEST);
    let length = length.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the frame is too long"))?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&json);
    Ok(bytes)
}

/// Writes a frame.
///
/// # Errors
/// The connection.
pub fn write(to: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    to.write_all(&frame(value)?)
}

/// Reads a frame; `None` at the end.
///
/// # Errors
/// The connection, a frame that is too long or cut off, or one that is not understood.
pub fn read<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<Option<T>> {
    let mut length = [0; 4];
    match from.read_exact(&mut length) {
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        other => other?,
    }
    let length = u32::from_le_bytes(length);
    if length > LONGEST {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a frame of {length} bytes")));
    }
    let mut json = vec![0; length as usize];
    from.read_exact(&mut json)?;
    serde_json::from_slice(&json).map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
