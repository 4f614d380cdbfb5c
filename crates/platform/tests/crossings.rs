//! Races with the start of an attempt or the end of a connection, in virtual time. The table in
//! `docs/platform.md` names the test of each.

mod common;

use common::*;
use platform::{ConnectionEnd, SocketId};

/// Attempts may not be cancelled, and connecting may take two seconds.
fn without_cancel() -> TestGateway {
    TestGateway::with_settings(|settings| {
        settings["policyLimits"]["cancel"] = false.into();
        settings["policyLimits"]["connectTimeoutUs"] = 2_000_000.into();
    })
}

fn client_with_request(gateway: &mut TestGateway, request: &str) -> SocketId {
    let client = gateway.connect_client();
    gateway.receive(client, request);
    client
}

#[test]
fn an_attempt_waiting_for_a_connection_is_withdrawn_on_disconnect_even_without_cancellation() {
    for request in [read_request("r1", 0), write_request("r1", 0, "x")] {
        // While its connection is being established.
        let mut gateway = without_cancel();
        let client = client_with_request(&mut gateway, &request);
        let node = gateway.connecting_to_nodes()[0];
        gateway.advance(50_000);
        gateway.end(client, false);
        gateway.establish(node);
        gateway.advance(1_000_000);
        assert_eq!(gateway.take_written(node), "", "sent although its client disconnected");
        // The decision module knows that no attempt is in progress: the next one is sent at once, on that
        // connection.
        let next = client_with_request(&mut gateway, &read_request("r2", 0));
        assert!(gateway.take_written(node).contains("X-Request-ID: r2"));
        gateway.receive(node, ok_response("2"));
        assert_eq!(gateway.take_statuses(next), [200]);
        // After a response, while the connection is cooling down.
        let last = client_with_request(&mut gateway, &request);
        gateway.end(last, false);
        gateway.advance(1_000_000);
        assert_eq!(gateway.take_written(node), "", "sent although its client disconnected");
    }
}

#[test]
fn on_disconnect_a_partly_written_attempt_is_closed_and_a_sent_one_continues() {
    let mut gateway = without_cancel();
    let client = client_with_request(&mut gateway, &write_request("r1", 0, "x"));
    let node = gateway.establish_node();
    gateway.blocked_output.insert(node);
    gateway.end(client, false);
    assert!(gateway.closed.contains(&node), "its last byte could still be written");
    let client = client_with_request(&mut gateway, &write_request("r2", 1, "x"));
    let node = gateway.establish_node();
    gateway.end(client, false);
    assert!(!gateway.closed.contains(&node), "it was sent, and may not be cancelled");
}

#[test]
fn a_client_that_sends_far_ahead_is_read_on_so_that_its_end_is_seen_and_its_answer_is_the_last() {
    let ahead = read_request("r2", 0).repeat(500);
    let mut gateway = without_cancel();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let node = gateway.connecting_to_nodes()[0];
    let before = gateway.resume_count;
    for chunk in ahead.as_bytes()[..80 << 10].chunks(16 << 10) {
        gateway.receive(client, chunk);
    }
    assert_eq!(gateway.resume_count, before + 5, "a connection that isn't read doesn't show its end");
    gateway.end(client, false);
    gateway.establish(node);
    gateway.advance(1_000_000);
    assert_eq!(gateway.take_written(node), "", "sent although its client disconnected");
    // A client that stays gets the response to its open request and no further one, as the requests behind it
    // can't be parsed any more.
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    for chunk in ahead.as_bytes()[..80 << 10].chunks(16 << 10) {
        gateway.receive(client, chunk);
    }
    assert!(gateway.take_written(node).contains("X-Request-ID: r1"));
    gateway.receive(node, ok_response("1"));
    let answers = gateway.take_written(client);
    assert!(answers.contains("Connection: close") && answers.matches("HTTP/1.1 ").count() == 1, "{answers}");
}

#[test]
fn a_client_that_pipelines_without_limit_gets_an_error_and_is_closed() {
    let mut gateway = without_cancel();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let node = gateway.connecting_to_nodes()[0];
    let mut sent = 0;
    while !gateway.closed.contains(&client) {
        gateway.receive(client, [b'x'; 16 << 10]);
        sent += 16 << 10;
        assert!(sent < 1 << 20, "reading never stops");
    }
    assert_eq!(gateway.take_statuses(client), [400]);
    gateway.establish(node);
    gateway.advance(1_000_000);
    assert_eq!(gateway.take_written(node), "", "its request was withdrawn");
    assert_eq!(gateway.machine.open_requests(), 0);
}

