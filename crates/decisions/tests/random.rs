//! Long random sequences of legal events for several kinds of settings, checked against the rules.

mod common;

use common::random_events::{run_events, variants};
use decisions::Settings;

/// All variants but the large fleet, whose slow-start slots the checker does not know.
fn without_large_fleet() -> impl Iterator<Item = (&'static str, Settings)> {
    variants().into_iter().filter(|(name, _)| *name != "large_fleet")
}

#[test]
fn random_events_lead_to_no_breach_of_a_rule() {
    for (variant, host_settings) in without_large_fleet() {
        for seed in 1..=12 {
            let host = run_events(host_settings.clone(), seed, 3000, |_, _| {});
            assert!(host.checker.breaches.is_empty(), "{variant}, seed {seed}: {:#?}", host.checker.breaches);
            assert!(host.sent().len() > 500, "{variant}, seed {seed}: only {} sent", host.sent().len());
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for (_, host_settings) in without_large_fleet() {
        let (a, b) = (
            run_events(host_settings.clone(), 5, 1500, |_, _| {}),
            run_events(host_settings, 5, 1500, |_, _| {}),
        );
        assert_eq!(a.log, b.log);
    }
}

#[test]
fn timers_do_not_accumulate() {
    let host = run_events(variants().remove(0).1, 3, 3000, |_, _| {});
    assert!(host.timers_pending() < 20, "{} timers", host.timers_pending());
}
