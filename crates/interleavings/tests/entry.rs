//! A connection gives way to another while it comes in.

extern crate interleavings as sync;

#[path = "../../gateway/src/registration.rs"]
mod registration;

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

use limits::{AdmissionControl, AdmissionLimits, ConnectionId, OpenResult};
use registration::register;
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Mutex, lock, queue, thread};

/// What the engine is told.
enum Message {
    Opened(ConnectionId),
    Evict(ConnectionId),
}

/// Room for one connection.
fn client_limits() -> AdmissionControl {
    let (some, bytes) = (10, 10);
    AdmissionControl::new(AdmissionLimits {
        connections: 1,
        connections_from_address: some,
        connecting_from_address: some,
        connect_timeout: 1000,
        host_commands: some,
        commands: some,
        host_bytes: bytes,
        bytes,
    })
}

/// One is accepted and served, as another is accepted in its place: it must not be left open.
fn given_way() {
    let client_limits = Arc::new(Mutex::new(client_limits()));
    let (first, second) = (ConnectionId(1), ConnectionId(2));
    let from = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let (gives, inbox) = queue();
    let gives = Arc::new(gives);
    assert_eq!(lock(&client_limits).open(0, first, from), OpenResult::Accepted);
    let (own, tells) = (client_limits.clone(), gives.clone());
    let serves = thread::spawn(move || register(&own, first, || assert!(tells.send(Message::Opened(first)))));
    assert_eq!(lock(&client_limits).open(0, second, from), OpenResult::AcceptedInPlaceOf(first));
    gives.send(Message::Evict(first));
    drop(gives);
    let goes_on = serves.join().expect("it was served");
    let (mut known, mut closed) = (BTreeSet::new(), BTreeSet::new());
    while let Some(message) = inbox.receive() {
        match message {
            Message::Opened(id) => {
                known.insert(id);
            }
            Message::Evict(id) if known.contains(&id) => {
                closed.insert(id);
            }
            // The engine has no such connection.
            Message::Evict(_) => {}
        }
    }
    assert!(!goes_on || closed.contains(&first), "a connection that gave way was left open");
}

#[test]
fn one_that_gives_way_while_it_comes_in_is_closed() {
    println!("{}", check(None, given_way));
}

#[test]
fn one_that_looks_before_it_is_known_is_caught() {
    assert_detected(Fault::CheckBeforeRegister, "was left open", None, given_way);
}