#[test]
fn nothing_is_sent_after_the_deadline_and_a_request_never_sent_is_refused() {
    // The connection is established exactly at the deadline, or later; a write that never started is refused.
    for late in [0, 1, 300_000] {
        let mut gateway = without_cancel();
        let client = client_with_request(&mut gateway, &write_request("r1", 0, "x"));
        let node = gateway.connecting_to_nodes()[0];
        gateway.now += 800_000 + late;
        gateway.establish(node);
        gateway.advance(1_000_000);
        assert_eq!(gateway.take_written(node), "", "{late} us late");
        assert_eq!(gateway.take_statuses(client), [503], "{late} us late");
    }
    // The same if it isn't established before the deadline.
    let mut gateway = without_cancel();
    let client = client_with_request(&mut gateway, &write_request("r1", 0, "x"));
    gateway.advance(801_000);
    assert_eq!(gateway.take_statuses(client), [503]);
}

#[test]
fn a_node_is_given_the_time_left_when_the_attempt_starts() {
    let mut gateway = without_cancel();
    client_with_request(&mut gateway, &read_request("r1", 0));
    let node = gateway.connecting_to_nodes()[0];
    gateway.advance(100_000);
    gateway.establish(node);
    assert!(gateway.take_written(node).contains("X-Timeout-Ms: 300\r\n"));
}

#[test]
fn a_waiting_retry_is_not_sent_once_nodes_may_have_forgotten_the_idempotency_key() {
    let window = 300_000;
    let mut gateway = TestGateway::with_settings(|settings| {
        settings["classes"][1]["keyTtlUs"] = window.into();
        settings["policyLimits"]["connectTimeoutUs"] = 2_000_000.into();
    });
    let client = client_with_request(&mut gateway, &write_request("r1", 0, "x"));
    let first = gateway.establish_node();
    assert!(gateway.take_written(first).contains("X-Request-ID: r1"));
    gateway.end(first, false);
    let begun = gateway.now;
    while gateway.connecting_to_nodes().is_empty() {
        gateway.advance(1_000);
        assert!(gateway.now < begun + window / 2, "no retry");
    }
    let second = gateway.connecting_to_nodes()[0];
    gateway.advance(window);
    gateway.establish(second);
    gateway.advance(1_000_000);
    assert_eq!(gateway.take_written(second), "", "repeated past its window");
    assert_eq!(gateway.take_statuses(client), [502], "the first may have run");
}

