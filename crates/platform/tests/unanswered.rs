//! The records of requests that ended without a final response.

mod common;

use common::*;
use platform::{ConnectionEnd, ResourceLimits};

/// Takes the log lines of requests that ended without a response.
fn take_lines(gateway: &mut TestGateway) -> Vec<String> {
    gateway.machine.take_unanswered_lines()
}

#[test]
fn a_request_whose_client_disconnected_is_logged_with_its_attempts() {
    let (mut gateway, client, _node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.now += 20_000;
    gateway.machine.connection_ended(gateway.now, client, ConnectionEnd::Broken);
    gateway.perform_outputs();
    let lines = take_lines(&mut gateway);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("id=r1 ") && lines[0].contains("cause=ClientEnded(Broken)"), "{lines:?}");
    assert!(lines[0].contains(" ended=+20000 ") && lines[0].contains(" attempt0=node0+"), "{lines:?}");
    assert!(take_lines(&mut gateway).is_empty(), "it is told once");
}

#[test]
fn a_request_that_was_answered_is_not_logged() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
    gateway.machine.connection_ended(gateway.now, client, ConnectionEnd::Orderly);
    gateway.perform_outputs();
    assert!(take_lines(&mut gateway).is_empty());
}

#[test]
fn the_oldest_records_are_dropped_and_counted() {
    const CLIENTS: usize = 70;
    // No node is listed, so all requests wait.
    let mut gateway = TestGateway::with_list(ResourceLimits::from_machine(512, 64), &node_list(5, true, &[]));
    for n in 0..CLIENTS {
        let client = gateway.connect_client();
        gateway.receive(client, read_request(&format!("r{n}"), 0));
        gateway.machine.connection_ended(gateway.now, client, ConnectionEnd::Orderly);
        gateway.perform_outputs();
    }
    let lines = take_lines(&mut gateway);
    assert!(lines.len() < CLIENTS, "{}", lines.len());
    assert_eq!(lines[0], format!("no answer: {} more that are not kept", CLIENTS + 1 - lines.len()));
    assert!(lines.last().expect("a line").contains("id=r69 "));
}
