//! The gateway without sockets, in virtual time: client requests and client connections.

mod common;

use common::*;
use platform::{ResourceLimits, SocketId};

#[test]
fn timeout_counts_from_the_requests_last_byte() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    let at = gateway.now;
    gateway.now += 150_000;
    gateway.machine.received(gateway.now, client, at, read_request("r1", 0).as_bytes());
    gateway.perform_outputs();
    let node = gateway.establish_node();
    assert!(gateway.take_written(node).contains("X-Timeout-Ms: 250\r\n"));
    gateway.advance(251_000);
    assert_eq!(gateway.take_statuses(client), [503]);
}

#[test]
fn pipelined_requests_are_served_one_at_a_time_in_their_order() {
    let (mut gateway, client, node) = gateway_with_sent_request(
        &(read_request("r1", 0) + &read_request("r2", 0) + "GET /ready HTTP/1.1\r\n\r\n"),
    );
    assert_eq!(gateway.take_written(node).matches("X-Request-ID").count(), 1);
    gateway.receive(node, ok_response("1"));
    gateway.finish_cooldown();
    assert!(gateway.take_written(node).contains("X-Request-ID: r2"));
    assert_eq!(gateway.take_statuses(client), [200]);
    gateway.receive(node, ok_response("2"));
    assert_eq!(gateway.take_statuses(client), [200, 200]);
}

#[test]
fn connections_close_after_the_response_on_connection_close_and_http_1_0() {
    let closing = read_request("r1", 0).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
    let (mut gateway, client, node) = gateway_with_sent_request(&closing);
    gateway.receive(node, ok_response("1"));
    assert!(gateway.take_written(client).contains("Connection: close\r\n"));
    assert!(gateway.write_shut_down.contains(&client));
    let http10_request = read_request("r2", 0).replace("HTTP/1.1", "HTTP/1.0");
    let client = gateway.connect_client();
    gateway.receive(client, http10_request);
    gateway.finish_cooldown();
    gateway.receive(node, ok_response("2"));
    assert!(gateway.write_shut_down.contains(&client));
}

#[test]
fn expect_100_continue_gets_an_interim_response() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    let whole = write_request("r1", 0, "body").replace("Host: h", "Expect: 100-continue");
    let (head, body) = whole.split_at(whole.len() - 4);
    gateway.receive(client, head);
    assert_eq!(gateway.take_statuses(client), [100]);
    gateway.receive(client, body);
    let node = gateway.establish_node();
    assert!(gateway.take_written(node).ends_with("body"));
}

