//! Following discovery, in virtual time: how lists may be written, how soon they count, and what silence and outages cost.

mod common;

use common::*;
use platform::SocketId;
use proptest::prelude::*;

/// The grace for drains in the settings of these tests.
const GRACE: i64 = 500_000;
/// What a silent watch misses counts as told this long after it fell silent.
const TOLD: i64 = 6_000_000;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Node a drains, c comes in its place.
fn swap(revision: u64) -> serde_json::Value {
    let members = [member("a", address(100), 0, "terminating"), member("c", address(102), 0, "in_service")];
    list(revision, false, &members)
}

/// Where a request for shard 0 goes now.
fn goes_to(s: &mut Stage, id: &str) -> Vec<u16> {
    let client = s.client();
    s.bytes(client, look(id, 0));
    let nodes = s.connecting.iter().filter(|(socket, _)| matches!(socket, SocketId::Node(_)));
    nodes.map(|(_, a)| a.port()).collect()
}

/// A watch that has told that there is nothing new.
fn watched() -> (Stage, SocketId) {
    let mut s = Stage::usual();
    let watch = s.watch();
    s.bytes(watch, WATCHED);
    s.bytes(watch, chunk("\n"));
    (s, watch)
}

/// All connections to discovery that are asked for come up, and nothing answers on them.
fn all_hang(s: &mut Stage) -> Vec<SocketId> {
    let rising: Vec<SocketId> =
        s.connecting.iter().map(|(s, _)| *s).filter(|s| matches!(s, SocketId::Discovery(_))).collect();
    rising.iter().for_each(|&w| s.up(w));
    rising
}

#[test]
fn an_indented_list_is_followed_however_it_is_cut() {
    let text = format!("\r\n{:#}\n", swap(6));
    for size in [1, 7, 100, text.len()] {
        let (mut s, watch) = watched();
        for piece in text.as_bytes().chunks(size) {
            s.bytes(watch, chunk(std::str::from_utf8(piece).expect("text")));
        }
        assert_eq!(goes_to(&mut s, "r1"), [102], "in pieces of {size}");
        assert!(!s.closed.contains(&watch));
    }
    // Cut in the middle of a chunk, and of a name.
    let (mut s, watch) = watched();
    let wire = chunk(&text);
    let (first, rest) = wire.split_at(wire.find("in_serv").expect("the phase") + 4);
    s.bytes(watch, first);
    assert!(!s.closed.contains(&watch));
    s.bytes(watch, rest);
    assert_eq!(goes_to(&mut s, "r1"), [102]);
}

#[test]
fn several_lists_in_one_piece_count_in_their_order() {
    let (mut s, watch) = watched();
    let back = list(8, false, &[member("c", address(103), 0, "in_service")]);
    s.bytes(watch, chunk(&format!("{}{:#}\n\n{back}", swap(6), list(7, false, &[]))));
    assert_eq!(goes_to(&mut s, "r1"), [103]);
}

#[test]
fn what_is_no_json_ends_the_watch_and_the_next_asks_for_what_was_missed() {
    for noise in ["<html>", "{\"revision\": 6, \"complete\": maybe}", "[]"] {
        let (mut s, watch) = watched();
        s.bytes(watch, chunk(noise));
        assert!(s.closed.contains(&watch), "{noise}");
        let again = s.watch();
        assert!(s.take(again).contains("after=5 "), "{noise}");
        s.bytes(again, WATCHED);
        s.tell(again, &swap(6));
        assert_eq!(goes_to(&mut s, "r1"), [102], "{noise}");
    }
    // Another object than a list is passed over.
    let (mut s, watch) = watched();
    s.bytes(watch, chunk("{\"error\": \"later\"}\n"));
    s.tell(watch, &swap(6));
    assert_eq!(goes_to(&mut s, "r1"), [102]);
}

#[test]
fn an_entry_that_cannot_be_read_is_asked_for_again_with_the_next_watch() {
    let (mut s, watch) = watched();
    let mut bad = swap(6);
    bad["members"][1]["cell"] = serde_json::json!("none");
    s.tell(watch, &bad);
    // What comes later does not bring what is missing.
    s.tell(watch, &list(7, false, &[member("d", address(104), 1, "in_service")]));
    s.ended(watch, false);
    let again = s.watch();
    assert!(s.take(again).contains("after=5 "), "nothing behind the gap was learnt");
    s.bytes(again, WATCHED);
    s.tell(again, &list(7, false, &[member("c", address(102), 0, "in_service")]));
    assert_eq!(goes_to(&mut s, "r1"), [102]);
    // A whole list fills every gap.
    s.tell(again, &list(8, true, &[member("b", address(101), 1, "in_service")]));
    s.ended(again, false);
    let again = s.watch();
    assert!(s.take(again).contains("after=8 "));
}

