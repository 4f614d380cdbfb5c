//! The gateway's limits on connections, handshakes and held commands.

use std::io::{Read, Write};
use std::net::TcpStream;

use emulator::Fault;
use load::{Word, fill};

use crate::bed::{SITE, TIMEOUT, TestBed, served};

#[test]
fn a_connection_that_never_completes_its_handshake_is_closed() {
    // `way_up_ms` is the time allowed for a client's handshake.
    let bed = TestBed::with(&SITE.replace("[log]", "[limits]\nway_up_ms = 300\n\n[log]"));
    let host = bed.host(1);
    let mut silent = TcpStream::connect(bed.gateway.address()).unwrap();
    silent.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut received = Vec::new();
    silent.read_to_end(&mut received).expect("the connection is closed, not left open");
    assert!(received.is_empty());
    bed.wait_until("only the host's connections are left", |s| {
        (s.connections, s.handshakes, s.hosts) == (3, 0, 1)
    });
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    served(&bed.answer());
}

#[test]
fn handshakes_per_address_are_limited_and_the_oldest_is_evicted_when_full() {
    // `rising_from_address` limits the handshakes in progress from one address.
    let limits = "[limits]\nconnections = 6\nrising_from_address = 3\n\n[log]";
    let bed = TestBed::with(&SITE.replace("[log]", limits));
    let host = bed.host(1);
    let connect = || TcpStream::connect(bed.gateway.address()).unwrap();
    let closed = |mut s: &TcpStream| {
        s.set_read_timeout(Some(TIMEOUT)).unwrap();
        s.read(&mut [0; 8]).expect("read the end of the connection") == 0
    };
    let oldest = connect();
    bed.wait_until("the handshake is in progress", |s| s.handshakes == 1);
    let (_second, _third) = (connect(), connect());
    bed.wait_until("three handshakes are in progress", |s| (s.connections, s.handshakes) == (6, 3));
    assert!(closed(&connect()), "a fourth handshake from one address is refused");
    assert_eq!(bed.status().limit_refusals["limits.rising_from_address is reached"], 1);
    // A connection from another address: all connections are taken, so the oldest one in its handshake is
    // evicted.
    let mut another = connect_from([127, 0, 0, 2], bed.gateway.address());
    assert!(closed(&oldest));
    assert!(!bed.status().limit_refusals.contains_key("limits.connections is reached"));
    another.write_all(&[0; 1]).unwrap();
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    served(&bed.answer());
}

/// Connects from a given address of the loopback range.
fn connect_from(from: [u8; 4], to: std::net::SocketAddr) -> TcpStream {
    use nix::sys::socket::{AddressFamily, SockFlag, SockType, SockaddrIn, bind, connect, socket};
    use std::os::fd::AsRawFd;
    let fd = socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).unwrap();
    bind(fd.as_raw_fd(), &SockaddrIn::new(from[0], from[1], from[2], from[3], 0)).unwrap();
    let std::net::SocketAddr::V4(to) = to else { panic!("IPv4") };
    connect(fd.as_raw_fd(), &SockaddrIn::from(to)).unwrap();
    TcpStream::from(fd)
}

#[test]
fn commands_over_the_limit_of_a_host_are_refused_at_once() {
    // On a slow machine, held commands could reach their deadline before the status is read; a long latency
    // target and timeout prevent that.
    let site = SITE.replace("aim_ms = 300\npatience_ms = 1000", "aim_ms = 30000\npatience_ms = 90000");
    let bed = TestBed::with(&site.replace("[log]", "[limits]\nhost_commands = 10\n\n[log]"));
    let (heavy, light) = (bed.host(1), bed.host(2));
    bed.nodes[0].fault(Fault::Stall(true));
    for n in 0..30u64 {
        heavy.read(1 + (n % 2) as u16, 1, n % 8, 1, 4096, n + 1).unwrap();
    }
    // Twenty of them exceed the limit and are refused with advice before any of the ten held ones is
    // answered.
    let refused = bed.answers(20);
    assert!(refused.iter().all(|a| matches!(a.word, Word::Refused(advice) if advice > 0)), "{refused:?}");
    assert_eq!((bed.status().held_commands, bed.status().taken), (10, 10));
    // Another host is not affected.
    light.read(1, 1, 8, 1, 4096, 100).unwrap();
    let answer = bed.answer();
    assert_eq!(answer.user, 100);
    served(&answer);
    bed.nodes[0].fault(Fault::Stall(false));
    bed.answers(10);
    bed.wait_until("no command is held", |s| (s.held_commands, s.held_bytes) == (0, 0));
}

#[test]
fn commands_of_a_closed_connection_are_released() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    (0..20u64).for_each(|n| {
        host.write(1, 1, n % 8, 1, fill(n + 1, 1, n % 8, 1, 4096), n + 1).unwrap();
    });
    bed.wait_until("all commands are held", |s| (s.held_commands, s.held_bytes) == (20, 20 * 4096));
    host.close();
    bed.wait_until("no command is held any more", |s| {
        (s.held_commands, s.held_bytes, s.hosts, s.queued_commands) == (0, 0, 0, 0)
    });
    bed.nodes[0].fault(Fault::Stall(false));
}
