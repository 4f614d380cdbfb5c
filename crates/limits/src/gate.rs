//! What is let in.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Time or a span, in microseconds.
pub type Micros = i64;

/// A connection's number; numbers rise with the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateOptions {
    /// Connections in all.
    pub connections: usize,
    /// Connections from one address.
    pub from_address: usize,
    /// Of these, on their way up at one time.
    pub rising_from_address: usize,
    /// How long a way up may take.
    pub way_up: Micros,
    /// Commands held, of one host and in all.
    pub host_commands: usize,
    /// Commands held in all.
    pub commands: usize,
    /// Bytes of writes held, of one host and in all.
    pub host_bytes: u64,
    /// Bytes of writes held in all.
    pub bytes: u64,
}

/// Which limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Over {
    /// All connections are taken by hosts that completed their way up.
    #[error("limits.connections is reached")]
    Connections,
    /// Too many from one address.
    #[error("limits.connections_from_address is reached")]
    FromAddress,
    /// Too many of one address on their way up.
    #[error("limits.rising_from_address is reached")]
    Rising,
    /// The host holds too many commands.
    #[error("limits.host_commands is reached")]
    HostCommands,
    /// All hosts together do.
    #[error("limits.commands is reached")]
    Commands,
    /// The host holds too many bytes.
    #[error("limits.host_held_mib is reached")]
    HostBytes,
    /// All hosts together do.
    #[error("limits.held_mib is reached")]
    Bytes,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It is kept.
    Kept,
    /// It is kept, and this one is to be closed in its place: it never completed its way up.
    InPlaceOf(ConnectionId),
    /// It is to be closed.
    Closed(Over),
}

#[derive(Clone, Debug)]
struct Connection {
    from: IpAddr,
    since: Micros,
    /// None on its way up.
    host: Option<String>,
    commands: usize,
    bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    connections: usize,
    commands: usize,
    bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Address {
    connections: usize,
    rising: usize,
}

/// The gate of one gateway.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    connections: HashMap<ConnectionId, Connection>,
    /// On their way up, the oldest first.
    rising: BTreeSet<(Micros, ConnectionId)>,
    addresses: HashMap<IpAddr, Address>,
    hosts: BTreeMap<String, Held>,
    all: Held,
    turned_away: BTreeMap<Over, u64>,
}

impl Gate {
    /// A gate that has let nobody in yet.
    pub fn new(options: GateOptions) -> Self {
        Gate {
            options,
            connections: HashMap::new(),
            rising: BTreeSet::new(),
            addresses: HashMap::new(),
            hosts: BTreeMap::new(),
            all: Held::default(),
            turned_away: BTreeMap::new(),
        }
    }

    /// A connection was accepted.
    ///
    /// Danger: connections that never complete their way up (a port scanner, a host that hangs, a flood) fill the table and
    /// keep everybody out. They are limited by address, let go after a time, and where the table is full the oldest of them
    /// gives way. One that completed its way up never does. Harm: under a flood from many addresses an honest host may
    /// have to try again, as its own way up may be the oldest.
    pub fn open(&mut self, now: Micros, id: ConnectionId, from: IpAddr) -> Opened {
        let of = self.addresses.get(&from).copied().unwrap_or_default();
        if of.connections >= self.options.from_address {
            return self.turn_away(Over::FromAddress);
        }
        if of.rising >= self.options.rising_from_address {
            return self.turn_away(Over::Rising);
        }
        let mut opened = Opened::Kept;
        if self.all.connections >= self.options.connections {
            let Some(&(_, oldest)) = self.rising.first() else { return self.turn_away(Over::Connections) };
            self.close(oldest);
            opened = Opened::InPlaceOf(oldest);
        }
        let of = self.addresses.entry(from).or_default();
        (of.connections, of.rising) = (of.connections + 1, of.rising + 1);
        self.all.connections += 1;
        self.rising.insert((now, id));
        self.connections.insert(id, Connection { from, since: now, host: None, commands: 0, bytes: 0 });
        opened
    }

    fn turn_away(&mut self, over: Over) -> Opened {
        *self.turned_away.entry(over).or_default() += 1;
        Opened::Closed(over)
    }