#[test]
fn an_older_list_takes_nothing_back_until_discovery_is_seen_to_count_anew() {
    let (mut s, watch) = watched();
    s.tell(watch, &swap(60));
    let old = list(59, true, &[member("a", address(100), 0, "in_service")]);
    s.tell(watch, &old);
    assert_eq!(goes_to(&mut s, "r1"), [102]);
    // Nothing but older ones for six seconds: it has lost its count.
    for revision in 1..=4 {
        s.pass(2_000_000);
        s.tell(watch, &list(revision, false, &[member("a", address(100), 0, "in_service")]));
    }
    assert!(s.closed.contains(&watch));
    let again = s.watch();
    assert!(s.take(again).contains("after=0 "));
    s.bytes(again, WATCHED);
    s.tell(again, &list(5, true, &[member("e", address(105), 0, "in_service")]));
    s.connecting.clear();
    assert_eq!(goes_to(&mut s, "r2"), [105]);
}

#[test]
fn a_list_that_comes_slowly_is_heard_to_its_end_and_another_watch_is_asked_beside_it() {
    let (mut s, watch) = watched();
    // No line of it whole: it is no silence, but nothing shows that the list will ever be whole.
    let text = chunk(&format!("{:#}\n", swap(6)));
    let mut beside = 0;
    for byte in text.as_bytes().iter().take(10) {
        for _ in 0..24 {
            s.pass(100_000);
            beside += all_hang(&mut s).len() as i64;
        }
        s.bytes(watch, [*byte]);
    }
    let asked = 10 * 2_400_000 - 2_500_000;
    assert!((asked / (GRACE * 3 / 4)..=asked / (GRACE / 2) + 1).contains(&beside), "{beside} beside it");
    assert!(!s.closed.contains(&watch));
    s.bytes(watch, &text[10..]);
    assert_eq!(goes_to(&mut s, "r1"), [102], "it spoke after all");
    s.pass(2_400_000);
    assert!(all_hang(&mut s).is_empty(), "and lasts");
}

#[test]
fn a_list_that_never_gets_whole_does_not_keep_what_another_call_would_bring_for_six_seconds() {
    let (mut s, watch) = watched();
    s.bytes(watch, chunk("{\"revision\": 6, "));
    let begun = s.now;
    let again = loop {
        s.pass(300_000);
        s.bytes(watch, chunk(" "));
        if let Some(&again) = all_hang(&mut s).first() {
            break again;
        }
        assert!(s.now < begun + TOLD, "nobody else is asked");
    };
    assert!(s.now - begun <= 2_500_000 + GRACE / 2 + 300_000);
    // What has begun to speak is none that lasts before a line or a list is whole.
    let text = chunk(&format!("{}\n", swap(6)));
    s.bytes(again, WATCHED);
    s.bytes(again, &text[..40]);
    assert!(!s.closed.contains(&watch));
    s.bytes(again, &text[40..]);
    assert_eq!(goes_to(&mut s, "r1"), [102]);
    assert!(s.closed.contains(&watch));
}

#[test]
fn a_watch_that_brings_objects_but_no_lists_does_not_last() {
    let (mut s, watch) = watched();
    let begun = s.now;
    let mut calls = Vec::new();
    for _ in 0..30 {
        s.bytes(watch, chunk("{\"error\": \"later\"}\n"));
        s.pass(100_000);
        calls.extend(all_hang(&mut s).iter().map(|_| s.now - begun));
    }
    assert!(calls[0] <= GRACE / 2 + 100_000, "{calls:?}");
    assert!(calls.len() <= 2 + 3_000_000 / (GRACE as usize / 2), "{calls:?}");
    assert!(!s.closed.contains(&watch));
    s.tell(watch, &swap(6));
    assert_eq!(goes_to(&mut s, "r1"), [102], "it is still heard");
}

#[test]
fn a_discovery_that_counts_its_versions_anew_is_asked_six_seconds_after_its_first_older_list() {
    let (mut s, watch) = watched();
    s.tell(watch, &swap(60));
    s.tell(watch, &list(3, false, &[member("c", address(103), 0, "in_service")]));
    // Lines keep it, at 5.9 s the last.
    for _ in 0..4 {
        s.pass(1_475_000);
        s.bytes(watch, chunk("\n"));
    }
    assert!(all_hang(&mut s).is_empty());
    s.pass(101_000);
    let again = s.watch();
    assert!(s.closed.contains(&watch) && s.take(again).contains("after=0 "));
}

