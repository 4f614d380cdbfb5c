//! What a lease holds: nobody else is given its host, and no connection takes one of its ports.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};

use loopback::HostLease;

#[test]
fn leases_that_live_at_once_share_no_host_and_none_gives_an_address_twice() {
    let leases: Vec<HostLease> = (0..20).map(|_| HostLease::acquire().expect("a host")).collect();
    let address = |lease: &HostLease| lease.address().expect("an address");
    let hosts: BTreeSet<_> = leases.iter().map(|lease| address(lease).ip()).collect();
    assert_eq!(hosts.len(), leases.len());
    let given: BTreeSet<SocketAddr> = (0..1000).map(|_| address(&leases[0])).collect();
    assert_eq!(given.len(), 1000);
}

#[test]
fn a_lease_that_ended_leaves_its_host_to_others() {
    let first = HostLease::acquire().expect("a host");
    let host = first.address().expect("an address").ip();
    drop(first);
    // Other tests of this process lease too, so that the next is not always the same.
    let mut held = Vec::new();
    let is_leased_again = (0..100).any(|_| {
        let lease = HostLease::acquire().expect("a host");
        let is_same = lease.address().expect("an address").ip() == host;
        held.push(lease);
        is_same
    });
    assert!(is_leased_again, "{host} was never given again");
}

/// A connection that is dialled to a port of 127.0.0.1 on which nobody listens may be given that very port and lead to itself.
#[test]
fn a_connection_takes_its_own_port_on_another_host() {
    let address = loopback::address().expect("an address");
    assert!(TcpStream::connect(address).is_err(), "nobody listens there");
    let listener = TcpListener::bind(address).expect("it is free");
    let stream = TcpStream::connect(address).expect("it is accepted");
    assert_ne!(stream.local_addr().expect("its own").ip(), address.ip());
    drop(listener);
}

#[test]
fn an_end_of_all_ports_is_told() {
    let lease = HostLease::acquire().expect("a host");
    let count = (0..).take_while(|_| lease.address().is_ok()).count();
    assert_eq!(count, 22_000);
    let error = lease.address().expect_err("none is left").to_string();
    assert!(error.contains("all ports of 127."), "{error}");
}
