//! The limit, checked at the nodes of a fleet in virtual time. The first test shows the collapse without
//! a cap.

mod rig;

use proptest::prelude::*;
use repeats::InjectedFault;
use rig::gateway::Source;
use rig::scenario::Scenario;
use rig::{Rig, SECOND};

const SEED: u64 = 1;

#[test]
fn without_a_cap_the_shard_stays_down() {
    let scenario = Scenario { end: 18 * SECOND, ..Scenario::collapse(Source::None, SEED) };
    let run = Rig::run(scenario.clone());
    let (before, after) = (run.goodput(2 * SECOND, 5 * SECOND), run.goodput(15 * SECOND, 17 * SECOND));
    println!("{before} before, {after} after; {:.1} sends for each", run.records.amplification(0, SECOND));
    assert!(before > 0.95, "{before}");
    // The nodes are warm again from here on; they have been back for five seconds.
    assert!(after < 0.2 * before, "{after} of {before}: the scenario proves nothing");
    assert!(run.records.amplification(0, SECOND) > 10.0);
    assert!(run.worst(&scenario).excess > 1_000.0);
}

/// With the cap the shard is back within 1.5 x the warm-up time, and no window exceeds the limit.
fn assert_recovers(scenario: Scenario) {
    let scenario = Scenario { end: 20 * SECOND, ..scenario };
    let run = Rig::run(scenario.clone());
    let (worst, recovering) =
        (run.worst(&scenario), run.worst_recovering(&scenario).expect("a silent period"));
    println!("{:?}\n{worst:?}\n{recovering:?}", run.recovery_time(&scenario));
    assert!(
        run.recovery_time(&scenario).is_some_and(|t| t <= scenario.warm_up * 3 / 2),
        "{:?}",
        run.recovery_time(&scenario)
    );
    assert!(worst.excess <= 0.0, "{worst:?}");
    assert!(recovering.excess <= 0.0, "{recovering:?}");
}

#[test]
fn with_the_cap_the_shard_recovers_within_one_and_a_half_warm_ups() {
    assert_recovers(Scenario::collapse(Source::Escrow, SEED));
}

#[test]
fn with_the_cap_the_shard_recovers_during_a_partition() {
    assert_recovers(Scenario::collapse(Source::Escrow, SEED).with_partition());
}

#[test]
fn with_the_cap_the_shard_recovers_while_gateways_are_killed() {
    assert_recovers(Scenario::collapse(Source::Escrow, SEED).with_kills());
}

#[test]
fn with_the_cap_the_shard_recovers_with_messages_lost_late_and_duplicated() {
    assert_recovers(Scenario::collapse(Source::Escrow, SEED).with_bad_messages());
}

#[test]
fn with_the_cap_the_shard_recovers_with_all_faults_and_clock_drift() {
    let scenario = Scenario::collapse(Source::Escrow, SEED).with_partition().with_kills().with_bad_messages();
    assert_recovers(Scenario { drift: 0.05, ..scenario });
}

#[test]
fn no_window_exceeds_the_limit_under_excess_demand() {
    let scenario = Scenario { drift: 0.05, end: 7 * SECOND, ..Scenario::uneven_load(Source::Escrow, SEED) };
    for scenario in [
        scenario.clone(),
        scenario.clone().with_kills().with_bad_messages(),
        Scenario { skew: false, ..scenario }.with_partition(),
    ] {
        let run = Rig::run(scenario.clone());
        let worst = run.worst(&scenario);
        println!("{worst:?}, {:.2} used", run.usage(&scenario));
        assert!(worst.excess <= 0.0, "{worst:?}");
        assert!(run.usage(&scenario) > 0.5, "{}: the scenario proves little", run.usage(&scenario));
    }
}

#[test]
fn leases_use_more_of_the_cap_than_base_or_earned_tokens_alone() {
    let usage = |source| {
        let scenario = Scenario { end: 6 * SECOND, ..Scenario::uneven_load(source, SEED) };
        Rig::run(scenario.clone()).usage(&scenario)
    };
    let (even, earned, escrow) = (usage(Source::Even), usage(Source::Earned), usage(Source::Escrow));
    println!("even {even:.2}, earned {earned:.2}, escrow {escrow:.2}");
    assert!(escrow >= 0.8, "{escrow}");
    assert!(escrow > even + 0.2 && escrow > earned + 0.2, "{even} {earned} {escrow}");
}

#[test]
fn base_tokens_divided_among_reachable_members_are_detected() {
    let scenario = Scenario { skew: false, end: 7 * SECOND, ..Scenario::uneven_load(Source::Escrow, SEED) }
        .with_partition();
    let scenario = Scenario { fault: Some(InjectedFault::DividedAmongReachable), ..scenario };
    let worst = Rig::run(scenario.clone()).worst(&scenario);
    assert!(worst.excess > 0.0, "{worst:?}");
}

#[test]
fn unmarked_repeats_are_recognized_by_the_sketch() {
    let worst = |fault| {
        let scenario =
            Scenario { unmarked: 1.0, fault, end: 13 * SECOND, ..Scenario::collapse(Source::Escrow, SEED) };
        Rig::run(scenario.clone()).worst(&scenario)
    };
    let (correct, forgets) = (worst(None), worst(Some(InjectedFault::SketchForgetsEarly)));
    println!("{correct:?}\n{forgets:?}");
    assert!(correct.excess <= 0.0, "{correct:?}");
    assert!(forgets.excess > 0.0, "{forgets:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    /// Random scenarios; they take about ten minutes in a debug build, half a minute with optimizations.
    #[test]
    #[ignore = "200 scenarios"]
    fn no_window_of_a_random_scenario_exceeds_the_limit(
        seed in any::<u64>(),
        faults in (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>()),
        gateways in 2..24usize,
        load in 0.2..0.9f64,
        refuse in 0.1..0.5f64,
        drift in 0.0..0.1f64,
    ) {
        let (partition, kills, messages, skew, silent) = faults;
        let base = if silent { Scenario::collapse(Source::Escrow, seed) } else { Scenario::uneven_load(Source::Escrow, seed) };
        let refuse = if silent { 0.0 } else { refuse };
        let mut scenario = Scenario { gateways, load, refuse, drift, skew, ..base };
        if partition { scenario = scenario.with_partition(); }
        if kills { scenario = scenario.with_kills(); }
        if messages { scenario = scenario.with_bad_messages(); }
        let run = Rig::run(scenario.clone());
        let worst = run.worst(&scenario);
        prop_assert!(worst.excess <= 0.0, "{worst:?} {scenario:?}");
        if let Some(worst) = run.worst_recovering(&scenario) {
            prop_assert!(worst.excess <= 0.0, "recovering {worst:?} {scenario:?}");
        }
    }
}
