//! The permission to write one attempt.

use decisions::{Micros, NodeId};

use crate::attempt::AttemptId;

/// The permission to write one attempt to its node now.
///
/// Only [`Dispatcher::begin_write`](crate::Dispatcher::begin_write) and
/// [`Dispatcher::begin_copy`](crate::Dispatcher::begin_copy) create one, at the moment of the write, and it can
/// be neither copied nor made by others. What writes to a node takes it by value, so that nothing can be
/// written without having been asked about. It is to be used or dropped at once, never stored: its answer ages.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct WritePermit {
    attempt: AttemptId,
    node: NodeId,
    time_left: Micros,
}

impl WritePermit {
    pub(crate) fn new(attempt: AttemptId, node: NodeId, time_left: Micros) -> Self {
        WritePermit { attempt, node, time_left }
    }

    /// Returns the attempt that may be written.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the node to write it to.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the time that is left until the attempt's deadline, in microseconds.
    pub fn time_left(&self) -> Micros {
        self.time_left
    }
}