#[test]
fn invalid_requests_get_a_client_error_and_never_reach_a_node() {
    let good = read_request("r1", 0);
    let put = write_request("r2", 0, "x");
    let cases = [
        ("no id", good.replace("X-Request-ID: r1\r\n", "")),
        ("two ids", good.replace("X-Request-ID: r1\r\n", "X-Request-ID: r1\r\nx-request-id: r2\r\n")),
        ("an id that cannot be passed on", good.replace("r1", "r 1")),
        ("an unknown class", good.replace("look", "nosuch")),
        ("class in path and header differ", good.replace("X-Priority-Class: look", "X-Priority-Class: post")),
        ("no class", good.replace("X-Priority-Class: look\r\n", "")),
        ("an unknown plan", good.replace("plain", "nosuch")),
        ("no plan", good.replace("X-Plan: plain\r\n", "")),
        ("a deadline that is no number", good.replace("Timeout-Ms: 400", "Timeout-Ms: soon")),
        ("a negative deadline", good.replace("Timeout-Ms: 400", "Timeout-Ms: -400")),
        ("a deadline with a point", good.replace("Timeout-Ms: 400", "Timeout-Ms: 4.5")),
        ("no deadline", good.replace("X-Timeout-Ms: 400\r\n", "")),
        ("a volume that is not hexadecimal", good.replace("00000000000000aa", "00000000000000xy")),
        ("a short volume", good.replace("00000000000000aa", "aa")),
        ("a signed volume", good.replace("00000000000000aa", "+0000000000000aa")),
        ("another path", good.replace("/look/", "/look/look/")),
        ("no units", good.replace("units=1,", "")),
        ("units that are no number", good.replace("units=1", "units=NaN")),
        ("no units at all", good.replace("units=1", "units=0")),
        ("more units than there may be", good.replace("units=1", "units=9")),
        ("a shard that is not there", good.replace("shard=0", "shard=4")),
        ("a negative shard", good.replace("shard=0", "shard=-2")),
        ("no hosts", good.replace("hosts=1", "hosts=0")),
        ("units twice", good.replace("units=1", "units=1,units=2")),
        ("a method that does not fit", good.replace("GET", "PUT")),
        ("another method", good.replace("GET", "DELETE")),
        ("a read with a body", good.replace("Host: h", "Content-Length: 1") + "x"),
        ("a write without its key", put.replace("Idempotency-Key: key-r2\r\n", "")),
        ("a length beside a coding", put.replace("Host: h", "Transfer-Encoding: chunked")),
        ("two lengths", put.replace("Host: h", "Content-Length: 1")),
        ("a negative length", put.replace("Content-Length: 1", "Content-Length: -1")),
        ("a huge length", put.replace("Content-Length: 1", "Content-Length: 60000000")),
        ("noise", "\u{7}\u{7}\u{7} not http at all\r\n\r\n".to_owned()),
        ("an endless head", format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(20_000))),
    ];
    for (what, text) in cases {
        assert!(text != good && text != put, "{what}: the case is not bad");
        let mut gateway = TestGateway::with_two_nodes();
        let client = gateway.connect_client();
        gateway.receive(client, &text);
        let statuses = gateway.take_statuses(client);
        assert!(matches!(statuses[..], [400..=428 | 430..=499 | 501 | 505]), "{what}: {statuses:?}");
        assert!(gateway.connecting_to_nodes().is_empty(), "{what}: it reached a node");
        assert_eq!(gateway.machine.open_requests(), 0, "{what}: it was admitted");
    }
}

#[test]
fn a_request_hidden_in_the_body_of_another_is_never_read() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    let smuggled = read_request("hidden", 0);
    let outer = write_request("r1", 0, &smuggled).replace("Host: h", "Transfer-Encoding: chunked");
    gateway.receive(client, outer);
    gateway.receive(client, read_request("after", 0));
    gateway.advance(3_000_000);
    assert!(gateway.connecting_to_nodes().is_empty() && gateway.machine.open_requests() == 0);
    assert_eq!(gateway.take_statuses(client), [400]);
    assert!(gateway.write_shut_down.contains(&client) && gateway.closed.contains(&client));
}

#[test]
fn the_id_of_an_open_request_is_rejected_until_it_is_answered() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    let other = gateway.connect_client();
    gateway.receive(other, read_request("r1", 0));
    assert_eq!(gateway.take_statuses(other), [409]);
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
    gateway.receive(other, read_request("r1", 0));
    gateway.finish_cooldown();
    gateway.receive(node, ok_response("2"));
    assert_eq!(gateway.take_statuses(other), [200]);
}

#[test]
fn a_body_that_is_too_long_is_rejected_by_its_length_without_reading_it() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway
        .receive(client, write_request("r1", 0, "").replace("Content-Length: 0", "Content-Length: 62914560"));
    assert_eq!(gateway.take_statuses(client), [413]);
    let mut read = 0;
    while !gateway.closed.contains(&client) {
        gateway.receive(client, [0; 16 << 10]);
        read += 16 << 10;
        assert!(read < 1 << 20, "reading never stops");
    }
}

#[test]
fn silent_and_incomplete_connections_are_closed_within_three_seconds() {
    let mut gateway = TestGateway::with_two_nodes();
    let (silent, half) = (gateway.connect_client(), gateway.connect_client());
    gateway.receive(half, &read_request("r1", 0)[..40]);
    gateway.advance(2_600_000);
    assert!(gateway.closed.contains(&silent) && gateway.closed.contains(&half));
    assert_eq!(gateway.take_statuses(half), [408]);
    // Sending slowly doesn't extend the time.
    let slow = gateway.connect_client();
    for byte in read_request("r2", 0).bytes().take(26) {
        if !gateway.closed.contains(&slow) {
            gateway.receive(slow, [byte]);
        }
        gateway.advance(100_000);
    }
    assert!(gateway.closed.contains(&slow));
}

