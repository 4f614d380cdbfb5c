//! State of one connection with a peer.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::life::Life;
use crate::wire::{Decoder, Frame, PeerName};

/// A question that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingQuestion {
    pub(crate) deadline: Micros,
}

/// The stage of a connection.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waiting for the greeting of the other end.
    Greeting,
    /// Greetings were exchanged.
    Up { name: PeerName, life: Life },
}

/// A connection, dialled or accepted.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) stage: Stage,
    /// The dialled peer; `None` on an accepted connection.
    pub(crate) dialled: Option<PeerName>,
    pub(crate) opened_at: Micros,
    pub(crate) last_received: Micros,
    pub(crate) last_sent: Micros,
    /// Reported as quiet, with nothing received since.
    pub(crate) reported_quiet: bool,
    pub(crate) decoder: Decoder,
    /// Bytes passed to the connection that are not written yet.
    pub(crate) unwritten: usize,
    /// Open questions of this side, by number.
    pub(crate) pending_questions: BTreeMap<u64, PendingQuestion>,
    /// Open questions of the other side.
    pub(crate) unanswered: BTreeSet<u64>,
}

impl Session {
    pub(crate) fn new(dialled: Option<PeerName>, now: Micros) -> Self {
        Session {
            stage: Stage::Greeting,
            dialled,
            opened_at: now,
            last_received: now,
            last_sent: now,
            reported_quiet: false,
            decoder: Decoder::default(),
            unwritten: 0,
            pending_questions: BTreeMap::new(),
            unanswered: BTreeSet::new(),
        }
    }

    /// The peer at the other end, once its greeting arrived.
    pub(crate) fn peer(&self) -> Option<(&PeerName, Life)> {
        match &self.stage {
            Stage::Greeting => None,
            Stage::Up { name, life } => Some((name, *life)),
        }
    }

    /// Encodes a frame to send and counts its bytes as unwritten.
    pub(crate) fn encode_frame(&mut self, now: Micros, frame: &Frame) -> Option<Vec<u8>> {
        let bytes = frame.encode()?;
        self.last_sent = now;
        self.unwritten += bytes.len();
        Some(bytes)
    }
}
