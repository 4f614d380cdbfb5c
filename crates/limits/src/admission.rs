//! Admission of connections and commands.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Identifies a connection; numbers increase in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The limits to enforce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Connections in total.
    pub connections: usize,
    /// Connections from one address.
    pub connections_from_address: usize,
    /// Connections from one address that are not established yet.
    pub connecting_from_address: usize,
    /// Time in which a connection must be established, in microseconds.
    pub connect_timeout: Micros,
    /// Commands held for one host.
    pub host_commands: usize,
    /// Commands held in total.
    pub commands: usize,
    /// Bytes of write data held for one host.
    pub host_bytes: u64,
    /// Bytes of write data held in total.
    pub bytes: u64,
}

/// The limit that was reached. The messages are keys in the gateway's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum LimitReached {
    /// All connections are in use, and all of them are established.
    #[error("limits.connections is reached")]
    Connections,
    /// Too many connections from the address.
    #[error("limits.connections_from_address is reached")]
    FromAddress,
    /// Too many connections from the address that are not established yet, which the settings key
    /// `rising_from_address` limits.
    #[error("limits.rising_from_address is reached")]
    Connecting,
    /// Too many commands are held for the host.
    #[error("limits.host_commands is reached")]
    HostCommands,
    /// Too many commands are held in total.
    #[error("limits.commands is reached")]
    Commands,
    /// Too many bytes are held for the host.
    #[error("limits.host_held_mib is reached")]
    HostBytes,
    /// Too many bytes are held in total.
    #[error("limits.held_mib is reached")]
    Bytes,
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenResult {
    /// The connection is accepted.
    Accepted,
    /// The connection is accepted in place of this one, which was never established and which the caller must
    /// close.
    AcceptedInPlaceOf(ConnectionId),
    /// The connection is rejected because of this limit; the caller must close it.
    Rejected(LimitReached),
}

#[derive(Clone, Debug)]
struct Connection {
    address: IpAddr,
    opened_at: Micros,
    /// `None` until the connection is established.
    host: Option<String>,
    commands: usize,
    bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    connections: usize,
    commands: usize,
    bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct AddressUsage {
    connections: usize,
    connecting: usize,
}

/// Admission control of one gateway.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that are not established yet, oldest first.
    connecting: BTreeSet<(Micros, ConnectionId)>,
    addresses: HashMap<IpAddr, AddressUsage>,
    hosts: BTreeMap<String, Usage>,
    total: Usage,
    rejections: BTreeMap<LimitReached, u64>,
}

impl AdmissionControl {
    /// Creates an admission control without connections.
    pub fn new(limits: AdmissionLimits) -> Self {
        AdmissionControl {
            limits,
            connections: HashMap::new(),
            connecting: BTreeSet::new(),
            addresses: HashMap::new(),
            hosts: BTreeMap::new(),
            total: Usage::default(),
            rejections: BTreeMap::new(),
        }
    }

    /// Decides whether to accept a new connection.
    ///
    /// Connections that are never established (from a port scanner, a hanging host or a flood) must not fill
    /// the table and lock out everyone else. Their number is limited by address, they are closed after a
    /// timeout, and when the table is full the oldest of them is closed to make room. An established
    /// connection is never closed for this. Under a flood from many addresses a legitimate host may have to
    /// reconnect, because its own connection may be the oldest that is not established.
    pub fn open(&mut self, now: Micros, id: ConnectionId, address: IpAddr) -> OpenResult {
        let usage = self.addresses.get(&address).copied().unwrap_or_default();
        if usage.connections >= self.limits.connections_from_address {
            return self.reject(LimitReached::FromAddress);
        }
        if usage.connecting >= self.limits.connecting_from_address {
            return self.reject(LimitReached::Connecting);
        }
        let mut opened = OpenResult::Accepted;
        if self.total.connections >= self.limits.connections {
            let Some(&(_, oldest)) = self.connecting.first() else {
                return self.reject(LimitReached::Connections);
            };
            self.close(oldest);
            opened = OpenResult::AcceptedInPlaceOf(oldest);
        }
        let usage = self.addresses.entry(address).or_default();
        (usage.connections, usage.connecting) = (usage.connections + 1, usage.connecting + 1);
        self.total.connections += 1;
        self.connecting.insert((now, id));
        self.connections
            .insert(id, Connection { address, opened_at: now, host: None, commands: 0, bytes: 0 });
        opened
    }

    /// Counts a rejection.
    fn reject(&mut self, reached: LimitReached) -> OpenResult {
        *self.rejections.entry(reached).or_default() += 1;
        OpenResult::Rejected(reached)
    }