#[test]
fn when_slots_are_full_silent_connections_close_first_and_open_requests_never() {
    let mut gateway = TestGateway::with_two_nodes();
    let pending = gateway.connect_client();
    gateway.receive(pending, read_request("r1", 0));
    let node = gateway.establish_node();
    let idle = gateway.connect_client();
    gateway.receive(idle, read_request("r0", 1));
    let other = gateway.establish_node();
    gateway.receive(other, ok_response("0"));
    let silent: Vec<SocketId> = (0..14).map(|_| gateway.connect_client()).collect();
    // Sixteen slots are taken. Each further connection replaces the oldest that never sent a request.
    assert!(gateway.closed.contains(&silent[0]));
    let before = gateway.accept_permits;
    gateway.connect_client();
    assert!(
        gateway.closed.contains(&silent[1])
            && !gateway.closed.contains(&idle)
            && !gateway.closed.contains(&pending)
    );
    assert_eq!(gateway.accept_permits, before + 1);
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(pending), [200]);
}

#[test]
fn readiness_checks_do_not_block_other_clients() {
    let mut gateway = TestGateway::with_two_nodes();
    for _ in 0..60 {
        let client = gateway.connect_client();
        gateway.receive(client, "GET /ready HTTP/1.1\r\n\r\n");
        gateway.advance(1_000);
    }
    let before = gateway.accept_permits;
    let client = gateway.connect_client();
    assert_eq!(gateway.accept_permits, before + 1, "the next one may come in");
    gateway.receive(client, read_request("r1", 0));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
}

#[test]
fn connections_close_after_the_response_while_few_slots_are_free() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    assert!(
        !gateway.take_written(client).contains("Connection: close")
            && !gateway.write_shut_down.contains(&client)
    );
    (0..13).for_each(|_| {
        gateway.connect_client();
    });
    gateway.receive(client, read_request("r2", 0));
    gateway.finish_cooldown();
    gateway.receive(node, ok_response("2"));
    assert!(
        gateway.take_written(client).contains("Connection: close")
            && gateway.write_shut_down.contains(&client)
    );
}

#[test]
fn an_idle_connection_closes_before_new_ones_without_a_request() {
    let mut gateway = TestGateway::with_list(
        ResourceLimits { client_connections: 4, ..LARGE_LIMITS },
        &node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]),
    );
    let old = gateway.connect_client();
    gateway.receive(old, read_request("r0", 0));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("0"));
    gateway.advance(2_100_000);
    let fresh: Vec<SocketId> = (0..3).map(|_| gateway.connect_client()).collect();
    assert!(gateway.closed.contains(&old) && !fresh.iter().any(|f| gateway.closed.contains(f)));
}

#[test]
fn no_connection_is_accepted_until_a_slot_is_free() {
    let mut gateway = TestGateway::with_list(
        ResourceLimits { client_connections: 2, node_connections: 8, ..LARGE_LIMITS },
        &node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]),
    );
    let (one, two) = (gateway.connect_client(), gateway.connect_client());
    assert!(gateway.closed.contains(&one));
    let three = gateway.connect_client();
    assert!(gateway.closed.contains(&two));
    gateway.receive(three, read_request("r1", 0));
    let node = gateway.establish_node();
    let four = gateway.connect_client();
    gateway.receive(four, read_request("r2", 0));
    let other = gateway.establish_node();
    let before = gateway.accept_permits;
    gateway.advance(100_000);
    assert_eq!(gateway.accept_permits, before, "both requests are open");
    gateway.receive(node, ok_response("1"));
    gateway.receive(other, ok_response("2"));
    gateway.end(three, false);
    assert_eq!(gateway.accept_permits, before + 1);
}

