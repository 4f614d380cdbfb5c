//! Closed connections whose file descriptors are still in use.

use crate::socket::SocketId;

/// Closed client connections that may still hold a descriptor when another one is accepted; less than the
/// reserve of descriptors.
const MAX_UNRELEASED: usize = 8;

/// Delays accepting while too many closed client connections still hold their descriptors.
///
/// A closed connection holds its descriptor until its reader has ended. Where hundreds are closed to make
/// room, the connections accepted in their place would take the last descriptors, and nodes couldn't be
/// reached. The cost is that under such a flood accepting waits for the closing. Node connections have their
/// own share of descriptors and don't count: when a zone stopped responding, abandoned connection attempts
/// kept gateways from accepting clients for seconds (docs/incidents/deaf-gateway.md).
#[derive(Debug, Default)]
pub(crate) struct UnreleasedConnections {
    clients: usize,
    /// An accept permit is waiting for descriptors.
    accept_waiting: bool,
}

impl UnreleasedConnections {
    /// Notes a connection that was closed locally and whose reader has not ended.
    pub(crate) fn closed(&mut self, socket: SocketId) {
        self.clients += usize::from(matches!(socket, SocketId::Client(_)));
    }

    /// Notes that a closed connection's descriptor was released. Returns whether a delayed accept may
    /// proceed.
    pub(crate) fn released(&mut self, socket: SocketId) -> bool {
        if matches!(socket, SocketId::Client(_)) {
            self.clients = self.clients.saturating_sub(1);
        }
        self.clients < MAX_UNRELEASED && std::mem::take(&mut self.accept_waiting)
    }

    /// Returns whether another connection may be accepted now; if not, [`UnreleasedConnections::released`]
    /// reports when.
    pub(crate) fn may_accept(&mut self) -> bool {
        self.accept_waiting = self.clients >= MAX_UNRELEASED;
        !self.accept_waiting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepting_waits_while_many_closed_clients_hold_descriptors() {
        let mut unreleased = UnreleasedConnections::default();
        for n in 0..MAX_UNRELEASED as u64 {
            assert!(unreleased.may_accept());
            unreleased.closed(SocketId::Client(n));
        }
        assert!(!unreleased.may_accept());
        assert!(unreleased.released(SocketId::Client(0)));
        assert!(!unreleased.released(SocketId::Client(1)), "one permit is issued once");
    }

    #[test]
    fn unreleased_connections_to_nodes_and_discovery_do_not_delay_accepting() {
        let mut unreleased = UnreleasedConnections::default();
        for n in 0..1000 {
            unreleased.closed(SocketId::Node(n));
            unreleased.closed(SocketId::Discovery(n));
        }
        assert!(unreleased.may_accept());
    }
}
