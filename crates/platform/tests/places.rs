//! Places for clients: who gives way when they run short, and what is owed to those who wait, in virtual time.

mod common;

use common::*;
use platform::{Sizes, SocketId};

fn asked(s: &mut Stage, request: &str) -> SocketId {
    let client = s.client();
    s.bytes(client, request);
    client
}

/// Two places, both taken: one by a client with its last answer written, one that is owed.
fn full() -> (Stage, SocketId) {
    let one = list(1, true, &[member("a", address(100), 0, "in_service")]);
    let mut s = Stage::new(Sizes { clients: 2, ..ROOMY }, &one);
    let owed = asked(&mut s, &look("r0", 0));
    let last = asked(&mut s, &look("r1", 0).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n"));
    let rising = s.rising();
    s.up(rising[1]);
    s.clogged.insert(last);
    s.bytes(rising[1], ok("1"));
    assert!(s.finished.contains(&last) && !s.closed.contains(&owed));
    (s, last)
}

#[test]
fn a_last_answer_that_has_not_gone_out_holds_its_place_until_it_has() {
    let (mut s, last) = full();
    let before = s.accepts;
    s.pass(400_000);
    assert!(!s.closed.contains(&last), "its answer goes with it");
    s.clogged.remove(&last);
    s.pass(600_000);
    assert!(s.closed.contains(&last));
    assert_eq!(s.accepts, before + 1);
    // One that never reads keeps its place for so long and no longer.
    let (mut s, last) = full();
    s.pass(5_600_000);
    assert!(s.closed.contains(&last));
}

#[test]
fn an_idle_connection_on_which_a_request_has_come_gives_no_way_and_the_next_does() {
    let one = list(1, true, &[member("a", address(100), 0, "in_service")]);
    let mut s = Stage::new(Sizes { clients: 3, ..ROOMY }, &one);
    let (first, second) = (s.client(), s.client());
    s.unread.insert(first);
    s.client();
    assert!(!s.closed.contains(&first), "its request would be lost");
    assert!(s.closed.contains(&second));
    s.bytes(first, look("r1", 0));
    let node = s.raise();
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(first), [200]);
}

#[test]
fn half_requests_that_fill_all_places_are_answered_in_time_and_so_are_those_that_wait_behind_them() {
    let one = list(1, true, &[member("a", address(100), 0, "in_service")]);
    let mut s = Stage::new(Sizes { clients: 10, ..ROOMY }, &one);
    let begun = s.now;
    // Thirty have connected at once; each is accepted as leave is given.
    let mut waiting = 30;
    let mut open: Vec<SocketId> = Vec::new();
    while waiting > 0 || !open.is_empty() {
        while waiting > 0 && s.accepts > 30 - waiting {
            waiting -= 1;
            let client = s.client();
            s.bytes(client, "GET /look/00");
            open.push(client);
        }
        s.pass(10_000);
        open.retain(|c| !s.finished.contains(c));
        assert!(s.now < begun + 3_000_000, "{waiting} wait and {} are not answered", open.len());
    }
}

#[test]
fn a_half_request_where_nobody_waits_has_two_seconds() {
    for served in [false, true] {
        let mut s = Stage::usual();
        let client = s.client();
        if served {
            s.bytes(client, look("r0", 0));
            let node = s.raise();
            s.bytes(node, ok("0"));
            s.cool();
        }
        s.take(client);
        s.bytes(client, &look("r1", 1)[..40]);
        s.pass(1_900_000);
        s.bytes(client, &look("r1", 1)[40..]);
        let node = s.raise();
        s.bytes(node, ok("1"));
        assert_eq!(s.statuses(client), [200], "served before: {served}");
    }
}

#[test]
fn without_a_descriptor_leave_to_accept_is_given_again_when_one_is_back_or_by_and_by_and_not_at_once() {
    let mut s = Stage::usual();
    let client = s.client();
    let before = s.accepts;
    for _ in 0..50 {
        s.machine.not_accepted();
        s.machine.tick(s.now);
        s.carry_out();
    }
    assert_eq!(s.accepts, before, "it fails again at once");
    s.ended(client, false);
    assert_eq!(s.accepts, before + 1, "a descriptor is back");
    s.machine.not_accepted();
    s.carry_out();
    s.pass(1_100_000);
    assert_eq!(s.accepts, before + 2);
}