#[test]
fn a_waiting_attempt_is_reassigned_when_its_node_drains() {
    let mut gateway = without_cancel();
    let watch = gateway.establish_answered_watch();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let old = gateway.connecting_to_nodes()[0];
    gateway.send_list(
        watch,
        &node_list(
            6,
            false,
            &[
                list_entry("a", address(100), 0, "terminating"),
                list_entry("c", address(102), 0, "in_service"),
            ],
        ),
    );
    assert!(
        gateway.connecting.iter().any(|(_, at)| *at == address(102)),
        "the decision module chooses another node"
    );
    gateway.establish(old);
    gateway.advance(1_000);
    assert_eq!(gateway.take_written(old), "");
    let new = gateway.connecting.iter().find(|(_, at)| *at == address(102)).expect("a connection").0;
    gateway.establish(new);
    assert!(gateway.take_written(new).contains("X-Request-ID: r1"));
    gateway.receive(new, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
}

#[test]
fn a_waiting_attempt_is_decided_again_when_its_node_restarted() {
    let mut gateway = without_cancel();
    let watch = gateway.establish_answered_watch();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let old = gateway.connecting_to_nodes()[0];
    let mut started = list_entry("a", address(100), 0, "in_service");
    started["up_since_ms"] = (gateway.now / 1000 - 100).into();
    gateway.send_list(watch, &node_list(6, false, &[started]));
    // The attempt was decided for the node's previous process. The node is cold again, and a gateway
    // that started later than a cold node sends it nothing during its own first `cold_window` (`fallUs`, here
    // 1 s).
    gateway.establish(old);
    assert_eq!(gateway.take_written(old), "", "an attempt decided for the previous process was sent");
    gateway.advance(1_500_000);
    assert_eq!(gateway.take_statuses(client).len(), 1);
}

#[test]
fn a_connection_that_comes_up_at_an_address_which_its_node_has_left_carries_nothing() {
    let mut gateway = without_cancel();
    let watch = gateway.establish_answered_watch();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let old = gateway.connecting_to_nodes()[0];
    gateway.send_list(watch, &node_list(6, false, &[list_entry("a", address(200), 0, "in_service")]));
    gateway.establish(old);
    assert!(gateway.closed.contains(&old) && gateway.take_written(old).is_empty());
    let new = gateway.establish_node();
    assert!(gateway.take_written(new).contains("X-Request-ID: r1"));
    gateway.receive(new, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
}

#[test]
fn an_answer_without_a_length_is_whole_at_an_orderly_end_only() {
    let answer = "HTTP/1.1 200 OK\r\n\r\nall of it";
    let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r1", 0, "x"));
    gateway.receive(node, answer);
    assert!(gateway.take_written(client).is_empty(), "a partial response was forwarded");
    gateway.end_with(node, ConnectionEnd::Orderly);
    let served = gateway.take_written(client);
    assert!(served.starts_with("HTTP/1.1 200") && served.ends_with("\r\n\r\nall of it"), "{served}");
    assert!(served.contains("Content-Length: 9\r\n"), "{served}");
    // A reset doesn't complete the response, and neither does the end of a response that states more than
    // arrived.
    let short = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nall of it";
    let in_chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nall";
    let in_trailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\nA: b\r\n";
    let both = [ConnectionEnd::Orderly, ConnectionEnd::Broken];
    let cases = [(answer, &both[1..]), (short, &both[..]), (in_chunk, &both[..]), (in_trailer, &both[..])];
    for (answer, ends) in cases {
        for &end in ends {
            let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r1", 0, "x"));
            gateway.receive(node, answer);
            gateway.end_with(node, end);
            gateway.advance(1_000_000);
            assert_eq!(gateway.take_statuses(client), [502], "{end:?} after {answer:?}");
        }
    }
}

#[test]
fn a_request_that_arrives_as_its_idle_connection_closes_is_answered() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, ok_response("1"));
    gateway.take_written(client);
    gateway.unread.insert(client);
    gateway.advance(5_100_000);
    assert!(!gateway.write_shut_down.contains(&client) && !gateway.closed.contains(&client));
    gateway.receive(client, read_request("r2", 0));
    let node = gateway.connecting_to_nodes().first().copied().map_or(node, |connecting| {
        gateway.establish(connecting);
        connecting
    });
    gateway.receive(node, ok_response("2"));
    assert_eq!(gateway.take_statuses(client), [200]);
}

#[test]
fn requests_received_after_the_write_side_was_shut_down_are_never_forwarded() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, ok_response("1"));
    gateway.take_written(node);
    gateway.advance(5_100_000);
    assert!(gateway.write_shut_down.contains(&client));
    gateway.receive(client, read_request("r2", 0));
    gateway.advance(1_000_000);
    assert!(gateway.take_written(node).is_empty() && gateway.connecting_to_nodes().is_empty());
    assert!(gateway.closed.contains(&client));
}

#[test]
fn requests_pipelined_behind_connection_close_are_ignored() {
    let mut gateway = without_cancel();
    let last = read_request("r1", 0).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
    let client = client_with_request(&mut gateway, &(last + &read_request("r2", 0)));
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    gateway.advance(1_000_000);
    assert_eq!(gateway.take_statuses(client), [200]);
    assert!(!gateway.take_written(node).contains("r2") && gateway.connecting_to_nodes().is_empty());
}

#[test]
fn a_partial_response_on_an_idle_connection_is_never_forwarded() {
    for rest in [1_000, 2_000_000] {
        let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
        gateway.receive(node, ok_response("1"));
        gateway.take_written(client);
        gateway.advance(rest);
        gateway.receive(node, "HTTP/1.1 200 O");
        assert!(gateway.closed.contains(&node));
        gateway.receive(client, read_request("r2", 0));
        let other = gateway.establish_node();
        gateway.receive(other, ok_response("2"));
        assert!(gateway.take_written(client).ends_with("\r\n\r\n2"));
    }
}

