//! The gateway without sockets, in virtual time: what each paragraph of docs/platform.md promises.

mod common;

use common::*;
use platform::{Config, Sizes, SocketId};
use proptest::prelude::*;

const ROOMY: Sizes = Sizes { clients: 16, links: 16, answer: 512 << 10, answers: 1 << 20 };

/// A stage, a client, and the connection on which its request is out.
fn sent(request: &str) -> (Stage, SocketId, SocketId) {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, request);
    let node = s.raise();
    (s, client, node)
}

#[test]
fn a_request_goes_to_its_shards_node_unchanged_and_the_answer_comes_back_unchanged() {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, post("r1", 1, "some body"));
    assert_eq!(s.connecting.iter().filter(|(_, a)| *a == address(101)).count(), 1);
    let node = s.raise();
    s.now += 30_000;
    let request = s.take(node);
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("PUT /post/00000000000000aa/00000000000000bb?x=%20 HTTP/1.1\r\n"), "{head}");
    for line in ["X-Request-ID: r1", "Idempotency-Key: key-r1", "Content-Length: 9", "X-Timeout-Ms: 800"] {
        assert!(head.lines().any(|l| l == line), "{line} is not in {head}");
    }
    assert_eq!(body, "some body");
    s.bytes(node, ok("what the node says"));
    let answer = s.take(client);
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nwhat the node says"),
        "{answer}"
    );
}

#[test]
fn a_connection_is_used_again_the_one_used_last_first_and_never_by_two_at_once() {
    let (mut s, client, first) = sent(&look("r1", 0));
    let other = s.client();
    s.bytes(other, look("r2", 0));
    let second = s.raise();
    assert_ne!(first, second);
    s.bytes(first, ok("1"));
    s.bytes(second, ok("2"));
    s.take(second);
    s.cool();
    s.bytes(client, look("r3", 0));
    assert!(s.rising().is_empty());
    assert!(s.take(second).contains("X-Request-ID: r3"));
}

#[test]
fn an_attempt_that_waits_for_its_connection_takes_one_that_comes_free() {
    let (mut s, client, first) = sent(&look("r1", 0));
    let other = s.client();
    s.bytes(other, look("r2", 0));
    let rising = s.rising();
    s.bytes(first, ok("1"));
    s.cool();
    assert!(s.take(first).contains("X-Request-ID: r2"));
    assert_eq!(s.statuses(client), [200]);
    // The one that was asked for serves the next.
    s.up(rising[0]);
    assert!(s.take(rising[0]).is_empty());
    s.bytes(client, look("r3", 0));
    assert!(s.take(rising[0]).contains("X-Request-ID: r3"));
}

