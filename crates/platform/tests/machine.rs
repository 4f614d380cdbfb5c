//! The gateway without sockets, in virtual time: node list, start, shutdown and random input.

mod common;

use common::*;
use platform::{Config, SocketId};
use proptest::prelude::*;

#[test]
fn the_watch_asks_for_changes_after_the_remembered_list_and_drains_apply() {
    let mut gateway = TestGateway::with_two_nodes();
    let watch = gateway.establish_watch();
    assert!(gateway.take_written(watch).starts_with("GET /v1/endpoints?watch=1&after=5 HTTP/1.1\r\n"));
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
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
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    assert_eq!(gateway.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(102)]);
}

#[test]
fn silence_and_errors_keep_the_list_and_reopen_the_watch() {
    let mut gateway = TestGateway::with_two_nodes();
    let watch = gateway.establish_watch();
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
    gateway.receive(watch, "1\r\n\n\r\n");
    gateway.advance(2_750_000);
    let again = gateway.establish_watch();
    gateway.receive(again, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    let again = gateway.establish_watch();
    gateway.end(again, false);
    let again = gateway.establish_watch();
    gateway.receive(again, WATCH_RESPONSE_HEAD);
    gateway.send_list(again, &serde_json::json!({"revision": 9, "complete": true, "members": []}));
    gateway.send_list(again, &serde_json::json!({"revision": 9, "complete": true, "members": [{"id": 3}, list_entry("b", address(101), 1, "in_service")]}));
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    assert_eq!(gateway.connecting_to_nodes().len(), 1, "the node is still known");
}

#[test]
fn a_moved_or_restarted_node_is_reached_on_a_new_connection() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.receive(node, ok_response("1"));
    let watch = gateway.establish_watch();
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
    gateway.send_list(watch, &node_list(6, false, &[list_entry("a", address(200), 0, "in_service")]));
    assert!(gateway.closed.contains(&node));
    gateway.receive(client, read_request("r2", 0));
    assert_eq!(gateway.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(200)]);
}

#[test]
fn a_new_discovery_address_is_used_at_once_and_the_old_watch_until_it_delivers() {
    let mut gateway = TestGateway::with_two_nodes();
    let old = gateway.establish_watch();
    gateway.receive(old, WATCH_RESPONSE_HEAD);
    gateway.machine.set_discovery_address(gateway.now, address(2));
    gateway.perform_outputs();
    assert_eq!(gateway.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(2)]);
    gateway.send_list(old, &node_list(6, false, &[list_entry("a", address(200), 0, "in_service")]));
    let new = gateway.establish_watch();
    assert!(gateway.take_written(new).contains("after=6"));
    assert!(!gateway.closed.contains(&old));
    gateway.receive(new, WATCH_RESPONSE_HEAD);
    gateway.send_list(new, &node_list(7, false, &[list_entry("a", address(201), 0, "in_service")]));
    assert!(gateway.closed.contains(&old));
    let client = gateway.connect_client();
    gateway.receive(client, read_request("r1", 0));
    assert!(gateway.connecting.iter().any(|(_, a)| *a == address(201)));
}

#[test]
fn shutdown_accepts_late_connections_and_answers_all_requests() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r1", 0));
    gateway.machine.shut_down(gateway.now);
    gateway.machine.shut_down(gateway.now);
    gateway.advance(200_000);
    let late = gateway.connect_client();
    gateway.receive(late, read_request("r2", 0));
    let other = gateway.establish_node();
    gateway.receive(other, ok_response("2"));
    assert_eq!(gateway.take_statuses(late), [200]);
    assert!(!gateway.stopped_listening);
    gateway.advance(150_000);
    assert!(gateway.take_statuses(client).is_empty() && !gateway.machine.is_finished());
    gateway.receive(node, ok_response("1"));
    assert_eq!(gateway.take_statuses(client), [200]);
    gateway.advance(200_000);
    assert!(gateway.stopped_listening && !gateway.write_shut_down.contains(&client));
    gateway.end(late, false);
    gateway.end(client, false);
    assert!(!gateway.machine.is_finished(), "clients may still connect");
    gateway.machine.listener_closed();
    assert!(gateway.machine.is_finished(), "no connection is left");
}