    /// Whether a connection is accepted and has not been closed to make room.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Marks a connection as established: it carries one queue of the client machine named `host`. Returns
    /// false if it is no longer accepted; the caller must then close it.
    pub fn establish(&mut self, id: ConnectionId, host: &str) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.host.is_some() {
            return true;
        }
        connection.host = Some(host.to_owned());
        self.connecting.remove(&(connection.opened_at, id));
        if let Some(usage) = self.addresses.get_mut(&connection.address) {
            usage.connecting -= 1;
        }
        self.hosts.entry(host.to_owned()).or_default().connections += 1;
        true
    }

    /// Removes a connection that has closed. An unknown one was rejected or closed to make room, and is
    /// ignored.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.total.connections -= 1;
        self.total.commands -= connection.commands;
        self.total.bytes -= connection.bytes;
        let was_connecting = self.connecting.remove(&(connection.opened_at, id));
        if let Some(usage) = self.addresses.get_mut(&connection.address) {
            usage.connections -= 1;
            usage.connecting -= usize::from(was_connecting);
            if usage.connections == 0 {
                self.addresses.remove(&connection.address);
            }
        }
        if let Some(host) = connection.host
            && let Some(usage) = self.hosts.get_mut(&host)
        {
            usage.connections -= 1;
            usage.commands -= connection.commands;
            usage.bytes -= connection.bytes;
            if usage.connections == 0 {
                self.hosts.remove(&host);
            }
        }
    }

    /// Removes and returns the connections that were not established in time; the caller must close them.
    pub fn remove_overdue(&mut self, now: Micros) -> Vec<ConnectionId> {
        let late = self
            .connecting
            .iter()
            .take_while(|(opened_at, _)| now - opened_at >= self.limits.connect_timeout);
        let late: Vec<ConnectionId> = late.map(|entry| entry.1).collect();
        late.iter().for_each(|id| self.close(*id));
        late
    }

    /// Returns the time at which [`AdmissionControl::remove_overdue`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        self.connecting.first().map(|(opened_at, _)| opened_at + self.limits.connect_timeout)
    }

    /// Accounts for a command with `bytes` of data, which is held from now on unless a limit is reached. A
    /// command of a connection that is no longer accepted is not counted, and the result is `Ok`.
    ///
    /// # Errors
    /// The limit that was reached; the command must not be processed.
    pub fn acquire(&mut self, id: ConnectionId, bytes: u64) -> Result<(), LimitReached> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        let no_usage = Usage::default();
        let host_usage = connection.host.as_ref().and_then(|host| self.hosts.get(host)).unwrap_or(&no_usage);
        let limits = &self.limits;
        let reached = if host_usage.commands >= limits.host_commands {
            Some(LimitReached::HostCommands)
        } else if self.total.commands >= limits.commands {
            Some(LimitReached::Commands)
        } else if host_usage.bytes + bytes > limits.host_bytes {
            Some(LimitReached::HostBytes)
        } else if self.total.bytes + bytes > limits.bytes {
            Some(LimitReached::Bytes)
        } else {
            None
        };
        if let Some(reached) = reached {
            *self.rejections.entry(reached).or_default() += 1;
            return Err(reached);
        }
        (connection.commands, connection.bytes) = (connection.commands + 1, connection.bytes + bytes);
        (self.total.commands, self.total.bytes) = (self.total.commands + 1, self.total.bytes + bytes);
        if let Some(usage) = connection.host.as_ref().and_then(|host| self.hosts.get_mut(host)) {
            (usage.commands, usage.bytes) = (usage.commands + 1, usage.bytes + bytes);
        }
        Ok(())
    }

    /// Releases a command that was accounted for, once it is answered.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        (connection.commands, connection.bytes) = (connection.commands - 1, connection.bytes - bytes);
        (self.total.commands, self.total.bytes) = (self.total.commands - 1, self.total.bytes - bytes);
        if let Some(usage) = connection.host.as_ref().and_then(|host| self.hosts.get_mut(host)) {
            (usage.commands, usage.bytes) = (usage.commands - 1, usage.bytes - bytes);
        }
    }

    /// Returns the number of connections, and how many of them are not established yet.
    pub fn connections(&self) -> (usize, usize) {
        (self.total.connections, self.connecting.len())
    }

    /// Returns the number of commands and bytes held.
    pub fn held(&self) -> (usize, u64) {
        (self.total.commands, self.total.bytes)
    }

    /// Returns the number of hosts with established connections.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the number of rejected connections and commands, by limit.
    pub fn rejections(&self) -> &BTreeMap<LimitReached, u64> {
        &self.rejections
    }
}