#[test]
fn outcomes_are_what_the_protocol_says() {
    // The answer to every attempt of a keyed write. Refused as never run, or failed?
    let answered = |answer: &str| {
        let (mut s, client, node) = sent(&post("r1", 0, "x"));
        while s.machine.open() > 0 {
            if !s.take(node).is_empty() {
                s.bytes(node, answer);
            }
            s.pass(10_000);
        }
        s.statuses(client)
    };
    for status in [503, 504] {
        let unseen = format!("HTTP/1.1 {status} Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(answered(&unseen), [503]);
        // The same without the node's word may have run: it is never called refused.
        assert_eq!(answered(&unseen.replace("X-Not-Processed: 1\r\n", "")), [502]);
    }
    assert_eq!(answered("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), [502]);
}

#[test]
fn a_connection_that_never_comes_or_breaks_early_never_ran_and_a_later_break_may_have() {
    let ends = |act: &dyn Fn(&mut Stage, SocketId)| {
        let mut s = Stage::usual();
        let client = s.client();
        s.bytes(client, post("r1", 0, "x"));
        let node = s.rising()[0];
        act(&mut s, node);
        s.pass(2_000_000);
        s.statuses(client)
    };
    assert_eq!(ends(&|s, node| s.ended(node, true)), [503], "refused by the node");
    assert_eq!(ends(&|s, _| s.pass(1_000_000)), [503], "never up");
    let cut = |s: &mut Stage, node| {
        s.up(node);
        s.ended(node, true);
    };
    assert_eq!(ends(&cut), [503], "broke before the last byte");
    let reset = |s: &mut Stage, node| {
        s.up(node);
        s.ended(node, false);
    };
    assert_eq!(ends(&reset), [502], "broke after it");
}

#[test]
fn a_connection_that_does_not_come_up_in_the_settings_time_is_closed() {
    let mut s = Stage::usual();
    let client = s.client();
    s.bytes(client, look("r1", 0));
    let node = s.rising()[0];
    s.pass(199_000);
    assert!(!s.closed.contains(&node));
    s.pass(2_000);
    assert!(s.closed.contains(&node));
}

#[test]
fn a_silent_node_costs_its_connection_and_the_client_is_answered_at_its_deadline() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.pass(399_000);
    assert!(s.statuses(client).is_empty());
    s.pass(2_000);
    assert_eq!(s.statuses(client), [503]);
    assert!(s.closed.contains(&node));
    // What it says later serves nobody.
    s.bytes(node, ok("late"));
    assert!(s.statuses(client).is_empty());
}

#[test]
fn a_refusal_goes_at_once_and_says_when_to_come_back() {
    let mut s = Stage::new(ROOMY, &list(1, true, &[member("a", address(100), 0, "terminating")]));
    let client = s.client();
    s.bytes(client, look("r1", 0));
    s.pass(101_000);
    let answer = s.take(client);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    let after = answer.lines().find_map(|l| l.strip_prefix("Retry-After: ")).expect("advice");
    assert!(after.parse::<f64>().is_ok_and(|a| a > 0.0 && a <= 1.0), "{after}");
    // Held until it was due, not until its deadline.
    assert_eq!(s.machine.open(), 0);
}

#[test]
fn a_client_that_closes_is_withdrawn_and_its_attempt_cancelled() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.ended(client, false);
    assert!(s.closed.contains(&node));
    assert_eq!(s.machine.open(), 0);
    // One that waits for its connection never goes out.
    let client = s.client();
    s.bytes(client, look("r2", 0));
    let rising = s.rising()[0];
    s.ended(client, false);
    s.up(rising);
    assert!(s.take(rising).is_empty());
}

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

#[test]
fn spoilt_answers_are_failed_attempts_and_close_their_connection() {
    let spoilt = [
        "noise without end or sense\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(20_000)),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\nwhole or not, who knows".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(20),
    ];
    for answer in spoilt {
        let (mut s, client, node) = sent(&post("r1", 0, "x"));
        s.bytes(node, &answer);
        assert!(s.closed.contains(&node), "kept after {answer:.40}");
        s.pass(2_000_000);
        let statuses = s.statuses(client);
        assert!(!statuses.contains(&200), "served with {answer:.40}");
        assert_eq!(statuses, [502], "it may have run: {answer:.40}");
    }
}

#[test]
fn good_answers_that_bring_more_are_served_and_what_comes_behind_serves_nobody() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.bytes(node, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Load: what? \u{1F4A5}\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    assert_eq!(s.statuses(client), [200]);
    assert!(s.closed.contains(&node));
    s.bytes(client, look("r2", 0));
    let node = s.raise();
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(client), [200]);
    // A second copy a little later: the connection is not used again.
    s.bytes(node, ok("1"));
    assert!(s.closed.contains(&node));
    s.bytes(client, look("r3", 0));
    assert!(s.statuses(client).is_empty());
    assert_eq!(s.rising().len(), 1);
}

#[test]
fn an_answer_is_passed_on_only_once_it_is_whole() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.bytes(node, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    s.ended(node, false);
    s.pass(1_000_000);
    assert!(!s.statuses(client).contains(&200));
}

