//! Loopback addresses that one process has to itself, for tests, benches and tools that start servers on this machine.
//!
//! A port that the system chose and that was given back belongs to nobody: until its server binds it, any other listener or
//! connection of the machine may be given the same one. Here a process leases one host of 127.0.0.0/8 by keeping a listener
//! bound on it, and gives out the ports of that host, each once. Connections take their own ports on 127.0.0.1, so that none of
//! them meets a leased address either.
//!
//! It is for Linux, where all of 127.0.0.0/8 is local.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// The first host of 127.0.0.0/8 that is leased; the hosts below are left to whoever names one in a file.
const FIRST_HOST: u32 = u32::from_be_bytes([127, 16, 0, 0]);
/// How many hosts may be leased.
const HOSTS: u32 = 1 << 22;
/// Hosts that are tried for one lease.
const TRIES: u32 = 4096;
/// The port whose listener is the lease.
const LEASE_PORT: u16 = 9_999;
/// Ports that are given out: below those that the system gives to connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Why there is no address.
#[derive(Debug, thiserror::Error)]
pub enum LeaseError {
    /// The system refused a listener for another reason than that its address is taken.
    #[error("cannot lease the loopback host {0}: {1}")]
    Host(Ipv4Addr, io::Error),
    /// All hosts that were tried are leased.
    #[error("{TRIES} loopback hosts from {0} on are leased; end processes that hold them")]
    NoHost(Ipv4Addr),
    /// All ports of the host were given out.
    #[error("all ports of {0} were given out")]
    NoPort(Ipv4Addr),
}

/// A loopback host that nobody else leases while this lives.
#[derive(Debug)]
pub struct HostLease {
    host: Ipv4Addr,
    next_port: AtomicU16,
    /// Bound for as long as the lease lasts.
    _guard: TcpListener,
}

impl HostLease {
    /// Leases a host.
    ///
    /// # Errors
    /// The system gives no listener, or all hosts that were tried are leased.
    pub fn acquire() -> Result<HostLease, LeaseError> {
        let first = std::process::id() % HOSTS;
        let hosts = (0..TRIES).map(|n| Ipv4Addr::from_bits(FIRST_HOST + (first + n) % HOSTS));
        for host in hosts {
            match TcpListener::bind((host, LEASE_PORT)) {
                Ok(guard) => {
                    return Ok(HostLease { host, next_port: AtomicU16::new(PORTS.start), _guard: guard });
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(LeaseError::Host(host, error)),
            }
        }
        Err(LeaseError::NoHost(Ipv4Addr::from_bits(FIRST_HOST + first)))
    }

    /// An address that was not given out before.
    ///
    /// # Errors
    /// All were given out.
    pub fn address(&self) -> Result<SocketAddr, LeaseError> {
        let next = |port: u16| (port < PORTS.end).then_some(port + 1);
        self.next_port
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .map(|port| SocketAddr::from((self.host, port)))
            .map_err(|_| LeaseError::NoPort(self.host))
    }
}

/// An address on a host that this process leases until its end. Nobody else is given it, and it is not given out again.
///
/// # Errors
/// There is no host to be leased, or its ports were all given out.
pub fn address() -> Result<SocketAddr, LeaseError> {
    static LEASE: Mutex<Option<HostLease>> = Mutex::new(None);
    let mut lease = LEASE.lock().unwrap_or_else(PoisonError::into_inner);
    match &*lease {
        Some(lease) => lease.address(),
        None => lease.insert(HostLease::acquire()?).address(),
    }
}
