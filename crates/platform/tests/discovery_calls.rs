//! Calls for the list of which anything becomes, in virtual time: how soon a list is in force once the agent can be reached, and how
//! many calls that takes. The bounds are those of the table in `discovery.rs`.

mod agent;
mod common;

use agent::*;
use proptest::prelude::*;

/// What a way up, an answer and a piece take together, and more.
const LATE: i64 = 10_000;

/// Half and three quarters of a grace as it counts: the shortest and the longest pause.
fn pauses(grace: i64) -> (i64, i64) {
    let counts = grace.clamp(100_000, SECOND);
    (counts / 2, counts * 3 / 4)
}

prop_compose! {
    fn course()(
        turns in prop::collection::vec((0..9 * SECOND, 3 * SECOND..12 * SECOND), 1..5),
        fates in prop::collection::vec(fate(), 1..12),
        catches_up in any::<bool>(),
        changes in prop::collection::vec(0..60 * SECOND, 0..12),
        hups in prop::collection::vec(0..60 * SECOND, 0..4),
        indented in any::<bool>(),
    ) -> Course {
        let mut changes = changes;
        changes.sort_unstable();
        Course { turns, fates, catches_up, changes, hups, indented }
    }
}

/// When the agent was ready, from and to.
fn ready(begin: i64, course: &Course) -> Vec<(i64, i64)> {
    let mut at = begin;
    let turn = |&(away, there): &(i64, i64)| {
        let from = at + away;
        at = from + there;
        (from, at)
    };
    course.turns.iter().map(turn).collect()
}

/// Plays a course; what is broken of the bounds.
fn broken(seed: u64, grace: i64, course: &Course) -> Vec<String> {
    let mut play = Play::new(seed, grace, course);
    let begin = play.stage.now;
    let times = ready(begin, course);
    play.run(times.last().map_or(0, |t| t.1) - begin);
    let (half, most) = pauses(grace);
    let (seen, mut broken) = (&play.seen, Vec::new());
    for (version, change) in (6..).zip(course.changes.iter().map(|c| begin + c)) {
        // In the first time in which the agent could be reached for long enough: its answer is waited for, or the doubt of a watch
        // that was open as the agent became ready, and that had fallen silent.
        let by = times.iter().filter(|t| t.1 > change).find_map(|&(from, to)| {
            let silent = seen.believed.get(&from).map_or(0, |shown| shown + SILENCE + half);
            let by = (change.max(from) + most).max(silent) + LATE;
            assert!(by <= change.max(from) + 6 * SECOND - grace.min(SECOND), "the clock of 6 s holds");
            (by <= to).then_some(by)
        });
        let is = seen.in_force.get(&version).copied().unwrap_or(i64::MAX);
        if by.is_some_and(|by| is > by) {
            broken.push(format!("version {version} of {change} in force at {is}, not by {by:?}"));
        }
    }
    let hups: Vec<i64> = course.hups.iter().map(|h| begin + h).collect();
    for two in seen.calls.windows(2) {
        if two[1] - two[0] < half && !hups.contains(&two[1]) {
            broken.push(format!("calls {two:?} follow each other too soon"));
        }
    }
    for &(from, to) in &times {
        let settled = from + SILENCE + half + LATE;
        let calls = seen.calls.iter().filter(|c| (settled..to).contains(*c)).count();
        if calls > hups.iter().filter(|h| (settled..to).contains(*h)).count() {
            broken.push(format!("{calls} calls from {settled} to {to}, when a watch lasted"));
        }
    }
    if seen.most > 6 {
        broken.push(format!("{} calls open at a time", seen.most));
    }
    broken
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn whatever_becomes_of_calls_a_list_is_in_force_in_time_and_calls_are_few(
        seed in any::<u64>(),
        grace in 20_000..2 * SECOND,
        course in course(),
    ) {
        prop_assert_eq!(broken(seed, grace, &course), [""; 0]);
    }
}

/// The most calls of 300 gateways within a tenth of a second, and within a second, from `from` on.
fn sums(course: &Course, from: i64, grace: i64) -> (usize, usize) {
    let mut calls = Vec::new();
    for seed in 0..300 {
        let mut play = Play::new(seed, grace, course);
        let begin = play.stage.now;
        play.run(course.turns.iter().map(|t| t.0 + t.1).sum());
        calls.extend(play.seen.calls.iter().map(|c| c - begin).filter(|&c| c >= from));
    }
    calls.sort_unstable();
    let most = |span: i64| {
        let within = |(n, c): (usize, &i64)| calls[n..].iter().take_while(|o| **o < c + span).count();
        calls.iter().enumerate().map(within).max().unwrap_or(0)
    };
    (most(SECOND / 10), most(SECOND))
}

/// All agents of 300 gateways wrote their lines in step and become useless in one moment, each in the same way: the gateways call neither
/// in step nor more often than their paces allow.
#[test]
fn three_hundred_gateways_whose_agents_go_in_one_moment_do_not_call_in_step() {
    use Fate::*;
    for fate in
        [Refused, Hangs, Mute, Reset, Error, Garbage, Noise, Foreign, Head, ThenEnded, ThenSilent, Trickles]
    {
        let course = Course {
            turns: vec![(0, 9 * SECOND), (10 * SECOND, 5 * SECOND)],
            fates: vec![fate],
            catches_up: false,
            changes: vec![5 * SECOND],
            hups: Vec::new(),
            indented: false,
        };
        let (tenth, second) = sums(&course, SECOND, SECOND);
        assert!(tenth <= 110, "{fate:?}: {tenth} calls within a tenth of a second");
        assert!(second <= 600, "{fate:?}: {second} calls within a second");
    }
}