#[test]
fn long_answers_are_served_within_the_bounds_of_one_and_of_all() {
    let long = "x".repeat(400 << 10);
    let (mut s, client, node) = sent(&look("r1", 0));
    for piece in ok(&long).as_bytes().chunks(16 << 10) {
        s.bytes(node, piece);
    }
    assert!(s.take(client).ends_with(&long));
    // Three at once pass the bound of all: the one that does is given up, the others are served.
    let clients: Vec<SocketId> = (0..3).map(|_| s.client()).collect();
    let mut nodes = vec![node];
    for (n, client) in clients.iter().enumerate() {
        s.bytes(*client, look(&format!("l{n}"), 0));
        let rising = s.rising();
        rising.iter().for_each(|&r| s.up(r));
        nodes.extend(rising);
    }
    let answer = ok(&long);
    for piece in answer.as_bytes().chunks(16 << 10) {
        for node in &nodes {
            if !s.closed.contains(node) {
                s.bytes(*node, piece);
            }
        }
    }
    let served = clients.iter().filter(|c| s.statuses(**c) == [200]).count();
    assert_eq!((served, nodes.iter().filter(|n| s.closed.contains(n)).count()), (2, 1));
}

#[test]
fn idle_connections_are_retired_before_the_nodes_close_them() {
    let (mut s, _, node) = sent(&look("r1", 0));
    s.bytes(node, ok("1"));
    s.pass(2_900_000);
    assert!(!s.closed.contains(&node));
    s.pass(200_000);
    assert!(s.closed.contains(&node));
}

#[test]
fn a_connection_closed_right_behind_an_answer_carries_nothing_and_the_attempt_takes_another() {
    let (mut s, client, node) = sent(&post("r1", 0, "x"));
    s.bytes(node, ok("1"));
    s.cool();
    s.dead.insert(node);
    s.bytes(client, post("r2", 0, "y"));
    assert!(s.closed.contains(&node));
    let other = s.raise();
    assert!(s.take(other).contains("X-Request-ID: r2"));
    s.bytes(other, ok("2"));
    assert_eq!(s.statuses(client), [200, 200]);
}

#[test]
fn out_of_connections_an_idle_one_gives_way_and_without_one_the_request_is_refused_at_once() {
    let members = [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
    let mut s = Stage::new(Sizes { clients: 8, links: 1, ..ROOMY }, &list(1, true, &members));
    let client = s.client();
    s.bytes(client, look("r1", 0));
    let first = s.raise();
    s.bytes(first, ok("1"));
    s.statuses(client);
    s.bytes(client, look("r2", 1));
    assert!(s.closed.contains(&first));
    s.raise();
    let other = s.client();
    s.bytes(other, look("r3", 0));
    assert_eq!(s.statuses(other), [503]);
}

#[test]
fn the_watch_asks_for_what_came_after_the_remembered_list_and_drains_count() {
    let mut s = Stage::usual();
    let watch = s.watch();
    assert!(s.take(watch).starts_with("GET /v1/endpoints?watch=1&after=5 HTTP/1.1\r\n"));
    s.bytes(watch, WATCHED);
    s.tell(
        watch,
        &list(
            6,
            false,
            &[member("a", address(100), 0, "terminating"), member("c", address(102), 0, "in_service")],
        ),
    );
    let client = s.client();
    s.bytes(client, look("r1", 0));
    assert_eq!(s.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(102)]);
}

#[test]
fn silence_and_errors_leave_the_list_as_it_is_and_the_watch_is_made_anew() {
    let mut s = Stage::usual();
    let watch = s.watch();
    s.bytes(watch, WATCHED);
    s.bytes(watch, "1\r\n\n\r\n");
    s.pass(2_750_000);
    let again = s.watch();
    s.bytes(again, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    let again = s.watch();
    s.ended(again, false);
    let again = s.watch();
    s.bytes(again, WATCHED);
    s.tell(again, &serde_json::json!({"revision": 9, "complete": true, "members": []}));
    s.tell(again, &serde_json::json!({"revision": 9, "complete": true, "members": [{"id": 3}, member("b", address(101), 1, "in_service")]}));
    let client = s.client();
    s.bytes(client, look("r1", 0));
    assert_eq!(s.rising().len(), 1, "the node is still known");
}

#[test]
fn a_node_that_moves_or_starts_anew_is_reached_at_its_new_place_on_a_new_connection() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.bytes(node, ok("1"));
    let watch = s.watch();
    s.bytes(watch, WATCHED);
    s.tell(watch, &list(6, false, &[member("a", address(200), 0, "in_service")]));
    assert!(s.closed.contains(&node));
    s.bytes(client, look("r2", 0));
    assert_eq!(s.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(200)]);
}

