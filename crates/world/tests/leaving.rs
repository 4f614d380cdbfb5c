//! Gateways that are told to leave, under clients that send up to the kill.

mod common;

use common::{SEED, caught, play};
use world::{Plant, Scenario, Trouble};

/// All are told to leave within two seconds, a tenth at a time; clients send on whatever stays open.
fn roll() -> Scenario {
    let roll = Trouble::Roll { at: 500_000, step: 200_000, back: 2_500_000 };
    Scenario { persist: true, load: 0.25, length: 4_000_000, ..Scenario::calm(SEED, 30, 40) }.with(roll)
}

#[test]
fn clients_that_send_up_to_the_kill_get_their_answers() {
    let (tally, broken) = play(&roll(), Plant::None);
    assert_eq!(broken, [""; 0]);
    assert!(tally.pressed > 500, "{} were sent on connections that stayed open", tally.pressed);
}

#[test]
fn a_gateway_that_keeps_connections_to_the_end_is_caught() {
    caught(&roll(), Plant::EndsLate, "part of later requests unanswered at the kill");
}

#[test]
fn a_gateway_that_ends_at_once_is_caught() {
    caught(&roll(), Plant::EndsAtOnce, "requests of the first 0.7 s unanswered at the kill");
}
