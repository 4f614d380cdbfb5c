//! Clients' connections.

use std::collections::BTreeSet;

use decisions::{Micros, RequestId};
use http1::{Limits, RequestDecoder};

use crate::arrivals::Arrivals;

/// A connection that is told its end, and read on so that the peer can read what was written last.
pub(crate) struct Leaving {
    /// Bytes that are still read.
    pub(crate) left: usize,
    /// When it is closed whatever is under way.
    pub(crate) last: Micros,
}

/// A client's connection.
pub(crate) struct Client {
    pub(crate) decoder: RequestDecoder,
    pub(crate) arrivals: Arrivals,
    /// Since when it owes us something: when it was accepted, or its last answer went out, or a request began to come.
    pub(crate) since: Micros,
    /// For how long from then a whole request is waited for.
    pub(crate) patience: Micros,
    /// When it is looked at next.
    pub(crate) due: Micros,
    /// The request that is owed an answer, and whether the connection is kept after it.
    pub(crate) open: Option<(RequestId, bool)>,
    /// It has brought a request that was taken, and has its answer.
    pub(crate) served: bool,
    /// Bytes behind its open request that were thrown away: no further request of it can be told any more.
    pub(crate) spilled: usize,
    /// Its connection was to be closed and something was under way on it, which is not seen yet.
    pub(crate) crossed: bool,
    /// Nothing more is written to it; what still comes is thrown away.
    pub(crate) leaving: Option<Leaving>,
}

impl Client {
    pub(crate) fn new(now: Micros, limits: Limits, patience: Micros) -> Self {
        Client {
            decoder: RequestDecoder::new(limits),
            arrivals: Arrivals::default(),
            since: now,
            patience,
            due: now,
            open: None,
            served: false,
            spilled: 0,
            crossed: false,
            leaving: None,
        }
    }

    /// Nothing is owed either way: its last answer went out and nothing of a further request has come.
    pub(crate) fn is_idle(&self) -> bool {
        self.open.is_none() && self.leaving.is_none() && self.decoder.is_between()
    }
}

/// When connections are to be looked at.
#[derive(Default)]
pub(crate) struct Agenda(BTreeSet<(Micros, u64)>);

impl Agenda {
    pub(crate) fn set(&mut self, client: &mut Client, id: u64, at: Micros) {
        self.0.remove(&(client.due, id));
        client.due = at;
        self.0.insert((at, id));
    }

    pub(crate) fn remove(&mut self, client: &Client, id: u64) {
        self.0.remove(&(client.due, id));
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.0.first().map(|f| f.0)
    }

    pub(crate) fn pop(&mut self, now: Micros) -> Option<u64> {
        if self.0.first()?.0 > now {
            return None;
        }
        self.0.pop_first().map(|f| f.1)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
