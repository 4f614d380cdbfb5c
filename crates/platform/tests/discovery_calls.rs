//! Discovery calls with arbitrary outcomes, in virtual time: how soon a list is applied once the agent is
//! reachable, and how many calls that takes. The bounds are those of the table in `discovery.rs`.

mod agent;
mod common;

use agent::*;
use proptest::prelude::*;

/// Upper bound of the time for connecting, an answer and a chunk together.
const MAX_DELAY: i64 = 10_000;

/// The shortest and the longest retry delay: a half and three quarters of the limited drain grace period.
fn retry_delays(grace: i64) -> (i64, i64) {
    let counts = grace.clamp(100_000, SECOND);
    (counts / 2, counts * 3 / 4)
}

prop_compose! {
    fn agent_schedule()(
        phases in prop::collection::vec((0..9 * SECOND, 3 * SECOND..12 * SECOND), 1..5),
        outcomes in prop::collection::vec(call_outcome(), 1..12),
        answers_later in any::<bool>(),
        changes in prop::collection::vec(0..60 * SECOND, 0..12),
        sighups in prop::collection::vec(0..60 * SECOND, 0..4),
        indented in any::<bool>(),
    ) -> AgentSchedule {
        let mut changes = changes;
        changes.sort_unstable();
        AgentSchedule { phases, outcomes, answers_later, changes, sighups, indented }
    }
}

/// The periods in which the agent was ready, as start and end.
fn ready_periods(begin: i64, schedule: &AgentSchedule) -> Vec<(i64, i64)> {
    let mut at = begin;
    let turn = |&(unready, ready): &(i64, i64)| {
        let from = at + unready;
        at = from + ready;
        (from, at)
    };
    schedule.phases.iter().map(turn).collect()
}

/// Simulates a schedule and returns the violations of the bounds.
fn violations(seed: u64, grace: i64, schedule: &AgentSchedule) -> Vec<String> {
    let mut simulation = AgentSimulation::new(seed, grace, schedule);
    let begin = simulation.gateway.now;
    let times = ready_periods(begin, schedule);
    simulation.run(times.last().map_or(0, |t| t.1) - begin);
    let (half, most) = retry_delays(grace);
    let (observed, mut violations) = (&simulation.observed, Vec::new());
    for (revision, change) in (6..).zip(schedule.changes.iter().map(|c| begin + c)) {
        // In the first period in which the agent was reachable for long enough, either for its answer or for
        // a watch that was open and silent when the agent became ready to become suspect.
        let by = times.iter().filter(|t| t.1 > change).find_map(|&(from, to)| {
            let silent = observed.stale_progress.get(&from).map_or(0, |shown| shown + SILENCE + half);
            let by = (change.max(from) + most).max(silent) + MAX_DELAY;
            assert!(by <= change.max(from) + 6 * SECOND - grace.min(SECOND), "the 6 s limit holds");
            (by <= to).then_some(by)
        });
        let applied = observed.applied_at.get(&revision).copied().unwrap_or(i64::MAX);
        if by.is_some_and(|by| applied > by) {
            violations.push(format!("revision {revision} of {change} applied at {applied}, not by {by:?}"));
        }
    }
    let sighups: Vec<i64> = schedule.sighups.iter().map(|h| begin + h).collect();
    for two in observed.calls.windows(2) {
        if two[1] - two[0] < half && !sighups.contains(&two[1]) {
            violations.push(format!("calls {two:?} are too close together"));
        }
    }
    for &(from, to) in &times {
        let settled = from + SILENCE + half + MAX_DELAY;
        let calls = observed.calls.iter().filter(|c| (settled..to).contains(*c)).count();
        if calls > sighups.iter().filter(|h| (settled..to).contains(*h)).count() {
            violations.push(format!("{calls} calls from {settled} to {to}, while a watch was live"));
        }
    }
    if observed.max_open_calls > 6 {
        violations.push(format!("{} calls open at a time", observed.max_open_calls));
    }
    violations
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn lists_are_applied_in_time_with_few_calls_whatever_the_call_outcomes(
        seed in any::<u64>(),
        grace in 20_000..2 * SECOND,
        schedule in agent_schedule(),
    ) {
        prop_assert_eq!(violations(seed, grace, &schedule), [""; 0]);
    }
}

/// The largest number of calls of 300 gateways within a tenth of a second and within a second, from `from`
/// on.
fn peak_calls(schedule: &AgentSchedule, from: i64, grace: i64) -> (usize, usize) {
    let mut calls = Vec::new();
    for seed in 0..300 {
        let mut simulation = AgentSimulation::new(seed, grace, schedule);
        let begin = simulation.gateway.now;
        simulation.run(schedule.phases.iter().map(|t| t.0 + t.1).sum());
        calls.extend(simulation.observed.calls.iter().map(|c| c - begin).filter(|&c| c >= from));
    }
    calls.sort_unstable();
    let most = |span: i64| {
        let within = |(n, c): (usize, &i64)| calls[n..].iter().take_while(|o| **o < c + span).count();
        calls.iter().enumerate().map(within).max().unwrap_or(0)
    };
    (most(SECOND / 10), most(SECOND))
}

/// All agents of 300 gateways wrote their lines in step and become unusable at the same moment in the same
/// way: the gateways neither call in step nor more often than their retry delays allow.
#[test]
fn gateways_that_lose_their_agents_at_once_do_not_call_in_step() {
    use CallOutcome::*;
    for outcome in [
        Refused,
        Hangs,
        NoAnswer,
        Reset,
        Error,
        InvalidHttp,
        InvalidJson,
        UnknownObject,
        HeadOnly,
        AnsweredThenEnded,
        AnsweredThenSilent,
        EndlessList,
    ] {
        let schedule = AgentSchedule {
            phases: vec![(0, 9 * SECOND), (10 * SECOND, 5 * SECOND)],
            outcomes: vec![outcome],
            answers_later: false,
            changes: vec![5 * SECOND],
            sighups: Vec::new(),
            indented: false,
        };
        let (tenth, second) = peak_calls(&schedule, SECOND, SECOND);
        assert!(tenth <= 110, "{outcome:?}: {tenth} calls within a tenth of a second");
        assert!(second <= 600, "{outcome:?}: {second} calls within a second");
    }
}