#[test]
fn until_the_shutdown_deadline_clients_are_served_with_timeouts_cut_to_the_time_left() {
    let (mut gateway, client, node) = gateway_with_sent_request(&write_request("r0", 0, "x"));
    gateway.receive(node, ok_response("0"));
    assert!(!gateway.take_written(client).contains("Connection: close\r\n"));
    // The longest deadline is 1 s: SIGKILL may come 1.7 s after the shutdown request.
    let shutdown_at = gateway.now;
    // Half a second of lingering before SIGKILL.
    let deadline = shutdown_at + 1_200_000;
    gateway.machine.shut_down(shutdown_at);
    let mut served_count = 0;
    while gateway.now < shutdown_at + 1_000_000 {
        gateway.advance(100_000);
        gateway.receive(client, write_request(&format!("k{served_count}"), 0, "x"));
        let forwarded = gateway.take_written(node);
        let left: i64 = (deadline - gateway.now) / 1000;
        let timeout_header = format!("X-Timeout-Ms: {}\r\n", left.min(800));
        assert!(forwarded.contains(&timeout_header), "{timeout_header} is not in {forwarded}");
        gateway.receive(node, ok_response("1"));
        assert!(
            !gateway.take_written(client).contains("Connection: close\r\n"),
            "closed before the deadline, although no other gateway may take its requests"
        );
        served_count += 1;
    }
    assert!(served_count >= 9);
    let idle = gateway.connect_client();
    gateway.receive(client, write_request("last", 0, "x"));
    assert!(!gateway.machine.is_finished());
    gateway.machine.listener_closed();
    gateway.advance(deadline - gateway.now);
    // The node doesn't respond: the client is answered when the time is up, and the connections end.
    assert!(gateway.take_written(client).contains("Connection: close\r\n"));
    assert!(gateway.write_shut_down.contains(&client) && gateway.write_shut_down.contains(&idle));
    gateway.advance(500_000);
    assert!(gateway.machine.is_finished() && gateway.now <= shutdown_at + 1_700_000);
}

/// Clients that are idle or slow to read and don't close their connections must not keep the process running
/// until SIGKILL. Lingering was to end exactly at the earliest SIGKILL and went on where input was unread; in
/// the restart soak nearly every process was still running 0 to 1 ms after it.
#[test]
fn lingering_clients_do_not_keep_the_process_until_the_earliest_sigkill() {
    let (mut gateway, client, node) = gateway_with_sent_request(&read_request("r0", 0));
    gateway.receive(node, ok_response("0"));
    let shutdown_at = gateway.now;
    let half = gateway.connect_client();
    gateway.machine.shut_down(shutdown_at);
    gateway.machine.listener_closed();
    // The longest deadline is 1 s: SIGKILL comes 1.7 s after the shutdown request at the earliest.
    gateway.advance(1_150_000);
    gateway.receive(half, "GET /look");
    let slow = gateway.connect_client();
    gateway.blocked_output.insert(slow);
    gateway.advance(shutdown_at + 1_500_000 - gateway.now);
    assert!(
        gateway.closed.contains(&client) && gateway.closed.contains(&half) && gateway.closed.contains(&slow)
    );
    assert!(gateway.machine.is_finished());
}

