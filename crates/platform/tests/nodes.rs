//! The gateway without sockets, in virtual time: attempts at nodes, their connections and responses.

mod common;

use common::*;
use platform::{ResourceLimits, SocketId};

#[test]
fn a_request_goes_to_its_shards_node_unchanged_and_the_answer_comes_back_unchanged() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.receive(client, write_request("r1", 1, "some body"));
    assert_eq!(gateway.connecting.iter().filter(|(_, a)| *a == address(101)).count(), 1);
    let node = gateway.establish_node();
    gateway.now += 30_000;
    let request = gateway.take_written(node);
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("PUT /post/00000000000000aa/00000000000000bb?x=%20 HTTP/1.1\r\n"), "{head}");
    for line in ["X-Request-ID: r1", "Idempotency-Key: key-r1", "Content-Length: 9", "X-Timeout-Ms: 800"] {
        assert!(head.lines().any(|l| l == line), "{line} is not in {head}");
    }
    assert_eq!(body, "some body");
    gateway.receive(node, ok_response("what the node says"));
    let answer = gateway.take_written(client);
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nwhat the node says"),
        "{answer}"
    );
}

#[test]
fn the_most_recently_used_connection_is_reused_for_one_request_at_a_time() {
    let (mut gateway, client, first) = gateway_with_sent_request(&read_request("r1", 0));
    let other = gateway.connect_client();
    gateway.receive(other, read_request("r2", 0));
    let second = gateway.establish_node();
    assert_ne!(first, second);
    gateway.receive(first, ok_response("1"));
    gateway.receive(second, ok_response("2"));
    gateway.take_written(second);
    gateway.finish_cooldown();
    gateway.receive(client, read_request("r3", 0));
    assert!(gateway.connecting_to_nodes().is_empty());
    assert!(gateway.take_written(second).contains("X-Request-ID: r3"));
}

#[test]
fn an_attempt_waiting_for_a_new_connection_uses_one_that_becomes_available() {
    let (mut gateway, client, first) = gateway_with_sent_request(&read_request("r1", 0));
    let other = gateway.connect_client();
    gateway.receive(other, read_request("r2", 0));
    let connecting = gateway.connecting_to_nodes();
    gateway.receive(first, ok_response("1"));
    gateway.finish_cooldown();
    assert!(gateway.take_written(first).contains("X-Request-ID: r2"));
    assert_eq!(gateway.take_statuses(client), [200]);
    // The connection being established serves the next request.
    gateway.establish(connecting[0]);
    assert!(gateway.take_written(connecting[0]).is_empty());
    gateway.receive(client, read_request("r3", 0));
    assert!(gateway.take_written(connecting[0]).contains("X-Request-ID: r3"));
}

#[test]
fn responses_map_to_outcomes_as_the_protocol_says() {
    // Returns the client's statuses if every attempt of a keyed write gets this response: 503 if it never
    // ran, 502 otherwise.
    let answered = |answer: &str| {
        let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r1", 0, "x"));
        while gateway.machine.open_requests() > 0 {
            if !gateway.take_written(node).is_empty() {
                gateway.receive(node, answer);
            }
            gateway.advance(10_000);
        }
        gateway.take_statuses(client)
    };
    for status in [503, 504] {
        let unseen = format!("HTTP/1.1 {status} Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(answered(&unseen), [503]);
        // Without the node's statement it may have run and is never reported as refused.
        assert_eq!(answered(&unseen.replace("X-Not-Processed: 1\r\n", "")), [502]);
    }
    assert_eq!(answered("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), [502]);
}

#[test]
fn a_connection_that_never_comes_or_breaks_early_never_ran_and_a_later_break_may_have() {
    let ends = |act: &dyn Fn(&mut TestGateway, SocketId)| {
        let mut gateway = TestGateway::with_two_nodes();
        let client = gateway.connect_client();
        gateway.receive(client, write_request("r1", 0, "x"));
        let node = gateway.connecting_to_nodes()[0];
        act(&mut gateway, node);
        gateway.advance(2_000_000);
        gateway.take_statuses(client)
    };
    assert_eq!(ends(&|gateway, node| gateway.end(node, true)), [503], "refused by the node");
    assert_eq!(ends(&|gateway, _| gateway.advance(1_000_000)), [503], "never up");
    let cut = |gateway: &mut TestGateway, node| {
        gateway.establish(node);
        gateway.end(node, true);
    };
    assert_eq!(ends(&cut), [503], "broke before the last byte");
    let reset = |gateway: &mut TestGateway, node| {
        gateway.establish(node);
        gateway.end(node, false);
    };
    assert_eq!(ends(&reset), [502], "broke after it");
}

#[test]
fn a_connection_that_does_not_come_up_in_the_settings_time_is_closed() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    let node = gateway.connecting_to_nodes()[0];
    gateway.advance(199_000);
    assert!(!gateway.closed.contains(&node));
    gateway.advance(2_000);
    assert!(gateway.closed.contains(&node));
}

#[test]
fn a_silent_node_costs_its_connection_and_the_client_is_answered_at_its_deadline() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.advance(399_000);
    assert!(gateway.take_statuses(client).is_empty());
    gateway.advance(2_000);
    assert_eq!(gateway.take_statuses(client), [503]);
    assert!(gateway.closed.contains(&node));
    // A later response is ignored.
    gateway.receive(node, ok_response("late"));
    assert!(gateway.take_statuses(client).is_empty());
}

#[test]
fn a_refusal_is_sent_at_once_with_retry_after() {
    let mut gateway = TestGateway::with_list(
        LARGE_LIMITS,
        &node_list(1, true, &[list_entry("a", address(100), 0, "terminating")]),
    );
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    gateway.advance(101_000);
    let answer = gateway.take_written(client);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    let after = answer.lines().find_map(|l| l.strip_prefix("Retry-After: ")).expect("advice");
    assert!(after.parse::<f64>().is_ok_and(|a| a > 0.0 && a <= 1.0), "{after}");
    // Held until its latency target, not until its deadline.
    assert_eq!(gateway.machine.open_requests(), 0);
}

#[test]
fn a_client_that_closes_is_withdrawn_and_its_attempt_cancelled() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.end(client, false);
    assert!(gateway.closed.contains(&node));
    assert_eq!(gateway.machine.open_requests(), 0);
    // An attempt that waits for its connection is never sent.
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r2", 0));
    let connecting = gateway.connecting_to_nodes()[0];
    gateway.end(client, false);
    gateway.establish(connecting);
    assert!(gateway.take_written(connecting).is_empty());
}