/// Guards against an id that runs a second time when it comes again after its client has left.
#[test]
fn an_id_that_was_sent_for_a_client_that_left_does_not_run_again() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    assert!(gateway.take_written(node).contains("X-Request-ID: r1"));
    gateway.end(client, false);
    let again = gateway.connect_client();
    gateway.receive(again, read_request("r1", 0));
    assert_eq!(gateway.take_statuses(again), [409]);
    assert!(gateway.connecting_to_nodes().is_empty());
    // A client that left before anything of its request was sent may bring it again.
    gateway.receive(again, read_request("r2", 0));
    let node = gateway.connecting_to_nodes()[0];
    gateway.end(again, false);
    let again = gateway.connect_client();
    gateway.receive(again, read_request("r2", 0));
    gateway.establish(node);
    assert!(gateway.take_statuses(again).is_empty(), "it is open");
}

/// Guards against one client whose requests are all handled before anybody else's.
#[test]
fn requests_sent_at_once_are_handled_in_turns() {
    let mut gateway = TestGateway::with_two_nodes();
    let (busy, other) = (gateway.connect_client(), gateway.connect_client());
    gateway.receive(busy, "GET /ready HTTP/1.1\r\n\r\n".repeat(100));
    let first = gateway.take_statuses(busy).len();
    assert!((1..100).contains(&first), "{first}");
    gateway.receive(other, "GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(gateway.take_statuses(other), [200]);
    // What waits is due at once.
    gateway.advance(0);
    assert_eq!(gateway.take_statuses(busy).len(), 100 - first);
}

/// Guards against bodies that are not sent to their end and fill the memory: reading gives way.
#[test]
fn a_body_without_room_waits_unread_and_is_told_so_in_time() {
    let limits = ResourceLimits { max_buffered_request_bytes: 100_000, ..LARGE_LIMITS };
    let mut gateway = TestGateway::with_list(limits, &node_list(5, true, &[]));
    let head = write_request("w", 0, "").replace("Content-Length: 0", "Content-Length: 64000");
    let (first, second, small) =
        (gateway.connect_client(), gateway.connect_client(), gateway.connect_client());
    gateway.receive(first, &head);
    let reads = gateway.resume_count;
    gateway.receive(second, head.replace("request-id: w", "request-id: x"));
    assert_eq!(gateway.resume_count, reads, "it waits unread");
    gateway.receive(small, "GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(gateway.take_statuses(small), [200], "small requests need no room");
    gateway.advance(1_300_000);
    assert_eq!(gateway.take_statuses(first), [408], "it held the room for half of its time");
    assert_eq!(gateway.take_statuses(second), [503]);
    gateway.advance(10_000_000);
    assert_eq!(gateway.machine.open_requests(), 0);
}

/// Guards against answers that nobody reads and that fill the memory together.
#[test]
fn requests_are_refused_while_answers_that_nobody_reads_fill_their_part_of_the_memory() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.machine.set_unsent_bytes(2 << 20);
    gateway.receive(client, read_request("r1", 0));
    assert_eq!(gateway.take_statuses(client), [503]);
    gateway.machine.set_unsent_bytes(0);
    gateway.receive(client, read_request("r2", 0));
    assert_eq!(gateway.machine.open_requests(), 1);
}

/// Guards against a wait for room that is never ended and keeps all others waiting.
#[test]
fn a_wait_for_room_that_changes_keeps_nobody_else_waiting() {
    let limits = ResourceLimits { max_buffered_request_bytes: 66_000, ..LARGE_LIMITS };
    let list = node_list(5, true, &[list_entry("a", address(1), 0, "in_service")]);
    let mut gateway = TestGateway::with_list(limits, &list);
    let large = |id: &str| write_request(id, 0, "").replace("Content-Length: 0", "Content-Length: 64000");
    let (holder, changing, other) =
        (gateway.connect_client(), gateway.connect_client(), gateway.connect_client());
    gateway.receive(holder, large("holder"));
    // Behind an open request, first the room of a head is needed, then that of a body.
    gateway.receive(changing, read_request("r1", 0) + &large("changing") + &"x".repeat(6000));
    gateway.receive(other, large("other"));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(changing), [200]);
    gateway.machine.tick(gateway.now);
    gateway.perform_outputs();
    gateway.end(changing, false);
    let reads = gateway.resume_count;
    gateway.end(holder, false);
    gateway.machine.tick(gateway.now);
    gateway.perform_outputs();
    assert_eq!(gateway.resume_count, reads + 1, "the other has its room");
}
