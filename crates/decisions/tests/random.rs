//! Long seeded sequences of legal events under settings of several shapes, held against the rules.

mod common;

use common::drawn::{play, shapes};
use decisions::Settings;

/// All shapes but the crowd's, whose deal of cold nodes the checker does not know.
fn alone() -> impl Iterator<Item = (&'static str, Settings)> {
    shapes().into_iter().filter(|(name, _)| *name != "crowd")
}

#[test]
fn no_rule_breaks_under_random_events() {
    for (shape, set) in alone() {
        for seed in 1..=12 {
            let h = play(set.clone(), seed, 3000, |_, _| {});
            assert!(h.checker.breaches.is_empty(), "shape {shape}, seed {seed}: {:#?}", h.checker.breaches);
            assert!(h.sent().len() > 500, "shape {shape}, seed {seed}: only {} sent", h.sent().len());
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for (_, set) in alone() {
        let (a, b) = (play(set.clone(), 5, 1500, |_, _| {}), play(set, 5, 1500, |_, _| {}));
        assert_eq!(a.log, b.log);
    }
}

#[test]
fn timers_do_not_pile_up() {
    let h = play(shapes().remove(0).1, 3, 3000, |_, _| {});
    assert!(h.timers_pending() < 20, "{} timers", h.timers_pending());
}
