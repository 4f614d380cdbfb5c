//! The gateway without sockets, in virtual time: what clients bring, and the places they take.

mod common;

use common::*;
use platform::{Sizes, SocketId};

#[test]
fn patience_is_what_the_client_stated_less_what_has_passed_since_its_last_byte() {
    let mut s = Stage::usual();
    let client = s.client();
    let at = s.now;
    s.now += 150_000;
    s.machine.received(s.now, client, at, look("r1", 0).as_bytes());
    s.carry_out();
    let node = s.raise();
    assert!(s.take(node).contains("X-Timeout-Ms: 250\r\n"));
    s.pass(251_000);
    assert_eq!(s.statuses(client), [503]);
}

#[test]
fn pipelined_requests_are_served_one_at_a_time_in_their_order() {
    let (mut s, client, node) = sent(&(look("r1", 0) + &look("r2", 0) + "GET /ready HTTP/1.1\r\n\r\n"));
    assert_eq!(s.take(node).matches("X-Request-ID").count(), 1);
    s.bytes(node, ok("1"));
    s.cool();
    assert!(s.take(node).contains("X-Request-ID: r2"));
    assert_eq!(s.statuses(client), [200]);
    s.bytes(node, ok("2"));
    assert_eq!(s.statuses(client), [200, 200]);
}

#[test]
fn connections_close_after_the_answer_where_the_client_says_so() {
    let closing = look("r1", 0).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
    let (mut s, client, node) = sent(&closing);
    s.bytes(node, ok("1"));
    assert!(s.take(client).contains("Connection: close\r\n"));
    assert!(s.finished.contains(&client));
    let old = look("r2", 0).replace("HTTP/1.1", "HTTP/1.0");
    let client = s.client();
    s.bytes(client, old);
    s.cool();
    s.bytes(node, ok("2"));
    assert!(s.finished.contains(&client));
}

#[test]
fn a_client_that_waits_to_go_on_is_told_to() {
    let mut s = Stage::usual();
    let client = s.client();
    let whole = post("r1", 0, "body").replace("Host: h", "Expect: 100-continue");
    let (head, body) = whole.split_at(whole.len() - 4);
    s.bytes(client, head);
    assert_eq!(s.statuses(client), [100]);
    s.bytes(client, body);
    let node = s.raise();
    assert!(s.take(node).ends_with("body"));
}

#[test]
fn bad_requests_get_an_error_that_promises_nothing_and_never_reach_a_node() {
    let good = look("r1", 0);
    let put = post("r2", 0, "x");
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
        let mut s = Stage::usual();
        let client = s.client();
        s.bytes(client, &text);
        let statuses = s.statuses(client);
        assert!(matches!(statuses[..], [400..=428 | 430..=499 | 501 | 505]), "{what}: {statuses:?}");
        assert!(s.rising().is_empty(), "{what}: it reached a node");
        assert_eq!(s.machine.open(), 0, "{what}: it was taken");
    }
}

#[test]
fn a_request_hidden_in_the_body_of_another_is_never_read() {
    let mut s = Stage::usual();
    let client = s.client();
    let smuggled = look("hidden", 0);
    let outer = post("r1", 0, &smuggled).replace("Host: h", "Transfer-Encoding: chunked");
    s.bytes(client, outer);
    s.bytes(client, look("after", 0));
    s.pass(3_000_000);
    assert!(s.rising().is_empty() && s.machine.open() == 0);
    assert_eq!(s.statuses(client), [400]);
    assert!(s.finished.contains(&client) && s.closed.contains(&client));
}

#[test]
fn the_id_of_an_open_request_is_turned_down_until_it_is_answered() {
    let (mut s, client, node) = sent(&look("r1", 0));
    let other = s.client();
    s.bytes(other, look("r1", 0));
    assert_eq!(s.statuses(other), [409]);
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(client), [200]);
    s.bytes(other, look("r1", 0));
    s.cool();
    s.bytes(node, ok("2"));
    assert_eq!(s.statuses(other), [200]);
}

#[test]
fn a_body_that_is_too_long_is_answered_from_its_length_and_little_more_is_read() {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, post("r1", 0, "").replace("Content-Length: 0", "Content-Length: 62914560"));
    assert_eq!(s.statuses(client), [413]);
    let mut read = 0;
    while !s.closed.contains(&client) {
        s.bytes(client, [0; 16 << 10]);
        read += 16 << 10;
        assert!(read < 1 << 20, "it reads on and on");
    }
}

