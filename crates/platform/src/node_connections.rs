//! Connection pool for storage nodes: each connection carries one request at a time and is reused.

mod available;
mod cooldown;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use decisions::{Micros, NodeId, Outcome};
use dispatch::AttemptId;
use http1::{Limits, Response, ResponseDecoder};

use crate::socket::ConnectionEnd;
use cooldown::COOLDOWN;

/// Number of a connection.
pub(crate) type ConnectionId = u64;

enum Phase {
    /// Being established, with the attempt that waits for it; none if the attempt was withdrawn.
    Connecting(Option<AttemptId>),
    /// An attempt is in progress on it.
    Busy(AttemptId),
    /// Cooling down after a response, with the attempt that uses it next, if one waits.
    CoolingDown(Option<AttemptId>),
    Idle,
}

struct NodeConnection {
    node: NodeId,
    address: SocketAddr,
    phase: Phase,
    /// When it entered its phase.
    since: Micros,
    decoder: ResponseDecoder,
}

/// The nodes' addresses and the connections to each node.
pub(crate) struct NodeConnections {
    limits: Limits,
    /// How long a connection may stay idle, and how long establishing one may take.
    idle_timeout: Micros,
    connect_timeout: Micros,
    max_connections: usize,
    /// Bytes of incomplete responses over all connections: the limit and the current value.
    max_buffered: usize,
    buffered: usize,
    next_id: ConnectionId,
    connections: HashMap<ConnectionId, NodeConnection>,
    by_attempt: HashMap<AttemptId, ConnectionId>,
    addresses: HashMap<NodeId, SocketAddr>,
    /// Idle connections of each node, the most recently used last.
    idle_by_node: HashMap<NodeId, Vec<ConnectionId>>,
    /// Connections of each node that are cooling down and have no waiting attempt, the oldest first.
    cooling_by_node: HashMap<NodeId, VecDeque<ConnectionId>>,
    /// Connections of each node that are being established for an attempt, the oldest first.
    connecting_by_node: HashMap<NodeId, VecDeque<ConnectionId>>,
    /// Timers of connections that are connecting, cooling down or idle. Entries of removed connections are
    /// ignored.
    timers: BTreeSet<(Micros, ConnectionId)>,
}

/// How an attempt is to be sent.
pub(crate) enum ConnectionChoice {
    /// On this idle connection, if it is still usable.
    Reuse(ConnectionId),
    /// On a connection that is cooling down, once that is over.
    AfterCooldown,
    /// On this new connection, once established. Another one may have to be closed first.
    Open(ConnectionId, SocketAddr, Option<ConnectionId>),
    /// It can't be sent; the attempt ends with this outcome.
    Unavailable(Outcome),
}

/// The effects of a connection's input, end or timer.
#[derive(Default)]
pub(crate) struct ConnectionUpdate {
    /// The attempt on the connection ended with this outcome.
    pub(crate) finished: Option<(AttemptId, Outcome, Option<Response>)>,
    /// The connection is to be closed.
    pub(crate) close: bool,
    /// This attempt waited for the connection and was never sent: it needs another one.
    pub(crate) reassign: Option<(AttemptId, NodeId)>,
    /// The connection is available, and this attempt waited for it: it may start.
    pub(crate) start: Option<AttemptId>,
}

