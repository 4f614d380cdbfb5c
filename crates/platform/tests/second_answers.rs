//! A node that responds twice, the second time some milliseconds later.

mod common;

use common::*;
use platform::SocketId;

fn sent_request(id: &str) -> (TestGateway, SocketId, SocketId) {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.receive(client, read_request(id, 0));
    let node = gateway.establish_node();
    gateway.take_written(node);
    (gateway, client, node)
}

#[test]
fn a_second_response_some_milliseconds_later_reaches_no_client() {
    for late in [0, 1_000, 5_000, 9_000] {
        let (mut gateway, client, node) = sent_request("r1");
        gateway.receive(node, ok_response("of r1"));
        assert!(gateway.take_written(client).ends_with("of r1"));
        // The next request arrives at once, and the second response before that request was sent on the
        // connection.
        gateway.receive(client, read_request("r2", 0));
        gateway.advance(late);
        assert!(gateway.take_written(node).is_empty(), "the connection is cooling down");
        gateway.receive(node, ok_response("of r1"));
        assert!(gateway.closed.contains(&node) && gateway.take_written(client).is_empty());
        let other = gateway.establish_node();
        assert!(
            gateway.take_written(other).contains("X-Request-ID: r2"),
            "it was never sent: another connection carries it"
        );
        gateway.receive(other, ok_response("of r2"));
        assert!(gateway.take_written(client).ends_with("of r2"));
    }
}

#[test]
fn the_next_request_waits_for_the_cooldown_without_a_new_connection() {
    let (mut gateway, client, node) = sent_request("r1");
    gateway.receive(node, ok_response("1"));
    gateway.receive(client, read_request("r2", 0));
    gateway.advance(9_000);
    assert!(gateway.take_written(node).is_empty() && gateway.connecting_to_nodes().is_empty());
    gateway.advance(2_000);
    assert!(gateway.take_written(node).contains("X-Request-ID: r2"));
    gateway.receive(node, ok_response("2"));
    assert_eq!(gateway.take_statuses(client), [200, 200]);
}

#[test]
fn attempts_waiting_for_a_cooldown_survive_disconnect_move_and_reset() {
    // Its client disconnects: the connection serves the next request.
    let (mut gateway, client, node) = sent_request("r1");
    gateway.receive(node, ok_response("1"));
    gateway.receive(client, read_request("r2", 0));
    gateway.end(client, false);
    gateway.advance(30_000);
    assert!(gateway.take_written(node).is_empty());
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r3", 0));
    assert!(gateway.take_written(node).contains("X-Request-ID: r3"));
    // The connection breaks: the waiting attempt takes another.
    gateway.receive(node, ok_response("3"));
    gateway.take_statuses(client);
    gateway.receive(client, read_request("r4", 0));
    gateway.end(node, false);
    let other = gateway.establish_node();
    assert!(gateway.take_written(other).contains("X-Request-ID: r4"));
    // The node's address changes: the waiting attempt follows.
    gateway.receive(other, ok_response("4"));
    gateway.take_statuses(client);
    gateway.receive(client, read_request("r5", 0));
    let watch = gateway.establish_watch();
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
    gateway.send_list(watch, &node_list(6, false, &[list_entry("a", address(200), 0, "in_service")]));
    gateway.finish_cooldown();
    assert!(gateway.closed.contains(&other) && gateway.take_written(other).is_empty());
    assert_eq!(gateway.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(200)]);
    let moved = gateway.establish_node();
    gateway.receive(moved, ok_response("5"));
    assert_eq!(gateway.take_statuses(client), [200]);
}
