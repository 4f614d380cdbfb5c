//! Connection slots for clients, in virtual time: which connections are closed when slots run short, and the
//! timeouts of clients that wait for one.

mod common;

use common::*;
use platform::{ResourceLimits, SocketId};

fn client_with_request(gateway: &mut TestGateway, request: &str) -> SocketId {
    let client = gateway.connect_client();
    gateway.receive(client, request);
    client
}

/// A gateway with two slots, both taken: one by a client whose last response was written, one by an open
/// request.
fn gateway_with_full_slots() -> (TestGateway, SocketId) {
    let nodes = node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]);
    let mut gateway =
        TestGateway::with_list(ResourceLimits { client_connections: 2, ..LARGE_LIMITS }, &nodes);
    let pending = client_with_request(&mut gateway, &read_request("r0", 0));
    let last = client_with_request(
        &mut gateway,
        &read_request("r1", 0).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n"),
    );
    let connecting = gateway.connecting_to_nodes();
    gateway.establish(connecting[1]);
    gateway.blocked_output.insert(last);
    gateway.receive(connecting[1], ok_response("1"));
    assert!(gateway.write_shut_down.contains(&last) && !gateway.closed.contains(&pending));
    (gateway, last)
}

#[test]
fn an_unwritten_last_response_keeps_its_slot() {
    let (mut gateway, last) = gateway_with_full_slots();
    let before = gateway.accept_permits;
    gateway.advance(400_000);
    assert!(!gateway.closed.contains(&last), "its response would be lost");
    gateway.blocked_output.remove(&last);
    gateway.advance(600_000);
    assert!(gateway.closed.contains(&last));
    assert_eq!(gateway.accept_permits, before + 1);
    // A client that never reads keeps its slot for a limited time.
    let (mut gateway, last) = gateway_with_full_slots();
    gateway.advance(5_600_000);
    assert!(gateway.closed.contains(&last));
}

#[test]
fn an_idle_connection_with_an_unread_request_is_not_closed() {
    let nodes = node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]);
    let mut gateway =
        TestGateway::with_list(ResourceLimits { client_connections: 3, ..LARGE_LIMITS }, &nodes);
    let (first, second) = (gateway.connect_client(), gateway.connect_client());
    gateway.unread.insert(first);
    gateway.connect_client();
    assert!(!gateway.closed.contains(&first), "its request would be lost");
    assert!(gateway.closed.contains(&second));
    gateway.receive(first, read_request("r1", 0));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(first), [200]);
}

#[test]
fn incomplete_requests_in_all_slots_and_waiting_clients_are_answered_in_time() {
    let nodes = node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]);
    let mut gateway =
        TestGateway::with_list(ResourceLimits { client_connections: 10, ..LARGE_LIMITS }, &nodes);
    let start = gateway.now;
    // Thirty clients have connected at once; each is accepted as permits are issued.
    let mut waiting = 30;
    let mut open: Vec<SocketId> = Vec::new();
    while waiting > 0 || !open.is_empty() {
        while waiting > 0 && gateway.accept_permits > 30 - waiting {
            waiting -= 1;
            let client = gateway.connect_client();
            gateway.receive(client, "GET /look/00");
            open.push(client);
        }
        gateway.advance(10_000);
        open.retain(|c| !gateway.write_shut_down.contains(c));
        assert!(gateway.now < start + 3_000_000, "{waiting} wait and {} are not answered", open.len());
    }
}

#[test]
fn an_incomplete_request_has_two_seconds_while_nobody_waits() {
    for served in [false, true] {
        let mut gateway = TestGateway::with_two_nodes();
        let client = gateway.connect_client();
        if served {
            gateway.receive(client, read_request("r0", 0));
            let node = gateway.establish_node();
            gateway.receive(node, ok_response("0"));
            gateway.finish_cooldown();
        }
        gateway.take_written(client);
        gateway.receive(client, &read_request("r1", 1)[..40]);
        gateway.advance(1_900_000);
        gateway.receive(client, &read_request("r1", 1)[40..]);
        let node = gateway.establish_node();
        gateway.receive(node, ok_response("1"));
        assert_eq!(gateway.take_statuses(client), [200], "served before: {served}");
    }
}

#[test]
fn after_a_failed_accept_the_next_permit_waits_for_a_descriptor_or_the_sweep() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    let before = gateway.accept_permits;
    for _ in 0..50 {
        gateway.machine.accept_failed();
        gateway.machine.tick(gateway.now);
        gateway.perform_outputs();
    }
    assert_eq!(gateway.accept_permits, before, "it fails again at once");
    gateway.end(client, false);
    assert_eq!(gateway.accept_permits, before + 1, "a descriptor was released");
    gateway.machine.accept_failed();
    gateway.perform_outputs();
    gateway.advance(1_100_000);
    assert_eq!(gateway.accept_permits, before + 2);
}
