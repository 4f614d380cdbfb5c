//! Connections that are closed and have not given their descriptors back.

use crate::socket::SocketId;

/// Of clients' connections, at most, for one more to be accepted; less than what is kept back.
const CLOSING: usize = 8;

/// Holds accepting up while too many closed connections of clients still have their descriptors.
///
/// Danger: a closed connection holds its descriptor until its reader has ended; where hundreds are closed to make room, those
/// accepted in their place take the last descriptors, and nodes cannot be reached. Harm: under such a flood accepting waits
/// for the closing. Ways to nodes have a share of descriptors of their own and do not count: when a zone fell silent, ways up
/// that were given up made gateways deaf to their clients for seconds (docs/incidents/deaf-gateway.md).
#[derive(Debug, Default)]
pub(crate) struct Closing {
    clients: usize,
    /// Leave to accept that waits for them.
    waits: bool,
}

impl Closing {
    /// A connection was closed here; its reader has not ended.
    pub(crate) fn closed(&mut self, socket: SocketId) {
        self.clients += usize::from(matches!(socket, SocketId::Client(_)));
    }

    /// Its descriptor is back. Whether one more may be accepted that had to wait.
    pub(crate) fn returned(&mut self, socket: SocketId) -> bool {
        if matches!(socket, SocketId::Client(_)) {
            self.clients = self.clients.saturating_sub(1);
        }
        self.clients < CLOSING && std::mem::take(&mut self.waits)
    }

    /// Whether one more may be accepted now; if not, [`Closing::returned`] will say so.
    pub(crate) fn may_accept(&mut self) -> bool {
        self.waits = self.clients >= CLOSING;
        !self.waits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_crowd_of_closed_clients_holds_accepting_up_until_descriptors_are_back() {
        let mut closing = Closing::default();
        for n in 0..CLOSING as u64 {
            assert!(closing.may_accept());
            closing.closed(SocketId::Client(n));
        }
        assert!(!closing.may_accept());
        assert!(closing.returned(SocketId::Client(0)));
        assert!(!closing.returned(SocketId::Client(1)), "one leave is given once");
    }

    #[test]
    fn ways_to_nodes_that_do_not_end_leave_clients_their_door() {
        let mut closing = Closing::default();
        for n in 0..1000 {
            closing.closed(SocketId::Node(n));
            closing.closed(SocketId::Discovery(n));
        }
        assert!(closing.may_accept());
    }
}
