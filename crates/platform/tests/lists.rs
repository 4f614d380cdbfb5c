//! The discovery client in virtual time: formats of lists, how soon they take effect, and behaviour during
//! silence and outages.

mod common;

use common::*;
use platform::SocketId;
use proptest::prelude::*;

/// The drain grace period in the settings of these tests.
const DRAIN_GRACE: i64 = 500_000;
/// A change that a silent watch misses counts as announced this long after it fell silent.
const ANNOUNCED_AFTER: i64 = 6_000_000;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A list in which node a drains and c replaces it.
fn replacement_list(revision: u64) -> serde_json::Value {
    let members =
        [list_entry("a", address(100), 0, "terminating"), list_entry("c", address(102), 0, "in_service")];
    node_list(revision, false, &members)
}

/// Sends a request for shard 0; returns the ports of the nodes being connected to.
fn ports_for_request(gateway: &mut TestGateway, id: &str) -> Vec<u16> {
    let client = gateway.connect_client();
    gateway.receive(client, read_request(id, 0));
    let nodes = gateway.connecting.iter().filter(|(socket, _)| matches!(socket, SocketId::Node(_)));
    nodes.map(|(_, a)| a.port()).collect()
}

/// A gateway whose watch has delivered an empty line.
fn gateway_with_watch() -> (TestGateway, SocketId) {
    let mut gateway = TestGateway::with_two_nodes();
    let watch = gateway.establish_watch();
    gateway.receive(watch, WATCH_RESPONSE_HEAD);
    gateway.receive(watch, chunk("\n"));
    (gateway, watch)
}

/// Establishes all connections to discovery and answers none; returns them.
fn establish_unanswered_watches(gateway: &mut TestGateway) -> Vec<SocketId> {
    let connecting: Vec<SocketId> = gateway
        .connecting
        .iter()
        .map(|(socket, _)| *socket)
        .filter(|socket| matches!(socket, SocketId::Discovery(_)))
        .collect();
    connecting.iter().for_each(|&w| gateway.establish(w));
    connecting
}

#[test]
fn an_indented_list_is_applied_in_any_pieces() {
    let text = format!("\r\n{:#}\n", replacement_list(6));
    for size in [1, 7, 100, text.len()] {
        let (mut gateway, watch) = gateway_with_watch();
        for piece in text.as_bytes().chunks(size) {
            gateway.receive(watch, chunk(std::str::from_utf8(piece).expect("text")));
        }
        assert_eq!(ports_for_request(&mut gateway, "r1"), [102], "in pieces of {size}");
        assert!(!gateway.closed.contains(&watch));
    }
    // Split within a chunk and within a name.
    let (mut gateway, watch) = gateway_with_watch();
    let wire = chunk(&text);
    let (first, rest) = wire.split_at(wire.find("in_serv").expect("the phase") + 4);
    gateway.receive(watch, first);
    assert!(!gateway.closed.contains(&watch));
    gateway.receive(watch, rest);
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
}

#[test]
fn lists_in_one_chunk_are_applied_in_order() {
    let (mut gateway, watch) = gateway_with_watch();
    let back = node_list(8, false, &[list_entry("c", address(103), 0, "in_service")]);
    gateway
        .receive(watch, chunk(&format!("{}{:#}\n\n{back}", replacement_list(6), node_list(7, false, &[]))));
    assert_eq!(ports_for_request(&mut gateway, "r1"), [103]);
}

#[test]
fn invalid_json_ends_the_watch_and_the_next_one_asks_for_missed_changes() {
    for noise in ["<html>", "{\"revision\": 6, \"complete\": maybe}", "[]"] {
        let (mut gateway, watch) = gateway_with_watch();
        gateway.receive(watch, chunk(noise));
        assert!(gateway.closed.contains(&watch), "{noise}");
        let again = gateway.establish_watch();
        assert!(gateway.take_written(again).contains("after=5 "), "{noise}");
        gateway.receive(again, WATCH_RESPONSE_HEAD);
        gateway.send_list(again, &replacement_list(6));
        assert_eq!(ports_for_request(&mut gateway, "r1"), [102], "{noise}");
    }
    // An object that is not a list is skipped.
    let (mut gateway, watch) = gateway_with_watch();
    gateway.receive(watch, chunk("{\"error\": \"later\"}\n"));
    gateway.send_list(watch, &replacement_list(6));
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
}

