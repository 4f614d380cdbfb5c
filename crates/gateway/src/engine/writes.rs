//! The way of attempts into the sockets of nodes: each is asked about once more at the moment of its write.
//!
//! An attempt may have waited for its connection, for the write journal or for room in the socket, and what was
//! true when it was decided on may no longer hold. Whatever it waited for, it passes through here.

use decisions::{NodeId, Outcome};
use storage_core::{AttemptEnd, AttemptId, Micros, PermittedAttempt};

use super::Engine;
use crate::node_connection::{NodeConnection, Waiting};

/// Most attempts that are asked about and written together.
const ATTEMPTS_PER_WRITE: usize = 64;

impl Engine {
    /// Adds an attempt to those that wait for the connection to their node.
    pub(super) fn enqueue_attempt(&mut self, now: Micros, attempt: AttemptId, node: NodeId) {
        let connection = self.node_connections.get(&node);
        match connection.map_or(Waiting::Unreachable, |connection| connection.enqueue(attempt)) {
            Waiting::ToBeWritten => _ = self.nodes_to_write.insert(node),
            Waiting::ForConnection => self.core.await_write(now, attempt, &mut self.effects),
            Waiting::Unreachable => {
                self.on_attempt_ended(now, attempt, AttemptEnd::without_data(Outcome::Unreachable));
            }
        }
    }

    /// Writes the attempts that wait for connections which can write now.
    pub(super) fn write_attempts(&mut self) {
        while let Some(node) = self.nodes_to_write.pop_first() {
            if let Some(connection) = self.node_connections.get(&node).cloned() {
                self.write_attempts_of(&connection);
            }
            self.apply_effects(self.front_end.clock.now());
        }
    }

    fn write_attempts_of(&mut self, connection: &NodeConnection) {
        loop {
            let waiting = connection.take_waiting(ATTEMPTS_PER_WRITE);
            if waiting.is_empty() {
                return;
            }
            let now = self.front_end.clock.now();
            let permitted =
                waiting.into_iter().filter_map(|attempt| self.begin_write(now, attempt)).collect();
            let unwritten = connection.write(permitted);
            unwritten.ended.into_iter().for_each(|(attempt, end)| self.on_attempt_ended(now, attempt, end));
            if !unwritten.not_begun.is_empty() {
                connection.put_back(&unwritten.not_begun);
                for attempt in connection.waiting() {
                    self.core.await_write(now, attempt, &mut self.effects);
                }
                return;
            }
        }
    }

    /// Asks whether an attempt is still wanted. One that is not ends as never sent.
    fn begin_write(&mut self, now: Micros, attempt: AttemptId) -> Option<PermittedAttempt> {
        let permitted = self.core.begin_write(now, attempt, &mut self.effects);
        if permitted.is_none() {
            self.on_attempt_ended(now, attempt, AttemptEnd::without_data(Outcome::NotSent));
        }
        permitted
    }

    /// Ends the attempts that wait for these nodes and are no longer wanted, so that the scheduler decides again
    /// at once and not when their connections are up.
    pub(super) fn drop_unwanted_attempts(&mut self, now: Micros, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            let Some(connection) = self.node_connections.get(&node).cloned() else { continue };
            for attempt in connection.waiting() {
                if !self.core.is_still_valid(now, attempt) {
                    connection.forget(attempt);
                    self.on_attempt_ended(now, attempt, AttemptEnd::without_data(Outcome::NotSent));
                }
            }
        }
    }
}