#[test]
fn invalid_responses_fail_the_attempt_and_close_the_connection() {
    let spoilt = [
        "noise without end or sense\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(20_000)),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(20),
    ];
    for answer in spoilt {
        let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r1", 0, "x"));
        gateway.receive(node, &answer);
        assert!(gateway.closed.contains(&node), "kept open after {answer:.40}");
        gateway.advance(2_000_000);
        let statuses = gateway.take_statuses(client);
        assert!(!statuses.contains(&200), "served with {answer:.40}");
        assert_eq!(statuses, [502], "it may have run: {answer:.40}");
    }
}

#[test]
fn data_behind_a_valid_response_is_discarded_with_its_connection() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Load: what? \u{1F4A5}\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    assert_eq!(gateway.take_statuses(client), [200]);
    assert!(gateway.closed.contains(&node));
    gateway.receive(client, read_request("r2", 0));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
    // A second copy arrives a little later: the connection isn't reused.
    gateway.receive(node, ok_response("1"));
    assert!(gateway.closed.contains(&node));
    gateway.receive(client, read_request("r3", 0));
    assert!(gateway.take_statuses(client).is_empty());
    assert_eq!(gateway.connecting_to_nodes().len(), 1);
}

#[test]
fn a_response_is_forwarded_only_once_it_is_complete() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    gateway.end(node, false);
    gateway.advance(1_000_000);
    assert!(!gateway.take_statuses(client).contains(&200));
}

#[test]
fn long_responses_are_served_within_the_single_and_total_limits() {
    let long = "x".repeat(400 << 10);
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    for piece in ok_response(&long).as_bytes().chunks(16 << 10) {
        gateway.receive(node, piece);
    }
    assert!(gateway.take_written(client).ends_with(&long));
    // Together three exceed the total limit: the response that does so is abandoned, the other
    // two are served.
    let clients: Vec<SocketId> = (0..3).map(|_| gateway.connect_client()).collect();
    let mut nodes = vec![node];
    for (n, client) in clients.iter().enumerate() {
        gateway.receive(*client, read_request(&format!("l{n}"), 0));
        let connecting = gateway.connecting_to_nodes();
        connecting.iter().for_each(|&r| gateway.establish(r));
        nodes.extend(connecting);
    }
    let answer = ok_response(&long);
    for piece in answer.as_bytes().chunks(16 << 10) {
        for node in &nodes {
            if !gateway.closed.contains(node) {
                gateway.receive(*node, piece);
            }
        }
    }
    let served = clients.iter().filter(|c| gateway.take_statuses(**c) == [200]).count();
    assert_eq!((served, nodes.iter().filter(|n| gateway.closed.contains(n)).count()), (2, 1));
}

#[test]
fn idle_connections_are_closed_before_the_nodes_close_them() {
    let (mut gateway, _, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, ok_response("1"));
    gateway.advance(2_900_000);
    assert!(!gateway.closed.contains(&node));
    gateway.advance(200_000);
    assert!(gateway.closed.contains(&node));
}

#[test]
fn an_attempt_avoids_a_connection_closed_right_after_a_response() {
    let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r1", 0, "x"));
    gateway.receive(node, ok_response("1"));
    gateway.finish_cooldown();
    gateway.closed_by_node.insert(node);
    gateway.receive(client, write_request("r2", 0, "y"));
    assert!(gateway.closed.contains(&node));
    let other = gateway.establish_node();
    assert!(gateway.take_written(other).contains("X-Request-ID: r2"));
    gateway.receive(other, ok_response("2"));
    assert_eq!(gateway.take_statuses(client), [200, 200]);
}

#[test]
fn at_the_connection_limit_an_idle_one_is_closed_or_the_request_refused() {
    let members =
        [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
    let mut gateway = TestGateway::with_list(
        ResourceLimits { client_connections: 8, node_connections: 1, ..LARGE_LIMITS },
        &node_list(1, true, &members),
    );
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    let first = gateway.establish_node();
    gateway.receive(first, ok_response("1"));
    gateway.take_statuses(client);
    gateway.receive(client, read_request("r2", 1));
    assert!(gateway.closed.contains(&first));
    gateway.establish_node();
    let other = gateway.connect_client();
    gateway.receive(other, read_request("r3", 0));
    assert_eq!(gateway.take_statuses(other), [503]);
}