#[test]
fn requests_admitted_before_shutdown_are_answered_before_sigkill() {
    let mut gateway = TestGateway::with_settings(|settings| {
        settings["classes"][1]["deadlineUs"] = 5_000_000.into();
    });
    let waits = client_with_request(
        &mut gateway,
        &write_request("r1", 0, "x").replace("X-Timeout-Ms: 800", "X-Timeout-Ms: 5000"),
    );
    let node = gateway.establish_node();
    let other = client_with_request(
        &mut gateway,
        &read_request("r2", 1).replace("X-Timeout-Ms: 400", "X-Timeout-Ms: 4000"),
    );
    let silent = gateway.establish_node();
    gateway.machine.shut_down(gateway.now);
    gateway.perform_outputs();
    gateway.receive(silent, ok_response("2"));
    assert_eq!(gateway.take_statuses(other), [200]);
    // At most three seconds count, plus 0.7: SIGKILL may come then.
    gateway.advance(3_700_000 - 1);
    assert!(gateway.take_written(node).contains("X-Request-ID: r1"));
    assert_eq!(gateway.take_statuses(waits), [502], "its node said nothing, and it may have run");
    assert!(gateway.write_shut_down.contains(&waits));
}

/// A pipelined request's deadline must count from its own last byte, not from the moment at which the gateway
/// comes to it. Otherwise its node is given 400 ms after 250 of them have passed, and the client gets its
/// response too late or not at all.
///
/// `Machine::send_final_response` went on with pipelined requests as if they had just arrived. In the restart
/// soak, nodes were given up to 1.4 s more than was left, and pipelined requests had no response 0.6 s after
/// their deadline.
#[test]
fn the_time_of_a_request_behind_an_open_one_counts_from_its_own_last_byte() {
    let mut gateway = TestGateway::with_two_nodes();
    let client = client_with_request(&mut gateway, &read_request("r1", 0));
    let node = gateway.establish_node();
    assert!(gateway.take_written(node).contains("X-Timeout-Ms: 400\r\n"));
    gateway.advance(100_000);
    let second = read_request("r2", 1);
    gateway.receive(client, &second[..second.len() - 1]);
    gateway.advance(50_000);
    gateway.receive(client, &second[second.len() - 1..]);
    gateway.advance(100_000);
    // Bytes of a third request don't extend the second one's deadline.
    gateway.receive(client, read_request("r3", 1));
    gateway.advance(100_000);
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
    let other = gateway.establish_node();
    let second = gateway.take_written(other);
    assert!(second.contains("X-Request-ID: r2\r\n") && second.contains("X-Timeout-Ms: 200\r\n"), "{second}");
    // Its node doesn't respond: the client gets a response at the deadline.
    gateway.advance(200_000);
    assert!(!gateway.take_statuses(client).is_empty());
}

/// Complete requests behind one whose response would end the connection must be answered first. The response
/// ends the connection where slots are short or the gateway shuts down.
///
/// `Machine::write_response` ended the connection without checking for pipelined requests. In the restart
/// soak with many idle clients, pipelined requests ended without a response up to 0.6 s after they were
/// written, with no attempt.
#[test]
fn requests_that_have_come_behind_an_answer_are_answered_before_their_connection_ends() {
    // Connection slots are short.
    let mut gateway = TestGateway::with_two_nodes();
    let client = client_with_request(&mut gateway, &(read_request("r1", 0) + &read_request("r2", 1)));
    let others: Vec<SocketId> = (0..14).map(|_| gateway.connect_client()).collect();
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("1"));
    let first = gateway.take_written(client);
    assert!(first.starts_with("HTTP/1.1 200") && !first.contains("Connection: close"), "{first}");
    let node = gateway.establish_node();
    gateway.receive(node, ok_response("2"));
    let second = gateway.take_written(client);
    assert!(second.starts_with("HTTP/1.1 200") && second.contains("Connection: close"), "{second}");
    drop(others);

    // The gateway shuts down; pipelined requests are answered at once.
    let mut gateway = TestGateway::with_two_nodes();
    let client = client_with_request(
        &mut gateway,
        &(write_request("r1", 0, "x") + &read_request("r2", 1) + &read_request("r3", 1)),
    );
    let _silent = gateway.establish_node();
    gateway.machine.shut_down(gateway.now);
    gateway.perform_outputs();
    gateway.advance(1_700_000 - 1);
    assert_eq!(gateway.take_statuses(client).len(), 3);
    assert!(gateway.write_shut_down.contains(&client));
}