#[test]
fn the_next_watch_asks_again_for_an_unreadable_entry() {
    let (mut gateway, watch) = gateway_with_watch();
    let mut bad = replacement_list(6);
    bad["members"][1]["cell"] = serde_json::json!("none");
    gateway.send_list(watch, &bad);
    // A later list doesn't contain the missing entry.
    gateway.send_list(watch, &node_list(7, false, &[list_entry("d", address(104), 1, "in_service")]));
    gateway.end(watch, false);
    let again = gateway.establish_watch();
    assert!(
        gateway.take_written(again).contains("after=5 "),
        "changes after the gap were not recorded as complete"
    );
    gateway.receive(again, WATCH_RESPONSE_HEAD);
    gateway.send_list(again, &node_list(7, false, &[list_entry("c", address(102), 0, "in_service")]));
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
    // A whole list fills every gap.
    gateway.send_list(again, &node_list(8, true, &[list_entry("b", address(101), 1, "in_service")]));
    gateway.end(again, false);
    let again = gateway.establish_watch();
    assert!(gateway.take_written(again).contains("after=8 "));
}

#[test]
fn an_older_list_is_ignored_until_discovery_restarts_its_revisions() {
    let (mut gateway, watch) = gateway_with_watch();
    gateway.send_list(watch, &replacement_list(60));
    let old = node_list(59, true, &[list_entry("a", address(100), 0, "in_service")]);
    gateway.send_list(watch, &old);
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
    // Only older lists for six seconds: discovery has restarted its revision numbers.
    for revision in 1..=4 {
        gateway.advance(2_000_000);
        gateway
            .send_list(watch, &node_list(revision, false, &[list_entry("a", address(100), 0, "in_service")]));
    }
    assert!(gateway.closed.contains(&watch));
    let again = gateway.establish_watch();
    assert!(gateway.take_written(again).contains("after=0 "));
    gateway.receive(again, WATCH_RESPONSE_HEAD);
    gateway.send_list(again, &node_list(5, true, &[list_entry("e", address(105), 0, "in_service")]));
    gateway.connecting.clear();
    assert_eq!(ports_for_request(&mut gateway, "r2"), [105]);
}

#[test]
fn a_slow_list_is_read_to_its_end_while_other_watches_open() {
    let (mut gateway, watch) = gateway_with_watch();
    // No complete line: the watch isn't silent, but nothing shows that the list will ever be complete.
    let text = chunk(&format!("{:#}\n", replacement_list(6)));
    let mut other_calls = 0;
    for byte in text.as_bytes().iter().take(10) {
        for _ in 0..24 {
            gateway.advance(100_000);
            other_calls += establish_unanswered_watches(&mut gateway).len() as i64;
        }
        gateway.receive(watch, [*byte]);
    }
    let calls = 10 * 2_400_000 - 2_500_000;
    assert!(
        (calls / (DRAIN_GRACE * 3 / 4)..=calls / (DRAIN_GRACE / 2) + 1).contains(&other_calls),
        "{other_calls} other calls"
    );
    assert!(!gateway.closed.contains(&watch));
    gateway.receive(watch, &text[10..]);
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102], "the slow list was applied");
    gateway.advance(2_400_000);
    assert!(establish_unanswered_watches(&mut gateway).is_empty(), "the watch is live");
}

