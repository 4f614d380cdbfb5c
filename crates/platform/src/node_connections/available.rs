//! Connections that become available, and the attempts that wait for them.

use super::*;

impl NodeConnections {
    /// Handles an established connection: the attempt that waits for it may start. If its node's address has
    /// changed meanwhile, the connection is useless.
    pub(crate) fn established(&mut self, now: Micros, id: ConnectionId) -> ConnectionUpdate {
        let Some(connection) = self.connections.get_mut(&id) else { return ConnectionUpdate::default() };
        let Phase::Connecting(waiting) = &mut connection.phase else { return ConnectionUpdate::default() };
        let waiting = waiting.take();
        self.timers.remove(&(connection.since + self.connect_timeout, id));
        let node = connection.node;
        if self.addresses.get(&node) != Some(&connection.address) {
            self.remove(id);
            let reassign = waiting.map(|attempt| (attempt, node));
            if let Some((attempt, _)) = reassign {
                self.by_attempt.remove(&attempt);
            }
            return ConnectionUpdate { close: true, reassign, ..ConnectionUpdate::default() };
        }
        let next = match waiting {
            Some(attempt) => {
                (connection.phase, connection.since) = (Phase::Busy(attempt), now);
                self.remove_connecting(node, id);
                Some(attempt)
            }
            None => self.make_available(now, id),
        };
        ConnectionUpdate { start: next, ..ConnectionUpdate::default() }
    }

    /// Handles an attempt that is no longer valid when its connection becomes available; nothing was written.
    /// Returns the attempt that may start on the connection instead.
    pub(crate) fn start_declined(&mut self, now: Micros, id: ConnectionId) -> Option<AttemptId> {
        if let Some(Phase::Busy(attempt)) = self.connections.get(&id).map(|c| &c.phase) {
            self.by_attempt.remove(attempt);
        }
        self.make_available(now, id)
    }

    /// Returns the attempts that wait for a connection, sorted.
    pub(crate) fn waiting_attempts(&self) -> Vec<AttemptId> {
        let waits = |id: &ConnectionId| {
            self.connections
                .get(id)
                .is_some_and(|c| matches!(c.phase, Phase::Connecting(_) | Phase::CoolingDown(_)))
        };
        let mut waiting: Vec<AttemptId> =
            self.by_attempt.iter().filter(|(_, id)| waits(id)).map(|(attempt, _)| *attempt).collect();
        waiting.sort_unstable();
        waiting
    }

    /// Returns the connection on which an attempt was sent or for which it waits.
    pub(crate) fn connection_of(&self, attempt: AttemptId) -> Option<ConnectionId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Makes a connection available. The attempt that waited longest for a new connection to the same node
    /// uses it, and the connection being established serves a later one: establishing costs the node work and
    /// the attempt time. Returns that attempt.
    pub(super) fn make_available(&mut self, now: Micros, id: ConnectionId) -> Option<AttemptId> {
        let (node, address) = self.connections.get(&id).map(|c| (c.node, c.address))?;
        let connecting = self.connecting_by_node.get(&node).into_iter().flatten().copied();
        let replaced =
            connecting.filter(|i| self.connections.get(i).is_some_and(|c| c.address == address)).min();
        let waiting = replaced.and_then(|i| match self.connections.get_mut(&i).map(|c| &mut c.phase) {
            Some(Phase::Connecting(waiting)) => waiting.take(),
            _ => None,
        });
        if let Some(replaced) = replaced {
            self.remove_connecting(node, replaced);
        }
        let connection = self.connections.get_mut(&id)?;
        connection.since = now;
        if let Some(attempt) = waiting {
            connection.phase = Phase::Busy(attempt);
            self.by_attempt.insert(attempt, id);
            return Some(attempt);
        }
        connection.phase = Phase::Idle;
        self.idle_by_node.entry(node).or_default().push(id);
        self.timers.insert((now + self.idle_timeout, id));
        None
    }

    pub(super) fn remove_connecting(&mut self, node: NodeId, id: ConnectionId) {
        if let Some(connecting) = self.connecting_by_node.get_mut(&node) {
            connecting.retain(|&i| i != id);
            if connecting.is_empty() {
                self.connecting_by_node.remove(&node);
            }
        }
    }
}