#[test]
fn connections_that_say_nothing_or_half_a_request_are_let_go_well_inside_three_seconds() {
    let mut s = Stage::usual();
    let (silent, half) = (s.client(), s.client());
    s.bytes(half, &look("r1", 0)[..40]);
    s.pass(2_600_000);
    assert!(s.closed.contains(&silent) && s.closed.contains(&half));
    assert_eq!(s.statuses(half), [408]);
    // Dribbling does not help.
    let slow = s.client();
    for byte in look("r2", 0).bytes().take(26) {
        if !s.closed.contains(&slow) {
            s.bytes(slow, [byte]);
        }
        s.pass(100_000);
    }
    assert!(s.closed.contains(&slow));
}

#[test]
fn where_all_places_are_taken_silent_connections_give_way_first_then_idle_ones_and_none_that_is_owed() {
    let mut s = Stage::usual();
    let owed = s.client();
    s.bytes(owed, look("r1", 0));
    let node = s.raise();
    let idle = s.client();
    s.bytes(idle, look("r0", 1));
    let other = s.raise();
    s.bytes(other, ok("0"));
    let silent: Vec<SocketId> = (0..14).map(|_| s.client()).collect();
    // Sixteen places are taken. Each further one takes the place of the oldest that never spoke.
    assert!(s.closed.contains(&silent[0]));
    let before = s.accepts;
    s.client();
    assert!(s.closed.contains(&silent[1]) && !s.closed.contains(&idle) && !s.closed.contains(&owed));
    assert_eq!(s.accepts, before + 1);
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(owed), [200]);
}

#[test]
fn a_crowd_that_asks_only_whether_we_are_ready_keeps_nobody_out() {
    let mut s = Stage::usual();
    for _ in 0..60 {
        let client = s.client();
        s.bytes(client, "GET /ready HTTP/1.1\r\n\r\n");
        s.pass(1_000);
    }
    let before = s.accepts;
    let client = s.client();
    assert_eq!(s.accepts, before + 1, "the next one may come in");
    s.bytes(client, look("r1", 0));
    let node = s.raise();
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(client), [200]);
}

#[test]
fn connections_are_not_kept_while_few_places_are_left() {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, look("r1", 0));
    let node = s.raise();
    s.bytes(node, ok("1"));
    assert!(!s.take(client).contains("Connection: close") && !s.finished.contains(&client));
    (0..13).for_each(|_| {
        s.client();
    });
    s.bytes(client, look("r2", 0));
    s.cool();
    s.bytes(node, ok("2"));
    assert!(s.take(client).contains("Connection: close") && s.finished.contains(&client));
}

#[test]
fn one_that_may_be_closed_gives_way_before_one_whose_first_request_may_be_on_its_way() {
    let mut s = Stage::new(
        Sizes { clients: 4, ..ROOMY },
        &list(1, true, &[member("a", address(100), 0, "in_service")]),
    );
    let old = s.client();
    s.bytes(old, look("r0", 0));
    let node = s.raise();
    s.bytes(node, ok("0"));
    s.pass(2_100_000);
    let fresh: Vec<SocketId> = (0..3).map(|_| s.client()).collect();
    assert!(s.closed.contains(&old) && !fresh.iter().any(|f| s.closed.contains(f)));
}

#[test]
fn without_any_place_no_further_connection_is_accepted_until_one_is_free() {
    let mut s = Stage::new(
        Sizes { clients: 2, links: 8, ..ROOMY },
        &list(1, true, &[member("a", address(100), 0, "in_service")]),
    );
    let (one, two) = (s.client(), s.client());
    assert!(s.closed.contains(&one));
    let three = s.client();
    assert!(s.closed.contains(&two));
    s.bytes(three, look("r1", 0));
    let node = s.raise();
    let four = s.client();
    s.bytes(four, look("r2", 0));
    let other = s.raise();
    let before = s.accepts;
    s.pass(100_000);
    assert_eq!(s.accepts, before, "both are owed an answer");
    s.bytes(node, ok("1"));
    s.bytes(other, ok("2"));
    s.ended(three, false);
    assert_eq!(s.accepts, before + 1);
}