impl NodeConnections {
    /// `max_connections`: connections at a time; `max_buffered`: bytes of incomplete responses over all
    /// connections.
    pub(crate) fn new(
        limits: Limits,
        idle_timeout: Micros,
        connect_timeout: Micros,
        max_connections: usize,
        max_buffered: usize,
    ) -> Self {
        NodeConnections {
            limits,
            idle_timeout,
            connect_timeout,
            max_connections,
            max_buffered,
            buffered: 0,
            next_id: 0,
            connections: HashMap::new(),
            by_attempt: HashMap::new(),
            addresses: HashMap::new(),
            idle_by_node: HashMap::new(),
            cooling_by_node: HashMap::new(),
            connecting_by_node: HashMap::new(),
            timers: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of entries in all tables; tests use it to find leaks.
    pub(crate) fn table_entries(&self) -> usize {
        self.connections.len()
            + self.by_attempt.len()
            + self.addresses.len()
            + self.idle_by_node.len()
            + self.cooling_by_node.len()
            + self.connecting_by_node.len()
            + self.timers.len()
    }

    /// Records a node's address. If it changed or the node was restarted, the idle connections to it are
    /// useless; they are removed and returned.
    pub(crate) fn set_address(
        &mut self,
        node: NodeId,
        address: SocketAddr,
        is_restarted: bool,
    ) -> Vec<ConnectionId> {
        let previous = self.addresses.insert(node, address);
        if previous != Some(address) || is_restarted { self.drop_idle(node) } else { Vec::new() }
    }

    /// Removes the idle connections of a node that is gone; returns them to be closed.
    pub(crate) fn drop_idle_of_gone(&mut self, node: NodeId) -> Vec<ConnectionId> {
        self.drop_idle(node)
    }

    /// Forgets a node; returns its idle connections to be closed.
    pub(crate) fn forget_node(&mut self, node: NodeId) -> Vec<ConnectionId> {
        self.addresses.remove(&node);
        self.drop_idle(node)
    }

    fn drop_idle(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let mut idle = self.idle_by_node.remove(&node).unwrap_or_default();
        idle.extend(self.cooling_by_node.remove(&node).unwrap_or_default());
        for id in &idle {
            self.remove(*id);
        }
        idle
    }

    /// Chooses the connection for an attempt: the most recently used idle one, else one that is cooling down,
    /// else a new one.
    pub(crate) fn choose_connection(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        node: NodeId,
    ) -> ConnectionChoice {
        let Some(&address) = self.addresses.get(&node) else {
            return ConnectionChoice::Unavailable(Outcome::Unreachable);
        };
        while let Some(id) = self.idle_by_node.get_mut(&node).and_then(Vec::pop) {
            if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.address == address) {
                self.timers.remove(&(connection.since + self.idle_timeout, id));
                (connection.phase, connection.since) = (Phase::Busy(attempt), now);
                self.by_attempt.insert(attempt, id);
                return ConnectionChoice::Reuse(id);
            }
        }
        while let Some(id) = self.cooling_by_node.get_mut(&node).and_then(VecDeque::pop_front) {
            if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.address == address) {
                connection.phase = Phase::CoolingDown(Some(attempt));
                self.by_attempt.insert(attempt, id);
                return ConnectionChoice::AfterCooldown;
            }
        }
        // At the limit the connection that has been idle longest is closed; otherwise descriptors would run
        // out and nothing could be opened any more, not even to discovery. Without an idle one the attempt
        // ends as not sent. The cost is that the closed connection's node needs a new one for its next
        // request.
        let mut to_close = None;
        if self.connections.len() >= self.max_connections {
            let is_unused = |c: &NodeConnection| matches!(c.phase, Phase::Idle | Phase::CoolingDown(None));
            let idle = self.connections.iter().filter(|(_, c)| is_unused(c));
            let Some(id) = idle.min_by_key(|(id, c)| (c.since, **id)).map(|(id, _)| *id) else {
                return ConnectionChoice::Unavailable(Outcome::NotSent);
            };
            self.remove(id);
            to_close = Some(id);
        }
        let id = self.next_id;
        self.next_id += 1;
        let (phase, decoder) = (Phase::Connecting(Some(attempt)), ResponseDecoder::new(self.limits));
        self.connections.insert(id, NodeConnection { node, address, phase, since: now, decoder });
        self.by_attempt.insert(attempt, id);
        self.timers.insert((now + self.connect_timeout, id));
        self.connecting_by_node.entry(node).or_default().push_back(id);
        ConnectionChoice::Open(id, address, to_close)
    }

    /// Removes an idle connection that turned out to be unusable before anything was written; returns the
    /// attempt that was to be sent on it.
    pub(crate) fn take_unusable(&mut self, id: ConnectionId) -> Option<(AttemptId, NodeId)> {
        let connection = self.remove(id)?;
        match connection.phase {
            Phase::Busy(attempt) => Some((attempt, connection.node)),
            _ => None,
        }
    }

    /// Handles bytes received on a connection.
    pub(crate) fn received(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) -> ConnectionUpdate {
        let Some(connection) = self.connections.get_mut(&id) else { return ConnectionUpdate::default() };
        let Phase::Busy(attempt) = connection.phase else {
            // Input without a request is a second response or noise, and the next request would be answered
            // with it. The connection is closed, whatever the node sent; the cost is a new connection.
            return ConnectionUpdate { close: true, ..self.ended(id, ConnectionEnd::Cut) };
        };
        let buffered_before = connection.decoder.buffered_bytes();
        connection.decoder.receive(bytes);
        let polled = connection.decoder.poll();
        self.buffered = self.buffered + connection.decoder.buffered_bytes() - buffered_before;
        match polled {
            Ok(None) if self.buffered <= self.max_buffered => ConnectionUpdate::default(),
            Ok(None) => {
                // Long responses that arrive slowly would fill the memory, and a gateway that runs out of it
                // is killed with all its requests. The response that exceeds the bound is abandoned. The cost
                // is that a good response may be lost.
                tracing::warn!(
                    held = self.buffered,
                    "answers that are not whole fill their memory; one is given up"
                );
                self.remove(id);
                ConnectionUpdate {
                    finished: Some((attempt, Outcome::Error, None)),
                    close: true,
                    ..ConnectionUpdate::default()
                }
            }
            Ok(Some(answer)) => {
                let kept = answer.keep_alive
                    && connection.decoder.is_idle()
                    && self.addresses.get(&connection.node) == Some(&connection.address);
                self.by_attempt.remove(&attempt);
                if kept {
                    self.start_cooldown(now, id);
                } else {
                    self.remove(id);
                }
                let outcome = crate::outcome::attempt_outcome(&answer);
                ConnectionUpdate {
                    finished: Some((attempt, outcome, Some(answer))),
                    close: !kept,
                    ..ConnectionUpdate::default()
                }
            }
            Err(fault) => {
                tracing::debug!(%fault, "invalid response from a node");
                self.remove(id);
                ConnectionUpdate {
                    finished: Some((attempt, Outcome::Error, None)),
                    close: true,
                    ..ConnectionUpdate::default()
                }
            }
        }
    }