#[test]
fn another_discovery_is_asked_at_once_and_the_old_one_heard_until_it_speaks() {
    let mut s = Stage::usual();
    let old = s.watch();
    s.bytes(old, WATCHED);
    s.machine.reconfigured(s.now, address(2));
    s.carry_out();
    assert_eq!(s.connecting.iter().map(|(_, a)| *a).collect::<Vec<_>>(), [address(2)]);
    s.tell(old, &list(6, false, &[member("a", address(200), 0, "in_service")]));
    let new = s.watch();
    assert!(s.take(new).contains("after=6"));
    assert!(!s.closed.contains(&old));
    s.bytes(new, WATCHED);
    s.tell(new, &list(7, false, &[member("a", address(201), 0, "in_service")]));
    assert!(s.closed.contains(&old));
    let client = s.client();
    s.bytes(client, look("r1", 0));
    assert!(s.connecting.iter().any(|(_, a)| *a == address(201)));
}

#[test]
fn a_gateway_that_leaves_takes_what_still_comes_answers_all_and_is_over() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.machine.leave(s.now);
    s.machine.leave(s.now);
    s.pass(200_000);
    let late = s.client();
    s.bytes(late, look("r2", 0));
    let other = s.raise();
    s.bytes(other, ok("2"));
    assert_eq!(s.statuses(late), [200]);
    assert!(!s.unlistened);
    s.pass(150_000);
    assert!(s.statuses(client).is_empty() && !s.machine.is_over());
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(client), [200]);
    s.pass(200_000);
    assert!(s.unlistened && !s.finished.contains(&client));
    s.ended(late, false);
    s.ended(client, false);
    assert!(!s.machine.is_over(), "some may still come");
    s.machine.shut();
    assert!(s.machine.is_over(), "nobody has stayed");
}

#[test]
fn whoever_stays_is_served_until_the_earliest_end_with_the_patience_left_and_nothing_is_unanswered() {
    let (mut s, client, node) = sent(&post("r0", 0, "x"));
    s.bytes(node, ok("0"));
    assert!(!s.take(client).contains("Connection: close\r\n"));
    // The longest deadline is 1 s: the earliest end is 1.7 s after the word to leave.
    let told = s.now;
    s.machine.leave(told);
    let mut kept = 0;
    while s.now < told + 1_000_000 {
        s.pass(100_000);
        s.bytes(client, post(&format!("k{kept}"), 0, "x"));
        let asked = s.take(node);
        let left: i64 = (told + 1_200_000 - s.now) / 1000;
        let wait = format!("X-Timeout-Ms: {}\r\n", left.min(800));
        assert!(asked.contains(&wait), "{wait} is not in {asked}");
        s.bytes(node, ok("1"));
        assert!(!s.take(client).contains("Connection: close\r\n"), "it would find nobody elsewhere");
        kept += 1;
    }
    assert!(kept >= 9);
    let idle = s.client();
    s.bytes(client, post("last", 0, "x"));
    assert!(!s.machine.is_over());
    s.machine.shut();
    s.pass(told + 1_200_000 - s.now);
    // The node says nothing: the answer is there when the time is up, and the connections end.
    assert!(s.take(client).contains("Connection: close\r\n"));
    assert!(s.finished.contains(&client) && s.finished.contains(&idle));
    s.pass(500_000);
    assert!(s.machine.is_over() && s.now <= told + 1_700_000);
}

