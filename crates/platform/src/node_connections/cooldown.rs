//! Connections that have just delivered a response.

use super::*;

/// For this long after a response nothing is sent on its connection.
///
/// A node may send a response twice, the second some milliseconds later (the platform's page). A request sent
/// on the connection meanwhile would be answered with the response to another request. Within this time a
/// second response only ends the connection. Consecutive requests to one node within that time wait for the
/// rest of it or for a connection of their own: with 20 ms the median response time rose by 2 to 7 ms on
/// three days. Second responses were seen after 1.8 to 3.5 ms.
pub(super) const COOLDOWN: Micros = 10_000;

impl NodeConnections {
    /// Starts the cooldown of a connection that has delivered a response.
    pub(super) fn start_cooldown(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        (connection.phase, connection.since) = (Phase::CoolingDown(None), now);
        self.cooling_by_node.entry(connection.node).or_default().push_back(id);
        self.timers.insert((now + COOLDOWN, id));
    }

    /// Handles the end of a cooldown: the waiting attempt starts on the connection, if it still leads to its
    /// node.
    pub(super) fn cooldown_over(&mut self, now: Micros, id: ConnectionId) -> ConnectionUpdate {
        let Some(connection) = self.connections.get_mut(&id) else { return ConnectionUpdate::default() };
        let Phase::CoolingDown(waiting) = &mut connection.phase else { return ConnectionUpdate::default() };
        let (waiting, node) = (waiting.take(), connection.node);
        self.remove_cooling(node, id);
        if self.addresses.get(&node) != self.connections.get(&id).map(|c| &c.address) {
            self.connections.remove(&id);
            let reassign = waiting.map(|attempt| (attempt, node));
            if let Some((attempt, _)) = &reassign {
                self.by_attempt.remove(attempt);
            }
            return ConnectionUpdate { close: true, reassign, ..ConnectionUpdate::default() };
        }
        match (waiting, self.connections.get_mut(&id)) {
            (Some(attempt), Some(connection)) => {
                (connection.phase, connection.since) = (Phase::Busy(attempt), now);
                ConnectionUpdate { start: Some(attempt), ..ConnectionUpdate::default() }
            }
            _ => ConnectionUpdate { start: self.make_available(now, id), ..ConnectionUpdate::default() },
        }
    }

    pub(super) fn remove_cooling(&mut self, node: NodeId, id: ConnectionId) {
        if let Some(cooling) = self.cooling_by_node.get_mut(&node) {
            cooling.retain(|&i| i != id);
            if cooling.is_empty() {
                self.cooling_by_node.remove(&node);
            }
        }
    }
}
