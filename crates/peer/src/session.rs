//! One connection's talk with one peer, from its first words to its end.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::life::Life;
use crate::wire::{Decoder, Frame, PeerName};

/// A question that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Open {
    pub(crate) deadline: Micros,
}

/// How far a connection has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// The other's first words are waited for.
    Greeting,
    /// Both know who the other is.
    Up { name: PeerName, life: Life },
}

/// A connection, whoever opened it.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) stage: Stage,
    /// The peer that was dialled; none on a connection that came in.
    pub(crate) dialled: Option<PeerName>,
    pub(crate) since: Micros,
    pub(crate) heard: Micros,
    pub(crate) spoke: Micros,
    /// Told as quiet, and not heard since.
    pub(crate) quiet: bool,
    pub(crate) decoder: Decoder,
    /// Bytes handed to the connection that it has not taken yet.
    pub(crate) unwritten: usize,
    /// Questions of this side, by number.
    pub(crate) asked: BTreeMap<u64, Open>,
    /// Questions of the other side that are not answered yet.
    pub(crate) owed: BTreeSet<u64>,
}

impl Session {
    pub(crate) fn new(dialled: Option<PeerName>, now: Micros) -> Self {
        Session {
            stage: Stage::Greeting,
            dialled,
            since: now,
            heard: now,
            spoke: now,
            quiet: false,
            decoder: Decoder::default(),
            unwritten: 0,
            asked: BTreeMap::new(),
            owed: BTreeSet::new(),
        }
    }

    /// Who is at the other end, once that is known.
    pub(crate) fn peer(&self) -> Option<(&PeerName, Life)> {
        match &self.stage {
            Stage::Greeting => None,
            Stage::Up { name, life } => Some((name, *life)),
        }
    }

    /// Bytes of a frame for the other side, counted as not taken yet.
    pub(crate) fn say(&mut self, now: Micros, frame: &Frame) -> Option<Vec<u8>> {
        let bytes = frame.encode()?;
        self.spoke = now;
        self.unwritten += bytes.len();
        Some(bytes)
    }
}