    /// Whether a connection is let in: it was not turned away, and has not given way.
    pub fn holds(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// A connection completed its way up: it is a queue of this host's. Whether it is let in still; if not, it is to be closed.
    pub fn risen(&mut self, id: ConnectionId, host: &str) -> bool {
        let Some(c) = self.connections.get_mut(&id) else { return false };
        if c.host.is_some() {
            return true;
        }
        c.host = Some(host.to_owned());
        self.rising.remove(&(c.since, id));
        if let Some(of) = self.addresses.get_mut(&c.from) {
            of.rising -= 1;
        }
        self.hosts.entry(host.to_owned()).or_default().connections += 1;
        true
    }

    /// A connection is gone. One that is not known was turned away or gave way: passed over.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(c) = self.connections.remove(&id) else { return };
        self.all.connections -= 1;
        self.all.commands -= c.commands;
        self.all.bytes -= c.bytes;
        let rising = self.rising.remove(&(c.since, id));
        if let Some(of) = self.addresses.get_mut(&c.from) {
            of.connections -= 1;
            of.rising -= usize::from(rising);
            if of.connections == 0 {
                self.addresses.remove(&c.from);
            }
        }
        if let Some(host) = c.host
            && let Some(held) = self.hosts.get_mut(&host)
        {
            held.connections -= 1;
            held.commands -= c.commands;
            held.bytes -= c.bytes;
            if held.connections == 0 {
                self.hosts.remove(&host);
            }
        }
    }

    /// Connections whose way up has taken too long; they are closed here, and to be closed by the caller.
    pub fn overdue(&mut self, now: Micros) -> Vec<ConnectionId> {
        let late = self.rising.iter().take_while(|(since, _)| now - since >= self.options.way_up);
        let late: Vec<ConnectionId> = late.map(|r| r.1).collect();
        late.iter().for_each(|id| self.close(*id));
        late
    }

    /// When [`Gate::overdue`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.rising.first().map(|(since, _)| since + self.options.way_up)
    }

    /// A command came, with so many bytes of data; it is held from now on, unless a limit is reached.
    ///
    /// # Errors
    /// The limit: the command is not to be taken.
    pub fn take(&mut self, id: ConnectionId, bytes: u64) -> Result<(), Over> {
        let Some(c) = self.connections.get_mut(&id) else { return Ok(()) };
        let none = Held::default();
        let held = c.host.as_ref().and_then(|h| self.hosts.get(h)).unwrap_or(&none);
        let o = &self.options;
        let over = if held.commands >= o.host_commands {
            Some(Over::HostCommands)
        } else if self.all.commands >= o.commands {
            Some(Over::Commands)
        } else if held.bytes + bytes > o.host_bytes {
            Some(Over::HostBytes)
        } else if self.all.bytes + bytes > o.bytes {
            Some(Over::Bytes)
        } else {
            None
        };
        if let Some(over) = over {
            *self.turned_away.entry(over).or_default() += 1;
            return Err(over);
        }
        (c.commands, c.bytes) = (c.commands + 1, c.bytes + bytes);
        (self.all.commands, self.all.bytes) = (self.all.commands + 1, self.all.bytes + bytes);
        if let Some(held) = c.host.as_ref().and_then(|h| self.hosts.get_mut(h)) {
            (held.commands, held.bytes) = (held.commands + 1, held.bytes + bytes);
        }
        Ok(())
    }

    /// A command that was taken has its answer.
    pub fn done(&mut self, id: ConnectionId, bytes: u64) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        (c.commands, c.bytes) = (c.commands - 1, c.bytes - bytes);
        (self.all.commands, self.all.bytes) = (self.all.commands - 1, self.all.bytes - bytes);
        if let Some(held) = c.host.as_ref().and_then(|h| self.hosts.get_mut(h)) {
            (held.commands, held.bytes) = (held.commands - 1, held.bytes - bytes);
        }
    }

    /// Connections kept, and of these on their way up.
    pub fn connections(&self) -> (usize, usize) {
        (self.all.connections, self.rising.len())
    }

    /// Commands and bytes held.
    pub fn held(&self) -> (usize, u64) {
        (self.all.commands, self.all.bytes)
    }

    /// Hosts with connections.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// What was turned away, by limit.
    pub fn turned_away(&self) -> &BTreeMap<Over, u64> {
        &self.turned_away
    }
}
