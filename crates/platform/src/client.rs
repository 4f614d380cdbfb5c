//! State of client connections.

use std::collections::BTreeSet;

use decisions::{Micros, RequestId};
use http1::{Limits, RequestDecoder};

use crate::arrivals::Arrivals;
use crate::input_budget::{FREE_BYTES, Room};

/// A connection closed for writing, whose input is still read and discarded so that the peer can read the
/// last response.
pub(crate) struct Lingering {
    /// Bytes that may still be discarded.
    pub(crate) bytes_left: usize,
    /// When the connection is closed whatever is pending.
    pub(crate) close_at: Micros,
}

/// How many requests of a client were handled in the latest turn in which there were any.
#[derive(Clone, Copy, Default)]
pub(crate) struct HandledInTurn {
    turn: u64,
    requests: u32,
}

impl HandledInTurn {
    /// Counts one more request; returns false, and does not count it, if `max` were handled in this turn.
    pub(crate) fn count(&mut self, turn: u64, max: u32) -> bool {
        if self.turn != turn {
            *self = HandledInTurn { turn, requests: 0 };
        }
        let is_allowed = self.requests < max;
        self.requests += u32::from(is_allowed);
        is_allowed
    }
}

/// A client's connection.
pub(crate) struct ClientConnection {
    pub(crate) decoder: RequestDecoder,
    /// Maximum size of a head in bytes.
    head_limit: usize,
    pub(crate) arrivals: Arrivals,
    /// Start of the current wait: when the connection was accepted, its last response was written, or a
    /// request began to arrive.
    pub(crate) waiting_since: Micros,
    /// How long after that a complete request must have arrived.
    pub(crate) request_timeout: Micros,
    /// When its timer fires.
    pub(crate) timer_at: Micros,
    /// The request without a final response, and whether the connection is kept after it.
    pub(crate) open_request: Option<(RequestId, bool)>,
    /// An admitted request on this connection has been answered.
    pub(crate) served: bool,
    /// Number of bytes received after the open request and discarded; once there are any, no further request
    /// on this connection can be parsed.
    pub(crate) discarded_bytes: usize,
    /// The connection was to be closed but had input or output pending, which hasn't been handled yet.
    pub(crate) close_declined: bool,
    /// Its part of the memory for requests.
    pub(crate) room: Room,
    /// Number of its requests handled in a turn of the machine.
    pub(crate) handled: HandledInTurn,
    /// It waits for its next turn with input that was not handled.
    pub(crate) awaits_turn: bool,
    /// Its reader may deliver input; otherwise reading has stopped.
    pub(crate) is_reading: bool,
    /// The room for which the connection waits unread.
    pub(crate) needed_room: Option<usize>,
    /// Set once the connection is closed for writing; further input is discarded.
    pub(crate) lingering: Option<Lingering>,
}

impl ClientConnection {
    pub(crate) fn new(now: Micros, limits: Limits, request_timeout: Micros) -> Self {
        ClientConnection {
            decoder: RequestDecoder::new(limits),
            head_limit: limits.head,
            arrivals: Arrivals::default(),
            waiting_since: now,
            request_timeout,
            timer_at: now,
            open_request: None,
            served: false,
            discarded_bytes: 0,
            close_declined: false,
            room: Room::default(),
            handled: HandledInTurn::default(),
            awaits_turn: false,
            is_reading: true,
            needed_room: None,
            lingering: None,
        }
    }

    /// Whether input is read and discarded.
    pub(crate) fn discards_input(&self) -> bool {
        self.lingering.is_some() || self.discarded_bytes > 0
    }

    /// The room needed for what arrives: none beyond [`FREE_BYTES`] for the beginning of a request, then that
    /// of a head, then that of its body.
    pub(crate) fn arriving_room(&self) -> usize {
        let buffered = self.decoder.buffered_bytes();
        match self.decoder.body_size() {
            _ if self.lingering.is_some() => 0,
            Some(size) => size.max(buffered),
            None if buffered < FREE_BYTES => buffered,
            None => buffered.max(self.head_limit),
        }
    }

    /// Whether the connection has no open request, no lingering close and no part of a further request.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_request.is_none() && self.lingering.is_none() && self.decoder.is_idle()
    }
}

/// Timers of client connections, one each.
#[derive(Default)]
pub(crate) struct ClientTimers(BTreeSet<(Micros, u64)>);

impl ClientTimers {
    pub(crate) fn set(&mut self, client: &mut ClientConnection, id: u64, at: Micros) {
        self.0.remove(&(client.timer_at, id));
        client.timer_at = at;
        self.0.insert((at, id));
    }

    pub(crate) fn remove(&mut self, client: &ClientConnection, id: u64) {
        self.0.remove(&(client.timer_at, id));
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|f| f.0)
    }

    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<u64> {
        if self.0.first()?.0 > now {
            return None;
        }
        self.0.pop_first().map(|f| f.1)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
