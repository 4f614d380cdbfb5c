//! What the gateway keeps of requests that ended without a final answer.

mod common;

use common::*;
use platform::{End, Sizes};

/// Lines of requests that ended without an answer.
fn lines(s: &mut Stage) -> Vec<String> {
    s.machine.take_unanswered()
}

#[test]
fn a_request_whose_client_left_is_told_with_its_attempts() {
    let (mut s, client, _node) = sent(&look("r1", 0));
    s.now += 20_000;
    s.machine.ended(s.now, client, End::Broken);
    s.carry_out();
    let told = lines(&mut s);
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains("id=r1 ") && told[0].contains("cause=ClientEnded(Broken)"), "{told:?}");
    assert!(told[0].contains(" ended=+20000 ") && told[0].contains(" attempt0=node0+"), "{told:?}");
    assert!(lines(&mut s).is_empty(), "it is told once");
}

#[test]
fn a_request_that_was_answered_is_not_told() {
    let (mut s, client, node) = sent(&look("r1", 0));
    s.bytes(node, ok("1"));
    assert_eq!(s.statuses(client), [200]);
    s.machine.ended(s.now, client, End::Orderly);
    s.carry_out();
    assert!(lines(&mut s).is_empty());
}

#[test]
fn the_oldest_give_way_and_are_counted() {
    const CLIENTS: usize = 70;
    // No node is listed, so that all requests wait.
    let mut s = Stage::new(Sizes::of(512, 64), &list(5, true, &[]));
    for n in 0..CLIENTS {
        let client = s.client();
        s.bytes(client, look(&format!("r{n}"), 0));
        s.machine.ended(s.now, client, End::Orderly);
        s.carry_out();
    }
    let told = lines(&mut s);
    assert!(told.len() < CLIENTS, "{}", told.len());
    assert_eq!(told[0], format!("no answer: {} more that are not kept", CLIENTS + 1 - told.len()));
    assert!(told.last().expect("a line").contains("id=r69 "));
}