#[test]
fn an_endless_list_does_not_delay_changes_from_another_watch() {
    let (mut gateway, watch) = gateway_with_watch();
    gateway.receive(watch, chunk("{\"revision\": 6, "));
    let start = gateway.now;
    let again = loop {
        gateway.advance(300_000);
        gateway.receive(watch, chunk(" "));
        if let Some(&again) = establish_unanswered_watches(&mut gateway).first() {
            break again;
        }
        assert!(gateway.now < start + ANNOUNCED_AFTER, "no other watch was opened");
    };
    assert!(gateway.now - start <= 2_500_000 + DRAIN_GRACE / 2 + 300_000);
    // A watch that has begun to send isn't live before a line or a list is complete.
    let text = chunk(&format!("{}\n", replacement_list(6)));
    gateway.receive(again, WATCH_RESPONSE_HEAD);
    gateway.receive(again, &text[..40]);
    assert!(!gateway.closed.contains(&watch));
    gateway.receive(again, &text[40..]);
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
    assert!(gateway.closed.contains(&watch));
}

#[test]
fn a_watch_with_unknown_objects_only_is_not_live() {
    let (mut gateway, watch) = gateway_with_watch();
    let start = gateway.now;
    let mut calls = Vec::new();
    for _ in 0..30 {
        gateway.receive(watch, chunk("{\"error\": \"later\"}\n"));
        gateway.advance(100_000);
        calls.extend(establish_unanswered_watches(&mut gateway).iter().map(|_| gateway.now - start));
    }
    assert!(calls[0] <= DRAIN_GRACE / 2 + 100_000, "{calls:?}");
    assert!(calls.len() <= 2 + 3_000_000 / (DRAIN_GRACE as usize / 2), "{calls:?}");
    assert!(!gateway.closed.contains(&watch));
    gateway.send_list(watch, &replacement_list(6));
    assert_eq!(ports_for_request(&mut gateway, "r1"), [102], "the watch is still read");
}

#[test]
fn restarted_revisions_are_detected_six_seconds_after_the_first_older_list() {
    let (mut gateway, watch) = gateway_with_watch();
    gateway.send_list(watch, &replacement_list(60));
    gateway.send_list(watch, &node_list(3, false, &[list_entry("c", address(103), 0, "in_service")]));
    // Empty lines keep the watch alive, the last one at 5.9 s.
    for _ in 0..4 {
        gateway.advance(1_475_000);
        gateway.receive(watch, chunk("\n"));
    }
    assert!(establish_unanswered_watches(&mut gateway).is_empty());
    gateway.advance(101_000);
    let again = gateway.establish_watch();
    assert!(gateway.closed.contains(&watch) && gateway.take_written(again).contains("after=0 "));
}

#[test]
fn a_silent_watch_on_the_previous_address_closes_once_the_current_one_is_live() {
    let (mut gateway, before) = gateway_with_watch();
    gateway.machine.set_discovery_address(gateway.now, address(2));
    gateway.perform_outputs();
    let after = gateway.establish_watch();
    gateway.receive(after, WATCH_RESPONSE_HEAD);
    for _ in 0..3 {
        gateway.receive(after, chunk("\n"));
        gateway.advance(1_000_000);
    }
    assert!(gateway.closed.contains(&before));
    assert!(!gateway.closed.contains(&after) && establish_unanswered_watches(&mut gateway).is_empty());
}

/// Where the retry delay is short, the oldest call must not be abandoned for the sake of the next.
#[test]
fn a_slow_agent_is_heard_with_short_retry_delays() {
    let nodes =
        [list_entry("a", address(100), 0, "in_service"), list_entry("b", address(101), 1, "in_service")];
    let mut config = config(address(1), 512, &node_list(5, true, &nodes));
    config.settings.drain_grace = 100_000;
    let mut gateway = TestGateway::from_config(&config, LARGE_LIMITS);
    let (start, mut calls) = (gateway.now, Vec::new());
    while !gateway.machine.summary().contains("nodes=3") {
        gateway.advance(10_000);
        assert!(gateway.now < start + ANNOUNCED_AFTER, "no call is left open long enough for the agent");
        calls.extend(establish_unanswered_watches(&mut gateway).into_iter().map(|call| (gateway.now, call)));
        let open = calls.iter().filter(|(_, call)| !gateway.closed.contains(call));
        assert!(open.clone().count() <= 5, "more than five calls are open");
        if let Some(&(_, call)) = open.filter(|(at, _)| gateway.now >= at + 1_500_000).min() {
            gateway.receive(call, WATCH_RESPONSE_HEAD);
            gateway.send_list(call, &replacement_list(6));
        }
    }
    assert!(gateway.now <= start + 1_600_000, "{} us until one was answered", gateway.now - start);
}

