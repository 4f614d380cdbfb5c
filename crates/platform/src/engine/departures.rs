//! Clients that leave while their connections are not being read.

use super::*;

/// Interval of looking whether clients that are not being read have left. An attempt may begin for 0.1 s after
/// its client has closed.
const DEPARTURE_CHECK_INTERVAL: Micros = 20_000;

impl Engine {
    /// When clients that are not being read are looked at next.
    pub(super) fn next_departure_check(&self) -> Micros {
        if self.machine.has_unread_clients() {
            self.last_departure_check + DEPARTURE_CHECK_INTERVAL
        } else {
            Micros::MAX
        }
    }

    /// Ends the connections of clients that have left while they are not being read. A reader notices such an
    /// end only when it reads on, and until then attempts would begin for nobody.
    pub(super) fn end_departed_clients(&mut self, now: Micros) {
        if now < self.next_departure_check() {
            return;
        }
        self.last_departure_check = now;
        let is_client = |socket: &SocketId| matches!(socket, SocketId::Client(_));
        let departed: Vec<SocketId> = self
            .connections
            .iter()
            .filter(|(socket, connection)| is_client(socket) && connection.has_left_unread())
            .map(|(socket, _)| *socket)
            .collect();
        for socket in departed {
            self.close(socket);
            self.machine.connection_ended(now, socket, ConnectionEnd::Orderly);
        }
        self.perform_outputs(now);
    }
}