    /// Handles a connection that ended or could not be established.
    pub(crate) fn ended(&mut self, id: ConnectionId, end: ConnectionEnd) -> ConnectionUpdate {
        let Some(mut connection) = self.remove(id) else { return ConnectionUpdate::default() };
        let node = connection.node;
        let ended = match connection.phase {
            Phase::CoolingDown(waiting) => {
                return ConnectionUpdate {
                    reassign: waiting.map(|attempt| (attempt, node)),
                    ..ConnectionUpdate::default()
                };
            }
            Phase::Connecting(Some(attempt)) => Some((attempt, Outcome::Unreachable, None)),
            Phase::Busy(attempt) => Some(match end {
                // A node that has begun to respond has seen enough of the request to have executed something.
                ConnectionEnd::Cut if connection.decoder.is_idle() => (attempt, Outcome::Unreachable, None),
                ConnectionEnd::Cut | ConnectionEnd::Broken => (attempt, Outcome::Reset, None),
                ConnectionEnd::Orderly => match connection.decoder.end() {
                    Some(answer) => (attempt, crate::outcome::attempt_outcome(&answer), Some(answer)),
                    None => (attempt, Outcome::Reset, None),
                },
            }),
            Phase::Connecting(None) | Phase::Idle => None,
        };
        ConnectionUpdate { finished: ended, ..ConnectionUpdate::default() }
    }

    /// Drops an attempt that nobody waits for any more. If it was sent, its connection is removed and
    /// returned to be closed; if it waits for a connection, it is withdrawn.
    pub(crate) fn forget_attempt(&mut self, attempt: AttemptId) -> Option<ConnectionId> {
        let id = self.by_attempt.remove(&attempt)?;
        let connection = self.connections.get_mut(&id)?;
        let node = connection.node;
        match &mut connection.phase {
            Phase::Connecting(waiting) => {
                *waiting = None;
                self.remove_connecting(node, id);
                return None;
            }
            Phase::CoolingDown(waiting) => {
                *waiting = None;
                self.cooling_by_node.entry(node).or_default().push_front(id);
                return None;
            }
            Phase::Busy(_) | Phase::Idle => {}
        }
        self.remove(id);
        Some(id)
    }

    /// Returns when [`NodeConnections::tick`] is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|d| d.0)
    }

    /// Handles the next timer that is due: a connection that took too long to establish or was idle for too
    /// long is closed, and one that has cooled down becomes available.
    pub(crate) fn tick(&mut self, now: Micros) -> Option<(ConnectionId, ConnectionUpdate)> {
        let &(at, id) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        if self.connections.get(&id).is_some_and(|c| matches!(c.phase, Phase::CoolingDown(_))) {
            return Some((id, self.cooldown_over(now, id)));
        }
        Some((id, ConnectionUpdate { close: true, ..self.ended(id, ConnectionEnd::Cut) }))
    }

    fn remove(&mut self, id: ConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&id)?;
        self.buffered -= connection.decoder.buffered_bytes();
        match &connection.phase {
            Phase::Connecting(waiting) => {
                self.timers.remove(&(connection.since + self.connect_timeout, id));
                if let Some(attempt) = waiting {
                    self.by_attempt.remove(attempt);
                }
                self.remove_connecting(connection.node, id);
            }
            Phase::Busy(attempt) => {
                self.by_attempt.remove(attempt);
            }
            Phase::CoolingDown(waiting) => {
                self.timers.remove(&(connection.since + COOLDOWN, id));
                if let Some(attempt) = waiting {
                    self.by_attempt.remove(attempt);
                }
                self.remove_cooling(connection.node, id);
            }
            Phase::Idle => {
                self.timers.remove(&(connection.since + self.idle_timeout, id));
                if let Some(idle) = self.idle_by_node.get_mut(&connection.node) {
                    idle.retain(|&i| i != id);
                    if idle.is_empty() {
                        self.idle_by_node.remove(&connection.node);
                    }
                }
            }
        }
        Some(connection)
    }
}