#[test]
fn the_watch_before_that_has_fallen_silent_is_let_go_once_the_one_in_force_lasts() {
    let (mut s, before) = watched();
    s.machine.reconfigured(s.now, address(2));
    s.carry_out();
    let after = s.watch();
    s.bytes(after, WATCHED);
    for _ in 0..3 {
        s.bytes(after, chunk("\n"));
        s.pass(1_000_000);
    }
    assert!(s.closed.contains(&before));
    assert!(!s.closed.contains(&after) && all_hang(&mut s).is_empty());
}

/// Where the pause is short, the call that waits longest is not given up for the sake of the next.
#[test]
fn an_agent_that_takes_its_time_to_answer_is_heard_at_a_short_pace_too() {
    let nodes = [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
    let mut config = config(address(1), 512, &list(5, true, &nodes));
    config.settings.drain_grace = 100_000;
    let mut s = Stage::of(&config, ROOMY);
    let (begun, mut asked) = (s.now, Vec::new());
    while !s.machine.summary().contains("nodes=3") {
        s.pass(10_000);
        assert!(s.now < begun + TOLD, "no call has the time that the agent takes");
        asked.extend(all_hang(&mut s).into_iter().map(|call| (s.now, call)));
        let open = asked.iter().filter(|(_, call)| !s.closed.contains(call));
        assert!(open.clone().count() <= 5, "calls open at a time");
        if let Some(&(_, call)) = open.filter(|(at, _)| s.now >= at + 1_500_000).min() {
            s.bytes(call, WATCHED);
            s.tell(call, &swap(6));
        }
    }
    assert!(s.now <= begun + 1_600_000, "{} us until one was answered", s.now - begun);
}

#[test]
fn a_watch_that_opens_and_says_nothing_for_its_first_two_seconds_is_waited_for() {
    let mut s = Stage::usual();
    let first = s.watch();
    s.bytes(first, WATCHED);
    let mut calls = 1;
    for _ in 0..20 {
        s.pass(100_000);
        calls += all_hang(&mut s).len();
    }
    assert!(!s.closed.contains(&first));
    s.bytes(first, chunk("\n"));
    s.pass(2_400_000);
    assert!(all_hang(&mut s).is_empty(), "it lasts");
    assert!(calls <= 9, "{calls} calls");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A watch falls silent at some moment behind its last line; each way that is opened then hangs, but for the last before the time at
    /// which the change counts as told. It is opened, up and answered before that.
    #[test]
    fn a_silent_watch_is_followed_by_four_others_before_its_loss_counts_as_told(
        revision in 1u64..1_000_000,
        rise in 0i64..100_000,
    ) {
        // The seed of its pauses is drawn from what was told, to see many.
        let mut s = Stage::seeded(revision);
        let watch = s.watch();
        s.bytes(watch, WATCHED);
        s.bytes(watch, chunk("\n"));
        let silent = s.now;
        let mut tries = Vec::new();
        while s.now < silent + TOLD {
            s.pass(10_000);
            tries.extend(all_hang(&mut s).iter().map(|_| s.now - silent));
        }
        let fourth = tries.get(3).copied().unwrap_or(i64::MAX);
        prop_assert!(tries[0] <= 2_500_000 + GRACE / 2 + 10_000, "{:?}", tries);
        prop_assert!(fourth + rise <= TOLD - GRACE, "{:?}", tries);
    }

    /// Discovery is away for any time: calls hang, or are turned away. As soon as it is back, what it has is in force within the grace
    /// for drains, less a quarter; and calls are bounded while it is away.
    #[test]
    fn after_an_outage_the_list_is_in_force_within_the_grace(
        seed in 1u64..1_000_000,
        away in 3_000_000i64..12_000_000,
        refuses in any::<bool>(),
    ) {
        let mut s = Stage::seeded(seed);
        let watch = s.watch();
        s.bytes(watch, WATCHED);
        s.bytes(watch, chunk("\n"));
        let from = s.now;
        if refuses {
            s.ended(watch, false);
        }
        let mut calls = 0;
        while s.now < from + away {
            s.pass(5_000);
            for call in all_hang(&mut s) {
                calls += 1;
                if refuses {
                    s.ended(call, true);
                }
            }
        }
        let back = s.now;
        let watch = s.watch();
        s.bytes(watch, WATCHED);
        s.tell(watch, &swap(6));
        prop_assert!(s.now - back <= GRACE * 3 / 4, "{} after it was back", s.now - back);
        prop_assert_eq!(goes_to(&mut s, "r1"), [102]);
        prop_assert!(calls <= 2 + away / (GRACE / 2), "{} calls in {} us", calls, away);
    }
}