#[test]
fn a_watch_without_data_for_two_seconds_is_kept() {
    let mut gateway = TestGateway::with_two_nodes();
    let first = gateway.establish_watch();
    gateway.receive(first, WATCH_RESPONSE_HEAD);
    let mut calls = 1;
    for _ in 0..20 {
        gateway.advance(100_000);
        calls += establish_unanswered_watches(&mut gateway).len();
    }
    assert!(!gateway.closed.contains(&first));
    gateway.receive(first, chunk("\n"));
    gateway.advance(2_400_000);
    assert!(establish_unanswered_watches(&mut gateway).is_empty(), "the watch is live");
    assert!(calls <= 9, "{calls} calls");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A watch falls silent at some time after its last line. Each connection opened then hangs, except the
    /// last one before the change counts as announced: it is established and answered before that.
    #[test]
    fn four_watches_open_after_a_silent_one_before_its_loss_counts_as_announced(
        revision in 1u64..1_000_000,
        connect_time in 0i64..100_000,
    ) {
        // The seed of its delays is taken from the generated revision, to cover many.
        let mut gateway = TestGateway::with_seed(revision);
        let watch = gateway.establish_watch();
        gateway.receive(watch, WATCH_RESPONSE_HEAD);
        gateway.receive(watch, chunk("\n"));
        let silent = gateway.now;
        let mut call_times = Vec::new();
        while gateway.now < silent + ANNOUNCED_AFTER {
            gateway.advance(10_000);
            call_times.extend(establish_unanswered_watches(&mut gateway).iter().map(|_| gateway.now - silent));
        }
        let fourth = call_times.get(3).copied().unwrap_or(i64::MAX);
        prop_assert!(call_times[0] <= 2_500_000 + DRAIN_GRACE / 2 + 10_000, "{:?}", call_times);
        prop_assert!(fourth + connect_time <= ANNOUNCED_AFTER - DRAIN_GRACE, "{:?}", call_times);
    }

    /// Discovery is down for any time; calls hang or are refused. Once it is back, its list is applied within
    /// three quarters of the drain grace period, and the number of calls during the outage is bounded.
    #[test]
    fn after_an_outage_the_list_is_applied_within_the_grace_period(
        seed in 1u64..1_000_000,
        outage in 3_000_000i64..12_000_000,
        calls_are_refused in any::<bool>(),
    ) {
        let mut gateway = TestGateway::with_seed(seed);
        let watch = gateway.establish_watch();
        gateway.receive(watch, WATCH_RESPONSE_HEAD);
        gateway.receive(watch, chunk("\n"));
        let from = gateway.now;
        if calls_are_refused {
            gateway.end(watch, false);
        }
        let mut calls = 0;
        while gateway.now < from + outage {
            gateway.advance(5_000);
            for call in establish_unanswered_watches(&mut gateway) {
                calls += 1;
                if calls_are_refused {
                    gateway.end(call, true);
                }
            }
        }
        let back = gateway.now;
        let watch = gateway.establish_watch();
        gateway.receive(watch, WATCH_RESPONSE_HEAD);
        gateway.send_list(watch, &replacement_list(6));
        prop_assert!(gateway.now - back <= DRAIN_GRACE * 3 / 4, "{} after it was back", gateway.now - back);
        prop_assert_eq!(ports_for_request(&mut gateway, "r1"), [102]);
        prop_assert!(calls <= 2 + outage / (DRAIN_GRACE / 2), "{} calls in {} us", calls, outage);
    }
}