#[test]
fn tables_return_to_their_size_after_thousands_of_nodes_clients_and_ids() {
    let mut gateway = TestGateway::with_two_nodes();
    let watch = gateway.establish_watch();
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
    let round = |gateway: &mut TestGateway, n: usize| {
        let (port, cell) = (1000 + (n % 5000) as u16, (n % 4) as u32);
        let changes = [
            list_entry(&format!("n{n}"), address(port), cell, "in_service"),
            list_entry(
                &format!("n{}", n.wrapping_sub(4)),
                address(1000 + (n.wrapping_sub(4) % 5000) as u16),
                cell,
                "terminated",
            ),
        ];
        gateway.send_list(watch, &node_list(10 + n as u64, false, &changes[..if n >= 4 { 2 } else { 1 }]));
        let client = gateway.connect_client();
        gateway.receive(client, read_request(&format!("id{n}"), cell as i32));
        for socket in gateway.connecting_to_nodes() {
            gateway.establish(socket);
        }
        let busy: Vec<SocketId> =
            gateway.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_))).collect();
        for socket in busy {
            gateway.written.remove(&socket);
            if n.is_multiple_of(7) {
                gateway.end(socket, false)
            } else {
                gateway.receive(socket, ok_response("1"))
            }
        }
        if n.is_multiple_of(3) {
            gateway.end(client, false);
        }
        gateway.advance(10_000);
        gateway.written.retain(|k, _| matches!(k, SocketId::Node(_)));
        gateway.closed.clear();
    };
    (0..200).for_each(|n| round(&mut gateway, n));
    // Waits until everything that is kept for a time has expired; the watch sends its line every two seconds.
    let expire_entries = |gateway: &mut TestGateway| {
        for _ in 0..5 {
            gateway.receive(watch, "1\r\n\n\r\n");
            gateway.advance(2_000_000);
        }
    };
    expire_entries(&mut gateway);
    let before = gateway.machine.table_entries();
    for n in 200..4000 {
        round(&mut gateway, n);
        if n % 100 == 0 {
            gateway.receive(watch, "1\r\n\n\r\n");
        }
    }
    expire_entries(&mut gateway);
    assert!(
        gateway.machine.table_entries() <= before,
        "{} entries before, {} after; {}",
        before,
        gateway.machine.table_entries(),
        gateway.machine.summary()
    );
}

#[test]
fn an_invalid_configuration_error_names_file_and_key() {
    let good =
        config_text(address(1), 256, &node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]));
    let cases = [
        ("listen", good.replace(LISTEN, "nowhere")),
        ("discovery", good.replace(&address(1).to_string(), "somewhere:x")),
        ("seed", good.replace("0123456789abcdef", "not hex")),
        ("limits.sockets", good.replace("\"sockets\":256", "\"sockets\":\"many\"")),
        ("known", good.replace("\"revision\"", "\"version\"")),
        ("idempotency", good.replace("read_like", "whatever")),
        ("settings.classes", good.replace("\"classes\"", "\"klasses\"")),
        ("settings.policies[0].usualRate", good.replacen("\"usualRate\":50.0", "\"usualRate\":\"fast\"", 1)),
    ];
    for (key, text) in cases {
        assert_ne!(text, good, "{key}: the case is not bad");
        let error = Config::parse("/etc/gw.json", text.as_bytes()).expect_err(key).to_string();
        assert!(error.contains("/etc/gw.json") && error.contains(key), "{key}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever clients and nodes send, split anywhere: nothing panics, nothing is written to a closed
    /// connection, nothing is served that no node answered with 200, and in the end no request is open.
    #[test]
    fn random_input_leaves_no_open_requests(
        actions in prop::collection::vec((0..8usize, any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 0..60)), 1..80),
    ) {
        let mut gateway = TestGateway::with_two_nodes();
        let mut clients = Vec::new();
        let (mut id, mut served) = (0, 0);
        for (what, which, bytes) in actions {
            let socket = (!clients.is_empty()).then(|| clients[which.index(clients.len())]);
            let live = socket.filter(|c| !gateway.closed.contains(c));
            let nodes: Vec<SocketId> = gateway.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_)) && !gateway.closed.contains(k)).collect();
            let node = (!nodes.is_empty()).then(|| nodes[which.index(nodes.len())]);
            match (what, live, node) {
                (0, ..) => clients.push(gateway.connect_client()),
                (1 | 2, Some(client), _) => {
                    id += 1;
                    gateway.receive(client, read_request(&format!("i{id}"), id % 2));
                }
                (3, Some(client), _) => gateway.receive(client, &bytes),
                (4, Some(client), _) => {
                    gateway.end(client, false);
                    gateway.closed.insert(client);
                }
                (5, _, Some(node)) => { gateway.written.remove(&node); gateway.receive(node, ok_response("good")); served += 1; }
                (6, _, Some(node)) => { gateway.written.remove(&node); gateway.receive(node, &bytes); }
                (7, ..) => gateway.advance(i64::from(bytes.len() as u32) * 3_000),
                _ => {}
            }
            for socket in gateway.connecting_to_nodes() {
                gateway.establish(socket);
            }
        }
        gateway.advance(6_000_000);
        prop_assert_eq!(gateway.machine.open_requests(), 0);
        let answers: usize = clients.iter().map(|&c| gateway.take_statuses(c).iter().filter(|&&n| n == 200).count()).sum();
        prop_assert!(answers <= served);
    }
}
