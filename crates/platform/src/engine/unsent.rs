//! Counts the answers that wait for clients which do not read.

use super::*;
use transport::Outlet;

/// Interval of counting anew while answers wait.
const COUNT_INTERVAL: Micros = 10_000;

/// The client connections whose answers the system has not accepted in full.
#[derive(Default)]
pub(super) struct UnsentOutput {
    sockets: BTreeSet<SocketId>,
    last_count: Micros,
}

impl UnsentOutput {
    /// Notes a connection to which something was just written.
    pub(super) fn note(&mut self, socket: SocketId, outlet: &Outlet) {
        if matches!(socket, SocketId::Client(_)) && outlet.is_pending() {
            self.sockets.insert(socket);
        }
    }

    /// When the bytes are to be counted next.
    pub(super) fn next_count(&self) -> Micros {
        if self.sockets.is_empty() { Micros::MAX } else { self.last_count + COUNT_INTERVAL }
    }
}

impl Engine {
    /// Tells the machine how many bytes of answers wait in the gateway.
    pub(super) fn count_unsent_output(&mut self, now: Micros) {
        if now < self.unsent.next_count() {
            return;
        }
        self.unsent.last_count = now;
        let (connections, mut bytes) = (&self.connections, 0);
        self.unsent.sockets.retain(|socket| {
            let pending = connections.get(socket).map_or(0, |c| c.outlet.pending_bytes());
            bytes += pending;
            pending > 0
        });
        self.machine.set_unsent_bytes(bytes);
    }
}