#[test]
fn thousands_of_nodes_clients_and_ids_come_and_go_and_every_table_is_back_to_its_size() {
    let mut s = Stage::usual();
    let watch = s.watch();
    s.bytes(watch, WATCHED);
    let round = |s: &mut Stage, n: usize| {
        let (port, cell) = (1000 + (n % 5000) as u16, (n % 4) as u32);
        let changes = [
            member(&format!("n{n}"), address(port), cell, "in_service"),
            member(
                &format!("n{}", n.wrapping_sub(4)),
                address(1000 + (n.wrapping_sub(4) % 5000) as u16),
                cell,
                "terminated",
            ),
        ];
        s.tell(watch, &list(10 + n as u64, false, &changes[..if n >= 4 { 2 } else { 1 }]));
        let client = s.client();
        s.bytes(client, look(&format!("id{n}"), cell as i32));
        for socket in s.rising() {
            s.up(socket);
        }
        let busy: Vec<SocketId> =
            s.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_))).collect();
        for socket in busy {
            s.written.remove(&socket);
            if n.is_multiple_of(7) { s.ended(socket, false) } else { s.bytes(socket, ok("1")) }
        }
        if n.is_multiple_of(3) {
            s.ended(client, false);
        }
        s.pass(10_000);
        s.written.retain(|k, _| matches!(k, SocketId::Node(_)));
        s.closed.clear();
    };
    (0..200).for_each(|n| round(&mut s, n));
    // All that is kept for a time is let go; the watch brings its line every two seconds.
    let quiet = |s: &mut Stage| {
        for _ in 0..5 {
            s.bytes(watch, "1\r\n\n\r\n");
            s.pass(2_000_000);
        }
    };
    quiet(&mut s);
    let before = s.machine.held();
    for n in 200..4000 {
        round(&mut s, n);
        if n % 100 == 0 {
            s.bytes(watch, "1\r\n\n\r\n");
        }
    }
    quiet(&mut s);
    assert!(
        s.machine.held() <= before,
        "{} entries before, {} after; {}",
        before,
        s.machine.held(),
        s.machine.summary()
    );
}

#[test]
fn a_wrong_configuration_names_file_and_key() {
    let good = config_text(address(1), 256, &list(1, true, &[member("a", address(100), 0, "in_service")]));
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

    /// Whatever clients and nodes send, cut anywhere: nothing panics, nothing is written to what was closed, nothing that
    /// no node answered with 200 is served, and in the end nothing is owed.
    #[test]
    fn noise_from_all_sides_leaves_nothing_behind(
        acts in prop::collection::vec((0..8usize, any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 0..60)), 1..80),
    ) {
        let mut s = Stage::usual();
        let mut clients = Vec::new();
        let (mut id, mut served) = (0, 0);
        for (what, which, noise) in acts {
            let socket = (!clients.is_empty()).then(|| clients[which.index(clients.len())]);
            let live = socket.filter(|c| !s.closed.contains(c));
            let nodes: Vec<SocketId> = s.written.keys().copied().filter(|k| matches!(k, SocketId::Node(_)) && !s.closed.contains(k)).collect();
            let node = (!nodes.is_empty()).then(|| nodes[which.index(nodes.len())]);
            match (what, live, node) {
                (0, ..) => clients.push(s.client()),
                (1 | 2, Some(client), _) => {
                    id += 1;
                    s.bytes(client, look(&format!("i{id}"), id % 2));
                }
                (3, Some(client), _) => s.bytes(client, &noise),
                (4, Some(client), _) => {
                    s.ended(client, false);
                    s.closed.insert(client);
                }
                (5, _, Some(node)) => { s.written.remove(&node); s.bytes(node, ok("good")); served += 1; }
                (6, _, Some(node)) => { s.written.remove(&node); s.bytes(node, &noise); }
                (7, ..) => s.pass(i64::from(noise.len() as u32) * 3_000),
                _ => {}
            }
            for socket in s.rising() {
                s.up(socket);
            }
        }
        s.pass(6_000_000);
        prop_assert_eq!(s.machine.open(), 0);
        let answers: usize = clients.iter().map(|&c| s.statuses(c).iter().filter(|&&n| n == 200).count()).sum();
        prop_assert!(answers <= served);
    }
}
